#include <cmath>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>
extern "C"
{
#include <errno.h>
#include <talloc.h>

#include "lagoonvale/adopt.h"
#include "lagoonvale/estimate.h"
#include "lagoonvale/grant.h"
#include "lagoonvale/health.h"
#include "lagoonvale/keybind.h"
#include "lagoonvale/placement.h"
#include "lagoonvale/queue.h"
#include "lagoonvale/share.h"
#include "lagoonvale/sid.h"
#include "lagoonvale/submission.h"
}

namespace
{
constexpr uint64_t kMs = 1000000;

TEST (Sid, TextForms)
{
  struct sid_id id = {};
  struct sid_id back = {};
  char text[SID_TEXT_MAX];
  id.owner = 0x123456789abcdef0;
  id.roster = 77;
  id.minted_ms = 1234567890123;
  id.seq = 42;
  id.addr = 0x7f000001;
  id.port = 65535;
  sid_format (&id, text);
  ASSERT_EQ (sid_parse (&back, lv_slice_of (text)), 0);
  EXPECT_TRUE (sid_equal (&id, &back));

  const std::string good = text;
  const std::string bad[] = { "", "lv1", good + "g", good.substr (1), good + "-1",
                              " " + good, "lv2" + good.substr (3),
                              std::string (200, 'a') };
  for (const std::string &b : bad)
    EXPECT_EQ (sid_parse (&back, { b.data (), b.size () }), -EINVAL) << b;
}

TEST (Submission, Verdicts)
{
  enum Op { Sent, Ran, Failed, NotStarted, Fenced, Cut, GiveUp, Close, Found };
  struct Step
  {
    Op op;
    uint32_t task;
  };
  struct Case
  {
    const char *name;
    std::vector<Step> steps;
    sub_verdict want;
  };
  const Case cases[] = {
    { "nothing yet", {}, SUB_OPEN },
    { "half", { { Sent, 0 }, { Sent, 1 }, { Ran, 0 } }, SUB_OPEN },
    { "all ran", { { Sent, 0 }, { Sent, 1 }, { Ran, 1 }, { Ran, 0 } }, SUB_COMPLETE },
    { "a late second report changes nothing",
      { { Sent, 0 }, { Ran, 0 }, { Failed, 0 }, { Sent, 1 }, { Ran, 1 } }, SUB_COMPLETE },
    { "a task failed", { { Sent, 0 }, { Failed, 0 } }, SUB_MAY_HAVE_RUN },
    { "refused, then run", { { Sent, 0 }, { NotStarted, 0 }, { Sent, 0 }, { Ran, 0 }, { Sent, 1 }, { Ran, 1 } }, SUB_COMPLETE },
    { "cut and found to have run", { { Sent, 0 }, { Cut, 0 }, { Ran, 0 }, { Sent, 1 }, { Ran, 1 } }, SUB_COMPLETE },
    { "cut and never resolved", { { Sent, 0 }, { Cut, 0 }, { GiveUp, 0 } }, SUB_MAY_HAVE_RUN },
    { "closed before any start", { { Close, 0 } }, SUB_REFUSED },
    { "closed while a start is in flight", { { Sent, 0 }, { Close, 0 } }, SUB_OPEN },
    { "closed, and the start was refused", { { Sent, 0 }, { Close, 0 }, { NotStarted, 0 } }, SUB_REFUSED },
    { "closed, and the start had run", { { Sent, 0 }, { Close, 0 }, { Ran, 0 } }, SUB_MAY_HAVE_RUN },
    { "another owner holds it", { { Sent, 0 }, { Fenced, 0 } }, SUB_MAY_HAVE_RUN },
    { "adopted, the rest run", { { Found, 0 }, { Ran, 0 }, { Sent, 1 }, { Ran, 1 } }, SUB_COMPLETE },
  };
  for (const Case &c : cases)
    {
      SCOPED_TRACE (c.name);
      struct sub_task tasks[2];
      struct sub_core s;
      sub_init (&s, tasks, 2);
      for (const Step &step : c.steps)
        switch (step.op)
          {
          case Sent:
            ASSERT_TRUE (sub_may_send (&s, step.task));
            sub_sent (&s, step.task, 9);
            break;
          case Ran:
            sub_hear (&s, step.task, 9, SUB_OUT_RAN);
            break;
          case Failed:
            sub_hear (&s, step.task, 9, SUB_OUT_FAILED);
            break;
          case NotStarted:
            sub_hear (&s, step.task, 9, SUB_OUT_NOT_STARTED);
            break;
          case Fenced:
            sub_hear (&s, step.task, 9, SUB_OUT_FENCED);
            break;
          case Cut:
            EXPECT_EQ (sub_cut (&s, step.task), SUB_STEP_RESOLVE);
            break;
          case GiveUp:
            sub_give_up (&s, step.task);
            break;
          case Close:
            sub_close (&s);
            break;
          case Found:
            sub_found (&s, step.task, 9);
            break;
          }
      EXPECT_EQ (s.verdict, c.want);
    }
}

TEST (Submission, AnotherTargetsReportIsVoid)
{
  struct sub_task task[1];
  struct sub_core s;
  sub_init (&s, task, 1);
  sub_sent (&s, 0, 9);
  sub_hear (&s, 0, 8, SUB_OUT_RAN);
  EXPECT_EQ (s.verdict, SUB_OPEN);
  EXPECT_FALSE (sub_may_send (&s, 0));
}

TEST (Adopt, NextStep)
{
  struct Case
  {
    const char *name;
    std::vector<adp_state> agents;
    uint64_t rival;
    adp_action want;
  };
  const Case cases[] = {
    { "answers to come", { ADP_FENCED, ADP_PENDING }, 0, ADP_WAIT },
    { "all fenced", { ADP_FENCED, ADP_FENCED }, 0, ADP_GO },
    { "most is not all", { ADP_FENCED, ADP_FENCED, ADP_GONE }, 0, ADP_UNCERTAIN },
    { "a finished rival below us", { ADP_HELD, ADP_HELD }, 5, ADP_YIELD },
    { "an unfinished rival below us", { ADP_FENCED, ADP_HELD }, 5, ADP_PRESS },
    { "a rival above us", { ADP_FENCED, ADP_HELD }, 50, ADP_YIELD },
  };
  for (const Case &c : cases)
    {
      SCOPED_TRACE (c.name);
      struct adp_agent agents[3] = {};
      struct led_holder self = { 10, 1, 1 };
      struct led_holder rival = { c.rival, 2, 2 };
      struct adp_adoption a;
      adp_init (&a, agents, (uint32_t)c.agents.size (), &self);
      for (uint32_t i = 0; i < a.count; i++)
        if (c.agents[i] == ADP_FENCED)
          adp_fenced (&a, i);
        else if (c.agents[i] == ADP_HELD)
          adp_held (&a, i, &rival);
        else if (c.agents[i] == ADP_GONE)
          adp_gone (&a, i);
      EXPECT_EQ (adp_next (&a), c.want);
    }
}

TEST (Grant, NeverMoreThanCapacity)
{
  struct grt_grants g;
  uint64_t seed = 1;
  grt_init (&g, 8);
  std::vector<int> places;
  for (int i = 0; i < 3; i++)
    places.push_back (grt_join (&g));
  for (int step = 0; step < 20000; step++)
    {
      seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
      unsigned place = places[(seed >> 33) % places.size ()];
      switch ((seed >> 40) % 5)
        {
        case 0:
          grt_spend (&g, place);
          break;
        case 1:
          grt_end (&g, place);
          break;
        case 2:
          grt_demand (&g, place, (seed >> 50) % 20, (seed >> 52) % 9, (seed >> 45) % 3);
          break;
        case 3:
          grt_return (&g, place, (seed >> 50) % 4);
          break;
        default:
          grt_balance (&g);
        }
      uint32_t sum = 0;
      for (const auto &s : g.session)
        sum += s.credits + s.running;
      ASSERT_LE (sum, 8u);
    }
}

TEST (Grant, WhoGetsAFreedSlot)
{
  struct Case
  {
    const char *name;
    uint32_t running[2];
    uint32_t queued[2];
    uint32_t entitled[2];
    uint32_t urgency[2];
    int winner;
  };
  const Case cases[] = {
    { "the one whose work waits", { 3, 4 }, { 0, 5 }, { 0, 0 }, { 0, 0 }, 1 },
    { "the one with fewer slots", { 5, 2 }, { 9, 9 }, { 0, 0 }, { 0, 2 }, 1 },
    { "of equals, the more urgent", { 3, 3 }, { 9, 9 }, { 0, 0 }, { 1, 0 }, 1 },
    { "the one where a team below its share waits", { 2, 5 }, { 9, 9 }, { 0, 1 }, { 0, 2 }, 1 },
  };
  for (const Case &c : cases)
    {
      SCOPED_TRACE (c.name);
      struct grt_grants g;
      grt_init (&g, c.running[0] + c.running[1] + 1);
      for (int i = 0; i < 2; i++)
        {
          grt_join (&g);
          g.session[i].running = c.running[i];
          grt_demand (&g, i, c.queued[i], c.entitled[i], c.urgency[i]);
        }
      grt_balance (&g);
      EXPECT_EQ (g.session[c.winner].change, 1);
    }
}

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
    que_done (&q, lv_slice_of (team), QUE_NORMAL, lv_slice_of ("k"), 1,
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

/* Service that a light team gets while another floods, by urgency of the
   flood: its share is kept in each case.  */
TEST_F (Queue, NoFloodTakesMoreThanItsShare)
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

/* Of one team's own work, a flood of the most urgent leaves the rest its
   part, and a flood of one kind leaves the other kinds theirs.  */
TEST_F (Queue, NoFloodWithinATeamStarvesTheRest)
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

TEST_F (Queue, EndedTasksFreeTheShare)
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

/* Three teams share 30 slots; a flood has held 25 of them for long when a
   light team brings a job of 20 tasks: how many of the next 15 slots it gets,
   the flood's own share of 10 apart.  */
TEST_F (Queue, ALightTeamMayBurst)
{
  const struct
  {
    uint64_t memory_ns;
    int least, most;
  } cases[] = { { 0, 10, 13 }, { QUE_MEMORY_NS, 15, 15 } };
  for (const auto &c : cases)
    {
      std::vector<Item> items (125);
      TearDown ();
      SetUp ();
      q.slots = 30;
      q.memory_ns = c.memory_ns;
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
      int got = 0;
      for (int i = 0; i < 15; i++)
        {
          done ("flood", 20000 + i);
          got += pop (20000 + i)->name == "light";
        }
      EXPECT_GE (got, c.least);
      EXPECT_LE (got, c.most);
    }
}

/* A team that was idle floods, urgently, beside one that always has work: it
   never takes from the other's half.  */
TEST_F (Queue, ABurstTakesNoShareFromOthers)
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
  std::map<std::string, int> held;
  int least = 80;
  for (uint64_t now = 0; now < 80000; now += 10)
    {
      if (now == 20000)
        for (Item &i : flood)
          push (&i, "flood", QUE_URGENT, "k", 100, now);
      if (running.size () == 80)
        {
          std::string ended = running.front ();
          que_done (&q, lv_slice_of (ended.c_str ()),
                    ended == "flood" ? QUE_URGENT : QUE_NORMAL,
                    lv_slice_of ("k"), 1, now * kMs);
          held[ended]--;
          running.pop_front ();
        }
      Item *i = pop (now);
      running.push_back (i->name);
      held[i->name]++;
      if (now > 20000)
        least = std::min (least, held["steady"]);
    }
  EXPECT_GE (least, 39);
  EXPECT_NEAR (held["flood"], 40, 1);
}

/* Names that callers made up once do not stay; a team at work does.  */
TEST_F (Queue, IdleTeamsAreForgotten)
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
  que_forget (&q, 60000 * kMs);
  EXPECT_GT (talloc_total_size (mem), before + 1000 * sizeof (double))
      << "used too lately to forget";
  que_forget (&q, 300000 * kMs);
  for (int i = 0; i < 1000; i += 2)
    done (("team" + std::to_string (i)).c_str (), 300000);
  EXPECT_EQ (pop (300001), &items[1000]);
  done ("waits", 300002);
  que_forget (&q, 900000 * kMs);
  EXPECT_EQ (q.flows, nullptr);
  EXPECT_EQ (q.teams, nullptr);
  EXPECT_NEAR (q.weights, 0, 1e-6);
  EXPECT_EQ (talloc_total_size (mem), before);
}

TEST (Share, Lately)
{
  const struct
  {
    uint64_t memory_ns, at_ms;
    double lately;
  } cases[] = { { 0, 1000, 8 },
                { kMs * 1000, 0, 0 },
                { kMs * 1000, 1000, 8 * (1 - exp (-1.0)) },
                { kMs * 1000, 60000, 8 } };
  for (const auto &c : cases)
    {
      struct shr_use use = {};
      shr_change (&use, 8, 0, c.memory_ns);
      EXPECT_NEAR (shr_lately (&use, c.at_ms * kMs, c.memory_ns), c.lately,
                   1e-9);
      shr_change (&use, -9, c.at_ms * kMs, c.memory_ns);
      EXPECT_EQ (use.running, 0u);
    }
}

TEST_F (Queue, AGiantJobLetsLaterSmallOnesThrough)
{
  std::vector<Item> giant (990);
  Item small = { {}, "small" };
  for (int i = 0; i < 990; i++)
    push (&giant[i], "t", QUE_NORMAL, "k", 100, 0, i * 5);
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
  EXPECT_EQ (pop (10000)->name, "long") << "long work does not starve";
  EXPECT_EQ (que_order_find ("none"), nullptr);
}

TEST_F (Queue, RemoveFromAnywhere)
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

TEST (Estimate, LearnsAndForgets)
{
  void *mem = talloc_new (nullptr);
  struct est_table t;
  struct lv_slice k = lv_slice_of ("k");
  est_init (&t, mem);
  EXPECT_EQ (est_mean (&t, k), EST_UNSEEN_NS);
  for (int i = 0; i < 100; i++)
    est_observe (&t, k, 50 * kMs, true);
  EXPECT_NEAR (est_mean (&t, k), 50 * kMs, kMs);
  EXPECT_NEAR (est_quantile (&t, k, 0.5), 50 * kMs, 10 * kMs);
  for (int i = 0; i < 5000; i++)
    est_observe (&t, k, 800 * kMs, true);
  EXPECT_NEAR (est_mean (&t, k), 800 * kMs, 10 * kMs);
  for (int i = 0; i < 100; i++)
    est_observe (&t, k, 0, false);
  EXPECT_GT (est_failure_rate (&t, k), 0.9);
  EXPECT_NEAR (est_mean (&t, k), 800 * kMs, 10 * kMs) << "failures teach no run time";
  for (int i = 0; i < 2000; i++)
    est_observe (&t, lv_slice_of (std::to_string (i).c_str ()), kMs, true);
  EXPECT_LE (t.kind_count, EST_KINDS_MAX + 1u);
  est_finish (&t);
  talloc_free (mem);
}

TEST (Health, EjectsTheBadAndKeepsTheRest)
{
  struct hlt_fleet f = {};
  struct hlt_target t[11] = {};
  f.targets = 11;
  for (int i = 0; i < 4; i++)
    for (int k = 0; k < 10; k++)
      hlt_observe (&f, &t[i], false, 0.1, 0);
  EXPECT_EQ (f.ejected, 3u) << "no more than 30 % of 11";
  EXPECT_FALSE (hlt_usable (&t[0], HLT_PROBE_NS - 1));
  ASSERT_TRUE (hlt_usable (&t[0], HLT_PROBE_NS));
  hlt_probe (&t[0]);
  EXPECT_FALSE (hlt_usable (&t[0], HLT_PROBE_NS)) << "one probe at a time";
  hlt_observe (&f, &t[0], false, 0.1, HLT_PROBE_NS);
  EXPECT_FALSE (hlt_usable (&t[0], 3 * HLT_PROBE_NS - 1)) << "intervals rise";
  hlt_probe (&t[0]);
  hlt_observe (&f, &t[0], true, 0.1, 4 * HLT_PROBE_NS);
  EXPECT_EQ (t[0].state, HLT_FIT);
  EXPECT_EQ (f.ejected, 2u);

  struct hlt_target fine = {};
  for (int k = 0; k < 100; k++)
    hlt_observe (&f, &fine, false, 1.0, 0);
  EXPECT_EQ (fine.state, HLT_FIT) << "a kind that fails everywhere";
}

uint32_t
first (void *, uint32_t)
{
  return 0;
}

TEST (Placement, Policies)
{
  const struct plc_target targets[] = {
    /* usable near credits sent load slots */
    { false, true, 8, 0, 0, 8 }, { true, false, 5, 8, 8, 8 },
    { true, true, 1, 2, 2, 8 },  { true, true, 2, 9, 9, 8 },
  };
  const struct
  {
    const char *policy;
    int want;
  } cases[] = { { "credit", 3 }, { "random", 1 }, { "two-choices", 1 }, { "idle-queue", 2 } };
  for (const auto &c : cases)
    EXPECT_EQ (plc_find (c.policy)->choose (targets, 4, first, nullptr), c.want)
        << c.policy;
  EXPECT_EQ (plc_find ("credit")->choose (targets, 1, first, nullptr), -1);
  EXPECT_EQ (plc_find ("none"), nullptr);
}

TEST (KeyBind, WriteOnceAndOnlyBySeasonedHomes)
{
  void *mem = talloc_new (nullptr);
  struct key_table t;
  struct sid_id a = {}, b = {}, bound = {};
  struct lv_slice k = lv_slice_of ("order-1");
  const uint64_t now = 10000000;
  a.seq = 1;
  b.seq = 2;
  key_init (&t, mem, 20000, 10000, 400);
  EXPECT_EQ (key_bind (&t, k, &a, now - 20000, 0, now, &bound), 0);
  EXPECT_EQ (key_bind (&t, k, &b, now - 20000, 0, now, &bound), -EEXIST);
  EXPECT_TRUE (sid_equal (&bound, &a));
  EXPECT_EQ (key_bind (&t, k, &a, now - 20000, 0, now, &bound), 0) << "again";

  struct lv_slice young = lv_slice_of ("order-2");
  EXPECT_EQ (key_bind (&t, young, &a, now - 9000, 0, now, &bound), -EAGAIN);
  EXPECT_EQ (key_bind (&t, young, &a, now - 9000, now, now, &bound), 0)
      << "the caller says that it is a first sending";
  EXPECT_EQ (key_bind (&t, young, &b, 0, now, now, &bound), -EEXIST);
  int rc = 0;
  for (int i = 0; i < 10 && rc == 0; i++)
    rc = key_bind (&t, lv_slice_of (std::to_string (i).c_str ()), &a, 0, 0, now, &bound);
  EXPECT_EQ (rc, -ENOSPC);
  key_expire (&t, now + 19999);
  EXPECT_EQ (key_bind (&t, k, &b, 0, 0, now + 19999, &bound), -EEXIST);
  key_expire (&t, now + 60000);
  EXPECT_EQ (t.bytes, 0u);
  key_finish (&t);
  talloc_free (mem);
}
}
