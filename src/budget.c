#include "lagoonvale/budget.h"

void
bgt_init (struct bgt_budget *b)
{
  b->retries = BGT_MOST;
}

void
bgt_request (struct bgt_budget *b)
{
  b->retries += BGT_RATIO;
  if (b->retries > BGT_MOST)
    b->retries = BGT_MOST;
}

bool
bgt_retry (struct bgt_budget *b)
{
  if (b->retries < 1)
    return false;
  b->retries -= 1;
  return true;
}
