/**
 * DOC: capacity
 *
 * The processors, memory and accelerators of a worker: what its tasks reserve
 * by their declared sizes, and what they use in excess of that.  The worker
 * reports usage with a delay, so a report is compared with the reservations at
 * the time it was measured; the excess is unavailable to new tasks until the
 * next report.  Used by the entry and its agents; the dispatcher and its
 * runners count thousandths of a core, see amount.h.  Pure: no I/O, no clock.
 */
#ifndef LV_CAPACITY_H
#define LV_CAPACITY_H

#include <stdbool.h>
#include <stdint.h>

/** Changes of the reservations kept for comparison with delayed reports. */
#define CAPA_HISTORY 512

/** struct capa_size - an amount of each resource */
struct capa_size
{
  uint32_t cores;
  uint32_t memory_mb;
  uint32_t accelerators;
};

/** struct capa_change - total reserved from @at_ns on */
struct capa_change
{
  uint64_t at_ns;
  struct capa_size reserved;
};

/**
 * struct capa_worker - capacity of one worker, caller-owned
 * @total: its total capacity
 * @reserved: sum of the declared sizes of running tasks
 * @excess: usage in excess of the reservations, by the last report
 * @history: ring buffer of changes of @reserved, the newest at @newest
 */
struct capa_worker
{
  struct capa_size total;
  struct capa_size reserved;
  struct capa_size excess;
  struct capa_change history[CAPA_HISTORY];
  unsigned newest;
};

/** capa_is_zero() - whether all amounts of @s are 0. */
bool capa_is_zero (const struct capa_size *s);

/** capa_fits() - whether @need is at most @have in every resource. */
bool capa_fits (const struct capa_size *have, const struct capa_size *need);

/** capa_subtract() - subtract @need from @have, saturating at 0. */
void capa_subtract (struct capa_size *have, const struct capa_size *need);

/** capa_init() - initialize a worker without reservations. */
void capa_init (struct capa_worker *w, const struct capa_size *total,
                uint64_t now_ns);

/** capa_available() - capacity that new tasks can reserve. */
struct capa_size capa_available (const struct capa_worker *w);

/** capa_reserve() - reserve for a task. Return: false if it does not fit. */
bool capa_reserve (struct capa_worker *w, const struct capa_size *need,
                   uint64_t now_ns);

/** capa_release() - release the reservation of a task. */
void capa_release (struct capa_worker *w, const struct capa_size *need,
                   uint64_t now_ns);

/** capa_report_usage() - update the excess: @used was in use at @as_of_ns. */
void capa_report_usage (struct capa_worker *w, const struct capa_size *used,
                        uint64_t as_of_ns);

#endif
