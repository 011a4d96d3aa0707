#include "lagoonvale/lease.h"

void
lse_granted (struct lse_lease *l, uint64_t epoch, uint64_t asked_ns,
             uint64_t ttl_ns)
{
  l->epoch = epoch;
  l->ttl_ns = ttl_ns;
  l->until_ns = asked_ns + ttl_ns;
  l->next_ns = asked_ns + ttl_ns / LSE_RENEWALS;
}

void
lse_refused (struct lse_lease *l, uint64_t now_ns, uint64_t wait_ns)
{
  l->epoch = 0;
  l->until_ns = 0;
  l->next_ns = now_ns + wait_ns;
}

bool
lse_usable (const struct lse_lease *l, uint64_t now_ns)
{
  return l->epoch != 0 && now_ns + l->ttl_ns / LSE_MARGIN < l->until_ns;
}

bool
lse_due (const struct lse_lease *l, uint64_t now_ns)
{
  return now_ns >= l->next_ns;
}

void
lse_asking (struct lse_lease *l, uint64_t now_ns, uint64_t wait_ns)
{
  l->next_ns = now_ns + wait_ns;
}
