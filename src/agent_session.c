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
#include "lagoonvale/name.h"
#include "xtalloc.h"

static void
close_older (struct agt_session *s)
{
  struct agt_session *other;
  struct agt_session *next;

  DL_FOREACH_SAFE (s->agent->sessions, other, next)
  {
    if (other != s && other->incarnation == s->incarnation
        && other->number < s->number)
      onc_close (other->conn, -ESTALE, "replaced by a newer connection");
  }
}

static void
on_hello (struct agt_session *s, uint32_t xid, XDR *args)
{
  struct agt_agent *a = s->agent;
  lvp_hello call;
  lvp_hello_res res = { 0 };

  if (!WIR_DECODE (lvp_hello, args, &call))
    {
      onc_close (s->conn, -EBADMSG, "hello cannot be decoded");
      return;
    }
  if (!nam_valid (lv_slice_of (call.name)))
    {
      onc_close (s->conn, -EILSEQ, "the name in a hello is invalid");
      WIR_FREE (lvp_hello, &call);
      return;
    }
  s->incarnation = call.incarnation;
  s->number = call.session;
  close_older (s);
  if (call.role == LVP_ENTRY && s->grant_index < 0)
    s->grant_index = grt_join (&a->grants);
  res.name = a->set.name;
  res.incarnation = a->incarnation;
  res.domain = a->set.domain;
  res.slots = (u_int)a->set.slots;
  res.joined = a->ledger.joined;
  res.leaving = a->leaving;
  s->offered = agt_worker_offer (s);
  res.room = s->offered;
  onc_reply (s->conn, xid, (xdrproc_t)xdr_lvp_hello_res, &res);
  log_line (LOGL_INFO, "session",
            "entry=%s incarnation=%016" PRIx64 " number=%" PRIu64, call.name,
            s->incarnation, s->number);
  WIR_FREE (lvp_hello, &call);
  agt_grant (a);
}

static void
on_beat (struct agt_session *s, uint32_t xid, XDR *args)
{
  struct agt_agent *a = s->agent;
  lvp_beat call;
  lvp_beat_res res;

  if (!WIR_DECODE (lvp_beat, args, &call))
    {
      onc_close (s->conn, -EBADMSG, "beat cannot be decoded");
      return;
    }
  res.running = a->running_count;
  res.leaving = a->leaving;
  res.roster = a->roster.offset;
  onc_reply (s->conn, xid, (xdrproc_t)xdr_lvp_beat_res, &res);
  if (s->grant_index < 0)
    return;
  grt_set_demand (&a->grants, (unsigned)s->grant_index, call.queued,
                  call.entitled, call.urgency);
  agt_worker_set_demand (s, call.work);
  agt_grant (a);
}

static void
on_return (struct agt_session *s, uint32_t xid, XDR *args)
{
  u_int n = 0;

  xdr_u_int (args, &n);
  onc_reply (s->conn, xid, NULL, NULL);
  if (s->grant_index < 0)
    return;
  grt_return (&s->agent->grants, (unsigned)s->grant_index, n);
  agt_grant (s->agent);
}

static void
on_call (struct onc_conn *conn, uint32_t xid, uint32_t proc, XDR *args,
         void *priv)
{
  struct agt_session *s = priv;

  /* Discard calls that were buffered in the socket during a pause.  */
  if (clk_since (clk_boot (), s->agent->last_tick_ns) > AGT_PAUSE_NS)
    {
      agt_drop_sessions (s->agent, "this process was paused");
      return;
    }
  switch (proc)
    {
    case LVP_HELLO:
      on_hello (s, xid, args);
      return;
    case LVP_BEAT:
      on_beat (s, xid, args);
      return;
    case LVP_START:
      agt_on_start (s, xid, args);
      return;
    case LVP_RESOLVE:
      agt_on_resolve (s, xid, args);
      return;
    case LVP_FENCE:
      agt_on_fence (s, xid, args);
      return;
    case LVP_BIND:
      agt_on_bind (s, xid, args);
      return;
    case LVP_RETURN:
      on_return (s, xid, args);
      return;
    default:
      onc_close (conn, -EPROTO, "unknown procedure");
    }
}

static void
on_closed (struct onc_conn *conn, const struct err_error *err, void *priv)
{
  struct agt_session *s = priv;
  struct agt_agent *a = s->agent;

  log_line (LOGL_INFO, "session-end",
            "peer=%s incarnation=%016" PRIx64 " step=%s why=\"%s\"",
            onc_peer (conn), s->incarnation, err->step, err->detail);
  agt_run_remove_waiters (a, s);
  if (s->grant_index >= 0)
    {
      grt_leave (&a->grants, (unsigned)s->grant_index);
      trn_set_waiting (&a->worker.turns, (unsigned)s->grant_index, false,
                       clk_boot ());
    }
  DL_DELETE (a->sessions, s);
  ctr_set_gauge (&a->counters, AGT_SESSIONS,
                 ctr_read (&a->counters, AGT_SESSIONS) - 1);
  /* Runs refer to the session by its index in the grants only, so it can be
     freed with the connection.  */
  talloc_steal (conn, s);
  agt_grant (a);
}

static void
on_accepted (int fd, const char *peer, void *priv)
{
  struct agt_agent *a = priv;
  struct agt_session *s = xtalloc_zero (a->ev, struct agt_session);
  struct onc_handler handler = { on_call, on_closed, s };

  s->agent = a;
  s->grant_index = -1;
  s->conn = onc_attach (a->ev, a->ev, fd, peer, &handler);
  DL_APPEND (a->sessions, s);
  ctr_set_gauge (&a->counters, AGT_SESSIONS,
                 ctr_read (&a->counters, AGT_SESSIONS) + 1);
}

int
agt_listen (struct agt_agent *a)
{
  return net_serve (a->ev, a->ev, a->set.listen, on_accepted, a);
}

void
agt_drop_sessions (struct agt_agent *a, const char *why)
{
  struct agt_session *s;
  struct agt_session *next;

  log_line (LOGL_WARN, "drop-sessions", "why=\"%s\"", why);
  ctr_add (&a->counters, AGT_PAUSES, 1);
  a->last_tick_ns = clk_boot ();
  DL_FOREACH_SAFE (a->sessions, s, next) { onc_close (s->conn, -ESTALE, why); }
}

void
agt_drop_silent (struct agt_agent *a, uint64_t now_ns)
{
  struct agt_session *s;
  struct agt_session *next;

  DL_FOREACH_SAFE (a->sessions, s, next)
  {
    if (clk_since (now_ns, onc_last_received (s->conn))
        <= a->set.silent_ms * CLK_MS)
      continue;
    ctr_add (&a->counters, AGT_SESSIONS_DROPPED, 1);
    onc_close (s->conn, -ETIMEDOUT, "silent for too long");
  }
}
