/**
 * DOC: budget
 *
 * How often a client may try again: each request earns a part of a retry, and
 * a retry spends a whole one, so that retries stay a small share of the load
 * also when everything is refused.  Pure.
 */
#ifndef LV_BUDGET_H
#define LV_BUDGET_H

#include <stdbool.h>

/** Part of a retry that each request earns. */
#define BGT_RETRY_RATIO 0.1
/** Retries that can be saved up. */
#define BGT_RETRIES_MAX 10.0

/** struct bgt_budget - caller-owned; @retries: saved up. */
struct bgt_budget
{
  double retries;
};

/** bgt_init() - a budget with all that can be saved up. */
void bgt_init (struct bgt_budget *b);

/** bgt_earn() - a request was sent for the first time. */
void bgt_earn (struct bgt_budget *b);

/** bgt_spend() - may a request be sent again? It is spent if so. */
bool bgt_spend (struct bgt_budget *b);

#endif
