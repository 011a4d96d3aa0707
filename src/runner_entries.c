#include "runner_parts.h"

#include <errno.h>
#include <talloc.h>
#include <utlist.h>

#include "logline.h"
#include "wire.h"

/* Time between two attempts to reach an entry, ns.  */
#define DIAL_NS (50 * CLK_MS)
/* A connection that is not open after this long is tried anew, ns: what was
   sent to an instance without power is lost.  */
#define CONNECT_NS (100 * CLK_MS)
/* A join without an answer for this long is begun anew, ns.  */
#define JOIN_NS (500 * CLK_MS)
/* An address that has not answered for this long is forgotten, ns.  */
#define GONE_NS (20 * CLK_S)
/* Time for which an entry that is not served any more may still send orders
   that were under way, ns.  */
#define RETIRE_NS CLK_S

static void
take_order (struct rnr_session *s, const lvp_order *order)
{
  struct rnr_runner *r = s->runner;
  uint64_t now = clk_boot ();
  bool fresh = chn_fresh (order->stamp_ms * CLK_MS, now)
               && chn_fresh (s->confirmed_ns, now);
  bool open = rnr_accepting (r, now);
  u_int i;

  s->orders++;
  ctr_add (&r->counters, RNR_ORDERED, order->runs.runs_len);
  if (!fresh || !open)
    log_line (LOGL_INFO, "order-refused",
              "job=%s tasks=%u why=%s stamp_age_ms=%llu confirmed_age_ms=%llu",
              order->job, order->runs.runs_len, fresh ? "leaving" : "stale",
              (unsigned long long)(now / CLK_MS - order->stamp_ms),
              (unsigned long long)(clk_since (now, s->confirmed_ns) / CLK_MS));
  for (i = 0; i < order->runs.runs_len; i++)
    if (fresh && open)
      rnr_start_run (r, s->entry, order, &order->runs.runs_val[i], now);
    else
      rnr_keep_end (r, s->entry, order->runs.runs_val[i].run,
                    fresh ? LVP_HOW_LEAVING : LVP_HOW_STALE, 0);
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
      onc_close (s->conn, -EPROTO, "order without a join");
      return;
    }
  take_order (s, &order);
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
      struct rtk_run *run
          = rtk_find_by_owner (&r->book, s->entry, stop.runs.runs_val[i]);

      if (run != NULL)
        rtk_stop (&r->book, run, clk_boot ());
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
    s->hungry = true;
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
                s->text, err->code, err->detail);
    }
  s->conn = NULL;
  s->joined = false;
  rnr_unsend_ends (s);
}

static void
note_joined (struct rnr_session *s)
{
  struct rnr_runner *r = s->runner;
  uint64_t now = clk_boot ();

  if (s->lost_ns != 0)
    rnr_note_time (r, RNR_TIME_RECOVERY, "entry-lost-to-joined",
                   clk_since (now, s->lost_ns));
  else if (r->started_ns != 0)
    rnr_note_time (r, RNR_TIME_RECOVERY, "start-to-first-entry",
                   clk_since (now, r->started_ns));
  s->lost_ns = 0;
  r->started_ns = 0;
}

static void
joined (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct rnr_confirm *confirm = priv;
  struct rnr_session *s = confirm->session;
  uint64_t sent_ns = confirm->sent_ns;
  lvp_join_res out;

  talloc_free (confirm);
  if (err != 0)
    return;
  if (!WIR_DECODE (lvp_join_res, res, &out))
    {
      onc_close (conn, -EBADMSG, "answer to a join cannot be decoded");
      return;
    }
  if (s->entry != 0 && s->entry != out.incarnation)
    rtk_stop_owner (&s->runner->book, s->entry, clk_boot ());
  note_joined (s);
  s->entry = out.incarnation;
  s->joined = true;
  s->confirmed_ns = sent_ns;
  log_line (LOGL_INFO, "entry-joined", "entry=%s incarnation=%llx", s->text,
            (unsigned long long)s->entry);
  rnr_take_answer (s, &out.report);
  WIR_FREE (lvp_join_res, &out);
  rnr_send_ends (s);
}

/* Numbers of the runs and untaken ends that belong to the entry of S.  */
static u_quad_t *
list_runs (const struct rnr_session *s, u_int *count)
{
  const struct rnr_runner *r = s->runner;
  u_quad_t *runs = talloc_array (NULL, u_quad_t, LVP_RUNS_MAX);
  const struct rtk_run *run;
  const struct rnr_end *end;
  u_int n = 0;

  for (run = r->book.runs; run != NULL && n < LVP_RUNS_MAX; run = run->hh.next)
    if (run->owner == s->entry && run->owner != 0)
      runs[n++] = run->number;
  DL_FOREACH (r->ends, end)
  if (end->owner == s->entry && n < LVP_RUNS_MAX)
    runs[n++] = end->end.run;
  *count = n;
  return runs;
}

static void
send_join (struct rnr_session *s, uint64_t now_ns)
{
  struct rnr_runner *r = s->runner;
  struct rnr_confirm *confirm = rnr_begin_report (s, now_ns, false);
  lvp_join join = { .name = (char *)r->set.name,
                    .incarnation = r->incarnation,
                    .service = (char *)r->set.service,
                    .domain = (char *)r->set.domain,
                    .entry = s->entry,
                    .report = rnr_make_report (r, s, now_ns) };

  join.runs.runs_val = list_runs (s, &join.runs.runs_len);
  if (onc_call (s->conn, LVP_JOIN, (xdrproc_t)xdr_lvp_join, &join, joined,
                confirm)
      != 0)
    talloc_free (confirm);
  talloc_free (join.runs.runs_val);
}

static void
dial (struct rnr_session *s, uint64_t now_ns)
{
  struct rnr_runner *r = s->runner;
  struct onc_handler handler = { on_call, on_closed, s };
  int fd = net_connect (s->text, NULL);

  s->dialed_ns = now_ns;
  if (fd < 0)
    {
      log_line (LOGL_WARN, "entry-dial", "entry=%s code=%d", s->text, fd);
      return;
    }
  s->orders = 0;
  s->conn = onc_attach (r->mem_ctx, r->ev, fd, s->text, &handler);
  send_join (s, now_ns);
}

/* An entry that is not to be served any more is told, and left once nothing of
   it is here.  */
static void
retire (struct rnr_session *s, uint64_t now_ns)
{
  if (!s->joined || s->wanted)
    return;
  if (s->retiring_ns == 0)
    {
      s->retiring_ns = now_ns;
      rnr_send_report (s);
    }
  else if (clk_since (now_ns, s->retiring_ns) >= RETIRE_NS && !rnr_owes (s))
    onc_close (s->conn, -ECANCELED, "served by other agents");
}

static void
tick_session (struct rnr_session *s, uint64_t now_ns)
{
  if (s->conn == NULL)
    {
      if (s->wanted && clk_since (now_ns, s->dialed_ns) >= DIAL_NS)
        dial (s, now_ns);
    }
  else if (!s->joined)
    {
      bool open = onc_last_sent (s->conn) != 0;

      if (clk_since (now_ns, s->dialed_ns) >= (open ? JOIN_NS : CONNECT_NS))
        onc_close (s->conn, -ETIMEDOUT, "no answer to a join");
    }
  else if (!chn_fresh (s->confirmed_ns, now_ns))
    onc_close (s->conn, -ETIMEDOUT, "no answer to reports");
  else if (clk_since (now_ns, s->reported_ns) >= CHN_REPORT_NS)
    rnr_send_report (s);
  /* Nobody confirms what runs for this entry: it must end before the entry
     takes it to have ended.  */
  if (s->entry != 0 && !chn_fresh (s->confirmed_ns, now_ns))
    rtk_stop_owner (&s->runner->book, s->entry, now_ns);
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
        || clk_since (now_ns, s->named_ns) < GONE_NS)
      continue;
    log_line (LOGL_INFO, "entry-gone", "entry=%s", s->text);
    DL_DELETE (r->sessions, s);
    talloc_free (s);
  }
}
