#include "lagoonvale/abandoned.h"

#include <string.h>
#include <talloc.h>

#include "xtalloc.h"

/* struct abd_job - a job with runs that may still be there  */
struct abd_job
{
  char *id;
  unsigned runs;
  UT_hash_handle hh;
};

void
abd_init (struct abd_runs *t, void *mem_ctx)
{
  memset (t, 0, sizeof *t);
  t->mem_ctx = mem_ctx;
}

static struct abd_job *
find_job (const struct abd_runs *t, struct lv_slice id)
{
  struct abd_job *job;

  HASH_FIND (hh, t->jobs, id.data, id.len, job);
  return job;
}

static struct abd_job *
find_or_add_job (struct abd_runs *t, struct lv_slice id)
{
  struct abd_job *job = find_job (t, id);

  if (job != NULL)
    return job;
  job = xtalloc_zero (t->mem_ctx, struct abd_job);
  job->id = xtalloc_strndup (job, id.data, id.len);
  HASH_ADD_KEYPTR (hh, t->jobs, job->id, id.len, job);
  return job;
}

static void
remove_run (struct abd_runs *t, struct abd_run *run)
{
  struct abd_job *job = run->job;

  HASH_DEL (t->runs, run);
  talloc_free (run);
  if (--job->runs > 0 || t->jobs == NULL)
    return;
  HASH_DEL (t->jobs, job);
  talloc_free (job);
}

void
abd_finish (struct abd_runs *t)
{
  while (t->runs != NULL)
    remove_run (t, t->runs);
}

void
abd_add (struct abd_runs *t, struct lv_slice id, uint64_t number,
         const void *agent, uint64_t ended_by_ns)
{
  struct abd_run *run = xtalloc_zero (t->mem_ctx, struct abd_run);

  run->number = number;
  run->agent = agent;
  run->ended_by_ns = ended_by_ns;
  run->job = find_or_add_job (t, id);
  run->job->runs++;
  HASH_ADD (hh, t->runs, number, sizeof run->number, run);
}

bool
abd_any (const struct abd_runs *t, struct lv_slice id)
{
  return t->jobs != NULL && find_job (t, id) != NULL;
}

bool
abd_ended (struct abd_runs *t, uint64_t number)
{
  struct abd_run *run;

  HASH_FIND (hh, t->runs, &number, sizeof number, run);
  if (run == NULL)
    return false;
  remove_run (t, run);
  return true;
}

void
abd_agent_lost (struct abd_runs *t, const void *agent, uint64_t ended_by_ns)
{
  struct abd_run *run;

  for (run = t->runs; run != NULL; run = run->hh.next)
    if (run->agent == agent && run->ended_by_ns == ABD_UNTIL_REPORTED)
      run->ended_by_ns = ended_by_ns;
}

static bool
is_listed (const uint64_t *numbers, unsigned count, uint64_t number)
{
  unsigned i;

  for (i = 0; i < count; i++)
    if (numbers[i] == number)
      return true;
  return false;
}

void
abd_agent_listed (struct abd_runs *t, const void *agent,
                  const uint64_t *numbers, unsigned count,
                  uint64_t others_ended_by_ns)
{
  struct abd_run *run;

  for (run = t->runs; run != NULL; run = run->hh.next)
    {
      if (run->agent != agent)
        continue;
      if (is_listed (numbers, count, run->number))
        run->ended_by_ns = ABD_UNTIL_REPORTED;
      else if (others_ended_by_ns < run->ended_by_ns)
        run->ended_by_ns = others_ended_by_ns;
    }
}

unsigned
abd_expire (struct abd_runs *t, uint64_t now_ns)
{
  struct abd_run *run;
  struct abd_run *next;
  unsigned n = 0;

  HASH_ITER (hh, t->runs, run, next)
  {
    if (now_ns < run->ended_by_ns)
      continue;
    remove_run (t, run);
    n++;
  }
  return n;
}
