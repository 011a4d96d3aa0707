#include "lagoonvale/lease.h"

void
lse_granted (struct lse_lease *l, uint64_t epoch, uint64_t requested_ns,
             uint64_t ttl_ns)
{
  l->epoch = epoch;
  l->ttl_ns = ttl_ns;
  l->expires_ns = requested_ns + ttl_ns;
  l->renew_ns = requested_ns + ttl_ns / LSE_RENEWALS;
}

void
lse_refused (struct lse_lease *l, uint64_t now_ns, uint64_t wait_ns)
{
  l->epoch = 0;
  l->expires_ns = 0;
  l->renew_ns = now_ns + wait_ns;
}

bool
lse_usable (const struct lse_lease *l, uint64_t now_ns)
{
  return l->epoch != 0 && now_ns + l->ttl_ns / LSE_MARGIN < l->expires_ns;
}

bool
lse_due (const struct lse_lease *l, uint64_t now_ns)
{
  return now_ns >= l->renew_ns;
}

void
lse_requested (struct lse_lease *l, uint64_t now_ns, uint64_t wait_ns)
{
  l->renew_ns = now_ns + wait_ns;
}
