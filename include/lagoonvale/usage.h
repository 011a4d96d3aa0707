/**
 * DOC: usage
 *
 * How many slots a party (a team, or one kind of its work) occupies, now and
 * lately.  "Lately" is a mean that forgets at a fixed rate, so that a party
 * which uses little on the whole may run a burst, and one that floods may not.
 * Pure.
 */
#ifndef LV_USAGE_H
#define LV_USAGE_H

#include <stdint.h>

/**
 * struct usg_usage - caller-owned, zeroed at first
 * @running: slots occupied now
 * @mean: slots occupied lately, as of @at_ns
 * @at_ns: time of the last change
 */
struct usg_usage
{
  uint32_t running;
  double mean;
  uint64_t at_ns;
};

/** usg_update() - @by slots more (or fewer) are occupied from @now_ns on. */
void usg_update (struct usg_usage *u, int by, uint64_t now_ns,
                 uint64_t decay_ns);

/**
 * usg_mean() - slots occupied lately
 * @decay_ns: time in which an old use fades to 37 %; 0 for the use now
 */
double usg_mean (const struct usg_usage *u, uint64_t now_ns,
                 uint64_t decay_ns);

#endif
