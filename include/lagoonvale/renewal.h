/**
 * DOC: renewal
 *
 * Whether an agent asks its minion for a longer lease, and when the last lease
 * that it asked for has expired.  A request without an answer may have been
 * executed, so each one moves the expiry on: an agent that keeps asking a
 * minion that is gone never finds out that its runs have ended.  After
 * RNW_UNANSWERED_MAX unanswered polls in a row, polls ask for no lease until
 * one is answered.  Pure: times are passed in, by clk_now(); like the minion's
 * clock, that one stands still while their instance is suspended.
 */
#ifndef LV_RENEWAL_H
#define LV_RENEWAL_H

#include <stdbool.h>
#include <stdint.h>

/** Unanswered polls in a row that renew the lease; one may be lost. */
#define RNW_UNANSWERED_MAX 2

/**
 * struct rnw_renewal - caller-owned
 * @expires_ns: when every requested lease has expired
 * @unanswered: polls without an answer since the last answered one
 */
struct rnw_renewal
{
  uint64_t expires_ns;
  unsigned unanswered;
};

/**
 * rnw_init() - initialize at the start of an agent
 * @lease_ns: longest lease that a former process may just have requested
 */
void rnw_init (struct rnw_renewal *r, uint64_t now_ns, uint64_t lease_ns);

/** rnw_may_request() - whether the next poll may ask for a lease. */
bool rnw_may_request (const struct rnw_renewal *r);

/** rnw_requested() - record a request that asks for a lease of @lease_ns. */
void rnw_requested (struct rnw_renewal *r, uint64_t now_ns, uint64_t lease_ns);

/** rnw_polled() - record the end of a poll, @answered or not. */
void rnw_polled (struct rnw_renewal *r, bool answered);

/** rnw_expired() - whether the minion is silent and its lease has expired, so
 * that it runs nothing that was ordered. */
bool rnw_expired (const struct rnw_renewal *r, uint64_t now_ns);

#endif
