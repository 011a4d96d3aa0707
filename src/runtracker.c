#include "lagoonvale/runtracker.h"

#include <stdio.h>
#include <talloc.h>

#include "clock.h"

/* A run whose progress has not risen for this long stands still, ns; tasks
   are listed at least five times in that time.  */
#define STALL_NS (700 * CLK_MS)
/* A run on a sound minion takes at most so many times its estimate.  */
#define SLOW_FACTOR 6

void
rtk_init (struct rtk_tracker *b, void *mem_ctx,
          const struct rtk_events *events)
{
  memset (b, 0, sizeof *b);
  b->mem_ctx = mem_ctx;
  b->events = *events;
}

static void
drop (struct rtk_tracker *b, struct rtk_run *run)
{
  HASH_DEL (b->runs, run);
  if (run->owner == 0)
    b->unknown_runs--;
  amt_subtract (&b->used, &run->need);
  talloc_free (run);
}

void
rtk_finish (struct rtk_tracker *b)
{
  while (b->runs != NULL)
    drop (b, b->runs);
}

static void
end (struct rtk_tracker *b, struct rtk_run *run, enum rtk_outcome how)
{
  if (run->stalled && how == RTK_STOPPED)
    how = RTK_STALLED;
  b->events.ended (run, how, b->events.priv);
  drop (b, run);
}

struct amt_amount
rtk_free_amount (const struct rtk_tracker *b)
{
  struct amt_amount none = { 0 };
  struct amt_amount left = b->total;

  if (b->unknown_runs > 0)
    return none;
  amt_subtract (&left, &b->used);
  return left;
}

struct rtk_run *
rtk_find (const struct rtk_tracker *b, struct lv_slice name)
{
  struct rtk_run *run;

  HASH_FIND (hh, b->runs, name.data, name.len, run);
  return run;
}

struct rtk_run *
rtk_find_by_owner (const struct rtk_tracker *b, uint64_t owner,
                   uint64_t number)
{
  struct rtk_run *run;

  for (run = b->runs; run != NULL; run = run->hh.next)
    if (run->owner == owner && run->number == number)
      return run;
  return NULL;
}

static struct rtk_run *
enter (struct rtk_tracker *b, struct lv_slice name, uint32_t attempt,
       uint64_t now_ns)
{
  struct rtk_run *run = talloc_zero (b->mem_ctx, struct rtk_run);

  snprintf (run->name, sizeof run->name, "%.*s", (int)name.len, name.data);
  run->attempt = attempt;
  run->ordered_ns = now_ns;
  run->sent_ns = now_ns;
  HASH_ADD (hh, b->runs, name[0], strlen (run->name), run);
  return run;
}

struct rtk_run *
rtk_add (struct rtk_tracker *b, struct lv_slice name, uint32_t attempt,
         const struct amt_amount *need, uint64_t now_ns)
{
  struct amt_amount left = rtk_free_amount (b);
  struct rtk_run *run;

  if (!amt_fits (&left, need) || name.len >= RTK_NAME_MAX
      || rtk_find (b, name) != NULL)
    return NULL;
  run = enter (b, name, attempt, now_ns);
  run->need = *need;
  amt_add (&b->used, need);
  return run;
}

void
rtk_mark_started (struct rtk_tracker *b, struct rtk_run *run, uint64_t now_ns)
{
  (void)b;
  run->started_ns = now_ns;
  run->progress_ns = now_ns;
  if (run->state == RTK_STARTING)
    run->state = RTK_RUNNING;
}

void
rtk_end_refused (struct rtk_tracker *b, struct rtk_run *run,
                 enum rtk_outcome how)
{
  end (b, run, how);
}

void
rtk_stop (struct rtk_tracker *b, struct rtk_run *run, uint64_t now_ns)
{
  if (run->state == RTK_STOPPING || run->state == RTK_STOP_ACKED)
    return;
  run->state = RTK_STOPPING;
  run->sent_ns = now_ns;
  b->events.stop (run, b->events.priv);
}

void
rtk_stop_owner (struct rtk_tracker *b, uint64_t owner, uint64_t now_ns)
{
  struct rtk_run *run;
  struct rtk_run *next;

  HASH_ITER (hh, b->runs, run, next)
  {
    if (run->owner == owner)
      rtk_stop (b, run, now_ns);
  }
}

void
rtk_mark_stop_acked (struct rtk_tracker *b, struct rtk_run *run,
                     uint64_t now_ns)
{
  (void)b;
  if (run->state != RTK_STOPPING)
    return;
  run->state = RTK_STOP_ACKED;
  run->sent_ns = now_ns;
}

void
rtk_apply_ends (struct rtk_tracker *b, const struct rtk_listed_run *ends,
                unsigned count)
{
  unsigned i;

  for (i = 0; i < count; i++)
    {
      struct rtk_run *run = rtk_find (b, ends[i].name);

      if (run != NULL && run->attempt == ends[i].attempt)
        end (b, run, ends[i].end);
    }
}

/* What a listing says of one run that goes on.  */
static void
see_running (struct rtk_tracker *b, const struct rtk_listed_run *l,
             uint64_t now_ns)
{
  struct rtk_run *run = rtk_find (b, l->name);

  if (run == NULL)
    {
      run = enter (b, l->name, l->attempt, now_ns);
      run->state = RTK_RUNNING;
      run->started_ns = now_ns;
      b->unknown_runs++;
      run->listed = true;
      rtk_stop (b, run, now_ns);
      return;
    }
  if (run->attempt != l->attempt)
    return;
  run->listed = true;
  if (l->percent > run->percent)
    {
      run->percent = l->percent;
      run->progress_ns = now_ns;
    }
}

void
rtk_apply_running (struct rtk_tracker *b, const struct rtk_listed_run *running,
                   unsigned count, uint64_t asked_ns, uint64_t now_ns)
{
  struct rtk_run *run;
  struct rtk_run *next;
  unsigned i;

  for (run = b->runs; run != NULL; run = run->hh.next)
    run->listed = false;
  for (i = 0; i < count; i++)
    see_running (b, &running[i], now_ns);
  HASH_ITER (hh, b->runs, run, next)
  {
    if (run->listed)
      continue;
    if (run->state == RTK_STOP_ACKED && run->sent_ns < asked_ns)
      end (b, run, RTK_STOPPED);
    else if (run->state == RTK_RUNNING && run->started_ns < asked_ns)
      end (b, run, RTK_LAPSED);
  }
}

void
rtk_end_all (struct rtk_tracker *b)
{
  while (b->runs != NULL)
    end (b, b->runs, RTK_LAPSED);
}

static bool
stands_still (const struct rtk_run *run, uint64_t now_ns)
{
  uint64_t longest = run->estimate_ms * SLOW_FACTOR * CLK_MS;

  if (run->state != RTK_RUNNING || run->owner == 0)
    return false;
  return clk_since (now_ns, run->progress_ns) > STALL_NS
         && clk_since (now_ns, run->started_ns) > longest;
}

void
rtk_tick (struct rtk_tracker *b, uint64_t now_ns)
{
  struct rtk_run *run;
  struct rtk_run *next;

  HASH_ITER (hh, b->runs, run, next)
  {
    if (run->state == RTK_STOPPING
        && clk_since (now_ns, run->sent_ns) >= RTK_STOP_RETRY_NS)
      {
        run->sent_ns = now_ns;
        b->events.stop (run, b->events.priv);
      }
    else if (stands_still (run, now_ns))
      {
        run->stalled = true;
        rtk_stop (b, run, now_ns);
      }
  }
}
