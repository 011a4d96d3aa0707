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
wanted (std::vector<struct sub_entry> members, unsigned most)
{
  std::string out;
  sub_select (members.data (), (unsigned)members.size (), most);
  for (const auto &m : members)
    if (m.selected)
      out += std::to_string (m.rank);
  return out;
}

TEST (Subset, TheHighestUntilEnoughAreReached)
{
  const struct
  {
    std::vector<struct sub_entry> members;
    unsigned most;
    const char *wanted;
  } cases[] = {
    { {}, 3, "" },
    { { { 1, true, 0, 0 }, { 2, true, 0, 0 } }, 3, "21" },
    { { { 1, true, 0, 0 }, { 2, true, 0, 0 }, { 3, true, 0, 0 } }, 2, "32" },
    { { { 1, true, 0, 0 }, { 2, true, 0, 0 }, { 3, false, 0, 0 } },
      2,
      "321" }, /* the third is out of reach: another in its place */
    { { { 1, false, 0, 0 }, { 2, false, 0, 0 }, { 3, false, 0, 0 } }, 1, "321" },
  };
  for (const auto &c : cases)
    EXPECT_EQ (wanted (c.members, c.most), c.wanted);
}

/* Pattern: 12,000 agents and 60 entries; no entry holds far more than its
   part, and a lost entry's agents spread over all others.  */
TEST (Subset, EntriesGetLikeNumbersOfAgents)
{
  constexpr unsigned kEntries = 60, kAgents = 12000, kMost = 12;
  std::vector<unsigned> held (kEntries), taken (kEntries);
  for (unsigned a = 0; a < kAgents; a++)
    {
      std::string agent = "side-" + std::to_string (a);
      std::vector<struct sub_entry> members;
      for (uintptr_t e = 0; e < kEntries; e++)
        {
          std::string entry = "10.0.0." + std::to_string (e) + ":8000";
          members.push_back ({ sub_rank ({ agent.data (), agent.size () },
                                         { entry.data (), entry.size () }),
                               true, false, (void *)e });
        }
      for (bool lost : { false, true })
        {
          for (auto &m : members)
            m.reachable = !lost || (uintptr_t)m.priv != 7;
          sub_select (members.data (), kEntries, kMost);
          for (auto &m : members)
            if (m.selected)
              (lost ? taken : held)[(uintptr_t)m.priv]++;
        }
    }
  for (unsigned e = 0; e < kEntries; e++)
    {
      EXPECT_NEAR (held[e], kAgents * kMost / kEntries, 250) << e;
      if (e != 7)
        {
          EXPECT_GE (taken[e], held[e]) << e;
          EXPECT_LT (taken[e], held[e] + 120) << e;
        }
    }
}
} // namespace
