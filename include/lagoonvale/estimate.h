/**
 * DOC: estimate
 *
 * Run times learned per kind of task: a histogram in quarter octaves whose old
 * counts decay.  Declared run times are not used.  Pure.
 */
#ifndef LV_ESTIMATE_H
#define LV_ESTIMATE_H

#include <stdint.h>

#include "lagoonvale/slice.h"

struct est_kind;

/**
 * struct est_table - caller-owned
 * @mem_ctx: talloc parent of the kinds
 * @kinds: hash by name
 * @kind_count: kinds on record
 */
struct est_table
{
  void *mem_ctx;
  struct est_kind *kinds;
  unsigned kind_count;
};

/** Kinds kept apart; further ones share one histogram. */
#define EST_KINDS_MAX 1024
/** Estimate of a kind that was never seen, ns. */
#define EST_UNSEEN_NS 300000000ULL

/** est_init() - empty table. */
void est_init (struct est_table *t, void *mem_ctx);

/** est_finish() - free all kinds. */
void est_finish (struct est_table *t);

/** est_observe() - a task of @kind ran for @run_ns and ended well or not. */
void est_observe (struct est_table *t, struct lv_slice kind, uint64_t run_ns,
                  bool succeeded);

/** est_quantile() - run time in ns that a share @q of the kind stays under. */
uint64_t est_quantile (const struct est_table *t, struct lv_slice kind,
                       double q);

/** est_mean() - mean run time of the kind, ns. */
uint64_t est_mean (const struct est_table *t, struct lv_slice kind);

/** est_failure_rate() - share of the kind's recent tasks that failed. */
double est_failure_rate (const struct est_table *t, struct lv_slice kind);

#endif
