#include "dispatch_parts.h"

#include <talloc.h>
#include <utlist.h>

#include "lagoonvale/retryafter.h"
#include "logline.h"
#include "xtalloc.h"

/* Assumed bound of a task's time, its wait included, as a multiple of its
   estimate.  */
#define RUN_TIME_MARGIN 3
/* Retry delay for callers that another entry can serve at once, ms.  */
#define RETRY_ELSEWHERE_MS 1000
/* Retry delay for jobs that fit into no agent now, but did before, ms.  */
#define RETRY_SHRUNK_MS 1000
/* Retry delay for jobs that only agents of drained failure domains could hold,
   ms: a drain lasts for seconds at least.  */
#define RETRY_DRAINED_MS 5000
/* Retry delay for jobs of a confined queue, ms: until it may be released.  */
#define RETRY_CONFINED_MS (BLK_RELEASE_NS / CLK_MS)
/* For jobs that are never accepted as they are.  */
#define RETRY_NEVER 0
/* Time before the end of the process in which answers are still sent, ns.  */
#define LAST_ANSWERS_NS (200 * CLK_MS)

/* Remember the runs of JOB that may still be there.  */
static void
abandon_runs (struct dsp_dispatch *d, const struct jtb_job *job)
{
  uint32_t i;

  for (i = 0; i < job->count; i++)
    {
      const struct jtb_task *task = &job->tasks[i];

      if (task->state == JTB_PLACED)
        abd_add (&d->abandoned, lv_slice_of (job->id), task->run, task->agent,
                 ABD_UNTIL_REPORTED);
      else if (task->state == JTB_UNREACHABLE)
        abd_add (&d->abandoned, lv_slice_of (job->id), task->run, task->agent,
                 task->runs_until_ns);
    }
}

static void
remove_job (struct dsp_dispatch *d, struct jtb_job *job)
{
  dsp_stop_runs (d, job);
  abandon_runs (d, job);
  jtb_remove (&d->jobs, job);
}

static void
count_answer (struct dsp_dispatch *d, const struct dsp_answer *answer)
{
  static const enum dsp_counter ids[]
      = { [DSP_COMPLETE] = DSP_JOBS_COMPLETE,
          [DSP_FAILED] = DSP_JOBS_FAILED,
          [DSP_REFUSED] = DSP_JOBS_REFUSED,
          [DSP_GAVE_UP] = DSP_JOBS_GAVE_UP,
          [DSP_CANCELLED] = DSP_JOBS_CANCELLED };

  ctr_add (&d->counters, ids[answer->outcome], 1);
}

/* Agent of the first unfinished task, for the log.  */
static const char *
unfinished_agent (const struct jtb_job *job)
{
  uint32_t i;

  for (i = 0; i < job->count; i++)
    if (job->tasks[i].state == JTB_PLACED
        || job->tasks[i].state == JTB_UNREACHABLE)
      return dsp_agent_of (&job->tasks[i])->name;
  return "-";
}

static const char *const outcomes[] = { [DSP_COMPLETE] = "complete",
                                        [DSP_FAILED] = "failed",
                                        [DSP_REFUSED] = "refused",
                                        [DSP_GAVE_UP] = "gave-up",
                                        [DSP_CANCELLED] = "cancelled" };

static void
record_end (struct dsp_dispatch *d, const char *queue,
            enum dsp_outcome outcome, uint64_t age_ns)
{
  hst_observe (&d->times, DSP_TIME_JOB, lv_slice_of (queue),
               lv_slice_of (outcomes[outcome]), age_ns);
  if (d->completed_any || outcome != DSP_COMPLETE)
    return;
  d->completed_any = true;
  dsp_record_time (d, DSP_TIME_RECOVERY, "start-to-first-job",
                   clk_since (clk_boot (), d->started_ns));
}

static void
log_steps (const struct jtb_job *job)
{
  const struct dsp_caller *caller = job->priv;
  char *steps = slg_format (NULL, &caller->steps);

  log_line (LOGL_INFO, "job-steps", "job=%s count=%u steps=\"%s\"", job->id,
            caller->steps.count, steps);
  talloc_free (steps);
}

/* Log the end of JOB; never rate-limited unless it completed on time.  */
static void
log_end (const struct jtb_job *job, const char *queue,
         enum dsp_outcome outcome, const char *why, uint64_t now_ns)
{
  unsigned long long age_ms = clk_since (now_ns, job->arrived_ns) / CLK_MS;
  unsigned long long target_ms
      = clk_since (job->due_ns, job->arrived_ns) / CLK_MS;

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
                unfinished_agent (job));
      log_steps (job);
    }
}

static void
answer_job (struct dsp_dispatch *d, struct jtb_job *job,
            const struct dsp_answer *answer)
{
  struct dsp_caller caller = *(struct dsp_caller *)job->priv;
  uint64_t now = clk_boot ();

  log_end (job, caller.queue, answer->outcome, answer->why, now);
  count_answer (d, answer);
  record_end (d, caller.queue, answer->outcome,
              clk_since (now, job->arrived_ns));
  caller.answer (answer, caller.priv);
  remove_job (d, job);
}

static void
end_job (struct dsp_dispatch *d, struct jtb_job *job, enum dsp_outcome outcome,
         const char *why)
{
  struct dsp_answer answer = { outcome, why, RETRY_NEVER };

  answer_job (d, job, &answer);
}

void
dsp_answer_cancelled (struct dsp_dispatch *d, struct jtb_job *job)
{
  end_job (d, job, DSP_CANCELLED, "cancelled");
}

/* Answer that JOB, of which nothing has run, is refused.  */
static void
refuse_accepted (struct dsp_dispatch *d, struct jtb_job *job, const char *why,
                 unsigned retry_ms)
{
  struct dsp_answer answer = { DSP_REFUSED, why, retry_ms };

  answer_job (d, job, &answer);
}

static unsigned
overload_retry_ms (struct dsp_dispatch *d, uint64_t wait_ns)
{
  return rta_overload_ms (wait_ns, gsl_rng_uniform (d->rng));
}

void
dsp_answer_if_ended (struct dsp_dispatch *d, struct jtb_job *job,
                     enum jtb_job_status status)
{
  if (status == JTB_COMPLETE)
    end_job (d, job, DSP_COMPLETE, "done");
  else if (status == JTB_FAILED)
    end_job (d, job, DSP_FAILED, "attempts");
}

void
dsp_fail_job (struct dsp_dispatch *d, struct jtb_job *job, const char *why)
{
  end_job (d, job, DSP_FAILED, why);
}

/* Refuse late jobs without any order that will not start while their answer
   is useful.  They are behind all others, in queue order.  */
static void
refuse_unmeetable (struct dsp_dispatch *d, uint64_t now_ns)
{
  struct jtb_job *job;
  struct jtb_job *next;
  unsigned ahead = 0;

  DL_FOREACH_SAFE (d->jobs.queue, job, next)
  {
    uint64_t until_ns = jtb_latest_start (job);
    uint64_t wait_ns;

    if (!job->late || job->orders > 0)
      continue;
    wait_ns = bkl_expected_wait_ns (&d->backlog, ahead++, now_ns);
    if (now_ns >= until_ns || wait_ns > until_ns - now_ns)
      refuse_accepted (d, job, "overload", overload_retry_ms (d, wait_ns));
  }
  bkl_set_waiting (&d->backlog, ahead > 0, now_ns);
}

/* Refuse jobs of confined queues without any order while no agent that they
   may use takes orders: crashed minions are away for longer than callers wait.
 */
static void
refuse_confined (struct dsp_dispatch *d)
{
  struct jtb_job *job;
  struct jtb_job *next;

  DL_FOREACH_SAFE (d->jobs.queue, job, next)
  if (job->orders == 0 && dsp_is_confined (d, job)
      && !dsp_any_confining_usable (d, job))
    refuse_accepted (d, job, "confined", RETRY_CONFINED_MS);
}

/* Answer JOB, which will not be completed here: it is refused only if nothing
   of it was ordered.  */
static void
give_up_job (struct dsp_dispatch *d, struct jtb_job *job, const char *why,
             unsigned retry_ms)
{
  if (job->orders > 0)
    end_job (d, job, DSP_GAVE_UP, why);
  else
    refuse_accepted (d, job, why, retry_ms);
}

/* Whether NEED fits into agents of SERVICE only where nothing may be started
   until an operator ends the drain.  Not known shortly after the start, when
   others may not have joined yet.  */
static bool
fits_only_drained (const struct dsp_dispatch *d, struct lv_slice service,
                   const struct amt_amount *need)
{
  return d->drains.count > 0
         && clk_since (clk_boot (), d->started_ns) >= DSP_JOIN_GRACE_NS
         && flt_fits_only_drained (&d->fleet, service, need);
}

void
dsp_refuse_drained (struct dsp_dispatch *d)
{
  struct jtb_job *job;
  struct jtb_job *next;

  if (d->drains.count == 0)
    return;
  DL_FOREACH_SAFE (d->jobs.queue, job, next)
  if (fits_only_drained (d, lv_slice_of (job->service), &job->need))
    {
      ctr_add (&d->counters, DSP_JOBS_DRAINED, 1);
      give_up_job (d, job, "domain-drained", RETRY_DRAINED_MS);
    }
}

/* Whether a job whose tasks take ESTIMATE_MS each, and that waits for at most
   WAIT_NS, will end before this process does.  */
static bool
ends_before_shutdown (const struct dsp_dispatch *d, uint32_t estimate_ms,
                      uint64_t wait_ns, uint64_t now_ns)
{
  uint64_t run_ns = CLK_MS * RUN_TIME_MARGIN * estimate_ms;

  return !d->leaving
         || now_ns + run_ns + wait_ns + LAST_ANSWERS_NS < d->shutdown_ns;
}

/* Refuse jobs without any order that may outlast this process: started now,
   they would be given up when it ends, and could not be sent elsewhere.  */
static void
refuse_before_shutdown (struct dsp_dispatch *d, uint64_t now_ns)
{
  struct jtb_job *job;
  struct jtb_job *next;

  DL_FOREACH_SAFE (d->jobs.queue, job, next)
  if (job->orders == 0
      && !ends_before_shutdown (d, job->estimate_ms, 0, now_ns))
    refuse_accepted (d, job, "leaving", RETRY_ELSEWHERE_MS);
}

/* Answer whatever is open when the process is about to end: what runs longer
   than its estimate may have been accepted during the shutdown.  */
static void
give_up_at_shutdown (struct dsp_dispatch *d, uint64_t now_ns)
{
  struct jtb_job *job;
  struct jtb_job *next;

  if (!d->leaving || now_ns + LAST_ANSWERS_NS < d->shutdown_ns)
    return;
  HASH_ITER (hh, d->jobs.jobs, job, next)
  give_up_job (d, job, "shutdown", RETRY_ELSEWHERE_MS);
}

void
dsp_expire_jobs (struct dsp_dispatch *d, uint64_t now_ns)
{
  struct jtb_job *job;
  struct jtb_job *next;

  HASH_ITER (hh, d->jobs.jobs, job, next)
  {
    if (now_ns >= job->deadline_ns)
      give_up_job (d, job, "deadline", overload_retry_ms (d, 0));
  }
  refuse_before_shutdown (d, now_ns);
  give_up_at_shutdown (d, now_ns);
  refuse_unmeetable (d, now_ns);
  refuse_confined (d);
  dsp_refuse_drained (d);
}

static void
refuse (struct dsp_dispatch *d, const struct dsp_job *job, const char *why,
        unsigned retry_ms)
{
  struct dsp_answer answer = { DSP_REFUSED, why, retry_ms };

  log_line (LOGL_INFO, "job-refused", "job=%.*s queue=%s why=%s agents=%u",
            (int)job->id.len, job->id.data, job->queue->name, why,
            d->fleet.count);
  count_answer (d, &answer);
  record_end (d, job->queue->name, DSP_REFUSED, 0);
  job->answer (&answer, job->priv);
}

static struct jtb_params
make_params (const struct dsp_job *job)
{
  const struct cat_queue *q = job->queue;
  uint64_t work_ms
      = (uint64_t)job->estimate_ms * q->slack_permille / 1000 + q->target_ms;
  uint64_t timeout_ms = job->timeout_ms > 0 ? job->timeout_ms : q->timeout_ms;
  struct jtb_params params = { .id = job->id,
                               .spec = job->spec,
                               .service = lv_slice_of (q->service),
                               .need = job->need,
                               .estimate_ms = job->estimate_ms,
                               .count = job->count,
                               .priority = q->priority,
                               .attempts = q->attempts,
                               .warmup = q->warmup,
                               .target_ns = work_ms * CLK_MS,
                               .timeout_ns = timeout_ms * CLK_MS };

  return params;
}

/* Refuse JOB, which no agent that may get work could hold.  */
static void
refuse_unfitting (struct dsp_dispatch *d, const struct dsp_job *job)
{
  struct lv_slice service = lv_slice_of (job->queue->service);

  if (fits_only_drained (d, service, &job->need))
    {
      ctr_add (&d->counters, DSP_JOBS_DRAINED, 1);
      refuse (d, job, "domain-drained", RETRY_DRAINED_MS);
    }
  else if (flt_never_fits (&d->fleet, service, &job->need))
    refuse (d, job, "no-agent-fits", RETRY_NEVER);
  else
    refuse (d, job, "no-agent-fits-now", RETRY_SHRUNK_MS);
}

/* Whether a task of JOB fits into any known agent when that is empty.  Assumed
   shortly after the start, when agents may not have joined yet.  */
static bool
any_agent_could_fit (struct dsp_dispatch *d, const struct dsp_job *job)
{
  unsigned n;

  if (clk_since (clk_boot (), d->started_ns) < DSP_JOIN_GRACE_NS)
    return true;
  n = dsp_list_candidates (d, lv_slice_of (job->queue->service), false);
  return cnd_any_could_fit (d->candidates, n, &job->need);
}

/* The same job was sent again while it is open: the new caller gets the
   answer, the former one is told that the job was sent again.  */
static void
replace_caller (struct dsp_dispatch *d, struct jtb_job *accepted,
                const struct dsp_job *job, uint64_t timeout_ns)
{
  struct dsp_answer answer = { DSP_GAVE_UP, "sent-again", 0 };
  struct dsp_caller *caller = accepted->priv;

  log_line (LOGL_INFO, "job-again", "job=%s open=%u", accepted->id,
            accepted->open);
  count_answer (d, &answer);
  caller->answer (&answer, caller->priv);
  caller->answer = job->answer;
  caller->priv = job->priv;
  accepted->deadline_ns = clk_boot () + timeout_ns;
}

/* Apply to JOB, which was just accepted, what is known of crashes under its
   tasks: from another entry, or since it is sent again after its answer.  */
static void
apply_known_crashes (struct dsp_dispatch *d, struct jtb_job *job)
{
  uint32_t i;

  for (i = 0; i < job->count; i++)
    {
      const struct crl_task *known = dsp_find_crashes (d, &job->tasks[i]);

      job->tasks[i].suspect = crl_is_suspect (known);
      if (!crl_is_poison (known))
        continue;
      dsp_fail_job (d, job, "crashes");
      return;
    }
}

/* Answer a JOB that is new here at once if it was cancelled before, or cannot
   be served.  Return: whether it is answered.  */
static bool
answer_at_once (struct dsp_dispatch *d, const struct dsp_job *job)
{
  uint64_t target_ns = CLK_MS * job->queue->target_ms;
  struct dsp_answer cancelled = { DSP_CANCELLED, "cancelled", 0 };

  if (cnl_contains (&d->cancels, job->id))
    {
      log_line (LOGL_INFO, "job-cancelled", "job=%.*s from=earlier",
                (int)job->id.len, job->id.data);
      count_answer (d, &cancelled);
      job->answer (&cancelled, job->priv);
    }
  else if (!ends_before_shutdown (d, job->estimate_ms, target_ns, clk_boot ()))
    refuse (d, job, "leaving", RETRY_ELSEWHERE_MS);
  else if (d->set.open_tasks_max > 0
           && d->jobs.tasks + job->count > d->set.open_tasks_max)
    refuse (d, job, "too-many-tasks", overload_retry_ms (d, 0));
  else if (!any_agent_could_fit (d, job))
    refuse_unfitting (d, job);
  else
    return false;
  return true;
}

void
dsp_submit (struct dsp_dispatch *d, const struct dsp_job *job)
{
  struct jtb_params params = make_params (job);
  struct jtb_job *accepted = jtb_find (&d->jobs, job->id);
  struct dsp_caller *caller;

  ctr_add (&d->counters, DSP_JOBS, 1);
  if (accepted != NULL)
    {
      replace_caller (d, accepted, job, params.timeout_ns);
      return;
    }
  if (answer_at_once (d, job))
    return;
  accepted = jtb_add (&d->jobs, &params, clk_boot ());
  if (accepted == NULL)
    {
      refuse (d, job, "bad-id", RETRY_NEVER);
      return;
    }
  caller = xtalloc_zero (accepted, struct dsp_caller);
  caller->answer = job->answer;
  caller->priv = job->priv;
  caller->queue = xtalloc_strdup (caller, job->queue->name);
  accepted->priv = caller;
  log_ratelimited (
      LOGL_INFO, "job",
      "job=%s queue=%s tasks=%u mcores=%u "
      "estimate_ms=%u target_ms=%llu patience_ms=%u config=%llu",
      accepted->id, caller->queue, accepted->count, accepted->need.mcores,
      accepted->estimate_ms, (unsigned long long)(params.target_ns / CLK_MS),
      job->timeout_ms, (unsigned long long)dsp_config_version (d));
  apply_known_crashes (d, accepted);
  dsp_schedule_placement (d);
}

bool
dsp_withdraw (struct dsp_dispatch *d, struct lv_slice id, const char *why)
{
  struct jtb_job *job = jtb_find (&d->jobs, id);

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
dsp_count_pending (const struct dsp_dispatch *d, const struct cat_queue *queue)
{
  const struct jtb_job *job;
  unsigned n = 0;

  for (job = d->jobs.jobs; job != NULL; job = job->hh.next)
    if (job->orders == 0
        && strcmp (((const struct dsp_caller *)job->priv)->queue, queue->name)
               == 0)
      n++;
  return n;
}
