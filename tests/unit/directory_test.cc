#include <gtest/gtest.h>
#include <string>
#include <vector>
extern "C"
{
#include "lagoonvale/directory.h"
}

namespace
{
constexpr uint64_t kS = 1000000000;

/* Records the calls of the directory under test.  */
struct Recorder
{
  unsigned reads;
  std::string added, removed, found;
  bool answers;
};

void
read_list (void *priv)
{
  static_cast<Recorder *> (priv)->reads++;
}

void
add_address (struct lv_slice a, void *priv)
{
  static_cast<Recorder *> (priv)->added += std::string (a.data, a.len) + " ";
}

void
remove_address (struct lv_slice a, void *priv)
{
  static_cast<Recorder *> (priv)->removed += std::string (a.data, a.len) + " ";
}

void
found (struct lv_slice a, void *priv)
{
  static_cast<Recorder *> (priv)->found += std::string (a.data, a.len) + " ";
}

bool
answers (struct lv_slice, void *priv)
{
  return static_cast<Recorder *> (priv)->answers;
}

class Directory : public testing::Test
{
protected:
  void
  open (const char *self)
  {
    static const struct dir_ops ops
        = { read_list, add_address, remove_address };
    const struct dir_events events = { found, answers, &recorder };
    dir_init (&directory, nullptr, &ops, &recorder, &events,
              lv_slice_of (self));
  }
  void
  TearDown () override
  {
    dir_finish (&directory);
  }
  void
  listed (std::vector<const char *> list, uint64_t now)
  {
    std::vector<struct lv_slice> slices;
    for (const char *text : list)
      slices.push_back (lv_slice_of (text));
    dir_read_done (&directory, slices.data (), (unsigned)slices.size (), now);
  }
  struct dir_directory directory;
  Recorder recorder = {};
};

TEST_F (Directory, EntryAddsItselfOnceAndRefreshes)
{
  open ("1:1");
  dir_tick (&directory, false, kS);
  EXPECT_EQ (recorder.reads, 1U);
  dir_tick (&directory, false, kS);
  EXPECT_EQ (recorder.reads, 1U) << "one read at a time";
  listed ({ "2:2" }, kS);
  EXPECT_EQ (recorder.added, "1:1 ");
  EXPECT_EQ (recorder.found, "2:2 ");
  dir_tick (&directory, false, kS + DIR_REFRESH_NS - 1);
  EXPECT_EQ (recorder.reads, 1U);
  dir_tick (&directory, false, kS + DIR_REFRESH_NS);
  EXPECT_EQ (recorder.reads, 2U);
  listed ({ "2:2", "1:1" }, kS + DIR_REFRESH_NS);
  EXPECT_EQ (recorder.added, "1:1 ") << "already listed";
}

TEST_F (Directory, UnresponsiveAddressIsRemoved)
{
  open ("1:1");
  for (unsigned i = 0; i < DIR_FAILURES_MAX - 1; i++)
    listed ({ "1:1", "2:2" }, i * kS);
  EXPECT_EQ (recorder.removed, "");
  recorder.answers = true;
  listed ({ "1:1", "2:2" }, 10 * kS); /* reachable again */
  recorder.answers = false;
  for (unsigned i = 0; i < DIR_FAILURES_MAX - 1; i++)
    listed ({ "1:1", "2:2" }, (20 + i) * kS);
  EXPECT_EQ (recorder.removed, "");
  listed ({ "1:1", "2:2" }, 40 * kS);
  EXPECT_EQ (recorder.removed, "2:2 ");
}

TEST_F (Directory, AgentReadsAtStartAndWhileIsolated)
{
  const struct
  {
    uint64_t at_ms;
    bool isolated;
    unsigned reads;
  } cases[] = { { 0, true, 1 },      { 249, true, 1 },  { 250, true, 2 },
                { 749, true, 2 },    { 750, true, 3 },  { 60000, false, 3 },
                { 60001, true, 4 },  { 60250, true, 4 }, { 60251, true, 5 } };
  open (nullptr);
  for (const auto &c : cases)
    {
      uint64_t now = c.at_ms * (kS / 1000);
      unsigned before = recorder.reads;
      dir_tick (&directory, c.isolated, now);
      EXPECT_EQ (recorder.reads, c.reads) << c.at_ms;
      if (recorder.reads > before)
        listed ({ "2:2" }, now);
    }
  EXPECT_EQ (recorder.added + recorder.removed, "");
}

TEST_F (Directory, FailedReadIsRetriedWithBackoff)
{
  uint64_t now = 0;
  uint64_t pause = 0;
  open ("1:1");
  for (unsigned i = 0; i < 12; i++)
    {
      dir_tick (&directory, true, now);
      EXPECT_EQ (recorder.reads, i + 1);
      dir_read_failed (&directory, now);
      EXPECT_GE (directory.next_read_ns - now, pause);
      pause = directory.next_read_ns - now;
      EXPECT_LE (pause, DIR_RETRY_MAX_NS);
      now = directory.next_read_ns;
    }
  EXPECT_EQ (pause, DIR_RETRY_MAX_NS);
}

TEST_F (Directory, InvalidAddressesAreIgnored)
{
  const std::string longest (DIR_ADDRESS_MAX, '1');
  open ("1:1");
  listed ({ "", longest.c_str (), "1:1" }, 0);
  EXPECT_EQ (recorder.found + recorder.added, "");
}
} // namespace
