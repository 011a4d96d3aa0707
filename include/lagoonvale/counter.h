/**
 * DOC: counter
 *
 * Metric counters and gauges.  Each thread adds with relaxed atomics to a row
 * of its own, aligned to a cache line (see CTR_THREADS); a reader sums over
 * the rows.  The output is the plain text exposition format of Prometheus.
 */
#ifndef LV_COUNTER_H
#define LV_COUNTER_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/** Threads with a row of their own; further ones share the last row. */
#define CTR_THREADS 16
/** Counters that one set can hold. */
#define CTR_MAX 64

/**
 * struct ctr_desc - description of a counter or gauge
 * @name: full metric name, with its unit as suffix
 * @help: text of the HELP line
 * @gauge: true if the value can fall
 */
struct ctr_desc
{
  const char *name;
  const char *help;
  bool gauge;
};

struct ctr_row
{
  _Alignas(64) _Atomic uint64_t value[CTR_MAX];
};

/**
 * struct ctr_set - counters of one daemon
 * @descs: descriptions, borrowed
 * @count: number of @descs
 * @rows: values, one row for each thread
 */
struct ctr_set
{
  const struct ctr_desc *descs;
  unsigned count;
  struct ctr_row rows[CTR_THREADS];
};

/** ctr_init() - set all values to 0 and use @descs. */
void ctr_init (struct ctr_set *set, const struct ctr_desc *descs,
               unsigned count);

/** ctr_add() - add @n to counter @id, from any thread. */
void ctr_add (struct ctr_set *set, unsigned id, uint64_t n);

/** ctr_set_gauge() - store the value of gauge @id. */
void ctr_set_gauge (struct ctr_set *set, unsigned id, uint64_t value);

/** ctr_read() - sum of counter @id over all threads. */
uint64_t ctr_read (const struct ctr_set *set, unsigned id);

/**
 * ctr_format() - format the whole set as exposition text
 * @mem_ctx: talloc parent of the result
 * @set: counters
 *
 * Return: a talloc string, or NULL if out of memory.
 */
char *ctr_format (void *mem_ctx, const struct ctr_set *set);

#endif
