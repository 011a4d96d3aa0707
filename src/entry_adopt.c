#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "entropy.h"
#include "entry_parts.h"
#include "logline.h"
#include "wire.h"
#include "tick.h"
#include "xtalloc.h"

#define RETRY_MS 100
/* Random ballots keep the two top bits clear, so that a preempting adopter can
   add to one without overflow.  */
#define BALLOT_MASK 0x3fffffffffffffffULL
/* Random part that a preempting adopter adds, so that two of them differ.  */
#define PREEMPT_MASK 0xffffffffffffULL

/* Indices of the tasks that one agent has started.  */
struct started
{
  uint32_t count;
  uint32_t *index;
};

struct ent_adoption
{
  struct ent_record *rec;
  struct adp_adoption core;
  struct started *started; /* one for each agent */
  struct tck_timer *retry;
  uint64_t deadline_ns;
};

struct fence_call
{
  struct ent_entry *entry;
  struct sid_id sid;
  uint64_t ballot; /* answers to an earlier ballot are ignored */
  uint32_t agent;
};

static void send_fences (struct ent_adoption *a);

static void
log_adoption (const struct ent_adoption *a, const char *what)
{
  char id[SID_TEXT_MAX];

  sid_format (&a->rec->sid, id);
  log_line (LOGL_WARN, "adopt", "sid=%s what=%s agents=%u ballot=%" PRIx64, id,
            what, a->core.count, a->core.self.ballot);
}

/* All agents are fenced: only this entry can start tasks from here on, and all
   tasks started before are known.  */
static void
proceed (struct ent_adoption *a)
{
  struct ent_record *rec = a->rec;
  struct ent_entry *e = rec->entry;

  log_adoption (a, "go");
  ctr_add (&e->counters, ENT_ADOPTED, 1);
  rec->ballot = a->core.self.ballot;
  rec->adoption = NULL;
  for (uint32_t i = 0; i < a->core.count; i++)
    for (uint32_t k = 0; k < a->started[i].count; k++)
      ent_track_started (rec, a->started[i].index[k],
                         a->core.agent[i].incarnation);
  rec->request->known_not_run
      = rec->core.in_flight == 0 && rec->request->key == NULL;
  talloc_free (a);
  if (rec->request->key != NULL)
    ent_bind_key (rec);
  else if (rec->core.in_flight > 0)
    ent_record_open (rec);
  else
    ent_open_or_refuse (rec);
}

static void
fail_uncertain (struct ent_adoption *a, const char *code)
{
  struct ent_record *rec = a->rec;
  struct req_refusal why;

  log_adoption (a, code);
  ctr_add (&rec->entry->counters, ENT_ADOPT_UNCERTAIN, 1);
  req_refuse (&why, 502, code, "adopt", false,
              "the owner is gone, and not every agent where it could have "
              "started answers");
  rec->adoption = NULL;
  talloc_free (a);
  ent_record_refuse (rec, &why);
}

static void
yield_to_rival (struct ent_adoption *a)
{
  struct ent_record *rec = a->rec;
  struct ent_entry *e = rec->entry;
  struct led_holder rival = a->core.rival;
  struct sid_id sid = rec->sid;
  struct req_request *r;
  const struct ros_member *m;

  log_adoption (a, "yield");
  r = ent_record_drop (rec);
  r->rival_ballot = rival.ballot;
  LL_FOREACH (e->roster.members, m)
  {
    if (m->role == ROS_ENTRY && m->ended == 0 && m->addr == rival.addr
        && m->port == rival.port)
      {
        ent_forward (e, r, &sid, m->incarnation, rival.addr, rival.port);
        return;
      }
  }
  ent_adopt_preempt (e, r, &sid, rival.ballot);
}

static void
run_next_action (struct ent_adoption *a)
{
  switch (adp_next (&a->core))
    {
    case ADP_WAIT:
      return;
    case ADP_PREEMPT:
      send_fences (a);
      return;
    case ADP_YIELD:
      yield_to_rival (a);
      return;
    case ADP_PROCEED:
      proceed (a);
      return;
    case ADP_UNCERTAIN:
      fail_uncertain (a, "owner_gone");
      return;
    }
}

static void
store_started (struct ent_adoption *a, uint32_t i, const lvp_fence_res *res)
{
  struct started *started = &a->started[i];

  started->count = res->started.started_len;
  started->index = xtalloc_memdup (a, res->started.started_val,
                                   started->count * sizeof *started->index);
  adp_set_fenced (&a->core, i);
}

static void
on_fence_reply (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct fence_call *call = priv;
  struct ent_record *rec = ent_record_find (call->entry, &call->sid);
  struct ent_adoption *a = rec != NULL ? rec->adoption : NULL;
  uint32_t i = call->agent;
  uint64_t ballot = call->ballot;
  lvp_fence_res fence;

  (void)conn;
  talloc_free (call);
  if (a == NULL || a->core.self.ballot != ballot)
    return;
  /* After a lost connection, the retry timer fences the agent again.  */
  if (err != 0 || !WIR_DECODE (lvp_fence_res, res, &fence))
    {
      a->core.agent[i].state = ADP_PENDING;
      return;
    }
  if (fence.status == LVP_FENCE_OK)
    store_started (a, i, &fence);
  else if (fence.status == LVP_FENCE_HELD)
    {
      struct led_holder rival = { fence.ballot, fence.addr, fence.port };
      adp_set_held (&a->core, i, &rival);
    }
  else
    adp_set_unavailable (&a->core, i);
  WIR_FREE (lvp_fence_res, &fence);
  run_next_action (a);
}

static void
send_fence (struct ent_adoption *a, uint32_t i, struct ent_link *link)
{
  struct ent_entry *e = a->rec->entry;
  struct fence_call *call = xtalloc_zero (e->ev, struct fence_call);
  lvp_fence msg;

  call->entry = e;
  call->sid = a->rec->sid;
  call->agent = i;
  call->ballot = a->core.self.ballot;
  memset (&msg, 0, sizeof msg);
  msg.sid = wir_sid (&a->rec->sid);
  msg.ballot = a->core.self.ballot;
  msg.addr = a->core.self.addr;
  msg.port = a->core.self.port;
  msg.polite = !a->core.preempt;
  if (onc_call (link->conn, LVP_FENCE, (xdrproc_t)xdr_lvp_fence, &msg,
                on_fence_reply, call)
      != 0)
    talloc_free (call);
}

static void
on_retry_timer (void *priv)
{
  struct ent_adoption *a = priv;

  a->retry = NULL;
  send_fences (a);
}

/* Fences all pending agents, again every RETRY_MS until the deadline.  Fencing
   is idempotent under the same ballot.  */
static void
send_fences (struct ent_adoption *a)
{
  struct ent_entry *e = a->rec->entry;
  bool late = clk_boot () >= a->deadline_ns;

  for (uint32_t i = 0; i < a->core.count; i++)
    {
      struct ent_link *link = ent_link_find (e, a->core.agent[i].incarnation);
      if (a->core.agent[i].state != ADP_PENDING)
        continue;
      if (link != NULL && ent_link_ready (link))
        send_fence (a, i, link);
      else if (late || link == NULL || link->replaced)
        adp_set_unavailable (&a->core, i);
    }
  if (late)
    for (uint32_t i = 0; i < a->core.count; i++)
      if (a->core.agent[i].state == ADP_PENDING)
        adp_set_unavailable (&a->core, i);
  /* After a preemption the timer of the earlier fences is still running.  */
  TALLOC_FREE (a->retry);
  a->retry = tck_once (a, e->ev, RETRY_MS, on_retry_timer, a);
  if (adp_next (&a->core) == ADP_UNCERTAIN)
    fail_uncertain (a, "owner_gone");
}

/* Counts the agents in force at OFFSET and, unless AGENTS is NULL, stores
   their incarnations there.  */
static uint32_t
list_agents (const struct ent_entry *e, uint64_t offset,
             struct adp_agent *agents)
{
  const struct ros_member *m;
  uint32_t n = 0;

  LL_FOREACH (e->roster.members, m)
  {
    if (m->role != ROS_AGENT || !ros_active_at (m, offset))
      continue;
    if (agents != NULL)
      agents[n].incarnation = m->incarnation;
    n++;
  }
  return n;
}

static void
begin_adoption (struct ent_entry *e, struct req_request *r,
                const struct sid_id *sid, uint64_t ballot, bool preempt)
{
  struct led_holder self = { ballot, e->self.addr, e->self.port };
  uint32_t n = list_agents (e, sid->roster, NULL);
  struct ent_adoption *a;
  struct ent_record *rec;
  struct adp_agent *agents;
  struct req_refusal why;

  if (e->roster.offset < sid->roster || e->roster.complete_from > sid->roster
      || n == 0)
    {
      req_refuse (&why, 503, "roster_behind", "adopt", false,
                  "the members at offset %" PRIu64 " are not known here",
                  (uint64_t)sid->roster);
      ent_refuse (e, r, &why);
      return;
    }
  rec = ent_record_new (e, r, sid);
  rec->phase = ENT_ADOPTING;
  a = xtalloc_zero (rec, struct ent_adoption);
  a->rec = rec;
  a->deadline_ns = clk_boot () + e->set.resolve_ms * CLK_MS;
  a->started = xtalloc_zero_array (a, struct started, n);
  agents = xtalloc_zero_array (a, struct adp_agent, n);
  list_agents (e, sid->roster, agents);
  adp_init (&a->core, agents, n, &self);
  if (preempt)
    adp_preempt (&a->core, ballot);
  rec->adoption = a;
  log_adoption (a, preempt ? "overrule" : "begin");
  send_fences (a);
}

void
ent_adopt (struct ent_entry *e, struct req_request *r,
           const struct sid_id *sid)
{
  struct ent_record *rec = ent_record_find (e, sid);

  if (rec != NULL)
    ent_submit_as (e, r, sid);
  else
    begin_adoption (e, r, sid, (rnd_u64 () & BALLOT_MASK) | 1, false);
}

void
ent_adopt_preempt (struct ent_entry *e, struct req_request *r,
                   const struct sid_id *sid, uint64_t ballot)
{
  struct ent_record *rec = ent_record_find (e, sid);

  r->rival_ballot = 0;
  if (rec != NULL)
    ent_submit_as (e, r, sid);
  else
    begin_adoption (e, r, sid, ballot + 1 + (rnd_u64 () & PREEMPT_MASK), true);
}
