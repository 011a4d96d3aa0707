#include "entry.h"

#include <errno.h>
#include <inttypes.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>
#include <urcu-bp.h>
#include <utlist.h>

#include "clock.h"
#include "entropy.h"
#include "logline.h"
#include "net.h"
#include "tick.h"
#include "xtalloc.h"

#define TICK_MS 50
/* A longer gap between two ticks counts as a pause of the process.  */
#define PAUSE_NS (1000 * CLK_MS)
#define LOG_CONNECTIONS 16L
/* Interval at which idle teams and flows are removed from the queues.  */
#define FORGET_PERIOD_NS (1000 * CLK_MS)
/* Minimum time from ent_leave() to exit, so that peers learn that this entry
   is leaving.  */
#define LEAVE_LINGER_NS (300 * CLK_MS)

#define KEY(name, type, field, fallback, min, max, help)                      \
  {                                                                           \
    name, type, offsetof (struct ent_settings, field), fallback, min, max,    \
        help                                                                  \
  }

const struct set_key ent_keys[] = {
  KEY ("name", SET_STRING, name, NULL, 0, 0, "unique name of this entry"),
  KEY ("domain", SET_STRING, domain, NULL, 0, 0, "failure domain"),
  KEY ("listen", SET_ADDRESS, listen, NULL, 0, 0,
       "RPC address for other entries, IP:PORT"),
  KEY ("advertise", SET_ADDRESS, advertise, "", 0, 0,
       "address that other entries use, if not the listen address"),
  KEY ("source", SET_ADDRESS, source, "", 0, 0,
       "address that RPC connections come from, IP:0; any if empty"),
  KEY ("http.listen", SET_ADDRESS, http, NULL, 0, 0,
       "HTTP address for callers, IP:PORT"),
  KEY ("http.threads", SET_UINT, http_threads, "2", 1, 64, "threads"),
  KEY ("http.connections_max", SET_UINT, http_connections_max, "16384", 16,
       1000000,
       "most connections; the one without a request for longest goes"),
  KEY ("http.bodies_max_kb", SET_UINT, http_bodies_max_kb, "65536", 64,
       1 << 24, "memory for all bodies of requests not answered yet, KiB"),
  KEY ("log.url", SET_STRING, log_url, NULL, 0, 0,
       "platform log, http://IP:PORT"),
  KEY ("log.level", SET_STRING, log_level, "info", 0, 0,
       "error, warn, info or debug"),
  KEY ("order", SET_STRING, order, "ratio", 0, 0,
       "order within a flow: arrival, shortest or ratio"),
  KEY ("policy", SET_STRING, policy, "credit", 0, 0,
       "placement policy: credit, or a baseline for comparison: random, "
       "two-choices, idle-queue"),
  KEY ("teams", SET_STRINGS, teams, "", 0, 0,
       "teams that may submit; empty for any"),
  KEY ("kinds", SET_STRINGS, kinds, "", 0, 0,
       "kinds of task that may be submitted; empty for any"),
  KEY ("seeds", SET_STRINGS, seeds, "", 0, 0,
       "RPC addresses of entries to ask while the log is unavailable"),
  KEY ("window_s", SET_UINT, window_s, "300", 1, 86400,
       "seconds during which a submission may be sent again"),
  KEY ("record_bytes", SET_UINT, record_bytes, "268435456", 65536, 1ULL << 40,
       "maximum bytes of submissions on record; more are refused"),
  KEY ("queue_tasks", SET_UINT, queue_tasks, "100000", 1, 10000000,
       "maximum number of queued tasks; more are refused"),
  KEY ("wait_ms", SET_UINT, wait_ms, "10000", 1, 86400000,
       "maximum expected wait for admission, ms, unless a rule sets another"),
  KEY ("reserve", SET_UINT, reserve, "2", 0, 1000,
       "slots reserved for teams within their share; 0 for none"),
  KEY ("heartbeat_ms", SET_UINT, heartbeat_ms, "500", 50, 60000,
       "milliseconds between heartbeats"),
  KEY ("silent_ms", SET_UINT, silent_ms, "1500", 100, 60000,
       "milliseconds after which a silent connection is replaced"),
  KEY ("resolve_ms", SET_UINT, resolve_ms, "2500", 100, 600000,
       "milliseconds to wait for an outcome from a disconnected agent"),
  KEY ("gone_ms", SET_UINT, gone_ms, "10000", 1000, 3600000,
       "milliseconds after which an unreachable agent is removed"),
  KEY ("refresh_s", SET_UINT, refresh_s, "60", 1, 86400,
       "seconds between refreshes of the records in the log"),
  { NULL, SET_STRING, 0, NULL, 0, 0, NULL },
};

static const struct ctr_desc counter_descs[ENT_COUNTERS] = {
  [ENT_REQUESTS]
  = { "lagoonvale_entry_requests_total", "submissions received", false },
  [ENT_SUBMISSIONS]
  = { "lagoonvale_entry_submissions_total", "put on record", false },
  [ENT_REFUSALS]
  = { "lagoonvale_entry_refusals_total", "requests refused", false },
  [ENT_COMPLETE]
  = { "lagoonvale_entry_complete_total", "whole answers", false },
  [ENT_FAILED_NOT_RUN] = { "lagoonvale_entry_failed_not_run_total",
                           "submissions failed, not run", false },
  [ENT_FAILED_MAY_HAVE_RUN] = { "lagoonvale_entry_failed_may_have_run_total",
                                "submissions failed, may have run", false },
  [ENT_ATTACHED] = { "lagoonvale_entry_attached_total",
                     "repeated submissions that found their record", false },
  [ENT_FORWARDED] = { "lagoonvale_entry_forwarded_total",
                      "requests passed to their owner", false },
  [ENT_ADOPTED] = { "lagoonvale_entry_adopted_total",
                    "submissions taken over from a lost owner", false },
  [ENT_ADOPT_UNCERTAIN]
  = { "lagoonvale_entry_adopt_uncertain_total",
      "submissions whose past could not be established", false },
  [ENT_KEYS_BOUND]
  = { "lagoonvale_entry_keys_bound_total", "caller-chosen keys bound", false },
  [ENT_CANCELS] = { "lagoonvale_entry_cancels_total", "cancellations", false },
  [ENT_STARTS]
  = { "lagoonvale_entry_starts_total", "starts sent to agents", false },
  [ENT_WASTED_STARTS] = { "lagoonvale_entry_wasted_starts_total",
                          "starts that agents refused", false },
  [ENT_RESOLVES] = { "lagoonvale_entry_resolves_total",
                     "questions what became of a task", false },
  [ENT_GAVE_UP] = { "lagoonvale_entry_gave_up_total",
                    "tasks whose outcome stayed unknown", false },
  [ENT_DEMANDS]
  = { "lagoonvale_entry_demands_total", "reports of a growing queue", false },
  [ENT_RETURNS] = { "lagoonvale_entry_returns_total",
                    "messages that gave credits back", false },
  [ENT_EJECTIONS]
  = { "lagoonvale_entry_ejections_total", "agents ejected", false },
  [ENT_LINKS_DROPPED] = { "lagoonvale_entry_links_dropped_total",
                          "connections replaced for silence", false },
  [ENT_RULES_VERSION]
  = { "lagoonvale_entry_rules_version", "rules in force", true },
  [ENT_QUEUED] = { "lagoonvale_entry_queued_tasks", "tasks waiting", true },
  [ENT_IN_FLIGHT]
  = { "lagoonvale_entry_in_flight_tasks", "tasks sent, not ended", true },
  [ENT_RECORDS]
  = { "lagoonvale_entry_records", "submissions on record", true },
  [ENT_RECORD_BYTES]
  = { "lagoonvale_entry_record_bytes", "bytes of submissions", true },
  [ENT_LINKS] = { "lagoonvale_entry_agents", "agents connected", true },
  [ENT_RPC_BYTES]
  = { "lagoonvale_entry_rpc_sent_bytes", "bytes sent by RPC", true },
  [ENT_RPC_CALLS] = { "lagoonvale_entry_rpc_calls", "RPC calls sent", true },
};

/* Each queue gets this entry's equal part of the fleet's slots and cores.  */
static void
update_slots (struct ent_entry *e)
{
  const struct ent_link *link;
  double slots = 0;
  double cores = 0;

  DL_FOREACH (e->links, link)
  {
    if (ent_link_ready (link) && !link->leaving
        && link->health.state == HLT_FIT)
      slots += link->slots;
    cores += link->worker_total.cores;
  }
  e->queue.slots = slots > 0 ? slots / e->entry_count : 1;
  e->worker_queue.slots = cores > 0 ? cores / e->entry_count : 1;
}

static void
update_gauges (struct ent_entry *e)
{
  const struct ent_link *link;
  uint32_t in_flight = 0;
  uint32_t connected = 0;

  DL_FOREACH (e->links, link)
  {
    in_flight += link->sent;
    connected += ent_link_ready (link);
  }
  ctr_set_gauge (&e->counters, ENT_QUEUED, ent_queued_count (e));
  ctr_set_gauge (&e->counters, ENT_IN_FLIGHT, in_flight);
  ctr_set_gauge (&e->counters, ENT_RECORDS, HASH_COUNT (e->records));
  ctr_set_gauge (&e->counters, ENT_RECORD_BYTES, e->record_bytes);
  ctr_set_gauge (&e->counters, ENT_LINKS, connected);
  ctr_set_gauge (&e->counters, ENT_RPC_BYTES, onc_bytes_sent ());
  ctr_set_gauge (&e->counters, ENT_RPC_CALLS, onc_calls_sent ());
}

/* During a pause, others may have adopted submissions minted before it.  */
static void
detect_pause (struct ent_entry *e, uint64_t now_ns)
{
  if (clk_since (now_ns, e->last_tick_ns) > PAUSE_NS)
    {
      e->maybe_adopted_ms = clk_wall_ms ();
      log_line (LOGL_WARN, "paused", "for_ms=%" PRIu64,
                (uint64_t)(clk_since (now_ns, e->last_tick_ns) / CLK_MS));
    }
  e->last_tick_ns = now_ns;
}

static void
forget_idle_flows (struct ent_entry *e, uint64_t now_ns)
{
  if (now_ns < e->next_forget_ns)
    return;
  e->next_forget_ns = now_ns + FORGET_PERIOD_NS;
  que_evict_idle (&e->queue, now_ns);
  que_evict_idle (&e->worker_queue, now_ns);
}

static void
tick (void *priv)
{
  struct ent_entry *e = priv;
  uint64_t now = clk_boot ();

  hcl_process_timeouts (e->client);
  detect_pause (e, now);
  ent_link_tick (e, now);
  ent_peer_tick (e, now);
  ent_log_tick (e, now);
  if (ent_log_must_sync (e, now))
    ent_peer_sync (e);
  ent_record_tick (e, now);
  ent_record_expire (e, now);
  ros_expire (&e->roster, clk_wall_ms () - 4 * e->set.window_s * 1000);
  forget_idle_flows (e, now);
  ent_update_position (e);
  update_slots (e);
  update_gauges (e);
  ent_schedule_dispatch (e);
  log_flush ();
}

static void
on_wake (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
         void *priv)
{
  struct ent_entry *e = priv;
  struct cds_wfcq_node *node;
  uint64_t count;

  (void)ev;
  (void)fde;
  (void)flags;
  if (read (e->wake_fd, &count, sizeof count) < 0 && errno != EAGAIN)
    return;
  detect_pause (e, clk_boot ());
  while ((node = cds_wfcq_dequeue_blocking (&e->intake_head, &e->intake_tail))
         != NULL)
    {
      struct req_request *r
          = caa_container_of (node, struct req_request, node);
      if (atomic_load_explicit (&r->published, memory_order_acquire))
        ent_handle_request (e, r);
    }
}

static int
init_self (struct ent_entry *e)
{
  if (strlen (e->set.name) >= ROS_NAME_MAX
      || strlen (e->set.domain) >= ROS_NAME_MAX)
    return -ENAMETOOLONG;
  strcpy (e->self.name, e->set.name);
  strcpy (e->self.domain, e->set.domain);
  net_parse_host_order (&e->self.addr, &e->self.port,
                        e->set.advertise != NULL ? e->set.advertise
                                                 : e->set.listen);
  e->self.role = ROS_ENTRY;
  e->self.incarnation = e->incarnation;
  return 0;
}

static int
apply_settings (struct ent_entry *e, struct err_error *err)
{
  e->policy = plc_find (e->set.policy);
  if (e->policy == NULL)
    return err_set (err, -EINVAL, "start", NULL,
                    "key policy: found %s, expected credit, random, "
                    "two-choices or idle-queue",
                    e->set.policy);
  if (que_order_find (e->set.order) == NULL)
    return err_set (err, -EINVAL, "start", NULL,
                    "key order: found %s, expected arrival, shortest or ratio",
                    e->set.order);
  if (init_self (e) != 0)
    return err_set (err, -EINVAL, "start", NULL,
                    "name or domain longer than %d bytes", ROS_NAME_MAX - 1);
  return 0;
}

static int
open_sockets (struct ent_entry *e, struct err_error *err)
{
  int rc = ent_inbound_listen (e);

  if (rc != 0)
    return err_set (err, rc, "start", e->set.listen, "cannot listen: %s",
                    strerror (-rc));
  rc = ent_http_open (e);
  if (rc != 0)
    return err_set (err, rc, "start", e->set.http, "cannot serve HTTP: %s",
                    strerror (-rc));
  xtalloc_check (
      tevent_add_fd (e->ev, e->ev, e->wake_fd, TEVENT_FD_READ, on_wake, e));
  return 0;
}

static void
init_queue (struct ent_entry *e, struct que_queue *q)
{
  que_init (q, e->ev, que_order_find (e->set.order));
  q->weight_of = ent_team_weight;
  q->weight_priv = e;
}

static const struct ent_events events = {
  .dispatch = ent_dispatch,
  .resolve = ent_resolve,
  .give_up = ent_call_give_up,
  .submit_as = ent_submit_as,
  .adopt = ent_adopt,
  .adopt_preempt = ent_adopt_preempt,
};

int
ent_start (struct ent_entry *e, struct tevent_context *ev,
           const struct ent_settings *settings, struct err_error *err)
{
  int rc;

  memset (e, 0, sizeof *e);
  e->set = *settings;
  e->ev = ev;
  e->events = &events;
  e->incarnation = rnd_u64 ();
  if (apply_settings (e, err) != 0)
    return err->code;
  e->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (e->rng, (unsigned long)e->incarnation);
  e->last_tick_ns = clk_boot ();
  ctr_init (&e->counters, counter_descs, ENT_COUNTERS);
  ros_init (&e->roster, ev);
  rvs_init (&e->rules, ev);
  est_init (&e->estimates, ev);
  init_queue (e, &e->queue);
  init_queue (e, &e->worker_queue);
  e->dispatch_event = xtalloc_check (tevent_create_immediate (ev));
  e->client = hcl_new (ev, ev, LOG_CONNECTIONS);
  ent_publish_view (e);
  if (open_sockets (e, err) != 0)
    return err->code;
  ent_log_open (e);
  rc = tck_start (ev, ev, TICK_MS, tick, e);
  if (rc != 0)
    return err_set (err, rc, "timer", e->set.name, "cannot start: %s",
                    strerror (-rc));
  log_line (LOGL_INFO, "started",
            "incarnation=%016" PRIx64 " domain=%s http=%s listen=%s policy=%s "
            "order=%s",
            e->incarnation, e->set.domain, e->set.http, e->set.listen,
            e->set.policy, e->set.order);
  return 0;
}

void
ent_leave (struct ent_entry *e)
{
  if (e->leaving)
    return;
  e->leaving = true;
  e->leaving_ns = clk_boot ();
  log_line (LOGL_INFO, "leaving", "open=%u queued=%zu", e->open_records,
            ent_queued_count (e));
  ent_publish_view (e);
  ent_log_leave (e);
}

bool
ent_done (const struct ent_entry *e)
{
  return e->leaving && e->open_records == 0
         && atomic_load (&e->http_pending) == 0 && e->forward_pending == 0
         && clk_since (clk_boot (), e->leaving_ns) > LEAVE_LINGER_NS;
}

void
ent_finish (struct ent_entry *e)
{
  ent_http_quiesce (e);
  MHD_stop_daemon (e->http);
  gsl_rng_free (e->rng);
}
