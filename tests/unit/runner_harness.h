/**
 * DOC: runner_harness
 *
 * A runner beside a minion that the test plays: each poll waits until the test
 * ends it.  In C, since the runner's headers are not for C++.
 */
#ifndef LV_TEST_RUNNER_HARNESS_H
#define LV_TEST_RUNNER_HARNESS_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/minion.h"

struct rnt_harness;

/** rnt_new() - start a runner whose minion grants leases of @lease_max_ms. */
struct rnt_harness *rnt_new (uint64_t lease_max_ms);

/** rnt_free() - end the runner. */
void rnt_free (struct rnt_harness *h);

/** rnt_answer() - end the poll that waits; @process and @clock_ms: of an
 * answer that is MNN_OK.  The runner polls again at once after that. */
void rnt_answer (struct rnt_harness *h, enum mnn_answer how, uint64_t process,
                 uint64_t clock_ms);

/** rnt_report() - @process reports itself; it is polled if no poll waits. */
void rnt_report (struct rnt_harness *h, uint64_t process);

/** rnt_poll_token() - fencing token of the last poll. */
uint64_t rnt_poll_token (const struct rnt_harness *h);

/** rnt_poll_expires_ms() - expiry that the last poll asked for, 0: none. */
uint64_t rnt_poll_expires_ms (const struct rnt_harness *h);

/** rnt_reckoned_ms() - time until the minion's lease has ended for certain, as
 * the runner reckons, ms. */
uint64_t rnt_reckoned_ms (const struct rnt_harness *h);

/** rnt_end_lease() - go on as if all leases had ended by now. */
void rnt_end_lease (struct rnt_harness *h);

/** rnt_able() - whether the minion can be sent starts. */
bool rnt_able (const struct rnt_harness *h);

#endif
