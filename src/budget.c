#include "lagoonvale/budget.h"

void
bgt_init (struct bgt_budget *b)
{
  b->retries = BGT_RETRIES_MAX;
}

void
bgt_earn (struct bgt_budget *b)
{
  b->retries += BGT_RETRY_RATIO;
  if (b->retries > BGT_RETRIES_MAX)
    b->retries = BGT_RETRIES_MAX;
}

bool
bgt_spend (struct bgt_budget *b)
{
  if (b->retries < 1)
    return false;
  b->retries -= 1;
  return true;
}
