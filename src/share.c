#include "lagoonvale/share.h"

#include <math.h>

double
shr_lately (const struct shr_use *u, uint64_t now_ns, uint64_t memory_ns)
{
  double elapsed;

  if (memory_ns == 0)
    return u->running;
  elapsed = now_ns > u->at_ns ? (double)(now_ns - u->at_ns) : 0;
  return u->running
         + (u->mean - u->running) * exp (-elapsed / (double)memory_ns);
}

void
shr_change (struct shr_use *u, int by, uint64_t now_ns, uint64_t memory_ns)
{
  u->mean = shr_lately (u, now_ns, memory_ns);
  if (now_ns > u->at_ns)
    u->at_ns = now_ns;
  u->running
      = by < 0 && u->running < (uint32_t)-by ? 0 : u->running + (uint32_t)by;
}
