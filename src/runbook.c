#include "lagoonvale/runbook.h"

#include <stdio.h>
#include <talloc.h>

#include "clock.h"

/* A run whose progress has not risen for this long stands still, ns; tasks
   are listed at least five times in that time.  */
#define STALL_NS (700 * CLK_MS)
/* A run on a sound minion takes at most so many times its estimate.  */
#define SLOW_FACTOR 6

void
rnb_init (struct rnb_book *b, void *mem_ctx, const struct rnb_events *events)
{
  memset (b, 0, sizeof *b);
  b->mem_ctx = mem_ctx;
  b->events = *events;
}

static void
drop (struct rnb_book *b, struct rnb_run *run)
{
  HASH_DEL (b->runs, run);
  if (run->owner == 0)
    b->unknown--;
  amt_take (&b->used, &run->need);
  talloc_free (run);
}

void
rnb_finish (struct rnb_book *b)
{
  while (b->runs != NULL)
    drop (b, b->runs);
}

static void
end (struct rnb_book *b, struct rnb_run *run, enum rnb_how how)
{
  if (run->stalled && how == RNB_STOPPED)
    how = RNB_STALLED;
  b->events.ended (run, how, b->events.priv);
  drop (b, run);
}

struct amt_amount
rnb_free (const struct rnb_book *b)
{
  struct amt_amount none = { 0 };
  struct amt_amount left = b->total;

  if (b->unknown > 0)
    return none;
  amt_take (&left, &b->used);
  return left;
}

struct rnb_run *
rnb_find (const struct rnb_book *b, struct lv_slice name)
{
  struct rnb_run *run;

  HASH_FIND (hh, b->runs, name.data, name.len, run);
  return run;
}

struct rnb_run *
rnb_find_number (const struct rnb_book *b, uint64_t owner, uint64_t number)
{
  struct rnb_run *run;

  for (run = b->runs; run != NULL; run = run->hh.next)
    if (run->owner == owner && run->number == number)
      return run;
  return NULL;
}

static struct rnb_run *
enter (struct rnb_book *b, struct lv_slice name, uint32_t attempt,
       uint64_t now_ns)
{
  struct rnb_run *run = talloc_zero (b->mem_ctx, struct rnb_run);

  snprintf (run->name, sizeof run->name, "%.*s", (int)name.len, name.data);
  run->attempt = attempt;
  run->ordered_ns = now_ns;
  run->sent_ns = now_ns;
  HASH_ADD (hh, b->runs, name[0], strlen (run->name), run);
  return run;
}

struct rnb_run *
rnb_order (struct rnb_book *b, struct lv_slice name, uint32_t attempt,
           const struct amt_amount *need, uint64_t now_ns)
{
  struct amt_amount left = rnb_free (b);
  struct rnb_run *run;

  if (!amt_fits (&left, need) || name.len >= RNB_NAME_MAX
      || rnb_find (b, name) != NULL)
    return NULL;
  run = enter (b, name, attempt, now_ns);
  run->need = *need;
  amt_add (&b->used, need);
  return run;
}

void
rnb_started (struct rnb_book *b, struct rnb_run *run, uint64_t now_ns)
{
  (void)b;
  run->since_ns = now_ns;
  run->moved_ns = now_ns;
  if (run->state == RNB_STARTING)
    run->state = RNB_RUNNING;
}

void
rnb_refused (struct rnb_book *b, struct rnb_run *run, enum rnb_how how)
{
  end (b, run, how);
}

void
rnb_stop (struct rnb_book *b, struct rnb_run *run, uint64_t now_ns)
{
  if (run->state == RNB_STOPPING || run->state == RNB_BARRED)
    return;
  run->state = RNB_STOPPING;
  run->sent_ns = now_ns;
  b->events.stop (run, b->events.priv);
}

void
rnb_stop_owner (struct rnb_book *b, uint64_t owner, uint64_t now_ns)
{
  struct rnb_run *run;
  struct rnb_run *next;

  HASH_ITER (hh, b->runs, run, next)
  {
    if (run->owner == owner)
      rnb_stop (b, run, now_ns);
  }
}

void
rnb_barred (struct rnb_book *b, struct rnb_run *run, uint64_t now_ns)
{
  (void)b;
  if (run->state != RNB_STOPPING)
    return;
  run->state = RNB_BARRED;
  run->sent_ns = now_ns;
}

void
rnb_list_ends (struct rnb_book *b, const struct rnb_listed *ends,
               unsigned count)
{
  unsigned i;

  for (i = 0; i < count; i++)
    {
      struct rnb_run *run = rnb_find (b, ends[i].name);

      if (run != NULL && run->attempt == ends[i].attempt)
        end (b, run, ends[i].end);
    }
}

/* What a listing says of one run that goes on.  */
static void
see_running (struct rnb_book *b, const struct rnb_listed *l, uint64_t now_ns)
{
  struct rnb_run *run = rnb_find (b, l->name);

  if (run == NULL)
    {
      run = enter (b, l->name, l->attempt, now_ns);
      run->state = RNB_RUNNING;
      run->since_ns = now_ns;
      b->unknown++;
      run->listed = true;
      rnb_stop (b, run, now_ns);
      return;
    }
  if (run->attempt != l->attempt)
    return;
  run->listed = true;
  if (l->percent > run->percent)
    {
      run->percent = l->percent;
      run->moved_ns = now_ns;
    }
}

void
rnb_list_running (struct rnb_book *b, const struct rnb_listed *running,
                  unsigned count, uint64_t asked_ns, uint64_t now_ns)
{
  struct rnb_run *run;
  struct rnb_run *next;
  unsigned i;

  for (run = b->runs; run != NULL; run = run->hh.next)
    run->listed = false;
  for (i = 0; i < count; i++)
    see_running (b, &running[i], now_ns);
  HASH_ITER (hh, b->runs, run, next)
  {
    if (run->listed)
      continue;
    if (run->state == RNB_BARRED && run->sent_ns < asked_ns)
      end (b, run, RNB_STOPPED);
    else if (run->state == RNB_RUNNING && run->since_ns < asked_ns)
      end (b, run, RNB_LAPSED);
  }
}

void
rnb_all_gone (struct rnb_book *b)
{
  while (b->runs != NULL)
    end (b, b->runs, RNB_LAPSED);
}

static bool
stands_still (const struct rnb_run *run, uint64_t now_ns)
{
  uint64_t longest = run->estimate_ms * SLOW_FACTOR * CLK_MS;

  if (run->state != RNB_RUNNING || run->owner == 0)
    return false;
  return clk_since (now_ns, run->moved_ns) > STALL_NS
         && clk_since (now_ns, run->since_ns) > longest;
}

void
rnb_tick (struct rnb_book *b, uint64_t now_ns)
{
  struct rnb_run *run;
  struct rnb_run *next;

  HASH_ITER (hh, b->runs, run, next)
  {
    if (run->state == RNB_STOPPING
        && clk_since (now_ns, run->sent_ns) >= RNB_STOP_RETRY_NS)
      {
        run->sent_ns = now_ns;
        b->events.stop (run, b->events.priv);
      }
    else if (stands_still (run, now_ns))
      {
        run->stalled = true;
        rnb_stop (b, run, now_ns);
      }
  }
}
