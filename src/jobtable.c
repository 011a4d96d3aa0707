#include "lagoonvale/jobtable.h"

#include <stdio.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "xtalloc.h"

void
jtb_init (struct jtb_table *t, void *mem_ctx)
{
  memset (t, 0, sizeof *t);
  t->mem_ctx = mem_ctx;
  t->next_run = 1;
}

void
jtb_finish (struct jtb_table *t)
{
  while (t->jobs != NULL)
    jtb_remove (t, t->jobs);
}

static int
compare_jobs (const struct jtb_job *a, const struct jtb_job *b)
{
  if (a->late != b->late)
    return a->late ? 1 : -1;
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  if (a->start_by_ns != b->start_by_ns)
    return a->start_by_ns < b->start_by_ns ? -1 : 1;
  return 0;
}

static uint64_t
task_mcore_ms (const struct jtb_job *job)
{
  return (uint64_t)job->need.mcores * job->estimate_ms;
}

static void
enqueue (struct jtb_table *t, struct jtb_task *task)
{
  struct jtb_job *job = task->job;

  task->state = JTB_WAITING;
  if (job->waiting == 0)
    DL_INSERT_INORDER (t->queue, job, compare_jobs);
  job->waiting++;
  t->waiting_mcore_ms += task_mcore_ms (job);
}

/* Take TASK off the queue; its job leaves with the last waiting task.  */
static void
dequeue (struct jtb_table *t, struct jtb_task *task)
{
  struct jtb_job *job = task->job;

  job->waiting--;
  t->waiting_mcore_ms -= task_mcore_ms (job);
  if (job->waiting == 0)
    DL_DELETE (t->queue, job);
}

struct jtb_job *
jtb_find (const struct jtb_table *t, struct lv_slice id)
{
  struct jtb_job *job;

  HASH_FIND (hh, t->jobs, id.data, id.len, job);
  return job;
}

static void
set_times (struct jtb_job *job, const struct jtb_params *p, uint64_t now_ns)
{
  uint64_t run_ns = p->estimate_ms * CLK_MS;

  job->arrived_ns = now_ns;
  job->due_ns = now_ns + p->target_ns;
  job->start_by_ns = now_ns + clk_since (p->target_ns, run_ns);
  job->deadline_ns = now_ns + p->timeout_ns;
}

struct jtb_job *
jtb_add (struct jtb_table *t, const struct jtb_params *p, uint64_t now_ns)
{
  struct jtb_job *job;
  uint32_t i;

  if (p->id.len >= JTB_ID_MAX || jtb_find (t, p->id) != NULL)
    return NULL;
  job = xtalloc_zero (t->mem_ctx, struct jtb_job);
  snprintf (job->id, sizeof job->id, "%.*s", (int)p->id.len, p->id.data);
  job->spec = xtalloc_memdup (job, p->spec.data, p->spec.len);
  job->spec_len = p->spec.len;
  job->service = xtalloc_strndup (job, p->service.data, p->service.len);
  job->need = p->need;
  job->estimate_ms = p->estimate_ms;
  job->count = p->count;
  job->priority = p->priority;
  job->attempts = p->attempts;
  job->warmup = p->warmup;
  job->open = p->count;
  set_times (job, p, now_ns);
  job->tasks = xtalloc_zero_array (job, struct jtb_task, p->count);
  HASH_ADD (hh, t->jobs, id[0], strlen (job->id), job);
  t->tasks += job->count;
  for (i = 0; i < p->count; i++)
    {
      job->tasks[i].job = job;
      job->tasks[i].index = i;
      enqueue (t, &job->tasks[i]);
    }
  return job;
}

static void
remove_run (struct jtb_table *t, struct jtb_task *task)
{
  bool known = task->state == JTB_PLACED || task->state == JTB_UNREACHABLE;

  if (known && t->runs != NULL)
    HASH_DEL (t->runs, task);
}

void
jtb_remove (struct jtb_table *t, struct jtb_job *job)
{
  uint32_t i;

  for (i = 0; i < job->count; i++)
    {
      remove_run (t, &job->tasks[i]);
      if (job->tasks[i].state == JTB_WAITING)
        dequeue (t, &job->tasks[i]);
    }
  HASH_DEL (t->jobs, job);
  t->tasks -= job->count;
  talloc_free (job);
}

/* After this time most callers have no use for the answer.  */
static uint64_t
useful_until (const struct jtb_job *job)
{
  uint64_t allowed_ns = clk_since (job->due_ns, job->arrived_ns);

  return job->arrived_ns + JTB_GRACE_FACTOR * allowed_ns;
}

bool
jtb_past_grace (const struct jtb_job *job, uint64_t now_ns)
{
  return useful_until (job) < now_ns;
}

uint64_t
jtb_latest_start (const struct jtb_job *job)
{
  uint64_t until_ns = useful_until (job);

  if (until_ns > job->deadline_ns)
    until_ns = job->deadline_ns;
  return clk_since (until_ns, job->estimate_ms * CLK_MS);
}

/* Whether JOB, for which resources are being kept free, waits for them still.
   Demoted now, it would lose them to small tasks, and meet the same again.  */
static bool
keeps_reservation (const struct jtb_job *job, uint64_t now_ns)
{
  return job->reserving && now_ns < job->start_by_ns + JTB_RESERVATION_NS;
}

/* Whether JOB is queued behind all others.  After its latest start, a job
   keeps its place only while the share of its tasks that wait is at most the
   value of a late answer: resources go to jobs that can still be on time.  */
static bool
is_late (const struct jtb_job *job, uint64_t now_ns)
{
  if (job->start_by_ns >= now_ns || keeps_reservation (job, now_ns))
    return false;
  return job->waiting * JTB_LATE_VALUE_DIVISOR > job->count
         || jtb_past_grace (job, now_ns);
}

void
jtb_demote_late (struct jtb_table *t, uint64_t now_ns)
{
  struct jtb_job *job;
  bool changed = false;

  for (job = t->queue; job != NULL && !job->late; job = job->next)
    if (is_late (job, now_ns))
      job->late = changed = true;
  if (changed)
    DL_SORT (t->queue, compare_jobs);
}

void
jtb_place (struct jtb_table *t, struct jtb_task *task, void *agent,
           uint64_t now_ns)
{
  dequeue (t, task);
  task->state = JTB_PLACED;
  task->agent = agent;
  task->placed_ns = now_ns;
  task->attempt++;
  task->run = t->next_run++;
  task->job->orders++;
  HASH_ADD (hh, t->runs, run, sizeof task->run, task);
}

struct jtb_task *
jtb_find_run (const struct jtb_table *t, uint64_t run)
{
  struct jtb_task *task;

  HASH_FIND (hh, t->runs, &run, sizeof run, task);
  return task;
}

enum jtb_job_status
jtb_mark_done (struct jtb_table *t, struct jtb_task *task)
{
  remove_run (t, task);
  task->state = JTB_DONE;
  task->job->open--;
  return task->job->open == 0 ? JTB_COMPLETE : JTB_OPEN;
}

enum jtb_job_status
jtb_requeue (struct jtb_table *t, struct jtb_task *task, bool failed)
{
  remove_run (t, task);
  task->avoid = task->agent;
  task->agent = NULL;
  enqueue (t, task);
  if (failed)
    task->failures++;
  return task->failures >= task->job->attempts ? JTB_FAILED : JTB_OPEN;
}

void
jtb_mark_unreachable (struct jtb_table *t, const void *agent,
                      uint64_t until_ns)
{
  struct jtb_task *task;

  for (task = t->runs; task != NULL; task = task->hh.next)
    if (task->agent == agent && task->state == JTB_PLACED)
      {
        task->state = JTB_UNREACHABLE;
        task->runs_until_ns = until_ns;
      }
}

struct jtb_task *
jtb_find_lapsed (const struct jtb_table *t, uint64_t now_ns)
{
  struct jtb_task *task;

  for (task = t->runs; task != NULL; task = task->hh.next)
    if (task->state == JTB_UNREACHABLE && now_ns >= task->runs_until_ns)
      return task;
  return NULL;
}
