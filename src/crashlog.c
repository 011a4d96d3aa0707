#include "lagoonvale/crashlog.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "xtalloc.h"

/* Runs whose ages differ by no more than this were started together, ms: a
   crash shows a few ms after the start that causes it.  */
#define SAME_AGE_MS 10
/* Crashes and blame from which on a task is poison.  */
#define POISON_CRASHES 2
#define POISON_BLAME 0.99
/* Blame from which on a task is a suspect: one of the two jobs started last.
 */
#define SUSPECT_BLAME 0.49

void
crl_init (struct crl_log *l, void *mem_ctx)
{
  memset (l, 0, sizeof *l);
  l->mem_ctx = mem_ctx;
}

static void
drop (struct crl_log *l, struct crl_task *task)
{
  /* The analyzer cannot tell that TASK is in both.  */
  HASH_DEL (l->tasks, task);  /* NOLINT */
  DL_DELETE (l->order, task); /* NOLINT */
  talloc_free (task);
}

void
crl_finish (struct crl_log *l)
{
  while (l->order != NULL)
    drop (l, l->order);
}

static struct crl_task *
find (const struct crl_log *l, struct lv_slice name)
{
  struct crl_task *task;

  HASH_FIND (hh, l->tasks, name.data, name.len, task);
  return task;
}

const struct crl_task *
crl_find (const struct crl_log *l, struct lv_slice name)
{
  return find (l, name);
}

/* Find or add the task NAME and make it the newest one.  */
static struct crl_task *
touch (struct crl_log *l, struct lv_slice name, uint64_t now_ns)
{
  struct crl_task *task = find (l, name);

  if (task != NULL)
    DL_DELETE (l->order, task);
  else
    {
      if (HASH_COUNT (l->tasks) >= CRL_TASKS_MAX)
        drop (l, l->order);
      task = xtalloc_zero (l->mem_ctx, struct crl_task);
      snprintf (task->name, sizeof task->name, "%.*s", (int)name.len,
                name.data);
      HASH_ADD (hh, l->tasks, name[0], strlen (task->name), task);
    }
  DL_APPEND (l->order, task);
  task->newest_ns = now_ns;
  return task;
}

static uint64_t
youngest_age (const struct crl_run *runs, unsigned count)
{
  uint64_t age_ms = CRL_AGE_NEVER_STARTED;
  unsigned i;

  for (i = 0; i < count; i++)
    if (runs[i].age_ms < age_ms)
      age_ms = runs[i].age_ms;
  return age_ms;
}

/* Set the first COUNT of BLAMED for the runs that a crash is blamed on: those
   started last, or of these only known suspects if there are any.  */
static void
find_culprits (const struct crl_log *l, const struct crl_run *runs,
               unsigned count, bool *blamed)
{
  uint64_t age_ms = youngest_age (runs, count) + SAME_AGE_MS;
  bool any_known = false;
  unsigned i;

  for (i = 0; i < count; i++)
    {
      blamed[i] = runs[i].age_ms != CRL_AGE_NEVER_STARTED
                  && runs[i].age_ms <= age_ms;
      any_known |= blamed[i] && crl_is_suspect (find (l, runs[i].task));
    }
  for (i = 0; any_known && i < count; i++)
    blamed[i] = blamed[i] && crl_is_suspect (find (l, runs[i].task));
}

static bool
has_earlier_sibling (const struct crl_run *runs, const bool *blamed,
                     unsigned at)
{
  unsigned i;

  for (i = 0; i < at; i++)
    if (blamed[i]
        && lv_slice_eq (rtk_job_of (runs[i].task), rtk_job_of (runs[at].task)))
      return true;
  return false;
}

static unsigned
count_jobs (const struct crl_run *runs, unsigned count, const bool *blamed)
{
  unsigned jobs = 0;
  unsigned i;

  for (i = 0; i < count; i++)
    jobs += blamed[i] && !has_earlier_sibling (runs, blamed, i);
  return jobs;
}

/* Clear the tasks that were blamed for the crash NUMBER.  */
static void
clear_blame (struct crl_log *l, uint64_t number)
{
  struct crl_task *task;

  DL_FOREACH (l->order, task)
  if (task->blamed_for == number && !crl_is_poison (task))
    task->blame = 0;
}

/* Blame TASK for a part of the newest crash.  */
static void
blame_task (struct crl_log *l, struct crl_task *task, double part)
{
  uint64_t before = task->blamed_for;

  task->blame += part;
  task->blamed_for = l->crashes;
  if (before != 0 && crl_is_poison (task))
    clear_blame (l, before);
}

/* Record that TASK was lost as RUN with its minion, of which it is blamed for
   PART.  */
typedef void (*loss_fn) (struct crl_log *l, struct crl_task *task,
                         const struct crl_run *run, double part,
                         uint64_t now_ns);

static void
record_crash (struct crl_log *l, struct crl_task *task,
              const struct crl_run *run, double part, uint64_t now_ns)
{
  if (run->executed)
    task->crashes++;
  else if (run->age_ms != CRL_AGE_NEVER_STARTED)
    task->doubts++;
  if (part > 0)
    blame_task (l, task, part);
  if (crl_is_poison (task))
    l->poison_ns = now_ns;
}

static void
record_silence (struct crl_log *l, struct crl_task *task,
                const struct crl_run *run, double part, uint64_t now_ns)
{
  (void)l;
  (void)run;
  (void)now_ns;
  task->silences++;
  task->silent_blame += part;
}

static void
record_loss (struct crl_log *l, const struct crl_run *runs, unsigned count,
             uint64_t now_ns, loss_fn record)
{
  bool *blamed = xtalloc_array (l->mem_ctx, bool, count);
  unsigned jobs;
  unsigned i;

  find_culprits (l, runs, count, blamed);
  jobs = count_jobs (runs, count, blamed);
  for (i = 0; i < count; i++)
    {
      double part = blamed[i] ? 1.0 / jobs : 0;

      if (runs[i].task.len < RTK_NAME_MAX)
        record (l, touch (l, runs[i].task, now_ns), &runs[i], part, now_ns);
    }
  talloc_free (blamed);
}

void
crl_record (struct crl_log *l, const struct crl_run *runs, unsigned count,
            uint64_t now_ns)
{
  l->crashes++;
  record_loss (l, runs, count, now_ns, record_crash);
}

void
crl_record_silence (struct crl_log *l, const struct crl_run *runs,
                    unsigned count, uint64_t now_ns)
{
  record_loss (l, runs, count, now_ns, record_silence);
}

void
crl_resolve_silence (struct crl_log *l, const struct crl_run *runs,
                     unsigned count, bool crashed, uint64_t now_ns)
{
  unsigned i;

  for (i = 0; i < count; i++)
    {
      struct crl_task *task = find (l, runs[i].task);

      if (task == NULL || task->silences == 0)
        continue;
      /* Which part of the blame was for this silence is not kept.  */
      task->silent_blame -= task->silent_blame / task->silences;
      if (--task->silences == 0)
        task->silent_blame = 0;
    }
  if (crashed)
    crl_record (l, runs, count, now_ns);
}

static bool
is_too_much (unsigned losses, double blame)
{
  return losses >= CRL_CRASHES_MAX
         || (losses >= POISON_CRASHES && blame >= POISON_BLAME);
}

bool
crl_is_poison (const struct crl_task *task)
{
  return task != NULL && is_too_much (task->crashes, task->blame);
}

bool
crl_must_wait (const struct crl_task *task)
{
  if (task == NULL)
    return false;
  return is_too_much (task->crashes + task->silences,
                      task->blame + task->silent_blame)
         || task->crashes + task->silences + task->doubts >= CRL_CRASHES_MAX;
}

bool
crl_is_suspect (const struct crl_task *task)
{
  return task != NULL && (task->blame > 0 || task->silent_blame > 0);
}

bool
crl_is_alert (const struct crl_log *l, uint64_t now_ns)
{
  return l->poison_ns != 0 && now_ns < l->poison_ns + CRL_ALERT_NS;
}

void
crl_expire (struct crl_log *l, uint64_t now_ns)
{
  while (l->order != NULL && now_ns > l->order->newest_ns + CRL_RETENTION_NS)
    drop (l, l->order);
}
