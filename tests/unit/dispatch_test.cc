#include <gtest/gtest.h>
#include <set>
#include <string>
#include <talloc.h>
#include <vector>
extern "C"
{
#include "lagoonvale/candidate.h"
#include "lagoonvale/catalog.h"
#include "lagoonvale/fencetoken.h"
#include "lagoonvale/leasebounds.h"
#include "lagoonvale/jobtable.h"
#include "lagoonvale/runtracker.h"
}

namespace
{
constexpr uint64_t kMs = 1000000;
/* The platform resends a job this long after its connection broke.  */
constexpr uint64_t kResendNs = 1300 * kMs;

TEST (LeaseBounds, FreshUntilTheConfirmationExpires)
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

/* Orders to an agent whose messages are late would be refused as stale, placed
   again, and make the messages later still.  */
TEST (LeaseBounds, AnAgentWithLateAnswersGetsNoOrders)
{
  const struct
  {
    uint32_t confirmed_ms;
    bool may_order;
  } cases[] = {
    { 0, true },
    { LBD_REPORT_INTERVAL_NS / kMs + 100, true },
    { LBD_IDLE_INTERVAL_NS / kMs + 100, true },
    { LBD_LATE_MS, false },
    { LBD_CONFIRM_TIMEOUT_NS / kMs, false },
    { UINT32_MAX, false },
  };
  for (const auto &c : cases)
    EXPECT_EQ (lbd_may_order (c.confirmed_ms), c.may_order) << c.confirmed_ms;
}

// Guards against runs that are stopped since their entry was reported to as
// seldom as an idle one, and against an idle one that may never order.
TEST (LeaseBounds, OnlyIdleEntriesAreReportedToSeldom)
{
  const struct
  {
    uint64_t age_ns;
    bool busy, due;
  } cases[] = {
    { 0, true, false },
    { LBD_REPORT_INTERVAL_NS - 1, true, false },
    { LBD_REPORT_INTERVAL_NS, true, true },
    { LBD_REPORT_INTERVAL_NS, false, false },
    { LBD_IDLE_INTERVAL_NS - 1, false, false },
    { LBD_IDLE_INTERVAL_NS, false, true },
    { LBD_CONFIRM_TIMEOUT_NS, true, true },
  };
  for (const auto &c : cases)
    EXPECT_EQ (lbd_report_due (1000, c.busy, 1000 + c.age_ns), c.due)
        << c.age_ns << c.busy;
}

// Guards against a start that is counted as ended before its lease is: it was
// ordered by a report about the minion's former process, and the later one may
// hold a longer lease.
TEST (LeaseBounds, OrdersGoByAReportAboutThePresentProcess)
{
  const struct
  {
    uint64_t stamp_ms, process_ms, now_ms;
    bool fresh;
  } cases[] = {
    { 1000, 0, 1000, true },
    { 1000, 1000, 1001, true },
    { 1000, 1001, 1001, false },
    { 1000, 0, 1000 + LBD_CONFIRM_TIMEOUT_NS / kMs, false },
  };
  for (const auto &c : cases)
    EXPECT_EQ (lbd_order_is_fresh (c.stamp_ms * kMs, c.process_ms * kMs,
                                   c.now_ms * kMs),
               c.fresh)
        << c.stamp_ms << " " << c.process_ms << " " << c.now_ms;
}

// Guards against starts at a minion whose lease outlasts the time after which
// its entries count the runs of a lost agent as ended.
TEST (LeaseBounds, EntriesWaitForTheLeasesOfAbleMinions)
{
  const uint64_t wait_ns = lbd_runs_ended_by (0);
  const struct
  {
    uint64_t left_ns;
    bool covered;
  } cases[] = {
    { 0, true },
    { lbd_lease_expiry (0, LBD_LEASE_NS), true },
    { lbd_lease_expiry (0, 1000 * kMs), true },
    { wait_ns, true },
    { wait_ns + 1, false },
    { lbd_lease_expiry (0, 2000 * kMs), false },
  };
  for (const auto &c : cases)
    EXPECT_EQ (lbd_covers_lease (5000 + c.left_ns, 5000), c.covered)
        << c.left_ns;
}

TEST (LeaseBounds, RunsOfALostAgentEndBeforeTheCallerResends)
{
  EXPECT_LE (lbd_runs_ended_by (0), kResendNs);
  EXPECT_GT (lbd_runs_ended_by (0), LBD_CONFIRM_TIMEOUT_NS + LBD_LEASE_NS);
}

TEST (LeaseBounds, LeaseEndAllowsForASlowMinionClock)
{
  /* The platform bounds clock drift at two per cent.  */
  EXPECT_GE (lbd_lease_expiry (0, 500 * kMs), 500 * kMs * 102 / 100);
}

/* A tracker with callbacks that record ends and stops.  */
class Runtracker : public testing::Test
{
protected:
  static constexpr uint64_t kStopNs = 50 * kMs;
  static constexpr uint64_t kRetryNs = kStopNs + RTK_STOP_TRANSFER_NS;
  static constexpr unsigned kStopsMax = 4;
  void
  SetUp () override
  {
    const struct rtk_events events = { ended, stop, this };
    const struct rtk_limits limits = { kStopNs, kStopsMax };
    rtk_init (&tracker, nullptr, &events, &limits);
    tracker.total = { 8000, 8000, 0 };
  }
  void
  TearDown () override
  {
    rtk_finish (&tracker);
  }
  static void
  ended (struct rtk_run *run, enum rtk_outcome how, void *priv)
  {
    static_cast<Runtracker *> (priv)->ends.emplace_back (run->name, how);
  }
  static void
  stop (struct rtk_run *run, void *priv)
  {
    static_cast<Runtracker *> (priv)->stops.emplace_back (run->name);
  }
  struct rtk_run *
  order (const char *name, uint32_t mcores = 1000, uint64_t owner = 5,
         uint64_t now = 0)
  {
    const struct amt_amount need = { mcores, 10, 0 };
    struct rtk_run *run
        = rtk_add (&tracker, lv_slice_of (name), 1, &need, now);
    if (run != nullptr)
      run->owner = owner;
    return run;
  }
  void
  list (std::vector<const char *> names, uint64_t asked, uint64_t now,
        uint32_t percent = 10)
  {
    std::vector<struct rtk_listed_run> rows;
    for (const char *n : names)
      rows.push_back ({ lv_slice_of (n), 1, percent, RTK_DONE });
    rtk_apply_running (&tracker, rows.data (), rows.size (), asked, now);
  }
  struct rtk_tracker tracker;
  std::vector<std::pair<std::string, enum rtk_outcome>> ends;
  std::vector<std::string> stops;
};

TEST_F (Runtracker, RefusesRunsThatDoNotFit)
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

TEST_F (Runtracker, RefusesATaskThatAlreadyRuns)
{
  EXPECT_NE (order ("a"), nullptr);
  EXPECT_EQ (order ("a"), nullptr);
}

TEST_F (Runtracker, ResourcesAreHeldUntilTheEndIsListed)
{
  const struct rtk_listed_run end = { lv_slice_of ("a"), 1, 100, RTK_DONE };
  struct rtk_run *run = order ("a", 8000);
  rtk_mark_started (&tracker, run, 1);
  EXPECT_EQ (rtk_free_amount (&tracker).mcores, 0u);
  rtk_stop (&tracker, run, 2);
  rtk_stop_answered (&tracker, run, true, 3);
  list ({ "a" }, 4, 5);
  EXPECT_EQ (rtk_free_amount (&tracker).mcores, 0u);
  rtk_apply_ends (&tracker, &end, 1);
  EXPECT_EQ (rtk_free_amount (&tracker).mcores, 8000u);
  ASSERT_EQ (ends.size (), 1u);
  EXPECT_EQ (ends[0].second, RTK_DONE);
}

TEST_F (Runtracker, UnansweredOrderEndsOnlyAfterItsStopIsAcked)
{
  const struct
  {
    bool acked;
    uint64_t asked;
    bool ended;
  } cases[] = {
    { false, 100, false }, /* stop not acknowledged */
    { true, 40, false },   /* listing requested before the ack */
    { true, 60, true },
  };
  for (const auto &c : cases)
    {
      rtk_finish (&tracker);
      ends.clear ();
      struct rtk_run *run = order ("a");
      rtk_stop (&tracker, run, 10);
      if (c.acked)
        rtk_stop_answered (&tracker, run, true, 50);
      list ({}, c.asked, 200);
      EXPECT_EQ (ends.size (), c.ended ? 1u : 0u) << c.asked;
    }
}

// Guards against an acknowledgement of leaving that a start may still follow.
TEST_F (Runtracker, AStartIsOpenUntilItOrItsStopIsAnswered)
{
  const struct
  {
    bool started;
    bool stopped;
    bool acked;
    bool open;
  } cases[] = {
    { false, false, false, true }, { true, false, false, false },
    { true, true, false, false },  { false, true, false, true },
    { false, true, true, false },
  };

  EXPECT_FALSE (rtk_any_start_open (&tracker));
  for (const auto &c : cases)
    {
      rtk_finish (&tracker);
      struct rtk_run *run = order ("a");
      if (c.started)
        rtk_mark_started (&tracker, run, 1);
      if (c.stopped)
        rtk_stop (&tracker, run, 2);
      if (c.acked)
        rtk_stop_answered (&tracker, run, true, 3);
      EXPECT_EQ (rtk_any_start_open (&tracker), c.open);
    }
}

TEST_F (Runtracker, ListingRequestedBeforeTheStartIsIgnored)
{
  struct rtk_run *run = order ("a");
  rtk_mark_started (&tracker, run, 100);
  list ({}, 90, 110); /* requested before the start: ignored */
  EXPECT_TRUE (ends.empty ());
  list ({}, 101, 120);
  ASSERT_EQ (ends.size (), 1u);
  EXPECT_EQ (ends[0].second, RTK_LAPSED);
}

TEST_F (Runtracker, UnknownRunIsStoppedAndBlocksAdmission)
{
  list ({ "x" }, 1, 2);
  EXPECT_EQ (stops, std::vector<std::string> ({ "x" }));
  EXPECT_EQ (rtk_free_amount (&tracker).mcores, 0u);
  struct rtk_run *run = rtk_find (&tracker, lv_slice_of ("x"));
  rtk_stop_answered (&tracker, run, true, 3);
  list ({}, 4, 5);
  EXPECT_EQ (rtk_free_amount (&tracker).mcores, 8000u);
}

TEST_F (Runtracker, UnansweredStopIsRepeated)
{
  rtk_stop (&tracker, order ("a"), 0);
  rtk_tick (&tracker, kRetryNs - 1);
  EXPECT_EQ (stops.size (), 1u);
  rtk_tick (&tracker, kRetryNs);
  EXPECT_EQ (stops.size (), 2u);
}

// Guards against a stop that a sound minion answers at its bound, and that
// counts as unanswered: it was sent again and again, with all others.
TEST_F (Runtracker, AStopAnsweredAtTheBoundIsNotRepeated)
{
  const struct
  {
    uint64_t answered_ns;
    size_t sent;
  } cases[] = { { kStopNs - kMs, 1 },
                { kStopNs, 1 },
                { kStopNs + kMs, 1 },
                { kRetryNs + kMs, 2 } };

  for (const auto &c : cases)
    {
      rtk_finish (&tracker);
      tracker.stops_open = 0;
      stops.clear ();
      struct rtk_run *run = order ("a");
      rtk_stop (&tracker, run, 0);
      for (uint64_t now = kMs; now < c.answered_ns; now += kMs)
        rtk_tick (&tracker, now);
      rtk_stop_answered (&tracker, run, true, c.answered_ns);
      rtk_tick (&tracker, c.answered_ns + kRetryNs);
      EXPECT_EQ (stops.size (), c.sent) << c.answered_ns;
    }
}

TEST_F (Runtracker, StopsWaitWhileTooManyAreUnanswered)
{
  const char *const names[] = { "a", "b", "c", "d", "e", "f" };

  for (const char *name : names)
    order (name);
  rtk_give_up_owner (&tracker, 5, 0);
  EXPECT_EQ (stops.size (), kStopsMax);
  rtk_stop_answered (&tracker, rtk_find (&tracker, lv_slice_of ("a")), true,
                     kMs);
  EXPECT_EQ (stops.size (), kStopsMax + 1);
  /* One for a run that has ended, or without an answer, makes room too.  */
  rtk_stop_answered (&tracker, nullptr, false, 2 * kMs);
  EXPECT_EQ (stops.size (), kStopsMax + 2);
  EXPECT_EQ (std::set<std::string> (stops.begin (), stops.end ()).size (),
             sizeof names / sizeof names[0]);
}

// Guards against a lease that is renewed for runs that were given up, and that
// are started elsewhere, while their stops take long.
TEST_F (Runtracker, TheLeaseIsNotRenewedWhileRunsGivenUpRemain)
{
  const uint64_t began = 7 * kMs;
  const uint64_t bound = began + LBD_STOP_GRACE_NS;
  const struct
  {
    const char *name;
    bool given_up;
    bool acked;
    bool gone;
    uint64_t at_ns;
    bool may_renew;
  } cases[] = {
    { "running", false, false, false, bound, true },
    { "being stopped", true, false, false, bound - 1, true },
    { "too long", true, false, false, bound, false },
    { "acknowledged, not listed as ended", true, true, false, bound, false },
    { "gone", true, true, true, bound, true },
  };

  for (const auto &c : cases)
    {
      rtk_finish (&tracker);
      tracker.stops_open = 0;
      order ("other", 1000, 6);
      struct rtk_run *run = order ("a");
      rtk_mark_started (&tracker, run, 1);
      rtk_mark_started (&tracker, rtk_find (&tracker, lv_slice_of ("other")),
                        1);
      if (c.given_up)
        rtk_give_up_owner (&tracker, 5, began);
      /* Given up again: the first time counts.  */
      if (c.given_up)
        rtk_give_up (&tracker, run, bound - 1);
      if (c.acked)
        rtk_stop_answered (&tracker, run, true, began + kMs);
      if (c.gone)
        list ({ "other" }, began + 2 * kMs, began + 3 * kMs);
      EXPECT_EQ (rtk_may_renew (&tracker, c.at_ns), c.may_renew) << c.name;
    }
}

// Guards against an agent that keeps alive the runs of the one before it, which
// their entries count as ended.
TEST_F (Runtracker, TheLeaseIsNotRenewedForRunsOfUnknownOrigin)
{
  list ({ "x" }, 1, 2);
  EXPECT_FALSE (rtk_may_renew (&tracker, 3));
  rtk_stop_answered (&tracker, rtk_find (&tracker, lv_slice_of ("x")), true,
                     4);
  list ({}, 5, 6);
  EXPECT_TRUE (rtk_may_renew (&tracker, 7));
}

// Guards against a stop that was sent for another reason and hides that the
// run is given up later.
TEST_F (Runtracker, ARunThatIsBeingStoppedCanBeGivenUp)
{
  struct rtk_run *run = order ("a");

  rtk_stop (&tracker, run, 0);
  EXPECT_TRUE (rtk_may_renew (&tracker, 10 * LBD_STOP_GRACE_NS));
  rtk_give_up (&tracker, run, kMs);
  EXPECT_FALSE (rtk_may_renew (&tracker, kMs + LBD_STOP_GRACE_NS));
  EXPECT_EQ (stops.size (), 1u);
}

TEST_F (Runtracker, StalledRunIsStopped)
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
      rtk_finish (&tracker);
      stops.clear ();
      struct rtk_run *run = order ("a");
      run->estimate_ms = c.estimate_ms;
      rtk_mark_started (&tracker, run, 0);
      rtk_tick (&tracker, c.at_ms * kMs);
      EXPECT_EQ (!stops.empty (), c.stopped) << c.at_ms;
    }
}

/* A run that takes far longer than its estimate may end if it goes on: one of
   70 s and more shows a new percent less often than the timeout, and was
   stopped again and again.  One that hangs is stopped all the same.  */
TEST_F (Runtracker, ALongRunWithAWrongEstimateMayEnd)
{
  const struct
  {
    uint64_t run_ms, hangs_at_ms, stopped_by_ms;
  } cases[] = {
    { 70000, UINT64_MAX, UINT64_MAX },
    { 71000, UINT64_MAX, UINT64_MAX },
    { 300000, UINT64_MAX, UINT64_MAX },
    { 70000, 35000, 35000 + 7 * 700 },
    { 300000, 150000, 150000 + 7 * 3000 },
    { 20000, 10000, 10000 + 2 * 700 },
  };
  for (const auto &c : cases)
    {
      uint64_t at = 0;

      rtk_finish (&tracker);
      stops.clear ();
      struct rtk_run *run = order ("a");
      run->estimate_ms = 1000;
      rtk_mark_started (&tracker, run, 0);
      for (; at < c.run_ms && stops.empty (); at += 100)
        {
          uint64_t worked = at < c.hangs_at_ms ? at : c.hangs_at_ms;
          struct rtk_listed_run listed = { lv_slice_of ("a"), run->attempt,
                                           uint32_t (worked * 100 / c.run_ms) };

          rtk_apply_running (&tracker, &listed, 1, at * kMs, at * kMs);
          rtk_tick (&tracker, at * kMs);
        }
      EXPECT_EQ (!stops.empty (), c.stopped_by_ms != UINT64_MAX) << c.run_ms;
      EXPECT_LE (at, c.stopped_by_ms) << c.run_ms;
    }
}

/* A crash says nothing of a task whose start the minion may never have
   executed: its job must not be blamed.  */
TEST_F (Runtracker, ACrashEndsOnlyExecutedRunsAsCrashed)
{
  const struct
  {
    const char *name;
    bool confirmed, listed;
    enum rtk_outcome end;
  } cases[] = {
    { "sent", false, false, RTK_LAPSED },
    { "confirmed", true, false, RTK_CRASHED },
    { "unanswered, but listed", false, true, RTK_CRASHED },
    { "confirmed and listed", true, true, RTK_CRASHED },
  };
  for (const auto &c : cases)
    {
      ends.clear ();
      struct rtk_run *run = order ("a");
      if (c.confirmed)
        rtk_mark_started (&tracker, run, 1);
      if (c.listed)
        list ({ "a" }, 2, 3);
      rtk_end_all (&tracker, RTK_CRASHED);
      ASSERT_EQ (ends.size (), 1u) << c.name;
      EXPECT_EQ (ends[0].second, c.end) << c.name;
    }
}

TEST_F (Runtracker, GivingUpAnOwnerStopsOnlyItsRuns)
{
  order ("a", 1000, 5);
  order ("b", 1000, 6);
  rtk_give_up_owner (&tracker, 5, 1);
  EXPECT_EQ (stops, std::vector<std::string> ({ "a" }));
  rtk_end_all (&tracker, RTK_CRASHED);
  EXPECT_EQ (ends.size (), 2u);
  EXPECT_EQ (rtk_free_amount (&tracker).mcores, 8000u);
}

class Jobtable : public testing::Test
{
protected:
  void
  SetUp () override
  {
    jtb_init (&table, nullptr);
  }
  void
  TearDown () override
  {
    jtb_finish (&table);
  }
  struct jtb_job *
  add (const char *id, uint32_t count = 1, uint64_t target_ms = 100,
       uint32_t priority = 0, uint64_t now = 0)
  {
    const struct jtb_params d
        = { lv_slice_of (id), lv_slice_of ("s"),  lv_slice_of ("svc"),
            { 1000, 1, 0 },   50,                 count,
            priority,         2,                  target_ms * kMs,
            1000 * kMs };
    return jtb_add (&table, &d, now);
  }
  std::string
  sequence ()
  {
    std::string out;
    for (struct jtb_job *j = table.queue; j != nullptr; j = j->next)
      out += j->id;
    return out;
  }
  struct jtb_table table;
};

TEST_F (Jobtable, LeastSlackFirstWithinAPriority)
{
  add ("c", 1, 300);
  add ("a", 1, 100);
  add ("z", 1, 50, 1);
  add ("b", 1, 200);
  EXPECT_EQ (sequence (), "abcz");
}

TEST_F (Jobtable, LateJobsAreQueuedLast)
{
  add ("a", 1, 100);
  add ("b", 1, 400);
  add ("z", 1, 600, 2);
  jtb_demote_late (&table, 51 * kMs); /* 100 ms target, less 50 ms of work */
  EXPECT_EQ (sequence (), "bza");
}

/* After an outage all jobs start at once.  Resources must go to jobs that can
   still be on time; a late job keeps its place only while few of its tasks
   wait.  */
TEST_F (Jobtable, LateJobKeepsItsPlaceWhileFewTasksWait)
{
  const struct
  {
    uint32_t count;
    uint32_t waiting;
    uint64_t now_ms;
    const char *sequence;
  } cases[] = {
    { 10, 10, 50, "ab" }, /* can still be on time */
    { 10, 10, 51, "ba" }, { 10, 3, 51, "ba" }, { 10, 2, 51, "ab" },
    { 5, 1, 250, "ab" },  { 4, 1, 51, "ba" },
    { 10, 1, 301, "ba" }, /* past the grace time */
  };
  for (const auto &c : cases)
    {
      struct jtb_job *job = add ("a", c.count, 100);
      struct jtb_job *other = add ("b", 1, 900);
      for (uint32_t i = c.waiting; i < c.count; i++)
        jtb_place (&table, &job->tasks[i], this, 1);
      jtb_demote_late (&table, c.now_ms * kMs);
      EXPECT_EQ (sequence (), c.sequence)
          << c.waiting << " of " << c.count << " at " << c.now_ms;
      jtb_remove (&table, job);
      jtb_remove (&table, other);
    }
}

TEST_F (Jobtable, JobWithOneLostTaskKeepsItsPlaceWhileUseful)
{
  const struct
  {
    uint64_t now_ms;
    const char *sequence;
  } cases[] = { { 60, "ab" }, { 250, "ab" }, { 301, "ba" } };
  struct jtb_job *job = add ("a", 8, 100);
  add ("b", 1, 900);
  for (uint32_t i = 0; i < 8; i++)
    jtb_place (&table, &job->tasks[i], this, 1);
  jtb_requeue (&table, &job->tasks[0], false); /* backend server lost */
  for (const auto &c : cases)
    {
      jtb_demote_late (&table, c.now_ms * kMs);
      EXPECT_EQ (sequence (), c.sequence) << c.now_ms;
    }
}

/* Resources are kept free for the first job that does not fit.  It must not
   lose its place to small jobs just before they suffice.  */
TEST_F (Jobtable, JobWithAReservationKeepsItsPlaceForABoundedTime)
{
  const struct
  {
    bool reserving;
    uint64_t now_ms;
    const char *sequence;
  } cases[] = {
    { false, 50, "ab" }, { false, 51, "ba" },
    { true, 51, "ab" },  { true, 50 + JTB_RESERVATION_NS / kMs - 1, "ab" },
    { true, 50 + JTB_RESERVATION_NS / kMs, "ba" },
  };
  for (const auto &c : cases)
    {
      struct jtb_job *job = add ("a", 1, 100);
      struct jtb_job *other = add ("b", 1, 900);
      job->reserving = c.reserving;
      jtb_demote_late (&table, c.now_ms * kMs);
      EXPECT_EQ (sequence (), c.sequence) << c.reserving << " " << c.now_ms;
      jtb_remove (&table, job);
      jtb_remove (&table, other);
    }
}

/* Starvation by small tasks: twelve callers keep tasks of one core coming to a
   host of eight, and jobs of six cores arrive beside them.  Ends are seen some
   time after they happen.  */
class LargeBesideSmall : public Jobtable
{
protected:
  void
  SetUp () override
  {
    Jobtable::SetUp ();
    for (int i = 0; i < 12; i++)
      submit ("s" + std::to_string (i), 1000, 60);
  }
  void
  submit (const std::string &id, uint32_t mcores, uint32_t run_ms)
  {
    const struct jtb_params p
        = { lv_slice_of (id.c_str ()), lv_slice_of ("s"),
            lv_slice_of ("svc"),       { mcores, 1, 0 },
            run_ms,                    1,
            0,                         2,
            (run_ms * 16 / 10 + 60) * kMs, 1500 * kMs };
    jtb_add (&table, &p, now_ms * kMs);
  }
  /* The placement pass of the dispatcher, for one host.  */
  void
  place ()
  {
    struct jtb_job *job, *next;
    jtb_demote_late (&table, now_ms * kMs);
    for (job = table.queue; job != nullptr; job = next)
      {
        next = job->next;
        if (job->need.mcores > free_mcores)
          {
            job->reserving = 2 * job->need.mcores > 8000;
            break;
          }
        free_mcores -= job->need.mcores;
        ends.push_back ({ job->id, now_ms + job->estimate_ms });
        jtb_place (&table, &job->tasks[0], this, now_ms * kMs);
      }
  }
  void
  see_ends (uint64_t delay_ms)
  {
    for (size_t i = 0; i < ends.size ();)
      {
        if (now_ms < ends[i].second + delay_ms)
          {
            i++;
            continue;
          }
        const std::string id = ends[i].first;
        ends.erase (ends.begin () + i);
        struct jtb_job *job = jtb_find (&table, lv_slice_of (id.c_str ()));
        free_mcores += job->need.mcores;
        large_served += id[0] == 'L';
        jtb_remove (&table, job);
        if (id[0] == 's')
          submit (id, 1000, 60);
      }
  }
  uint64_t now_ms = 0;
  uint32_t free_mcores = 8000;
  int large_served = 0;
  std::vector<std::pair<std::string, uint64_t>> ends;
};

TEST_F (LargeBesideSmall, AreServedThoughEndsAreSeenLate)
{
  for (uint64_t delay_ms : { 0, 20, 40, 60, 80 })
    {
      large_served = 0;
      for (int i = 0; i < 10; i++)
        {
          submit ("L" + std::to_string (i), 6000, 100);
          for (int ms = 0; ms < 560; ms++, now_ms++)
            {
              see_ends (delay_ms);
              place ();
            }
          struct jtb_job *late = jtb_find (
              &table, lv_slice_of (("L" + std::to_string (i)).c_str ()));
          if (late != nullptr && late->orders == 0)
            jtb_remove (&table, late);
        }
      EXPECT_GE (large_served, 8) << delay_ms;
    }
}

TEST_F (Jobtable, AnswerIsUsefulUpToThreeTimesTheTarget)
{
  const struct
  {
    uint64_t now_ms;
    bool past_grace;
  } cases[] = { { 1000, false }, { 1100, false }, { 1300, false },
                { 1301, true } };
  const struct jtb_job *job = add ("a", 1, 100, 0, 1000 * kMs);
  for (const auto &c : cases)
    EXPECT_EQ (jtb_past_grace (job, c.now_ms * kMs), c.past_grace) << c.now_ms;
}

TEST_F (Jobtable, LatestStartLeavesTimeForAUsefulAnswer)
{
  const struct
  {
    uint64_t target_ms, until_ms;
  } cases[] = { { 100, 250 }, { 200, 550 }, { 400, 950 } /* timeout */,
                { 10, 0 } };
  for (const auto &c : cases)
    {
      struct jtb_job *job = add ("a", 1, c.target_ms);
      EXPECT_EQ (jtb_latest_start (job), c.until_ms * kMs) << c.target_ms;
      jtb_remove (&table, job);
    }
}

TEST_F (Jobtable, CompleteWhenAllTasksAreDone)
{
  struct jtb_job *job = add ("a", 2);
  jtb_place (&table, &job->tasks[0], this, 1);
  jtb_place (&table, &job->tasks[1], this, 1);
  EXPECT_EQ (table.queue, nullptr);
  EXPECT_EQ (jtb_mark_done (&table, &job->tasks[1]), JTB_OPEN);
  EXPECT_EQ (jtb_mark_done (&table, &job->tasks[0]), JTB_COMPLETE);
}

TEST_F (Jobtable, OnlyFailuresUseUpAttempts)
{
  const struct
  {
    bool failed;
    enum jtb_job_status status;
  } cases[] = { { false, JTB_OPEN },
                { true, JTB_OPEN },
                { false, JTB_OPEN },
                { true, JTB_FAILED } };
  struct jtb_job *job = add ("a");
  uint32_t attempt = 0;
  for (const auto &c : cases)
    {
      jtb_place (&table, &job->tasks[0], this, 1);
      EXPECT_EQ (job->tasks[0].attempt, ++attempt);
      EXPECT_EQ (jtb_requeue (&table, &job->tasks[0], c.failed), c.status);
      EXPECT_EQ (job->tasks[0].avoid, this);
    }
}

TEST_F (Jobtable, UnreachableTaskIsNotRequeuedBeforeItsRunEnds)
{
  struct jtb_job *job = add ("a");
  jtb_place (&table, &job->tasks[0], this, 1);
  jtb_mark_unreachable (&table, this, 500);
  EXPECT_EQ (jtb_find_lapsed (&table, 499), nullptr);
  EXPECT_EQ (job->waiting, 0u);
  ASSERT_EQ (jtb_find_lapsed (&table, 500), &job->tasks[0]);
  jtb_requeue (&table, &job->tasks[0], false);
  EXPECT_EQ (job->waiting, 1u);
  EXPECT_EQ (jtb_find_lapsed (&table, 500), nullptr);
}

TEST_F (Jobtable, FormerRunNumberIsNotFound)
{
  struct jtb_job *job = add ("a");
  jtb_place (&table, &job->tasks[0], this, 1);
  const uint64_t former = job->tasks[0].run;
  jtb_requeue (&table, &job->tasks[0], false);
  jtb_place (&table, &job->tasks[0], this, 2);
  EXPECT_EQ (jtb_find_run (&table, former), nullptr);
  EXPECT_EQ (jtb_find_run (&table, job->tasks[0].run), &job->tasks[0]);
}

TEST_F (Jobtable, WaitingWorkIsCountedOnce)
{
  struct jtb_job *job = add ("a", 3);
  EXPECT_EQ (table.waiting_mcore_ms, 3u * 50000);
  jtb_place (&table, &job->tasks[0], this, 1);
  EXPECT_EQ (table.waiting_mcore_ms, 2u * 50000);
  jtb_requeue (&table, &job->tasks[0], false);
  jtb_remove (&table, job);
  EXPECT_EQ (table.waiting_mcore_ms, 0u);
  EXPECT_EQ (table.jobs, nullptr);
}

TEST_F (Jobtable, IdsAreUniqueAndBounded)
{
  EXPECT_NE (add ("a"), nullptr);
  EXPECT_EQ (add ("a"), nullptr);
  EXPECT_EQ (add (std::string (JTB_ID_MAX, 'x').c_str ()), nullptr);
}

cnd_candidate
make_candidate (uint32_t free, double slowness = 1, bool same_domain = false)
{
  return { true, true, same_domain, { 8000, 8000, 0 }, { free, 8000, 0 },
           slowness };
}

TEST (Candidate, PrefersFastNearAndIdleCandidates)
{
  const struct
  {
    std::vector<cnd_candidate> candidates;
    int avoid;
    int expect;
  } cases[] = {
    { { make_candidate (500), make_candidate (900) }, -1, -1 },
    { { make_candidate (500), make_candidate (4000) }, -1, 1 },
    { { make_candidate (8000), make_candidate (2000) }, -1, 0 },
    { { make_candidate (8000, 2), make_candidate (8000) }, -1, 1 },
    { { make_candidate (8000), make_candidate (8000, 1, true) }, -1, 1 },
    { { make_candidate (8000), make_candidate (1000, 3) }, 0, 1 },
    { { make_candidate (8000) }, 0, 0 },
  };
  for (const auto &c : cases)
    {
      const struct cnd_task task = { { 1000, 10, 0 }, c.avoid, 0 };
      EXPECT_EQ (
          cnd_select (c.candidates.data (), c.candidates.size (), &task),
          c.expect);
    }
}

TEST (Candidate, SpreadCoversEqualCandidates)
{
  const std::vector<cnd_candidate> candidates (4, make_candidate (8000));
  std::vector<int> seen (4);
  for (int i = 0; i < 100; i++)
    {
      const struct cnd_task task = { { 1000, 10, 0 }, -1, i / 100.0 };
      seen[cnd_select (candidates.data (), 4, &task)]++;
    }
  for (int n : seen)
    EXPECT_GT (n, 0);
}

TEST (Candidate, AnyCouldFitComparesTotals)
{
  const std::vector<cnd_candidate> candidates (2, make_candidate (0));
  const struct amt_amount fits = { 8000, 1, 0 };
  const struct amt_amount not_at_all = { 8001, 1, 0 };
  EXPECT_TRUE (cnd_any_could_fit (candidates.data (), 2, &fits));
  EXPECT_FALSE (cnd_any_could_fit (candidates.data (), 2, &not_at_all));
}

/* Only a task that waits for most of an agent keeps its place when late: in an
   overload of ordinary tasks, resources go to those that are on time.  */
TEST (Candidate, LargeTasksFitOnlyOnceIntoAnyUsableAgent)
{
  const struct
  {
    uint32_t mcores;
    bool other_usable;
    bool large;
  } cases[] = { { 1000, false, false }, { 4000, false, false },
                { 4001, false, true },  { 6000, false, true },
                { 6000, true, false },  { 8001, true, true } };
  for (const auto &c : cases)
    {
      std::vector<cnd_candidate> all
          = { make_candidate (0), make_candidate (0) };
      const struct amt_amount need = { c.mcores, 1, 0 };
      all[1].total = { 16000, 8000, 0 };
      all[1].usable = c.other_usable;
      EXPECT_EQ (cnd_is_large (all.data (), all.size (), &need), c.large)
          << c.mcores;
    }
}

TEST (Candidate, UsableCouldFitIgnoresUnusableCandidates)
{
  std::vector<cnd_candidate> candidates (2, make_candidate (0));
  candidates[0].total.mcores = 9000;
  candidates[0].usable = false;
  const struct
  {
    uint32_t mcores;
    bool fits;
  } cases[] = { { 8000, true }, { 8001, false }, { 9000, false } };
  for (const auto &c : cases)
    {
      const struct amt_amount need = { c.mcores, 1, 0 };
      EXPECT_EQ (cnd_usable_could_fit (candidates.data (), 2, &need), c.fits)
          << c.mcores;
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

TEST (Catalog, FindsTheLongestPrefixOfTheHost)
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

TEST (Catalog, AdoptsOnlyNewerVersions)
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

TEST (Catalog, RefusesAQueueWithoutAService)
{
  struct cat_config *c = cat_new (nullptr, 1, 1);
  EXPECT_LT (cat_build_index (c), 0);
  talloc_free (c);
}

/* Guards against a token that wraps: after some fifty refusals it was lower
   than those of former lives, and negative on the wire.  */
TEST (FenceToken, RisesAboveWhatTheMinionHasSeenAndNeverWraps)
{
  const struct
  {
    uint64_t wall_ms, seen;
    unsigned refusals;
    bool reached;
  } cases[] = {
    { 1000, 1000, 0, true },
    { 1000, 500000, 9, true },
    { 0, 1800000000000ULL, 31, true }, /* a clock that begins at zero */
    { 1800000000000ULL, FTK_MAX, 70, true },
    { UINT64_MAX, FTK_MAX, 0, true },
    { 1000, UINT64_MAX, 200, false },
  };
  for (const auto &c : cases)
    {
      struct ftk_token t;
      ftk_init (&t, c.wall_ms);
      unsigned refusals = 0;
      for (; t.value < c.seen && refusals < 200; refusals++)
        {
          uint64_t before = t.value;
          ftk_refuse (&t);
          ASSERT_GE (t.value, before) << c.seen;
          ASSERT_LE (t.value, FTK_MAX) << c.seen;
        }
      EXPECT_EQ (t.value >= c.seen, c.reached) << c.seen;
      EXPECT_LE (refusals, c.refusals) << c.seen;
    }
}

// Guards against a start on its way to a process that has ended, and that the
// one which follows executes.
TEST (FenceToken, RisesWithEachProcessOfTheMinion)
{
  const struct
  {
    uint64_t begin;
    uint64_t raised;
  } cases[] = { { 0, 1 }, { 1000, 1001 }, { FTK_MAX, FTK_MAX } };

  for (const auto &c : cases)
    {
      struct ftk_token token;
      ftk_init (&token, c.begin);
      ftk_raise (&token);
      EXPECT_EQ (token.value, c.raised);
    }
}

TEST (FenceToken, AnAcceptedTokenRisesBySmallStepsAgain)
{
  struct ftk_token t;
  ftk_init (&t, 0);
  for (int i = 0; i < 20; i++)
    ftk_refuse (&t);
  uint64_t before = t.value;
  ftk_accept (&t);
  EXPECT_EQ (t.value, before);
  ftk_refuse (&t);
  EXPECT_EQ (t.value, before + FTK_STEP_MS);
}
}
