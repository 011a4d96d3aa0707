#include <gtest/gtest.h>
extern "C"
{
#include "lagoonvale/backlog.h"
#include "lagoonvale/retryafter.h"
}

namespace
{
constexpr uint64_t kMs = 1000000;
constexpr uint64_t kNever = UINT64_MAX;

TEST (Backlog, WaitFollowsFromRecentServiceRate)
{
  const struct
  {
    unsigned served; /* evenly over the window before */
    unsigned ahead;
    uint64_t after_ms; /* since the backlog began */
    uint64_t wait_ms;
  } cases[] = {
    { 0, 0, 999, 0 },       /* less than a full window */
    { 0, 0, 1000, kNever }, { 10, 0, 1000, 0 },      { 10, 5, 1000, 500 },
    { 100, 5, 1500, 50 },   { 1, 5, 1000, 5000 },
  };
  for (const auto &c : cases)
    {
      struct bkl_backlog b = {};
      uint64_t start = 5000 * kMs;
      uint64_t now = start + c.after_ms * kMs;
      bkl_set_waiting (&b, true, start);
      for (unsigned i = 0; i < c.served; i++)
        bkl_record_served (&b, now - 900 * kMs + i * (900 * kMs / c.served));
      uint64_t wait = bkl_expected_wait_ns (&b, c.ahead, now);
      EXPECT_EQ (wait, c.wait_ms == kNever ? kNever : c.wait_ms * kMs)
          << c.served << " served, " << c.ahead << " ahead";
    }
}

TEST (Backlog, ServiceOutsideTheWindowIsIgnored)
{
  struct bkl_backlog b = {};
  bkl_set_waiting (&b, true, 1);
  for (unsigned i = 0; i < 50; i++)
    bkl_record_served (&b, 1000 * kMs);
  EXPECT_EQ (bkl_expected_wait_ns (&b, 10, 1500 * kMs), 200 * kMs);
  EXPECT_EQ (bkl_expected_wait_ns (&b, 10, 2100 * kMs), kNever);
  EXPECT_EQ (bkl_expected_wait_ns (&b, 10, 900000 * kMs), kNever);
}

TEST (Backlog, EmptyBacklogRestartsTheWindow)
{
  struct bkl_backlog b = {};
  bkl_set_waiting (&b, true, 1);
  bkl_set_waiting (&b, false, 2000 * kMs);
  EXPECT_EQ (bkl_expected_wait_ns (&b, 3, 2000 * kMs), 0U);
  bkl_set_waiting (&b, true, 3000 * kMs);
  EXPECT_EQ (bkl_expected_wait_ns (&b, 3, 3500 * kMs), 0U);
  EXPECT_EQ (bkl_expected_wait_ns (&b, 3, 4000 * kMs), kNever);
}

/* Callers that are refused together and told the same delay come back together,
   in an overload that lasts longer than that. */
TEST (RetryAfter, DelayGrowsWithTheWaitAndIsSpread)
{
  const struct
  {
    uint64_t wait_ms;
    double uniform;
    unsigned delay_ms;
  } cases[] = {
    { 0, 0, 1000 },        { 0, 0.5, 1500 },      { 900, 0, 1000 },
    { 2000, 0, 2000 },     { 2000, 0.25, 2500 },  { 5000, 1, 10000 },
    { 60000, 0.1, 5500 },  { UINT64_MAX / kMs, 0, 5000 },
  };

  for (const auto &c : cases)
    EXPECT_EQ (rta_overload_ms (c.wait_ms * kMs, c.uniform), c.delay_ms)
        << c.wait_ms;
}
}
