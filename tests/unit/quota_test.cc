#include <algorithm>
#include <gtest/gtest.h>
#include <string>
#include <vector>
extern "C"
{
#include "lagoonvale/quota.h"
}

namespace
{
/* Guards against a limit of the fleet that many entries exceed together, each
   by its rounded part.  */
TEST (Quota, PartsAddUpToTheLimit)
{
  const struct
  {
    uint32_t limit, entries, sum;
  } cases[] = { { 0, 3, 0 },       { 1, 1, 1 },       { 1, 3, 3 },
                { 2, 3, 3 },       { 3, 3, 3 },       { 7, 3, 7 },
                { 100, 60, 100 },  { 59, 60, 60 },    { 119, 60, 119 },
                { 4294967294U, 7, 4294967294U } };
  for (const auto &c : cases)
    {
      SCOPED_TRACE (std::to_string (c.limit) + "/" + std::to_string (c.entries));
      uint64_t sum = 0;
      uint32_t least = UINT32_MAX, most = 0;
      for (uint32_t i = 0; i < c.entries; i++)
        {
          uint32_t part
              = qta_part (c.limit, c.entries, i, lv_slice_of ("counter"));
          sum += part;
          least = std::min (least, part);
          most = std::max (most, part);
        }
      EXPECT_EQ (sum, c.sum);
      EXPECT_LE (most - least, 1u);
    }
}

/* Guards against the same few entries having the remainder of every team.  */
TEST (Quota, TheRemainderIsSpreadOverTheEntriesBySubject)
{
  constexpr uint32_t kEntries = 60, kTeams = 55;
  std::vector<unsigned> extra (kEntries);
  for (unsigned t = 0; t < kTeams; t++)
    {
      const std::string team = "team-" + std::to_string (t);
      for (uint32_t i = 0; i < kEntries; i++)
        extra[i] += qta_part (75, kEntries, i, lv_slice_of (team.c_str ())) - 1;
    }
  /* A quarter of the teams each, if it were even.  */
  EXPECT_LT (*std::max_element (extra.begin (), extra.end ()), kTeams / 2);
  EXPECT_GT (*std::min_element (extra.begin (), extra.end ()), 0u);
}
}
