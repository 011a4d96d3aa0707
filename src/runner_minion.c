#include "runner_parts.h"

#include <stdio.h>
#include <talloc.h>
#include <utlist.h>

#include "logline.h"
#include "wire.h"

/* Time for which the minion may hold a poll until a run ends, ms.  Each poll
   renews the lease.  */
#define POLL_WAIT_MS 50

bool
rnr_accepting (const struct rnr_runner *r, uint64_t now_ns)
{
  const struct rnr_minion *m = &r->minion;

  return !r->leaving && !m->leaving && m->runs_known && m->incarnation != 0
         && m->report_incarnation == m->incarnation
         && clk_since (now_ns, m->poll_answered_ns) < RNR_MINION_TIMEOUT_NS;
}

static struct mnn_lease
make_lease (struct rnr_runner *r, uint64_t now_ns)
{
  struct rnr_minion *m = &r->minion;
  struct mnn_lease lease = { .token = r->token };
  uint64_t lease_ns = LBD_LEASE_NS;

  if (lease_ns > r->settings.lease_max_ms * CLK_MS)
    lease_ns = r->settings.lease_max_ms * CLK_MS;
  if (m->clock_ns != 0)
    {
      lease.expires_ms
          = m->clock_ms + (now_ns - m->clock_ns + lease_ns) / CLK_MS;
      m->lease_end_ns = lbd_lease_expiry (now_ns, lease_ns);
    }
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

static void
record_result (struct rnr_runner *r, const struct mnn_result *result,
               const char *call, uint64_t sent_ns)
{
  hst_observe (&r->times, RNR_TIME_MINION, lv_slice_of (call),
               lv_slice_of (answer_name (result->answer)),
               clk_since (clk_boot (), sent_ns));
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

struct run_call
{
  struct rnr_runner *runner;
  char name[RTK_NAME_MAX];
  uint32_t attempt;
  uint64_t sent_ns;
};

/* The run that CALL is about, NULL if it has ended meanwhile.  */
static struct rtk_run *
find_called_run (const struct run_call *call)
{
  struct rtk_run *run
      = rtk_find (&call->runner->tracker, lv_slice_of (call->name));

  return run != NULL && run->attempt == call->attempt ? run : NULL;
}

static struct run_call *
new_run_call (struct rnr_runner *r, const struct rtk_run *run)
{
  struct run_call *call = talloc_zero (r->mem_ctx, struct run_call);

  call->runner = r;
  memcpy (call->name, run->name, sizeof call->name);
  call->attempt = run->attempt;
  call->sent_ns = clk_boot ();
  return call;
}

static void
stop_answered (const struct mnn_result *result, void *arg)
{
  struct run_call *call = arg;
  struct rtk_run *run = find_called_run (call);

  record_result (call->runner, result, "stop", call->sent_ns);
  if (run != NULL && result->answer == MNN_OK)
    rtk_mark_stop_acked (&call->runner->tracker, run, clk_boot ());
  talloc_free (call);
}

void
rnr_send_stop (struct rtk_run *run, void *priv)
{
  struct rnr_runner *r = priv;

  r->ops->stop (r->ops_priv, run, r->token, stop_answered,
                new_run_call (r, run));
}

static void
start_answered (const struct mnn_result *result, void *arg)
{
  struct run_call *call = arg;
  struct rnr_runner *r = call->runner;
  struct rtk_run *run = find_called_run (call);

  record_result (r, result, "start", call->sent_ns);
  talloc_free (call);
  if (run == NULL || run->state != RTK_STARTING)
    return;
  switch (result->answer)
    {
    case MNN_OK:
      ctr_add (&r->counters, RNR_STARTED, 1);
      rtk_mark_started (&r->tracker, run, clk_boot ());
      break;
    case MNN_UNANSWERED:
      log_line (LOGL_INFO, "start-unanswered", "task=%s attempt=%u", run->name,
                run->attempt);
      rtk_stop (&r->tracker, run, clk_boot ());
      break;
    case MNN_OLD:
      rtk_end_refused (&r->tracker, run, RTK_OLD);
      break;
    default:
      rtk_end_refused (&r->tracker, run, RTK_REFUSED);
    }
}

void
rnr_keep_end (struct rnr_runner *r, uint64_t owner, uint64_t number,
              lvp_how how, uint32_t ran_ms)
{
  struct rnr_end *end = talloc_zero (r->mem_ctx, struct rnr_end);

  end->owner = owner;
  end->end.run = number;
  end->end.how = how;
  end->end.ran_ms = ran_ms;
  end->ended_ns = clk_boot ();
  DL_APPEND (r->ends, end);
}

static void
count_end (struct rnr_runner *r, enum rtk_outcome how)
{
  static const enum rnr_counter ids[] = {
    [RTK_DONE] = RNR_DONE,       [RTK_FAILED] = RNR_FAILED,
    [RTK_STOPPED] = RNR_STOPPED, [RTK_LAPSED] = RNR_LAPSED,
    [RTK_REFUSED] = RNR_REFUSED, [RTK_OLD] = RNR_REFUSED,
    [RTK_STALLED] = RNR_STOPPED,
  };

  ctr_add (&r->counters, ids[how], 1);
}

void
rnr_run_ended (struct rtk_run *run, enum rtk_outcome how, void *priv)
{
  static const lvp_how hows[] = {
    [RTK_DONE] = LVP_HOW_DONE,       [RTK_FAILED] = LVP_HOW_FAILED,
    [RTK_STOPPED] = LVP_HOW_STOPPED, [RTK_LAPSED] = LVP_HOW_LAPSED,
    [RTK_REFUSED] = LVP_HOW_REFUSED, [RTK_OLD] = LVP_HOW_OLD,
    [RTK_STALLED] = LVP_HOW_STALLED,
  };
  static const char *const names[] = {
    [RTK_DONE] = "done",       [RTK_FAILED] = "failed",
    [RTK_STOPPED] = "stopped", [RTK_LAPSED] = "lapsed",
    [RTK_REFUSED] = "refused", [RTK_OLD] = "old",
    [RTK_STALLED] = "stalled",
  };
  struct rnr_runner *r = priv;
  uint64_t ran_ns = clk_since (clk_boot (), run->ordered_ns);

  count_end (r, how);
  rnr_observe_time (r, RNR_TIME_RUN, names[how], ran_ns);
  log_ratelimited (LOGL_INFO, "run-end",
                   "task=%s attempt=%u how=%s ran_ms=%llu percent=%u",
                   run->name, run->attempt, names[how],
                   (unsigned long long)(ran_ns / CLK_MS), run->percent);
  if (run->owner != 0)
    rnr_keep_end (r, run->owner, run->number, hows[how],
                  (uint32_t)(ran_ns / CLK_MS));
}

void
rnr_start_run (struct rnr_runner *r, uint64_t owner, const lvp_order *order,
               const lvp_run *requested, uint64_t now_ns)
{
  struct amt_amount need = wir_to_amount (&order->need);
  struct mnn_lease lease = make_lease (r, now_ns);
  char name[RTK_NAME_MAX];
  struct rtk_run *run;

  snprintf (name, sizeof name, "%s.%u", order->job, requested->index);
  run = rtk_add (&r->tracker, lv_slice_of (name), requested->attempt, &need,
                 now_ns);
  if (run == NULL)
    {
      ctr_add (&r->counters, RNR_NO_ROOM, 1);
      rnr_keep_end (r, owner, requested->run, LVP_HOW_NO_ROOM, 0);
      return;
    }
  run->owner = owner;
  run->number = requested->run;
  run->estimate_ms = order->estimate_ms;
  r->ops->start (r->ops_priv, run, wir_slice (&order->spec), &lease,
                 start_answered, new_run_call (r, run));
}

static void
handle_minion_restart (struct rnr_runner *r, const struct mnn_listing *listing)
{
  struct rnr_minion *m = &r->minion;

  log_line (LOGL_INFO, "minion", "incarnation=%llu before=%llu running=%u",
            (unsigned long long)listing->incarnation,
            (unsigned long long)m->incarnation, listing->running_count);
  if (m->incarnation != 0)
    rtk_end_all (&r->tracker);
  m->incarnation = listing->incarnation;
  m->ends_through = 0;
  if (m->report_incarnation != listing->incarnation)
    m->leaving = false;
}

static void
apply_listing (struct rnr_runner *r, const struct mnn_listing *listing)
{
  struct rnr_minion *m = &r->minion;
  uint64_t now = clk_boot ();

  if (listing->incarnation != m->incarnation)
    handle_minion_restart (r, listing);
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
  r->token_step = RNR_TOKEN_STEP;
}

void
rnr_set_minion_gone (struct rnr_runner *r, const char *why)
{
  if (r->minion.incarnation != 0 || !r->minion.runs_known)
    log_line (LOGL_INFO, "minion-gone", "why=%s runs=%u", why,
              HASH_COUNT (r->tracker.runs));
  rtk_end_all (&r->tracker);
  r->minion.runs_known = true;
  r->minion.incarnation = 0;
}

static void
poll_answered (const struct mnn_listing *listing, void *arg)
{
  struct rnr_runner *r = arg;

  r->minion.poll_pending = false;
  record_result (r, &listing->result, "look", r->minion.poll_sent_ns);
  log_line (
      LOGL_DEBUG, "look", "answer=%d took_ms=%llu ends=%u running=%u",
      listing->result.answer,
      (unsigned long long)(clk_since (clk_boot (), r->minion.poll_sent_ns)
                           / CLK_MS),
      listing->end_count, listing->running_count);
  if (listing->result.answer == MNN_OK)
    apply_listing (r, listing);
  else if (listing->result.answer == MNN_ABSENT)
    rnr_set_minion_gone (r, "absent");
  r->minion_polled (r);
  if (listing->result.answer == MNN_OK || listing->result.answer == MNN_FENCED)
    rnr_poll_minion (r);
}

void
rnr_poll_minion (struct rnr_runner *r)
{
  struct mnn_lease lease;

  if (r->minion.poll_pending)
    return;
  r->minion.poll_pending = true;
  r->minion.poll_sent_ns = clk_boot ();
  lease = make_lease (r, r->minion.poll_sent_ns);
  r->ops->poll (r->ops_priv, &lease, r->minion.ends_through, POLL_WAIT_MS,
                poll_answered, r);
}
