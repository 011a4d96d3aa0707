#include "lagoonvale/renewal.h"

#include "lagoonvale/leasebounds.h"

void
rnw_init (struct rnw_renewal *r, uint64_t now_ns, uint64_t lease_ns)
{
  r->expires_ns = 0;
  r->unanswered = 0;
  rnw_requested (r, now_ns, lease_ns);
}

bool
rnw_may_request (const struct rnw_renewal *r)
{
  return r->unanswered < RNW_UNANSWERED_MAX;
}

void
rnw_requested (struct rnw_renewal *r, uint64_t now_ns, uint64_t lease_ns)
{
  uint64_t expires_ns = lbd_lease_expiry (now_ns, lease_ns);

  if (expires_ns > r->expires_ns)
    r->expires_ns = expires_ns;
}

void
rnw_polled (struct rnw_renewal *r, bool answered)
{
  r->unanswered = answered ? 0 : r->unanswered + 1;
}

bool
rnw_expired (const struct rnw_renewal *r, uint64_t now_ns)
{
  return !rnw_may_request (r) && now_ns >= r->expires_ns;
}
