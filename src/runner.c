#include "runner_parts.h"

#include <stdio.h>
#include <utlist.h>

#include "entropy.h"
#include "lagoonvale/name.h"
#include "logline.h"
#include "tick.h"

#define TICK_MS 25
/* Time after rnr_leave() before the remaining runs are stopped, ns.  */
#define DRAIN_NS (4 * CLK_S)

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
  { "lagoonvale_minion_silences_total",
    "times that the minion stopped answering polls", false },
  { "lagoonvale_minion_crashes_total",
    "times that the minion was found restarted, or its port closed", false },
  { "lagoonvale_runs_lost_total",
    "runs that ended because the minion was gone", false },
  { "lagoonvale_leases_withheld_total",
    "times that the lease was not renewed, since runs given up were not "
    "stopped in time",
    false },
  { "lagoonvale_drained", "1 while this failure domain is drained", true },
  { "lagoonvale_runs_drained_total",
    "orders refused since this failure domain is drained", false },
  { "lagoonvale_cold", "1 while the minion is cold, and its starts limited",
    true },
  { "lagoonvale_runs_cold_total",
    "orders refused since the cold minion had its share of starts", false },
  { "lagoonvale_runs", "runs in the book", true },
  { "lagoonvale_free_mcores", "room for further runs", true },
};

static const struct hst_desc times[] = {
  { "lagoonvale_run_seconds", "from an order to the end of its run", "how",
    NULL },
  { "lagoonvale_minion_call_seconds", "calls of the minion", "call",
    "outcome" },
  { "lagoonvale_report_seconds", "from a report to its confirmation", "kind",
    NULL },
  { "lagoonvale_store_seconds", "calls of the store", "call", "outcome" },
  { "lagoonvale_recovery_seconds",
    "from a start to the first entry joined, from an entry's loss to its "
    "return, from the minion's silence to its next answer",
    "what", NULL },
};

static void
on_minion_polled (struct rnr_runner *r)
{
  rnr_notify_entries (r, r->minion.health_changed);
  r->minion.health_changed = false;
}

/* Log when the minion's report becomes too old to go by, and when a new one
   has arrived.  */
static void
note_report_age (struct rnr_runner *r)
{
  struct rnr_minion *m = &r->minion;
  bool outdated = m->report_incarnation != 0 && rnr_report_outdated (r);

  if (outdated == m->report_outdated)
    return;
  m->report_outdated = outdated;
  log_line (LOGL_WARN,
            outdated ? "minion-report-outdated" : "minion-report-current",
            "age_ms=%llu mcores=%u runs=%u",
            (unsigned long long)rnr_report_age_ms (r), r->tracker.total.mcores,
            HASH_COUNT (r->tracker.runs));
  rnr_notify_entries (r, true);
}

static void
on_minion_lost (struct rnr_runner *r, lvp_fate fate)
{
  rnr_report_loss (r, fate);
}

static void
on_silence_ended (struct rnr_runner *r, lvp_fate fate)
{
  rnr_report_silence_end (r, fate);
}

static void
tick (void *priv)
{
  struct rnr_runner *r = priv;
  struct amt_amount left = rtk_free_amount (&r->tracker);
  uint64_t now = clk_boot ();

  if (rnw_expired (&r->minion.renewal, clk_now ()))
    rnr_set_minion_silent (r);
  rnr_tick_sessions (r, now);
  rtk_tick (&r->tracker, now);
  rnr_poll_minion (r);
  note_report_age (r);
  rnr_note_lease (r);
  rnr_offer_probe (r, now);
  rnr_notify_entries (r, r->minion.health_changed);
  r->minion.health_changed = false;
  rnr_drop_expired_ends (r, now);
  if (r->leaving && clk_since (now, r->leaving_ns) > DRAIN_NS)
    {
      struct rnr_session *s;
      DL_FOREACH (r->sessions, s)
      rtk_give_up_owner (&r->tracker, s->incarnation, now);
    }
  ctr_set_gauge (&r->counters, RNR_COLD,
                 wmp_starts_left (&r->minion.warmup, now) != WMP_UNLIMITED);
  ctr_set_gauge (&r->counters, RNR_DRAINED, r->domain_drained);
  ctr_set_gauge (&r->counters, RNR_RUNNING, HASH_COUNT (r->tracker.runs));
  ctr_set_gauge (&r->counters, RNR_FREE_MCORES, left.mcores);
  log_flush ();
}

int
rnr_init (struct rnr_runner *r, void *mem_ctx, struct tevent_context *ev,
          const struct rnr_settings *settings, const struct mnn_ops *ops,
          void *ops_priv)
{
  struct rtk_events events = { rnr_run_ended, rnr_send_stop, r };
  struct rtk_limits limits = { settings->stop_max_ms * CLK_MS, MNN_STOPS_MAX };

  memset (r, 0, sizeof *r);
  r->settings = *settings;
  r->ev = ev;
  r->mem_ctx = mem_ctx;
  r->ops = ops;
  r->ops_priv = ops_priv;
  r->minion_polled = on_minion_polled;
  r->minion_lost = on_minion_lost;
  r->silence_ended = on_silence_ended;
  r->incarnation = rnd_u64 ();
  ftk_init (&r->token, clk_wall_ms ());
  rnw_init (&r->minion.renewal, clk_now (), settings->lease_max_ms * CLK_MS);
  mnh_init (&r->minion.health);
  wmp_init (&r->minion.warmup, (unsigned)settings->warmup_burst);
  rtk_init (&r->tracker, mem_ctx, &events, &limits);
  orr_init (&r->order_rates, mem_ctx);
  r->started_ns = clk_boot ();
  ctr_init (&r->counters, descs, RNR_COUNTERS);
  hst_init (&r->times, mem_ctx, times, RNR_TIMES);
  rnr_add_seeds (r, &settings->seeds);
  tick (r);
  return tck_start (mem_ctx, ev, TICK_MS, tick, r);
}

void
rnr_finish (struct rnr_runner *r)
{
  rtk_finish (&r->tracker);
  orr_finish (&r->order_rates);
  hst_finish (&r->times);
}

/* Whether REPORT was delayed and says less than is known: an older one of the
   same process, or one of a former process.  The process that answers polls is
   never a former one, though its clock may have gone back.  A number is not
   compared with that of a report which no longer counts: it may have been odd,
   and a delayed report is too old by the minion's clock.  */
static bool
is_superseded (const struct rnr_runner *r, const struct mnn_report *report)
{
  const struct rnr_minion *m = &r->minion;

  if (report->incarnation == m->report_incarnation)
    return report->sequence < m->report_sequence && !rnr_report_outdated (r);
  return report->incarnation < m->report_incarnation
         && report->incarnation != m->incarnation;
}

/* Whether REPORT says something else than the one before.  */
static bool
is_news (const struct rnr_runner *r, const struct mnn_report *report)
{
  return report->incarnation != r->minion.report_incarnation
         || report->leaving != r->minion.leaving
         || !amt_equal (&report->total, &r->tracker.total);
}

/* An id that cannot be sent in a header is not used.  */
static void
set_id (struct rnr_minion *m, struct lv_slice id)
{
  bool usable = id.len < sizeof m->id && nam_valid (id);

  if (!usable)
    log_ratelimited (LOGL_WARN, "minion-bad-id", "bytes=%zu", id.len);
  snprintf (m->id, sizeof m->id, "%.*s", usable ? (int)id.len : 0, id.data);
}

bool
rnr_handle_minion_report (struct rnr_runner *r,
                          const struct mnn_report *report)
{
  struct rnr_minion *m = &r->minion;
  bool news;

  if (!lv_slice_eq (report->service, lv_slice_of (r->settings.service)))
    {
      log_line (LOGL_WARN, "minion-report", "service=%.*s expected=%s",
                (int)report->service.len, report->service.data,
                r->settings.service);
      return false;
    }
  if (is_superseded (r, report))
    return true;
  news = is_news (r, report);
  if (news)
    log_line (LOGL_INFO, "minion-report",
              "incarnation=%llu mcores=%u memory_mb=%u leaving=%d cold_ms=%u "
              "mcores_before=%u mcores_used=%u",
              (unsigned long long)report->incarnation, report->total.mcores,
              report->total.memory_mb, report->leaving, report->cold_ms,
              r->tracker.total.mcores, r->tracker.used.mcores);
  set_id (m, report->id);
  m->report_incarnation = report->incarnation;
  m->report_sequence = report->sequence;
  m->reported.written_ms = report->clock_ms;
  m->reported.received_ns = clk_boot ();
  m->leaving = report->leaving;
  wmp_set_left (&m->warmup, report->cold_ms, clk_boot ());
  r->tracker.total = report->total;
  m->absent = false;
  rnr_poll_minion (r);
  if (news)
    rnr_notify_entries (r, true);
  return true;
}

void
rnr_handle_minion_exit (struct rnr_runner *r, struct lv_slice id)
{
  bool former = r->minion.id[0] != '\0'
                && !lv_slice_eq (id, lv_slice_of (r->minion.id));

  log_line (LOGL_INFO, "minion-left", "runs=%u former=%d",
            HASH_COUNT (r->tracker.runs), former);
  if (former)
    return;
  r->minion.leaving = true;
  rnr_notify_entries (r, true);
}

void
rnr_leave (struct rnr_runner *r)
{
  r->leaving = true;
  r->leaving_ns = clk_boot ();
  log_line (LOGL_INFO, "leaving", "runs=%u", HASH_COUNT (r->tracker.runs));
  rnr_notify_entries (r, true);
}

bool
rnr_drained (const struct rnr_runner *r)
{
  return r->leaving && r->tracker.runs == NULL && r->ends == NULL;
}
