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
    sub_status want;
  };
  const Case cases[] = {
    { "nothing sent", {}, SUB_OPEN },
    { "one of two ran", { { Sent, 0 }, { Sent, 1 }, { Ran, 0 } }, SUB_OPEN },
    { "all ran", { { Sent, 0 }, { Sent, 1 }, { Ran, 1 }, { Ran, 0 } }, SUB_COMPLETE },
    { "a second outcome is ignored",
      { { Sent, 0 }, { Ran, 0 }, { Failed, 0 }, { Sent, 1 }, { Ran, 1 } }, SUB_COMPLETE },
    { "a task failed", { { Sent, 0 }, { Failed, 0 } }, SUB_FAILED_MAY_HAVE_RUN },
    { "refused, then sent again and run", { { Sent, 0 }, { NotStarted, 0 }, { Sent, 0 }, { Ran, 0 }, { Sent, 1 }, { Ran, 1 } }, SUB_COMPLETE },
    { "connection lost, resolved as run", { { Sent, 0 }, { Cut, 0 }, { Ran, 0 }, { Sent, 1 }, { Ran, 1 } }, SUB_COMPLETE },
    { "connection lost, never resolved", { { Sent, 0 }, { Cut, 0 }, { GiveUp, 0 } }, SUB_FAILED_MAY_HAVE_RUN },
    { "closed before any start", { { Close, 0 } }, SUB_FAILED_NOT_RUN },
    { "closed while a start is in flight", { { Sent, 0 }, { Close, 0 } }, SUB_OPEN },
    { "closed, then the start was refused", { { Sent, 0 }, { Close, 0 }, { NotStarted, 0 } }, SUB_FAILED_NOT_RUN },
    { "closed, then the task ran", { { Sent, 0 }, { Close, 0 }, { Ran, 0 } }, SUB_FAILED_MAY_HAVE_RUN },
    { "another owner holds it", { { Sent, 0 }, { Fenced, 0 } }, SUB_FAILED_MAY_HAVE_RUN },
    { "adopted with a started task, the other sent", { { Found, 0 }, { Ran, 0 }, { Sent, 1 }, { Ran, 1 } }, SUB_COMPLETE },
  };
  for (const Case &c : cases)
    {
      SCOPED_TRACE (c.name);
      struct sub_task tasks[2];
      struct sub_submission s;
      sub_init (&s, tasks, 2);
      for (const Step &step : c.steps)
        switch (step.op)
          {
          case Sent:
            ASSERT_TRUE (sub_may_send (&s, step.task));
            sub_mark_sent (&s, step.task, 9);
            break;
          case Ran:
            sub_record_outcome (&s, step.task, 9, SUB_OUT_SUCCEEDED);
            break;
          case Failed:
            sub_record_outcome (&s, step.task, 9, SUB_OUT_FAILED);
            break;
          case NotStarted:
            sub_record_outcome (&s, step.task, 9, SUB_OUT_NOT_STARTED);
            break;
          case Fenced:
            sub_record_outcome (&s, step.task, 9, SUB_OUT_FENCED);
            break;
          case Cut:
            EXPECT_EQ (sub_mark_disconnected (&s, step.task), SUB_STEP_RESOLVE);
            break;
          case GiveUp:
            sub_give_up (&s, step.task);
            break;
          case Close:
            sub_close (&s);
            break;
          case Found:
            sub_mark_started (&s, step.task, 9);
            break;
          }
      EXPECT_EQ (s.status, c.want);
    }
}

TEST (Submission, OutcomeOfAnotherTargetIsIgnored)
{
  struct sub_task task[1];
  struct sub_submission s;
  sub_init (&s, task, 1);
  sub_mark_sent (&s, 0, 9);
  sub_record_outcome (&s, 0, 8, SUB_OUT_SUCCEEDED);
  EXPECT_EQ (s.status, SUB_OPEN);
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
    { "answers pending", { ADP_FENCED, ADP_PENDING }, 0, ADP_WAIT },
    { "all fenced", { ADP_FENCED, ADP_FENCED }, 0, ADP_PROCEED },
    { "one agent cannot answer", { ADP_FENCED, ADP_FENCED, ADP_UNAVAILABLE }, 0, ADP_UNCERTAIN },
    { "all agents held by a rival with a lower ballot", { ADP_HELD, ADP_HELD }, 5, ADP_YIELD },
    { "some agents held by a rival with a lower ballot", { ADP_FENCED, ADP_HELD }, 5, ADP_PREEMPT },
    { "a rival with a higher ballot", { ADP_FENCED, ADP_HELD }, 50, ADP_YIELD },
    { "a rival with the same ballot, which no fence can preempt", { ADP_FENCED, ADP_HELD }, 10, ADP_YIELD },
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
          adp_set_fenced (&a, i);
        else if (c.agents[i] == ADP_HELD)
          adp_set_held (&a, i, &rival);
        else if (c.agents[i] == ADP_UNAVAILABLE)
          adp_set_unavailable (&a, i);
      EXPECT_EQ (adp_next (&a), c.want);
    }
}

TEST (Grant, NeverMoreThanCapacity)
{
  struct grt_grants g;
  uint64_t seed = 1;
  grt_init (&g, 8);
  std::vector<int> indices;
  for (int i = 0; i < 3; i++)
    indices.push_back (grt_join (&g));
  for (int step = 0; step < 20000; step++)
    {
      seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
      unsigned index = indices[(seed >> 33) % indices.size ()];
      switch ((seed >> 40) % 5)
        {
        case 0:
          grt_spend (&g, index);
          break;
        case 1:
          grt_end (&g, index);
          break;
        case 2:
          grt_set_demand (&g, index, (seed >> 50) % 20, (seed >> 52) % 9, (seed >> 45) % 3);
          break;
        case 3:
          grt_return (&g, index, (seed >> 50) % 4);
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

TEST (Grant, PriorityForAFreedSlot)
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
    { "the entry with waiting tasks", { 3, 4 }, { 0, 5 }, { 0, 0 }, { 0, 0 }, 1 },
    { "the entry that uses fewer slots", { 5, 2 }, { 9, 9 }, { 0, 0 }, { 0, 2 }, 1 },
    { "equal slots: the more urgent task", { 3, 3 }, { 9, 9 }, { 0, 0 }, { 1, 0 }, 1 },
    { "the entry with tasks of a team within its share", { 2, 5 }, { 9, 9 }, { 0, 1 }, { 0, 2 }, 1 },
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
          grt_set_demand (&g, i, c.queued[i], c.entitled[i], c.urgency[i]);
        }
      grt_balance (&g);
      EXPECT_EQ (g.session[c.winner].change, 1);
    }
}

TEST (Estimate, LearnsAndDecays)
{
  void *mem = talloc_new (nullptr);
  struct est_table t;
  struct lv_slice k = lv_slice_of ("k");
  est_init (&t, mem);
  EXPECT_EQ (est_mean (&t, k), EST_DEFAULT_NS);
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
  EXPECT_NEAR (est_mean (&t, k), 800 * kMs, 10 * kMs) << "failures do not change the run time";
  for (int i = 0; i < 2000; i++)
    est_observe (&t, lv_slice_of (std::to_string (i).c_str ()), kMs, true);
  EXPECT_LE (t.kind_count, EST_KINDS_MAX + 1u);
  est_finish (&t);
  talloc_free (mem);
}

// Guards against kinds beyond the bound being recorded, but never looked up.
TEST (Estimate, KindsBeyondTheBoundShareAnEstimate)
{
  void *mem = talloc_new (nullptr);
  struct est_table t;
  const std::string name (64, 'x');
  const struct lv_slice cases[]
      = { lv_slice_of ("further"), { name.data (), name.size () } };

  est_init (&t, mem);
  for (int i = 0; i < EST_KINDS_MAX; i++)
    EXPECT_FALSE (est_observe (&t, lv_slice_of (std::to_string (i).c_str ()),
                               kMs, true));
  for (const auto &kind : cases)
    {
      EXPECT_EQ (est_observe (&t, kind, 7 * kMs, true), &kind == cases)
          << "told once";
      EXPECT_EQ (est_mean (&t, kind), 7 * kMs);
      est_observe (&t, kind, 0, false);
      EXPECT_GT (est_failure_rate (&t, kind), 0);
    }
  est_finish (&t);
  talloc_free (mem);
}

TEST (Health, EjectsOutliersUpToTheShare)
{
  struct hlt_fleet f = {};
  struct hlt_target t[11] = {};
  f.targets = 11;
  for (int i = 0; i < 4; i++)
    for (int k = 0; k < 10; k++)
      hlt_observe (&f, &t[i], false, 0.1, 0);
  EXPECT_EQ (f.ejected, 3u) << "at most 30 % of 11";
  EXPECT_FALSE (hlt_usable (&t[0], HLT_PROBE_NS - 1));
  ASSERT_TRUE (hlt_usable (&t[0], HLT_PROBE_NS));
  hlt_probe (&t[0], HLT_PROBE_NS);
  EXPECT_FALSE (hlt_usable (&t[0], HLT_PROBE_NS)) << "one probe at a time";
  hlt_observe (&f, &t[0], false, 0.1, HLT_PROBE_NS);
  EXPECT_FALSE (hlt_usable (&t[0], 3 * HLT_PROBE_NS - 1)) << "the interval doubles";
  hlt_probe (&t[0], 3 * HLT_PROBE_NS);
  hlt_observe (&f, &t[0], true, 0.1, 4 * HLT_PROBE_NS);
  EXPECT_EQ (t[0].state, HLT_FIT);
  EXPECT_EQ (f.ejected, 2u);

  struct hlt_target healthy = {};
  for (int k = 0; k < 100; k++)
    hlt_observe (&f, &healthy, false, 1.0, 0);
  EXPECT_EQ (healthy.state, HLT_FIT) << "the kind fails everywhere";
}

// Guards against a target that is out of use for good since its probe ended
// without a result: cancelled, or refused for want of capacity.
TEST (Health, AProbeWithoutAResultIsRepeated)
{
  struct hlt_fleet f = {};
  struct hlt_target t = {};
  const uint64_t sent = 5 * HLT_PROBE_NS;

  f.targets = 11;
  for (int k = 0; k < 4; k++)
    hlt_observe (&f, &t, false, 0, 0);
  hlt_probe (&t, sent);
  EXPECT_FALSE (hlt_usable (&t, sent + HLT_PROBE_NS - 1));
  EXPECT_TRUE (hlt_usable (&t, sent + HLT_PROBE_NS));
  hlt_probe (&t, sent + HLT_PROBE_NS);
  EXPECT_FALSE (hlt_usable (&t, sent + 2 * HLT_PROBE_NS - 1));
  hlt_observe (&f, &t, true, 0, sent + 2 * HLT_PROBE_NS);
  EXPECT_EQ (t.state, HLT_FIT);
  EXPECT_EQ (f.ejected, 0u);
}

uint32_t
always_zero (void *, uint32_t)
{
  return 0;
}

TEST (Placement, Policies)
{
  const struct plc_target targets[] = {
    /* usable same_domain credits sent load slots */
    { false, true, 8, 0, 0, 8 }, { true, false, 5, 8, 8, 8 },
    { true, true, 1, 2, 2, 8 },  { true, true, 2, 9, 9, 8 },
  };
  const struct
  {
    const char *policy;
    int want;
  } cases[] = { { "credit", 3 }, { "random", 1 }, { "two-choices", 1 }, { "idle-queue", 2 } };
  for (const auto &c : cases)
    EXPECT_EQ (plc_find (c.policy)->choose (targets, 4, always_zero, nullptr), c.want)
        << c.policy;
  EXPECT_EQ (plc_find ("credit")->choose (targets, 1, always_zero, nullptr), -1);
  EXPECT_EQ (plc_find ("none"), nullptr);
}

TEST (KeyBind, WriteOnceUncertainAtNewHomes)
{
  void *mem = talloc_new (nullptr);
  struct key_table t;
  struct sid_id a = {}, b = {}, bound = {};
  struct lv_slice k = lv_slice_of ("order-1");
  const uint64_t now = 10000000;
  a.seq = 1;
  b.seq = 2;
  key_init (&t, mem, 20000, 10000, 500);
  EXPECT_EQ (key_bind (&t, k, &a, now - 20000, 0, now, &bound), 0);
  EXPECT_EQ (key_bind (&t, k, &b, now - 20000, 0, now, &bound), -EEXIST);
  EXPECT_TRUE (sid_equal (&bound, &a));
  EXPECT_EQ (key_bind (&t, k, &a, now - 20000, 0, now, &bound), 0) << "same submission again";

  struct lv_slice young = lv_slice_of ("order-2");
  EXPECT_EQ (key_bind (&t, young, &a, now - 9000, 0, now, &bound), -EAGAIN);
  EXPECT_EQ (key_bind (&t, young, &a, now - 9000, now, now, &bound), 0)
      << "the caller states that it sends the key for the first time";
  EXPECT_EQ (key_bind (&t, young, &b, 0, now, now, &bound), -EEXIST);

  /* A time of less than a second since 1970 was taken as one far ahead.  */
  struct lv_slice early = lv_slice_of ("order-3");
  EXPECT_EQ (key_bind (&t, early, &a, now - 9000, 1, now, &bound), -EAGAIN);
  EXPECT_EQ (key_bind (&t, early, &a, now - 9000, 999, now, &bound), -EAGAIN);
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
