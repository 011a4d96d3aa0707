#include "lagoonvale/backlog.h"

#define WINDOW_NS (BKL_BUCKETS * BKL_BUCKET_NS)

/* Clear the buckets that the window has reached since the last call.  */
static void
advance (struct bkl_backlog *b, uint64_t now_ns)
{
  uint64_t bucket = now_ns / BKL_BUCKET_NS;

  if (bucket > b->bucket + BKL_BUCKETS)
    b->bucket = bucket - BKL_BUCKETS;
  while (b->bucket < bucket)
    b->served[++b->bucket % BKL_BUCKETS] = 0;
}

void
bkl_set_waiting (struct bkl_backlog *b, bool any, uint64_t now_ns)
{
  if (!any)
    b->waiting_since_ns = 0;
  else if (b->waiting_since_ns == 0)
    b->waiting_since_ns = now_ns;
}

void
bkl_record_served (struct bkl_backlog *b, uint64_t now_ns)
{
  advance (b, now_ns);
  b->served[b->bucket % BKL_BUCKETS]++;
}

uint64_t
bkl_expected_wait_ns (struct bkl_backlog *b, unsigned ahead, uint64_t now_ns)
{
  uint64_t served = 0;
  unsigned i;

  if (b->waiting_since_ns == 0 || now_ns - b->waiting_since_ns < WINDOW_NS)
    return 0;
  advance (b, now_ns);
  for (i = 0; i < BKL_BUCKETS; i++)
    served += b->served[i];
  return served > 0 ? ahead * WINDOW_NS / served : UINT64_MAX;
}
