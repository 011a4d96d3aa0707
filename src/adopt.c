#include "lagoonvale/adopt.h"

#include <string.h>

void
adp_init (struct adp_adoption *a, struct adp_agent *agents, uint32_t count,
          const struct led_holder *self)
{
  memset (a, 0, sizeof *a);
  a->agent = agents;
  a->count = count;
  a->self = *self;
}

void
adp_set_fenced (struct adp_adoption *a, uint32_t i)
{
  a->agent[i].state = ADP_FENCED;
}

void
adp_set_held (struct adp_adoption *a, uint32_t i,
              const struct led_holder *rival)
{
  a->agent[i].state = ADP_HELD;
  if (rival->ballot > a->rival.ballot)
    a->rival = *rival;
}

void
adp_set_unavailable (struct adp_adoption *a, uint32_t i)
{
  a->agent[i].state = ADP_UNAVAILABLE;
}

static uint32_t
count_state (const struct adp_adoption *a, enum adp_state state)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < a->count; i++)
    n += a->agent[i].state == state;
  return n;
}

static void
reset_held (struct adp_adoption *a)
{
  for (uint32_t i = 0; i < a->count; i++)
    if (a->agent[i].state == ADP_HELD)
      a->agent[i].state = ADP_PENDING;
}

enum adp_action
adp_next (struct adp_adoption *a)
{
  uint32_t held = count_state (a, ADP_HELD);
  /* A rival that holds every agent has completed its adoption: yield to it
     unless it is unreachable (adp_preempt).  */
  bool rival_done = held == a->count && !a->preempt;

  if (count_state (a, ADP_UNAVAILABLE) > 0)
    return ADP_UNCERTAIN;
  if (count_state (a, ADP_PENDING) > 0)
    return ADP_WAIT;
  if (held == 0)
    return ADP_PROCEED;
  if (a->rival.ballot >= a->self.ballot || rival_done)
    return ADP_YIELD;
  a->preempt = true;
  reset_held (a);
  return ADP_PREEMPT;
}

void
adp_preempt (struct adp_adoption *a, uint64_t ballot)
{
  a->self.ballot = ballot;
  a->preempt = true;
  for (uint32_t i = 0; i < a->count; i++)
    a->agent[i].state = ADP_PENDING;
}
