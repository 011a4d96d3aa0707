/**
 * DOC: amount
 *
 * Amounts of CPU, memory and accelerators: what a task needs, what a backend
 * server has.  Used by the dispatcher and its runners; the entry and its
 * agents count whole cores, see capacity.h.  Pure.
 */
#ifndef LV_AMOUNT_H
#define LV_AMOUNT_H

#include <stdbool.h>
#include <stdint.h>

/** struct amt_amount - an amount of each kind of resource */
struct amt_amount
{
  uint32_t mcores; /* thousandths of a core */
  uint32_t memory_mb;
  uint32_t accelerators;
};

/** amt_fits() - whether @have covers @need in every resource. */
static inline bool
amt_fits (const struct amt_amount *have, const struct amt_amount *need)
{
  return need->mcores <= have->mcores && need->memory_mb <= have->memory_mb
         && need->accelerators <= have->accelerators;
}

/** amt_equal() - whether @a and @b are equal in every resource. */
static inline bool
amt_equal (const struct amt_amount *a, const struct amt_amount *b)
{
  return a->mcores == b->mcores && a->memory_mb == b->memory_mb
         && a->accelerators == b->accelerators;
}

/** amt_raise() - raise each resource of @peak to that of @a at least. */
static inline void
amt_raise (struct amt_amount *peak, const struct amt_amount *a)
{
  if (a->mcores > peak->mcores)
    peak->mcores = a->mcores;
  if (a->memory_mb > peak->memory_mb)
    peak->memory_mb = a->memory_mb;
  if (a->accelerators > peak->accelerators)
    peak->accelerators = a->accelerators;
}

/** amt_saturating_sub() - @a - @b, clamped to 0. */
static inline uint32_t
amt_saturating_sub (uint32_t a, uint32_t b)
{
  return a > b ? a - b : 0;
}

/** amt_subtract() - subtract @need from @have, each resource clamped to 0. */
static inline void
amt_subtract (struct amt_amount *have, const struct amt_amount *need)
{
  have->mcores = amt_saturating_sub (have->mcores, need->mcores);
  have->memory_mb = amt_saturating_sub (have->memory_mb, need->memory_mb);
  have->accelerators
      = amt_saturating_sub (have->accelerators, need->accelerators);
}

/** amt_add() - add @more to @have. */
static inline void
amt_add (struct amt_amount *have, const struct amt_amount *more)
{
  have->mcores += more->mcores;
  have->memory_mb += more->memory_mb;
  have->accelerators += more->accelerators;
}

#endif
