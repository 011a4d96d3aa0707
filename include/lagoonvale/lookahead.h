/**
 * DOC: lookahead
 *
 * Placement that looks at what will end soon.  Small tasks leave gaps that the
 * first waiting job cannot use; without lookahead everything behind that job
 * waits, so that small tasks do not take whatever becomes free.  With it, room
 * is held for that job where it will fit first, by the expected ends of the
 * runs there, and later jobs may use all other room (backfill behind a
 * reservation).  On a held agent they may use what is left beside the job, or
 * what they give back before its time.  What is held is worked out anew at
 * each placement and nowhere else: it does not outlive its dispatcher, and
 * binds no other one.  Pure.
 */
#ifndef LV_LOOKAHEAD_H
#define LV_LOOKAHEAD_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/amount.h"

/** Expected ends that an agent reports. */
#define LKH_ENDS_MAX 8

/** struct lkh_end - a run that will end; @in_ms from now */
struct lkh_end
{
  uint32_t in_ms;
  struct amt_amount frees;
};

/**
 * struct lkh_agent - an agent as seen by one placement
 * @usable: it takes orders
 * @free: now
 * @ends: the next ends there, soonest first
 * @held: for tasks of the first waiting job
 * @held_in_ms: when these are expected to fit
 */
struct lkh_agent
{
  bool usable;
  struct amt_amount free;
  struct lkh_end ends[LKH_ENDS_MAX];
  unsigned end_count;
  struct amt_amount held;
  uint32_t held_in_ms;
};

/** lkh_remaining_ms() - expected time until the end of a run that has run for
 * @elapsed_ms, is at @percent, and was declared to take @estimate_ms. */
uint32_t lkh_remaining_ms (uint64_t elapsed_ms, uint32_t percent,
                           uint64_t estimate_ms);

/** lkh_add_end() - add an end to the list @ends of @count, which keeps the
 * LKH_ENDS_MAX soonest. */
void lkh_add_end (struct lkh_end ends[LKH_ENDS_MAX], unsigned *count,
                  const struct lkh_end *end);

/**
 * lkh_hold() - hold room for a task of @need at the agent where it fits first
 * @agents: @count of them; those held already count with what is left
 * @horizon_ms: longest time ahead
 *
 * Return: index of the agent, whose @held now has it, or -1 if it fits nowhere
 * within @horizon_ms.
 */
int lkh_hold (struct lkh_agent *agents, unsigned count,
              const struct amt_amount *need, uint32_t horizon_ms);

/** lkh_room() - room at @agent for a task that is expected to run for @run_ms
 * and must not delay what is held there. */
struct amt_amount lkh_room (const struct lkh_agent *agent, uint32_t run_ms);

#endif
