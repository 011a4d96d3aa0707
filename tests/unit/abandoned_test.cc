#include <algorithm>
#include <gtest/gtest.h>
#include <random>
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
}
