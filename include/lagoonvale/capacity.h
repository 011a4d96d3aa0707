/**
 * DOC: room
 *
 * The processors, memory and accelerators of a worker: what is reserved for
 * tasks by their declared sizes, and what they use beyond that.  The worker
 * reports use with a lag; a report is compared with what was reserved at the
 * time it speaks of, and what was used beyond is kept free of new tasks until
 * a later report says otherwise.  Pure.
 */
#ifndef LV_CAPACITY_H
#define LV_CAPACITY_H

#include <stdbool.h>
#include <stdint.h>

/** Changes of reservation that are remembered for late reports. */
#define CAPA_HISTORY 512

/** struct capa_size - an amount of each resource */
struct capa_size
{
  uint32_t cores;
  uint32_t memory_mb;
  uint32_t accelerators;
};

/** struct capa_change - what was reserved from @at_ns on */
struct capa_change
{
  uint64_t at_ns;
  struct capa_size reserved;
};

/**
 * struct capa_worker - caller-owned
 * @total: what the worker has
 * @reserved: declared by tasks that run
 * @excess: used beyond what was reserved, by the last report
 * @history: ring of changes, the newest at @newest
 */
struct capa_worker
{
  struct capa_size total;
  struct capa_size reserved;
  struct capa_size excess;
  struct capa_change history[CAPA_HISTORY];
  unsigned newest;
};

/** capa_is_zero() - whether @s asks for nothing. */
bool capa_is_zero (const struct capa_size *s);

/** capa_fits() - whether @need fits into @have. */
bool capa_fits (const struct capa_size *have, const struct capa_size *need);

/** capa_subtract() - subtract @need from @have, down to nothing. */
void capa_subtract (struct capa_size *have, const struct capa_size *need);

/** capa_init() - a worker of this size, empty at @now_ns. */
void capa_init (struct capa_worker *r, const struct capa_size *total,
                uint64_t now_ns);

/** capa_available() - what new tasks may declare. */
struct capa_size capa_available (const struct capa_worker *r);

/** capa_reserve() - a task started. Return: false if it does not fit. */
bool capa_reserve (struct capa_worker *r, const struct capa_size *need,
                   uint64_t now_ns);

/** capa_release() - a task of this declared size ended. */
void capa_release (struct capa_worker *r, const struct capa_size *need,
                   uint64_t now_ns);

/** capa_report_usage() - the worker says that @used was in use at @as_of_ns.
 */
void capa_report_usage (struct capa_worker *r, const struct capa_size *used,
                        uint64_t as_of_ns);

#endif
