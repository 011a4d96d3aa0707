#include <gtest/gtest.h>
#include <vector>
extern "C"
{
#include "lagoonvale/budget.h"
#include "lagoonvale/capacity.h"
#include "lagoonvale/lease.h"
#include "lagoonvale/placement.h"
#include "lagoonvale/turn.h"
}

namespace
{
constexpr uint64_t kMs = 1000000;

/* A lease of 800 ms, requested at 1,000 ms.  */
TEST (Lease, UsableUntilTheMargin)
{
  const struct
  {
    uint64_t now_ms;
    bool usable, due;
  } cases[] = {
    { 1000, true, false }, { 1265, true, false }, { 1267, true, true },
    { 1599, true, true },  { 1600, false, true }, { 1800, false, true },
    { 9000, false, true },
  };
  struct lse_lease l = {};
  EXPECT_TRUE (lse_due (&l, 0));
  EXPECT_FALSE (lse_usable (&l, 0));
  lse_granted (&l, 7, 1000 * kMs, 800 * kMs);
  for (const auto &c : cases)
    {
      EXPECT_EQ (lse_usable (&l, c.now_ms * kMs), c.usable) << c.now_ms;
      EXPECT_EQ (lse_due (&l, c.now_ms * kMs), c.due) << c.now_ms;
    }
  lse_requested (&l, 1300 * kMs, 266 * kMs);
  EXPECT_FALSE (lse_due (&l, 1565 * kMs));
  EXPECT_TRUE (lse_due (&l, 1566 * kMs));
  lse_refused (&l, 1400 * kMs, 50 * kMs);
  EXPECT_FALSE (lse_usable (&l, 1400 * kMs));
  EXPECT_EQ (l.epoch, 0u);
  EXPECT_TRUE (lse_due (&l, 1450 * kMs));
}

const capa_size kTotal = { 32, 1024, 2 };

TEST (Capacity, ReservationsNeverExceedTheTotal)
{
  const struct
  {
    capa_size need;
    bool fits;
  } cases[] = {
    { { 16, 256, 1 }, true }, { { 17, 1, 0 }, false },
    { { 1, 769, 0 }, false }, { { 1, 1, 2 }, false },
    { { 16, 768, 1 }, true }, { { 1, 0, 0 }, false },
  };
  struct capa_worker r;
  capa_init (&r, &kTotal, 1);
  for (const auto &c : cases)
    EXPECT_EQ (capa_reserve (&r, &c.need, kMs), c.fits);
  capa_release (&r, &cases[0].need, 2 * kMs);
  EXPECT_EQ (capa_available (&r).cores, 16u);
  EXPECT_EQ (capa_available (&r).memory_mb, 256u);
  EXPECT_EQ (capa_available (&r).accelerators, 1u);
}

/* A report is compared with the reservations at the time it was measured.  */
TEST (Capacity, DelayedReports)
{
  const struct
  {
    uint64_t as_of_ms;
    uint32_t used_mb, free_mb;
  } cases[] = {
    { 100, 128, 512 }, /* as declared then; two tasks run now */
    { 100, 300, 340 }, /* 172 more than declared then */
    { 250, 512, 512 }, /* as declared */
    { 250, 0, 512 },   /* unused reservations stay reserved */
    { 250, 4000, 0 },  /* more than the total */
    { 5, 0, 512 },     /* before the first change */
  };
  struct capa_worker r;
  const capa_size first = { 1, 128, 0 };
  const capa_size second = { 1, 384, 0 };
  capa_init (&r, &kTotal, 10 * kMs);
  capa_reserve (&r, &first, 50 * kMs);
  capa_reserve (&r, &second, 200 * kMs);
  for (const auto &c : cases)
    {
      capa_size used = { 0, c.used_mb, 0 };
      capa_report_usage (&r, &used, c.as_of_ms * kMs);
      EXPECT_EQ (capa_available (&r).memory_mb, c.free_mb)
          << c.as_of_ms << " " << c.used_mb;
    }
}

TEST (Capacity, ReportOlderThanTheHistory)
{
  struct capa_worker r;
  const capa_size one = { 1, 1, 0 };
  const capa_size used = { 0, 40, 0 };
  capa_init (&r, &kTotal, 1);
  for (uint64_t i = 1; i <= 1000; i++)
    {
      capa_reserve (&r, &one, i * kMs);
      capa_release (&r, &one, i * kMs);
    }
  capa_report_usage (&r, &used, kMs);
  /* 0 or 1 MB was reserved at the oldest change in the history.  */
  EXPECT_NEAR (capa_available (&r).memory_mb, 1024 - 40, 1);
}

TEST (Turn, OneHolderWhileSeveralWait)
{
  const uint64_t hold_ms = TRN_HOLD_NS / kMs;
  struct trn_turns t = {};
  EXPECT_TRUE (trn_is_allowed (&t, 0));
  EXPECT_TRUE (trn_is_allowed (&t, 9));
  EXPECT_FALSE (trn_any_waiting (&t));
  trn_set_waiting (&t, 3, true, kMs);
  EXPECT_TRUE (trn_any_waiting (&t));
  EXPECT_TRUE (trn_is_allowed (&t, 3));
  EXPECT_FALSE (trn_is_allowed (&t, 9)) << "only 3 waits";
  trn_set_waiting (&t, 9, true, kMs);
  EXPECT_TRUE (trn_is_allowed (&t, 3));
  EXPECT_FALSE (trn_is_allowed (&t, 9));
  trn_tick (&t, 2 * kMs);
  EXPECT_TRUE (trn_is_allowed (&t, 3)) << "turn not used yet";
  trn_mark_used (&t, 9);
  trn_tick (&t, 2 * kMs);
  EXPECT_TRUE (trn_is_allowed (&t, 3)) << "used by another entry";
  trn_mark_used (&t, 3);
  trn_tick (&t, 2 * kMs);
  EXPECT_TRUE (trn_is_allowed (&t, 9));
  EXPECT_FALSE (trn_is_allowed (&t, 3));
  trn_tick (&t, (1 + hold_ms) * kMs);
  EXPECT_TRUE (trn_is_allowed (&t, 9)) << "not held too long yet";
  trn_tick (&t, (2 + hold_ms) * kMs);
  EXPECT_TRUE (trn_is_allowed (&t, 3)) << "held too long";
  trn_set_waiting (&t, 3, false, (2 + hold_ms) * kMs);
  EXPECT_TRUE (trn_is_allowed (&t, 9)) << "the holder has no waiting tasks";
  trn_set_waiting (&t, 9, false, (2 + hold_ms) * kMs);
  EXPECT_TRUE (trn_is_allowed (&t, 3));
}

TEST (Budget, RetriesAreAShareOfRequests)
{
  struct bgt_budget b;
  int retries = 0;
  bgt_init (&b);
  for (int i = 0; i < 1000; i++)
    {
      bgt_earn (&b);
      while (bgt_spend (&b))
        retries++;
    }
  EXPECT_LE (retries, 1000 * BGT_RETRY_RATIO + BGT_RETRIES_MAX);
  EXPECT_GE (retries, 1000 * BGT_RETRY_RATIO);
}

TEST (Placement, PreferredWorker)
{
  const struct
  {
    plc_worker a, b;
    bool better;
  } cases[] = {
    { { true, { 9, 9, 0 } }, { false, { 1, 1, 0 } }, true },
    { { false, { 1, 1, 0 } }, { true, { 9, 9, 0 } }, false },
    { { true, { 4, 9, 0 } }, { true, { 5, 1, 0 } }, true },
    { { true, { 9, 9, 0 } }, { true, { 1, 1, 1 } }, true },
    { { true, { 4, 1, 0 } }, { true, { 4, 2, 0 } }, true },
    { { true, { 4, 1, 0 } }, { true, { 4, 1, 0 } }, false },
  };
  for (const auto &c : cases)
    EXPECT_EQ (plc_worker_better (&c.a, &c.b), c.better);
}
}
