/**
 * DOC: lease
 *
 * A holder's view of a lease that another party grants and that lapses unless
 * it is renewed.  The holder counts from when it asked, not from when the
 * answer came, and stops using the lease a margin before its end, so that it
 * never believes in a lease that the grantor has ended.  Pure.
 */
#ifndef LV_LEASE_H
#define LV_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/** Part of its time for which a lease is not used any more. */
#define LSE_MARGIN 4
/** Renewals asked for within the time of one lease. */
#define LSE_RENEWALS 3

/**
 * struct lse_lease - caller-owned, zeroed at first
 * @epoch: names this grant, rising with each new one; 0 for none
 * @ttl_ns: time of the lease
 * @until_ns: when it lapses unless it is renewed
 * @next_ns: when to ask for a grant or a renewal
 */
struct lse_lease
{
  uint64_t epoch;
  uint64_t ttl_ns;
  uint64_t until_ns;
  uint64_t next_ns;
};

/** lse_granted() - granted or renewed, as asked for at @asked_ns. */
void lse_granted (struct lse_lease *l, uint64_t epoch, uint64_t asked_ns,
                  uint64_t ttl_ns);

/** lse_refused() - the grantor says no; ask again after @wait_ns. */
void lse_refused (struct lse_lease *l, uint64_t now_ns, uint64_t wait_ns);

/** lse_usable() - may work be started under it now? */
bool lse_usable (const struct lse_lease *l, uint64_t now_ns);

/** lse_due() - is it time to ask for a grant or a renewal? */
bool lse_due (const struct lse_lease *l, uint64_t now_ns);

/** lse_asking() - asked at @now_ns; ask again after @wait_ns unless answered.
 */
void lse_asking (struct lse_lease *l, uint64_t now_ns, uint64_t wait_ns);

#endif
