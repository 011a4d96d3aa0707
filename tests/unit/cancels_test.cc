#include <gtest/gtest.h>
#include <string>
extern "C"
{
#include "lagoonvale/cancels.h"
}

namespace
{
class Cancels : public testing::Test
{
protected:
  Cancels () { cnl_init (&cancels, nullptr); }
  ~Cancels () override { cnl_finish (&cancels); }
  bool
  add (const std::string &id, uint64_t now = 0)
  {
    return cnl_add (&cancels, { id.data (), id.size () }, now);
  }
  bool
  has (const std::string &id)
  {
    return cnl_contains (&cancels, { id.data (), id.size () });
  }
  struct cnl_cancels cancels;
};

/* A cancel must be known for as long as its job, or a repetition of it, can
   still turn up, and no longer.  */
TEST_F (Cancels, AreKeptForATime)
{
  EXPECT_FALSE (has ("a"));
  EXPECT_TRUE (add ("a", 10));
  EXPECT_FALSE (add ("a", 20)); /* twice */
  EXPECT_TRUE (add ("b", 20));
  cnl_expire (&cancels, 10 + CNL_RETENTION_NS);
  EXPECT_TRUE (has ("a"));
  cnl_expire (&cancels, 11 + CNL_RETENTION_NS);
  EXPECT_FALSE (has ("a"));
  EXPECT_TRUE (has ("b"));
}

/* Odd ids, and a flood of unknown ones, must neither be taken nor push out the
   newest ones.  */
TEST_F (Cancels, AreBounded)
{
  const struct
  {
    std::string id;
    bool taken;
  } cases[] = {
    { "", false },
    { std::string (CNL_ID_MAX, 'x'), true },
    { std::string (CNL_ID_MAX + 1, 'x'), false },
    { std::string ("f\0f", 3), false },
    { "ffffffffffffffff.0.0", true },
  };

  for (const auto &c : cases)
    {
      EXPECT_EQ (add (c.id), c.taken) << c.id;
      EXPECT_EQ (has (c.id), c.taken) << c.id;
    }
  for (unsigned i = 0; i < 100000; i++)
    add ("flood" + std::to_string (i), i);
  EXPECT_EQ (HASH_COUNT (cancels.by_id), CNL_MAX * 1u);
  EXPECT_TRUE (has ("flood99999"));
  EXPECT_TRUE (has ("flood" + std::to_string (100000 - CNL_MAX)));
  EXPECT_FALSE (has ("flood0"));
}
}
