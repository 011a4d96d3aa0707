#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "entropy.h"
#include "entry.h"
#include "logline.h"
#include "wire.h"

#define RETRY_MS 100
/* Ballots leave room above them for one who must overrule.  */
#define BALLOT_MASK 0x3fffffffffffffffULL

/* What one agent said that it had started.  */
struct report
{
  uint32_t count;
  uint32_t *index;
};

struct ent_adoption
{
  struct ent_record *rec;
  struct adp_adoption core;
  struct report *reports;
  uint64_t deadline_ns;
};

struct fence_call
{
  struct ent_entry *entry;
  struct sid_id sid;
  uint64_t ballot; /* an answer to another ballot of ours is void */
  uint32_t agent;
};

static void send_fences (struct ent_adoption *a);

static void
log_adopt (const struct ent_adoption *a, const char *what)
{
  char id[SID_TEXT_MAX];

  sid_format (&a->rec->sid, id);
  log_line (LOGL_WARN, "adopt", "sid=%s what=%s agents=%u ballot=%" PRIx64, id,
            what, a->core.count, a->core.self.ballot);
}

/* All agents are fenced: nothing starts but by us, and all that has started
   is known.  */
static void
go (struct ent_adoption *a)
{
  struct ent_record *rec = a->rec;
  struct ent_entry *e = rec->entry;

  log_adopt (a, "go");
  ctr_add (&e->counters, ENT_ADOPTED, 1);
  rec->ballot = a->core.self.ballot;
  rec->adoption = NULL;
  for (uint32_t i = 0; i < a->core.count; i++)
    for (uint32_t k = 0; k < a->reports[i].count; k++)
      ent_found (rec, a->reports[i].index[k], a->core.agent[i].incarnation);
  rec->body->proven = rec->core.in_flight == 0 && rec->body->key == NULL;
  talloc_free (a);
  if (rec->body->key != NULL)
    ent_bind (rec);
  else if (rec->core.in_flight > 0)
    ent_record_open (rec);
  else
    ent_open_or_refuse (rec);
}

static void
uncertain (struct ent_adoption *a, const char *code)
{
  struct ent_record *rec = a->rec;
  struct req_refusal why;

  log_adopt (a, code);
  ctr_add (&rec->entry->counters, ENT_ADOPT_UNCERTAIN, 1);
  req_refuse (&why, 502, code, "adopt", false,
              "the owner is gone, and not every agent where it could have "
              "started answers");
  rec->adoption = NULL;
  talloc_free (a);
  ent_record_refuse (rec, &why);
}

static void
yield (struct ent_adoption *a)
{
  struct ent_record *rec = a->rec;
  struct ent_entry *e = rec->entry;
  struct led_holder rival = a->core.rival;
  struct sid_id sid = rec->sid;
  struct req_request *r;
  const struct ros_member *m;

  log_adopt (a, "yield");
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
  ent_adopt_overrule (e, r, &sid, rival.ballot);
}

static void
step (struct ent_adoption *a)
{
  switch (adp_next (&a->core))
    {
    case ADP_WAIT:
      return;
    case ADP_PRESS:
      send_fences (a);
      return;
    case ADP_YIELD:
      yield (a);
      return;
    case ADP_GO:
      go (a);
      return;
    case ADP_UNCERTAIN:
      uncertain (a, "owner_gone");
      return;
    }
}

static void
take_report (struct ent_adoption *a, uint32_t i, const lvp_fence_res *res)
{
  struct report *report = &a->reports[i];

  report->count = res->started.started_len;
  report->index = talloc_memdup (a, res->started.started_val,
                                 report->count * sizeof *report->index);
  adp_fenced (&a->core, i);
}

static void
on_fenced (struct onc_conn *conn, int err, XDR *res, void *priv)
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
  /* A lost connection leaves the agent pending: the tick asks again.  */
  if (err != 0 || !WIR_DECODE (lvp_fence_res, res, &fence))
    {
      a->core.agent[i].state = ADP_PENDING;
      return;
    }
  if (fence.status == LVP_FENCE_OK)
    take_report (a, i, &fence);
  else if (fence.status == LVP_FENCE_HELD)
    {
      struct led_holder rival = { fence.ballot, fence.addr, fence.port };
      adp_held (&a->core, i, &rival);
    }
  else
    adp_gone (&a->core, i);
  WIR_FREE (lvp_fence_res, &fence);
  step (a);
}

static void
send_fence (struct ent_adoption *a, uint32_t i, struct ent_link *link)
{
  struct ent_entry *e = a->rec->entry;
  struct fence_call *call = talloc_zero (e->ev, struct fence_call);
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
  msg.polite = !a->core.pressing;
  if (onc_call (link->conn, LVP_FENCE, (xdrproc_t)xdr_lvp_fence, &msg,
                on_fenced, call)
      != 0)
    talloc_free (call);
}

static void
retry (struct tevent_context *ev, struct tevent_timer *te, struct timeval at,
       void *priv)
{
  struct ent_adoption *a = priv;

  (void)ev;
  (void)te;
  (void)at;
  send_fences (a);
}

/* Fence all pending agents; repeat until the time is over.  Fencing twice
   under one ballot does no harm.  */
static void
send_fences (struct ent_adoption *a)
{
  struct ent_entry *e = a->rec->entry;
  bool late = clk_now () >= a->deadline_ns;

  for (uint32_t i = 0; i < a->core.count; i++)
    {
      struct ent_link *link = ent_link_find (e, a->core.agent[i].incarnation);
      if (a->core.agent[i].state != ADP_PENDING)
        continue;
      if (link != NULL && ent_link_ready (link))
        send_fence (a, i, link);
      else if (late || link == NULL || link->dead)
        adp_gone (&a->core, i);
    }
  if (late)
    for (uint32_t i = 0; i < a->core.count; i++)
      if (a->core.agent[i].state == ADP_PENDING)
        adp_gone (&a->core, i);
  tevent_add_timer (e->ev, a, tevent_timeval_current_ofs (0, RETRY_MS * 1000),
                    retry, a);
  if (adp_next (&a->core) == ADP_UNCERTAIN)
    uncertain (a, "owner_gone");
}

static uint32_t
agents_at (const struct ent_entry *e, uint64_t offset,
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
begin (struct ent_entry *e, struct req_request *r, const struct sid_id *sid,
       uint64_t ballot, bool overrule)
{
  struct led_holder self = { ballot, e->self.addr, e->self.port };
  uint32_t n = agents_at (e, sid->roster, NULL);
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
  a = talloc_zero (rec, struct ent_adoption);
  a->rec = rec;
  a->deadline_ns = clk_now () + e->set.resolve_ms * CLK_MS;
  a->reports = talloc_zero_array (a, struct report, n);
  agents = talloc_zero_array (a, struct adp_agent, n);
  agents_at (e, sid->roster, agents);
  adp_init (&a->core, agents, n, &self);
  if (overrule)
    adp_overrule (&a->core, ballot);
  rec->adoption = a;
  log_adopt (a, overrule ? "overrule" : "begin");
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
    begin (e, r, sid, (rnd_u64 () & BALLOT_MASK) | 1, false);
}

void
ent_adopt_overrule (struct ent_entry *e, struct req_request *r,
                    const struct sid_id *sid, uint64_t ballot)
{
  struct ent_record *rec = ent_record_find (e, sid);

  r->rival_ballot = 0;
  if (rec != NULL)
    ent_submit_as (e, r, sid);
  else
    begin (e, r, sid, ballot + 1 + (rnd_u64 () & 0xffff), true);
}
