#include "lagoonvale/usage.h"

#include <math.h>

double
usg_lately (const struct usg_use *u, uint64_t now_ns, uint64_t memory_ns)
{
  double elapsed;

  if (memory_ns == 0)
    return u->running;
  elapsed = now_ns > u->at_ns ? (double)(now_ns - u->at_ns) : 0;
  return u->running
         + (u->mean - u->running) * exp (-elapsed / (double)memory_ns);
}

void
usg_change (struct usg_use *u, int by, uint64_t now_ns, uint64_t memory_ns)
{
  u->mean = usg_lately (u, now_ns, memory_ns);
  if (now_ns > u->at_ns)
    u->at_ns = now_ns;
  u->running
      = by < 0 && u->running < (uint32_t)-by ? 0 : u->running + (uint32_t)by;
}
