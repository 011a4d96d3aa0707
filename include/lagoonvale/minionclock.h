/**
 * DOC: minionclock
 *
 * What an agent knows of its minion's clock, which starts with the process of
 * the minion.  Leases are asked for in that clock, and a status report says
 * when it was written by it: a report that waited in the socket of a paused or
 * suspended agent is not taken for a new one.  A clock is that of one process:
 * a lease asked for by the clock of a former one would be far too long.  Pure.
 */
#ifndef LV_MINIONCLOCK_H
#define LV_MINIONCLOCK_H

#include <stdint.h>

/**
 * struct mck_clock - caller-owned, zeroed: not known
 * @process: incarnation of the process that it belongs to, 0: none
 * @value_ms: value in the last answer, 0: none yet
 * @asked_ns: clk_boot() when the call was sent that it answered
 * @answered_ns: clk_now() when the answer arrived
 */
struct mck_clock
{
  uint64_t process;
  uint64_t value_ms;
  uint64_t asked_ns;
  uint64_t answered_ns;
};

/**
 * struct mck_stamp - when a message of the minion was written
 * @written_ms: by the minion's clock, 0: unknown
 * @received_ns: clk_boot() when it was read
 */
struct mck_stamp
{
  uint64_t written_ms;
  uint64_t received_ns;
};

/**
 * mck_observe() - take over the clock in an answer of @process
 * @value_ms: 0: the answer does not hold it
 *
 * What was known of the clock of another process is dropped.
 */
void mck_observe (struct mck_clock *c, uint64_t process, uint64_t value_ms,
                  uint64_t asked_ns, uint64_t answered_ns);

/** mck_now_ms() - the clock of @process at @now_ns, a time by clk_now(), or
 * less; 0 if it is not known.  Never more, however slow that clock is within
 * LBD_DRIFT_PARTS: a lease asked for by it would outlive its expected end. */
uint64_t mck_now_ms (const struct mck_clock *c, uint64_t process,
                     uint64_t now_ns);

/**
 * mck_age_ms() - longest time that may have passed since @stamp was written
 * @process: that wrote it
 * @now_ns: time by clk_boot()
 *
 * By the clock of @process or since the message was read, whichever is longer;
 * the latter if that clock is not known.
 */
uint64_t mck_age_ms (const struct mck_clock *c, uint64_t process,
                     const struct mck_stamp *stamp, uint64_t now_ns);

#endif
