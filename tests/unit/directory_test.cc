#include <algorithm>
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

/* Two entries, "1:1" and "2:2", and the list that they share in the store.  A
   read takes a millisecond; an add takes effect as late as told.  */
class SharedList
{
public:
  explicit SharedList (const uint64_t add_ms[2])
  {
    static const struct dir_ops ops = { start_read, start_add, nullptr };
    for (unsigned i = 0; i < 2; i++)
      {
        Member *m = &members[i];
        const struct dir_events events = { note_found, always_answers, m };
        m->list = this;
        m->add_ms = add_ms[i];
        dir_init (&m->directory, nullptr, &ops, m, &events,
                  lv_slice_of (i == 0 ? "1:1" : "2:2"));
      }
  }
  ~SharedList ()
  {
    for (Member &m : members)
      dir_finish (&m.directory);
  }
  void
  advance (uint64_t ms, const uint64_t start_ms[2])
  {
    now_ms = ms;
    for (unsigned i = 0; i < 2; i++)
      if (ms >= start_ms[i])
        step (&members[i]);
  }
  /* Whether an entry has found the other one, which it then tells so.  */
  bool
  acquainted () const
  {
    return members[0].found_other || members[1].found_other;
  }
  unsigned
  adds () const
  {
    return members[0].adds + members[1].adds;
  }

private:
  struct Member
  {
    struct dir_directory directory;
    SharedList *list;
    uint64_t add_ms;
    uint64_t listed_from_ms = UINT64_MAX;
    uint64_t read_ends_ms = UINT64_MAX;
    unsigned adds = 0;
    bool found_other = false;
  };
  static void
  start_read (void *priv)
  {
    Member *m = static_cast<Member *> (priv);
    m->read_ends_ms = m->list->now_ms + 1;
  }
  static void
  start_add (struct lv_slice, void *priv)
  {
    Member *m = static_cast<Member *> (priv);
    m->adds++;
    m->listed_from_ms
        = std::min (m->listed_from_ms, m->list->now_ms + m->add_ms);
  }
  static void
  note_found (struct lv_slice, void *priv)
  {
    static_cast<Member *> (priv)->found_other = true;
  }
  static bool
  always_answers (struct lv_slice, void *)
  {
    return true;
  }
  void
  step (Member *m)
  {
    uint64_t now_ns = (now_ms + 1) * (kS / 1000);
    dir_tick (&m->directory, false, now_ns);
    if (m->read_ends_ms > now_ms)
      return;
    m->read_ends_ms = UINT64_MAX;
    struct lv_slice listed[2];
    unsigned count = 0;
    for (const Member &other : members)
      if (other.listed_from_ms <= now_ms)
        listed[count++] = other.directory.self;
    dir_read_done (&m->directory, listed, count, now_ns);
  }
  uint64_t now_ms = 0;
  Member members[2];
};

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
  void
  check_backoff (const char *self, bool isolated)
  {
    uint64_t now = 0;
    uint64_t pause = 0;
    open (self);
    for (unsigned i = 0; i < 12; i++)
      {
        dir_tick (&directory, isolated, now);
        EXPECT_EQ (recorder.reads, i + 1);
        dir_read_failed (&directory, now);
        EXPECT_GE (directory.next_read_ns - now, pause);
        pause = directory.next_read_ns - now;
        EXPECT_LE (pause, DIR_RETRY_MAX_NS);
        now = directory.next_read_ns;
      }
    EXPECT_EQ (pause, DIR_RETRY_MAX_NS);
  }
  struct dir_directory directory;
  Recorder recorder = {};
};

TEST_F (Directory, EntryAddsItselfOnceAndRefreshes)
{
  uint64_t now = kS;
  open ("1:1");
  dir_tick (&directory, false, now);
  EXPECT_EQ (recorder.reads, 1U);
  dir_tick (&directory, false, now);
  EXPECT_EQ (recorder.reads, 1U) << "one read at a time";
  listed ({ "2:2" }, now);
  EXPECT_EQ (recorder.added, "1:1 ");
  EXPECT_EQ (recorder.found, "2:2 ");
  dir_tick (&directory, false, now + DIR_RETRY_NS - 1);
  EXPECT_EQ (recorder.reads, 1U);
  now += DIR_RETRY_NS;
  dir_tick (&directory, false, now);
  EXPECT_EQ (recorder.reads, 2U) << "confirms that it is listed";
  listed ({ "2:2", "1:1" }, now);
  EXPECT_EQ (recorder.added, "1:1 ") << "already listed";
  dir_tick (&directory, false, now + DIR_REFRESH_NS - 1);
  EXPECT_EQ (recorder.reads, 2U);
  now += DIR_REFRESH_NS;
  dir_tick (&directory, false, now);
  EXPECT_EQ (recorder.reads, 3U);
  listed ({ "2:2", "1:1" }, now);
  EXPECT_EQ (recorder.added, "1:1 ") << "already listed";
}

/* Guards against entries that start at the same moment, each read the list
   before the other's address is on it, and do not know each other until the
   next refresh.  */
TEST (DirectoryStart, EntriesThatStartTogetherFindEachOther)
{
  /* When an add of each of two entries takes effect, and when the entry
     starts, ms.  */
  const struct
  {
    uint64_t start_ms[2];
    uint64_t add_ms[2];
  } cases[] = { { { 0, 0 }, { 4, 4 } },       { { 0, 2 }, { 4, 4 } },
                { { 0, 0 }, { 1, 900 } },     { { 0, 300 }, { 600, 600 } },
                { { 0, 100 }, { 1500, 10 } }, { { 0, 0 }, { 2000, 2000 } } };
  for (const auto &c : cases)
    {
      SharedList list (c.add_ms);
      uint64_t ms;
      for (ms = 0; ms < 5000 && !list.acquainted (); ms += 1)
        list.advance (ms, c.start_ms);
      EXPECT_LT (ms, std::max (c.add_ms[0], c.add_ms[1]) * 2 + 1000)
          << "adds after " << c.add_ms[0] << " and " << c.add_ms[1] << " ms";
      EXPECT_LE (list.adds (), 10U) << "adds are writes to the store";
    }
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

/* Guards against an entry whose own address is not listed yet, reads several
   times a second therefore, and removes others after a second of silence.  */
TEST_F (Directory, ReadsThatFollowEachOtherSoonRemoveNothing)
{
  open ("1:1");
  for (unsigned i = 0; i < 3 * DIR_FAILURES_MAX; i++)
    listed ({ "2:2" }, i * kS);
  EXPECT_EQ (recorder.removed, "");
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

/* An entry is never isolated, an agent may be.  */
TEST_F (Directory, FailedReadIsRetriedWithBackoff)
{
  check_backoff ("1:1", false);
}

TEST_F (Directory, FailedReadOfAnIsolatedAgentIsRetriedWithBackoff)
{
  check_backoff (nullptr, true);
}

TEST_F (Directory, InvalidAddressesAreIgnored)
{
  const std::string longest (DIR_ADDRESS_MAX, '1');
  open ("1:1");
  listed ({ "", longest.c_str (), "1:1" }, 0);
  EXPECT_EQ (recorder.found + recorder.added, "");
}
} // namespace
