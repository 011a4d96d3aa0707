#include <gtest/gtest.h>
#include <random>
#include <string>
#include <talloc.h>
#include <vector>
extern "C"
{
#include "cancelbatch.h"
}

namespace
{
/* What a caller was told.  */
struct Caller
{
  struct cbt_call call = {};
  unsigned answers = 0;
  bool confirmed = false;

  Caller ()
  {
    call.done = [] (bool ok, void *priv) {
      auto *caller = static_cast<Caller *> (priv);
      caller->answers++;
      caller->confirmed = ok;
    };
    call.priv = this;
  }
};

class CancelBatch : public testing::Test
{
protected:
  void
  SetUp () override
  {
    context = talloc_new (nullptr);
    cbt_init (&batch, context);
  }

  void
  TearDown () override
  {
    cbt_finish (&batch);
    EXPECT_EQ (talloc_total_blocks (context), 1U);
    talloc_free (context);
  }

  void
  add (Caller *caller, const std::string &id = "a")
  {
    cbt_add (&batch, { id.data (), id.size () }, &caller->call);
  }

  void *context = nullptr;
  struct cbt_batch batch = {};
};

constexpr uint64_t kSent = 1000;
constexpr uint64_t kLate = kSent + CBT_REPLY_NS;

// Guards against an answer before an entry has replied, and none when all have.
TEST_F (CancelBatch, IsConfirmedByTheRepliesOfAll)
{
  Caller caller;
  add (&caller);
  cbt_sent (&batch, 2, false, kSent);
  cbt_replied (&batch, true);
  EXPECT_EQ (cbt_step (&batch, kLate - 1), CBT_WAIT);
  EXPECT_EQ (caller.answers, 0U);
  cbt_replied (&batch, true);
  EXPECT_EQ (cbt_step (&batch, kLate - 1), CBT_DONE);
  EXPECT_TRUE (caller.confirmed);
}

// Guards against a wait for entries where there are none.
TEST_F (CancelBatch, IsConfirmedAtOnceWithoutOthers)
{
  Caller caller;
  add (&caller);
  cbt_sent (&batch, 0, false, kSent);
  EXPECT_EQ (cbt_step (&batch, kSent), CBT_DONE);
  EXPECT_TRUE (caller.confirmed);
}

// Guards against an answer that counts on an entry which was not told.
TEST_F (CancelBatch, NeedsTheLogWhenAnEntryIsMissed)
{
  const struct
  {
    const char *what;
    unsigned entries;
    bool missed, replies, ok;
    uint64_t at;
  } cases[] = {
    { "cannot be told", 0, true, false, false, kSent },
    { "its connection ended", 1, false, true, false, kSent },
    { "has not replied in time", 1, false, false, false, kLate },
  };
  for (const auto &c : cases)
    for (bool logged : { true, false })
      {
        SCOPED_TRACE (std::string (c.what) + (logged ? ", logged" : ""));
        Caller caller;
        cbt_finish (&batch);
        cbt_init (&batch, context);
        add (&caller);
        cbt_sent (&batch, c.entries, c.missed, kSent);
        if (c.replies)
          cbt_replied (&batch, c.ok);
        EXPECT_EQ (cbt_step (&batch, c.at), CBT_WRITE);
        EXPECT_EQ (cbt_step (&batch, c.at), CBT_WAIT);
        EXPECT_EQ (caller.answers, 0U);
        cbt_logged (&batch, logged);
        EXPECT_EQ (cbt_step (&batch, c.at),
                   batch.unreplied == 0 ? CBT_DONE : CBT_WAIT);
        EXPECT_EQ (caller.answers, 1U);
        EXPECT_EQ (caller.confirmed, logged);
      }
}

// Guards against a call that is answered after its caller has left.
TEST_F (CancelBatch, ForgetsACallerThatLeaves)
{
  Caller gone;
  Caller caller;
  add (&gone, "a");
  add (&caller, "b");
  cbt_sent (&batch, 1, false, kSent);
  cbt_leave (&gone.call);
  cbt_replied (&batch, true);
  EXPECT_EQ (cbt_step (&batch, kSent), CBT_DONE);
  EXPECT_EQ (gone.answers, 0U);
  EXPECT_EQ (caller.answers, 1U);
}

// Guards against more ids than a message may hold.
TEST_F (CancelBatch, IsBounded)
{
  std::vector<Caller> callers (LVP_CANCELS_MAX);
  for (auto &caller : callers)
    {
      EXPECT_FALSE (cbt_is_full (&batch));
      add (&caller);
    }
  EXPECT_TRUE (cbt_is_full (&batch));
  cbt_finish (&batch);
}

// In all histories: one answer a caller, "confirmed" only if every entry has
// replied or the log holds the batch, and nothing is awaited once it is done.
TEST_F (CancelBatch, KeepsItsPromiseInRandomHistories)
{
  for (unsigned seed = 1; seed <= 5000; seed++)
    {
      SCOPED_TRACE (seed);
      std::mt19937 rng (seed);
      Caller caller;
      unsigned entries = rng () % 4;
      unsigned awaited = entries;
      unsigned told = 0;
      bool missed = rng () % 4 == 0;
      bool writing = false;
      bool logged = false;
      uint64_t now = kSent;
      cbt_finish (&batch);
      cbt_init (&batch, context);
      add (&caller);
      cbt_sent (&batch, entries, missed, now);
      enum cbt_step step = CBT_WAIT;
      for (unsigned i = 0; step != CBT_DONE; i++)
        {
          ASSERT_LT (i, 1000U);
          step = cbt_step (&batch, now);
          ASSERT_FALSE (step == CBT_WRITE && (writing || logged));
          writing = writing || step == CBT_WRITE;
          if (caller.answers > 0 && caller.confirmed)
            {
              ASSERT_TRUE (logged || (!missed && told == entries));
            }
          ASSERT_LE (caller.answers, 1U);
          if (step == CBT_DONE)
            break;
          if (rng () % 3 == 0 && awaited > 0)
            {
              bool ok = rng () % 3 != 0;
              awaited--;
              told += ok;
              cbt_replied (&batch, ok);
            }
          else if (rng () % 3 == 0 && writing)
            {
              writing = false;
              logged = rng () % 2 == 0;
              cbt_logged (&batch, logged);
            }
          now += rng () % (CBT_REPLY_NS / 4);
        }
      ASSERT_EQ (caller.answers, 1U);
      ASSERT_EQ (awaited, 0U);
      ASSERT_FALSE (writing);
    }
}
}
