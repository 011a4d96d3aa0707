#include <gtest/gtest.h>
#include <string>
#include <vector>
extern "C"
{
#include <errno.h>
#include <talloc.h>

#include "lagoonvale/ledger.h"
}

namespace
{
constexpr uint64_t kKeep = 1000;
constexpr uint64_t kOutputKeep = 100;

struct sid_id
make_sid (uint32_t seq)
{
  struct sid_id sid = {};
  sid.owner = 7;
  sid.roster = 10;
  sid.seq = seq;
  return sid;
}

class Ledger : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    mem = talloc_new (nullptr);
    led_init (&l, mem, 1 << 20, kKeep, kOutputKeep);
    l.joined = 5;
  }
  void
  TearDown () override
  {
    led_finish (&l);
    EXPECT_EQ (l.bytes, 0u);
    EXPECT_EQ (l.tasks, 0u);
    talloc_free (mem);
  }
  int
  start (uint64_t ballot, uint32_t index, uint32_t seq = 1, uint64_t now = 0)
  {
    struct sid_id sid = make_sid (seq);
    const struct led_task *task = nullptr;
    return led_start (&l, &sid, ballot, index, now, &task);
  }
  int
  fence (uint64_t ballot, bool no_preempt = false, uint32_t addr = 1)
  {
    struct sid_id sid = make_sid (1);
    struct led_holder next = { ballot, addr, 2 };
    return led_fence (&l, &sid, &next, no_preempt, 0, &held);
  }
  led_state
  resolve (uint64_t ballot, uint32_t index, int *err)
  {
    struct sid_id sid = make_sid (1);
    const struct led_task *t
        = led_resolve (&l, &sid, ballot, index, 0, err);
    return t != nullptr ? t->state : LED_LOST;
  }
  void *mem = nullptr;
  struct led_ledger l = {};
  struct led_holder held = {};
};

TEST_F (Ledger, SequencesOfCalls)
{
  enum Op { Start, Fence, NoPreemptFence, Resolve };
  struct Step
  {
    Op op;
    uint64_t ballot;
    uint32_t index;
    int want;
  };
  struct Case
  {
    const char *name;
    std::vector<Step> steps;
  };
  const Case cases[] = {
    { "a second start of a task", { { Start, 0, 3, 0 }, { Start, 0, 3, -EALREADY } } },
    { "other tasks start", { { Start, 0, 3, 0 }, { Start, 0, 1, 0 }, { Start, 0, 2, 0 } } },
    { "a resolved task never starts",
      { { Resolve, 0, 3, 0 }, { Start, 0, 3, -ECANCELED } } },
    { "a fence stops the previous owner",
      { { Start, 0, 0, 0 }, { Fence, 9, 0, 0 }, { Start, 0, 1, -EACCES }, { Start, 9, 1, 0 } } },
    { "the adopter can't start a started task",
      { { Start, 0, 0, 0 }, { Fence, 9, 0, 0 }, { Start, 9, 0, -EALREADY } } },
    { "a lower fence is refused", { { Fence, 9, 0, 0 }, { Fence, 8, 0, -EBUSY } } },
    { "a fence without preemption fails under any adopter",
      { { Fence, 8, 0, 0 }, { NoPreemptFence, 9, 0, -EBUSY }, { Fence, 9, 0, 0 } } },
    { "the same fence again", { { Fence, 9, 0, 0 }, { NoPreemptFence, 9, 0, 0 } } },
    { "a ballot without a fence can't start", { { Start, 9, 0, -EACCES } } },
    { "a fenced owner can't resolve", { { Fence, 9, 0, 0 }, { Resolve, 0, 1, -EACCES } } },
  };
  for (const Case &c : cases)
    {
      SCOPED_TRACE (c.name);
      led_finish (&l);
      for (const Step &s : c.steps)
        {
          int err = 0;
          switch (s.op)
            {
            case Start:
              err = start (s.ballot, s.index);
              break;
            case Fence:
            case NoPreemptFence:
              err = fence (s.ballot, s.op == NoPreemptFence);
              break;
            case Resolve:
              resolve (s.ballot, s.index, &err);
              break;
            }
          EXPECT_EQ (err, s.want);
        }
    }
}

/* Two adopters that draw the same ballot would both be told that they may
   start the tasks.  */
TEST_F (Ledger, EqualBallotsOfTwoAdoptersAreNotBothFenced)
{
  EXPECT_EQ (fence (9, false, 1), 0);
  EXPECT_EQ (fence (9, false, 2), -EBUSY);
  EXPECT_EQ (held.addr, 1u);
  EXPECT_EQ (fence (9, false, 1), 0) << "repeated after a lost answer";
}

TEST_F (Ledger, StartsOnlyIdsMintedAfterTheAnnouncement)
{
  const struct
  {
    uint64_t joined;
    int want;
  } cases[] = { { 0, -ESTALE }, { 10, 0 }, { 11, -ESTALE }, { 5, 0 } };
  uint32_t seq = 1;

  for (const auto &c : cases)
    {
      l.joined = c.joined;
      EXPECT_EQ (start (0, 0, seq++), c.want) << c.joined;
    }
}

TEST_F (Ledger, FullLedgerRefusesStartsAndKeepsRecords)
{
  l.max_bytes = 4096;
  uint32_t seq = 0;
  while (start (0, 0, ++seq) == 0)
    ASSERT_LT (seq, 1000u);
  EXPECT_EQ (start (0, 0, seq + 1), -ENOSPC);
  EXPECT_EQ (start (0, 0, 1), -EALREADY);
  EXPECT_LE (l.bytes, l.max_bytes);
}

TEST_F (Ledger, ExpiresOutputsBeforeRecords)
{
  struct sid_id sid = make_sid (1);
  int err = 0;

  ASSERT_EQ (start (0, 0), 0);
  led_expire (&l, 10 * kKeep);
  EXPECT_EQ (l.tasks, 1u) << "a running task is kept";
  led_end (&l, &sid, 0, LED_SUCCEEDED, lv_slice_of ("out"), 1, 10 * kKeep);
  led_expire (&l, 10 * kKeep + kOutputKeep - 1);
  EXPECT_EQ (resolve (0, 0, &err), LED_SUCCEEDED);
  led_end (&l, &sid, 0, LED_FAILED, lv_slice_of (""), 1, 0);
  EXPECT_EQ (resolve (0, 0, &err), LED_SUCCEEDED) << "a second end is ignored";
  l.output_keep_ns = 0;
  led_expire (&l, 20 * kKeep);
  EXPECT_EQ (start (0, 0, 1, 20 * kKeep), 0) << "removed after keep_ns";
}

TEST_F (Ledger, ListsStartedTasks)
{
  struct sid_id sid = make_sid (1);
  uint32_t indices[8];
  int err = 0;

  start (0, 5);
  start (0, 2);
  resolve (0, 4, &err);
  ASSERT_EQ (led_list_started (&l, &sid, indices, 8), 2u);
  EXPECT_EQ (indices[0], 2u);
  EXPECT_EQ (indices[1], 5u);
  led_revert_start (&l, &sid, 5);
  EXPECT_EQ (led_list_started (&l, &sid, indices, 8), 1u);
}
}
