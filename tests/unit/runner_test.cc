/* The runner beside a minion whose processes follow one another at the same
   address, without a network.  */
#include <gtest/gtest.h>
#include <vector>
extern "C"
{
#include "lagoonvale/leasebounds.h"
#include "runner_harness.h"
}

namespace
{
constexpr uint64_t kMaxMs = 1000;
constexpr uint64_t kLeaseMs = LBD_LEASE_NS / 1000000;
/* For the time that the test itself takes, ms.  */
constexpr uint64_t kSlackMs = 200;
constexpr uint64_t kFormer = 100, kLater = 200;
/* Clock of a process that has been up for a while, and of one that has not,
   ms.  */
constexpr uint64_t kLongMs = 90000, kShortMs = 40;

class RunnerMinion : public testing::Test
{
protected:
  void SetUp () override { h = rnt_new (kMaxMs); }
  void TearDown () override { rnt_free (h); }

  struct rnt_harness *h = nullptr;
};

// Guards against a lease that is asked for by the clock of a former process:
// the minion grants its maximum then, and runs on beside the repetition of its
// tasks elsewhere (review/13).
TEST_F (RunnerMinion, ALeaseIsNeverAskedForByTheClockOfAFormerProcess)
{
  const struct
  {
    const char *what;
    std::vector<enum mnn_answer> polls;
  } cases[] = {
    { "its port was closed", { MNN_ABSENT } },
    { "its port was closed for a while", { MNN_ABSENT, MNN_ABSENT } },
    { "silent, then its port was closed",
      { MNN_UNANSWERED, MNN_UNANSWERED, MNN_ABSENT } },
  };
  for (const auto &c : cases)
    {
      SCOPED_TRACE (c.what);
      rnt_report (h, kFormer);
      rnt_answer (h, MNN_OK, kFormer, kLongMs);
      EXPECT_GT (rnt_poll_expires_ms (h), kLongMs);
      for (auto how : c.polls)
        {
          rnt_answer (h, how, 0, 0);
          rnt_report (h, kFormer);
        }
      EXPECT_EQ (rnt_poll_expires_ms (h), 0U);
      rnt_answer (h, MNN_OK, kLater, kShortMs);
      EXPECT_GT (rnt_poll_expires_ms (h), kShortMs);
      EXPECT_LE (rnt_poll_expires_ms (h), kShortMs + kLeaseMs + kSlackMs);
      TearDown ();
      SetUp ();
    }
}

// Guards against a lease that is reckoned to end too soon: a request to the
// former process, executed by the one that follows it, asked for the longest
// lease by a clock that was far ahead.
TEST_F (RunnerMinion, ANewProcessIsReckonedToHoldTheLongestLease)
{
  const struct
  {
    const char *what;
    std::vector<enum mnn_answer> polls;
  } cases[] = {
    { "its port was never found closed", {} },
    { "a poll had no answer", { MNN_UNANSWERED } },
    { "its port was closed", { MNN_ABSENT } },
  };
  for (const auto &c : cases)
    {
      SCOPED_TRACE (c.what);
      rnt_report (h, kFormer);
      rnt_answer (h, MNN_OK, kFormer, kLongMs);
      for (auto how : c.polls)
        {
          rnt_answer (h, how, 0, 0);
          rnt_report (h, kFormer);
        }
      rnt_end_lease (h);
      rnt_answer (h, MNN_OK, kLater, kShortMs);
      EXPECT_GT (rnt_reckoned_ms (h), kMaxMs - kSlackMs);
      TearDown ();
      SetUp ();
    }
}

// Guards against starts at a process that may still execute requests that were
// meant for the one before it: it gets none before it has seen a token that
// none of them had.
TEST_F (RunnerMinion, ANewProcessGetsNoStartsBeforeItHasSeenItsToken)
{
  rnt_report (h, kFormer);
  rnt_answer (h, MNN_OK, kFormer, kLongMs);
  EXPECT_TRUE (rnt_able (h));
  uint64_t former_token = rnt_poll_token (h);

  /* It answers a poll that was meant for the former process.  */
  rnt_answer (h, MNN_OK, kLater, kShortMs);
  rnt_report (h, kLater);
  EXPECT_GT (rnt_poll_token (h), former_token);
  EXPECT_FALSE (rnt_able (h));
  rnt_answer (h, MNN_OK, kLater, kShortMs + 1);
  EXPECT_TRUE (rnt_able (h));
}
} // namespace
