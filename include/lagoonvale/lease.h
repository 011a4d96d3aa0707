/**
 * DOC: lease
 *
 * The holder's side of a lease that expires unless it is renewed.  The holder
 * counts the lease time from when it sent the request, not from when the
 * answer arrived, and stops using the lease a safety margin before it expires,
 * so that it never uses a lease that has expired at the grantor.  Pure: no
 * I/O, no clock.
 */
#ifndef LV_LEASE_H
#define LV_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/** The safety margin is 1/LSE_MARGIN of the lease time. */
#define LSE_MARGIN 4
/** Renewals are requested every 1/LSE_RENEWALS of the lease time. */
#define LSE_RENEWALS 3

/**
 * struct lse_lease - caller-owned, zeroed at first
 * @epoch: identifies the grant, increases with each new one; 0 without a lease
 * @ttl_ns: lease time
 * @expires_ns: expiry unless it is renewed
 * @renew_ns: when to request a grant or a renewal
 */
struct lse_lease
{
  uint64_t epoch;
  uint64_t ttl_ns;
  uint64_t expires_ns;
  uint64_t renew_ns;
};

/** lse_granted() - granted or renewed on a request sent at @requested_ns. */
void lse_granted (struct lse_lease *l, uint64_t epoch, uint64_t requested_ns,
                  uint64_t ttl_ns);

/** lse_refused() - no lease is held; request again after @wait_ns. */
void lse_refused (struct lse_lease *l, uint64_t now_ns, uint64_t wait_ns);

/** lse_usable() - whether tasks may be started under the lease now. */
bool lse_usable (const struct lse_lease *l, uint64_t now_ns);

/** lse_due() - whether a grant or a renewal should be requested now. */
bool lse_due (const struct lse_lease *l, uint64_t now_ns);

/**
 * lse_requested() - a request was sent at @now_ns
 *
 * Without an answer, the next one is due after @wait_ns.
 */
void lse_requested (struct lse_lease *l, uint64_t now_ns, uint64_t wait_ns);

#endif
