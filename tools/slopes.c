/**
 * DOC: slopes
 *
 * Measures time and memory of the pure modules at several input sizes.  Prints
 * one "POINT name x y" line per measurement, to which tools/slopes fits a
 * line.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "clock.h"
#include "lagoonvale/estimate.h"
#include "lagoonvale/grant.h"
#include "lagoonvale/ledger.h"
#include "lagoonvale/placement.h"
#include "lagoonvale/queue.h"
#include "lagoonvale/roster.h"
#include "lagoonvale/rules.h"

#define TEXT_MAX 256

static void
print_point (const char *name, double x, double y)
{
  printf ("POINT %s %.0f %.6f\n", name, x, y);
}

/* Memory of the ledger and time per start, by number of tasks.  */
static void
measure_ledger (void)
{
  static const unsigned sizes[] = { 5000, 10000, 20000, 40000, 80000 };

  for (unsigned s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      void *mem_ctx = talloc_new (NULL);
      struct led_ledger l;
      struct sid_id sid = { .owner = 1, .roster = 1 };
      const struct led_task *task;
      uint64_t start_ns;

      led_init (&l, mem_ctx, 1ULL << 34, CLK_S, CLK_S);
      l.joined = 1;
      start_ns = clk_now ();
      for (unsigned i = 0; i < sizes[s]; i++)
        {
          sid.seq = i;
          led_start (&l, &sid, 0, 0, i, &task);
          led_end (&l, &sid, 0, LED_SUCCEEDED, lv_slice_of (""), 1, i);
        }
      print_point ("ledger_ns_per_start", sizes[s],
                   (double)(clk_now () - start_ns) / sizes[s]);
      print_point ("ledger_bytes", sizes[s],
                   (double)talloc_total_size (mem_ctx));
      led_finish (&l);
      talloc_free (mem_ctx);
    }
}

/* Time to dequeue a task, by number of teams with queued tasks.  */
static void
measure_queue (void)
{
  static const unsigned sizes[] = { 10, 55, 110, 220, 440 };

  for (unsigned s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      void *mem_ctx = talloc_new (NULL);
      struct que_queue q;
      unsigned count = sizes[s] * 20;
      struct que_item *items
          = talloc_zero_array (mem_ctx, struct que_item, count);
      char team[TEXT_MAX];
      uint64_t start_ns;

      que_init (&q, mem_ctx, que_order_find ("ratio"));
      for (unsigned i = 0; i < count; i++)
        {
          snprintf (team, sizeof team, "team%u", i % sizes[s]);
          que_push (&q, &items[i], lv_slice_of (team), QUE_NORMAL,
                    lv_slice_of ("k"), 100 * CLK_MS, 0, i);
        }
      start_ns = clk_now ();
      for (unsigned i = 0; i < count; i++)
        que_take (&q, que_peek (&q, CLK_S, NULL, NULL), CLK_S);
      print_point ("queue_ns_per_task", sizes[s],
                   (double)(clk_now () - start_ns) / count);
      que_finish (&q);
      talloc_free (mem_ctx);
    }
}

static uint32_t
constant_random (void *priv, uint32_t below)
{
  (void)priv;
  (void)below;
  return 1;
}

/* Time to choose a target, by number of targets.  */
static void
measure_placement (void)
{
  static const unsigned sizes[] = { 11, 100, 300, 600, 1200 };
  const struct plc_policy *policy = plc_find ("credit");
  const unsigned iterations = 20000;

  for (unsigned s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      struct plc_target *t = calloc (sizes[s], sizeof *t);
      uint64_t start_ns;
      int sum = 0;

      if (t == NULL)
        abort ();
      for (unsigned i = 0; i < sizes[s]; i++)
        t[i] = (struct plc_target){ true, i % 3 == 0, i % 4, i % 8, 4, 8 };
      start_ns = clk_now ();
      for (unsigned i = 0; i < iterations; i++)
        {
          t[i % sizes[s]].credits = i % 5;
          sum += policy->choose (t, sizes[s], constant_random, NULL);
        }
      print_point ("placement_ns_per_task", sizes[s],
                   (double)(clk_now () - start_ns) / iterations + (sum < 0));
      free (t);
    }
}

static char *
join_record (void *mem_ctx, unsigned i)
{
  struct ros_member m = { .role = ROS_AGENT,
                          .addr = 0x0a000000U + i,
                          .port = 7000,
                          .incarnation = i * 2654435761U + 1,
                          .slots = 40 };

  snprintf (m.name, sizeof m.name, "agent%u", i);
  snprintf (m.domain, sizeof m.domain, "domain%u", i % 21);
  return ros_join_record (mem_ctx, &m, 0);
}

/* Memory of the roster and time per membership change, by members.  */
static void
measure_roster (void)
{
  static const unsigned sizes[] = { 250, 500, 1000, 2000 };

  for (unsigned s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      void *mem_ctx = talloc_new (NULL);
      struct ros_roster *r = talloc (mem_ctx, struct ros_roster);
      uint64_t start_ns = 0;

      ros_init (r, mem_ctx);
      for (unsigned i = 1; i <= sizes[s] + 20; i++)
        {
          char *record = join_record (NULL, i);
          if (i == sizes[s])
            {
              print_point ("roster_bytes", sizes[s],
                           (double)talloc_total_size (mem_ctx));
              start_ns = clk_now ();
            }
          ros_apply (r, i, i, lv_slice_of (record));
          if (i == sizes[s])
            print_point ("roster_record_bytes", sizes[s],
                         (double)strlen (record));
          talloc_free (record);
        }
      print_point ("roster_us_per_change", sizes[s],
                   (double)(clk_now () - start_ns) / 21 / 1000);
      ros_finish (r);
      talloc_free (mem_ctx);
    }
}

/* Time to parse a rule file and to look up a rule, by number of rules.  */
static void
measure_rules (void)
{
  static const unsigned sizes[] = { 50, 100, 200, 400, 800 };

  for (unsigned s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      char *text = talloc_strdup (NULL, "");
      struct rul_error finding;
      uint32_t count;
      struct rul_set *set;
      uint64_t start_ns;

      for (unsigned i = 0; i < sizes[s]; i++)
        text = talloc_asprintf_append_buffer (
            text, "weight team team%u 3 # Op: synthetic example\n", i);
      start_ns = clk_now ();
      set = rul_parse (NULL, lv_slice_of (text), &finding, 1, &count);
      print_point ("rules_us_per_parse", sizes[s],
                   (double)(clk_now () - start_ns) / 1000);
      start_ns = clk_now ();
      for (int i = 0; i < 1000; i++)
        rul_value (set, RUL_LIMIT, RUL_KIND, lv_slice_of ("k"), (unsigned)i);
      print_point ("rules_ns_per_lookup", sizes[s],
                   (double)(clk_now () - start_ns) / 1000);
      talloc_free (set);
      talloc_free (text);
    }
}

/* Time to rebalance the credits of one agent, by number of entries.  */
static void
measure_grants (void)
{
  static const unsigned sizes[] = { 2, 4, 8, 16 };
  const int iterations = 20000;

  for (unsigned s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      struct grt_grants g;
      uint64_t start_ns;

      grt_init (&g, 40);
      for (unsigned i = 0; i < sizes[s]; i++)
        grt_join (&g);
      grt_balance (&g);
      start_ns = clk_now ();
      for (int i = 0; i < iterations; i++)
        {
          unsigned place = (unsigned)i % sizes[s];
          grt_set_demand (&g, place, (uint32_t)i % 7, (uint32_t)i % 3, 1);
          if (grt_spend (&g, place))
            grt_end (&g, place);
          grt_balance (&g);
        }
      print_point ("grant_ns_per_balance", sizes[s],
                   (double)(clk_now () - start_ns) / iterations);
    }
}

int
main (void)
{
  measure_ledger ();
  measure_queue ();
  measure_placement ();
  measure_roster ();
  measure_rules ();
  measure_grants ();
  return 0;
}
