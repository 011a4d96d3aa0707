#include <gtest/gtest.h>
extern "C"
{
#include "lagoonvale/minionclock.h"
}

namespace
{
constexpr uint64_t kMs = 1000000;
constexpr uint64_t kProcess = 1, kLater = 2;

// Guards against a report that is taken for a new one because it was read just
// now: it had waited in the socket of a paused or suspended agent.
TEST (MinionClock, AReportIsAsOldAsItsClockSays)
{
  const struct
  {
    const char *what;
    uint64_t value_ms, asked_ms; /* the last answer */
    uint64_t written_ms, received_ms;
    uint64_t now_ms, age_ms;
  } cases[] = {
    { "no answer yet", 0, 0, 500, 1000, 1200, 200 },
    { "a report without a clock", 900, 1000, 0, 1000, 1200, 200 },
    { "read at once", 500, 1000, 500, 1000, 1200, 200 },
    { "read late, after an answer", 4500, 5000, 500, 5010, 5020, 4020 },
    { "read late, and the last answer came before the pause", 500, 1000, 500,
      5000, 5010, 4010 },
    { "read late, with an answer that waited as well", 600, 1000, 500, 5000,
      5000, 4100 },
    { "written after the last answer", 400, 1000, 650, 1260, 1300, 50 },
    { "read before the last answer", 4500, 5000, 500, 1010, 5020, 4020 },
    { "a clock that stood still meanwhile", 700, 5000, 500, 1000, 5020, 4020 },
    { "the clock of a later process", 10, 5000, 90000, 5000, 5020, 20 },
    { "a clock without bounds", UINT64_MAX, 5000, 1, 5000, 5020, 20 },
  };
  for (const auto &c : cases)
    {
      struct mck_clock clock = {};
      const struct mck_stamp stamp = { c.written_ms, c.received_ms * kMs };
      if (c.value_ms != 0)
        mck_observe (&clock, kProcess, c.value_ms, c.asked_ms * kMs, 0);
      EXPECT_EQ (mck_age_ms (&clock, kProcess, &stamp, c.now_ms * kMs), c.age_ms)
          << c.what;
    }
}

// A lease is asked for by the least that the clock may show: the time since
// the answer, without that in which agent and minion were suspended.
TEST (MinionClock, ReadsOnSinceTheAnswer)
{
  struct mck_clock clock = {};

  EXPECT_EQ (mck_now_ms (&clock, kProcess, 5000 * kMs), 0U);
  mck_observe (&clock, kProcess, 700, 1000 * kMs, 2050 * kMs);
  EXPECT_EQ (mck_now_ms (&clock, kProcess, 2050 * kMs), 700U);
  EXPECT_EQ (mck_now_ms (&clock, kProcess, 2000 * kMs), 700U);
}

// Guards against a lease that outlives its expected end: after a freeze of 3 s,
// a minion's clock that is 2 % slow shows 59 ms less than a true one, and a
// lease asked for by the true one lasted so much longer.
TEST (MinionClock, ShowsNoMoreThanASlowClock)
{
  constexpr double kSlow = 0.98;

  for (uint64_t age_ms : { 0, 1, 50, 100, 500, 2944, 10000, 60000 })
    {
      struct mck_clock clock = {};
      uint64_t slow_ms = 700 + (uint64_t)(age_ms * kSlow);

      mck_observe (&clock, kProcess, 700, 1000 * kMs, 2000 * kMs);
      uint64_t now_ms = mck_now_ms (&clock, kProcess, (2000 + age_ms) * kMs);
      EXPECT_LE (now_ms, slow_ms) << age_ms;
      EXPECT_GE (now_ms + 1, 700 + age_ms * 0.97) << age_ms;
    }
}

// Guards against a reckoning with the clock of a former process, which may be
// far ahead of the later one's (review/13).
TEST (MinionClock, IsThatOfOneProcess)
{
  struct mck_clock clock = {};
  const struct mck_stamp stamp = { 10, 4000 * kMs };

  mck_observe (&clock, kProcess, 90000, 1000 * kMs, 1000 * kMs);
  EXPECT_EQ (mck_now_ms (&clock, kLater, 1000 * kMs), 0U);
  EXPECT_EQ (mck_age_ms (&clock, kLater, &stamp, 4100 * kMs), 100U);
  /* An answer without a clock says nothing new of the same process.  */
  mck_observe (&clock, kProcess, 0, 2000 * kMs, 2000 * kMs);
  EXPECT_EQ (mck_now_ms (&clock, kProcess, 1000 * kMs), 90000U);
  mck_observe (&clock, kLater, 0, 3000 * kMs, 3000 * kMs);
  EXPECT_EQ (mck_now_ms (&clock, kProcess, 3000 * kMs), 0U);
  EXPECT_EQ (mck_now_ms (&clock, kLater, 3000 * kMs), 0U);
  mck_observe (&clock, kLater, 40, 3000 * kMs, 3000 * kMs);
  EXPECT_EQ (mck_now_ms (&clock, kLater, 3000 * kMs), 40U);
}
} // namespace
