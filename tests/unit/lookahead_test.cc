#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <vector>
extern "C"
{
#include "lagoonvale/lookahead.h"
}

namespace
{
constexpr uint32_t kHorizonMs = 200;

struct amt_amount
cores (uint32_t mcores)
{
  return { mcores, 100, 0 };
}

struct lkh_agent
agent (uint32_t free_mcores,
       const std::vector<std::pair<uint32_t, uint32_t>> &ends,
       bool usable = true)
{
  struct lkh_agent a = {};

  a.usable = usable;
  a.free = { free_mcores, 10000, 0 };
  for (const auto &e : ends)
    {
      struct lkh_end end = { e.first, cores (e.second) };
      lkh_add_end (a.ends, &a.end_count, &end);
    }
  return a;
}

/* The expected end of a run must follow what is seen of it: a minion may be
   slow, and declared times are off by 40 per cent.  */
TEST (Lookahead, RemainingTimeFollowsTheProgress)
{
  const struct
  {
    uint64_t elapsed_ms;
    uint32_t percent;
    uint64_t estimate_ms;
    uint32_t left_ms;
  } cases[] = {
    { 0, 0, 100, 100 },  { 40, 0, 100, 60 },   { 40, 9, 100, 60 },
    { 40, 50, 100, 40 }, { 40, 10, 100, 360 }, { 40, 100, 100, 0 },
    { 100, 0, 100, 20 }, { 30, 0, 10, 10 },    { 1000, 5, 100, 200 },
  };

  for (const auto &c : cases)
    EXPECT_EQ (lkh_remaining_ms (c.elapsed_ms, c.percent, c.estimate_ms),
               c.left_ms)
        << c.elapsed_ms << " " << c.percent;
}

TEST (Lookahead, TheSoonestEndsAreKept)
{
  struct lkh_end ends[LKH_ENDS_MAX];
  unsigned count = 0;
  std::vector<uint32_t> all;
  std::mt19937 random (1);

  for (unsigned i = 0; i < 5 * LKH_ENDS_MAX; i++)
    {
      struct lkh_end end = { (uint32_t)(random () % 1000), cores (i) };
      all.push_back (end.in_ms);
      lkh_add_end (ends, &count, &end);
    }
  std::sort (all.begin (), all.end ());
  ASSERT_EQ (count, LKH_ENDS_MAX * 1u);
  for (unsigned i = 0; i < count; i++)
    EXPECT_EQ (ends[i].in_ms, all[i]);
}

/* A wide job behind which small ones take each gap: room is held for it where
   it fits first.  */
TEST (Lookahead, RoomIsHeldWhereTheTaskFitsFirst)
{
  const struct
  {
    const char *name;
    std::vector<struct lkh_agent> agents;
    int at; /* -1: none */
    uint32_t in_ms;
  } cases[] = {
    { "fits now", { agent (1000, {}), agent (6000, {}) }, 1, 0 },
    { "the first end suffices",
      { agent (1000, { { 50, 5000 } }), agent (1000, { { 30, 5000 } }) },
      1,
      30 },
    { "two ends are needed",
      { agent (0, { { 20, 3000 }, { 40, 3000 } }) },
      0,
      40 },
    { "beyond the horizon",
      { agent (0, { { kHorizonMs + 1, 8000 } }) },
      -1,
      0 },
    { "not usable", { agent (8000, {}, false) }, -1, 0 },
    { "no agent", {}, -1, 0 },
  };

  for (const auto &c : cases)
    {
      auto agents = c.agents;
      const struct amt_amount need = cores (6000);
      int at = lkh_hold (agents.data (), agents.size (), &need, kHorizonMs);

      EXPECT_EQ (at, c.at) << c.name;
      if (at < 0)
        continue;
      EXPECT_EQ (agents[at].held.mcores, 6000u) << c.name;
      EXPECT_EQ (agents[at].held_in_ms, c.in_ms) << c.name;
    }
}

/* A stream of small tasks beside it: they may use what is left, or what they
   give back in time even if their run times are off by 40 per cent.  */
TEST (Lookahead, OthersUseWhatDoesNotDelayTheHeldTask)
{
  const struct
  {
    const char *name;
    struct lkh_agent agent;
    uint32_t run_ms, room;
  } cases[] = {
    { "nothing held", agent (4000, {}), 1000, 4000 },
    { "ends in time", agent (4000, { { 90, 4000 } }), 60, 4000 },
    { "may end too late", agent (4000, { { 90, 4000 } }), 61, 2000 },
    { "fits beside it", agent (4000, { { 90, 6000 } }), 1000, 4000 },
    { "nothing is left", agent (4000, { { 90, 2000 } }), 1000, 0 },
  };

  for (const auto &c : cases)
    {
      struct lkh_agent a = c.agent;
      const struct amt_amount need = cores (6000);

      if (a.end_count > 0)
        {
          ASSERT_EQ (lkh_hold (&a, 1, &need, kHorizonMs), 0) << c.name;
        }
      EXPECT_EQ (lkh_room (&a, c.run_ms).mcores, c.room) << c.name;
    }
}

/* Random fleets and queues.  With exact run times, the job that room is held
   for is placed no later than if everything behind it had waited, and what is
   placed behind it is in nobody's way.  */
TEST (Lookahead, TheHeldJobIsNoLaterThanIfTheOthersWaited)
{
  struct Run
  {
    uint32_t ends_ms, mcores;
  };

  for (unsigned seed = 0; seed < 2000; seed++)
    {
      std::mt19937 random (seed);
      constexpr unsigned kAgents = 4;
      std::vector<Run> runs[kAgents];
      struct lkh_agent agents[kAgents];
      const struct amt_amount need = cores (2000 + random () % 5000);
      unsigned tasks = 1 + random () % 4;
      uint32_t expected_ms = 0;

      for (unsigned i = 0; i < kAgents; i++)
        {
          std::vector<std::pair<uint32_t, uint32_t>> ends;
          uint32_t used = 0;
          for (unsigned n = random () % LKH_ENDS_MAX; n > 0; n--)
            {
              Run r = { 1 + (uint32_t)random () % 150,
                        500 + (uint32_t)random () % 2000 };
              if (used + r.mcores > 8000)
                continue;
              used += r.mcores;
              runs[i].push_back (r);
              ends.push_back ({ r.ends_ms, r.mcores });
            }
          agents[i] = agent (8000 - used, ends);
        }
      unsigned at[4];
      bool held = true;
      for (unsigned t = 0; t < tasks && held; t++)
        {
          int found = lkh_hold (agents, kAgents, &need, kHorizonMs);
          held = found >= 0;
          at[t] = (unsigned)found;
          expected_ms = std::max (
              expected_ms, held ? agents[found].held_in_ms : 0);
        }
      if (!held)
        continue;
      /* Fill every agent with tasks of other jobs, as far as they may.  */
      for (unsigned i = 0; i < kAgents; i++)
        for (unsigned n = 0; n < 20; n++)
          {
            uint32_t run_ms = 1 + random () % 300;
            const struct amt_amount small = cores (300 + random () % 2000);
            struct amt_amount room = lkh_room (&agents[i], run_ms);

            if (!amt_fits (&room, &small))
              continue;
            amt_subtract (&agents[i].free, &small);
            runs[i].push_back ({ run_ms, small.mcores });
            if (run_ms * 3 / 2 > agents[i].held_in_ms)
              continue;
            struct lkh_end end = { run_ms, small };
            lkh_add_end (agents[i].ends, &agents[i].end_count, &end);
          }
      /* At the expected time each held task fits.  */
      uint32_t used[kAgents] = { 0 };
      for (unsigned i = 0; i < kAgents; i++)
        for (const Run &r : runs[i])
          used[i] += r.ends_ms > expected_ms ? r.mcores : 0;
      for (unsigned t = 0; t < tasks; t++)
        used[at[t]] += need.mcores;
      for (unsigned i = 0; i < kAgents; i++)
        {
          ASSERT_LE (used[i], 8000u) << "seed " << seed << " agent " << i;
        }
    }
}
}
