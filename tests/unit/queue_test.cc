#include <cmath>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>
extern "C"
{
#include <talloc.h>

#include "lagoonvale/queue.h"
#include "lagoonvale/usage.h"
}

namespace
{
constexpr uint64_t kMs = 1000000;

struct Item
{
  struct que_item item;
  std::string name;
};

class Queue : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    mem = talloc_new (nullptr);
    que_init (&q, mem, que_order_find ("ratio"));
  }
  void
  TearDown () override
  {
    que_finish (&q);
    talloc_free (mem);
  }
  void
  push (Item *i, const char *team, que_urgency u, const char *kind,
        uint64_t est_ms, uint64_t now_ms = 0, uint64_t spread_ms = 0)
  {
    que_push (&q, &i->item, lv_slice_of (team), u, lv_slice_of (kind),
              est_ms * kMs, spread_ms * kMs, now_ms * kMs);
  }
  Item *
  pop (uint64_t now_ms)
  {
    struct que_item *i = que_peek (&q, now_ms * kMs, nullptr, nullptr);
    if (i != nullptr)
      que_take (&q, i, now_ms * kMs);
    return (Item *)i;
  }
  void
  done (const char *team, uint64_t now_ms)
  {
    que_release (&q, lv_slice_of (team), QUE_NORMAL, lv_slice_of ("k"), 1,
              now_ms * kMs);
  }
  void *mem = nullptr;
  struct que_queue q = {};
};

TEST_F (Queue, UrgentFirstWithinShares)
{
  Item a = { {}, "bulk" }, b = { {}, "urgent" }, c = { {}, "normal" };
  push (&a, "t", QUE_BULK, "k", 100);
  push (&c, "u", QUE_NORMAL, "k", 100);
  push (&b, "v", QUE_URGENT, "k", 100);
  EXPECT_EQ (pop (1)->name, "urgent");
  EXPECT_EQ (pop (1)->name, "normal");
  EXPECT_EQ (pop (1)->name, "bulk");
  EXPECT_EQ (pop (1), nullptr);
}

/* A light team gets its share of the slots while another team floods the
   queue, whatever the urgency of the flood.  */
TEST_F (Queue, FloodTakesNoMoreThanItsShare)
{
  for (que_urgency flood : { QUE_URGENT, QUE_NORMAL, QUE_BULK })
    {
      std::vector<Item> items (400);
      TearDown ();
      SetUp ();
      q.slots = 88;
      for (int i = 0; i < 300; i++)
        {
          items[i].name = "flood";
          push (&items[i], "flooder", flood, "k", 100);
        }
      for (int i = 300; i < 400; i++)
        {
          items[i].name = "light";
          push (&items[i], "light", QUE_NORMAL, "k", 100);
        }
      std::map<std::string, int> served;
      for (int i = 0; i < 90; i++)
        served[pop (1)->name]++;
      EXPECT_GE (served["light"], 44) << "flood of urgency " << flood;
    }
}

/* Within one team, a flood of urgent tasks leaves the other urgencies their
   share, and a flood of one kind leaves the other kinds theirs.  */
TEST_F (Queue, FloodWithinATeamDoesNotStarveTheRest)
{
  std::vector<Item> items (300);
  q.slots = 88;
  for (int i = 0; i < 200; i++)
    {
      items[i].name = i < 100 ? "urgent" : "poster";
      push (&items[i], "t", i < 100 ? QUE_URGENT : QUE_NORMAL,
            i < 100 ? "k" : "poster", 100);
    }
  for (int i = 200; i < 300; i++)
    {
      items[i].name = "sheet";
      push (&items[i], "t", QUE_NORMAL, "sheet", 100);
    }
  std::map<std::string, int> served;
  for (int i = 0; i < 84; i++)
    served[pop (1)->name]++;
  EXPECT_NEAR (served["urgent"], 56, 2);
  EXPECT_NEAR (served["poster"], 14, 2);
  EXPECT_NEAR (served["sheet"], 14, 2);
}

TEST_F (Queue, EndedTasksReleaseTheShare)
{
  std::vector<Item> items (30);
  q.slots = 10;
  for (int i = 0; i < 30; i++)
    {
      items[i].name = i % 2 ? "a" : "b";
      push (&items[i], items[i].name.c_str (), QUE_NORMAL, "k", 100, i);
    }
  for (int i = 0; i < 10; i++)
    pop (100);
  for (int i = 0; i < 5; i++)
    done ("a", 100);
  for (int i = 0; i < 5; i++)
    EXPECT_EQ (pop (100)->name, "a");
}

/* Three teams share 30 slots.  A flood has occupied 25 of them for a long time
   when a light team submits 20 tasks.  The flood releases 15 slots, down to
   its share of 10: counts those that go to the light team, without and with
   bursts.  */
TEST_F (Queue, LightTeamMayBurst)
{
  const struct
  {
    uint64_t decay_ns;
    int min, max;
  } cases[] = { { 0, 10, 13 }, { QUE_DECAY_NS, 15, 15 } };
  for (const auto &c : cases)
    {
      std::vector<Item> items (125);
      TearDown ();
      SetUp ();
      q.slots = 30;
      q.decay_ns = c.decay_ns;
      for (int i = 0; i < 5; i++)
        push (&items[i], "other", QUE_NORMAL, "k", 100);
      for (int i = 0; i < 5; i++)
        pop (0);
      for (int i = 5; i < 105; i++)
        push (&items[i], "flood", QUE_NORMAL, "k", 100);
      for (int i = 0; i < 25; i++)
        pop (0);
      for (int i = 105; i < 125; i++)
        {
          items[i].name = "light";
          push (&items[i], "light", QUE_NORMAL, "k", 100, 20000);
        }
      int light_started = 0;
      for (int i = 0; i < 15; i++)
        {
          done ("flood", 20000 + i);
          light_started += pop (20000 + i)->name == "light";
        }
      EXPECT_GE (light_started, c.min);
      EXPECT_LE (light_started, c.max);
    }
}

/* A team that was idle floods the queue with urgent tasks while another team
   always has work: the other team keeps its half of the slots.  */
TEST_F (Queue, BurstTakesNoShareFromOthers)
{
  std::vector<Item> steady (9000), flood (9000);
  q.slots = 80;
  for (int i = 0; i < 9000; i++)
    {
      steady[i].name = "steady";
      flood[i].name = "flood";
      push (&steady[i], "steady", QUE_NORMAL, "k", 100);
    }
  std::deque<std::string> running;
  std::map<std::string, int> occupied;
  int steady_min = 80;
  for (uint64_t now = 0; now < 80000; now += 10)
    {
      if (now == 20000)
        for (Item &i : flood)
          push (&i, "flood", QUE_URGENT, "k", 100, now);
      if (running.size () == 80)
        {
          std::string ended = running.front ();
          que_release (&q, lv_slice_of (ended.c_str ()),
                    ended == "flood" ? QUE_URGENT : QUE_NORMAL,
                    lv_slice_of ("k"), 1, now * kMs);
          occupied[ended]--;
          running.pop_front ();
        }
      Item *i = pop (now);
      running.push_back (i->name);
      occupied[i->name]++;
      if (now > 20000)
        steady_min = std::min (steady_min, occupied["steady"]);
    }
  EXPECT_GE (steady_min, 39);
  EXPECT_NEAR (occupied["flood"], 40, 1);
}

/* Team names come from callers, so memory of idle teams must be freed; teams
   with waiting or running tasks stay.  */
TEST_F (Queue, IdleTeamsAreEvicted)
{
  const size_t before = talloc_total_size (mem);
  std::vector<Item> items (1001);
  for (int i = 0; i < 1000; i++)
    {
      std::string team = "team" + std::to_string (i);
      push (&items[i], team.c_str (), QUE_NORMAL, "k", 100);
      ASSERT_NE (pop (1), nullptr);
      if (i % 2)
        done (team.c_str (), 60000);
    }
  push (&items[1000], "waits", QUE_NORMAL, "k", 100);
  que_evict_idle (&q, 60000 * kMs);
  EXPECT_GT (talloc_total_size (mem), before + 1000 * sizeof (double))
      << "average use is still too high to evict";
  que_evict_idle (&q, 300000 * kMs);
  for (int i = 0; i < 1000; i += 2)
    done (("team" + std::to_string (i)).c_str (), 300000);
  EXPECT_EQ (pop (300001), &items[1000]);
  done ("waits", 300002);
  que_evict_idle (&q, 900000 * kMs);
  EXPECT_EQ (q.flows, nullptr);
  EXPECT_EQ (q.teams, nullptr);
  EXPECT_NEAR (q.weight_sum, 0, 1e-6);
  EXPECT_EQ (talloc_total_size (mem), before);
}

/* A task that cannot be queued for want of memory must be refused; what was
   allocated for it before must leave the queue usable.  */
TEST_F (Queue, OutOfMemoryRefusesTheTask)
{
  size_t used = talloc_total_size (mem); /* 0: a limit of 0 is none */
  unsigned refused = 0;

  for (size_t more = 16; more < 4000; more += 16)
    {
      Item i = {};

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wdeprecated-declarations"
      talloc_set_memlimit (mem, used + more);
#pragma GCC diagnostic pop
      if (que_push (&q, &i.item, lv_slice_of ("t"), QUE_NORMAL, lv_slice_of ("k"), kMs, 0, 0) != 0)
        {
          refused++;
          continue;
        }
      EXPECT_EQ (que_peek (&q, kMs, nullptr, nullptr), &i.item);
      que_take (&q, &i.item, kMs);
      break;
    }
  EXPECT_GT (refused, 2u);
  EXPECT_EQ (que_peek (&q, kMs, nullptr, nullptr), nullptr);
}

TEST (Usage, Mean)
{
  const struct
  {
    uint64_t decay_ns, at_ms;
    double mean;
  } cases[] = { { 0, 1000, 8 },
                { kMs * 1000, 0, 0 },
                { kMs * 1000, 1000, 8 * (1 - exp (-1.0)) },
                { kMs * 1000, 60000, 8 } };
  for (const auto &c : cases)
    {
      struct usg_usage usage = {};
      usg_update (&usage, 8, 0, c.decay_ns);
      EXPECT_NEAR (usg_mean (&usage, c.at_ms * kMs, c.decay_ns), c.mean,
                   1e-9);
      usg_update (&usage, -9, c.at_ms * kMs, c.decay_ns);
      EXPECT_EQ (usage.running, 0u);
    }
}

TEST_F (Queue, LargeJobDoesNotBlockLaterSmallOnes)
{
  std::vector<Item> large (990);
  Item small = { {}, "small" };
  for (int i = 0; i < 990; i++)
    push (&large[i], "t", QUE_NORMAL, "k", 100, 0, i * 5);
  push (&small, "t", QUE_NORMAL, "k", 100, 10);
  int before = 0;
  while (pop (20)->name != "small")
    before++;
  EXPECT_LE (before, 10);
}

TEST_F (Queue, OrdersWithinAFlow)
{
  const struct
  {
    const char *order;
    const char *first;
  } cases[] = { { "arrival", "long" }, { "shortest", "short" }, { "ratio", "short" } };
  for (const auto &c : cases)
    {
      Item a = { {}, "long" }, b = { {}, "short" };
      q.order = que_order_find (c.order);
      push (&a, "t", QUE_NORMAL, "k", 4000, 0);
      push (&b, "t", QUE_NORMAL, "k", 50, 10);
      EXPECT_EQ (pop (1000)->name, c.first) << c.order;
      pop (1000);
    }
  Item a = { {}, "long" }, b = { {}, "short" };
  q.order = que_order_find ("ratio");
  push (&a, "t", QUE_NORMAL, "k", 4000, 0);
  push (&b, "t", QUE_NORMAL, "k", 50, 9990);
  EXPECT_EQ (pop (10000)->name, "long") << "a long task must not starve";
  EXPECT_EQ (que_order_find ("none"), nullptr);
}

TEST_F (Queue, RemoveFromAnyPosition)
{
  std::vector<Item> items (200);
  for (int i = 0; i < 200; i++)
    push (&items[i], i % 2 ? "t" : "u", QUE_NORMAL, "k", 50 + i % 7 * 100, i);
  for (int i = 0; i < 200; i += 3)
    que_remove (&q, &items[i].item);
  que_remove (&q, &items[0].item);
  size_t left = 0;
  while (pop (1000) != nullptr)
    left++;
  EXPECT_EQ (left, 133u);
  EXPECT_EQ (q.count, 0u);
  EXPECT_EQ (q.work_ns, 0u);
}
}
