#include "agent.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "clock.h"
#include "entropy.h"
#include "logline.h"
#include "net.h"
#include "tick.h"
#include "xtalloc.h"

#define TICK_MS 100
/* Minimum time from the start of leaving to exit, while starts are refused, so
   that entries learn that this agent is leaving.  Also the minimum time from
   the end of the last task to exit, so that entries receive its outcome.  */
#define LEAVE_LINGER_NS (500 * CLK_MS)
/* The bound keys may use 1/KEY_BYTES_SHARE of ledger_bytes.  */
#define KEY_BYTES_SHARE 4

#define KEY(name, type, field, fallback, min, max, help)                      \
  {                                                                           \
    name, type, offsetof (struct agt_settings, field), fallback, min, max,    \
        help                                                                  \
  }

const struct set_key agt_keys[] = {
  KEY ("name", SET_STRING, name, NULL, 0, 0, "unique name of this agent"),
  KEY ("domain", SET_STRING, domain, NULL, 0, 0, "failure domain"),
  KEY ("listen", SET_ADDRESS, listen, NULL, 0, 0, "RPC address, IP:PORT"),
  KEY ("advertise", SET_ADDRESS, advertise, "", 0, 0,
       "address that entries use, IP:PORT, if not the listen address"),
  KEY ("metrics", SET_ADDRESS, metrics, NULL, 0, 0,
       "HTTP address of /metrics, IP:PORT"),
  KEY ("log.url", SET_STRING, log_url, NULL, 0, 0,
       "platform log, http://IP:PORT"),
  KEY ("log.level", SET_STRING, log_level, "info", 0, 0,
       "error, warn, info or debug"),
  KEY ("target.kind", SET_STRING, target_kind, "minion", 0, 0,
       "minion or null"),
  KEY ("target.url", SET_STRING, target_url, "", 0, 0,
       "the minion, http://IP:PORT"),
  KEY ("target.slots", SET_UINT, slots, "8", 1, 4096, "tasks run at a time"),
  KEY ("target.ahead", SET_UINT, ahead, "0", 0, 64,
       "tasks queued here ahead of a free slot"),
  KEY ("target.connections", SET_UINT, connections, "64", 1, 4096,
       "connections to the minion"),
  KEY ("worker.url", SET_STRING, worker_url, "", 0, 0,
       "worker that this agent manages, http://IP:PORT; none if empty"),
  KEY ("worker.lease_ms", SET_UINT, worker_lease_ms, "3000", 300, 600000,
       "milliseconds that a lease on the worker lasts"),
  KEY ("window_s", SET_UINT, window_s, "300", 1, 86400,
       "seconds for which a submission may be retried"),
  KEY ("ledger_bytes", SET_UINT, ledger_bytes, "33554432", 4096, 1ULL << 40,
       "maximum bytes of the start ledger; starts are refused beyond"),
  KEY ("output_keep_s", SET_UINT, output_keep_s, "60", 1, 86400,
       "seconds for which outputs are kept for another owner"),
  KEY ("silent_ms", SET_UINT, silent_ms, "1500", 100, 60000,
       "milliseconds after which an idle connection is closed"),
  KEY ("task_limit_ms", SET_UINT, task_limit_ms, "60000", 100, 86400000,
       "milliseconds after which a task times out"),
  KEY ("refresh_s", SET_UINT, refresh_s, "60", 1, 86400,
       "seconds between refreshes of the announcement"),
  { NULL, SET_STRING, 0, NULL, 0, 0, NULL },
};

static const struct ctr_desc counter_descs[AGT_COUNTERS] = {
  [AGT_STARTS] = { "lagoonvale_agent_starts_total", "tasks started", false },
  [AGT_SUCCEEDED]
  = { "lagoonvale_agent_succeeded_total", "tasks ended well", false },
  [AGT_FAILED]
  = { "lagoonvale_agent_failed_total", "tasks that the target failed", false },
  [AGT_LOST]
  = { "lagoonvale_agent_lost_total", "tasks whose target went silent", false },
  [AGT_REFUSED]
  = { "lagoonvale_agent_refused_total", "starts refused before start", false },
  [AGT_FENCED] = { "lagoonvale_agent_fenced_total",
                   "starts refused to a former owner", false },
  [AGT_RESOLVES] = { "lagoonvale_agent_resolves_total",
                     "questions what became of a task", false },
  [AGT_DUPLICATES] = { "lagoonvale_agent_duplicate_starts_total",
                       "starts of a task that had started", false },
  [AGT_SESSIONS] = { "lagoonvale_agent_sessions", "connected entries", true },
  [AGT_SESSIONS_DROPPED] = { "lagoonvale_agent_sessions_dropped_total",
                             "sessions dropped for silence", false },
  [AGT_PAUSES] = { "lagoonvale_agent_pauses_total",
                   "times this process found it had been paused", false },
  [AGT_LEASES] = { "lagoonvale_agent_worker_leases_total",
                   "leases on a worker that were granted anew", false },
  [AGT_LEASES_LOST] = { "lagoonvale_agent_worker_leases_lost_total",
                        "leases on a worker that lapsed", false },
  [AGT_WORKER_RUNNING]
  = { "lagoonvale_agent_worker_running", "tasks running at the worker", true },
  [AGT_RUNNING] = { "lagoonvale_agent_running", "tasks running", true },
  [AGT_LEDGER_BYTES]
  = { "lagoonvale_agent_ledger_bytes", "start ledger, bytes", true },
  [AGT_KEY_BYTES]
  = { "lagoonvale_agent_key_bytes", "bound keys, bytes", true },
  [AGT_RPC_BYTES]
  = { "lagoonvale_agent_rpc_sent_bytes", "bytes sent by RPC", true },
  [AGT_RPC_CALLS]
  = { "lagoonvale_agent_rpc_calls", "RPC calls sent to entries", true },
};

static void
update_gauges (struct agt_agent *a)
{
  ctr_set_gauge (&a->counters, AGT_RUNNING, a->running_count);
  ctr_set_gauge (&a->counters, AGT_WORKER_RUNNING, a->worker.running);
  ctr_set_gauge (&a->counters, AGT_LEDGER_BYTES, a->ledger.bytes);
  ctr_set_gauge (&a->counters, AGT_KEY_BYTES, a->keys.bytes);
  ctr_set_gauge (&a->counters, AGT_RPC_BYTES, onc_bytes_sent ());
  ctr_set_gauge (&a->counters, AGT_RPC_CALLS, onc_calls_sent ());
  atomic_store (&a->web.ready, a->ledger.joined != 0 && !a->leaving);
}

static void
expire_records (struct agt_agent *a, uint64_t now_ns)
{
  uint64_t now_ms = clk_wall_ms ();

  led_expire (&a->ledger, now_ns);
  key_expire (&a->keys, now_ms);
  ros_expire (&a->roster, now_ms - 4 * a->set.window_s * 1000);
}

static void
tick (void *priv)
{
  struct agt_agent *a = priv;
  uint64_t now = clk_boot ();

  hcl_process_timeouts (a->client);
  if (clk_since (now, a->last_tick_ns) > AGT_PAUSE_NS)
    agt_drop_sessions (a, "this process was paused");
  a->last_tick_ns = now;
  agt_drop_silent (a, now);
  expire_records (a, now);
  agt_member_tick (a, now);
  if (a->target->watch != NULL && !a->leaving)
    a->target->watch (a);
  agt_worker_tick (a, now);
  update_gauges (a);
  log_flush ();
}

static int
init_self (struct agt_agent *a)
{
  const char *text
      = a->set.advertise != NULL ? a->set.advertise : a->set.listen;

  if (strlen (a->set.name) >= ROS_NAME_MAX
      || strlen (a->set.domain) >= ROS_NAME_MAX)
    return -ENAMETOOLONG;
  strcpy (a->self.name, a->set.name);
  strcpy (a->self.domain, a->set.domain);
  net_parse_host_order (&a->self.addr, &a->self.port, text);
  a->self.role = ROS_AGENT;
  a->self.slots = (uint32_t)a->set.slots;
  a->self.incarnation = a->incarnation;
  return 0;
}

int
agt_start (struct agt_agent *a, struct tevent_context *ev,
           const struct agt_settings *settings, struct err_error *err)
{
  int rc;

  memset (a, 0, sizeof *a);
  a->set = *settings;
  a->ev = ev;
  a->incarnation = rnd_u64 ();
  a->last_tick_ns = clk_boot ();
  a->target_leaving = agt_leave;
  a->events = &agt_run_events;
  a->target = agt_target_find (a->set.target_kind);
  if (a->target == NULL)
    return err_set (err, -EINVAL, "start", NULL,
                    "key target.kind: found %s, expected minion or null",
                    a->set.target_kind);
  if (init_self (a) != 0)
    return err_set (err, -EINVAL, "start", NULL,
                    "name or domain longer than %d bytes", ROS_NAME_MAX - 1);
  ctr_init (&a->counters, counter_descs, AGT_COUNTERS);
  led_init (&a->ledger, ev, a->set.ledger_bytes, 2 * a->set.window_s * CLK_S,
            a->set.output_keep_s * CLK_S);
  key_init (&a->keys, ev, 2 * a->set.window_s * 1000, a->set.window_s * 1000,
            a->set.ledger_bytes / KEY_BYTES_SHARE);
  ros_init (&a->roster, ev);
  agt_worker_init (a);
  grt_init (&a->grants, (uint32_t)(a->set.slots + a->set.ahead));
  a->client = hcl_new (ev, ev, (long)a->set.connections);
  rc = wst_init (&a->web, a->set.metrics, &a->counters);
  if (rc != 0)
    return err_set (err, rc, "start", a->set.metrics,
                    "cannot serve metrics: %s", strerror (-rc));
  rc = agt_listen (a);
  if (rc != 0)
    return err_set (err, rc, "start", a->set.listen, "cannot listen: %s",
                    strerror (-rc));
  agt_member_open (a);
  rc = tck_start (ev, ev, TICK_MS, tick, a);
  if (rc != 0)
    return err_set (err, rc, "timer", a->set.name, "cannot start: %s",
                    strerror (-rc));
  log_line (LOGL_INFO, "started",
            "incarnation=%016" PRIx64 " domain=%s listen=%s slots=%" PRIu64,
            a->incarnation, a->set.domain, a->set.listen, a->set.slots);
  return 0;
}

void
agt_leave (struct agt_agent *a, const char *why)
{
  if (a->leaving)
    return;
  a->leaving = true;
  a->leaving_ns = clk_boot ();
  a->grants.open = false;
  log_line (LOGL_INFO, "leaving", "why=%s running=%u", why, a->running_count);
  agt_member_leave (a, why);
}

/* The linger time lets entries read the last outcome before the process
   exits.  */
bool
agt_done (const struct agt_agent *a)
{
  uint64_t now = clk_boot ();

  return a->leaving && a->running_count == 0 && a->queued_count == 0
         && a->worker.running == 0
         && clk_since (now, a->leaving_ns) > LEAVE_LINGER_NS
         && clk_since (now, a->last_end_ns) > LEAVE_LINGER_NS;
}
