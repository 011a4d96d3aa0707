#include "lagoonvale/lookahead.h"

/* Percentage from which on the progress of a run tells its end better than its
   declared run time.  */
#define PERCENT_MIN 10
/* A run beyond its declared time is expected to take this part of the time it
   has taken, and this time at least, ms.  */
#define OVERDUE_PARTS 5
#define OVERDUE_MIN_MS 10
/* Run times are off by 40 per cent: a task that is to end before a time must
   be expected to take two thirds of it.  */
#define MARGIN_NUMERATOR 3
#define MARGIN_DENOMINATOR 2

uint32_t
lkh_remaining_ms (uint64_t elapsed_ms, uint32_t percent, uint64_t estimate_ms)
{
  uint64_t left_ms;

  if (percent >= PERCENT_MIN && percent <= 100)
    left_ms = elapsed_ms * (100 - percent) / percent;
  else if (elapsed_ms < estimate_ms)
    left_ms = estimate_ms - elapsed_ms;
  else
    {
      left_ms = elapsed_ms / OVERDUE_PARTS;
      if (left_ms < OVERDUE_MIN_MS)
        left_ms = OVERDUE_MIN_MS;
    }
  return left_ms < UINT32_MAX ? (uint32_t)left_ms : UINT32_MAX;
}

void
lkh_add_end (struct lkh_end ends[LKH_ENDS_MAX], unsigned *count,
             const struct lkh_end *end)
{
  unsigned at = *count;

  if (at == LKH_ENDS_MAX && end->in_ms >= ends[at - 1].in_ms)
    return;
  if (at == LKH_ENDS_MAX)
    at--;
  else
    ++*count;
  for (; at > 0 && ends[at - 1].in_ms > end->in_ms; at--)
    ends[at] = ends[at - 1];
  ends[at] = *end;
}

/* Room at AGENT in IN_MS, beside what is held there.  */
static struct amt_amount
room_in (const struct lkh_agent *agent, uint32_t in_ms)
{
  struct amt_amount room = agent->free;
  unsigned i;

  for (i = 0; i < agent->end_count && agent->ends[i].in_ms <= in_ms; i++)
    amt_add (&room, &agent->ends[i].frees);
  amt_subtract (&room, &agent->held);
  return room;
}

/* When NEED fits at AGENT.  Return: whether that is within HORIZON_MS.  */
static bool
find_time (const struct lkh_agent *agent, const struct amt_amount *need,
           uint32_t horizon_ms, uint32_t *in_ms)
{
  struct amt_amount room = room_in (agent, 0);
  unsigned i;

  *in_ms = 0;
  if (amt_fits (&room, need))
    return true;
  for (i = 0; i < agent->end_count && agent->ends[i].in_ms <= horizon_ms; i++)
    {
      *in_ms = agent->ends[i].in_ms;
      room = room_in (agent, *in_ms);
      if (amt_fits (&room, need))
        return true;
    }
  return false;
}

int
lkh_hold (struct lkh_agent *agents, unsigned count,
          const struct amt_amount *need, uint32_t horizon_ms)
{
  uint32_t best_ms = 0;
  int best = -1;
  unsigned i;

  for (i = 0; i < count; i++)
    {
      uint32_t in_ms;

      if (!agents[i].usable
          || !find_time (&agents[i], need, horizon_ms, &in_ms)
          || (best >= 0 && in_ms >= best_ms))
        continue;
      best = (int)i;
      best_ms = in_ms;
    }
  if (best < 0)
    return -1;
  amt_add (&agents[best].held, need);
  if (best_ms > agents[best].held_in_ms)
    agents[best].held_in_ms = best_ms;
  return best;
}

static bool
is_nothing (const struct amt_amount *amount)
{
  struct amt_amount none = { 0 };

  return amt_equal (amount, &none);
}

static uint32_t
smaller (uint32_t a, uint32_t b)
{
  return a < b ? a : b;
}

struct amt_amount
lkh_room (const struct lkh_agent *agent, uint32_t run_ms)
{
  uint64_t ends_ms = (uint64_t)run_ms * MARGIN_NUMERATOR / MARGIN_DENOMINATOR;
  struct amt_amount room;

  if (is_nothing (&agent->held) || ends_ms <= agent->held_in_ms)
    return agent->free;
  room = room_in (agent, agent->held_in_ms);
  room.mcores = smaller (room.mcores, agent->free.mcores);
  room.memory_mb = smaller (room.memory_mb, agent->free.memory_mb);
  room.accelerators = smaller (room.accelerators, agent->free.accelerators);
  return room;
}
