#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>
extern "C"
{
#include "lagoonvale/minionhealth.h"
}

namespace
{
constexpr uint64_t kMs = 1000000;

struct MinionHealth : testing::Test
{
  MinionHealth () { mnh_init (&health); }

  bool
  record (const std::string &job, bool succeeded, double expected = 0,
          const std::string &queue = "q")
  {
    const struct mnh_run run = { { job.data (), job.size () },
                                 { queue.data (), queue.size () },
                                 succeeded,
                                 expected,
                                 ordered,
                                 50,
                                 50 };
    return mnh_record (&health, &run, now);
  }

  /* Jobs of two queues fail in turn.  */
  void
  eject ()
  {
    for (int i = 0; i < 3; i++)
      record ("bad" + std::to_string (i), false, 0, i % 2 ? "q" : "r");
  }

  struct mnh_health health;
  uint64_t now = kMs;
  uint64_t ordered = 0; /* of the runs that are recorded */
};

TEST_F (MinionHealth, EjectsAMinionThatFailsDifferentJobs)
{
  const struct
  {
    const char *name;
    std::vector<std::string> failed;
    std::vector<std::string> queues; /* in turn */
    double expected;
    enum mnh_use use;
  } cases[] = {
    { "three jobs of two queues", { "a", "b", "c" }, { "q", "r" }, 0,
      MNH_NOTHING },
    { "two jobs", { "a", "b" }, { "q", "r" }, 0, MNH_ANY },
    { "four jobs of one queue", { "a", "b", "c", "d" }, { "q" }, 0, MNH_ANY },
    { "five jobs of one queue", { "a", "b", "c", "d", "e" }, { "q" }, 0,
      MNH_NOTHING },
    { "all tasks of one job", { "a", "a", "a", "a", "a", "a" }, { "q" }, 0,
      MNH_ANY },
    { "queues that fail everywhere", { "a", "b", "c", "d", "e" }, { "q", "r" },
      0.9, MNH_ANY },
  };

  for (const auto &c : cases)
    {
      mnh_init (&health);
      for (size_t i = 0; i < c.failed.size (); i++)
        record (c.failed[i], false, c.expected,
                c.queues[i % c.queues.size ()]);
      EXPECT_EQ (mnh_use (&health, 1, now), c.use) << c.name;
    }
}

// Guards against a minion that fails a part of its tasks and stays in use since
// the many tasks of wide jobs that succeed there count for it.
TEST_F (MinionHealth, EjectsAMinionThatFailsAPartOfEachJob)
{
  const struct
  {
    unsigned tasks;
    double failing;
    bool ejected;
  } cases[] = { { 8, 0.4, true }, { 8, 1, true }, { 2, 1, true },
                { 8, 0.01, false }, { 2, 0.05, false } };

  for (const auto &c : cases)
    {
      unsigned ejected = 0;

      for (unsigned seed = 0; seed < 50; seed++)
        {
          std::mt19937 random (seed);
          std::uniform_real_distribution<double> uniform;
          bool any = false;

          mnh_init (&health);
          for (unsigned n = 0; n < 20; n++)
            for (unsigned t = 0; t < c.tasks; t++)
              any |= record ("j" + std::to_string (n),
                             uniform (random) >= c.failing, 0,
                             n % 2 ? "q" : "r");
          ejected += any;
        }
      EXPECT_GE (ejected, c.ejected ? 48u : 0u) << c.tasks << c.failing;
      EXPECT_LE (ejected, c.ejected ? 50u : 2u) << c.tasks << c.failing;
    }
}

TEST_F (MinionHealth, AReadmittedMinionIsEjectedByTheNextFailure)
{
  eject ();
  now += HLT_PROBE_NS;
  mnh_ordered (&health, now);
  ordered = now;
  EXPECT_TRUE (record ("p", true));
  EXPECT_EQ (mnh_use (&health, 1, now), MNH_ANY);
  EXPECT_TRUE (record ("n", false, 0, "q"));
  EXPECT_EQ (mnh_use (&health, 1, now), MNH_NOTHING);
}

// Guards against a minion that is readmitted, or whose probe seems to fail, by
// runs that were ordered before it was ejected.
TEST_F (MinionHealth, RunsFromBeforeTheEjectionTellNothing)
{
  eject ();
  EXPECT_FALSE (record ("bad2", true));
  EXPECT_EQ (mnh_use (&health, 1, now), MNH_NOTHING);
  now += HLT_PROBE_NS;
  mnh_ordered (&health, now);
  EXPECT_FALSE (record ("bad2", true));
  EXPECT_FALSE (record ("late", false));
  EXPECT_EQ (health.target.state, HLT_PROBING);
}

TEST_F (MinionHealth, OneEntryAtATimeMayProbe)
{
  eject ();
  EXPECT_FALSE (mnh_needs_prober (&health, now + HLT_PROBE_NS - 1));
  now += HLT_PROBE_NS;
  ASSERT_TRUE (mnh_needs_prober (&health, now));
  mnh_set_prober (&health, 7, now);
  EXPECT_FALSE (mnh_needs_prober (&health, now));
  EXPECT_EQ (mnh_use (&health, 7, now), MNH_PROBE);
  EXPECT_EQ (mnh_use (&health, 8, now), MNH_NOTHING);
  mnh_ordered (&health, now);
  ordered = now;
  EXPECT_EQ (mnh_use (&health, 7, now), MNH_NOTHING) << "one task";
  EXPECT_TRUE (record ("p", true));
  EXPECT_EQ (mnh_use (&health, 8, now), MNH_ANY);
}

TEST_F (MinionHealth, AnEntryThatSendsNoProbeLosesItsTurn)
{
  eject ();
  now += HLT_PROBE_NS;
  mnh_set_prober (&health, 7, now);
  now += MNH_TURN_NS;
  EXPECT_EQ (mnh_use (&health, 7, now), MNH_NOTHING);
  EXPECT_TRUE (mnh_needs_prober (&health, now));
}

TEST_F (MinionHealth, RatioFollowsSlowness)
{
  const struct mnh_run slow
      = { lv_slice_of ("a"), lv_slice_of ("q"), true, 0, 0, 150, 50 };

  for (int i = 0; i < 5; i++)
    record ("a", true);
  EXPECT_DOUBLE_EQ (health.ratio, 1);
  EXPECT_EQ (health.ratio_runs, 5u);
  for (int i = 0; i < 20; i++)
    mnh_record (&health, &slow, now);
  EXPECT_GT (health.ratio, 2);
  EXPECT_LT (health.ratio, 3);

  /* A ratio that the report cannot hold in thousandths.  */
  const struct mnh_run endless = { lv_slice_of ("a"), lv_slice_of ("q"), true,
                                   0, 0, UINT32_MAX, 1 };
  mnh_record (&health, &endless, now);
  EXPECT_LT (health.ratio, 1000);
}

/* Requests that fail at a bad minion within ten seconds, with ENTRIES entries
   that each offer it a job every 200 ms.  */
unsigned
requests_spent (unsigned entries, unsigned seed)
{
  std::mt19937 random (seed);
  struct mnh_health health;
  unsigned spent = 0;

  mnh_init (&health);
  for (uint64_t ms = 1; ms <= 10000; ms++)
    {
      uint64_t now = ms * kMs;

      if (mnh_needs_prober (&health, now))
        mnh_set_prober (&health, 1 + random () % entries, now);
      for (unsigned e = 1; e <= entries; e++)
        if (random () % 200 == 0 && mnh_use (&health, e, now) != MNH_NOTHING)
          {
            std::string job = std::to_string (spent);
            const struct mnh_run run
                = { { job.data (), job.size () },
                    lv_slice_of (spent % 2 ? "q" : "r"),
                    false, 0, now, 0, 50 };

            mnh_ordered (&health, now);
            mnh_record (&health, &run, now);
            spent++;
          }
    }
  return spent;
}

// Guards against a cost of bad minions that grows with the number of entries.
TEST (MinionHealthOfManyEntries, RequestsSpentDoNotGrowWithTheEntries)
{
  /* Three to eject, then probes after 1 s and each 2 s more.  */
  for (unsigned entries : { 3, 10, 55, 130 })
    for (unsigned seed = 0; seed < 20; seed++)
      EXPECT_LE (requests_spent (entries, seed), 8u) << entries;
}

// Guards against jobs that fail everywhere ejecting minions that are sound:
// each minion runs seven jobs a second, one in six of which can never be done.
TEST (MinionHealthOfManyEntries, JobsThatFailEverywhereEjectFewMinions)
{
  unsigned ejected = 0;

  for (unsigned seed = 0; seed < 200; seed++)
    {
      std::mt19937 random (seed);
      struct mnh_health health;

      mnh_init (&health);
      for (unsigned n = 0; n < 70; n++)
        {
          bool ok = random () % 6 != 0;
          std::string job = std::to_string (n);
          const struct mnh_run run
              = { { job.data (), job.size () }, lv_slice_of ("q"),
                  ok, 0, n * 140 * kMs, 50, 50 };

          for (int task = 0; task < 4; task++)
            ejected += mnh_record (&health, &run, n * 140 * kMs) && !ok;
        }
    }
  EXPECT_LT (ejected, 20u);
}
}
