#include "lagoonvale/retryafter.h"

#define NS_PER_MS 1000000

unsigned
rta_overload_ms (uint64_t wait_ns, double uniform)
{
  uint64_t wait_ms = wait_ns / NS_PER_MS;

  if (wait_ms < RTA_OVERLOAD_MIN_MS)
    wait_ms = RTA_OVERLOAD_MIN_MS;
  if (wait_ms > RTA_OVERLOAD_MAX_MS)
    wait_ms = RTA_OVERLOAD_MAX_MS;
  return (unsigned)((double)wait_ms * (1 + uniform));
}
