#include <cmath>
#include <gtest/gtest.h>
#include <random>
extern "C"
{
#include "lagoonvale/warmup.h"
}

namespace
{
constexpr uint64_t kMs = 1000000;
constexpr uint64_t kS = 1000 * kMs;
constexpr unsigned kBurst = 5;
/* A service whose minions are cold for 4 s and then take 10 starts a second. */
constexpr struct wmp_params kParams = { 4000, 10000 };

/* Starts that a limit allows in the first SECONDS, offered EACH_MS.  */
unsigned
starts_in (struct wmp_limit *l, double seconds, double each_ms,
           uint64_t from_ns)
{
  unsigned n = 0;

  for (double ms = 0; ms < seconds * 1000; ms += each_ms)
    n += wmp_take (l, from_ns + (uint64_t)(ms * kMs));
  return n;
}

/* A minion that has just come back must not get the burst that waits for it;
   one that is warm, or of a service without a warm-up, is not limited.  */
TEST (Warmup, OnlyColdMinionsOfSuchServicesAreLimited)
{
  const struct
  {
    const char *name;
    struct wmp_params params;
    uint64_t left_ms, at_ms;
    bool limited;
  } cases[] = {
    { "cold", kParams, 4000, 0, true },
    { "half cold", kParams, 2000, 0, true },
    { "nearly warm", kParams, 4000, 3999, true },
    { "warm by now", kParams, 4000, 4000, false },
    { "warm", kParams, 0, 0, false },
    { "no warm-up configured", { 0, 10000 }, 4000, 0, false },
    { "no rate configured", { 4000, 0 }, 4000, 0, false },
    { "colder than configured", kParams, 60000, 0, true },
  };

  for (const auto &c : cases)
    {
      struct wmp_limit l;

      wmp_init (&l, kBurst);
      wmp_set_params (&l, &c.params);
      wmp_set_left (&l, c.left_ms, kS);
      EXPECT_EQ (wmp_starts_left (&l, kS + c.at_ms * kMs) != WMP_UNLIMITED,
                 c.limited)
          << c.name;
    }
}

/* The rate rises from the configured one without a step, and no interval gets
   more than the rate in it and one burst.  */
TEST (Warmup, TheRateRisesAsTheWarmUpGoesOn)
{
  struct wmp_limit l;

  wmp_init (&l, kBurst);
  wmp_set_params (&l, &kParams);
  wmp_set_left (&l, 4000, kS);
  unsigned before = 0;
  for (unsigned second = 0; second < 4; second++)
    {
      unsigned n = starts_in (&l, 1, 1, kS + second * kS);
      double whole = 10 * 4 * std::log (4.0 / (4 - second));
      double until = second < 3 ? 10 * 4 * std::log (4.0 / (3 - second)) : 1e9;

      EXPECT_GE (n, before) << second;
      EXPECT_LE (n, until - whole + kBurst) << second;
      if (second < 3)
        {
          EXPECT_GE (n, (until - whole) * 0.9 - 1) << second;
        }
      before = n;
    }
}

/* Entries that send all at once get the burst, whatever their number.  */
TEST (Warmup, AllEntriesTogetherGetNoMoreThanTheBurst)
{
  struct wmp_limit l;

  wmp_init (&l, kBurst);
  wmp_set_params (&l, &kParams);
  wmp_set_left (&l, 4000, kS);
  EXPECT_EQ (wmp_starts_left (&l, kS), 1u);
  EXPECT_EQ (wmp_starts_left (&l, 2 * kS), kBurst);
  EXPECT_EQ (starts_in (&l, 0.02, 0.001, 2 * kS), kBurst);
}

/* Reports that repeat how long the minion stays cold must not refill the
   bucket, and a minion that becomes cold again is limited anew.  */
TEST (Warmup, ReportsOfOneWarmUpGrantNothing)
{
  struct wmp_limit l;

  wmp_init (&l, kBurst);
  wmp_set_params (&l, &kParams);
  wmp_set_left (&l, 4000, kS);
  EXPECT_TRUE (wmp_take (&l, kS));
  for (unsigned i = 0; i < 100; i++)
    {
      wmp_set_left (&l, 4000, kS);
      EXPECT_FALSE (wmp_take (&l, kS)) << i;
    }
  EXPECT_EQ (wmp_starts_left (&l, 6 * kS), WMP_UNLIMITED);
  wmp_set_left (&l, 4000, 10 * kS);
  EXPECT_EQ (wmp_starts_left (&l, 10 * kS), 1u);
}

/* Times that go back, or jump, grant no more than one burst.  */
TEST (Warmup, OddTimesGrantNoMoreThanABurst)
{
  std::mt19937 random (1);
  struct wmp_limit l;

  wmp_init (&l, kBurst);
  wmp_set_params (&l, &kParams);
  wmp_set_left (&l, 4000, 100 * kS);
  for (unsigned i = 0; i < 1000; i++)
    {
      uint64_t now = 96 * kS + random () % (8 * kS);
      uint32_t left = wmp_starts_left (&l, now);

      if (left != WMP_UNLIMITED)
        {
          ASSERT_LE (left, kBurst);
        }
    }
}
}
