#include "lagoonvale/usage.h"

#include <math.h>

double
usg_mean (const struct usg_usage *u, uint64_t now_ns, uint64_t decay_ns)
{
  double elapsed;

  if (decay_ns == 0)
    return u->running;
  elapsed = now_ns > u->at_ns ? (double)(now_ns - u->at_ns) : 0;
  return u->running
         + (u->mean - u->running) * exp (-elapsed / (double)decay_ns);
}

void
usg_update (struct usg_usage *u, int delta, uint64_t now_ns, uint64_t decay_ns)
{
  u->mean = usg_mean (u, now_ns, decay_ns);
  if (now_ns > u->at_ns)
    u->at_ns = now_ns;
  u->running = delta < 0 && u->running < (uint32_t)-delta
                   ? 0
                   : u->running + (uint32_t)delta;
}
