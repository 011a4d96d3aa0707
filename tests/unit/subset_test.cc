#include <algorithm>
#include <gtest/gtest.h>
#include <string>
#include <vector>
extern "C"
{
#include "lagoonvale/subset.h"
}

namespace
{
std::string
select_ranks (std::vector<struct sst_member> entries, unsigned max)
{
  std::string out;
  sst_select (entries.data (), (unsigned)entries.size (), max);
  for (const auto &m : entries)
    if (m.selected)
      out += std::to_string (m.rank);
  return out;
}

TEST (Subset, SelectsByRankUntilEnoughAreReachable)
{
  const struct
  {
    std::vector<struct sst_member> entries;
    unsigned max;
    const char *selected;
  } cases[] = {
    { {}, 3, "" },
    { { { 1, true, 0, 0 }, { 2, true, 0, 0 } }, 3, "21" },
    { { { 1, true, 0, 0 }, { 2, true, 0, 0 }, { 3, true, 0, 0 } }, 2, "32" },
    { { { 1, true, 0, 0 }, { 2, true, 0, 0 }, { 3, false, 0, 0 } },
      2,
      "321" }, /* the third is unreachable: one more is selected */
    { { { 1, false, 0, 0 }, { 2, false, 0, 0 }, { 3, false, 0, 0 } }, 1, "321" },
  };
  for (const auto &c : cases)
    EXPECT_EQ (select_ranks (c.entries, c.max), c.selected);
}

/* With 12,000 agents and 60 entries, no entry gets far more agents than its
   share, and the agents of a lost entry spread over all others.  */
TEST (Subset, EntriesGetSimilarNumbersOfAgents)
{
  constexpr unsigned kEntries = 60, kAgents = 12000, kSelected = 12;
  std::vector<unsigned> held (kEntries), taken (kEntries);
  for (unsigned a = 0; a < kAgents; a++)
    {
      std::string agent = "side-" + std::to_string (a);
      std::vector<struct sst_member> entries;
      for (uintptr_t e = 0; e < kEntries; e++)
        {
          std::string entry = "10.0.0." + std::to_string (e) + ":8000";
          entries.push_back ({ sst_rank ({ agent.data (), agent.size () },
                                         { entry.data (), entry.size () }),
                               true, false, (void *)e });
        }
      for (bool lost : { false, true })
        {
          for (auto &m : entries)
            m.reachable = !lost || (uintptr_t)m.priv != 7;
          sst_select (entries.data (), kEntries, kSelected);
          for (auto &m : entries)
            if (m.selected)
              (lost ? taken : held)[(uintptr_t)m.priv]++;
        }
    }
  for (unsigned e = 0; e < kEntries; e++)
    {
      EXPECT_NEAR (held[e], kAgents * kSelected / kEntries, 250) << e;
      if (e != 7)
        {
          EXPECT_GE (taken[e], held[e]) << e;
          EXPECT_LT (taken[e], held[e] + 120) << e;
        }
    }
}
} // namespace
