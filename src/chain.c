#include "lagoonvale/chain.h"

bool
chn_fresh (uint64_t at_ns, uint64_t now_ns)
{
  return now_ns < at_ns + CHN_CONFIRM_NS;
}

uint64_t
chn_lease_end (uint64_t sent_ns, uint64_t lease_ns)
{
  return sent_ns + lease_ns + lease_ns / CHN_DRIFT_PARTS;
}

uint64_t
chn_dead_by (uint64_t heard_ns)
{
  uint64_t given_up_ns = heard_ns + CHN_CONFIRM_NS + CHN_ACT_NS;

  return chn_lease_end (given_up_ns, CHN_LEASE_NS);
}
