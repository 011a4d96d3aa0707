#include <algorithm>
#include <cstring>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <string>
#include <talloc.h>
#include <vector>
extern "C"
{
#include "pendingjoin.h"
}

namespace
{
constexpr uint64_t kMs = 1000000;

/* Connections are told apart by address only.  */
char conns[64];

class PendingJoin : public testing::Test
{
protected:
  void
  SetUp () override
  {
    context = talloc_new (nullptr);
    pjn_init (&list, context);
  }

  void
  TearDown () override
  {
    pjn_finish (&list);
    talloc_free (context);
  }

  void
  arrive (unsigned conn, const char *name, uint64_t now_ns)
  {
    lvp_join join = {};

    join.name = strdup (name);
    join.service = strdup ("s");
    join.domain = strdup ("d");
    pjn_add (&list, &conns[conn], &join, now_ns);
  }

  /* A further message on CONN.  Returns whether its join counts.  */
  bool
  confirm (unsigned conn)
  {
    struct pjn_join *join = pjn_find (&list, &conns[conn]);
    struct pjn_join *former;

    if (join == nullptr)
      return false;
    while ((former = pjn_find_superseded (&list, join)) != nullptr)
      pjn_remove (&list, former);
    pjn_remove (&list, join);
    return true;
  }

  void *context = nullptr;
  struct pjn_list list = {};
};

// Guards against a join that counts after a later one of the same agent, and
// against one that drops those of other agents.
TEST_F (PendingJoin, CountsUnlessALaterOneIsConfirmed)
{
  const struct
  {
    const char *what;
    std::vector<std::pair<unsigned, const char *> > arrivals;
    std::vector<std::pair<unsigned, bool> > messages;
  } cases[] = {
    { "one", { { 0, "a" } }, { { 0, true } } },
    { "without a join", { { 0, "a" } }, { { 1, false } } },
    { "each counts once", { { 0, "a" } }, { { 0, true }, { 0, false } } },
    { "in order", { { 0, "a" }, { 1, "a" } }, { { 0, true }, { 1, true } } },
    { "the earlier one is too late",
      { { 0, "a" }, { 1, "a" } },
      { { 1, true }, { 0, false } } },
    { "of two agents",
      { { 0, "a" }, { 1, "b" } },
      { { 1, true }, { 0, true } } },
    { "twice on one connection",
      { { 0, "a" }, { 1, "b" }, { 0, "a" } },
      { { 1, true }, { 0, true } } },
  };
  for (const auto &c : cases)
    {
      SCOPED_TRACE (c.what);
      for (const auto &arrival : c.arrivals)
        arrive (arrival.first, arrival.second, kMs);
      for (const auto &message : c.messages)
        EXPECT_EQ (confirm (message.first), message.second) << message.first;
      pjn_finish (&list);
    }
}

TEST_F (PendingJoin, ExpiresInTheOrderOfArrival)
{
  arrive (0, "a", 1000 * kMs);
  arrive (1, "b", 1500 * kMs);
  EXPECT_EQ (pjn_find_expired (&list, 1000 * kMs + PJN_TIMEOUT_NS - 1),
             nullptr);
  struct pjn_join *join
      = pjn_find_expired (&list, 1000 * kMs + PJN_TIMEOUT_NS);
  ASSERT_NE (join, nullptr);
  EXPECT_EQ (join->conn, &conns[0]);
  pjn_remove (&list, join);
  EXPECT_EQ (pjn_find_expired (&list, 1000 * kMs + PJN_TIMEOUT_NS), nullptr);
  EXPECT_NE (pjn_find_expired (&list, UINT64_MAX), nullptr);
}

// 20,000 random histories of an agent whose connections are held up at random:
// it opens one after the other, gives up one that is silent for half a second,
// and answers on none that it has given up.  What was sent arrives all the
// same.  No join counts after one that was sent later.
TEST_F (PendingJoin, RandomHistoriesNeverGoBack)
{
  struct Event
  {
    uint64_t at;
    unsigned conn;
    bool is_join;
  };
  const uint64_t delays[] = { 1, 3, 30, 300, 900, 2500 };
  unsigned counted = 0;

  for (unsigned seed = 0; seed < 20000; seed++)
    {
      std::mt19937 random (seed);
      std::vector<Event> events;
      uint64_t dialed = 1000;

      for (unsigned conn = 0; conn < 12; conn++)
        {
          uint64_t given_up = dialed + 50 + random () % 1500;
          uint64_t arrived = dialed + delays[random () % 6];
          uint64_t answered = arrived + delays[random () % 6];

          if (answered > dialed + 500)
            given_up = std::min (given_up, dialed + 500);
          events.push_back ({ arrived, conn, true });
          if (answered < given_up)
            events.push_back (
                { std::max (arrived, answered + delays[random () % 6]), conn,
                  false });
          dialed = given_up + 50;
        }
      std::stable_sort (
          events.begin (), events.end (),
          [] (const Event &a, const Event &b) { return a.at < b.at; });
      int newest = -1;
      for (const auto &e : events)
        if (e.is_join)
          arrive (e.conn, "a", e.at * kMs);
        else if (confirm (e.conn))
          {
            EXPECT_GT ((int)e.conn, newest) << seed;
            newest = (int)e.conn;
            counted++;
          }
      pjn_finish (&list);
    }
  EXPECT_GT (counted, 20000U);
}
} // namespace
