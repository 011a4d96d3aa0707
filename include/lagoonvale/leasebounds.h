/**
 * DOC: leasebounds
 *
 * Upper bounds on how long a run can outlive the connections that keep it
 * going.  A run continues while its agent renews the minion's lease, and an
 * agent stops an entry's runs once that entry no longer confirms its reports;
 * if it cannot stop them in time it lets the lease expire.
 * An entry that has lost contact with an agent can therefore compute when its
 * runs there have ended.  Pure: no I/O, no clock.
 */
#ifndef LV_LEASEBOUNDS_H
#define LV_LEASEBOUNDS_H

#include <stdbool.h>
#include <stdint.h>

/** Interval of an agent's reports to an entry that has runs there, or waits
 * for capacity, ns. */
#define LBD_REPORT_INTERVAL_NS 125000000ULL
/** Interval of reports to any other entry, ns: short enough that one answer
 * may be 100 ms late before the entry must not order (LBD_LATE_MS). */
#define LBD_IDLE_INTERVAL_NS 200000000ULL
/** Age of the last confirmed report at which an agent stops an entry's runs,
 * ns: four report intervals.  This time plus the lease is shorter than the
 * time after which a caller that lost its connection resends the job.  */
#define LBD_CONFIRM_TIMEOUT_NS 500000000ULL
/** Longest lease that an agent requests of a minion, ns.  Each poll of the
 * minion, which the minion may hold for 50 ms, renews it.  */
#define LBD_LEASE_NS 500000000ULL
/** The rates of two clocks differ by at most 1/LBD_DRIFT_PARTS. */
#define LBD_DRIFT_PARTS 40
/** Time for which an agent goes on renewing the minion's lease while runs that
 * were given up are still there, ns.  From then on these end by their stops
 * or, with all others there, by the lease.  */
#define LBD_STOP_GRACE_NS 100000000ULL
/** Allowance for LBD_STOP_GRACE_NS, one event loop iteration of the agent and
 * the time in which the minion ends a run, ns.  */
#define LBD_REACTION_NS (LBD_STOP_GRACE_NS + 50000000ULL)

/** Age of an agent's newest answered report from which on it gets no orders,
 * ms: it would refuse them as stale, or soon stop their runs. */
#define LBD_LATE_MS 350

/** lbd_may_order() - whether an agent whose newest answered report was
 * @confirmed_ms old gets orders.  More means that messages are delayed, by a
 * full link or a slow instance, and that orders would only be repeated (retry
 * storm). */
bool lbd_may_order (uint32_t confirmed_ms);

/** lbd_report_due() - whether an agent that last reported at @reported_ns
 * reports again; @busy if the entry has runs there or waits for capacity. */
bool lbd_report_due (uint64_t reported_ns, bool busy, uint64_t now_ns);

/** lbd_is_fresh() - whether @at_ns is less than LBD_CONFIRM_TIMEOUT_NS ago. */
bool lbd_is_fresh (uint64_t at_ns, uint64_t now_ns);

/**
 * lbd_order_is_fresh() - whether an order may be carried out
 * @stamp_ns: when the report was sent by which it was decided
 * @process_ns: since when the minion's process takes starts: an entry that had
 * no report since then does not wait for the lease which that one may hold
 */
bool lbd_order_is_fresh (uint64_t stamp_ns, uint64_t process_ns,
                         uint64_t now_ns);

/**
 * lbd_runs_ended_by() - time by which an entry's runs at a lost agent have
 * ended
 * @heard_ns: arrival of the last report from the agent
 */
uint64_t lbd_runs_ended_by (uint64_t heard_ns);

/**
 * lbd_covers_lease() - whether entries that lose contact with an agent now
 * wait for the end of a lease there that lasts until @expires_ns, at most
 */
bool lbd_covers_lease (uint64_t expires_ns, uint64_t now_ns);

/**
 * lbd_lease_expiry() - time by which a lease has expired at the minion
 * @sent_ns: when the last renewal was sent
 * @lease_ns: requested lease time
 */
uint64_t lbd_lease_expiry (uint64_t sent_ns, uint64_t lease_ns);

#endif
