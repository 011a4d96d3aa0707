#include "runner_parts.h"

#include <talloc.h>
#include <utlist.h>

#include "logline.h"
#include "wire.h"
#include "xtalloc.h"

/* Time between two reports that request an entry's whole list, ns.  Shorter
   than FORGET_NS in runner_entries.c, so that listed entries are kept.  */
#define FULL_LIST_INTERVAL_NS (5 * CLK_S)
/* Ends older than this are dropped unless their entry is joined, ns.  */
#define END_RETENTION_NS (3 * CLK_S)

/* What the entry of S may order, as far as the minion's health goes.  */
static lvp_use
use_of (const struct rnr_runner *r, const struct rnr_session *s,
        uint64_t now_ns)
{
  static const lvp_use uses[] = { [MNH_ANY] = LVP_USE_ANY,
                                  [MNH_NOTHING] = LVP_USE_NOTHING,
                                  [MNH_PROBE] = LVP_USE_PROBE };

  return uses[mnh_use (&r->minion.health, s->incarnation, now_ns)];
}

/* Fill REPORT with the next ends at the minion, by their progress or their
   declared run times.  */
static void
list_ends (struct rnr_runner *r, lvp_report *report, uint64_t now_ns)
{
  struct lkh_end ends[LKH_ENDS_MAX];
  const struct rtk_run *run;
  unsigned count = 0;
  unsigned i;

  for (run = r->tracker.runs; run != NULL; run = run->hh.next)
    {
      uint64_t age_ms = clk_since (now_ns, run->ordered_ns) / CLK_MS;
      double estimate_ms = run->estimate_ms * r->minion.health.ratio;
      struct lkh_end end
          = { lkh_remaining_ms (age_ms, run->percent, (uint64_t)estimate_ms),
              run->need };

      lkh_add_end (ends, &count, &end);
    }
  for (i = 0; i < count; i++)
    {
      r->soon[i].in_ms = ends[i].in_ms;
      r->soon[i].frees = wir_amount (&ends[i].frees);
    }
  report->soon.soon_val = r->soon;
  report->soon.soon_len = count;
}

lvp_report
rnr_make_report (struct rnr_runner *r, const struct rnr_session *s,
                 uint64_t now_ns)
{
  struct amt_amount left = rtk_free_amount (&r->tracker);
  const struct mnh_health *health = &r->minion.health;
  enum drn_cause cause = rnr_drain_cause (r, s);
  lvp_report report
      = { .stamp_ms = now_ns / CLK_MS,
          .synced = r->minion.runs_known && r->tracker.unknown_runs == 0,
          .accepting
          = rnr_able (r, now_ns) && (cause == DRN_NONE || cause == DRN_DOMAIN),
          .drained = r->domain_drained,
          .starts_left = wmp_starts_left (&r->minion.warmup, now_ns),
          .orders = s->orders,
          .confirmed_ms
          = s->joined
                ? (u_int)(clk_since (now_ns, rnr_answered_ns (s)) / CLK_MS)
                : 0,
          .known = clk_since (now_ns, s->full_list_ns) < FULL_LIST_INTERVAL_NS
                       ? s->list_digest
                       : 0,
          .total = wir_amount (&r->tracker.total),
          .free = wir_amount (&left),
          .use = use_of (r, s, now_ns),
          .ratio_permille = (u_int)(1000 * health->ratio),
          .ratio_runs = (u_int)health->ratio_runs };

  if (s->has_backlog)
    list_ends (r, &report, now_ns);
  return report;
}

void
rnr_requeue_ends (struct rnr_session *s)
{
  struct rnr_end *end;

  s->ends_in_flight = 0;
  s->ends_series++;
  DL_FOREACH (s->runner->ends, end)
  if (end->owner == s->incarnation)
    end->sent = false;
}

static void
drop_sent_ends (struct rnr_session *s)
{
  struct rnr_end *end;
  struct rnr_end *next;

  DL_FOREACH_SAFE (s->runner->ends, end, next)
  if (end->sent && end->owner == s->incarnation)
    {
      DL_DELETE (s->runner->ends, end);
      talloc_free (end);
    }
}

/* The ends of a message that were sent again since are confirmed by the later
   one only.  */
static void
confirm_ends (struct rnr_session *s, const struct rnr_pending_report *pending)
{
  if (pending->with_ends && pending->ends_series == s->ends_series
      && --s->ends_in_flight == 0)
    drop_sent_ends (s);
}

static void
report_answered (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct rnr_pending_report *pending = priv;
  struct rnr_session *s = pending->session;
  lvp_report_res out;

  (void)conn;
  if (err == 0 && WIR_DECODE (lvp_report_res, res, &out))
    {
      rnr_observe_time (s->runner, RNR_TIME_REPORT,
                        pending->with_ends ? "ends" : "report",
                        clk_since (clk_boot (), pending->sent_ns));
      if (pending->sent_ns > s->confirmed_ns)
        s->confirmed_ns = pending->sent_ns;
      rnr_apply_answer (s, &out);
      WIR_FREE (lvp_report_res, &out);
      confirm_ends (s, pending);
    }
  talloc_free (pending);
}

struct rnr_pending_report *
rnr_begin_report (struct rnr_session *s, uint64_t now_ns, bool with_ends)
{
  struct rnr_pending_report *pending
      = xtalloc_zero (s->runner->mem_ctx, struct rnr_pending_report);

  pending->session = s;
  pending->sent_ns = now_ns;
  pending->with_ends = with_ends;
  pending->ends_series = s->ends_series;
  s->reported_ns = now_ns;
  s->reported = true;
  return pending;
}

void
rnr_send_report (struct rnr_session *s)
{
  uint64_t now = clk_boot ();
  lvp_report report = rnr_make_report (s->runner, s, now);
  struct rnr_pending_report *pending = rnr_begin_report (s, now, false);

  if (onc_call (s->conn, LVP_REPORT, (xdrproc_t)xdr_lvp_report, &report,
                report_answered, pending)
      != 0)
    talloc_free (pending);
}

void
rnr_send_ends (struct rnr_session *s)
{
  struct rnr_runner *r = s->runner;
  uint64_t now = clk_boot ();
  struct rnr_pending_report *pending;
  struct rnr_end *end;
  lvp_ends ends = { 0 };
  u_int n = 0;

  DL_FOREACH (r->ends, end)
  n += !end->sent && end->owner == s->incarnation;
  if (n == 0)
    return;
  if (n > LVP_RUNS_MAX)
    n = LVP_RUNS_MAX;
  ends.ends.lvp_end_list_val = xtalloc_array (NULL, lvp_end, n);
  DL_FOREACH (r->ends, end)
  if (!end->sent && end->owner == s->incarnation
      && ends.ends.lvp_end_list_len < n)
    {
      ends.ends.lvp_end_list_val[ends.ends.lvp_end_list_len++] = end->end;
      end->sent = true;
    }
  ends.report = rnr_make_report (r, s, now);
  pending = rnr_begin_report (s, now, true);
  s->ends_in_flight++;
  if (onc_call (s->conn, LVP_ENDS, (xdrproc_t)xdr_lvp_ends, &ends,
                report_answered, pending)
      != 0)
    {
      talloc_free (pending);
      rnr_requeue_ends (s);
    }
  talloc_free (ends.ends.lvp_end_list_val);
}

static struct rnr_session *
next_prober (struct rnr_runner *r)
{
  struct rnr_session *fallback = NULL;
  struct rnr_session *s;

  DL_FOREACH (r->sessions, s)
  {
    if (!s->joined || s->incarnation == 0)
      continue;
    if (s->has_backlog)
      return s;
    if (fallback == NULL)
      fallback = s;
  }
  return fallback;
}

void
rnr_offer_probe (struct rnr_runner *r, uint64_t now_ns)
{
  struct rnr_session *s;

  if (!mnh_needs_prober (&r->minion.health, now_ns))
    return;
  s = next_prober (r);
  if (s == NULL)
    return;
  mnh_set_prober (&r->minion.health, s->incarnation, now_ns);
  rnr_send_report (s);
  DL_DELETE (r->sessions, s);
  DL_APPEND (r->sessions, s);
}

/* Reports free capacity to one of the entries with a backlog, in round-robin
   order: reported to all at once, all would order for the same capacity.  */
static void
notify_next_waiting (struct rnr_runner *r)
{
  struct amt_amount left = rtk_free_amount (&r->tracker);
  struct rnr_session *s;
  struct rnr_session *next;

  if (left.mcores == 0)
    return;
  DL_FOREACH_SAFE (r->sessions, s, next)
  {
    if (!s->joined || !s->has_backlog || s->reported)
      continue;
    rnr_send_report (s);
    DL_DELETE (r->sessions, s);
    DL_APPEND (r->sessions, s);
    return;
  }
}

void
rnr_notify_entries (struct rnr_runner *r, bool all)
{
  struct rnr_session *s;

  DL_FOREACH (r->sessions, s)
  {
    s->reported = false;
    if (!s->joined)
      continue;
    rnr_send_ends (s);
    if (all && !s->reported)
      rnr_send_report (s);
  }
  notify_next_waiting (r);
}

void
rnr_drop_expired_ends (struct rnr_runner *r, uint64_t now_ns)
{
  struct rnr_end *end;
  struct rnr_end *next;

  DL_FOREACH_SAFE (r->ends, end, next)
  if (clk_since (now_ns, end->ended_ns) > END_RETENTION_NS
      && rnr_find_session (r, end->owner) == NULL)
    {
      DL_DELETE (r->ends, end);
      talloc_free (end);
    }
}
