#include "lagoonvale/jobtable.h"

#include <stdio.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"

void
jtb_init (struct jtb_table *b, void *mem_ctx)
{
  memset (b, 0, sizeof *b);
  b->mem_ctx = mem_ctx;
  b->next_run = 1;
}

void
jtb_finish (struct jtb_table *b)
{
  while (b->jobs != NULL)
    jtb_remove (b, b->jobs);
}

static int
by_order (const struct jtb_job *a, const struct jtb_job *b)
{
  if (a->late != b->late)
    return a->late ? 1 : -1;
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  if (a->start_by_ns != b->start_by_ns)
    return a->start_by_ns < b->start_by_ns ? -1 : 1;
  return a->priority < b->priority ? -1 : a->priority > b->priority;
}

static uint64_t
work_of (const struct jtb_job *job)
{
  return (uint64_t)job->need.mcores * job->estimate_ms;
}

static void
await (struct jtb_table *b, struct jtb_task *task)
{
  struct jtb_job *job = task->job;

  task->state = JTB_WAITING;
  if (job->waiting == 0)
    DL_INSERT_INORDER (b->queue, job, by_order);
  job->waiting++;
  b->waiting_mcore_ms += work_of (job);
}

/* TASK no longer waits.  */
static void
leave_queue (struct jtb_table *b, struct jtb_task *task)
{
  struct jtb_job *job = task->job;

  job->waiting--;
  b->waiting_mcore_ms -= work_of (job);
  if (job->waiting == 0)
    DL_DELETE (b->queue, job);
}

struct jtb_job *
jtb_find (const struct jtb_table *b, struct lv_slice id)
{
  struct jtb_job *job;

  HASH_FIND (hh, b->jobs, id.data, id.len, job);
  return job;
}

static void
set_times (struct jtb_job *job, const struct jtb_params *d, uint64_t now_ns)
{
  uint64_t run_ns = d->estimate_ms * CLK_MS;

  job->arrived_ns = now_ns;
  job->due_ns = now_ns + d->target_ns;
  job->start_by_ns = now_ns + clk_since (d->target_ns, run_ns);
  job->deadline_ns = now_ns + d->timeout_ns;
}

struct jtb_job *
jtb_add (struct jtb_table *b, const struct jtb_params *d, uint64_t now_ns)
{
  struct jtb_job *job;
  uint32_t i;

  if (d->id.len >= JTB_ID_MAX || jtb_find (b, d->id) != NULL)
    return NULL;
  job = talloc_zero (b->mem_ctx, struct jtb_job);
  snprintf (job->id, sizeof job->id, "%.*s", (int)d->id.len, d->id.data);
  job->spec = talloc_memdup (job, d->spec.data, d->spec.len);
  job->spec_len = d->spec.len;
  job->service = talloc_strndup (job, d->service.data, d->service.len);
  job->need = d->need;
  job->estimate_ms = d->estimate_ms;
  job->count = d->count;
  job->priority = d->priority;
  job->attempts = d->attempts;
  job->open = d->count;
  set_times (job, d, now_ns);
  job->tasks = talloc_zero_array (job, struct jtb_task, d->count);
  HASH_ADD (hh, b->jobs, id[0], strlen (job->id), job);
  for (i = 0; i < d->count; i++)
    {
      job->tasks[i].job = job;
      job->tasks[i].index = i;
      await (b, &job->tasks[i]);
    }
  return job;
}

static void
forget_run (struct jtb_table *b, struct jtb_task *task)
{
  bool known = task->state == JTB_PLACED || task->state == JTB_UNREACHABLE;

  if (known && b->runs != NULL)
    HASH_DEL (b->runs, task);
}

void
jtb_remove (struct jtb_table *b, struct jtb_job *job)
{
  uint32_t i;

  for (i = 0; i < job->count; i++)
    {
      forget_run (b, &job->tasks[i]);
      if (job->tasks[i].state == JTB_WAITING)
        leave_queue (b, &job->tasks[i]);
    }
  HASH_DEL (b->jobs, job);
  talloc_free (job);
}

/* When nobody waits for the answer any more.  */
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

/* A late job keeps its place only if what is left of it is less than what its
   answer is still worth: room goes to the jobs that can still be in time.  */
static bool
is_late (const struct jtb_job *job, uint64_t now_ns)
{
  if (job->start_by_ns >= now_ns)
    return false;
  return job->waiting * JTB_LATE_VALUE_DIVISOR > job->count
         || jtb_past_grace (job, now_ns);
}

void
jtb_demote_late (struct jtb_table *b, uint64_t now_ns)
{
  struct jtb_job *job;
  bool changed = false;

  for (job = b->queue; job != NULL && !job->late; job = job->next)
    if (is_late (job, now_ns))
      job->late = changed = true;
  if (changed)
    DL_SORT (b->queue, by_order);
}

void
jtb_place (struct jtb_table *b, struct jtb_task *task, void *host,
           uint64_t now_ns)
{
  leave_queue (b, task);
  task->state = JTB_PLACED;
  task->host = host;
  task->placed_ns = now_ns;
  task->attempt++;
  task->run = b->next_run++;
  task->job->orders++;
  HASH_ADD (hh, b->runs, run, sizeof task->run, task);
}

struct jtb_task *
jtb_find_run (const struct jtb_table *b, uint64_t run)
{
  struct jtb_task *task;

  HASH_FIND (hh, b->runs, &run, sizeof run, task);
  return task;
}

enum jtb_job_status
jtb_mark_done (struct jtb_table *b, struct jtb_task *task)
{
  forget_run (b, task);
  task->state = JTB_DONE;
  task->job->open--;
  return task->job->open == 0 ? JTB_COMPLETE : JTB_OPEN;
}

enum jtb_job_status
jtb_requeue (struct jtb_table *b, struct jtb_task *task, bool failed)
{
  forget_run (b, task);
  task->avoid = task->host;
  task->host = NULL;
  await (b, task);
  if (failed)
    task->failures++;
  return task->failures >= task->job->attempts ? JTB_FAILED : JTB_OPEN;
}

void
jtb_mark_unreachable (struct jtb_table *b, const void *host, uint64_t until_ns)
{
  struct jtb_task *task;

  for (task = b->runs; task != NULL; task = task->hh.next)
    if (task->host == host && task->state == JTB_PLACED)
      {
        task->state = JTB_UNREACHABLE;
        task->runs_until_ns = until_ns;
      }
}

struct jtb_task *
jtb_find_lapsed (const struct jtb_table *b, uint64_t now_ns)
{
  struct jtb_task *task;

  for (task = b->runs; task != NULL; task = task->hh.next)
    if (task->state == JTB_UNREACHABLE && now_ns >= task->runs_until_ns)
      return task;
  return NULL;
}
