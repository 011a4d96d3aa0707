#include "lagoonvale/leasebounds.h"

bool
lbd_fresh (uint64_t at_ns, uint64_t now_ns)
{
  return now_ns < at_ns + LBD_CONFIRM_NS;
}

uint64_t
lbd_lease_end (uint64_t sent_ns, uint64_t lease_ns)
{
  return sent_ns + lease_ns + lease_ns / LBD_DRIFT_PARTS;
}

uint64_t
lbd_dead_by (uint64_t heard_ns)
{
  uint64_t given_up_ns = heard_ns + LBD_CONFIRM_NS + LBD_ACT_NS;

  return lbd_lease_end (given_up_ns, LBD_LEASE_NS);
}
