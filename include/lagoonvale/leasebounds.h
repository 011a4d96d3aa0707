/**
 * DOC: leasebounds
 *
 * The chain of leases from entry to agent to minion.  A run goes on while its
 * agent keeps the minion's lease, and the agent keeps runs of an entry only
 * while that entry confirms its reports.  An entry that hears nothing of an
 * agent can so tell when its runs there have surely ended.  Pure.
 */
#ifndef LV_LEASEBOUNDS_H
#define LV_LEASEBOUNDS_H

#include <stdbool.h>
#include <stdint.h>

/** Time between two reports of an agent to one entry, ns. */
#define LBD_REPORT_INTERVAL_NS 125000000ULL
/** Age of the last confirmed report at which an agent gives an entry up, ns.
 * Four reports fit into it; with the lease it ends before a caller that lost
 * its connection sends the job again.  */
#define LBD_CONFIRM_TIMEOUT_NS 500000000ULL
/** Lease that an agent asks a minion for, ns; renewed three times in it. */
#define LBD_LEASE_NS 500000000ULL
/** Clocks may differ by one part in this many. */
#define LBD_DRIFT_PARTS 40
/** Time to act: a turn of a loop, and a stop at the minion, ns. */
#define LBD_REACTION_NS 150000000ULL

/** lbd_is_fresh() - may an order or belief confirmed at @at_ns be acted on? */
bool lbd_is_fresh (uint64_t at_ns, uint64_t now_ns);

/**
 * lbd_runs_ended_by() - when all runs of this entry at an agent have ended
 * @heard_ns: when the agent's last report arrived
 */
uint64_t lbd_runs_ended_by (uint64_t heard_ns);

/**
 * lbd_lease_expiry() - when a lease has surely lapsed at the minion
 * @sent_ns: when its last renewal was sent
 * @lease_ns: what was asked for
 */
uint64_t lbd_lease_expiry (uint64_t sent_ns, uint64_t lease_ns);

#endif
