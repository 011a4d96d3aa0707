/**
 * DOC: budget
 *
 * Retry budget of a client: each request adds a fraction of a retry and each
 * retry takes one, so that retries stay a small share of the load even when
 * every request is refused.  Pure: no I/O, no clock.
 */
#ifndef LV_BUDGET_H
#define LV_BUDGET_H

#include <stdbool.h>

/** Retries added to the budget for each request. */
#define BGT_RETRY_RATIO 0.1
/** Most retries that the budget holds. */
#define BGT_RETRIES_MAX 10.0

/** struct bgt_budget - caller-owned; @retries: available. */
struct bgt_budget
{
  double retries;
};

/** bgt_init() - start with a full budget. */
void bgt_init (struct bgt_budget *b);

/** bgt_earn() - add to the budget for a request sent for the first time. */
void bgt_earn (struct bgt_budget *b);

/** bgt_spend() - take one retry; false if less than one is available. */
bool bgt_spend (struct bgt_budget *b);

#endif
