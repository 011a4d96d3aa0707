#include "runner.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "entropy.h"
#include "logline.h"
#include "net.h"
#include "onc.h"
#include "tick.h"
#include "wire.h"

#define TICK_MS 25
/* Time for which a look waits for an end, ms; the lease is renewed at each. */
#define LOOK_WAIT_MS 50
/* A minion whose last answer is older than this is given no work, ns.  */
#define SEEN_NS (450 * CLK_MS)
/* Time between two attempts to reach an entry, ns.  */
#define DIAL_NS (50 * CLK_MS)
/* A connection that is not open after this long is tried anew, ns: what was
   sent to an instance without power is lost.  */
#define CONNECT_NS (100 * CLK_MS)
/* A join without an answer for this long is begun anew, ns.  */
#define JOIN_NS (500 * CLK_MS)
/* An address that has not answered for this long is forgotten, ns.  */
#define GONE_NS (20 * CLK_S)
/* Outcomes that an entry has not taken for this long are dropped, ns.  */
#define END_KEEP_NS (3 * CLK_S)
/* Time that runs get to end by themselves when the runner leaves, ns.  */
#define LEAVE_NS (4 * CLK_S)
/* First step by which a refused fencing token is raised; it doubles.  */
#define TOKEN_STEP 1000

static const struct ctr_desc descs[] = {
  { "lagoonvale_runs_ordered_total", "task starts that entries ordered",
    false },
  { "lagoonvale_runs_started_total", "starts that the minion answered",
    false },
  { "lagoonvale_runs_done_total", "runs ended well", false },
  { "lagoonvale_runs_failed_total", "runs ended as failed", false },
  { "lagoonvale_runs_stopped_total", "runs stopped", false },
  { "lagoonvale_runs_lapsed_total", "runs whose lease lapsed", false },
  { "lagoonvale_runs_refused_total", "starts that the minion refused", false },
  { "lagoonvale_runs_no_room_total", "orders refused for want of room",
    false },
  { "lagoonvale_runs_stale_total", "orders that came too late", false },
  { "lagoonvale_minion_unanswered_total", "calls without an answer", false },
  { "lagoonvale_minion_fenced_total", "calls with a stale fencing token",
    false },
  { "lagoonvale_sessions_lost_total", "connections to entries that ended",
    false },
  { "lagoonvale_runs", "runs in the book", true },
  { "lagoonvale_free_mcores", "room for further runs", true },
};

/**
 * struct rnr_session - an entry, reached or not
 * @entry: incarnation that last took a join
 * @confirmed_ns: when the newest report was sent that the entry has answered
 * @orders: that came on this connection
 */
struct rnr_session
{
  struct rnr_runner *runner;
  lvp_endpoint at;
  char text[NET_TEXT_MAX];
  struct onc_conn *conn;
  bool joined;
  bool hungry;
  bool told; /* in this turn */
  uint64_t entry;
  uint64_t confirmed_ns;
  uint64_t reported_ns;
  uint64_t dialed_ns;
  uint64_t named_ns;
  uint64_t orders;
  unsigned ends_under_way;
  struct rnr_session *prev;
  struct rnr_session *next;
};

/** struct rnr_end - an outcome that its entry has not taken yet */
struct rnr_end
{
  uint64_t owner;
  lvp_end end;
  bool sent;
  uint64_t since_ns;
  struct rnr_end *prev;
  struct rnr_end *next;
};

/* A report under way: when it was sent, and with ends or not.  */
struct confirm
{
  struct rnr_session *session;
  uint64_t sent_ns;
  bool with_ends;
};

static void look (struct rnr_runner *r);

static bool
accepting (const struct rnr_runner *r, uint64_t now_ns)
{
  const struct rnr_minion *m = &r->minion;

  return !r->leaving && !m->leaving && m->known && m->incarnation != 0
         && m->room_incarnation == m->incarnation
         && clk_since (now_ns, m->seen_ns) < SEEN_NS;
}

static lvp_report
make_report (const struct rnr_runner *r, const struct rnr_session *s,
             uint64_t now_ns)
{
  struct amt_amount left = rnb_free (&r->book);
  lvp_report report = { .stamp_ms = now_ns / CLK_MS,
                        .synced = r->minion.known && r->book.unknown == 0,
                        .accepting = accepting (r, now_ns),
                        .orders = s->orders,
                        .total = wir_amount (&r->book.total),
                        .free = wir_amount (&left) };

  return report;
}

/* Leases at the minion and beliefs of entries.  */

static struct mnn_lease
lease_now (struct rnr_runner *r, uint64_t now_ns)
{
  struct rnr_minion *m = &r->minion;
  struct mnn_lease lease = { .token = r->token };
  uint64_t lease_ns = CHN_LEASE_NS;

  if (lease_ns > r->set.lease_max_ms * CLK_MS)
    lease_ns = r->set.lease_max_ms * CLK_MS;
  if (m->clock_ns != 0)
    {
      lease.expires_ms
          = m->clock_ms + (now_ns - m->clock_ns + lease_ns) / CLK_MS;
      m->lease_end_ns = chn_lease_end (now_ns, lease_ns);
    }
  return lease;
}

static void
note_result (struct rnr_runner *r, const struct mnn_result *result)
{
  if (result->clock_ms != 0)
    {
      r->minion.clock_ms = result->clock_ms;
      r->minion.clock_ns = clk_boot ();
    }
  if (result->answer == MNN_UNANSWERED)
    ctr_add (&r->counters, RNR_UNANSWERED, 1);
  if (result->answer != MNN_FENCED)
    return;
  r->token += r->token_step;
  r->token_step *= 2;
  ctr_add (&r->counters, RNR_FENCED, 1);
  log_line (LOGL_INFO, "fencing-token", "why=refused next=%llu",
            (unsigned long long)r->token);
}

/* Runs: from order to end.  */

struct start
{
  struct rnr_runner *runner;
  char name[RNB_NAME_MAX];
  uint32_t attempt;
};

/* The run that an answer is about, unless it has ended meanwhile.  */
static struct rnb_run *
run_of (const struct start *start)
{
  struct rnb_run *run
      = rnb_find (&start->runner->book, lv_slice_of (start->name));

  return run != NULL && run->attempt == start->attempt ? run : NULL;
}

static struct start *
remember (struct rnr_runner *r, const struct rnb_run *run)
{
  struct start *start = talloc_zero (r->mem_ctx, struct start);

  start->runner = r;
  memcpy (start->name, run->name, sizeof start->name);
  start->attempt = run->attempt;
  return start;
}

static void
stop_answered (const struct mnn_result *result, void *arg)
{
  struct start *start = arg;
  struct rnb_run *run = run_of (start);

  note_result (start->runner, result);
  if (run != NULL && result->answer == MNN_OK)
    rnb_barred (&start->runner->book, run, clk_boot ());
  talloc_free (start);
}

static void
order_stop (struct rnb_run *run, void *priv)
{
  struct rnr_runner *r = priv;

  r->ops->stop (r->ops_priv, run, r->token, stop_answered, remember (r, run));
}

static void
start_answered (const struct mnn_result *result, void *arg)
{
  struct start *start = arg;
  struct rnr_runner *r = start->runner;
  struct rnb_run *run = run_of (start);

  note_result (r, result);
  talloc_free (start);
  if (run == NULL || run->state != RNB_STARTING)
    return;
  switch (result->answer)
    {
    case MNN_OK:
      ctr_add (&r->counters, RNR_STARTED, 1);
      rnb_started (&r->book, run, clk_boot ());
      break;
    case MNN_UNANSWERED:
      log_line (LOGL_INFO, "start-unanswered", "task=%s attempt=%u", run->name,
                run->attempt);
      rnb_stop (&r->book, run, clk_boot ());
      break;
    case MNN_OLD:
      rnb_refused (&r->book, run, RNB_OLD);
      break;
    default:
      rnb_refused (&r->book, run, RNB_REFUSED);
    }
}

static void
keep_end (struct rnr_runner *r, uint64_t owner, uint64_t number, lvp_how how,
          uint32_t ran_ms)
{
  struct rnr_end *end = talloc_zero (r->mem_ctx, struct rnr_end);

  end->owner = owner;
  end->end.run = number;
  end->end.how = how;
  end->end.ran_ms = ran_ms;
  end->since_ns = clk_boot ();
  DL_APPEND (r->ends, end);
}

static void
count_end (struct rnr_runner *r, enum rnb_how how)
{
  static const enum rnr_counter ids[] = {
    [RNB_DONE] = RNR_DONE,       [RNB_FAILED] = RNR_FAILED,
    [RNB_STOPPED] = RNR_STOPPED, [RNB_LAPSED] = RNR_LAPSED,
    [RNB_REFUSED] = RNR_REFUSED, [RNB_OLD] = RNR_REFUSED,
    [RNB_STALLED] = RNR_STOPPED,
  };

  ctr_add (&r->counters, ids[how], 1);
}

static void
run_ended (struct rnb_run *run, enum rnb_how how, void *priv)
{
  static const lvp_how hows[] = {
    [RNB_DONE] = LVP_HOW_DONE,       [RNB_FAILED] = LVP_HOW_FAILED,
    [RNB_STOPPED] = LVP_HOW_STOPPED, [RNB_LAPSED] = LVP_HOW_LAPSED,
    [RNB_REFUSED] = LVP_HOW_REFUSED, [RNB_OLD] = LVP_HOW_OLD,
    [RNB_STALLED] = LVP_HOW_STALLED,
  };
  static const char *const names[] = {
    [RNB_DONE] = "done",       [RNB_FAILED] = "failed",
    [RNB_STOPPED] = "stopped", [RNB_LAPSED] = "lapsed",
    [RNB_REFUSED] = "refused", [RNB_OLD] = "old",
    [RNB_STALLED] = "stalled",
  };
  struct rnr_runner *r = priv;
  uint64_t ran_ns = clk_since (clk_boot (), run->ordered_ns);

  count_end (r, how);
  log_often (LOGL_INFO, "run-end",
             "task=%s attempt=%u how=%s ran_ms=%llu percent=%u", run->name,
             run->attempt, names[how], (unsigned long long)(ran_ns / CLK_MS),
             run->percent);
  if (run->owner != 0)
    keep_end (r, run->owner, run->number, hows[how],
              (uint32_t)(ran_ns / CLK_MS));
}

/* Reports to entries.  */

static struct rnr_session *
session_of (const struct rnr_runner *r, uint64_t entry)
{
  struct rnr_session *s;

  DL_FOREACH (r->sessions, s)
  if (s->joined && s->entry == entry)
    return s;
  return NULL;
}

static struct rnr_session *
add_session (struct rnr_runner *r, const lvp_endpoint *at)
{
  struct rnr_session *s;

  DL_FOREACH (r->sessions, s)
  if (s->at.addr == at->addr && s->at.port == at->port)
    return s;
  s = talloc_zero (r->mem_ctx, struct rnr_session);
  s->runner = r;
  s->at = *at;
  net_format (at->addr, at->port, s->text);
  DL_APPEND (r->sessions, s);
  log_line (LOGL_INFO, "entry-known", "entry=%s", s->text);
  return s;
}

static void
learn_entries (struct rnr_runner *r, const lvp_endpoints *entries)
{
  uint64_t now = clk_boot ();
  u_int i;

  for (i = 0; i < entries->lvp_endpoints_len; i++)
    add_session (r, &entries->lvp_endpoints_val[i])->named_ns = now;
}

/* What S has sent and not confirmed is to be sent again.  */
static void
unsend_ends (struct rnr_session *s)
{
  struct rnr_end *end;

  s->ends_under_way = 0;
  DL_FOREACH (s->runner->ends, end)
  if (end->owner == s->entry)
    end->sent = false;
}

static void
forget_ends (struct rnr_session *s)
{
  struct rnr_end *end;
  struct rnr_end *next;

  DL_FOREACH_SAFE (s->runner->ends, end, next)
  if (end->sent && end->owner == s->entry)
    {
      DL_DELETE (s->runner->ends, end);
      talloc_free (end);
    }
}

static void
report_answered (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct confirm *confirm = priv;
  struct rnr_session *s = confirm->session;
  lvp_report_res out;

  (void)conn;
  if (err == 0 && WIR_DECODE (lvp_report_res, res, &out))
    {
      if (confirm->sent_ns > s->confirmed_ns)
        s->confirmed_ns = confirm->sent_ns;
      s->hungry = out.hungry;
      learn_entries (s->runner, &out.entries);
      WIR_FREE (lvp_report_res, &out);
      if (confirm->with_ends && --s->ends_under_way == 0)
        forget_ends (s);
    }
  talloc_free (confirm);
}

static struct confirm *
begin_report (struct rnr_session *s, uint64_t now_ns, bool with_ends)
{
  struct confirm *confirm = talloc_zero (s->runner->mem_ctx, struct confirm);

  confirm->session = s;
  confirm->sent_ns = now_ns;
  confirm->with_ends = with_ends;
  s->reported_ns = now_ns;
  s->told = true;
  return confirm;
}

static void
send_report (struct rnr_session *s)
{
  uint64_t now = clk_boot ();
  lvp_report report = make_report (s->runner, s, now);
  struct confirm *confirm = begin_report (s, now, false);

  if (onc_call (s->conn, LVP_REPORT, (xdrproc_t)xdr_lvp_report, &report,
                report_answered, confirm)
      != 0)
    talloc_free (confirm);
}

/* Send S the ends that it has not been sent.  */
static void
send_ends (struct rnr_session *s)
{
  struct rnr_runner *r = s->runner;
  uint64_t now = clk_boot ();
  struct confirm *confirm;
  struct rnr_end *end;
  lvp_ends ends = { 0 };
  u_int n = 0;

  DL_FOREACH (r->ends, end)
  n += !end->sent && end->owner == s->entry;
  if (n == 0)
    return;
  if (n > LVP_RUNS_MAX)
    n = LVP_RUNS_MAX;
  ends.ends.lvp_end_list_val = talloc_array (NULL, lvp_end, n);
  DL_FOREACH (r->ends, end)
  if (!end->sent && end->owner == s->entry && ends.ends.lvp_end_list_len < n)
    {
      ends.ends.lvp_end_list_val[ends.ends.lvp_end_list_len++] = end->end;
      end->sent = true;
    }
  ends.report = make_report (r, s, now);
  confirm = begin_report (s, now, true);
  s->ends_under_way++;
  if (onc_call (s->conn, LVP_ENDS, (xdrproc_t)xdr_lvp_ends, &ends,
                report_answered, confirm)
      != 0)
    {
      talloc_free (confirm);
      unsend_ends (s);
    }
  talloc_free (ends.ends.lvp_end_list_val);
}

/* Ends to whom they concern, room to those who wait for it.  */
static void
tell_entries (struct rnr_runner *r, bool all)
{
  struct rnr_session *s;

  DL_FOREACH (r->sessions, s)
  {
    if (!s->joined)
      continue;
    s->told = false;
    send_ends (s);
    if (!s->told && (all || s->hungry))
      send_report (s);
  }
}

/* The minion, as looks show it.  */

static void
minion_reborn (struct rnr_runner *r, const struct mnn_view *view)
{
  struct rnr_minion *m = &r->minion;

  log_line (LOGL_INFO, "minion", "incarnation=%llu before=%llu running=%u",
            (unsigned long long)view->incarnation,
            (unsigned long long)m->incarnation, view->running_count);
  if (m->incarnation != 0)
    rnb_all_gone (&r->book);
  m->incarnation = view->incarnation;
  m->ends_through = 0;
  if (m->room_incarnation != view->incarnation)
    m->leaving = false;
}

static void
see_minion (struct rnr_runner *r, const struct mnn_view *view)
{
  struct rnr_minion *m = &r->minion;
  uint64_t now = clk_boot ();

  if (view->incarnation != m->incarnation)
    minion_reborn (r, view);
  rnb_list_ends (&r->book, view->ends, view->end_count);
  rnb_list_running (&r->book, view->running, view->running_count, m->looked_ns,
                    now);
  if (view->ends_through > m->ends_through)
    m->ends_through = view->ends_through;
  m->seen_ns = now;
  m->known = true;
  r->token_step = TOKEN_STEP;
}

/* Nothing answers at the minion, or the last lease there has lapsed.  */
static void
minion_gone (struct rnr_runner *r, const char *why)
{
  if (r->minion.incarnation != 0 || !r->minion.known)
    log_line (LOGL_INFO, "minion-gone", "why=%s runs=%u", why,
              HASH_COUNT (r->book.runs));
  rnb_all_gone (&r->book);
  r->minion.known = true;
  r->minion.incarnation = 0;
}

static void
looked (const struct mnn_view *view, void *arg)
{
  struct rnr_runner *r = arg;

  r->minion.looking = false;
  note_result (r, &view->result);
  log_line (LOGL_DEBUG, "look", "answer=%d took_ms=%llu ends=%u running=%u",
            view->result.answer,
            (unsigned long long)(clk_since (clk_boot (), r->minion.looked_ns)
                                 / CLK_MS),
            view->end_count, view->running_count);
  if (view->result.answer == MNN_OK)
    see_minion (r, view);
  else if (view->result.answer == MNN_ABSENT)
    minion_gone (r, "absent");
  tell_entries (r, false);
  if (view->result.answer == MNN_OK || view->result.answer == MNN_FENCED)
    look (r);
}

static void
look (struct rnr_runner *r)
{
  struct mnn_lease lease;

  if (r->minion.looking)
    return;
  r->minion.looking = true;
  r->minion.looked_ns = clk_boot ();
  lease = lease_now (r, r->minion.looked_ns);
  r->ops->look (r->ops_priv, &lease, r->minion.ends_through, LOOK_WAIT_MS,
                looked, r);
}

/* Orders of entries.  */

static void
start_run (struct rnr_runner *r, const struct rnr_session *s,
           const lvp_order *order, const lvp_run *wanted, uint64_t now_ns)
{
  struct amt_amount need = wir_to_amount (&order->need);
  struct mnn_lease lease = lease_now (r, now_ns);
  char name[RNB_NAME_MAX];
  struct rnb_run *run;

  snprintf (name, sizeof name, "%s.%u", order->job, wanted->index);
  run = rnb_order (&r->book, lv_slice_of (name), wanted->attempt, &need,
                   now_ns);
  if (run == NULL)
    {
      ctr_add (&r->counters, RNR_NO_ROOM, 1);
      keep_end (r, s->entry, wanted->run, LVP_HOW_NO_ROOM, 0);
      return;
    }
  run->owner = s->entry;
  run->number = wanted->run;
  run->estimate_ms = order->estimate_ms;
  r->ops->start (r->ops_priv, run, wir_slice (&order->spec), &lease,
                 start_answered, remember (r, run));
}

static void
take_order (struct rnr_session *s, const lvp_order *order)
{
  struct rnr_runner *r = s->runner;
  uint64_t now = clk_boot ();
  bool fresh = chn_fresh (order->stamp_ms * CLK_MS, now)
               && chn_fresh (s->confirmed_ns, now);
  bool open = accepting (r, now);
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
      start_run (r, s, order, &order->runs.runs_val[i], now);
    else
      keep_end (r, s->entry, order->runs.runs_val[i].run,
                fresh ? LVP_HOW_LEAVING : LVP_HOW_STALE, 0);
  if (!fresh)
    ctr_add (&r->counters, RNR_STALE, order->runs.runs_len);
  send_ends (s);
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
      struct rnb_run *run
          = rnb_find_number (&r->book, s->entry, stop.runs.runs_val[i]);

      if (run != NULL)
        rnb_stop (&r->book, run, clk_boot ());
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

/* Connections to entries.  */

static void
on_closed (struct onc_conn *conn, const struct err_error *err, void *priv)
{
  struct rnr_session *s = priv;

  (void)conn;
  if (s->joined)
    {
      ctr_add (&s->runner->counters, RNR_SESSIONS_LOST, 1);
      log_line (LOGL_INFO, "entry-lost", "entry=%s code=%d why=\"%s\"",
                s->text, err->code, err->detail);
    }
  s->conn = NULL;
  s->joined = false;
  unsend_ends (s);
}

static void
joined (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct confirm *confirm = priv;
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
    rnb_stop_owner (&s->runner->book, s->entry, clk_boot ());
  s->entry = out.incarnation;
  s->joined = true;
  s->confirmed_ns = sent_ns;
  s->hungry = out.report.hungry;
  log_line (LOGL_INFO, "entry-joined", "entry=%s incarnation=%llx", s->text,
            (unsigned long long)s->entry);
  learn_entries (s->runner, &out.report.entries);
  WIR_FREE (lvp_join_res, &out);
  send_ends (s);
}

/* Numbers of the runs and untaken ends that belong to the entry of S.  */
static u_quad_t *
list_runs (const struct rnr_session *s, u_int *count)
{
  const struct rnr_runner *r = s->runner;
  u_quad_t *runs = talloc_array (NULL, u_quad_t, LVP_RUNS_MAX);
  const struct rnb_run *run;
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
  struct confirm *confirm = begin_report (s, now_ns, false);
  lvp_join join = { .name = (char *)r->set.name,
                    .incarnation = r->incarnation,
                    .service = (char *)r->set.service,
                    .domain = (char *)r->set.domain,
                    .entry = s->entry,
                    .report = make_report (r, s, now_ns) };

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

static void
tick_session (struct rnr_session *s, uint64_t now_ns)
{
  if (s->conn == NULL)
    {
      if (clk_since (now_ns, s->dialed_ns) >= DIAL_NS)
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
    send_report (s);
  /* Nobody confirms what runs for this entry: it must end before the entry
     takes it to have ended.  */
  if (s->entry != 0 && !chn_fresh (s->confirmed_ns, now_ns))
    rnb_stop_owner (&s->runner->book, s->entry, now_ns);
}

static void
tick_sessions (struct rnr_runner *r, uint64_t now_ns)
{
  struct rnr_session *s;
  struct rnr_session *next;

  DL_FOREACH_SAFE (r->sessions, s, next)
  {
    tick_session (s, now_ns);
    if (s->conn != NULL || s->named_ns == 0
        || clk_since (now_ns, s->named_ns) < GONE_NS)
      continue;
    log_line (LOGL_INFO, "entry-gone", "entry=%s", s->text);
    DL_DELETE (r->sessions, s);
    talloc_free (s);
  }
}

static void
drop_old_ends (struct rnr_runner *r, uint64_t now_ns)
{
  struct rnr_end *end;
  struct rnr_end *next;

  DL_FOREACH_SAFE (r->ends, end, next)
  if (clk_since (now_ns, end->since_ns) > END_KEEP_NS
      && session_of (r, end->owner) == NULL)
    {
      DL_DELETE (r->ends, end);
      talloc_free (end);
    }
}

static void
tick (void *priv)
{
  struct rnr_runner *r = priv;
  struct amt_amount left = rnb_free (&r->book);
  uint64_t now = clk_boot ();

  if (now >= r->minion.lease_end_ns
      && clk_since (now, r->minion.seen_ns) > SEEN_NS)
    minion_gone (r, "silent");
  tick_sessions (r, now);
  rnb_tick (&r->book, now);
  look (r);
  tell_entries (r, false);
  drop_old_ends (r, now);
  if (r->leaving && clk_since (now, r->leaving_ns) > LEAVE_NS)
    {
      struct rnr_session *s;
      DL_FOREACH (r->sessions, s)
      rnb_stop_owner (&r->book, s->entry, now);
    }
  ctr_set_gauge (&r->counters, RNR_RUNNING, HASH_COUNT (r->book.runs));
  ctr_set_gauge (&r->counters, RNR_FREE_MCORES, left.mcores);
  log_flush ();
}

void
rnr_seeds (struct rnr_runner *r, const struct set_strings *seeds)
{
  struct sockaddr_in address;
  lvp_endpoint at;
  unsigned i;

  for (i = 0; i < seeds->count; i++)
    {
      if (net_parse (&address, seeds->item[i]) != 0)
        {
          log_line (LOGL_WARN, "bad-seed", "text=%.60s", seeds->item[i]);
          continue;
        }
      at.addr = ntohl (address.sin_addr.s_addr);
      at.port = ntohs (address.sin_port);
      add_session (r, &at);
    }
}

int
rnr_init (struct rnr_runner *r, void *mem_ctx, struct tevent_context *ev,
          const struct rnr_settings *settings, const struct mnn_ops *ops,
          void *ops_priv)
{
  struct rnb_events events = { run_ended, order_stop, r };

  memset (r, 0, sizeof *r);
  r->set = *settings;
  r->ev = ev;
  r->mem_ctx = mem_ctx;
  r->ops = ops;
  r->ops_priv = ops_priv;
  r->incarnation = rnd_u64 ();
  r->token = clk_wall_ms ();
  r->token_step = TOKEN_STEP;
  /* A predecessor may have asked for a lease just before it ended.  */
  r->minion.lease_end_ns
      = chn_lease_end (clk_boot (), settings->lease_max_ms * CLK_MS);
  rnb_init (&r->book, mem_ctx, &events);
  ctr_init (&r->counters, descs, RNR_COUNTERS);
  rnr_seeds (r, &settings->seeds);
  tick (r);
  return tck_start (mem_ctx, ev, TICK_MS, tick, r);
}

void
rnr_finish (struct rnr_runner *r)
{
  rnb_finish (&r->book);
}

bool
rnr_minion_report (struct rnr_runner *r, const struct mnn_report *report)
{
  struct rnr_minion *m = &r->minion;

  if (!lv_slice_eq (report->service, lv_slice_of (r->set.service)))
    {
      log_line (LOGL_WARN, "minion-report", "service=%.*s expected=%s",
                (int)report->service.len, report->service.data,
                r->set.service);
      return false;
    }
  if (report->incarnation < m->room_incarnation
      || (report->incarnation == m->room_incarnation
          && report->sequence < m->sequence))
    return true;
  if (report->incarnation != m->room_incarnation
      || report->leaving != m->leaving)
    log_line (LOGL_INFO, "minion-report",
              "incarnation=%llu mcores=%u memory_mb=%u leaving=%d",
              (unsigned long long)report->incarnation, report->room.mcores,
              report->room.memory_mb, report->leaving);
  m->room_incarnation = report->incarnation;
  m->sequence = report->sequence;
  m->leaving = report->leaving;
  r->book.total = report->room;
  tell_entries (r, true);
  return true;
}

void
rnr_minion_left (struct rnr_runner *r)
{
  log_line (LOGL_INFO, "minion-left", "runs=%u", HASH_COUNT (r->book.runs));
  r->minion.leaving = true;
  tell_entries (r, true);
}

void
rnr_leave (struct rnr_runner *r)
{
  r->leaving = true;
  r->leaving_ns = clk_boot ();
  log_line (LOGL_INFO, "leaving", "runs=%u", HASH_COUNT (r->book.runs));
  tell_entries (r, true);
}

bool
rnr_done (const struct rnr_runner *r)
{
  return r->leaving && r->book.runs == NULL && r->ends == NULL;
}
