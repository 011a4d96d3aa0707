#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "agent.h"
#include "clock.h"
#include "logline.h"
#include "net.h"
#include "wire.h"

static void
send_outcome (struct agt_session *s, uint32_t xid, lvp_status status)
{
  lvp_outcome out
      = { .status = status,
          .load = s->agent->running_count + s->agent->queued_count };

  onc_reply (s->conn, xid, (xdrproc_t)xdr_lvp_outcome, &out);
}

static void
log_refusal (const struct agt_session *s, const lvp_start *call,
             const char *why)
{
  char text[SID_TEXT_MAX];
  struct sid_id sid = wir_to_sid (&call->sid);

  ctr_add (&s->agent->counters, AGT_REFUSED, 1);
  if (!log_enabled (LOGL_INFO))
    return;
  sid_format (&sid, text);
  log_line (LOGL_INFO, "refuse",
            "sid=%s index=%u ballot=%" PRIx64 " why=%s peer=%s", text,
            call->index, (uint64_t)call->ballot, why, onc_peer (s->conn));
}

static lvp_status
refusal_status (int code)
{
  switch (code)
    {
    case -EACCES:
      return LVP_FENCED;
    case -ENOSPC:
      return LVP_BUSY;
    default:
      return LVP_NOT_STARTED;
    }
}

/* Whether the id was minted so long ago that the ledger may have removed its
   record.  */
static bool
is_stale (const struct agt_agent *a, const struct sid_id *sid)
{
  return sid->minted_ms + a->set.window_s * 1000 < clk_wall_ms ();
}

static void
attach_or_answer (struct agt_session *s, uint32_t xid,
                  const struct sid_id *sid, const struct led_task *task)
{
  struct agt_run *run = agt_run_find (s->agent, sid, task->index);
  lvp_outcome out;

  if (run != NULL)
    {
      agt_run_add_waiter (run, s, xid);
      return;
    }
  out = agt_outcome (task);
  onc_reply (s->conn, xid, (xdrproc_t)xdr_lvp_outcome, &out);
}

/* Take the credit or the worker capacity that a start needs.  */
static bool
reserve (struct agt_session *s, const lvp_start *call)
{
  struct capa_size need = wir_to_size (&call->need);

  if (!capa_is_zero (&need))
    return agt_worker_reserve (s, &need);
  return !call->credited
         || grt_spend (&s->agent->grants, (unsigned)s->grant_index);
}

static void
release (struct agt_session *s, const lvp_start *call)
{
  struct capa_size need = wir_to_size (&call->need);

  if (!capa_is_zero (&need))
    agt_worker_release (s->agent, &need);
  else if (call->credited)
    grt_end (&s->agent->grants, (unsigned)s->grant_index);
}

static void
admit_start (struct agt_session *s, uint32_t xid, const lvp_start *call)
{
  struct agt_agent *a = s->agent;
  struct sid_id sid = wir_to_sid (&call->sid);
  struct capa_size need = wir_to_size (&call->need);
  const struct led_task *task = NULL;
  int rc;

  if (!reserve (s, call))
    {
      log_refusal (s, call, capa_is_zero (&need) ? "no-credit" : "no-room");
      send_outcome (s, xid, LVP_BUSY);
      return;
    }
  rc = is_stale (a, &sid) ? -ESTALE
                          : led_start (&a->ledger, &sid, call->ballot,
                                       call->index, clk_boot (), &task);
  if (rc == 0)
    {
      agt_run_start (a, s, xid, call);
      return;
    }
  release (s, call);
  if (rc == -EALREADY)
    {
      ctr_add (&a->counters, AGT_DUPLICATES, 1);
      attach_or_answer (s, xid, &sid, task);
      return;
    }
  if (rc == -EACCES)
    ctr_add (&a->counters, AGT_FENCED, 1);
  log_refusal (s, call,
               rc == -EACCES      ? "fenced"
               : rc == -ECANCELED ? "tombstone"
               : rc == -ESTALE    ? "outside-roster-or-window"
                                  : "ledger-full");
  send_outcome (s, xid, refusal_status (rc));
  agt_grant (a);
}

void
agt_on_start (struct agt_session *s, uint32_t xid, XDR *args)
{
  lvp_start call;

  if (!WIR_DECODE (lvp_start, args, &call))
    {
      onc_close (s->conn, -EBADMSG, "start cannot be decoded");
      return;
    }
  if (s->grant_index < 0)
    send_outcome (s, xid, LVP_NOT_STARTED);
  else if (s->agent->leaving)
    {
      log_refusal (s, &call, "leaving");
      send_outcome (s, xid, LVP_LEAVING);
    }
  else
    admit_start (s, xid, &call);
  WIR_FREE (lvp_start, &call);
}

void
agt_on_resolve (struct agt_session *s, uint32_t xid, XDR *args)
{
  struct agt_agent *a = s->agent;
  lvp_resolve call;
  struct sid_id sid;
  const struct led_task *task;
  struct agt_run *run;
  int err;

  if (!WIR_DECODE (lvp_resolve, args, &call))
    {
      onc_close (s->conn, -EBADMSG, "resolve cannot be decoded");
      return;
    }
  ctr_add (&a->counters, AGT_RESOLVES, 1);
  sid = wir_to_sid (&call.sid);
  task = led_resolve (&a->ledger, &sid, call.ballot, call.index, clk_boot (),
                      &err);
  if (task == NULL)
    {
      /* The owner that holds the fence resolves the task, not this one.  */
      send_outcome (s, xid, LVP_UNKNOWN);
      return;
    }
  run = agt_run_find (a, &sid, call.index);
  if (run != NULL && call.cancel)
    agt_run_stop (run);
  attach_or_answer (s, xid, &sid, task);
}

/* Log why the fence CALL is not in force here; the adopter answers "may have
   run" then.  */
static lvp_fence_status
refuse_fence (const struct agt_session *s, const lvp_fence *call, int code)
{
  bool full = code == -ENOSPC;
  char text[SID_TEXT_MAX];
  struct sid_id sid = wir_to_sid (&call->sid);

  sid_format (&sid, text);
  log_ratelimited (
      LOGL_WARN, "refuse-fence", "sid=%s ballot=%" PRIx64 " why=%s peer=%s",
      text, (uint64_t)call->ballot,
      full ? "ledger-full" : "outside-roster-or-window", onc_peer (s->conn));
  return full ? LVP_FENCE_FULL : LVP_FENCE_EXPIRED;
}

void
agt_on_fence (struct agt_session *s, uint32_t xid, XDR *args)
{
  struct agt_agent *a = s->agent;
  lvp_fence call;
  lvp_fence_res res = { 0 };
  struct led_holder next;
  struct led_holder held;
  struct sid_id sid;
  uint32_t started[LVP_TASKS_MAX];
  int rc;

  if (!WIR_DECODE (lvp_fence, args, &call))
    {
      onc_close (s->conn, -EBADMSG, "fence cannot be decoded");
      return;
    }
  sid = wir_to_sid (&call.sid);
  next.ballot = call.ballot;
  next.addr = call.addr;
  next.port = call.port;
  rc = is_stale (a, &sid) ? -ESTALE
                          : led_fence (&a->ledger, &sid, &next, call.polite,
                                       clk_boot (), &held);
  if (rc == 0)
    {
      res.started.started_val = started;
      res.started.started_len
          = led_list_started (&a->ledger, &sid, started, LVP_TASKS_MAX);
    }
  else if (rc == -EBUSY)
    {
      res.status = LVP_FENCE_HELD;
      res.ballot = held.ballot;
      res.addr = held.addr;
      res.port = held.port;
    }
  else
    res.status = refuse_fence (s, &call, rc);
  onc_reply (s->conn, xid, (xdrproc_t)xdr_lvp_fence_res, &res);
}

/* When this agent became a home of BUCKET, ms; 0 if it is none.  */
static uint64_t
home_since (const struct agt_agent *a, unsigned bucket)
{
  const struct ros_home *home = &a->roster.homes[bucket];

  for (unsigned i = 0; i < ROS_HOMES; i++)
    if (home->member[i] == a->incarnation)
      return home->since_ms[i];
  return 0;
}

static lvp_bind_status
bind_status (int rc)
{
  switch (rc)
    {
    case 0:
      return LVP_BIND_OK;
    case -EEXIST:
      return LVP_BIND_OTHER;
    case -EAGAIN:
      return LVP_BIND_FRESH;
    default:
      return LVP_BIND_FULL;
    }
}

void
agt_on_bind (struct agt_session *s, uint32_t xid, XDR *args)
{
  struct agt_agent *a = s->agent;
  lvp_bind call;
  lvp_bind_res res = { .status = LVP_BIND_VIEW };
  struct lv_slice key;
  unsigned bucket;
  uint64_t since;

  if (!WIR_DECODE (lvp_bind, args, &call))
    {
      onc_close (s->conn, -EBADMSG, "bind cannot be decoded");
      return;
    }
  key = lv_slice_of (call.key);
  bucket = ros_bucket (key);
  since = home_since (a, bucket);
  if (since != 0 && !a->leaving
      && call.homes == ros_homes_digest (&a->roster, bucket))
    {
      struct sid_id sid = wir_to_sid (&call.sid);
      struct sid_id bound = sid;
      res.status = bind_status (key_bind (&a->keys, key, &sid, since,
                                          call.first_sent_ms, clk_wall_ms (),
                                          &bound));
      res.sid = wir_sid (&bound);
    }
  onc_reply (s->conn, xid, (xdrproc_t)xdr_lvp_bind_res, &res);
  WIR_FREE (lvp_bind, &call);
}
