#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>
extern "C"
{
#include "lagoonvale/bulkhead.h"
#include "lagoonvale/candidate.h"
#include "lagoonvale/crashlog.h"
#include "lagoonvale/leasebounds.h"
#include "lagoonvale/orderrate.h"
#include "lagoonvale/renewal.h"
#include "lagoonvale/subset.h"
}

namespace
{
constexpr uint64_t kMs = 1000000;
constexpr uint64_t kPollMs = 90;

/* Polls of a minion, one each kPollMs: 'a' answered, '-' unanswered.  */
struct rnw_renewal
poll (const std::string &polls)
{
  struct rnw_renewal r;
  uint64_t now = 0;

  rnw_init (&r, 0, 1000 * kMs);
  for (char c : polls)
    {
      if (rnw_may_request (&r))
        rnw_requested (&r, now, LBD_LEASE_NS);
      now += kPollMs * kMs;
      rnw_polled (&r, c == 'a');
    }
  return r;
}

/* An agent that renews the lease of a silent minion with each poll can never
   tell that its runs have ended.  */
TEST (Renewal, TheLeaseOfASilentMinionIsNotRenewed)
{
  const struct
  {
    const char *polls;
    bool may_request;
    uint64_t renewed_ms; /* last request for a lease */
  } cases[] = {
    { "aaaaaaaaaaaaaaaa", true, 15 * kPollMs },
    { "aaaaaaaaaaaaaaa-", true, 15 * kPollMs },
    { "aaaaaaaaaaaa----", false, 13 * kPollMs },
    { "aaaaaaaaaaaa---a", true, 13 * kPollMs },
    { "aaaaaaaa-a-a-a-a", true, 15 * kPollMs },
  };

  for (const auto &c : cases)
    {
      struct rnw_renewal r = poll (c.polls);

      EXPECT_EQ (rnw_may_request (&r), c.may_request) << c.polls;
      EXPECT_EQ (r.expires_ns,
                 lbd_lease_expiry (c.renewed_ms * kMs, LBD_LEASE_NS))
          << c.polls;
    }
}

/* A minion that answers, or missed one poll only, still runs its tasks: after
   the suspension of its instance nothing has been asked of it yet.  */
TEST (Renewal, RunsHaveEndedOnlyWhenTheMinionIsSilentAndItsLeaseIsOver)
{
  const struct
  {
    const char *polls;
    uint64_t later_ms;
    bool expired;
  } cases[] = {
    { "", 5000, false },
    { "aaaaaaaaaaaa", 5000, false },
    { "aaaaaaaaaaa-", 5000, false },
    { "aaaaaaaaaa--", 200, false },
    { "aaaaaaaaaa--", 600, true },
    { "--", 100, false }, /* a former process may have asked for a lease */
    { "--", 2000, true },
  };

  for (const auto &c : cases)
    {
      struct rnw_renewal r = poll (c.polls);
      uint64_t end_ms = kPollMs * std::string (c.polls).size ();

      EXPECT_EQ (rnw_expired (&r, (end_ms + c.later_ms) * kMs), c.expired)
          << c.polls << " " << c.later_ms;
    }
}

/* A start carries a lease too, and may be executed without an answer.  */
TEST (Renewal, AStartAtASilentMinionMovesTheExpiryOn)
{
  struct rnw_renewal r = poll ("aaaaaaaaaa--");
  uint64_t now = 12 * kPollMs * kMs;

  rnw_requested (&r, now, LBD_LEASE_NS);
  EXPECT_FALSE (rnw_expired (&r, now + LBD_LEASE_NS));
  EXPECT_TRUE (rnw_expired (&r, lbd_lease_expiry (now, LBD_LEASE_NS)));
}

class Crashlog : public testing::Test
{
protected:
  Crashlog () { crl_init (&log, nullptr); }
  ~Crashlog () override { crl_finish (&log); }

  struct Run
  {
    const char *task;
    uint32_t age_ms;
    bool executed = true;
  };
  std::vector<struct crl_run>
  lost (const std::vector<Run> &runs)
  {
    std::vector<struct crl_run> out;

    for (const auto &r : runs)
      out.push_back ({ lv_slice_of (r.task), r.age_ms, r.executed });
    return out;
  }
  void
  crash (const std::vector<Run> &runs)
  {
    auto l = lost (runs);

    crl_record (&log, l.data (), l.size (), ++now);
  }
  void
  silence (const std::vector<Run> &runs)
  {
    auto l = lost (runs);

    crl_record_silence (&log, l.data (), l.size (), ++now);
  }
  void
  resolve (const std::vector<Run> &runs, bool crashed)
  {
    auto l = lost (runs);

    crl_resolve_silence (&log, l.data (), l.size (), crashed, ++now);
  }
  const struct crl_task *
  task (const char *name)
  {
    return crl_find (&log, lv_slice_of (name));
  }
  struct crl_log log;
  uint64_t now = 0;
};

/* Without a limit, a task that crashes its minions is started on one after the
   other.  */
TEST_F (Crashlog, TaskIsPoisonAfterTwoCrashesItIsToBlameForOrThreeInAnyCase)
{
  const struct
  {
    const char *name;
    std::vector<std::vector<Run>> crashes;
    bool poison;
  } cases[] = {
    { "never seen", {}, false },
    { "alone, once", { { { "j.0", 10 } } }, false },
    { "alone, twice", { { { "j.0", 10 } }, { { "j.0", 10 } } }, true },
    { "started last, twice",
      { { { "j.0", 10 }, { "a.0", 90 } }, { { "j.0", 10 }, { "b.0", 40 } } },
      true },
    { "younger jobs beside it, twice",
      { { { "j.0", 90 }, { "a.0", 1 }, { "b.0", 1 }, { "c.0", 1 } },
        { { "j.0", 90 }, { "d.0", 1 }, { "e.0", 1 }, { "f.0", 1 } } },
      false },
    { "younger jobs beside it, three times",
      { { { "j.0", 90 }, { "a.0", 1 }, { "b.0", 1 }, { "c.0", 1 } },
        { { "j.0", 90 }, { "d.0", 1 }, { "e.0", 1 }, { "f.0", 1 } },
        { { "j.0", 90 }, { "g.0", 1 }, { "h.0", 1 }, { "i.0", 1 } } },
      true },
    { "ordered when the minion was gone, twice",
      { { { "j.0", CRL_AGE_NEVER_STARTED }, { "a.0", 9 } },
        { { "j.0", CRL_AGE_NEVER_STARTED }, { "b.0", 9 } } },
      false },
  };

  for (const auto &c : cases)
    {
      crl_finish (&log);
      for (const auto &runs : c.crashes)
        crash (runs);
      EXPECT_EQ (crl_is_poison (task ("j.0")), c.poison) << c.name;
    }
}

/* A job must not be answered as failed for crashes of minions that never
   began its task: their answers to its start were lost, or they had crashed
   before.  A task that may have crashed three is not started again either.  */
TEST_F (Crashlog, OnlyExecutedRunsAreProofOfACrash)
{
  const struct
  {
    const char *name;
    const char *crashes; /* x: executed, u: unanswered, g: sent when the minion
                            was gone */
    bool wait, poison, suspect;
  } cases[] = {
    { "unanswered once", "u", false, false, true },
    { "executed, then unanswered", "xu", false, false, true },
    { "unanswered twice", "uu", false, false, true },
    { "unanswered three times", "uuu", true, false, true },
    { "executed, then twice unanswered", "xuu", true, false, true },
    { "executed twice, and unanswered", "xux", true, true, true },
    { "gone three times", "ggg", false, false, false },
    { "executed, then gone twice", "xgg", false, false, true },
  };

  for (const auto &c : cases)
    {
      crl_finish (&log);
      for (const char *at = c.crashes; *at != '\0'; at++)
        crash ({ { "j.0", *at == 'g' ? CRL_AGE_NEVER_STARTED : 10,
                   *at == 'x' } });
      EXPECT_EQ (crl_must_wait (task ("j.0")), c.wait) << c.name;
      EXPECT_EQ (crl_is_poison (task ("j.0")), c.poison) << c.name;
      EXPECT_EQ (crl_is_suspect (task ("j.0")), c.suspect) << c.name;
    }
}

/* Minions crash at random, and a tenth of the tasks crash theirs; a part of the
   starts has no answer.  Whatever the history, no task is given up unless two
   minions have crashed while they ran it, and none is started again after three
   crashes that it caused.  */
TEST_F (Crashlog, RandomHistoriesGiveUpNoTaskWithoutTwoCrashesUnderIt)
{
  constexpr unsigned kTasks = 12, kCrashes = 30;

  for (unsigned seed = 0; seed < 3000; seed++)
    {
      std::mt19937 random (seed);
      unsigned under[kTasks] = { 0 }, caused[kTasks] = { 0 };
      std::string names[kTasks];

      crl_finish (&log);
      for (unsigned i = 0; i < kTasks; i++)
        names[i] = "j" + std::to_string (i) + ".0";
      for (unsigned n = 0; n < kCrashes; n++)
        {
          std::vector<Run> runs;
          bool deadly_runs = false;

          for (unsigned i = 0; i < kTasks; i++)
            {
              const struct crl_task *known = task (names[i].c_str ());
              bool deadly = i < kTasks / 10 && !deadly_runs;
              bool runs_here = random () % 4 == 0 || deadly;
              bool answered = random () % 3 != 0;
              bool begun = answered || random () % 2 == 0 || deadly;

              if (!runs_here || crl_is_poison (known) || crl_must_wait (known))
                continue;
              runs.push_back ({ names[i].c_str (),
                                deadly ? 2u : 5 + (unsigned)random () % 200,
                                answered && begun });
              under[i] += begun;
              caused[i] += deadly;
              deadly_runs |= deadly;
            }
          crash (runs);
        }
      for (unsigned i = 0; i < kTasks; i++)
        {
          if (crl_is_poison (task (names[i].c_str ())))
            {
              ASSERT_GE (under[i], 2u) << "seed " << seed << " task " << i;
            }
          ASSERT_LE (caused[i], CRL_CRASHES_MAX * 1u) << "seed " << seed;
        }
    }
}

/* A minion that is silent may have crashed or not: its tasks must neither be
   given up for it, nor be started on one minion after the other meanwhile.  */
TEST_F (Crashlog, TaskOfSilentMinionsWaitsUntilTheirFateIsKnown)
{
  const std::vector<Run> alone = { { "j.0", 10 } };
  const std::vector<Run> beside = { { "j.0", 90 }, { "a.0", 1 } };
  const struct
  {
    const char *name;
    const char *losses; /* s, S: silence, alone or beside a younger run; then
                           of the oldest silence c: it was a crash, a: it
                           answers; C: a crash at once, alone */
    bool wait, poison, suspect;
  } cases[] = {
    { "one silence", "s", false, false, true },
    { "two silences", "ss", true, false, true },
    { "two, beside younger runs", "SS", false, false, false },
    { "three, beside younger runs", "SSS", true, false, false },
    { "two, one answers", "ssa", false, false, true },
    { "two, both answer", "ssaa", false, false, false },
    { "two, one was a crash", "ssc", true, false, true },
    { "two, one was a crash, the other answers", "ssca", false, false, true },
    { "two, both were crashes", "sscc", true, true, true },
    { "a crash and a silence", "Cs", true, false, true },
    { "a crash and a silence that answers", "Csa", false, false, true },
    { "a crash and a silence that was one", "Csc", true, true, true },
  };

  for (const auto &c : cases)
    {
      crl_finish (&log);
      for (const char *at = c.losses; *at != '\0'; at++)
        switch (*at)
          {
          case 's':
            silence (alone);
            break;
          case 'S':
            silence (beside);
            break;
          case 'C':
            crash (alone);
            break;
          default:
            resolve (alone, *at == 'c');
          }
      EXPECT_EQ (crl_must_wait (task ("j.0")), c.wait) << c.name;
      EXPECT_EQ (crl_is_poison (task ("j.0")), c.poison) << c.name;
      EXPECT_EQ (crl_is_suspect (task ("j.0")), c.suspect) << c.name;
    }
  EXPECT_FALSE (crl_must_wait (nullptr));
}

/* What merely ran beside a poison pill must not be treated as one.  */
TEST_F (Crashlog, BlameGoesToTheJobsStartedLastAndToKnownSuspectsFirst)
{
  crash ({ { "late.0", 10 },
           { "late.1", 12 },
           { "other.0", 14 },
           { "third.0", 11 },
           { "early.0", 200 },
           { "gone.0", CRL_AGE_NEVER_STARTED } });
  crash ({ { "other.0", 12 },
           { "third.0", 9 },
           { "new.0", 3 },
           { "new.1", 90 } });
  const struct
  {
    const char *task;
    double blame;
    bool suspect;
  } cases[] = {
    { "late.0", 1 / 3., true },
    { "late.1", 1 / 3., true },
    { "other.0", 1 / 3. + 0.5, true },
    { "third.0", 1 / 3. + 0.5, true },
    { "early.0", 0, false },
    { "gone.0", 0, false },
    { "new.0", 0, false },
    { "new.1", 0, false },
  };

  for (const auto &c : cases)
    {
      ASSERT_NE (task (c.task), nullptr) << c.task;
      EXPECT_DOUBLE_EQ (task (c.task)->blame, c.blame) << c.task;
      EXPECT_EQ (crl_is_suspect (task (c.task)), c.suspect) << c.task;
    }
  EXPECT_FALSE (crl_is_suspect (nullptr));
  EXPECT_FALSE (crl_is_poison (nullptr));
}

/* Once the poison pill is found, nothing needs to wait for a minion that may be
   lost to those beside it.  */
TEST_F (Crashlog, FindingThePoisonClearsWhatWasBlamedWithIt)
{
  crash ({ { "pill.0", 10 }, { "a.0", 10 }, { "b.0", 10 } });
  crash ({ { "x.0", 10 }, { "y.0", 10 } });
  EXPECT_TRUE (crl_is_suspect (task ("a.0")));
  crash ({ { "pill.0", 10 }, { "c.0", 10 } });
  const struct
  {
    const char *task;
    bool suspect;
  } cases[] = { { "pill.0", true }, { "a.0", false }, { "b.0", false },
                { "c.0", false },   { "x.0", true },  { "y.0", true } };

  EXPECT_TRUE (crl_is_poison (task ("pill.0")));
  for (const auto &c : cases)
    EXPECT_EQ (crl_is_suspect (task (c.task)), c.suspect) << c.task;
}

TEST_F (Crashlog, IsBoundedAndForgetsTheOldestFirst)
{
  std::string name;

  for (unsigned i = 0; i <= CRL_TASKS_MAX; i++)
    {
      name = "j" + std::to_string (i) + ".0";
      crash ({ { name.c_str (), 1 } });
    }
  EXPECT_EQ (HASH_COUNT (log.tasks), CRL_TASKS_MAX * 1u);
  EXPECT_EQ (task ("j0.0"), nullptr);
  EXPECT_NE (task (name.c_str ()), nullptr);
  crl_expire (&log, now + CRL_RETENTION_NS);
  EXPECT_EQ (HASH_COUNT (log.tasks), 1u);
  crl_expire (&log, now + CRL_RETENTION_NS + 1);
  EXPECT_EQ (log.tasks, nullptr);
  crash ({ { std::string (RTK_NAME_MAX, 'x').c_str (), 1 } });
  EXPECT_EQ (log.tasks, nullptr);
}

/**
 * A queue, with the share of the time that it has a young run at a minion, and
 * the share of the crashes at which it has one.
 */
struct Load
{
  double usual;
  double at_crash;
};

/* Records COUNT crashes, 300 ms apart.  Return: the queues that are confined,
   the first one being "a".  */
std::string
confined_after (unsigned count, const std::vector<Load> &loads, unsigned seed)
{
  std::mt19937 random (seed);
  std::uniform_real_distribution<double> uniform;
  struct blk_bulkhead b;
  uint64_t now = 1;
  std::string names;
  std::string out;

  blk_init (&b, nullptr);
  for (unsigned i = 0; i < loads.size (); i++)
    names += 'a' + i;
  for (unsigned n = 0; n < count; n++, now += 300 * kMs)
    {
      std::vector<struct blk_young> young;

      for (unsigned i = 0; i < loads.size (); i++)
        if (uniform (random) < loads[i].at_crash)
          young.push_back ({ { &names[i], 1 }, loads[i].usual });
      blk_record_crash (&b, young.data (), young.size (), now);
    }
  for (unsigned i = 0; i < loads.size (); i++)
    if (blk_is_confined (&b, { &names[i], 1 }, now))
      out += names[i];
  blk_finish (&b);
  return out;
}

/* Poison in one queue, a few tasks a second, takes all minions from all queues:
   each is down for seconds.  That queue, and no other, must be found within a
   few crashes; crashes that no queue causes must confine none.  */
TEST (Bulkhead, ConfinesTheQueueWhoseTasksCrashMinionAfterMinion)
{
  const struct
  {
    const char *name;
    std::vector<Load> loads;
    std::string confined;
    unsigned least; /* of 1000 seeds */
  } cases[] = {
    { "poison in a small queue",
      { { 0.2, 1 }, { 0.3, 0.3 }, { 0.05, 0.05 } }, "a", 950 },
    { "poison in a small queue beside one that is nearly everywhere",
      { { 0.2, 1 }, { 0.8, 0.8 }, { 0.05, 0.05 } }, "a", 950 },
    { "poison in the largest queue",
      { { 0.2, 0.2 }, { 0.5, 1 }, { 0.05, 0.05 } }, "b", 700 },
    { "minions crash by themselves",
      { { 0.1, 0.1 }, { 0.5, 0.5 }, { 0.05, 0.05 } }, "", 980 },
    { "by themselves, under full load",
      { { 0.5, 0.5 }, { 0.9, 0.9 }, { 0.1, 0.1 } }, "", 980 },
    { "nothing had just been started",
      { { 0.1, 0 }, { 0.3, 0 }, { 0.05, 0 } }, "", 1000 },
  };

  for (const auto &c : cases)
    {
      unsigned right = 0;

      for (unsigned seed = 0; seed < 1000; seed++)
        right += confined_after (6, c.loads, seed) == c.confined;
      EXPECT_GE (right, c.least) << c.name;
    }
}

TEST (Bulkhead, ReleasesAQueueSomeTimeAfterItsLastCrash)
{
  const struct blk_young young = { lv_slice_of ("q"), 0.1 };
  const uint64_t last = BLK_CRASHES_MIN * kMs;
  struct blk_bulkhead b;

  blk_init (&b, nullptr);
  for (uint64_t now = kMs; now <= last; now += kMs)
    blk_record_crash (&b, &young, 1, now);
  EXPECT_TRUE (blk_is_confined (&b, young.queue, last));
  EXPECT_TRUE (blk_any (&b, last + BLK_RELEASE_NS - 1));
  EXPECT_FALSE (blk_any (&b, last + BLK_RELEASE_NS));
  blk_record_crash (&b, &young, 1, last + BLK_WINDOW_NS);
  EXPECT_FALSE (blk_any (&b, last + BLK_WINDOW_NS));
  blk_finish (&b);
}

/* More queues than are told apart must not be taken for one another.  */
TEST (Bulkhead, QueuesBeyondTheBoundAreNeverConfined)
{
  struct blk_bulkhead b;

  blk_init (&b, nullptr);
  for (unsigned i = 0; i < 2 * BLK_QUEUES_MAX; i++)
    {
      std::string name = "q" + std::to_string (i);
      struct blk_young young = { lv_slice_of (name.c_str ()), 0.1 };

      blk_record_crash (&b, &young, 1, kMs);
      EXPECT_FALSE (blk_is_confined (&b, young.queue, kMs)) << name;
    }
  blk_finish (&b);
}

TEST (OrderRate, PresenceFollowsTheRateOfOrders)
{
  const struct
  {
    unsigned per_s;
    double least;
    double most;
  } cases[] = { { 0, 0, 0 }, { 2, 0.04, 0.06 }, { 15, 0.28, 0.34 },
                { 100, 0.89, 0.95 } };

  for (const auto &c : cases)
    {
      struct orr_rates r;
      uint64_t now = kMs;

      orr_init (&r, nullptr);
      for (unsigned i = 0; i < 20 * c.per_s; i++, now += 1000 * kMs / c.per_s)
        orr_record (&r, lv_slice_of ("q"), now);
      double presence
          = orr_presence (&r, lv_slice_of ("q"), BLK_YOUNG_MS * kMs, now);
      EXPECT_GE (presence, c.least) << c.per_s;
      EXPECT_LE (presence, c.most) << c.per_s;
      EXPECT_LT (orr_presence (&r, lv_slice_of ("q"), BLK_YOUNG_MS * kMs,
                               now + 10 * ORR_WINDOW_NS),
                 0.001);
      orr_finish (&r);
    }
}

TEST (OrderRate, TheQueueThatWasQuietLongestMakesRoom)
{
  struct orr_rates r;

  orr_init (&r, nullptr);
  for (unsigned i = 0; i <= ORR_QUEUES_MAX; i++)
    orr_record (&r, lv_slice_of (("q" + std::to_string (i)).c_str ()),
                (i + 1) * kMs);
  EXPECT_EQ (orr_presence (&r, lv_slice_of ("q0"), kMs, 100 * kMs), 0);
  EXPECT_GT (orr_presence (&r, lv_slice_of ("q1"), kMs, 100 * kMs), 0);
  orr_finish (&r);
}

/* Entries that know the same agents must choose the same ones, and a few of
   them whichever others are there.  */
TEST (Bulkhead, MembersAreAShareOfTheAgentsInAnyOrder)
{
  const struct
  {
    unsigned agents;
    unsigned members;
  } cases[] = { { 0, 0 },  { 1, 0 },   { 2, 0 },    { 3, 1 },
                { 11, 3 }, { 66, 19 }, { 240, 72 } };

  for (const auto &c : cases)
    {
      std::vector<std::vector<unsigned>> chosen (2);

      for (int reverse = 0; reverse < 2; reverse++)
        {
          std::vector<struct sst_member> agents (c.agents);
          std::vector<unsigned> indices (c.agents);

          for (unsigned i = 0; i < c.agents; i++)
            {
              unsigned index = reverse ? c.agents - 1 - i : i;
              std::string name = "agent-" + std::to_string (index);

              indices[i] = index;
              agents[i] = { sst_rank (lv_slice_of ("service"),
                                      lv_slice_of (name.c_str ())),
                            true, false, &indices[i] };
            }
          EXPECT_EQ (blk_share (c.agents), c.members);
          sst_select (agents.data (), c.agents, blk_share (c.agents));
          for (const auto &a : agents)
            if (a.selected)
              chosen[reverse].push_back (*static_cast<unsigned *> (a.priv));
          EXPECT_EQ (chosen[reverse].size (), c.members);
        }
      EXPECT_EQ (chosen[0], chosen[1]) << c.agents;
    }
}

struct cnd_candidate
make_candidate (uint32_t free, bool at_risk, bool has_suspect,
                bool usable = true)
{
  return { true, usable, false, { 8000, 8000, 0 }, { free, 8000, 0 }, 1,
           at_risk, has_suspect };
}

/* Two suspects at one minion cannot be told apart by its crash, and what runs
   beside one is lost with it.  */
TEST (CandidateRisk, SuspectsRunApartAndOthersElsewhereIfTheyCan)
{
  const struct
  {
    const char *name;
    std::vector<struct cnd_candidate> candidates;
    bool suspect;
    bool confined;
    int expect;
  } cases[] = {
    { "suspect beside another",
      { make_candidate (8000, true, true) }, true, false, -1 },
    { "suspect to the emptier one",
      { make_candidate (3000, false, false), make_candidate (8000, true, false) },
      true, false, 1 },
    { "others avoid it",
      { make_candidate (8000, true, true), make_candidate (1000, false, false) },
      false, false, 1 },
    { "others take it when all else is full",
      { make_candidate (8000, true, true), make_candidate (0, false, false) },
      false, false, 0 },
    { "confined queues do not mind",
      { make_candidate (8000, true, false), make_candidate (1000, true, false) },
      false, true, 0 },
  };

  for (const auto &c : cases)
    {
      const struct cnd_task task
          = { { 1000, 10, 0 }, -1, 0, c.suspect, c.confined };

      EXPECT_EQ (cnd_select (c.candidates.data (), c.candidates.size (), &task),
                 c.expect)
          << c.name;
    }
}

/* While poison goes round, each suspect may cost a minion: most must be left. */
TEST (CandidateRisk, SuspectsWaitWhileTooManyMinionsAreLost)
{
  const struct
  {
    unsigned usable;
    unsigned total;
    bool may;
  } cases[] = { { 0, 0, false },  { 1, 1, false },  { 2, 3, false },
                { 3, 3, true },   { 11, 11, true }, { 9, 11, true },
                { 8, 11, false }, { 0, 11, false }, { 180, 240, true },
                { 150, 240, false } };

  for (const auto &c : cases)
    {
      std::vector<struct cnd_candidate> candidates;

      for (unsigned i = 0; i < c.total; i++)
        candidates.push_back (make_candidate (0, false, false, i < c.usable));
      EXPECT_EQ (cnd_may_lose_one (candidates.data (), c.total), c.may)
          << c.usable << " of " << c.total;
    }
}
}
