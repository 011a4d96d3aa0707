#include <gtest/gtest.h>
#include <string>
#include <talloc.h>
#include <vector>
extern "C"
{
#include "lagoonvale/board.h"
#include "lagoonvale/catalog.h"
#include "lagoonvale/leasebounds.h"
#include "lagoonvale/runbook.h"
#include "lagoonvale/spot.h"
}

namespace
{
constexpr uint64_t kMs = 1000000;
/* The platform sends a job again this long after its connection broke.  */
constexpr uint64_t kResendNs = 1300 * kMs;

TEST (LeaseBounds, FreshUntilTheConfirmationIsOld)
{
  const struct
  {
    uint64_t age_ns;
    bool fresh;
  } cases[] = {
    { 0, true },
    { LBD_CONFIRM_TIMEOUT_NS - 1, true },
    { LBD_CONFIRM_TIMEOUT_NS, false },
    { 10 * LBD_CONFIRM_TIMEOUT_NS, false },
  };
  for (const auto &c : cases)
    EXPECT_EQ (lbd_is_fresh (1000, 1000 + c.age_ns), c.fresh) << c.age_ns;
}

TEST (LeaseBounds, RunsOfALostAgentEndBeforeACallerSendsAgain)
{
  EXPECT_LE (lbd_runs_ended_by (0), kResendNs);
  EXPECT_GT (lbd_runs_ended_by (0), LBD_CONFIRM_TIMEOUT_NS + LBD_LEASE_NS);
}

TEST (LeaseBounds, ASlowClockAtTheMinionIsAllowedFor)
{
  /* Two per cent slow is the platform's bound.  */
  EXPECT_GE (lbd_lease_expiry (0, 500 * kMs), 500 * kMs * 102 / 100);
}

/* A book whose ends and stops are written down.  */
class Runbook : public testing::Test
{
protected:
  void
  SetUp () override
  {
    const struct rnb_events events = { ended, stop, this };
    rnb_init (&book, nullptr, &events);
    book.total = { 8000, 8000, 0 };
  }
  void
  TearDown () override
  {
    rnb_finish (&book);
  }
  static void
  ended (struct rnb_run *run, enum rnb_how how, void *priv)
  {
    static_cast<Runbook *> (priv)->ends.emplace_back (run->name, how);
  }
  static void
  stop (struct rnb_run *run, void *priv)
  {
    static_cast<Runbook *> (priv)->stops.emplace_back (run->name);
  }
  struct rnb_run *
  order (const char *name, uint32_t mcores = 1000, uint64_t owner = 5,
         uint64_t now = 0)
  {
    const struct amt_amount need = { mcores, 10, 0 };
    struct rnb_run *run
        = rnb_order (&book, lv_slice_of (name), 1, &need, now);
    if (run != nullptr)
      run->owner = owner;
    return run;
  }
  void
  list (std::vector<const char *> names, uint64_t asked, uint64_t now,
        uint32_t percent = 10)
  {
    std::vector<struct rnb_listed> rows;
    for (const char *n : names)
      rows.push_back ({ lv_slice_of (n), 1, percent, RNB_DONE });
    rnb_list_running (&book, rows.data (), rows.size (), asked, now);
  }
  struct rnb_book book;
  std::vector<std::pair<std::string, enum rnb_how>> ends;
  std::vector<std::string> stops;
};

TEST_F (Runbook, NeverMoreThanThereIsRoom)
{
  const struct
  {
    uint32_t mcores;
    bool fits;
  } cases[] = { { 8001, false }, { 5000, true },  { 3001, false },
                { 3000, true },  { 1, false },    { 0, true } };
  int n = 0;
  for (const auto &c : cases)
    EXPECT_EQ (order (("t" + std::to_string (n++)).c_str (), c.mcores)
                   != nullptr,
               c.fits)
        << c.mcores;
}

TEST_F (Runbook, ATaskThatRunsIsNotOrderedAgain)
{
  EXPECT_NE (order ("a"), nullptr);
  EXPECT_EQ (order ("a"), nullptr);
}

TEST_F (Runbook, RoomIsHeldUntilTheEndIsListed)
{
  const struct rnb_listed end = { lv_slice_of ("a"), 1, 100, RNB_DONE };
  struct rnb_run *run = order ("a", 8000);
  rnb_started (&book, run, 1);
  EXPECT_EQ (rnb_free (&book).mcores, 0u);
  rnb_stop (&book, run, 2);
  rnb_barred (&book, run, 3);
  list ({ "a" }, 4, 5);
  EXPECT_EQ (rnb_free (&book).mcores, 0u);
  rnb_list_ends (&book, &end, 1);
  EXPECT_EQ (rnb_free (&book).mcores, 8000u);
  ASSERT_EQ (ends.size (), 1u);
  EXPECT_EQ (ends[0].second, RNB_DONE);
}

TEST_F (Runbook, AnUnansweredOrderIsOverOnlyOnceItIsBarred)
{
  const struct
  {
    bool barred;
    uint64_t asked;
    bool over;
  } cases[] = {
    { false, 100, false }, /* the stop was not answered */
    { true, 40, false },   /* the listing is older than the answer */
    { true, 60, true },
  };
  for (const auto &c : cases)
    {
      rnb_finish (&book);
      ends.clear ();
      struct rnb_run *run = order ("a");
      rnb_stop (&book, run, 10);
      if (c.barred)
        rnb_barred (&book, run, 50);
      list ({}, c.asked, 200);
      EXPECT_EQ (ends.size (), c.over ? 1u : 0u) << c.asked;
    }
}

TEST_F (Runbook, AnAnswerIsOlderThanTheListingThatMissesTheRun)
{
  struct rnb_run *run = order ("a");
  rnb_started (&book, run, 100);
  list ({}, 90, 110); /* asked for before it was started: says nothing */
  EXPECT_TRUE (ends.empty ());
  list ({}, 101, 120);
  ASSERT_EQ (ends.size (), 1u);
  EXPECT_EQ (ends[0].second, RNB_LAPSED);
}

TEST_F (Runbook, WhatRunsUnknownIsStoppedAndHoldsAllRoom)
{
  list ({ "x" }, 1, 2);
  EXPECT_EQ (stops, std::vector<std::string> ({ "x" }));
  EXPECT_EQ (rnb_free (&book).mcores, 0u);
  struct rnb_run *run = rnb_find (&book, lv_slice_of ("x"));
  rnb_barred (&book, run, 3);
  list ({}, 4, 5);
  EXPECT_EQ (rnb_free (&book).mcores, 8000u);
}

TEST_F (Runbook, AStopWithoutAnAnswerIsRepeated)
{
  rnb_stop (&book, order ("a"), 0);
  rnb_tick (&book, RNB_STOP_RETRY_NS - 1);
  EXPECT_EQ (stops.size (), 1u);
  rnb_tick (&book, RNB_STOP_RETRY_NS);
  EXPECT_EQ (stops.size (), 2u);
}

TEST_F (Runbook, WhatStandsStillIsStopped)
{
  const struct
  {
    uint32_t estimate_ms;
    uint64_t at_ms;
    bool stopped;
  } cases[] = {
    { 50, 600, false },   { 50, 800, true },
    { 500, 2000, false }, { 500, 3500, true },
  };
  for (const auto &c : cases)
    {
      rnb_finish (&book);
      stops.clear ();
      struct rnb_run *run = order ("a");
      run->estimate_ms = c.estimate_ms;
      rnb_started (&book, run, 0);
      rnb_tick (&book, c.at_ms * kMs);
      EXPECT_EQ (!stops.empty (), c.stopped) << c.at_ms;
    }
}

TEST_F (Runbook, EachOwnerIsStoppedAlone)
{
  order ("a", 1000, 5);
  order ("b", 1000, 6);
  rnb_stop_owner (&book, 5, 1);
  EXPECT_EQ (stops, std::vector<std::string> ({ "a" }));
  rnb_all_gone (&book);
  EXPECT_EQ (ends.size (), 2u);
  EXPECT_EQ (rnb_free (&book).mcores, 8000u);
}

class Board : public testing::Test
{
protected:
  void
  SetUp () override
  {
    brd_init (&board, nullptr);
  }
  void
  TearDown () override
  {
    brd_finish (&board);
  }
  struct brd_job *
  add (const char *id, uint32_t count = 1, uint64_t target_ms = 100,
       uint32_t priority = 0, uint64_t now = 0)
  {
    const struct brd_demand d
        = { lv_slice_of (id), lv_slice_of ("s"),  lv_slice_of ("svc"),
            { 1000, 1, 0 },   50,                 count,
            priority,         2,                  target_ms * kMs,
            1000 * kMs };
    return brd_add (&board, &d, now);
  }
  std::string
  sequence ()
  {
    std::string out;
    for (struct brd_job *j = board.queue; j != nullptr; j = j->next)
      out += j->id;
    return out;
  }
  struct brd_board board;
};

TEST_F (Board, LeastSlackFirstWithinAPriority)
{
  add ("c", 1, 300);
  add ("a", 1, 100);
  add ("z", 1, 50, 1);
  add ("b", 1, 200);
  EXPECT_EQ (sequence (), "abcz");
}

TEST_F (Board, WhatIsLateWaitsBehindAllElse)
{
  add ("a", 1, 100);
  add ("b", 1, 400);
  add ("z", 1, 600, 2);
  brd_sort (&board, 51 * kMs); /* 100 ms, less 50 ms of work */
  EXPECT_EQ (sequence (), "bza");
}

/* Pattern: after an outage all jobs are begun at once.  Room goes to those that
   can still be in time; a late one goes on only if little of it is left.  */
TEST_F (Board, ALateJobKeepsItsPlaceWhileLittleOfItWaits)
{
  const struct
  {
    uint32_t count;
    uint32_t waiting;
    uint64_t now_ms;
    const char *sequence;
  } cases[] = {
    { 10, 10, 50, "ab" }, /* it can still be in time */
    { 10, 10, 51, "ba" }, { 10, 3, 51, "ba" }, { 10, 2, 51, "ab" },
    { 5, 1, 250, "ab" },  { 4, 1, 51, "ba" },
    { 10, 1, 301, "ba" }, /* nobody waits for it any more */
  };
  for (const auto &c : cases)
    {
      struct brd_job *job = add ("a", c.count, 100);
      struct brd_job *other = add ("b", 1, 900);
      for (uint32_t i = c.waiting; i < c.count; i++)
        brd_place (&board, &job->tasks[i], this, 1);
      brd_sort (&board, c.now_ms * kMs);
      EXPECT_EQ (sequence (), c.sequence)
          << c.waiting << " of " << c.count << " at " << c.now_ms;
      brd_remove (&board, job);
      brd_remove (&board, other);
    }
}

TEST_F (Board, AJobWhoseLastTaskIsLostGoesOnWhileItIsOfUse)
{
  const struct
  {
    uint64_t now_ms;
    const char *sequence;
  } cases[] = { { 60, "ab" }, { 250, "ab" }, { 301, "ba" } };
  struct brd_job *job = add ("a", 8, 100);
  add ("b", 1, 900);
  for (uint32_t i = 0; i < 8; i++)
    brd_place (&board, &job->tasks[i], this, 1);
  brd_again (&board, &job->tasks[0], false); /* its backend server was lost */
  for (const auto &c : cases)
    {
      brd_sort (&board, c.now_ms * kMs);
      EXPECT_EQ (sequence (), c.sequence) << c.now_ms;
    }
}

TEST_F (Board, AnAnswerIsOfUseUpToThreeTimesTheTarget)
{
  const struct
  {
    uint64_t now_ms;
    bool useless;
  } cases[] = { { 1000, false }, { 1100, false }, { 1300, false },
                { 1301, true } };
  const struct brd_job *job = add ("a", 1, 100, 0, 1000 * kMs);
  for (const auto &c : cases)
    EXPECT_EQ (brd_useless (job, c.now_ms * kMs), c.useless) << c.now_ms;
}

TEST_F (Board, WorkBeginsWhileItsAnswerCanBeOfUse)
{
  const struct
  {
    uint64_t target_ms, until_ms;
  } cases[] = { { 100, 250 }, { 200, 550 }, { 400, 950 } /* patience */,
                { 10, 0 } };
  for (const auto &c : cases)
    {
      struct brd_job *job = add ("a", 1, c.target_ms);
      EXPECT_EQ (brd_start_until (job), c.until_ms * kMs) << c.target_ms;
      brd_remove (&board, job);
    }
}

TEST_F (Board, CompleteWhenAllTasksHaveEndedWell)
{
  struct brd_job *job = add ("a", 2);
  brd_place (&board, &job->tasks[0], this, 1);
  brd_place (&board, &job->tasks[1], this, 1);
  EXPECT_EQ (board.queue, nullptr);
  EXPECT_EQ (brd_done (&board, &job->tasks[1]), BRD_GOING);
  EXPECT_EQ (brd_done (&board, &job->tasks[0]), BRD_COMPLETE);
}

TEST_F (Board, AttemptsAreSpentByFailuresAlone)
{
  const struct
  {
    bool failed;
    enum brd_verdict verdict;
  } cases[] = { { false, BRD_GOING },
                { true, BRD_GOING },
                { false, BRD_GOING },
                { true, BRD_FAILED } };
  struct brd_job *job = add ("a");
  uint32_t attempt = 0;
  for (const auto &c : cases)
    {
      brd_place (&board, &job->tasks[0], this, 1);
      EXPECT_EQ (job->tasks[0].attempt, ++attempt);
      EXPECT_EQ (brd_again (&board, &job->tasks[0], c.failed), c.verdict);
      EXPECT_EQ (job->tasks[0].avoid, this);
    }
}

TEST_F (Board, WhatMayStillRunIsNotPlacedAgain)
{
  struct brd_job *job = add ("a");
  brd_place (&board, &job->tasks[0], this, 1);
  brd_doubt (&board, this, 500);
  EXPECT_EQ (brd_overdue (&board, 499), nullptr);
  EXPECT_EQ (job->waiting, 0u);
  ASSERT_EQ (brd_overdue (&board, 500), &job->tasks[0]);
  brd_again (&board, &job->tasks[0], false);
  EXPECT_EQ (job->waiting, 1u);
  EXPECT_EQ (brd_overdue (&board, 500), nullptr);
}

TEST_F (Board, AnEndOfAFormerRunIsNotKnown)
{
  struct brd_job *job = add ("a");
  brd_place (&board, &job->tasks[0], this, 1);
  const uint64_t former = job->tasks[0].run;
  brd_again (&board, &job->tasks[0], false);
  brd_place (&board, &job->tasks[0], this, 2);
  EXPECT_EQ (brd_run (&board, former), nullptr);
  EXPECT_EQ (brd_run (&board, job->tasks[0].run), &job->tasks[0]);
}

TEST_F (Board, WorkThatWaitsIsCountedOnce)
{
  struct brd_job *job = add ("a", 3);
  EXPECT_EQ (board.work_mcore_ms, 3u * 50000);
  brd_place (&board, &job->tasks[0], this, 1);
  EXPECT_EQ (board.work_mcore_ms, 2u * 50000);
  brd_again (&board, &job->tasks[0], false);
  brd_remove (&board, job);
  EXPECT_EQ (board.work_mcore_ms, 0u);
  EXPECT_EQ (board.jobs, nullptr);
}

TEST_F (Board, IdsAreUniqueAndBounded)
{
  EXPECT_NE (add ("a"), nullptr);
  EXPECT_EQ (add ("a"), nullptr);
  EXPECT_EQ (add (std::string (BRD_ID_MAX, 'x').c_str ()), nullptr);
}

spt_host
host (uint32_t free, double slowness = 1, bool near = false)
{
  return { true, true, near, { 8000, 8000, 0 }, { free, 8000, 0 }, slowness };
}

TEST (Spot, FastNearAndEmptyFirst)
{
  const struct
  {
    std::vector<spt_host> hosts;
    int avoid;
    int expect;
  } cases[] = {
    { { host (500), host (900) }, -1, -1 },
    { { host (500), host (4000) }, -1, 1 },
    { { host (8000), host (2000) }, -1, 0 },
    { { host (8000, 2), host (8000) }, -1, 1 },
    { { host (8000), host (8000, 1, true) }, -1, 1 },
    { { host (8000), host (1000, 3) }, 0, 1 },
    { { host (8000) }, 0, 0 },
  };
  const struct amt_amount need = { 1000, 10, 0 };
  for (const auto &c : cases)
    EXPECT_EQ (spt_choose (c.hosts.data (), c.hosts.size (), &need, c.avoid,
                           0),
               c.expect);
}

TEST (Spot, EntriesSpreadOverEqualHosts)
{
  const std::vector<spt_host> hosts (4, host (8000));
  const struct amt_amount need = { 1000, 10, 0 };
  std::vector<int> seen (4);
  for (int i = 0; i < 100; i++)
    seen[spt_choose (hosts.data (), 4, &need, -1, i / 100.0)]++;
  for (int n : seen)
    EXPECT_GT (n, 0);
}

TEST (Spot, WhatNoHostCouldHoldIsKnown)
{
  const std::vector<spt_host> hosts = { host (0), host (0) };
  const struct amt_amount fits = { 8000, 1, 0 };
  const struct amt_amount not_at_all = { 8001, 1, 0 };
  EXPECT_TRUE (spt_possible (hosts.data (), 2, &fits));
  EXPECT_FALSE (spt_possible (hosts.data (), 2, &not_at_all));
}

TEST (Spot, OnlyRoomThatCouldComeIsWaitedFor)
{
  std::vector<spt_host> hosts = { host (0), host (0) };
  hosts[0].total.mcores = 9000;
  hosts[0].usable = false;
  const struct
  {
    uint32_t mcores;
    bool awaits;
  } cases[] = { { 8000, true }, { 8001, false }, { 9000, false } };
  for (const auto &c : cases)
    {
      const struct amt_amount need = { c.mcores, 1, 0 };
      EXPECT_EQ (spt_awaits (hosts.data (), 2, &need), c.awaits) << c.mcores;
    }
}

struct cat_config *
catalog (uint64_t version, std::vector<const char *> prefixes)
{
  struct cat_config *c = cat_new (nullptr, version, prefixes.size ());
  for (size_t i = 0; i < prefixes.size (); i++)
    {
      c->queues[i].name = talloc_strdup (c, prefixes[i]);
      c->queues[i].host = talloc_strdup (c, "h");
      c->queues[i].prefix = talloc_strdup (c, prefixes[i]);
      c->queues[i].service = talloc_strdup (c, "s");
    }
  return c;
}

TEST (Catalog, TheLongestPrefixOfTheHostIsFound)
{
  const struct
  {
    const char *host, *path, *found;
  } cases[] = {
    { "h", "/a/1", "/a/" },     { "h", "/a/b/1", "/a/b/" },
    { "h", "/a/bc", "/a/" },    { "h", "/c/1", nullptr },
    { "other", "/a/1", nullptr }, { "h", "/a", nullptr },
    { "h", "", nullptr },       { "", "", nullptr },
  };
  struct cat_config *c = catalog (1, { "/a/", "/a/b/" });
  ASSERT_EQ (cat_build_index (c), 0);
  for (const auto &x : cases)
    {
      const struct cat_queue *q
          = cat_find (c, lv_slice_of (x.host), lv_slice_of (x.path));
      EXPECT_EQ (q != nullptr, x.found != nullptr) << x.path;
      EXPECT_STREQ (q != nullptr ? q->prefix : nullptr, x.found);
    }
  talloc_free (c);
}

TEST (Catalog, VersionsOnlyRise)
{
  const struct
  {
    uint64_t next, in_force;
  } cases[] = { { 3, 3 }, { 2, 3 }, { 3, 3 }, { 7, 7 }, { 1, 7 } };
  struct cat_config *now = nullptr;
  for (const auto &c : cases)
    {
      now = cat_adopt (now, catalog (c.next, {}));
      EXPECT_EQ (now->version, c.in_force);
    }
  talloc_free (now);
}

TEST (Catalog, AQueueWithoutAServiceIsRefused)
{
  struct cat_config *c = cat_new (nullptr, 1, 1);
  EXPECT_LT (cat_build_index (c), 0);
  talloc_free (c);
}
}
