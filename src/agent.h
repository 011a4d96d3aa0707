/**
 * DOC: agent
 *
 * The daemon that runs beside each minion.  It owns the minion's slots,
 * announces it in the membership stream, and admits each start through its
 * ledger.  It can also manage a worker: no daemon runs beside a worker, so an
 * agent holds a lease on it and starts the tasks that declare resources there.
 * Its counterpart is the entry of entry.h; the dispatcher of dispatch.h has
 * agents of its own (runner.h).
 *
 *   agent.c          settings, startup, timer tick, leaving
 *   agent_session.c  connections from entries, heartbeats
 *   agent_calls.c    RPC calls: start, resolve, fence and bind
 *   agent_run.c      running tasks and the calls that wait for them
 *   agent_grant.c    credits of the entries
 *   agent_worker.c   lease on the worker, its capacity and its tasks
 *   agent_member.c   membership stream
 *   agent_target.c   target implementations "minion" and "null"
 */
#ifndef LV_AGENT_H
#define LV_AGENT_H

#include <tevent.h>

#include "http_client.h"
#include "lagoonvale/capacity.h"
#include "lagoonvale/grant.h"
#include "lagoonvale/keybind.h"
#include "lagoonvale/lease.h"
#include "lagoonvale/ledger.h"
#include "lagoonvale/roster.h"
#include "lagoonvale/turn.h"
#include "logtail.h"
#include "lvproto.h"
#include "onc.h"
#include "settings.h"
#include "webstat.h"

/** A gap between two ticks that counts as a pause of the process, ns. */
#define AGT_PAUSE_NS 1000000000ULL

/** struct agt_settings - settings of an agent, described in agt_keys. */
struct agt_settings
{
  char *name;
  char *domain;
  char *listen;
  char *advertise;
  char *metrics;
  char *log_url;
  char *log_level;
  char *target_kind;
  char *target_url;
  char *worker_url;
  uint64_t worker_lease_ms;
  uint64_t slots;
  uint64_t ahead;
  uint64_t connections;
  uint64_t window_s;
  uint64_t ledger_bytes;
  uint64_t output_keep_s;
  uint64_t silent_ms;
  uint64_t task_limit_ms;
  uint64_t refresh_s;
};

extern const struct set_key agt_keys[];

/** enum agt_counter - metrics of an agent, described in agent.c. */
enum agt_counter
{
  AGT_STARTS,
  AGT_SUCCEEDED,
  AGT_FAILED,
  AGT_LOST,
  AGT_REFUSED,
  AGT_FENCED,
  AGT_RESOLVES,
  AGT_DUPLICATES,
  AGT_SESSIONS,
  AGT_SESSIONS_DROPPED,
  AGT_PAUSES,
  AGT_LEASES,
  AGT_LEASES_LOST,
  AGT_WORKER_RUNNING,
  AGT_RUNNING,
  AGT_LEDGER_BYTES,
  AGT_KEY_BYTES,
  AGT_RPC_BYTES,
  AGT_RPC_CALLS,
  AGT_COUNTERS
};

struct agt_agent;
struct agt_run;

/**
 * struct agt_session - one connection from an entry
 * @grant_index: index in the grants and turns; -1 before HELLO and for peers
 * that get no credits
 * @incarnation: of the entry
 * @number: sequence number of the connection within one incarnation
 * @offered: worker capacity last sent to the entry, less its starts since
 * @offer_stale: the entry assumes more free capacity than there is
 */
struct agt_session
{
  struct agt_agent *agent;
  struct onc_conn *conn;
  int grant_index;
  uint64_t incarnation;
  uint64_t number;
  lvp_room offered;
  bool offer_stale;
  struct agt_session *prev;
  struct agt_session *next;
};

/**
 * struct agt_target_ops - implementation of a kind of target
 * @name: value of target.kind in the settings
 * @start: run a task and call one of the agent's struct agt_run_events once
 * @stop: request the early end of a running task
 * @watch: check on each tick whether the target is leaving; may be NULL
 */
struct agt_target_ops
{
  const char *name;
  void (*start) (struct agt_agent *agent, struct agt_run *run);
  void (*stop) (struct agt_agent *agent, struct agt_run *run);
  void (*watch) (struct agt_agent *agent);
};

/**
 * struct agt_run_events - how a target tells the outcome of a run
 * @ended: it ended, or the target did not answer; frees it
 * @not_started: it never reached the target; frees it
 */
struct agt_run_events
{
  void (*ended) (struct agt_run *run, enum led_state state,
                 struct lv_slice output);
  void (*not_started) (struct agt_run *run);
};

/**
 * struct agt_worker - the worker that an agent manages
 * @requested_ns: when the lease was last requested
 * @next_usage_ns: when to request the worker's usage next
 * @running: number of tasks running there
 * @turns: which entry may use free capacity
 * @send_offers: sends changed offers after all pending messages were handled,
 * so that starts that an entry sent together count as one use of its turn
 * @offers_scheduled: whether @send_offers is scheduled
 */
struct agt_worker
{
  struct lse_lease lease;
  struct capa_worker capacity;
  uint64_t requested_ns;
  uint64_t next_usage_ns;
  uint32_t running;
  struct trn_turns turns;
  struct tevent_immediate *send_offers;
  bool offers_scheduled;
};

/** struct agt_waiter - an RPC call to answer when its task ends. */
struct agt_waiter
{
  struct agt_session *session;
  uint32_t xid;
  struct agt_waiter *next;
};

/**
 * struct agt_run - a task admitted by the ledger
 * @grant_index: index in the grants of the entry that spent a credit on it, or
 * -1
 * @ops: implementation of its target
 * @need: declared resources, all 0 at the minion
 * @kind: talloc
 * @payload: talloc
 * @started_ns: when it was sent to the target
 * @request: request to the target, NULL while queued
 */
struct agt_run
{
  struct sid_id sid;
  uint32_t index;
  int grant_index;
  const struct agt_target_ops *ops;
  struct capa_size need;
  char *kind;
  char *payload;
  size_t payload_len;
  uint64_t started_ns;
  struct agt_agent *agent;
  struct agt_waiter *waiters;
  struct hcl_request *request;
  struct agt_run *prev;
  struct agt_run *next;
};

/**
 * struct agt_agent - state of the daemon
 * @running: list of tasks sent to a target
 * @queued: list of tasks waiting for a slot of the minion
 * @running_count: tasks running at the minion
 * @queued_count: length of @queued
 * @announced: whether this incarnation was announced in the membership stream
 * @leaving_ns: when the agent began to leave
 * @last_end_ns: when the last task ended
 * @next_refresh_ns: when to refresh the announcement
 */
struct agt_agent
{
  struct agt_settings set;
  struct tevent_context *ev;
  uint64_t incarnation;
  struct ros_member self;
  struct led_ledger ledger;
  struct grt_grants grants;
  struct key_table keys;
  struct ros_roster roster;
  struct lgt_tail *members;
  struct hcl_client *client;
  const struct agt_target_ops *target;
  const struct agt_run_events *events;
  /* The target says that it leaves.  */
  void (*target_leaving) (struct agt_agent *a, const char *why);
  struct agt_worker worker;
  struct agt_session *sessions;
  struct agt_run *running;
  struct agt_run *queued;
  uint32_t running_count;
  uint32_t queued_count;
  bool announced;
  bool leaving;
  uint64_t leaving_ns;
  uint64_t last_end_ns;
  uint64_t last_tick_ns;
  uint64_t next_refresh_ns;
  struct ctr_set counters;
  struct wst_server web;
};

/** agt_start() - start the agent. Return: 0 or a negative error number. */
int agt_start (struct agt_agent *a, struct tevent_context *ev,
               const struct agt_settings *settings, struct err_error *err);

/**
 * agt_leave() - announce the end of this agent and refuse new starts
 *
 * Running tasks continue to their end.
 */
void agt_leave (struct agt_agent *a, const char *why);

/** agt_done() - whether a leaving agent may exit. */
bool agt_done (const struct agt_agent *a);

/** RPC calls of entries, answered on their session. */
void agt_on_start (struct agt_session *s, uint32_t xid, XDR *args);
void agt_on_resolve (struct agt_session *s, uint32_t xid, XDR *args);
void agt_on_fence (struct agt_session *s, uint32_t xid, XDR *args);
void agt_on_bind (struct agt_session *s, uint32_t xid, XDR *args);

/** agt_listen() - accept connections. Return: 0 or a negative error number. */
int agt_listen (struct agt_agent *a);

/** agt_drop_sessions() - close all sessions and discard their unread input. */
void agt_drop_sessions (struct agt_agent *a, const char *why);

/** agt_drop_silent() - close sessions that exceeded the idle timeout. */
void agt_drop_silent (struct agt_agent *a, uint64_t now_ns);

/** agt_grant() - balance the credits and send the changes to the entries. */
void agt_grant (struct agt_agent *a);

/** agt_run_start() - run or queue a task whose start the ledger recorded. */
void agt_run_start (struct agt_agent *a, struct agt_session *s, uint32_t xid,
                    const lvp_start *call);

/** agt_run_find() - find a running or queued task; NULL if there is none. */
struct agt_run *agt_run_find (struct agt_agent *a, const struct sid_id *sid,
                              uint32_t index);

/** agt_run_add_waiter() - answer the call @xid of @s when @run ends. */
void agt_run_add_waiter (struct agt_run *run, struct agt_session *s,
                         uint32_t xid);

/** agt_run_remove_waiters() - drop all calls of the closed session @s. */
void agt_run_remove_waiters (struct agt_agent *a, struct agt_session *s);

extern const struct agt_run_events agt_run_events;

/** agt_run_stop() - cancel @run, if it is running. */
void agt_run_stop (struct agt_run *run);

/** agt_outcome() - RPC message for a task in the ledger. */
lvp_outcome agt_outcome (const struct led_task *task);

/** agt_member_open() - follow the membership stream and announce the agent. */
void agt_member_open (struct agt_agent *a);

/** agt_member_tick() - refresh the announcement when due. */
void agt_member_tick (struct agt_agent *a, uint64_t now_ns);

/** agt_member_leave() - append the end record of this agent. */
void agt_member_leave (struct agt_agent *a, const char *why);

/** agt_worker_init() - begin without a lease or capacity. */
void agt_worker_init (struct agt_agent *a);

/** agt_worker_tick() - renew the lease, request usage, send offers. */
void agt_worker_tick (struct agt_agent *a, uint64_t now_ns);

/** agt_worker_offer() - capacity to offer to @s; 0 without a usable lease. */
lvp_room agt_worker_offer (const struct agt_session *s);

/** agt_worker_set_demand() - @n tasks at the entry of @s wait for a worker. */
void agt_worker_set_demand (struct agt_session *s, uint32_t n);

/** agt_worker_reserve() - reserve capacity for a task. Return: false without a
 * usable lease or enough capacity. */
bool agt_worker_reserve (struct agt_session *s, const struct capa_size *need);

/** agt_worker_release() - release reserved capacity. */
void agt_worker_release (struct agt_agent *a, const struct capa_size *need);

extern const struct agt_target_ops agt_worker_ops;

/** agt_target_find() - look up "minion" or "null"; NULL if unknown. */
const struct agt_target_ops *agt_target_find (const char *kind);

#endif
