#include "lagoonvale/drain.h"

#define WINDOW_NS (DRN_PARTS * DRN_PART_NS)

/* Forget the parts that are out of the window at NOW_NS.  */
static void
advance (struct drn_drain *d, uint64_t now_ns)
{
  uint64_t part = now_ns / DRN_PART_NS;

  if (part > d->part + DRN_PARTS)
    d->part = part - DRN_PARTS;
  while (d->part < part)
    d->served[++d->part % DRN_PARTS] = 0;
}

void
drn_waiting (struct drn_drain *d, bool any, uint64_t now_ns)
{
  if (!any)
    d->since_ns = 0;
  else if (d->since_ns == 0)
    d->since_ns = now_ns;
}

void
drn_served (struct drn_drain *d, uint64_t now_ns)
{
  advance (d, now_ns);
  d->served[d->part % DRN_PARTS]++;
}

uint64_t
drn_wait_ns (struct drn_drain *d, unsigned ahead, uint64_t now_ns)
{
  uint64_t served = 0;
  unsigned i;

  if (d->since_ns == 0 || now_ns - d->since_ns < WINDOW_NS)
    return 0;
  advance (d, now_ns);
  for (i = 0; i < DRN_PARTS; i++)
    served += d->served[i];
  return served > 0 ? ahead * WINDOW_NS / served : UINT64_MAX;
}
