/**
 * DOC: estimate
 *
 * Estimates run time and failure rate per kind of task from observed tasks:
 * a histogram with four buckets an octave whose old counts decay.  Declared
 * run times are not used.  Pure: no I/O, no clock.
 */
#ifndef LV_ESTIMATE_H
#define LV_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/slice.h"

struct est_kind;

/**
 * struct est_table - estimates of all kinds, caller-owned
 * @mem_ctx: talloc parent of the kinds
 * @kinds: hash table by name
 * @kind_count: number of kinds in @kinds
 * @shared: the kind "*" is in use
 */
struct est_table
{
  void *mem_ctx;
  struct est_kind *kinds;
  unsigned kind_count;
  bool shared;
};

/**
 * Kinds with a histogram of their own.  All further kinds, and those with
 * names of 64 bytes or more, share the kind "*".
 */
#define EST_KINDS_MAX 1024
/** Estimate for a kind without observations, ns. */
#define EST_DEFAULT_NS 300000000ULL

/** est_init() - initialize an empty table. */
void est_init (struct est_table *t, void *mem_ctx);

/** est_finish() - free all kinds. */
void est_finish (struct est_table *t);

/**
 * est_observe() - record the result of a task of @kind
 *
 * The run time of a failed task is ignored.
 *
 * Return: true if this is the first kind that shares "*".
 */
bool est_observe (struct est_table *t, struct lv_slice kind, uint64_t run_ns,
                  bool succeeded);

/** est_quantile() - quantile @q (0 to 1) of the kind's run time, ns. */
uint64_t est_quantile (const struct est_table *t, struct lv_slice kind,
                       double q);

/** est_mean() - decayed mean of the kind's run time, ns. */
uint64_t est_mean (const struct est_table *t, struct lv_slice kind);

/** est_failure_rate() - moving average of the kind's failures, 0 to 1. */
double est_failure_rate (const struct est_table *t, struct lv_slice kind);

#endif
