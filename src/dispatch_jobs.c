#include "dispatch_parts.h"

#include <talloc.h>
#include <utlist.h>

#include "logline.h"

/* A task may take so many times what it declares, its wait included.  */
#define LEAVE_FACTOR 3
/* What a caller is told to wait when nothing better is known, ms.  */
#define RETRY_MS 1000

static void
remove_job (struct dsp_dispatch *d, struct brd_job *job)
{
  dsp_stop_runs (d, job);
  brd_remove (&d->board, job);
}

static void
count_answer (struct dsp_dispatch *d, const struct dsp_answer *answer)
{
  static const enum dsp_counter ids[] = { [DSP_COMPLETE] = DSP_JOBS_COMPLETE,
                                          [DSP_FAILED] = DSP_JOBS_FAILED,
                                          [DSP_REFUSED] = DSP_JOBS_REFUSED,
                                          [DSP_GAVE_UP] = DSP_JOBS_GAVE_UP };

  ctr_add (&d->counters, ids[answer->outcome], 1);
}

/* Where a task that has not ended was ordered last, for the log.  */
static const char *
stuck_at (const struct brd_job *job)
{
  uint32_t i;

  for (i = 0; i < job->count; i++)
    if (job->tasks[i].state == BRD_PLACED
        || job->tasks[i].state == BRD_DOUBTFUL)
      return dsp_agent_of (&job->tasks[i])->name;
  return "-";
}

static const char *const outcomes[] = { [DSP_COMPLETE] = "complete",
                                        [DSP_FAILED] = "failed",
                                        [DSP_REFUSED] = "refused",
                                        [DSP_GAVE_UP] = "gave-up" };

static void
note_end (struct dsp_dispatch *d, const char *queue, enum dsp_outcome outcome,
          uint64_t age_ns)
{
  hst_observe (&d->times, DSP_TIME_JOB, lv_slice_of (queue),
               lv_slice_of (outcomes[outcome]), age_ns);
  if (d->served || outcome != DSP_COMPLETE)
    return;
  d->served = true;
  dsp_note_time (d, DSP_TIME_RECOVERY, "start-to-first-job",
                 clk_since (clk_boot (), d->started_ns));
}

static void
log_steps (const struct brd_job *job)
{
  const struct dsp_caller *caller = job->priv;
  char *steps = trl_text (NULL, &caller->trail);

  log_line (LOGL_INFO, "job-steps", "job=%s count=%u steps=\"%s\"", job->id,
            caller->trail.count, steps);
  talloc_free (steps);
}

/* Lines of jobs that were not complete in time are never left out.  */
static void
log_end (const struct brd_job *job, const char *queue,
         enum dsp_outcome outcome, const char *why, uint64_t now_ns)
{
  unsigned long long age_ms = clk_since (now_ns, job->arrived_ns) / CLK_MS;
  unsigned long long target_ms
      = clk_since (job->target_ns, job->arrived_ns) / CLK_MS;

  if (outcome == DSP_COMPLETE && age_ms <= target_ms)
    log_ratelimited (
        LOGL_INFO, "job-end",
        "job=%s queue=%s outcome=complete age_ms=%llu target_ms=%llu "
        "tasks=%u orders=%u",
        job->id, queue, age_ms, target_ms, job->count, job->orders);
  else
    {
      log_line (LOGL_INFO, "job-end",
                "job=%s queue=%s outcome=%s why=%s age_ms=%llu target_ms=%llu "
                "tasks=%u open=%u waiting=%u orders=%u stuck_at=%s",
                job->id, queue, outcomes[outcome], why, age_ms, target_ms,
                job->count, job->open, job->waiting, job->orders,
                stuck_at (job));
      log_steps (job);
    }
}

static void
answer_job (struct dsp_dispatch *d, struct brd_job *job,
            enum dsp_outcome outcome, const char *why)
{
  struct dsp_caller caller = *(struct dsp_caller *)job->priv;
  struct dsp_answer answer = { outcome, why, 0 };
  uint64_t now = clk_now ();

  if (outcome == DSP_REFUSED)
    answer.retry_ms = RETRY_MS;
  log_end (job, caller.queue, outcome, why, now);
  count_answer (d, &answer);
  note_end (d, caller.queue, outcome, clk_since (now, job->arrived_ns));
  caller.answer (&answer, caller.priv);
  remove_job (d, job);
}

void
dsp_verdict (struct dsp_dispatch *d, struct brd_job *job, enum brd_verdict v)
{
  if (v == BRD_COMPLETE)
    answer_job (d, job, DSP_COMPLETE, "done");
  else if (v == BRD_FAILED)
    answer_job (d, job, DSP_FAILED, "attempts");
}

/* Refuse what has not begun, is late, and will not begin while its answer is
   of use: such jobs wait behind all others, in the order of the queue.  */
static void
refuse_hopeless (struct dsp_dispatch *d, uint64_t now_ns)
{
  struct brd_job *job;
  struct brd_job *next;
  unsigned ahead = 0;

  DL_FOREACH_SAFE (d->board.queue, job, next)
  {
    uint64_t until_ns = brd_start_until (job);
    uint64_t wait_ns;

    if (!job->late || job->orders > 0)
      continue;
    wait_ns = drn_wait_ns (&d->behind, ahead++, now_ns);
    if (now_ns >= until_ns || wait_ns > until_ns - now_ns)
      answer_job (d, job, DSP_REFUSED, "overload");
  }
  drn_waiting (&d->behind, ahead > 0, now_ns);
}

/* Jobs whose caller has stopped waiting, or whom no answer helps any more.  */
void
dsp_give_up_late (struct dsp_dispatch *d, uint64_t now_ns)
{
  struct brd_job *job;
  struct brd_job *next;

  HASH_ITER (hh, d->board.jobs, job, next)
  {
    if (now_ns >= job->deadline_ns)
      answer_job (d, job, job->orders > 0 ? DSP_GAVE_UP : DSP_REFUSED,
                  "deadline");
  }
  refuse_hopeless (d, now_ns);
}

static void
refuse (struct dsp_dispatch *d, const struct dsp_job *job, const char *why)
{
  struct dsp_answer answer = { DSP_REFUSED, why, RETRY_MS };

  log_line (LOGL_INFO, "job-refused", "job=%.*s queue=%s why=%s agents=%u",
            (int)job->id.len, job->id.data, job->queue->name, why,
            d->fleet.count);
  count_answer (d, &answer);
  note_end (d, job->queue->name, DSP_REFUSED, 0);
  job->answer (&answer, job->priv);
}

static struct brd_demand
demand_of (const struct dsp_job *job)
{
  const struct cat_queue *q = job->queue;
  uint64_t work_ms
      = (uint64_t)job->estimate_ms * q->slack_permille / 1000 + q->target_ms;
  uint64_t patience_ms
      = job->patience_ms > 0 ? job->patience_ms : q->timeout_ms;
  struct brd_demand demand = { .id = job->id,
                               .spec = job->spec,
                               .service = lv_slice_of (q->service),
                               .need = job->need,
                               .estimate_ms = job->estimate_ms,
                               .count = job->count,
                               .priority = q->priority,
                               .attempts = q->attempts,
                               .target_ns = work_ms * CLK_MS,
                               .patience_ns = patience_ms * CLK_MS };

  return demand;
}

/* Whether an agent that is known could hold a task of JOB when empty.  Shortly
   after the start agents may be missing.  */
static bool
can_hold (struct dsp_dispatch *d, const struct dsp_job *job)
{
  unsigned n;

  if (clk_since (clk_boot (), d->started_ns) < DSP_START_NS)
    return true;
  n = dsp_list_hosts (d, lv_slice_of (job->queue->service));
  return spt_possible (d->hosts, n, &job->need);
}

/* Whether JOB surely ends while this entry is still there.  */
static bool
ends_in_time (const struct dsp_dispatch *d, const struct dsp_job *job)
{
  uint64_t run_ns = job->estimate_ms * LEAVE_FACTOR * CLK_MS;
  uint64_t target_ns = job->queue->target_ms * CLK_MS;

  return !d->leaving || clk_boot () + run_ns + target_ns < d->until_ns;
}

/* The same job is sent again while it runs: the newer caller gets its end.  */
static void
take_over (struct dsp_dispatch *d, struct brd_job *taken,
           const struct dsp_job *job, uint64_t patience_ns)
{
  struct dsp_answer answer = { DSP_GAVE_UP, "sent-again", 0 };
  struct dsp_caller *caller = taken->priv;

  log_line (LOGL_INFO, "job-again", "job=%s open=%u", taken->id, taken->open);
  count_answer (d, &answer);
  caller->answer (&answer, caller->priv);
  caller->answer = job->answer;
  caller->priv = job->priv;
  taken->deadline_ns = clk_now () + patience_ns;
}

void
dsp_submit (struct dsp_dispatch *d, const struct dsp_job *job)
{
  struct brd_demand demand = demand_of (job);
  struct brd_job *taken = brd_find (&d->board, job->id);
  struct dsp_caller *caller;

  ctr_add (&d->counters, DSP_JOBS, 1);
  if (taken != NULL)
    {
      take_over (d, taken, job, demand.patience_ns);
      return;
    }
  if (!ends_in_time (d, job))
    {
      refuse (d, job, "leaving");
      return;
    }
  if (!can_hold (d, job))
    {
      refuse (d, job, "no-agent-fits");
      return;
    }
  taken = brd_add (&d->board, &demand, clk_now ());
  if (taken == NULL)
    {
      refuse (d, job, "bad-id");
      return;
    }
  caller = talloc_zero (taken, struct dsp_caller);
  caller->answer = job->answer;
  caller->priv = job->priv;
  caller->queue = talloc_strdup (caller, job->queue->name);
  taken->priv = caller;
  log_ratelimited (LOGL_INFO, "job",
                   "job=%s queue=%s tasks=%u mcores=%u "
                   "estimate_ms=%u target_ms=%llu patience_ms=%u config=%llu",
                   taken->id, caller->queue, taken->count, taken->need.mcores,
                   taken->estimate_ms,
                   (unsigned long long)(demand.target_ns / CLK_MS),
                   job->patience_ms, (unsigned long long)dsp_version (d));
  dsp_pump_soon (d);
}

bool
dsp_withdraw (struct dsp_dispatch *d, struct lv_slice id, const char *why)
{
  struct brd_job *job = brd_find (&d->board, id);

  if (job == NULL)
    return false;
  log_line (LOGL_INFO, "job-withdrawn", "job=%s why=%s open=%u orders=%u",
            job->id, why, job->open, job->orders);
  log_steps (job);
  ctr_add (&d->counters, DSP_JOBS_WITHDRAWN, 1);
  remove_job (d, job);
  return true;
}

unsigned
dsp_pending (const struct dsp_dispatch *d, const struct cat_queue *queue)
{
  const struct brd_job *job;
  unsigned n = 0;

  for (job = d->board.jobs; job != NULL; job = job->hh.next)
    if (job->orders == 0
        && strcmp (((const struct dsp_caller *)job->priv)->queue, queue->name)
               == 0)
      n++;
  return n;
}
