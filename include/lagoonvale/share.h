/**
 * DOC: share
 *
 * How many slots a party (a team, or one kind of its work) occupies, now and
 * lately.  "Lately" is a mean that forgets at a fixed rate, so that a party
 * which uses little on the whole may run a burst, and one that floods may not.
 * Pure.
 */
#ifndef LV_SHARE_H
#define LV_SHARE_H

#include <stdint.h>

/**
 * struct shr_use - caller-owned, zeroed at first
 * @running: slots occupied now
 * @mean: slots occupied lately, as of @at_ns
 * @at_ns: time of the last change
 */
struct shr_use
{
  uint32_t running;
  double mean;
  uint64_t at_ns;
};

/** shr_change() - @by slots more (or fewer) are occupied from @now_ns on. */
void shr_change (struct shr_use *u, int by, uint64_t now_ns,
                 uint64_t memory_ns);

/**
 * shr_lately() - slots occupied lately
 * @memory_ns: time in which an old use fades to 37 %; 0 for the use now
 */
double shr_lately (const struct shr_use *u, uint64_t now_ns,
                   uint64_t memory_ns);

#endif
