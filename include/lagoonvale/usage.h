/**
 * DOC: usage
 *
 * Slots that a team, or one flow of it, occupies now and on average.  The
 * average is an exponentially weighted moving average, so that a team which
 * usually occupies few slots may exceed its share for a burst, and one that
 * always occupies many may not.  Pure: no I/O, no clock.
 */
#ifndef LV_USAGE_H
#define LV_USAGE_H

#include <stdint.h>

/**
 * struct usg_usage - caller-owned, zeroed at first
 * @running: slots occupied now
 * @mean: moving average of the slots occupied, as of @at_ns
 * @at_ns: time of the last change
 */
struct usg_usage
{
  uint32_t running;
  double mean;
  uint64_t at_ns;
};

/** usg_update() - add @delta to the slots occupied, clamped at 0. */
void usg_update (struct usg_usage *u, int delta, uint64_t now_ns,
                 uint64_t decay_ns);

/**
 * usg_mean() - moving average of the slots occupied
 * @decay_ns: time constant, in which an old value decays to 1/e (37 %); 0 for
 * the slots occupied now
 */
double usg_mean (const struct usg_usage *u, uint64_t now_ns,
                 uint64_t decay_ns);

#endif
