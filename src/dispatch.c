#include "dispatch_parts.h"

#include <errno.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "entropy.h"
#include "logline.h"
#include "net.h"
#include "tick.h"
#include "wire.h"
#include "xtalloc.h"

#define TICK_MS 25
/* Time after the start for which requests wait for a configuration, ns: less
   than the time after which callers send a request again.  */
#define CONFIG_WAIT_NS (600 * CLK_MS)

static const struct ctr_desc counter_descs[] = {
  { "lagoonvale_jobs_total", "jobs handed in", false },
  { "lagoonvale_jobs_complete_total", "jobs answered as complete", false },
  { "lagoonvale_jobs_failed_total", "jobs with a task out of attempts",
    false },
  { "lagoonvale_jobs_refused_total", "jobs refused, not run", false },
  { "lagoonvale_jobs_gave_up_total", "jobs given up, may have run", false },
  { "lagoonvale_jobs_withdrawn_total", "jobs whose caller left or cancelled",
    false },
  { "lagoonvale_jobs_cancelled_total", "jobs answered as cancelled", false },
  { "lagoonvale_cancels_total", "requests to cancel a job", false },
  { "lagoonvale_cancels_told_total",
    "open jobs that were cancelled at another entry", false },
  { "lagoonvale_cancels_logged_total",
    "requests to cancel a job that were written to the store", false },
  { "lagoonvale_cancels_read_total", "cancels read from the store", false },
  { "lagoonvale_cancels_unconfirmed_total",
    "requests to cancel a job that were not confirmed", false },
  { "lagoonvale_entries_missed", "whether another entry does not answer",
    true },
  { "lagoonvale_orders_total", "task starts ordered", false },
  { "lagoonvale_tasks_done_total", "runs ended well", false },
  { "lagoonvale_tasks_again_total", "runs that ended otherwise", false },
  { "lagoonvale_no_room_total", "orders refused for want of room", false },
  { "lagoonvale_tasks_crashed_total", "runs ended by a crash of their minion",
    false },
  { "lagoonvale_tasks_poison_total",
    "tasks given up because minions crashed under them", false },
  { "lagoonvale_joins_dropped_total",
    "joins of agents that were not confirmed, as they had arrived late",
    false },
  { "lagoonvale_agents", "agents known, also those lost of late", true },
  { "lagoonvale_agents_joined", "agents that take orders", true },
  { "lagoonvale_open_jobs", "jobs that are not answered yet", true },
  { "lagoonvale_abandoned_runs",
    "runs of jobs that are answered or withdrawn, being stopped", true },
  { "lagoonvale_drained_domains", "failure domains that operators drained",
    true },
  { "lagoonvale_drained_agents", "agents known in these", true },
  { "lagoonvale_jobs_drained_total",
    "jobs not run because only agents of drained domains could hold them",
    false },
  { "lagoonvale_holds_total", "jobs for which room was held ahead", false },
  { "lagoonvale_holds_kept_total",
    "of these, placed by the time that was expected", false },
  { "lagoonvale_holds_missed_total", "of these, placed later", false },
  { "lagoonvale_tasks_backfilled_total",
    "tasks placed behind a job for which room was held", false },
  { "lagoonvale_held_mcores", "free cores held at the last placement", true },
  { "lagoonvale_clients", "HTTP connections", true },
  { "lagoonvale_body_bytes", "memory that bodies of requests hold", true },
  { "lagoonvale_clients_dropped_total",
    "clients that lost their place for want of memory or connections", false },
  { "lagoonvale_waiting_mcore_ms", "declared work that waits", true },
  { "lagoonvale_config_version", "configuration in force", true },
};

static const struct hst_desc histogram_descs[] = {
  { "lagoonvale_job_seconds", "from a job's arrival to its answer", "queue",
    "outcome" },
  { "lagoonvale_task_seconds", "from a task's order to its end, ended well",
    "queue", NULL },
  { "lagoonvale_order_seconds", "from an order to the report that knows it",
    "domain", NULL },
  { "lagoonvale_store_seconds", "calls of the store", "call", "outcome" },
  { "lagoonvale_recovery_seconds",
    "from a start to its first complete job, from an agent's loss to its "
    "return",
    "what", NULL },
};

static void
on_call (struct onc_conn *conn, uint32_t xid, uint32_t proc, XDR *args,
         void *priv)
{
  struct dsp_dispatch *d = priv;

  switch (proc)
    {
    case LVP_JOIN:
      dsp_on_join (d, conn, xid, args);
      break;
    case LVP_REPORT:
      dsp_on_report (d, conn, xid, args);
      break;
    case LVP_ENDS:
      dsp_on_ends (d, conn, xid, args);
      break;
    case LVP_LOSS:
      dsp_on_loss (d, conn, args);
      break;
    case LVP_CANCEL:
      dsp_on_cancel (d, conn, xid, args);
      break;
    case LVP_PEER:
      per_on_peer (&d->peers, conn, xid, args, clk_boot ());
      break;
    case LVP_CONFIG:
      per_on_config (&d->peers, conn, xid, args, clk_boot ());
      break;
    default:
      onc_close (conn, -EPROTO, "unknown procedure");
    }
}

static void
accepted (int fd, const char *peer, void *priv)
{
  struct dsp_dispatch *d = priv;
  struct onc_handler handler = { on_call, dsp_on_closed, d };

  onc_attach (d->mem_ctx, d->ev, fd, peer, &handler);
}

/** struct dsp_waiter - a request that arrived before any configuration */
struct dsp_waiter
{
  void (*ready) (void *priv);
  void *priv;
  struct dsp_waiter *prev;
  struct dsp_waiter *next;
};

/* Whether requests are held back until a configuration arrives.  */
static bool
must_await_config (const struct dsp_dispatch *d)
{
  return d->config == NULL
         && clk_since (clk_boot (), d->started_ns) < CONFIG_WAIT_NS;
}

static void
run_waiters (struct dsp_dispatch *d)
{
  struct dsp_waiter *w;

  while (!must_await_config (d) && (w = d->waiters) != NULL)
    {
      DL_DELETE (d->waiters, w);
      w->ready (w->priv);
      talloc_free (w);
    }
}

struct dsp_waiter *
dsp_when_configured (struct dsp_dispatch *d, void (*ready) (void *priv),
                     void *priv)
{
  struct dsp_waiter *w;

  if (!must_await_config (d))
    {
      ready (priv);
      return NULL;
    }
  w = xtalloc_zero (d->mem_ctx, struct dsp_waiter);
  w->ready = ready;
  w->priv = priv;
  DL_APPEND (d->waiters, w);
  return w;
}

void
dsp_cancel_waiter (struct dsp_dispatch *d, struct dsp_waiter *w)
{
  DL_DELETE (d->waiters, w);
  talloc_free (w);
}

/* Log capacity and waiting work once a second.  */
static void
log_load (struct dsp_dispatch *d, uint64_t now_ns)
{
  struct amt_amount total = { 0 };
  struct amt_amount left = { 0 };
  const struct flt_agent *a;
  unsigned open = 0;

  if (clk_since (now_ns, d->logged_ns) < CLK_S)
    return;
  d->logged_ns = now_ns;
  DL_FOREACH (d->fleet.agents, a)
  {
    if (!flt_accepts_orders (a) || flt_is_drained (a))
      continue;
    open++;
    amt_add (&total, &a->total);
    amt_add (&left, &a->free);
  }
  log_line (LOGL_INFO, "load",
            "agents=%u accepting=%u total_mcores=%u free_mcores=%u jobs=%u "
            "waiting_mcore_ms=%llu orders=%llu no_room=%llu complete=%llu",
            d->fleet.count, open, total.mcores, left.mcores,
            HASH_COUNT (d->jobs.jobs),
            (unsigned long long)d->jobs.waiting_mcore_ms,
            (unsigned long long)ctr_read (&d->counters, DSP_ORDERS),
            (unsigned long long)ctr_read (&d->counters, DSP_NO_ROOM),
            (unsigned long long)ctr_read (&d->counters, DSP_JOBS_COMPLETE));
}

static unsigned
count_accepting (const struct dsp_dispatch *d)
{
  const struct flt_agent *a;
  unsigned n = 0;

  DL_FOREACH (d->fleet.agents, a)
  n += flt_accepts_orders (a);
  return n;
}

static unsigned
count_drained (const struct dsp_dispatch *d)
{
  const struct flt_agent *a;
  unsigned n = 0;

  DL_FOREACH (d->fleet.agents, a)
  n += flt_is_drained (a);
  return n;
}

static void
tick (void *priv)
{
  struct dsp_dispatch *d = priv;
  uint64_t now = clk_boot ();

  dsp_close_silent (d, now);
  run_waiters (d);
  per_tick (&d->peers, now);
  dsp_expire_jobs (d, clk_boot ());
  dsp_requeue_lapsed (d, now);
  abd_expire (&d->abandoned, now);
  dsp_send_cancels (d, now);
  cnl_expire (&d->cancels, now);
  flt_forget_expired (&d->fleet, now);
  crl_expire (&d->crashes, clk_boot ());
  dsp_mark_confining (d);
  if (d->jobs.queue != NULL)
    dsp_schedule_placement (d);
  log_load (d, now);
  ctr_set_gauge (&d->counters, DSP_AGENTS, d->fleet.count);
  ctr_set_gauge (&d->counters, DSP_AGENTS_JOINED, count_accepting (d));
  ctr_set_gauge (&d->counters, DSP_PEERS_MISSED, dsp_misses_entries (d));
  ctr_set_gauge (&d->counters, DSP_OPEN_JOBS, HASH_COUNT (d->jobs.jobs));
  ctr_set_gauge (&d->counters, DSP_ABANDONED_RUNS,
                 HASH_COUNT (d->abandoned.runs));
  ctr_set_gauge (&d->counters, DSP_DRAINED_DOMAINS, d->drains.count);
  ctr_set_gauge (&d->counters, DSP_DRAINED_AGENTS, count_drained (d));
  ctr_set_gauge (&d->counters, DSP_WAITING_MCORE_MS, d->jobs.waiting_mcore_ms);
  log_flush ();
}

static void
on_peer_config (struct cat_config *config, const char *source, void *priv)
{
  dsp_apply_config (priv, config, source);
}

static const struct cat_config *
get_config (void *priv)
{
  return ((const struct dsp_dispatch *)priv)->config;
}

static void
on_peer_up (struct onc_conn *conn, void *priv)
{
  dsp_send_all_cancels (priv, conn);
}

static const struct drn_domains *
get_drains (void *priv)
{
  return &((const struct dsp_dispatch *)priv)->drains;
}

static void
on_peer_drains (const struct lv_slice *names, unsigned count,
                uint64_t position, const char *source, void *priv)
{
  dsp_replace_drains (priv, names, count, position, source);
}

void
dsp_add_entry (struct dsp_dispatch *d, struct lv_slice address)
{
  per_add_address (&d->peers, address, clk_boot ());
}

bool
dsp_entry_answers (const struct dsp_dispatch *d, struct lv_slice address)
{
  return per_is_up (&d->peers, address);
}

void
dsp_add_seeds (struct dsp_dispatch *d, const struct set_strings *seeds)
{
  unsigned i;

  for (i = 0; i < seeds->count; i++)
    dsp_add_entry (d, lv_slice_of (seeds->item[i]));
}

int
dsp_init (struct dsp_dispatch *d, void *mem_ctx, struct tevent_context *ev,
          const struct dsp_settings *settings)
{
  struct per_events events = { .config = on_peer_config,
                               .current = get_config,
                               .drains = on_peer_drains,
                               .current_drains = get_drains,
                               .up = on_peer_up,
                               .priv = d };
  int rc;

  memset (d, 0, sizeof *d);
  d->set = *settings;
  d->ev = ev;
  d->mem_ctx = mem_ctx;
  d->incarnation = rnd_u64 ();
  d->started_ns = clk_boot ();
  d->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (d->rng, (unsigned long)d->incarnation);
  d->placement = xtalloc_check (tevent_create_immediate (mem_ctx));
  jtb_init (&d->jobs, mem_ctx);
  abd_init (&d->abandoned, mem_ctx);
  cnl_init (&d->cancels, mem_ctx);
  drn_init (&d->drains, mem_ctx);
  flt_init (&d->fleet, mem_ctx, &d->drains);
  pjn_init (&d->joins, mem_ctx);
  crl_init (&d->crashes, mem_ctx);
  blk_init (&d->bulkhead, mem_ctx);
  ctr_init (&d->counters, counter_descs, DSP_COUNTERS);
  hst_init (&d->times, mem_ctx, histogram_descs, DSP_TIMES);
  rc = per_init (&d->peers, mem_ctx, ev, settings->advertise, d->incarnation,
                 &events);
  if (rc == 0)
    rc = net_serve (mem_ctx, ev, settings->rpc, accepted, d);
  if (rc == 0)
    rc = tck_start (mem_ctx, ev, TICK_MS, tick, d);
  if (rc == 0)
    dsp_add_seeds (d, &settings->seeds);
  return rc;
}

void
dsp_finish (struct dsp_dispatch *d)
{
  jtb_finish (&d->jobs);
  abd_finish (&d->abandoned);
  dsp_finish_cancels (d);
  cnl_finish (&d->cancels);
  pjn_finish (&d->joins);
  flt_finish (&d->fleet);
  drn_finish (&d->drains);
  crl_finish (&d->crashes);
  blk_finish (&d->bulkhead);
  hst_finish (&d->times);
  gsl_rng_free (d->rng);
}

void
dsp_apply_config (struct dsp_dispatch *d, struct cat_config *config,
                  const char *source)
{
  uint64_t before = dsp_config_version (d);

  if (config->version > before)
    cfs_link (config, d->config);
  d->config = cat_adopt (d->config, config);
  if (dsp_config_version (d) == before)
    return;
  ctr_set_gauge (&d->counters, DSP_CONFIG_VERSION, d->config->version);
  log_line (LOGL_INFO, "config", "version=%llu before=%llu queues=%u from=%s",
            (unsigned long long)d->config->version, (unsigned long long)before,
            d->config->count, source);
}

/* Log what is drained now, and refuse at once what can run nowhere else.  */
static void
note_drains (struct dsp_dispatch *d, const char *source)
{
  char *names = talloc_strdup (NULL, "");
  unsigned i;

  for (i = 0; i < d->drains.count; i++)
    names = talloc_asprintf_append (names, "%s%s", i > 0 ? "," : "",
                                    d->drains.names[i]);
  log_line (LOGL_INFO, "drained-domains",
            "count=%u names=\"%s\" agents=%u position=%llu from=%s",
            d->drains.count, names != NULL ? names : "?", count_drained (d),
            (unsigned long long)d->drains.position, source);
  talloc_free (names);
  dsp_refuse_drained (d);
  dsp_schedule_placement (d);
}

static bool
same_names (const struct drn_domains *d, const struct lv_slice *names,
            unsigned count)
{
  unsigned i;

  for (i = 0; i < count; i++)
    if (!drn_contains (d, names[i]))
      return false;
  return count == d->count;
}

void
dsp_replace_drains (struct dsp_dispatch *d, const struct lv_slice *names,
                    unsigned count, uint64_t position, const char *source)
{
  bool was_known = drn_known (&d->drains);
  bool same = same_names (&d->drains, names, count);

  if (!drn_replace (&d->drains, names, count, position))
    return;
  if (!same || !was_known)
    note_drains (d, source);
}

void
dsp_record_drain (struct dsp_dispatch *d, struct lv_slice domain, bool drained,
                  uint64_t position)
{
  if (drn_record (&d->drains, domain, drained, position))
    note_drains (d, "store");
}

void
dsp_note_clients (struct dsp_dispatch *d, const struct clt_clients *clients)
{
  ctr_set_gauge (&d->counters, DSP_CLIENTS, clients->count);
  ctr_set_gauge (&d->counters, DSP_BODY_BYTES, clients->held);
  ctr_set_gauge (&d->counters, DSP_CLIENTS_DROPPED, clients->dropped);
}

bool
dsp_misses_entries (const struct dsp_dispatch *d)
{
  return per_misses_any (&d->peers, clk_boot ());
}

bool
dsp_reads_config (const struct dsp_dispatch *d)
{
  return per_is_reader (&d->peers);
}

bool
dsp_fetches_config (const struct dsp_dispatch *d)
{
  return per_is_fetching (&d->peers, clk_boot ());
}

void
dsp_set_reading (struct dsp_dispatch *d, bool reading)
{
  d->peers.reading = reading;
  if (reading)
    pac_sent (&d->peers.pacer, 0);
}

uint64_t
dsp_bulk_rate (const struct dsp_dispatch *d)
{
  /* Without a configuration nothing can be served that it could delay.  */
  if (d->config == NULL)
    return 0;
  return (uint64_t)d->peers.pacer.rate;
}

bool
dsp_ready (const struct dsp_dispatch *d)
{
  const struct flt_agent *a;

  if (d->leaving || d->config == NULL)
    return false;
  DL_FOREACH (d->fleet.agents, a)
  if (flt_accepts_orders (a))
    return true;
  return clk_since (clk_boot (), d->started_ns) < DSP_JOIN_GRACE_NS;
}

void
dsp_begin_shutdown (struct dsp_dispatch *d, uint64_t until_ns)
{
  d->leaving = true;
  d->shutdown_ns = until_ns;
}
