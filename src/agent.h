/**
 * DOC: agent
 *
 * The process beside each minion.  It owns the minion's slots, announces the
 * minion, and decides each start with its ledger.  It may also keep a worker:
 * workers have no process of ours beside them, so an agent holds a lease on
 * one and starts tasks that declare resources there.
 *
 *   agent.c          life of the process: ticks, leaving, wiring
 *   agent_session.c  connections from entries, heartbeats, credits
 *   agent_calls.c    starts, resolves, fences and keys
 *   agent_run.c      tasks that run, and who waits for them
 *   agent_worker.c   the worker that this agent keeps under a lease
 *   agent_member.c   the membership stream
 *   agent_target.c   the kinds of target, behind a table of functions
 */
#ifndef LV_AGENT_H
#define LV_AGENT_H

#include <tevent.h>

#include "http_client.h"
#include "lagoonvale/grant.h"
#include "lagoonvale/keybind.h"
#include "lagoonvale/lease.h"
#include "lagoonvale/ledger.h"
#include "lagoonvale/capacity.h"
#include "lagoonvale/roster.h"
#include "lagoonvale/turn.h"
#include "logtail.h"
#include "lvproto.h"
#include "onc.h"
#include "settings.h"
#include "webstat.h"

/** A longer gap between two ticks means that the process did not run, ns. */
#define AGT_PAUSE_NS 1000000000ULL

/** struct agt_settings - settings file of an agent; agt_keys documents it. */
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

/** enum agt_counter - the agent's metrics, described in agent.c. */
enum agt_counter
{
  AGT_STARTS,
  AGT_ENDED_OK,
  AGT_ENDED_FAILED,
  AGT_LOST,
  AGT_REFUSED,
  AGT_FENCED,
  AGT_REVOKED,
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
 * @place: in the grants, -1 before HELLO or for peers that get no credits
 * @incarnation: of the entry
 * @number: rises with each connection of one incarnation
 * @told: of the worker's room, less what it has started since
 * @misled: it believes in room that there is not
 */
struct agt_session
{
  struct agt_agent *agent;
  struct onc_conn *conn;
  int place;
  uint64_t incarnation;
  uint64_t number;
  lvp_room told;
  bool misled;
  struct agt_session *prev;
  struct agt_session *next;
};

/**
 * struct agt_target_ops - a kind of target
 * @name: as in the settings
 * @start: run a task; agt_run_ended() or agt_run_unstarted() follows once
 * @stop: ask for an early end of a task that runs
 * @watch: look whether the target itself is leaving; may be NULL
 */
struct agt_target_ops
{
  const char *name;
  void (*start) (struct agt_agent *agent, struct agt_run *run);
  void (*stop) (struct agt_agent *agent, struct agt_run *run);
  void (*watch) (struct agt_agent *agent);
};

/**
 * struct agt_worker - the worker that an agent keeps
 * @asked_ns: when the lease was last asked for
 * @usage_ns: when to ask for its use next
 * @running: tasks that run there
 * @turns: which entry may use free room
 * @tell: what has changed is told once all messages at hand were handled, so
 * that starts of one entry that came together are one use of its turn
 */
struct agt_worker
{
  struct lse_lease lease;
  struct capa_worker room;
  uint64_t asked_ns;
  uint64_t usage_ns;
  uint32_t running;
  struct trn_turns turns;
  struct tevent_immediate *tell;
  bool tell_set;
};

/** struct agt_waiter - a call that is answered when its task ends. */
struct agt_waiter
{
  struct agt_session *session;
  uint32_t xid;
  struct agt_waiter *next;
};

/**
 * struct agt_run - a task that has started
 * @place: of the entry in the grants, whose running task it is
 * @ops: of the target it runs at
 * @need: declared, all 0 at the minion
 * @kind: talloc
 * @payload: talloc
 * @request: towards the target, NULL while held back
 */
struct agt_run
{
  struct sid_id sid;
  uint32_t index;
  int place;
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
  struct agt_worker worker;
  struct agt_session *sessions;
  struct agt_run *running;
  struct agt_run *held;
  uint32_t running_count;
  uint32_t held_count;
  bool announced;
  bool leaving;
  uint64_t leaving_ns;
  uint64_t ended_ns; /* a task last ended */
  uint64_t last_tick_ns;
  uint64_t next_refresh_ns;
  struct ctr_set counters;
  struct wst_server web;
};

/** agt_start() - open everything. Return: 0 or a negative error number. */
int agt_start (struct agt_agent *a, struct tevent_context *ev,
               const struct agt_settings *settings, struct err_error *err);

/** agt_leave() - announce, refuse new starts, finish what runs, then stop. */
void agt_leave (struct agt_agent *a, const char *why);

/** agt_done() - whether a leaving agent has nothing left to do. */
bool agt_done (const struct agt_agent *a);

/** Calls of entries, answered on their session. */
void agt_on_start (struct agt_session *s, uint32_t xid, XDR *args);
void agt_on_resolve (struct agt_session *s, uint32_t xid, XDR *args);
void agt_on_fence (struct agt_session *s, uint32_t xid, XDR *args);
void agt_on_bind (struct agt_session *s, uint32_t xid, XDR *args);

/** agt_listen() - accept entries. Return: 0 or a negative error number. */
int agt_listen (struct agt_agent *a);

/** agt_drop_sessions() - close all sessions, what they hold unread included.
 */
void agt_drop_sessions (struct agt_agent *a, const char *why);

/** agt_drop_silent() - close sessions that were silent for too long. */
void agt_drop_silent (struct agt_agent *a, uint64_t now_ns);

/** agt_grant() - balance the credits and tell the entries. */
void agt_grant (struct agt_agent *a);

/** agt_run_start() - run a task that the ledger let start. */
void agt_run_start (struct agt_agent *a, struct agt_session *s, uint32_t xid,
                    const lvp_start *call);

/** agt_run_find() - the run of this task, or NULL. */
struct agt_run *agt_run_find (struct agt_agent *a, const struct sid_id *sid,
                              uint32_t index);

/** agt_run_wait() - answer the call @xid when @run ends. */
void agt_run_wait (struct agt_run *run, struct agt_session *s, uint32_t xid);

/** agt_run_forget() - @s is gone: answer it no more. */
void agt_run_forget (struct agt_agent *a, struct agt_session *s);

/** agt_run_ended() - the target reported the end of @run, or went silent. */
void agt_run_ended (struct agt_run *run, enum led_state state,
                    struct lv_slice output);

/** agt_run_unstarted() - @run never reached the target. */
void agt_run_unstarted (struct agt_run *run);

/** agt_run_stop() - a cancellation came for @run. */
void agt_run_stop (struct agt_run *run);

/** agt_outcome() - message for a task on record. */
lvp_outcome agt_outcome (const struct led_task *task);

/** agt_member_open() - follow the membership stream and announce. */
void agt_member_open (struct agt_agent *a);

/** agt_member_tick() - refresh the announcement when due. */
void agt_member_tick (struct agt_agent *a, uint64_t now_ns);

/** agt_member_leave() - append the end of this member. */
void agt_member_leave (struct agt_agent *a, const char *why);

/** agt_worker_tick() - renew the lease, ask for use, tell entries. */
void agt_worker_tick (struct agt_agent *a, uint64_t now_ns);

/** agt_worker_room() - what @s may be told; nothing without a usable lease. */
lvp_room agt_worker_room (const struct agt_session *s);

/** agt_worker_wanted() - the entry of @s has @n tasks that wait for room. */
void agt_worker_wanted (struct agt_session *s, uint32_t n);

/** agt_worker_claim() - reserve room. Return: false if there is none. */
bool agt_worker_claim (struct agt_session *s, const struct capa_size *need);

/** agt_worker_release() - give claimed room back. */
void agt_worker_release (struct agt_agent *a, const struct capa_size *need);

extern const struct agt_target_ops agt_worker_ops;

/** agt_target_find() - "minion" or "null"; NULL if unknown. */
const struct agt_target_ops *agt_target_find (const char *kind);

#endif
