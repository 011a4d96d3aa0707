#include "runner_parts.h"

#include "logline.h"

/* Time for which the minion may hold a poll until a run ends, ms.  Each poll
   renews the lease.  */
#define POLL_WAIT_MS 50
/* The same while nothing runs there: only its health is of interest.  */
#define IDLE_POLL_WAIT_MS 100
/* Time between polls of a minion that refused the last one, ns.  Its first
   report is answered by a poll at once.  */
#define ABSENT_POLL_NS (100 * CLK_MS)
/* Time from the decision to send a start until the minion has it, ms.  */
#define START_MS 100
/* While the lease may not be renewed, a start needs so much of it, ns.  */
#define LEASE_LEFT_NS (LBD_LEASE_NS / 2)

static unsigned long long
lease_left_ms (const struct rnr_runner *r)
{
  return clk_since (r->minion.renewal.expires_ns, clk_now ()) / CLK_MS;
}

uint64_t
rnr_report_age_ms (const struct rnr_runner *r)
{
  const struct rnr_minion *m = &r->minion;

  return mck_age_ms (&m->clock, m->report_incarnation, &m->reported,
                     clk_boot ());
}

bool
rnr_report_outdated (const struct rnr_runner *r)
{
  return rnr_report_age_ms (r) + START_MS > r->settings.report_max_age_ms;
}

/* Whether the minion's lease may be renewed.  A former agent's runs, and those
   that were given up, may be started elsewhere once it should have expired. */
static bool
may_renew (const struct rnr_runner *r)
{
  return r->minion.runs_known && rtk_may_renew (&r->tracker, clk_boot ());
}

/* Whether a start has a lease to run under: one that can be renewed, or most
   of the last one.  Entries must not count on its end while it lasts.  */
static bool
has_lease (const struct rnr_runner *r)
{
  const struct rnr_minion *m = &r->minion;
  uint64_t now = clk_now ();
  uint64_t now_ms = mck_now_ms (&m->clock, m->incarnation, now);

  return lbd_covers_lease (m->renewal.expires_ns, now)
         && (may_renew (r)
             || m->lease_expires_ms >= now_ms + LEASE_LEFT_NS / CLK_MS);
}

void
rnr_note_lease (struct rnr_runner *r)
{
  struct rnr_minion *m = &r->minion;
  bool withheld = m->incarnation != 0 && !may_renew (r);

  if (withheld == m->lease_withheld)
    return;
  m->lease_withheld = withheld;
  ctr_add (&r->counters, RNR_LEASES_WITHHELD, withheld);
  log_line (LOGL_INFO, withheld ? "lease-withheld" : "lease-renewed",
            "runs=%u unknown=%u stops_open=%u lease_left_ms=%llu",
            HASH_COUNT (r->tracker.runs), r->tracker.unknown_runs,
            r->tracker.stops_open, lease_left_ms (r));
}

enum drn_cause
rnr_drain_cause (const struct rnr_runner *r, const struct rnr_session *s)
{
  struct drn_facts facts = { .agent_leaving = r->leaving,
                             .server_leaving = r->minion.leaving,
                             .entry_retired = s != NULL && s->retiring_ns != 0,
                             .domain_drained = r->domain_drained };

  return drn_cause_of (&facts);
}

bool
rnr_able (const struct rnr_runner *r, uint64_t now_ns)
{
  const struct rnr_minion *m = &r->minion;

  return m->runs_known && m->incarnation != 0 && m->fenced_ns != 0
         && m->report_incarnation == m->incarnation && !rnr_report_outdated (r)
         && clk_since (now_ns, m->poll_answered_ns) < RNR_MINION_TIMEOUT_NS
         && has_lease (r);
}

struct mnn_lease
rnr_make_lease (struct rnr_runner *r, bool renew)
{
  struct rnr_minion *m = &r->minion;
  struct mnn_lease lease = { .process = m->id, .token = r->token.value };
  uint64_t lease_ns = LBD_LEASE_NS;
  uint64_t now = clk_now ();
  uint64_t now_ms = mck_now_ms (&m->clock, m->incarnation, now);

  if (lease_ns > r->settings.lease_max_ms * CLK_MS)
    lease_ns = r->settings.lease_max_ms * CLK_MS;
  if (!renew || now_ms == 0)
    return lease;
  if (may_renew (r))
    {
      m->lease_expires_ms = now_ms + lease_ns / CLK_MS;
      rnw_requested (&m->renewal, now, lease_ns);
    }
  lease.expires_ms = m->lease_expires_ms;
  return lease;
}

static const char *
answer_name (enum mnn_answer answer)
{
  static const char *const names[]
      = { [MNN_OK] = "ok",         [MNN_FENCED] = "fenced",
          [MNN_OLD] = "old",       [MNN_REFUSED] = "refused",
          [MNN_ABSENT] = "absent", [MNN_UNANSWERED] = "unanswered" };

  return (unsigned)answer < sizeof names / sizeof names[0] ? names[answer]
                                                           : "?";
}

void
rnr_record_result (struct rnr_runner *r, const struct mnn_result *result,
                   const char *call, uint64_t sent_ns)
{
  hst_observe (&r->times, RNR_TIME_MINION, lv_slice_of (call),
               lv_slice_of (answer_name (result->answer)),
               clk_since (clk_boot (), sent_ns));
  if (result->answer == MNN_UNANSWERED)
    ctr_add (&r->counters, RNR_UNANSWERED, 1);
  else if (result->answer != MNN_ABSENT)
    r->minion.alive_ns = clk_boot ();
  if (result->answer != MNN_FENCED)
    return;
  ftk_refuse (&r->token);
  ctr_add (&r->counters, RNR_FENCED, 1);
  log_line (LOGL_INFO, "fencing-token", "why=refused next=%llu",
            (unsigned long long)r->token.value);
}

/* End all runs of the process that last answered a poll: it has ended.  One
   that was leaving ended as planned, whatever ran there.  */
static void
end_runs_of_former (struct rnr_runner *r)
{
  ftk_raise (&r->token);
  if (r->minion.leaving)
    {
      rtk_end_all (&r->tracker, RTK_LAPSED);
      return;
    }
  ctr_add (&r->counters, RNR_CRASHES, 1);
  r->minion_lost (r, LVP_FATE_CRASHED);
  rtk_end_all (&r->tracker, RTK_CRASHED);
}

/* It is known what became of the process that had fallen silent, if any.  */
static void
end_silence (struct rnr_runner *r, bool survived)
{
  if (r->minion.silent_incarnation == 0)
    return;
  r->minion.silent_incarnation = 0;
  ctr_add (&r->counters, RNR_CRASHES, !survived);
  r->silence_ended (r, survived ? LVP_FATE_SURVIVED : LVP_FATE_CRASHED);
}

static void
handle_minion_restart (struct rnr_runner *r, const struct mnn_listing *listing)
{
  struct rnr_minion *m = &r->minion;

  log_line (LOGL_INFO, "minion",
            "incarnation=%llu before=%llu running=%u lost=%u",
            (unsigned long long)listing->incarnation,
            (unsigned long long)m->incarnation, listing->running_count,
            m->incarnation != 0 ? HASH_COUNT (r->tracker.runs) : 0);
  if (m->incarnation != 0)
    end_runs_of_former (r);
  end_silence (r, listing->incarnation == m->silent_incarnation);
  mnh_init (&m->health);
  m->health_changed = true;
  m->incarnation = listing->incarnation;
  m->fenced_ns = 0;
  m->lease_expires_ms = 0;
  m->ends_through = 0;
  if (m->report_incarnation != listing->incarnation)
    m->leaving = false;
}

/* A process that has answered a poll for the first time may have executed a
   request that was meant for a former one, and hold the longest lease by the
   clock of that one.  It executes no more of these once it has seen a token
   that none of them had.  */
static void
note_fence (struct rnr_runner *r)
{
  struct rnr_minion *m = &r->minion;

  if (m->fenced_ns != 0)
    return;
  rnw_requested (&m->renewal, clk_now (), r->settings.lease_max_ms * CLK_MS);
  if (m->poll_token != r->token.value)
    return;
  m->fenced_ns = clk_boot ();
  m->health_changed = true;
}

static void
apply_listing (struct rnr_runner *r, const struct mnn_listing *listing)
{
  struct rnr_minion *m = &r->minion;
  uint64_t now = clk_boot ();

  if (listing->incarnation != m->incarnation)
    handle_minion_restart (r, listing);
  /* Only a listing says which process it is from.  */
  mck_observe (&m->clock, listing->incarnation, listing->result.clock_ms,
               m->poll_sent_ns, clk_now ());
  note_fence (r);
  rtk_apply_ends (&r->tracker, listing->ends, listing->end_count);
  rtk_apply_running (&r->tracker, listing->running, listing->running_count,
                     m->poll_sent_ns, now);
  if (listing->ends_through > m->ends_through)
    m->ends_through = listing->ends_through;
  if (m->poll_answered_ns != 0
      && clk_since (now, m->poll_answered_ns) > RNR_MINION_TIMEOUT_NS)
    rnr_observe_time (r, RNR_TIME_RECOVERY, "minion-silent-to-seen",
                      clk_since (now, m->poll_answered_ns));
  m->poll_answered_ns = now;
  m->runs_known = true;
  ftk_accept (&r->token);
}

static void
log_gone (const struct rnr_runner *r, const char *why)
{
  uint64_t now = clk_boot ();

  if (r->minion.incarnation != 0 || !r->minion.runs_known)
    log_line (LOGL_INFO, "minion-gone",
              "why=%s runs=%u answered_ms=%llu lease_left_ms=%llu", why,
              HASH_COUNT (r->tracker.runs),
              (unsigned long long)(clk_since (now, r->minion.poll_answered_ns)
                                   / CLK_MS),
              lease_left_ms (r));
}

void
rnr_set_minion_silent (struct rnr_runner *r)
{
  struct rnr_minion *m = &r->minion;

  log_gone (r, "silent");
  if (m->incarnation != 0)
    {
      m->silent_incarnation = m->incarnation;
      ftk_raise (&r->token);
      r->minion_lost (r, LVP_FATE_SILENT);
    }
  rtk_end_all (&r->tracker, RTK_LAPSED);
  m->runs_known = true;
  m->incarnation = 0;
}

/* Nothing listens at the minion's address.  */
static void
set_minion_absent (struct rnr_runner *r)
{
  log_gone (r, "absent");
  if (r->minion.incarnation != 0)
    end_runs_of_former (r);
  end_silence (r, false);
  rtk_end_all (&r->tracker, RTK_LAPSED);
  r->minion.runs_known = true;
  r->minion.incarnation = 0;
}

/* Log when the minion stops answering polls, and when it answers again.  */
static void
note_silence (struct rnr_runner *r, bool silent)
{
  struct rnr_minion *m = &r->minion;
  uint64_t now = clk_boot ();

  if (silent == m->silent || (silent && m->incarnation == 0))
    return;
  m->silent = silent;
  ctr_add (&r->counters, RNR_SILENCES, silent);
  log_line (
      LOGL_INFO, silent ? "minion-silent" : "minion-answers",
      "runs=%u answered_ms=%llu lease_left_ms=%llu",
      HASH_COUNT (r->tracker.runs),
      (unsigned long long)(clk_since (now, m->poll_answered_ns) / CLK_MS),
      lease_left_ms (r));
}

static void
poll_answered (const struct mnn_listing *listing, void *arg)
{
  struct rnr_runner *r = arg;

  r->minion.poll_pending = false;
  r->minion.absent = listing->result.answer == MNN_ABSENT;
  rnw_polled (&r->minion.renewal, listing->result.answer != MNN_UNANSWERED);
  note_silence (r, listing->result.answer == MNN_UNANSWERED);
  rnr_record_result (r, &listing->result, "look", r->minion.poll_sent_ns);
  log_line (
      LOGL_DEBUG, "look", "answer=%d took_ms=%llu ends=%u running=%u",
      listing->result.answer,
      (unsigned long long)(clk_since (clk_boot (), r->minion.poll_sent_ns)
                           / CLK_MS),
      listing->end_count, listing->running_count);
  if (listing->result.answer == MNN_OK)
    apply_listing (r, listing);
  else if (listing->result.answer == MNN_ABSENT)
    set_minion_absent (r);
  r->minion_polled (r);
  if (listing->result.answer == MNN_OK || listing->result.answer == MNN_FENCED)
    rnr_poll_minion (r);
}

/* A minion that has not answered the last poll is asked for an answer at once,
   so that a lost one costs little time, and so is one that gets no starts
   before.  */
static unsigned
poll_wait_ms (const struct rnr_runner *r)
{
  if (r->minion.silent || r->minion.fenced_ns == 0)
    return 0;
  return r->tracker.runs != NULL ? POLL_WAIT_MS : IDLE_POLL_WAIT_MS;
}

void
rnr_poll_minion (struct rnr_runner *r)
{
  struct mnn_lease lease;
  struct rnr_minion *m = &r->minion;
  uint64_t now = clk_boot ();

  if (m->poll_pending
      || (m->absent && clk_since (now, m->poll_sent_ns) < ABSENT_POLL_NS))
    return;
  m->poll_pending = true;
  m->poll_sent_ns = now;
  m->poll_token = r->token.value;
  lease = rnr_make_lease (r, rnw_may_request (&m->renewal));
  r->ops->poll (r->ops_priv, &lease, r->minion.ends_through, poll_wait_ms (r),
                poll_answered, r);
}
