#include "lagoonvale/minionclock.h"

#include <stdbool.h>

#include "clock.h"
#include "lagoonvale/leasebounds.h"

void
mck_observe (struct mck_clock *c, uint64_t process, uint64_t value_ms,
             uint64_t asked_ns, uint64_t answered_ns)
{
  if (process == c->process && value_ms == 0)
    return;
  c->process = process;
  c->value_ms = value_ms;
  c->asked_ns = asked_ns;
  c->answered_ns = answered_ns;
}

/* Whether the clock of PROCESS is known.  */
static bool
is_known (const struct mck_clock *c, uint64_t process)
{
  return c->value_ms != 0 && c->process == process;
}

uint64_t
mck_now_ms (const struct mck_clock *c, uint64_t process, uint64_t now_ns)
{
  uint64_t age_ns = clk_since (now_ns, c->answered_ns);

  if (!is_known (c, process))
    return 0;
  return c->value_ms + (age_ns - age_ns / LBD_DRIFT_PARTS) / CLK_MS;
}

uint64_t
mck_age_ms (const struct mck_clock *c, uint64_t process,
            const struct mck_stamp *stamp, uint64_t now_ns)
{
  uint64_t read_ms = clk_since (now_ns, stamp->received_ns) / CLK_MS;
  uint64_t latest_ms;
  uint64_t written_ms;

  if (!is_known (c, process) || stamp->written_ms == 0)
    return read_ms;
  /* The answer was given after the call was sent, so the clock shows no more
     than this now.  */
  latest_ms = c->value_ms + clk_since (now_ns, c->asked_ns) / CLK_MS;
  written_ms = clk_since (latest_ms, stamp->written_ms);
  return written_ms > read_ms ? written_ms : read_ms;
}
