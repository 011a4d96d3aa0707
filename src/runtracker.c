#include "lagoonvale/runtracker.h"

#include <stdio.h>
#include <talloc.h>

#include "clock.h"
#include "lagoonvale/leasebounds.h"
#include "xtalloc.h"

/* A run without progress for this long is stalled, ns: at least five listings
   of the minion.  */
#define STALL_TIMEOUT_NS (700 * CLK_MS)
/* On a healthy minion a run takes at most this multiple of its estimate, and
   each percent at most this multiple of what those before it took.  */
#define SLOW_FACTOR 6

void
rtk_init (struct rtk_tracker *t, void *mem_ctx,
          const struct rtk_events *events, const struct rtk_limits *limits)
{
  memset (t, 0, sizeof *t);
  t->mem_ctx = mem_ctx;
  t->events = *events;
  t->limits = *limits;
}

static void
remove_run (struct rtk_tracker *t, struct rtk_run *run)
{
  HASH_DEL (t->runs, run);
  if (run->owner == 0)
    t->unknown_runs--;
  amt_subtract (&t->used, &run->need);
  talloc_free (run);
}

void
rtk_finish (struct rtk_tracker *t)
{
  while (t->runs != NULL)
    remove_run (t, t->runs);
}

static void
end_run (struct rtk_tracker *t, struct rtk_run *run, enum rtk_outcome outcome)
{
  if (run->stalled && outcome == RTK_STOPPED)
    outcome = RTK_STALLED;
  t->events.ended (run, outcome, t->events.priv);
  remove_run (t, run);
}

struct amt_amount
rtk_free_amount (const struct rtk_tracker *t)
{
  struct amt_amount none = { 0 };
  struct amt_amount left = t->total;

  if (t->unknown_runs > 0)
    return none;
  amt_subtract (&left, &t->used);
  return left;
}

struct rtk_run *
rtk_find (const struct rtk_tracker *t, struct lv_slice name)
{
  struct rtk_run *run;

  HASH_FIND (hh, t->runs, name.data, name.len, run);
  return run;
}

struct rtk_run *
rtk_find_by_owner (const struct rtk_tracker *t, uint64_t owner,
                   uint64_t number)
{
  struct rtk_run *run;

  for (run = t->runs; run != NULL; run = run->hh.next)
    if (run->owner == owner && run->number == number)
      return run;
  return NULL;
}

static struct rtk_run *
add_run (struct rtk_tracker *t, struct lv_slice name, uint32_t attempt,
         uint64_t now_ns)
{
  struct rtk_run *run = xtalloc_zero (t->mem_ctx, struct rtk_run);

  snprintf (run->name, sizeof run->name, "%.*s", (int)name.len, name.data);
  run->attempt = attempt;
  run->ordered_ns = now_ns;
  run->sent_ns = now_ns;
  HASH_ADD (hh, t->runs, name[0], strlen (run->name), run);
  return run;
}

struct rtk_run *
rtk_add (struct rtk_tracker *t, struct lv_slice name, uint32_t attempt,
         const struct amt_amount *need, uint64_t now_ns)
{
  struct amt_amount left = rtk_free_amount (t);
  struct rtk_run *run;

  if (!amt_fits (&left, need) || name.len >= RTK_NAME_MAX
      || rtk_find (t, name) != NULL)
    return NULL;
  run = add_run (t, name, attempt, now_ns);
  run->need = *need;
  amt_add (&t->used, need);
  return run;
}

void
rtk_mark_started (struct rtk_tracker *t, struct rtk_run *run, uint64_t now_ns)
{
  (void)t;
  run->started_ns = now_ns;
  run->executed = true;
  run->progress_ns = now_ns;
  if (run->state == RTK_STARTING)
    run->state = RTK_RUNNING;
}

void
rtk_end_refused (struct rtk_tracker *t, struct rtk_run *run,
                 enum rtk_outcome outcome)
{
  end_run (t, run, outcome);
}

/* Send the stop of RUN, or leave it to wait while too many are unanswered.  */
static void
send_stop (struct rtk_tracker *t, struct rtk_run *run, uint64_t now_ns)
{
  if (t->stops_open >= t->limits.stops_max)
    return;
  t->stops_open++;
  run->stop_waits = false;
  run->stops_sent++;
  run->sent_ns = now_ns;
  t->events.stop (run, t->events.priv);
}

void
rtk_stop (struct rtk_tracker *t, struct rtk_run *run, uint64_t now_ns)
{
  if (run->state == RTK_STOPPING || run->state == RTK_STOP_ACKED)
    return;
  run->state = RTK_STOPPING;
  run->stop_waits = true;
  send_stop (t, run, now_ns);
}

void
rtk_give_up (struct rtk_tracker *t, struct rtk_run *run, uint64_t now_ns)
{
  if (!run->given_up)
    run->given_up_ns = now_ns;
  run->given_up = true;
  rtk_stop (t, run, now_ns);
}

void
rtk_give_up_owner (struct rtk_tracker *t, uint64_t owner, uint64_t now_ns)
{
  struct rtk_run *run;
  struct rtk_run *next;

  HASH_ITER (hh, t->runs, run, next)
  {
    if (run->owner == owner)
      rtk_give_up (t, run, now_ns);
  }
}

bool
rtk_may_renew (const struct rtk_tracker *t, uint64_t now_ns)
{
  const struct rtk_run *run;

  if (t->unknown_runs > 0)
    return false;
  for (run = t->runs; run != NULL; run = run->hh.next)
    if (run->given_up
        && clk_since (now_ns, run->given_up_ns) >= LBD_STOP_GRACE_NS)
      return false;
  return true;
}

static bool
is_stop_due (const struct rtk_tracker *t, const struct rtk_run *run,
             uint64_t now_ns)
{
  uint64_t retry_ns = t->limits.stop_ns + RTK_STOP_TRANSFER_NS;

  return run->state == RTK_STOPPING
         && (run->stop_waits || clk_since (now_ns, run->sent_ns) >= retry_ns);
}

static void
send_due_stops (struct rtk_tracker *t, uint64_t now_ns)
{
  struct rtk_run *run;
  struct rtk_run *next;

  HASH_ITER (hh, t->runs, run, next)
  {
    if (is_stop_due (t, run, now_ns))
      send_stop (t, run, now_ns);
  }
}

void
rtk_stop_answered (struct rtk_tracker *t, struct rtk_run *run, bool acked,
                   uint64_t now_ns)
{
  t->stops_open--;
  if (run != NULL && acked && run->state == RTK_STOPPING)
    {
      run->state = RTK_STOP_ACKED;
      run->sent_ns = now_ns;
    }
  send_due_stops (t, now_ns);
}

void
rtk_apply_ends (struct rtk_tracker *t, const struct rtk_listed_run *ends,
                unsigned count)
{
  unsigned i;

  for (i = 0; i < count; i++)
    {
      struct rtk_run *run = rtk_find (t, ends[i].name);

      if (run != NULL && run->attempt == ends[i].attempt)
        end_run (t, run, ends[i].end);
    }
}

/* Apply the listing of one running run.  */
static void
update_run (struct rtk_tracker *t, const struct rtk_listed_run *l,
            uint64_t now_ns)
{
  struct rtk_run *run = rtk_find (t, l->name);

  if (run == NULL)
    {
      run = add_run (t, l->name, l->attempt, now_ns);
      run->state = RTK_RUNNING;
      run->started_ns = now_ns;
      run->executed = true;
      t->unknown_runs++;
      run->listed = true;
      rtk_stop (t, run, now_ns);
      return;
    }
  if (run->attempt != l->attempt)
    return;
  run->listed = true;
  run->executed = true;
  if (l->percent > run->percent)
    {
      run->percent = l->percent;
      run->progress_ns = now_ns;
    }
}

void
rtk_apply_running (struct rtk_tracker *t, const struct rtk_listed_run *running,
                   unsigned count, uint64_t asked_ns, uint64_t now_ns)
{
  struct rtk_run *run;
  struct rtk_run *next;
  unsigned i;

  for (run = t->runs; run != NULL; run = run->hh.next)
    run->listed = false;
  for (i = 0; i < count; i++)
    update_run (t, &running[i], now_ns);
  HASH_ITER (hh, t->runs, run, next)
  {
    if (run->listed)
      continue;
    if (run->state == RTK_STOP_ACKED && run->sent_ns < asked_ns)
      end_run (t, run, RTK_STOPPED);
    else if (run->state == RTK_RUNNING && run->started_ns < asked_ns)
      end_run (t, run, RTK_LAPSED);
  }
}

struct lv_slice
rtk_job_of (struct lv_slice task)
{
  struct lv_slice job = task;

  while (job.len > 0 && job.data[job.len - 1] != '.')
    job.len--;
  if (job.len == 0)
    return task;
  job.len--;
  return job;
}

bool
rtk_any_start_open (const struct rtk_tracker *t)
{
  const struct rtk_run *run;

  for (run = t->runs; run != NULL; run = run->hh.next)
    if (run->started_ns == 0
        && (run->state == RTK_STARTING || run->state == RTK_STOPPING))
      return true;
  return false;
}

void
rtk_end_all (struct rtk_tracker *t, enum rtk_outcome outcome)
{
  while (t->runs != NULL)
    {
      bool unproven = outcome == RTK_CRASHED && !t->runs->executed;

      end_run (t, t->runs, unproven ? RTK_LAPSED : outcome);
    }
}

/* Time until the next percent of RUN after which it is stalled, ns.  A run of
   more than a minute shows a new percent less often than the timeout.  */
static uint64_t
stall_timeout (const struct rtk_run *run)
{
  uint64_t slow_ns;

  if (run->percent == 0)
    return STALL_TIMEOUT_NS;
  slow_ns = clk_since (run->progress_ns, run->started_ns) / run->percent
            * SLOW_FACTOR;
  return slow_ns > STALL_TIMEOUT_NS ? slow_ns : STALL_TIMEOUT_NS;
}

static bool
is_stalled (const struct rtk_run *run, uint64_t now_ns)
{
  uint64_t slow_ns = run->estimate_ms * SLOW_FACTOR * CLK_MS;

  if (run->state != RTK_RUNNING || run->owner == 0)
    return false;
  return clk_since (now_ns, run->progress_ns) > stall_timeout (run)
         && clk_since (now_ns, run->started_ns) > slow_ns;
}

void
rtk_tick (struct rtk_tracker *t, uint64_t now_ns)
{
  struct rtk_run *run;
  struct rtk_run *next;

  HASH_ITER (hh, t->runs, run, next)
  {
    if (is_stalled (run, now_ns))
      {
        run->stalled = true;
        rtk_stop (t, run, now_ns);
      }
  }
  send_due_stops (t, now_ns);
}
