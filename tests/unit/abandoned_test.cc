#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>
extern "C"
{
#include "lagoonvale/abandoned.h"
}

namespace
{
class Abandoned : public testing::Test
{
protected:
  Abandoned () { abd_init (&runs, nullptr); }
  ~Abandoned () override { abd_finish (&runs); }

  void
  add (const char *id, uint64_t number, const void *agent,
       uint64_t ended_by = ABD_UNTIL_REPORTED)
  {
    abd_add (&runs, lv_slice_of (id), number, agent, ended_by);
  }
  bool
  any (const char *id)
  {
    return abd_any (&runs, lv_slice_of (id));
  }
  void
  list (const void *agent, const std::vector<uint64_t> &numbers,
        uint64_t others_ended_by)
  {
    abd_agent_listed (&runs, agent, numbers.data (), numbers.size (),
                      others_ended_by);
  }
  struct abd_runs runs;
  int a = 0, b = 0; /* agents */
};

/* A job that is sent again at once must wait for all of its former runs, or
   one of its tasks runs on two minions at a time.  */
TEST_F (Abandoned, AJobHasRunsUntilTheLastHasEnded)
{
  EXPECT_FALSE (any ("x"));
  add ("x", 1, &a);
  add ("x", 2, &b);
  add ("y", 3, &b);
  EXPECT_TRUE (abd_ended (&runs, 1));
  EXPECT_FALSE (abd_ended (&runs, 1));
  EXPECT_TRUE (any ("x"));
  EXPECT_TRUE (abd_ended (&runs, 2));
  EXPECT_FALSE (any ("x"));
  EXPECT_TRUE (any ("y"));
  EXPECT_EQ (abd_expire (&runs, UINT64_MAX - 1), 0u);
}

/* Each way in which the end of run 1 at agent A may become known: after the
   events of LOST and JOINED it is gone from the time GONE on.  */
TEST_F (Abandoned, TheRunsOfALostAgentEndWhenItsLeaseHasLapsed)
{
  const struct
  {
    const char *name;
    bool unreachable; /* at the time of the withdrawal */
    bool lost, joined, listed;
    uint64_t others_ended_by, gone;
  } cases[] = {
    { "connected", false, false, false, false, 0, UINT64_MAX },
    { "unreachable", true, false, false, false, 0, 100 },
    { "lost later", false, true, false, false, 0, 200 },
    { "unreachable, lost again", true, true, false, false, 0, 100 },
    { "joined again, still there", false, true, true, true, 0, UINT64_MAX },
    { "unreachable, joined, there", true, false, true, true, 0, UINT64_MAX },
    { "joined again, not there", false, true, true, false, 0, 0 },
    { "joined, does not know yet", false, true, true, false, 300, 200 },
    { "joined in place, does not know", false, false, true, false, 300, 300 },
  };

  for (const auto &c : cases)
    {
      abd_finish (&runs);
      add ("x", 1, &a, c.unreachable ? 100 : ABD_UNTIL_REPORTED);
      if (c.lost)
        abd_agent_lost (&runs, &a, 200);
      if (c.joined)
        list (&a, c.listed ? std::vector<uint64_t> ({ 1 })
                           : std::vector<uint64_t> ({ 7 }),
              c.others_ended_by);
      if (c.gone > 0)
        {
          abd_expire (&runs, c.gone - 1);
          EXPECT_TRUE (any ("x")) << c.name;
        }
      if (c.gone < UINT64_MAX)
        {
          abd_expire (&runs, c.gone);
          EXPECT_FALSE (any ("x")) << c.name;
        }
    }
}

/* What happens at one agent must not end the runs at another one.  */
TEST_F (Abandoned, OnlyTheRunsOfThatAgentAreConcerned)
{
  add ("x", 1, &a);
  add ("x", 2, &b);
  abd_agent_lost (&runs, &a, 10);
  list (&a, {}, 0);
  EXPECT_EQ (abd_expire (&runs, 1000), 1u);
  EXPECT_TRUE (any ("x"));
}

/* Withdrawals of many jobs at once must not keep anything for good.  */
TEST_F (Abandoned, ManyRunsEndInAnyOrder)
{
  constexpr uint64_t kRuns = 100000;
  std::mt19937 random (1);
  std::vector<uint64_t> order;

  for (uint64_t i = 0; i < kRuns; i++)
    {
      add (("j" + std::to_string (i / 4)).c_str (), i, i % 2 ? &a : &b);
      order.push_back (i);
    }
  std::shuffle (order.begin (), order.end (), random);
  for (uint64_t i : order)
    ASSERT_TRUE (abd_ended (&runs, i));
  EXPECT_EQ (runs.runs, nullptr);
  EXPECT_EQ (runs.jobs, nullptr);
}

/* An agent of a random history: runs end there by their stops, or by the lease
   once the agent is lost.  Times in ms.  */
struct Agent
{
  bool connected = true;
  uint64_t lost = 0;
  std::map<uint64_t, uint64_t> ends, reports; /* run: time */
  std::set<uint64_t> orphans; /* runs of its former process: not renewed */
};

constexpr uint64_t kLease = 1162, kStop = 50, kLatency = 30, kSteps = 4000;

class History : public Abandoned
{
protected:
  uint64_t
  below (uint64_t n)
  {
    return std::uniform_int_distribution<uint64_t> (0, n - 1) (random);
  }

  void
  withdraw (uint64_t now)
  {
    std::string id = "j" + std::to_string (below (4));

    if (any (id.c_str ()))
      return; /* its repetition still waits: nothing is placed */
    for (uint64_t i = below (4) + 1; i > 0; i--)
      {
        Agent &at = agents[below (3)];
        uint64_t run = ++last;

        jobs[run] = id;
        at.ends[run] = at.connected ? now + below (kStop)
                                    : at.lost + below (kLease);
        at.reports[run] = at.ends[run] + below (kLatency);
        add (id.c_str (), run, &at,
             at.connected ? ABD_UNTIL_REPORTED : at.lost + kLease);
      }
  }

  void
  lose (Agent &at, uint64_t now)
  {
    at.connected = false;
    at.lost = now;
    for (auto &end : at.ends)
      if (end.second > now && at.orphans.count (end.first) == 0)
        {
          end.second = now + below (kLease);
          at.reports.erase (end.first);
        }
    abd_agent_lost (&runs, &at, now + kLease);
  }

  /* AT joins again: as the same process, which lists its runs, or as a new
     one, which finds them at its minion and stops them.  */
  void
  join (Agent &at, uint64_t now, bool restarted)
  {
    std::vector<uint64_t> listed;
    bool synced = !restarted;

    at.connected = true;
    if (restarted)
      at.reports.clear ();
    for (auto &end : at.ends)
      {
        if (end.second <= now)
          continue;
        if (restarted)
          at.orphans.insert (end.first);
        if (at.orphans.count (end.first) > 0)
          synced = false;
        else
          {
            listed.push_back (end.first);
            at.reports[end.first] = end.second + below (kLatency);
          }
      }
    list (&at, listed, synced ? 0 : now + kLease);
  }

  void
  report (Agent &at, uint64_t now)
  {
    for (auto it = at.reports.begin (); it != at.reports.end ();)
      if (it->second <= now && at.connected)
        {
          abd_ended (&runs, it->first);
          it = at.reports.erase (it);
        }
      else
        ++it;
  }

  void
  check (uint64_t now)
  {
    for (const Agent &at : agents)
      for (const auto &end : at.ends)
        if (end.second > now)
          {
            ASSERT_TRUE (any (jobs[end.first].c_str ()))
                << "run " << end.first << " at " << now;
          }
  }

  void
  play (unsigned seed)
  {
    random.seed (seed);
    agents = std::vector<Agent> (3);
    jobs.clear ();
    for (uint64_t now = 1; now < kSteps; now++)
      {
        if (now < kSteps / 2 && below (20) == 0)
          withdraw (now);
        for (Agent &at : agents)
          {
            if (now < kSteps / 2 && below (400) == 0)
              {
                if (at.connected)
                  lose (at, now);
                else
                  join (at, now, below (2));
              }
            report (at, now);
          }
        abd_expire (&runs, now);
        check (now);
      }
    EXPECT_EQ (runs.runs, nullptr);
  }

  std::mt19937 random;
  std::vector<Agent> agents;
  std::map<uint64_t, std::string> jobs;
  uint64_t last = 0;
};

/* Guards against any order of withdrawals, losses, joins and restarts after
   which a job is placed while a run of it goes on, or waits for good.  */
TEST_F (History, NoJobIsFreeWhileARunGoesOnAndNoneWaitsForGood)
{
  for (unsigned seed = 0; seed < 1000 && !HasFailure (); seed++)
    {
      SCOPED_TRACE (seed);
      play (seed);
      abd_finish (&runs);
    }
}
}
