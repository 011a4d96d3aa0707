#include "lagoonvale/backlog.h"

#define WINDOW_NS (BKL_BUCKETS * BKL_BUCKET_NS)

/* Forget the parts that are out of the window at NOW_NS.  */
static void
advance (struct bkl_backlog *d, uint64_t now_ns)
{
  uint64_t bucket = now_ns / BKL_BUCKET_NS;

  if (bucket > d->bucket + BKL_BUCKETS)
    d->bucket = bucket - BKL_BUCKETS;
  while (d->bucket < bucket)
    d->served[++d->bucket % BKL_BUCKETS] = 0;
}

void
bkl_set_waiting (struct bkl_backlog *d, bool any, uint64_t now_ns)
{
  if (!any)
    d->waiting_since_ns = 0;
  else if (d->waiting_since_ns == 0)
    d->waiting_since_ns = now_ns;
}

void
bkl_record_served (struct bkl_backlog *d, uint64_t now_ns)
{
  advance (d, now_ns);
  d->served[d->bucket % BKL_BUCKETS]++;
}

uint64_t
bkl_expected_wait_ns (struct bkl_backlog *d, unsigned ahead, uint64_t now_ns)
{
  uint64_t served = 0;
  unsigned i;

  if (d->waiting_since_ns == 0 || now_ns - d->waiting_since_ns < WINDOW_NS)
    return 0;
  advance (d, now_ns);
  for (i = 0; i < BKL_BUCKETS; i++)
    served += d->served[i];
  return served > 0 ? ahead * WINDOW_NS / served : UINT64_MAX;
}
