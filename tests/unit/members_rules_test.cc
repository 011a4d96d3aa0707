#include <gtest/gtest.h>
#include <string>
#include <vector>
extern "C"
{
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <talloc.h>
#include <unistd.h>

#include "lagoonvale/roster.h"
#include "lagoonvale/rules.h"
#include "lagoonvale/ruleversion.h"
#include "settings.h"
}

namespace
{
std::string
join (const char *name, unsigned inc, const char *domain, unsigned since = 0)
{
  char text[512];
  snprintf (text, sizeof text,
            "{\"type\":\"join\",\"role\":\"agent\",\"name\":\"%s\",\"domain\":\"%s\","
            "\"address\":\"127.0.0.1:%u\",\"incarnation\":\"%x\",\"slots\":8%s}",
            name, domain, 1000 + inc, inc,
            since > 0 ? (",\"since\":" + std::to_string (since)).c_str () : "");
  return text;
}

std::string
end (unsigned inc)
{
  char text[96];
  snprintf (text, sizeof text, "{\"type\":\"end\",\"incarnation\":\"%x\"}", inc);
  return text;
}

class Roster : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    mem = talloc_new (nullptr);
    r = talloc (mem, struct ros_roster);
    ros_init (r, mem);
  }
  void
  TearDown () override
  {
    ros_finish (r);
    talloc_free (mem);
  }
  struct ros_member *
  apply (const std::string &record)
  {
    offset++;
    return ros_apply (r, offset, 1000 * offset, { record.data (), record.size () });
  }
  void *mem = nullptr;
  struct ros_roster *r = nullptr;
  uint64_t offset = 0;
};

TEST_F (Roster, ValidAndInvalidRecords)
{
  const struct
  {
    std::string record;
    bool changes;
  } cases[] = {
    { join ("a", 1, "x"), true },       { join ("a", 1, "x"), false },
    { join ("a", 1, "x", 1), false },   { "", false },
    { "{", false },                     { "[1,2]", false },
    { "{\"type\":\"join\"}", false },   { "{\"type\":\"rules\",\"incarnation\":\"9\"}", false },
    { join ("", 9, "x"), false },       { join (std::string (80, 'n').c_str (), 9, "x"), false },
    { end (1), true },                  { end (1), false },
    { join ("a", 1, "x", 1), false },   { join ("a", 1, "x"), true },
    { join ("a", 2, "x"), true },       { end (77), false },
  };
  for (const auto &c : cases)
    EXPECT_EQ (apply (c.record) != nullptr, c.changes) << c.record;
  EXPECT_NE (ros_find (r, 1)->ended, 0u) << "replaced by a new incarnation of its name";
  EXPECT_EQ (ros_find (r, 2)->ended, 0u);
}

TEST_F (Roster, ActiveAtOffset)
{
  apply (join ("a", 1, "x"));
  apply (join ("b", 2, "y"));
  apply (end (1));
  const struct ros_member *a = ros_find (r, 1);
  EXPECT_FALSE (ros_active_at (a, 0));
  EXPECT_TRUE (ros_active_at (a, 1));
  EXPECT_TRUE (ros_active_at (a, 2));
  EXPECT_FALSE (ros_active_at (a, 3));
}

/* The homes depend only on the active members, not on the order in which they
   joined and ended; an agent that remains a home keeps its time.  */
TEST_F (Roster, HomesDependOnActiveMembersOnly)
{
  const char *domains[] = { "x", "y", "z" };
  for (unsigned i = 1; i <= 9; i++)
    apply (join (("a" + std::to_string (i)).c_str (), i, domains[i % 3]));
  apply (end (4));
  apply (join ("b", 20, "y"));
  apply (end (7));

  struct ros_roster *other = talloc (mem, struct ros_roster);
  ros_init (other, mem);
  char *dump = ros_dump (mem, r);
  EXPECT_TRUE (ros_load (other, offset, 5, { dump, strlen (dump) }));
  unsigned same_domain = 0;
  for (unsigned b = 0; b < ROS_BUCKETS; b++)
    {
      ASSERT_EQ (ros_homes_digest (r, b), ros_homes_digest (other, b)) << b;
      const struct ros_member *first = ros_find (r, r->homes[b].member[0]);
      const struct ros_member *second = ros_find (r, r->homes[b].member[1]);
      ASSERT_NE (first, nullptr);
      ASSERT_NE (second, nullptr);
      same_domain += strcmp (first->domain, second->domain) == 0;
    }
  EXPECT_EQ (same_domain, 0u);
  std::vector<ros_home> before (r->homes, r->homes + ROS_BUCKETS);
  apply (end (1));
  for (unsigned b = 0; b < ROS_BUCKETS; b++)
    for (int i = 0; i < ROS_HOMES; i++)
      for (int j = 0; j < ROS_HOMES; j++)
        if (r->homes[b].member[i] == before[b].member[j])
          {
            ASSERT_EQ (r->homes[b].since_ms[i], before[b].since_ms[j]);
          }
  EXPECT_FALSE (ros_load (other, offset, 5, lv_slice_of ("{")));
  ros_finish (other);
}

/* Guards against a server that has left staying in use: its end was recorded
   while this process was cut off, and the peer's roster no longer has it.  */
TEST_F (Roster, MembersThatADumpLacksHaveEnded)
{
  const struct
  {
    unsigned left;
    bool ended;
  } cases[] = { { 1, false }, { 2, true }, { 3, true }, { 4, false } };
  apply (join ("a", 1, "x"));
  struct ros_roster *peer = talloc (mem, struct ros_roster);
  ros_init (peer, mem);
  std::string first = join ("a", 1, "x");
  ros_apply (peer, 1, 1000, { first.data (), first.size () });
  apply (join ("b", 2, "y"));
  apply (join ("c", 3, "z"));
  std::string last = join ("d", 4, "x");
  ros_apply (peer, 9, 9000, { last.data (), last.size () });
  char *dump = ros_dump (mem, peer);

  EXPECT_TRUE (ros_load (r, 9, 9000, lv_slice_of (dump)));
  for (const auto &c : cases)
    {
      SCOPED_TRACE (c.left);
      const struct ros_member *m = ros_find (r, c.left);
      ASSERT_NE (m, nullptr);
      EXPECT_EQ (m->ended != 0, c.ended);
      EXPECT_EQ (ros_active_at (m, 9), !c.ended);
    }
  for (unsigned b = 0; b < ROS_BUCKETS; b++)
    ASSERT_EQ (ros_homes_digest (r, b), ros_homes_digest (peer, b)) << b;
  ros_finish (peer);
}

TEST_F (Roster, TrimmedRecordsLimitWhatIsKnown)
{
  ros_start_at (r, 1);
  EXPECT_EQ (r->complete_from, 0u);
  ros_start_at (r, 100);
  EXPECT_EQ (r->complete_from, 99u);
  offset = 99;
  apply (join ("a", 1, "x", 7));
  EXPECT_EQ (ros_find (r, 1)->joined, 7u);
  apply (end (55));
  EXPECT_EQ (r->complete_from, 101u) << "an unknown member has ended";
  EXPECT_EQ (r->homes[0].since_ms[0], 101000u);
}

TEST (Rules, ErrorsOfInvalidLines)
{
  const struct
  {
    const char *text;
    uint32_t line;
    uint32_t column;
    const char *expected;
  } cases[] = {
    { "wight team a 3 # A: b", 1, 1, "weight, limit" },
    { "weight kind a 3 # A: b", 1, 8, "team after" },
    { "weight team a # A: b", 1, 15, "a whole number from 1" },
    { "weight team a 0 # A: b", 1, 15, "from 1 to 1000" },
    { "weight team a 3x # A: b", 1, 15, "a whole number" },
    { "limit team a 99999999999 # A: b", 1, 14, "a whole number" },
    { "weight team a 3", 1, 16, "# WHO: WHY" },
    { "weight team a 3 # because", 1, 19, "a name, a colon" },
    { "weight team a 3 # : why", 1, 19, "a name, a colon" },
    { "weight team a 3 # A:  ", 1, 19, "a name, a colon" },
    { "weight team a 3 4 # A: b", 1, 17, "# WHO: WHY" },
    { "refuse urgency soon # A: b", 1, 16, "urgent, normal or bulk" },
    { "drain team a # A: b", 1, 7, "domain after" },
    { "refuse kind a/b # A: b", 1, 13, "a name of" },
    { "# fine\r\n\r\nweight team a 3 # A: b\r\nweight team a 4 # B: c\r\n", 4, 1, "no duplicate of line 3" },
    { "weight team a 3 # A: \x01", 1, 22, "UTF-8" },
    { "weight team a 3 # A: \xff", 1, 22, "UTF-8" },
    { "weight team a 3 # A: \xc3", 1, 22, "UTF-8" },
  };
  for (const auto &c : cases)
    {
      struct rul_error errors[4] = {};
      uint32_t n = 0;
      EXPECT_EQ (rul_parse (nullptr, lv_slice_of (c.text), errors, 4, &n), nullptr) << c.text;
      ASSERT_EQ (n, 1u) << c.text;
      EXPECT_EQ (errors[0].line, c.line) << c.text;
      EXPECT_EQ (errors[0].column, c.column) << c.text;
      EXPECT_NE (std::string (errors[0].expected).find (c.expected), std::string::npos)
          << c.text << ": " << errors[0].expected;
    }
}

TEST (Rules, ValidAndOversizedFiles)
{
  struct rul_error errors[4];
  uint32_t n = 0;
  std::string text = "\xef\xbb\xbf# Thandi\r\n\r\nweight team a 3 # A: b\r\n"
                     "limit kind k 10#B: c\nrefuse urgency bulk # Zo\xc3\xab: d";
  struct rul_set *set = rul_parse (nullptr, { text.data (), text.size () }, errors, 4, &n);
  ASSERT_NE (set, nullptr);
  EXPECT_EQ (set->count, 3u);
  EXPECT_EQ (rul_value (set, RUL_WEIGHT, RUL_TEAM, lv_slice_of ("a"), 1), 3u);
  EXPECT_EQ (rul_value (set, RUL_WEIGHT, RUL_TEAM, lv_slice_of ("b"), 1), 1u);
  EXPECT_STREQ (rul_find (set, RUL_LIMIT, RUL_KIND, lv_slice_of ("k"))->comment, "B: c");
  talloc_free (set);

  /* Found by fuzzing: the parser read past a text that does not end in NUL.  */
  const char blanks[] = "weight team a 3 # A:    why";
  EXPECT_EQ (rul_parse (nullptr, { blanks, 23 }, errors, 4, &n), nullptr);

  std::string nul ("weight team a 3 # A: b\0", 23);
  EXPECT_EQ (rul_parse (nullptr, { nul.data (), nul.size () }, errors, 4, &n), nullptr);
  std::string many;
  for (int i = 0; i < 10000; i++)
    many += "weight team t" + std::to_string (i) + " 3 # A: b\n";
  EXPECT_EQ (rul_parse (nullptr, { many.data (), many.size () }, errors, 4, &n), nullptr);
  EXPECT_EQ (errors[0].line, RUL_COUNT_MAX + 1);
}

class RuleVersion : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    mem = talloc_new (nullptr);
  }
  void
  TearDown () override
  {
    talloc_free (mem);
  }
  std::string
  publish (uint64_t base, const char *id)
  {
    std::string text = "weight team " + std::string (id) + " 2 # A: b\n";
    return rvs_publish_record (mem, base, id, "t", { text.data (), text.size () });
  }
  std::string
  state (const struct rvs_state &s)
  {
    return rvs_state_record (mem, &s);
  }
  rvs_outcome
  apply (struct rvs_state *s, uint64_t offset, const std::string &record)
  {
    return rvs_apply (s, offset, offset, { record.data (), record.size () });
  }
  void *mem = nullptr;
};

TEST_F (RuleVersion, FirstOfConcurrentPublishesWins)
{
  struct rvs_state s;
  rvs_init (&s, mem);
  rvs_start_at (&s, 1);
  EXPECT_EQ (apply (&s, 1, publish (0, "a")), RVS_ACCEPTED);
  EXPECT_EQ (apply (&s, 2, publish (0, "b")), RVS_CONFLICT);
  EXPECT_EQ (apply (&s, 3, publish (1, "c")), RVS_ACCEPTED);
  EXPECT_EQ (apply (&s, 3, publish (2, "d")), RVS_UNCHANGED) << "replayed";
  EXPECT_EQ (apply (&s, 4, "{\"type\":\"publish\""), RVS_INVALID);
  EXPECT_EQ (apply (&s, 5, "{\"type\":\"publish\",\"base\":2,\"id\":\"x\",\"text\":\"bad\"}"), RVS_INVALID);
  EXPECT_EQ (s.version, 2u);
  EXPECT_STREQ (s.id, "c");
  rvs_finish (&s);
}

/* A reader of a log that was trimmed, at each possible first record, has either
   no version or the current one after each record, and the latest at the end.  */
TEST_F (RuleVersion, LateReadersAgree)
{
  struct rvs_state full;
  std::vector<std::string> log = { "" };
  std::vector<uint64_t> version = { 0 };
  rvs_init (&full, mem);
  rvs_start_at (&full, 1);
  auto add = [&] (const std::string &record) {
    log.push_back (record);
    apply (&full, log.size () - 1, record);
    version.push_back (full.version);
  };
  add (publish (0, "a"));
  add (publish (0, "b"));
  std::string late = state (full); /* taken at offset 2, appended at 4 */
  add (publish (1, "c"));
  add (late);
  add (publish (1, "d"));
  add (state (full));
  add (publish (2, "e"));
  add (state (full));
  add (publish (2, "f"));
  add (state (full));
  for (size_t first = 1; first < log.size (); first++)
    {
      struct rvs_state s;
      uint64_t last = 0;
      rvs_init (&s, mem);
      for (size_t o = first; o < log.size (); o++)
        {
          rvs_start_at (&s, first);
          apply (&s, o, log[o]);
          EXPECT_TRUE (s.version == 0 || s.version == version[o]) << first << " " << o;
          EXPECT_GE (s.version, last);
          last = s.version;
        }
      EXPECT_EQ (s.version, full.version) << first;
      EXPECT_STREQ (s.id, full.id) << first;
      rvs_finish (&s);
    }
  rvs_finish (&full);
}

TEST_F (RuleVersion, GapKeepsTheCurrentVersion)
{
  struct rvs_state s;
  struct rvs_state peer;
  rvs_init (&s, mem);
  rvs_start_at (&s, 1);
  apply (&s, 1, publish (0, "a"));
  rvs_start_at (&s, 50);
  EXPECT_FALSE (s.synced);
  EXPECT_EQ (s.version, 1u);
  EXPECT_EQ (apply (&s, 50, publish (1, "lost")), RVS_PENDING);
  EXPECT_EQ (s.version, 1u);
  EXPECT_FALSE (rvs_adopt (&s, 5, 10, "x", lv_slice_of ("weight team a 2 # A: b")))
      << "records between 10 and 50 are missing";
  EXPECT_TRUE (rvs_adopt (&s, 5, 49, "x", lv_slice_of ("weight team a 2 # A: b")));
  EXPECT_EQ (s.version, 5u);
  EXPECT_EQ (s.accepted_ms, 0u) << "not that of version 1";
  EXPECT_FALSE (rvs_adopt (&s, 4, 60, "y", lv_slice_of (""))) << "lower version";
  rvs_init (&peer, mem);
  EXPECT_TRUE (rvs_adopt (&peer, 3, 9, "z", lv_slice_of (""))) << "no log read yet";
  rvs_finish (&peer);
  rvs_finish (&s);
}

struct Settings
{
  char *name;
  uint64_t wait_ms;
  char *address;
  struct set_strings list;
};

TEST (SettingsFile, ValidAndInvalid)
{
  const struct set_key keys[] = {
    { "name", SET_STRING, offsetof (Settings, name), nullptr, 0, 0, "name" },
    { "queue.wait_ms", SET_UINT, offsetof (Settings, wait_ms), "5", 1, 100, "milliseconds" },
    { "listen", SET_ADDRESS, offsetof (Settings, address), "", 0, 0, "IP:PORT" },
    { "list", SET_STRINGS, offsetof (Settings, list), "", 0, 0, "names" },
    { nullptr, SET_STRING, 0, nullptr, 0, 0, nullptr },
  };
  const struct
  {
    const char *text;
    const char *error; /* empty: valid */
  } cases[] = {
    { "{ // comment\n \"name\": \"a\" /* more */ }", "" },
    { "{\"name\":\"a\",\"queue\":{\"wait_ms\":7},\"list\":[\"x\"]}", "" },
    { "{}", "key name: missing" },
    { "{\"name\":\"a\",\"nmae\":1}", "key nmae: unknown" },
    { "{\"name\":\"a\",\"queue\":{\"wiat\":1}}", "key queue.wiat: unknown" },
    { "{\"name\":3}", "key name: found 3" },
    { "{\"name\":\"a\",\"queue\":{\"wait_ms\":\"7s\"}}", "key queue.wait_ms: found \"7s\"" },
    { "{\"name\":\"a\",\"queue\":{\"wait_ms\":700}}", "key queue.wait_ms: found 700" },
    { "{\"name\":\"a\",\"queue\":{\"wait_ms\":-1}}", "key queue.wait_ms: found -1" },
    { "{\"name\":\"a\",\"listen\":\"host:1\"}", "key listen" },
    { "{\"name\":\"a\",\"listen\":\"1.2.3.4:99999\"}", "key listen" },
    { "{\"name\":\"a\",\"list\":[1]}", "key list" },
    { "{\"name\":\"a\\nb\"}", "key name" },
    { "{\"name\":\"\\u0000a\"}", "key name" },
    { "{\"name\":\"a\xff\"}", "key name" },
    { "{\"name\":\"a\",\"list\":[\"x\\u001by\"]}", "key list" },
    { "{\"name\":\"a\"\n,\n,}", "line 3" },
    { "[1]", "expected a JSON object" },
    { "", "line 1" },
  };
  for (const auto &c : cases)
    {
      char path[] = "/tmp/settings-XXXXXX";
      int fd = mkstemp (path);
      ASSERT_EQ (write (fd, c.text, strlen (c.text)), (ssize_t)strlen (c.text));
      close (fd);
      void *mem = talloc_new (nullptr);
      Settings out = {};
      struct err_error err = {};
      int rc = set_load (mem, keys, &out, path, &err);
      EXPECT_EQ (rc == 0, c.error[0] == '\0') << c.text << err.detail;
      EXPECT_NE (std::string (err.detail).find (c.error), std::string::npos)
          << c.text << " -> " << err.detail;
      talloc_free (mem);
      unlink (path);
    }
}
}
