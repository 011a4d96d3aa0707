#include <gtest/gtest.h>
#include <random>
#include <set>
#include <string>
#include <vector>
extern "C"
{
#include "lagoonvale/drain.h"
}

namespace
{
class Drain : public testing::Test
{
protected:
  Drain () { drn_init (&drains, nullptr); }
  ~Drain () override { drn_finish (&drains); }

  static uint64_t
  at (uint64_t offset)
  {
    return drn_position (0, offset);
  }
  static bool
  replace (struct drn_domains *d, const std::vector<std::string> &names,
           uint64_t position)
  {
    std::vector<struct lv_slice> slices;

    for (const auto &n : names)
      slices.push_back ({ n.data (), n.size () });
    return drn_replace (d, slices.data (), slices.size (), position);
  }
  bool
  record (const char *name, bool drained, uint64_t position)
  {
    return drn_record (&drains, lv_slice_of (name), drained, position);
  }
  static std::set<std::string>
  names (const struct drn_domains &d)
  {
    return std::set<std::string> (d.names, d.names + d.count);
  }
  struct drn_domains drains;
};

/* Each way in which an agent takes no new work must count wherever one does.
 */
TEST_F (Drain, AnyCauseKeepsNewWorkAway)
{
  const struct
  {
    struct drn_facts facts;
    enum drn_cause cause;
  } cases[] = {
    { { false, false, false, false }, DRN_NONE },
    { { true, false, false, false }, DRN_AGENT },
    { { false, true, false, false }, DRN_SERVER },
    { { false, false, true, false }, DRN_ENTRY },
    { { false, false, false, true }, DRN_DOMAIN },
    { { false, true, false, true }, DRN_SERVER },
    { { true, true, true, true }, DRN_AGENT },
  };

  for (const auto &c : cases)
    EXPECT_EQ (drn_cause_of (&c.facts), c.cause) << drn_cause_name (c.cause);
}

/* A record that is seen late, twice, or out of order must neither drain a
   domain that was given back, nor give back one that is drained.  */
TEST_F (Drain, OnlyNewerRecordsChangeTheSet)
{
  EXPECT_FALSE (drn_known (&drains));
  EXPECT_TRUE (replace (&drains, { "a" }, at (5)));
  EXPECT_TRUE (drn_known (&drains));
  const struct
  {
    const char *name;
    bool drained;
    uint64_t offset;
    std::set<std::string> then;
  } cases[] = {
    { "b", true, 7, { "a", "b" } },  { "b", false, 6, { "a", "b" } },
    { "b", false, 7, { "a", "b" } }, { "a", false, 8, { "b" } },
    { "a", false, 9, { "b" } },      { "a", true, 8, { "b" } },
    { "a", true, 10, { "a", "b" } }, { "c", false, 11, { "a", "b" } },
  };

  for (const auto &c : cases)
    {
      record (c.name, c.drained, at (c.offset));
      EXPECT_EQ (names (drains), c.then) << c.name << c.offset;
    }
  EXPECT_FALSE (replace (&drains, {}, at (11)));
  drn_advance (&drains, at (20));
  drn_advance (&drains, at (15));
  EXPECT_FALSE (record ("a", false, at (20)));
  EXPECT_FALSE (replace (&drains, {}, at (19)));
  EXPECT_EQ (names (drains), std::set<std::string> ({ "a", "b" }));
  EXPECT_TRUE (replace (&drains, {}, at (21)));
  EXPECT_EQ (drains.count, 0u);
}

/* An empty log is known to drain nothing: without that, an instance would wait
   for its first record.  */
TEST_F (Drain, AnEmptyLogIsKnown)
{
  EXPECT_TRUE (replace (&drains, {}, at (0)));
  EXPECT_TRUE (drn_known (&drains));
  EXPECT_EQ (drn_offset (drains.position), 0u);
  EXPECT_EQ (drn_offset (at (41)), 41u);
}

/* A log that was set back may have lost the record of a drain: the domain stays
   drained, and what is written afterwards counts though its place is lower.  */
TEST_F (Drain, ALogThatWasSetBackLosesNoDrain)
{
  replace (&drains, { "a" }, at (100));
  uint64_t known = drains.position;

  drn_set_back (&drains, known, 50);
  drn_set_back (&drains, known, 50); /* told twice */
  EXPECT_FALSE (drn_same_log (known, drains.position));
  EXPECT_GT (drains.position, known);
  EXPECT_EQ (drn_offset (drains.position), 50u);
  EXPECT_EQ (names (drains), std::set<std::string> ({ "a" }));
  EXPECT_FALSE (replace (&drains, {}, at (200))); /* from before */
  EXPECT_TRUE (record ("b", true, drn_position (drains.position, 51)));
  EXPECT_TRUE (record ("a", false, drn_position (drains.position, 52)));
  EXPECT_EQ (names (drains), std::set<std::string> ({ "b" }));
}

TEST_F (Drain, IsBounded)
{
  for (unsigned i = 0; i < 2 * DRN_DOMAINS_MAX; i++)
    record (("d" + std::to_string (i)).c_str (), true, at (i + 1));
  EXPECT_EQ (drains.count, DRN_DOMAINS_MAX * 1u);
}

/* Operators drain domains and give them back; instances read the log at times,
   are away from it, restart with nothing, and tell each other what they know.
   None may ever go back, and in the end all agree with the log.  */
TEST_F (Drain, InstancesThatTellEachOtherAgreeWithTheLog)
{
  constexpr unsigned kInstances = 6, kSteps = 400;
  const char *const domains[] = { "a", "b", "c" };

  for (unsigned seed = 0; seed < 200; seed++)
    {
      std::mt19937 random (seed);
      std::vector<std::pair<std::string, bool>> log;
      struct drn_domains sets[kInstances];
      auto read = [&] (struct drn_domains *d) {
        if (!drn_known (d))
          {
            std::set<std::string> now;
            for (const auto &r : log)
              if (r.second)
                now.insert (r.first);
              else
                now.erase (r.first);
            replace (d, { now.begin (), now.end () }, at (log.size ()));
            return;
          }
        for (uint64_t i = drn_offset (d->position); i < log.size (); i++)
          drn_record (d, lv_slice_of (log[i].first.c_str ()), log[i].second,
                      at (i + 1));
      };

      for (auto &s : sets)
        drn_init (&s, nullptr);
      for (unsigned step = 0; step < kSteps; step++)
        {
          struct drn_domains *one = &sets[random () % kInstances];
          struct drn_domains *other = &sets[random () % kInstances];
          uint64_t before = one->position;

          switch (random () % 8)
            {
            case 0:
              log.push_back ({ domains[random () % 3], random () % 2 == 0 });
              break;
            case 1:
            case 2:
              read (one);
              break;
            case 3:
              drn_finish (one);
              drn_init (one, nullptr);
              before = 0;
              break;
            default:
              std::set<std::string> told = names (*other);
              replace (one, { told.begin (), told.end () }, other->position);
            }
          ASSERT_GE (one->position, before) << seed;
        }
      for (auto &s : sets)
        {
          read (&s);
          std::set<std::string> want;
          for (const auto &r : log)
            if (r.second)
              want.insert (r.first);
            else
              want.erase (r.first);
          ASSERT_EQ (names (s), want) << seed;
          drn_finish (&s);
        }
    }
}
}
