#include "runner_parts.h"

#include <errno.h>
#include <talloc.h>
#include <utlist.h>

#include "logline.h"
#include "wire.h"
#include "xtalloc.h"

/* Time between two attempts to connect to an entry, ns.  */
#define DIAL_INTERVAL_NS (50 * CLK_MS)
/* A connection attempt that takes longer is abandoned and repeated, ns:
   packets to an instance without power are lost.  */
#define CONNECT_TIMEOUT_NS (100 * CLK_MS)
/* A join without an answer for this long ends the connection, ns.  */
#define JOIN_TIMEOUT_NS (500 * CLK_MS)
/* A connection without an answer to reports for this long ends even if other
   data arrives on it, ns.  */
#define CONFIRM_MAX_NS (3 * CLK_S)
/* An entry without a connection that no list has named for this long is
   forgotten, ns.  */
#define FORGET_NS (20 * CLK_S)
/* Time after the notice to an entry that is no longer served in which orders
   already in flight may still arrive, ns.  */
#define RETIRE_GRACE_NS CLK_S

/* Whether ORDER goes by a report that is new enough, and about the process of
   the minion that runs now.  */
static bool
is_fresh (const struct rnr_session *s, const lvp_order *order, uint64_t now_ns)
{
  uint64_t fenced_ms = s->runner->minion.fenced_ns / CLK_MS;

  return lbd_order_is_fresh (order->stamp_ms * CLK_MS, fenced_ms * CLK_MS,
                             now_ns)
         && lbd_is_fresh (s->confirmed_ns, now_ns);
}

static void
apply_order (struct rnr_session *s, const lvp_order *order)
{
  struct rnr_runner *r = s->runner;
  uint64_t now = clk_boot ();
  bool fresh = is_fresh (s, order, now);
  bool able = rnr_able (r, now);
  enum drn_cause cause = rnr_drain_cause (r, NULL);
  bool open = able && cause == DRN_NONE;
  u_int i;

  s->orders++;
  orr_record (&r->order_rates, lv_slice_of (order->queue), clk_now ());
  ctr_add (&r->counters, RNR_ORDERED, order->runs.runs_len);
  if (!fresh || !open)
    log_line (LOGL_INFO, "order-refused",
              "job=%s tasks=%u why=%s stamp_age_ms=%llu confirmed_age_ms=%llu",
              order->job, order->runs.runs_len,
              !fresh  ? "stale"
              : !able ? "minion-not-able"
                      : drn_cause_name (cause),
              (unsigned long long)(now / CLK_MS - order->stamp_ms),
              (unsigned long long)(clk_since (now, s->confirmed_ns) / CLK_MS));
  for (i = 0; i < order->runs.runs_len; i++)
    if (fresh && open)
      rnr_start_run (r, s->incarnation, order, &order->runs.runs_val[i], now);
    else
      rnr_keep_end (r, s->incarnation, order->runs.runs_val[i].run,
                    fresh ? LVP_HOW_LEAVING : LVP_HOW_STALE, 0);
  if (fresh && cause == DRN_DOMAIN)
    ctr_add (&r->counters, RNR_DRAIN_REFUSALS, order->runs.runs_len);
  if (!fresh)
    ctr_add (&r->counters, RNR_STALE, order->runs.runs_len);
  rnr_send_ends (s);
}

static void
on_order (struct rnr_session *s, XDR *args)
{
  lvp_order order;

  if (!s->joined || !WIR_DECODE (lvp_order, args, &order))
    {
      onc_close (s->conn, -EPROTO, "order is malformed or precedes the join");
      return;
    }
  apply_order (s, &order);
  WIR_FREE (lvp_order, &order);
}

static void
on_stop (struct rnr_session *s, XDR *args)
{
  struct rnr_runner *r = s->runner;
  lvp_stop stop;
  u_int i;

  if (!WIR_DECODE (lvp_stop, args, &stop))
    {
      onc_close (s->conn, -EBADMSG, "stop cannot be decoded");
      return;
    }
  for (i = 0; i < stop.runs.runs_len; i++)
    {
      struct rtk_run *run = rtk_find_by_owner (&r->tracker, s->incarnation,
                                               stop.runs.runs_val[i]);

      if (run != NULL)
        rtk_give_up (&r->tracker, run, clk_boot ());
    }
  WIR_FREE (lvp_stop, &stop);
}

static void
on_call (struct onc_conn *conn, uint32_t xid, uint32_t proc, XDR *args,
         void *priv)
{
  struct rnr_session *s = priv;

  (void)xid;
  if (proc == LVP_ORDER)
    on_order (s, args);
  else if (proc == LVP_STOP)
    on_stop (s, args);
  else if (proc == LVP_HUNGRY)
    s->has_backlog = true;
  else
    onc_close (conn, -EPROTO, "unknown procedure");
}

static void
on_closed (struct onc_conn *conn, const struct err_error *err, void *priv)
{
  struct rnr_session *s = priv;

  (void)conn;
  if (s->joined)
    {
      ctr_add (&s->runner->counters, RNR_SESSIONS_LOST, 1);
      s->lost_ns = clk_boot ();
      log_line (LOGL_INFO, "entry-lost", "entry=%s code=%d why=\"%s\"",
                s->address, err->code, err->detail);
    }
  s->conn = NULL;
  s->joined = false;
  rnr_note_failure (s);
  rnr_requeue_ends (s);
}

static void
observe_recovery (struct rnr_session *s)
{
  struct rnr_runner *r = s->runner;
  uint64_t now = clk_boot ();

  if (s->lost_ns != 0)
    rnr_observe_time (r, RNR_TIME_RECOVERY, "entry-lost-to-joined",
                      clk_since (now, s->lost_ns));
  else if (r->started_ns != 0)
    rnr_observe_time (r, RNR_TIME_RECOVERY, "start-to-first-entry",
                      clk_since (now, r->started_ns));
  s->lost_ns = 0;
  r->started_ns = 0;
}

static void
on_joined (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct rnr_pending_report *pending = priv;
  struct rnr_session *s = pending->session;
  uint64_t sent_ns = pending->sent_ns;
  lvp_join_res out;

  talloc_free (pending);
  if (err != 0)
    return;
  if (!WIR_DECODE (lvp_join_res, res, &out))
    {
      onc_close (conn, -EBADMSG, "answer to a join cannot be decoded");
      return;
    }
  if (s->incarnation != 0 && s->incarnation != out.incarnation)
    rtk_give_up_owner (&s->runner->tracker, s->incarnation, clk_boot ());
  observe_recovery (s);
  s->incarnation = out.incarnation;
  s->joined = true;
  s->failed = false;
  s->joined_ns = sent_ns;
  log_line (LOGL_INFO, "entry-joined", "entry=%s incarnation=%llx", s->address,
            (unsigned long long)s->incarnation);
  rnr_apply_answer (s, &out.report);
  WIR_FREE (lvp_join_res, &out);
  /* Its arrival confirms the join, its answer the runs.  */
  rnr_send_report (s);
  rnr_send_losses (s);
  rnr_send_ends (s);
}

/* Numbers of the runs and unconfirmed ends that the entry of S owns.  */
static u_quad_t *
list_runs (const struct rnr_session *s, u_int *count)
{
  const struct rnr_runner *r = s->runner;
  u_quad_t *runs = xtalloc_array (NULL, u_quad_t, LVP_RUNS_MAX);
  const struct rtk_run *run;
  const struct rnr_end *end;
  u_int n = 0;

  for (run = r->tracker.runs; run != NULL && n < LVP_RUNS_MAX;
       run = run->hh.next)
    if (run->owner == s->incarnation && run->owner != 0)
      runs[n++] = run->number;
  DL_FOREACH (r->ends, end)
  if (end->owner == s->incarnation && n < LVP_RUNS_MAX)
    runs[n++] = end->end.run;
  *count = n;
  return runs;
}

static void
send_join (struct rnr_session *s, uint64_t now_ns)
{
  struct rnr_runner *r = s->runner;
  struct rnr_pending_report *pending = rnr_begin_report (s, now_ns, false);
  lvp_join join = { .name = (char *)r->settings.name,
                    .incarnation = r->incarnation,
                    .service = (char *)r->settings.service,
                    .domain = (char *)r->settings.domain,
                    .entry = s->incarnation,
                    .report = rnr_make_report (r, s, now_ns) };

  join.runs.runs_val = list_runs (s, &join.runs.runs_len);
  if (onc_call (s->conn, LVP_JOIN, (xdrproc_t)xdr_lvp_join, &join, on_joined,
                pending)
      != 0)
    talloc_free (pending);
  talloc_free (join.runs.runs_val);
}

static void
dial (struct rnr_session *s, uint64_t now_ns)
{
  struct rnr_runner *r = s->runner;
  struct onc_handler handler = { on_call, on_closed, s };
  int fd = net_connect (s->address, NULL);

  s->dialed_ns = now_ns;
  if (fd < 0)
    {
      log_line (LOGL_WARN, "entry-dial", "entry=%s code=%d", s->address, fd);
      rnr_note_failure (s);
      return;
    }
  s->orders = 0;
  s->conn = onc_attach (r->mem_ctx, r->ev, fd, s->address, &handler);
  send_join (s, now_ns);
}

/* Notifies an entry that is no longer among the chosen ones, then closes the
   connection once it owns no run or end here.  */
static void
retire (struct rnr_session *s, uint64_t now_ns)
{
  if (!s->joined || s->chosen)
    return;
  if (s->retiring_ns == 0)
    {
      s->retiring_ns = now_ns;
      rnr_send_report (s);
    }
  else if (clk_since (now_ns, s->retiring_ns) >= RETIRE_GRACE_NS
           && !rnr_session_busy (s))
    onc_close (s->conn, -ECANCELED, "served by other agents");
}

/* Whether the connection of S is dead.  Answers that are late while data still
   arrives are queued behind other data on a full link: a new connection would
   meet the same queue, and make it longer.  */
static bool
is_dead (const struct rnr_session *s, uint64_t now_ns)
{
  uint64_t answered_ns = rnr_answered_ns (s);

  return !lbd_is_fresh (answered_ns, now_ns)
         && (!lbd_is_fresh (onc_last_received (s->conn), clk_boot ())
             || clk_since (now_ns, answered_ns) >= CONFIRM_MAX_NS);
}

static void
tick_session (struct rnr_session *s, uint64_t now_ns)
{
  if (s->conn == NULL)
    {
      if (s->chosen && clk_since (now_ns, s->dialed_ns) >= DIAL_INTERVAL_NS)
        dial (s, now_ns);
    }
  else if (!s->joined)
    {
      bool open = onc_last_sent (s->conn) != 0;

      if (clk_since (now_ns, s->dialed_ns)
          >= (open ? JOIN_TIMEOUT_NS : CONNECT_TIMEOUT_NS))
        onc_close (s->conn, -ETIMEDOUT, "connect or join timed out");
    }
  else if (is_dead (s, now_ns))
    onc_close (s->conn, -ETIMEDOUT, "no answer to reports");
  else if (lbd_report_due (s->reported_ns,
                           s->has_backlog || rnr_session_busy (s), now_ns))
    rnr_send_report (s);
  /* The entry has not confirmed its runs in time: they must have stopped
     before it assumes that they have ended.  */
  if (s->incarnation != 0 && !lbd_is_fresh (s->confirmed_ns, now_ns))
    rtk_give_up_owner (&s->runner->tracker, s->incarnation, now_ns);
}

void
rnr_tick_sessions (struct rnr_runner *r, uint64_t now_ns)
{
  struct rnr_session *s;
  struct rnr_session *next;

  rnr_choose_entries (r, now_ns);
  DL_FOREACH_SAFE (r->sessions, s, next)
  {
    retire (s, now_ns);
    tick_session (s, now_ns);
    if (s->conn != NULL || s->is_seed
        || clk_since (now_ns, s->learned_ns) < FORGET_NS)
      continue;
    log_line (LOGL_INFO, "entry-gone", "entry=%s", s->address);
    DL_DELETE (r->sessions, s);
    talloc_free (s);
  }
}
