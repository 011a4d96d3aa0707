#include "runner_harness.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "runner_parts.h"
#include "xtalloc.h"

#define REPORT_MAX_AGE_MS 60000

/* The last poll, and what ends it.  */
struct poll
{
  uint64_t token;
  uint64_t expires_ms;
  mnn_listing_fn done;
  void *arg;
};

struct rnt_harness
{
  void *mem_ctx;
  struct rnr_runner runner;
  struct poll poll;
  uint64_t reports;
};

static void
ignore_start (void *priv, const struct rtk_run *run, struct lv_slice spec,
              const struct mnn_lease *lease, mnn_done_fn done, void *arg)
{
}

static void
ignore_stop (void *priv, const struct rtk_run *run, uint64_t token,
             mnn_done_fn done, void *arg)
{
}

static void
keep_poll (void *priv, const struct mnn_lease *lease, uint64_t ends_through,
           unsigned wait_ms, mnn_listing_fn done, void *arg)
{
  struct rnt_harness *h = priv;

  (void)ends_through;
  (void)wait_ms;
  h->poll.token = lease->token;
  h->poll.expires_ms = lease->expires_ms;
  h->poll.done = done;
  h->poll.arg = arg;
}

static const struct mnn_ops ops = { ignore_start, ignore_stop, keep_poll };

struct rnt_harness *
rnt_new (uint64_t lease_max_ms)
{
  /* Counters have a cache line each, talloc does not align to that.  */
  struct rnt_harness *h = xtalloc_check (
      aligned_alloc (_Alignof(struct rnt_harness), sizeof *h));
  void *mem_ctx = talloc_new (NULL);
  struct tevent_context *ev = xtalloc_check (tevent_context_init (mem_ctx));
  struct rnr_settings settings = { .name = "agent",
                                   .domain = "d",
                                   .service = "s",
                                   .entries_max = 1,
                                   .lease_max_ms = lease_max_ms,
                                   .stop_max_ms = 50,
                                   .warmup_burst = 5,
                                   .report_max_age_ms = REPORT_MAX_AGE_MS };

  memset (h, 0, sizeof *h);
  h->mem_ctx = mem_ctx;
  if (rnr_init (&h->runner, mem_ctx, ev, &settings, &ops, h) != 0)
    xtalloc_check (NULL);
  return h;
}

void
rnt_free (struct rnt_harness *h)
{
  rnr_finish (&h->runner);
  talloc_free (h->mem_ctx);
  free (h);
}

void
rnt_answer (struct rnt_harness *h, enum mnn_answer how, uint64_t process,
            uint64_t clock_ms)
{
  struct mnn_listing listing
      = { .result = { how, clock_ms }, .incarnation = process };

  h->poll.done (&listing, h->poll.arg);
}

void
rnt_report (struct rnt_harness *h, uint64_t process)
{
  struct mnn_report report = { .id = lv_slice_of ("i-1"),
                               .service = lv_slice_of ("s"),
                               .incarnation = process,
                               .sequence = ++h->reports,
                               .total = { .mcores = 1000 } };

  rnr_handle_minion_report (&h->runner, &report);
}

uint64_t
rnt_poll_token (const struct rnt_harness *h)
{
  return h->poll.token;
}

uint64_t
rnt_poll_expires_ms (const struct rnt_harness *h)
{
  return h->poll.expires_ms;
}

uint64_t
rnt_reckoned_ms (const struct rnt_harness *h)
{
  return clk_since (h->runner.minion.renewal.expires_ns, clk_now ()) / CLK_MS;
}

void
rnt_end_lease (struct rnt_harness *h)
{
  h->runner.minion.renewal.expires_ns = 0;
}

bool
rnt_able (const struct rnt_harness *h)
{
  return rnr_able (&h->runner, clk_boot ());
}
