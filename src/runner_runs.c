#include "runner_parts.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "logline.h"
#include "wire.h"
#include "xtalloc.h"

/* Most times that a start is sent before its run is stopped.  The minion
   executes the same attempt once, however often it arrives.  */
#define SENDINGS_MAX 3

/* A call about a run.  SPEC and SENDINGS: of a start.  */
struct run_call
{
  struct rnr_runner *runner;
  char name[RTK_NAME_MAX];
  uint32_t attempt;
  uint64_t sent_ns;
  struct lv_slice spec;
  unsigned sendings;
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
  struct run_call *call = xtalloc_zero (r->mem_ctx, struct run_call);

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

  rnr_record_result (call->runner, result, "stop", call->sent_ns);
  rtk_stop_answered (&call->runner->tracker, run, result->answer == MNN_OK,
                     clk_boot ());
  talloc_free (call);
}

void
rnr_send_stop (struct rtk_run *run, void *priv)
{
  struct rnr_runner *r = priv;

  r->ops->stop (r->ops_priv, run, r->token.value, stop_answered,
                new_run_call (r, run));
}

static void start_answered (const struct mnn_result *result, void *arg);

static void
send_start (struct run_call *call, const struct rtk_run *run)
{
  struct rnr_runner *r = call->runner;
  struct mnn_lease lease = rnr_make_lease (r, true);

  call->sent_ns = clk_boot ();
  call->sendings++;
  r->ops->start (r->ops_priv, run, call->spec, &lease, start_answered, call);
}

/* What the ANSWER to the last sending of CALL says of all of them: the first
   may have been executed though a later one is refused.  */
static enum mnn_answer
answer_to_all (const struct run_call *call, enum mnn_answer answer)
{
  return call->sendings > 1 && answer != MNN_OK ? MNN_UNANSWERED : answer;
}

static void
start_answered (const struct mnn_result *result, void *arg)
{
  struct run_call *call = arg;
  struct rnr_runner *r = call->runner;
  struct rtk_run *run = find_called_run (call);
  bool open = run != NULL && run->state == RTK_STARTING;
  enum mnn_answer answer = answer_to_all (call, result->answer);

  rnr_record_result (r, result, "start", call->sent_ns);
  if (open && result->answer == MNN_UNANSWERED && call->sendings < SENDINGS_MAX
      && rnr_able (r, clk_boot ()) && rnr_drain_cause (r, NULL) == DRN_NONE)
    {
      send_start (call, run);
      return;
    }
  talloc_free (call);
  if (!open)
    return;
  switch (answer)
    {
    case MNN_OK:
      ctr_add (&r->counters, RNR_STARTED, 1);
      rtk_mark_started (&r->tracker, run, clk_boot ());
      break;
    case MNN_ABSENT:
      /* This may be the second connection: the request was sent on one that
         broke, and may have started the task and crashed the minion.  */
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
  struct rnr_end *end = xtalloc_zero (r->mem_ctx, struct rnr_end);

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
    [RTK_STALLED] = RNR_STOPPED, [RTK_CRASHED] = RNR_LOST,
  };

  ctr_add (&r->counters, ids[how], 1);
}

/* Whether an end of this kind tells something of the minion's health.  */
static bool
is_verdict (enum rtk_outcome how)
{
  return how == RTK_DONE || how == RTK_FAILED || how == RTK_REFUSED
         || how == RTK_STALLED;
}

static void
record_health (struct rnr_runner *r, const struct rtk_run *run,
               enum rtk_outcome how, uint32_t ran_ms)
{
  struct mnh_health *h = &r->minion.health;
  struct mnh_run record = { .job = rtk_job_of (lv_slice_of (run->name)),
                            .queue = lv_slice_of (run->queue),
                            .succeeded = how == RTK_DONE,
                            .expected_failure = run->expected_failure,
                            .ordered_ns = run->ordered_ns,
                            .ran_ms = ran_ms,
                            .estimate_ms = run->estimate_ms };

  if (run->owner == 0 || !is_verdict (how)
      || !mnh_record (h, &record, clk_boot ()))
    return;
  r->minion.health_changed = true;
  log_line (LOGL_INFO, "minion-health", "state=%s task=%s how=%d ratio=%.2f",
            hlt_name (h->target.state), run->name, how, h->ratio);
}

void
rnr_run_ended (struct rtk_run *run, enum rtk_outcome how, void *priv)
{
  static const lvp_how hows[] = {
    [RTK_DONE] = LVP_HOW_DONE,       [RTK_FAILED] = LVP_HOW_FAILED,
    [RTK_STOPPED] = LVP_HOW_STOPPED, [RTK_LAPSED] = LVP_HOW_LAPSED,
    [RTK_REFUSED] = LVP_HOW_REFUSED, [RTK_OLD] = LVP_HOW_OLD,
    [RTK_STALLED] = LVP_HOW_STALLED, [RTK_CRASHED] = LVP_HOW_CRASHED,
  };
  static const char *const names[] = {
    [RTK_DONE] = "done",       [RTK_FAILED] = "failed",
    [RTK_STOPPED] = "stopped", [RTK_LAPSED] = "lapsed",
    [RTK_REFUSED] = "refused", [RTK_OLD] = "old",
    [RTK_STALLED] = "stalled", [RTK_CRASHED] = "crashed",
  };
  struct rnr_runner *r = priv;
  uint64_t ran_ns = clk_since (clk_boot (), run->ordered_ns);

  count_end (r, how);
  rnr_observe_time (r, RNR_TIME_RUN, names[how], ran_ns);
  log_ratelimited (LOGL_INFO, "run-end",
                   "task=%s attempt=%u how=%s ran_ms=%llu percent=%u",
                   run->name, run->attempt, names[how],
                   (unsigned long long)(ran_ns / CLK_MS), run->percent);
  record_health (r, run, how, (uint32_t)(ran_ns / CLK_MS));
  if (run->owner != 0)
    rnr_keep_end (r, run->owner, run->number, hows[how],
                  (uint32_t)(ran_ns / CLK_MS));
}

void
rnr_start_run (struct rnr_runner *r, uint64_t owner, const lvp_order *order,
               const lvp_run *requested, uint64_t now_ns)
{
  struct amt_amount need = wir_to_amount (&order->need);
  struct lv_slice spec = wir_slice (&order->spec);
  char name[RTK_NAME_MAX];
  struct wmp_params warmup
      = { order->warmup.warmup_ms, order->warmup.cold_per_ks };
  struct run_call *call;
  struct rtk_run *run;

  wmp_set_params (&r->minion.warmup, &warmup);
  if (wmp_starts_left (&r->minion.warmup, now_ns) == 0)
    {
      ctr_add (&r->counters, RNR_COLD_REFUSALS, 1);
      rnr_keep_end (r, owner, requested->run, LVP_HOW_NO_ROOM, 0);
      return;
    }
  snprintf (name, sizeof name, "%s.%u", order->job, requested->index);
  run = rtk_add (&r->tracker, lv_slice_of (name), requested->attempt, &need,
                 now_ns);
  if (run == NULL)
    {
      ctr_add (&r->counters, RNR_NO_ROOM, 1);
      rnr_keep_end (r, owner, requested->run, LVP_HOW_NO_ROOM, 0);
      return;
    }
  wmp_take (&r->minion.warmup, now_ns);
  run->owner = owner;
  run->number = requested->run;
  run->estimate_ms = order->estimate_ms;
  run->queue = xtalloc_strdup (run, order->queue);
  run->expected_failure = order->failure_permille / 1000.0;
  mnh_ordered (&r->minion.health, now_ns);
  call = new_run_call (r, run);
  call->spec.data = xtalloc_memdup (call, spec.data, spec.len);
  call->spec.len = spec.len;
  send_start (call, run);
}
