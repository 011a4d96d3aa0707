/**
 * DOC: entry_parts
 *
 * What the source files of an entry share: its state, and what each of them
 * does for those above it, see entry.h.
 */
#ifndef LV_ENTRY_PARTS_H
#define LV_ENTRY_PARTS_H

#include <gsl/gsl_rng.h>
#include <pthread.h>
#include <stdatomic.h>
#include <tevent.h>
#include <urcu/wfcqueue.h>

#include "http_client.h"
#include "lagoonvale/adopt.h"
#include "lagoonvale/clients.h"
#include "lagoonvale/counter.h"
#include "lagoonvale/estimate.h"
#include "lagoonvale/health.h"
#include "lagoonvale/placement.h"
#include "lagoonvale/queue.h"
#include "lagoonvale/roster.h"
#include "lagoonvale/rules.h"
#include "lagoonvale/ruleversion.h"
#include "lagoonvale/submission.h"
#include "logtail.h"
#include "lvproto.h"
#include "request.h"
#include "onc.h"
#include "settings.h"

/** struct ent_settings - settings of an entry, documented by ent_keys. */
struct ent_settings
{
  char *name;
  char *domain;
  char *listen;
  char *advertise;
  char *source;
  char *http;
  char *log_url;
  char *log_level;
  char *order;
  char *policy;
  struct set_strings teams;
  struct set_strings kinds;
  struct set_strings seeds;
  uint64_t http_threads;
  uint64_t http_connections_max;
  uint64_t http_bodies_max_kb;
  uint64_t window_s;
  uint64_t record_bytes;
  uint64_t queue_tasks;
  uint64_t wait_ms;
  uint64_t reserve;
  uint64_t heartbeat_ms;
  uint64_t silent_ms;
  uint64_t resolve_ms;
  uint64_t gone_ms;
  uint64_t refresh_s;
};

/** enum ent_counter - metrics of an entry, described in entry.c. */
enum ent_counter
{
  ENT_REQUESTS,
  ENT_SUBMISSIONS,
  ENT_REFUSALS,
  ENT_COMPLETE,
  ENT_FAILED_NOT_RUN,
  ENT_FAILED_MAY_HAVE_RUN,
  ENT_ATTACHED,
  ENT_FORWARDED,
  ENT_ADOPTED,
  ENT_ADOPT_UNCERTAIN,
  ENT_KEYS_BOUND,
  ENT_CANCELS,
  ENT_STARTS,
  ENT_WASTED_STARTS,
  ENT_RESOLVES,
  ENT_GAVE_UP,
  ENT_DEMANDS,
  ENT_RETURNS,
  ENT_EJECTIONS,
  ENT_LINKS_DROPPED,
  ENT_RULES_VERSION,
  ENT_QUEUED,
  ENT_IN_FLIGHT,
  ENT_RECORDS,
  ENT_RECORD_BYTES,
  ENT_LINKS,
  ENT_RPC_BYTES,
  ENT_RPC_CALLS,
  ENT_COUNTERS
};

struct ent_entry;
struct ent_record;
struct ent_link;

/** enum ent_phase - phase of a submission on record */
enum ent_phase
{
  ENT_ADOPTING, /* being taken over from its owner */
  ENT_BINDING,  /* not yet admitted; its key, if any, is being bound */
  ENT_OPEN,     /* its tasks are queued or running */
  ENT_ENDED,    /* answered; kept for repeated submissions */
};

/**
 * struct ent_task - one task of a submission on record
 * @item: queue item; must come first, items are cast back to tasks
 * @spec: what to run, owned by the request
 * @output: output of a successful run, talloc
 */
struct ent_task
{
  struct que_item item;
  struct ent_record *record;
  uint32_t index;
  const struct req_task *spec;
  char *output;
  size_t output_len;
};

/**
 * struct ent_record - a submission that this entry owns or has adopted
 * @ballot: 0 if this entry minted the id, else its ballot as adopter
 * @fingerprint: of the request's contents; the same id requires the same one
 * @request: owns @tasks; freed once the record has ended and @calls is 0
 * @waiters: requests to answer when the record ends
 * @answer: set once ended
 * @fail_code: code of the first failure, NULL if none; likewise @fail_step
 * @calls: starts and resolves under way, which refer to @tasks
 * @progress_ns: time at which a task was last sent or ended
 * @bytes: share of ent_entry::record_bytes
 */
struct ent_record
{
  struct ent_entry *entry;
  struct sid_id sid;
  uint64_t ballot;
  uint64_t fingerprint;
  enum ent_phase phase;
  struct req_request *request;
  struct ent_task *tasks;
  struct sub_submission core;
  struct req_request *waiters;
  struct req_answer *answer;
  const char *fail_code;
  const char *fail_step;
  char fail_peer[ERR_PEER_MAX];
  uint32_t calls;
  uint64_t began_ns;
  uint64_t progress_ns;
  uint64_t ended_ns;
  size_t bytes;
  struct ent_adoption *adoption;
  struct ent_binding *binding;
  struct ent_record *prev;
  struct ent_record *next;
  UT_hash_handle hh;
};

/**
 * struct ent_call - a start or resolve RPC under way
 * @lost_ns: time at which the connection was lost, 0 while it is up
 * @cancel: a resolve that stops a task which has a call of its own
 * @adopted: a resolve of a task that another entry started, so it was never
 * queued here
 */
struct ent_call
{
  struct ent_link *link;
  struct sid_id sid;
  uint32_t index;
  uint64_t lost_ns;
  bool cancel;
  bool adopted;
  struct ent_call *prev;
  struct ent_call *next;
};

/**
 * struct ent_link - connection to an agent, and its last reported state
 * @conn: NULL while disconnected
 * @established: the expected incarnation has answered the hello on @conn
 * @was_established: established at least once
 * @replaced: another incarnation answered at its address
 * @leaving: gets no new tasks
 * @near: in this entry's failure domain
 * @session: counts connections to this agent
 * @credits: granted by the agent and not spent
 * @sent: calls under way, those in @unresolved included
 * @load: running and held tasks there, as last reported
 * @retry_ns: time of the next connection attempt
 * @lost_ns: time since which it is unreachable or was last declared gone, 0 if
 * it is reachable
 * @beat_ns: time of the last heartbeat sent
 * @reported_ns: time of the last heartbeat sent early, because of the queue
 * @reported_queued: length of the queue as last sent to the agent
 * @reported_entitled: queued tasks entitled to a slot, likewise
 * @reported_worker_queued: length of the worker queue, likewise
 * @worker_capacity: last known capacity of the agent's worker
 * @worker_total: its capacity now; zero while the agent holds no lease on it
 * @worker_free: part of @worker_total that is free
 * @unresolved: calls whose connection was lost before the outcome arrived
 */
struct ent_link
{
  struct ent_entry *entry;
  struct ros_member *member;
  struct onc_conn *conn;
  bool established;
  bool replaced;
  bool leaving;
  bool near;
  bool was_established;
  uint64_t session;
  uint32_t slots;
  uint32_t credits;
  uint32_t sent;
  uint32_t load;
  uint64_t retry_ns;
  uint64_t lost_ns;
  uint64_t beat_ns;
  uint64_t reported_ns;
  uint32_t reported_queued;
  uint32_t reported_entitled;
  uint32_t reported_worker_queued;
  struct hlt_target health;
  struct hlt_target worker_health;
  struct capa_size worker_capacity;
  struct capa_size worker_total;
  struct capa_size worker_free;
  struct ent_call *unresolved;
  struct ent_link *prev;
  struct ent_link *next;
};

/** struct ent_view - snapshot that HTTP threads read under RCU. */
struct ent_view
{
  struct rul_set *rules;
  bool ready;
  bool leaving;
};

struct ent_peer;
struct ent_usage;
struct ent_entry;

/**
 * struct ent_events - what the parts of an entry tell those above them
 * @dispatch: tasks wait, and capacity may be free
 * @resolve: the agent of @call is reachable again, to be asked for the outcome
 * @give_up: the outcome of @call is lost; @step is where
 * @submit_as: a key is bound to @sid: handle @r under that id
 * @adopt: the owner of @sid is gone: adopt it for @r
 * @adopt_preempt: so is the adopter that holds it by @ballot
 */
struct ent_events
{
  void (*dispatch) (struct ent_entry *e);
  void (*resolve) (struct ent_call *call);
  void (*give_up) (struct ent_call *call, const char *step);
  void (*submit_as) (struct ent_entry *e, struct req_request *r,
                     const struct sid_id *sid);
  void (*adopt) (struct ent_entry *e, struct req_request *r,
                 const struct sid_id *sid);
  void (*adopt_preempt) (struct ent_entry *e, struct req_request *r,
                         const struct sid_id *sid, uint64_t ballot);
};

/** struct ent_entry - caller-owned; belongs to the dispatch thread, except as
 * stated in the DOC section */
struct ent_entry
{
  struct ent_settings set;
  struct tevent_context *ev;
  const struct ent_events *events;
  uint64_t incarnation;
  struct ros_member self;
  uint32_t next_seq;
  gsl_rng *rng;

  struct MHD_Daemon *http;
  int http_fd;
  pthread_mutex_t clients_lock;
  struct clt_clients clients; /* of the HTTP threads, under @clients_lock */
  int wake_fd;
  struct cds_wfcq_head intake_head;
  struct cds_wfcq_tail intake_tail;
  struct ent_view *_Atomic view; /* freed after an RCU grace period */
  _Atomic uint64_t http_pending; /* HTTP requests not yet answered */

  struct ros_roster roster;
  struct rvs_state rules;        /* state at the last record read */
  uint64_t active_rules_version; /* rules in force, 0 for none */
  char *active_rules_text;       /* talloc, NULL for none */
  struct lgt_tail *members_tail;
  struct lgt_tail *rules_tail;
  struct hcl_client *client;
  bool members_known;
  uint32_t entry_count;    /* entries in the membership, at least 1 */
  uint32_t entry_position; /* of this one among them, below @entry_count */
  bool rules_ready;        /* the version in force has been known once */
  bool announced;          /* a join record of this process was appended */
  uint64_t joined;         /* log offset of that record, 0 if unknown */
  /* Wall time; ids minted up to then may have been adopted by others.  */
  uint64_t maybe_adopted_ms;
  uint64_t last_tick_ns;
  uint64_t next_refresh_ns;
  uint64_t next_state_ns;
  uint64_t next_sync_ns;
  uint64_t next_forget_ns;

  struct que_queue queue;        /* tasks that wait for a slot of a minion */
  struct que_queue worker_queue; /* tasks that wait for room at a worker */
  struct que_item *worker_head;  /* next to be sent, waits for room */
  struct est_table estimates;
  const struct plc_policy *policy;
  struct ent_link *links;
  uint32_t link_count;
  struct plc_target *targets;
  struct ent_link **target_links;
  uint32_t target_cap;
  struct hlt_fleet fleet;
  struct hlt_fleet worker_fleet;
  struct ent_usage *usage;
  bool dispatch_scheduled;
  struct tevent_immediate *dispatch_event;

  struct ent_record *records; /* by id */
  struct ent_record *open_list;
  struct ent_record *ended_list;
  size_t record_bytes;
  uint32_t open_records;
  struct ent_peer *peers;
  uint32_t forward_pending; /* of other entries, not yet answered */

  bool leaving;
  uint64_t leaving_ns;
  struct ctr_set counters;
};

/* entry_view.c */

/** ent_update_position() - count the entries, and those before this one in the
 * order of their incarnations, which all entries share. */
void ent_update_position (struct ent_entry *e);
/** ent_publish_view() - publish rules and readiness to the HTTP threads. */
void ent_publish_view (struct ent_entry *e);

/* entry_http.c */

/** ent_http_open() - start the HTTP server. Return: 0 or -errno. */
int ent_http_open (struct ent_entry *e);
/** ent_http_quiesce() - accept no further connections. */
void ent_http_quiesce (struct ent_entry *e);

/* entry_intake.c */

/** ent_handle_request() - handle @r on the dispatch thread. */
void ent_handle_request (struct ent_entry *e, struct req_request *r);
/** ent_submit_as() - handle @r as a submission under the id @sid. */
void ent_submit_as (struct ent_entry *e, struct req_request *r,
                    const struct sid_id *sid);
/** ent_mint_id() - mint a submission id. */
void ent_mint_id (struct ent_entry *e, struct sid_id *sid);

/* entry_open.c */

/** ent_refuse() - answer @r with the refusal @why. */
void ent_refuse (struct ent_entry *e, struct req_request *r,
                 struct req_refusal *why);
/** ent_open_or_refuse() - admit or refuse a record whose key is bound or whose
 * adoption is complete. */
void ent_open_or_refuse (struct ent_record *rec);
/**
 * ent_maybe_adopted() - whether another entry may have adopted @sid while this
 * one was paused or disconnected
 */
bool ent_maybe_adopted (const struct ent_entry *e, const struct sid_id *sid);

/* entry_queue.c */

/** ent_team_of() - team of a submission. */
static inline struct lv_slice
ent_team_of (const struct ent_record *rec)
{
  return lv_slice_of (rec->request->team);
}

/** ent_need_of() - the resources that @t declares. */
struct capa_size ent_need_of (const struct req_task *t);
/** ent_needs_worker() - whether @t declares resources. */
bool ent_needs_worker (const struct req_task *t);
/** ent_queue_for() - the queue for tasks like @t. */
struct que_queue *ent_queue_for (struct ent_entry *e,
                                 const struct req_task *t);
/** ent_queued_count() - number of tasks in both queues. */
size_t ent_queued_count (const struct ent_entry *e);
/**
 * ent_enqueue() - queue task @i of @rec
 * @spread_ns: see que_push()
 */
void ent_enqueue (struct ent_record *rec, uint32_t i, uint64_t spread_ns);
/** ent_unqueue() - remove a task from its queue, if it is queued. */
void ent_unqueue (struct ent_entry *e, struct ent_task *task);
/** ent_schedule_dispatch() - report the dispatch event soon, once. */
void ent_schedule_dispatch (struct ent_entry *e);

/* entry_admit.c */

/** ent_admit() - admission control. Return: whether @r may be queued. */
bool ent_admit (struct ent_entry *e, const struct req_request *r,
                struct req_refusal *why);
/** ent_longest_wait_ms() - longest expected wait with which @r is admitted. */
uint64_t ent_longest_wait_ms (const struct ent_entry *e,
                              const struct req_request *r);
/** ent_explain() - JSON text: the rules that apply to @r, and whether it would
 * be admitted. */
char *ent_explain (struct ent_entry *e, const struct req_request *r);
/** ent_usage_add() - add @n to the running tasks of @team and @kind. */
void ent_usage_add (struct ent_entry *e, struct lv_slice team,
                    struct lv_slice kind, int n);
/** ent_at_limit() - whether @team or @kind runs as many tasks as the rules
 * allow. */
bool ent_at_limit (void *priv, struct lv_slice team, struct lv_slice kind);
/** ent_team_weight() - weight of @team by the rules. */
double ent_team_weight (void *priv, struct lv_slice team);

/* entry_record.c */

/** ent_record_find() - record by id, or NULL. */
struct ent_record *ent_record_find (struct ent_entry *e,
                                    const struct sid_id *sid);
/** ent_record_new() - create a record for @r, which it owns from here on. */
struct ent_record *ent_record_new (struct ent_entry *e, struct req_request *r,
                                   const struct sid_id *sid);
/** ent_record_open() - queue all tasks. */
void ent_record_open (struct ent_record *rec);
/**
 * ent_record_try_finish() - answer the waiters if the verdict is known; free
 * the tasks if no call needs them
 */
void ent_record_try_finish (struct ent_record *rec);
/** ent_record_fail() - start no further tasks; the first reason is kept. */
void ent_record_fail (struct ent_record *rec, const char *code,
                      const char *step, const char *peer);
/** ent_record_refuse() - refuse a record that never opened, and remove it. */
void ent_record_refuse (struct ent_record *rec, const struct req_refusal *why);
/**
 * ent_record_answer() - answer @r: at once if the record has ended or @r does
 * not wait, else when the record ends or the wait times out
 */
void ent_record_answer (struct ent_record *rec, struct req_request *r);
/**
 * ent_record_drop() - remove a record that never opened
 *
 * Return: its request, which the caller must answer for the first waiter; all
 * other waiters have been refused.
 */
struct req_request *ent_record_drop (struct ent_record *rec);
/**
 * ent_record_tick() - answer polls that time out, and fail submissions without
 * progress for longer than the longest admitted wait
 */
void ent_record_tick (struct ent_entry *e, uint64_t now_ns);
/** ent_record_expire() - remove records that ended two windows ago. */
void ent_record_expire (struct ent_entry *e, uint64_t now_ns);

/* entry_dispatch.c */

/** ent_dispatch() - start queued tasks while there is capacity for them. */
void ent_dispatch (struct ent_entry *e);

/* entry_calls.c */

/** ent_track_started() - task @i of an adopted submission was started at agent
 * @incarnation: resolve its outcome. */
void ent_track_started (struct ent_record *rec, uint32_t i,
                        uint64_t incarnation);
/** ent_resolve() - ask the target of @call for the outcome of its task. */
void ent_resolve (struct ent_call *call);
/** ent_send_start() - send @task, taken from its queue, to @link. */
void ent_send_start (struct ent_link *link, struct ent_task *task,
                     uint64_t now_ns);
/** ent_cancel() - cancel all queued and running tasks of @rec. */
void ent_cancel (struct ent_record *rec);
/** ent_call_give_up() - stop waiting for the outcome of @call; @step is where
 * it was lost. */
void ent_call_give_up (struct ent_call *call, const char *step);

/* entry_worker.c */

/** ent_worker_pump() - start queued worker tasks while they fit. */
void ent_worker_pump (struct ent_entry *e, uint64_t now_ns);

/* entry_link.c */

/** ent_link_add() - connect to an agent that joined. */
void ent_link_add (struct ent_entry *e, struct ros_member *m);
/** ent_link_set_leaving() - send nothing new to an agent that left. */
void ent_link_set_leaving (struct ent_entry *e, struct ros_member *m);
/** ent_link_find() - link by incarnation, or NULL. */
struct ent_link *ent_link_find (const struct ent_entry *e,
                                uint64_t incarnation);
/** ent_link_tick() - heartbeats, timeouts, reconnects. */
void ent_link_tick (struct ent_entry *e, uint64_t now_ns);
/** ent_link_report_demand() - send heartbeats early if the queue grew. */
void ent_link_report_demand (struct ent_entry *e, uint32_t queued,
                             uint64_t now_ns);
/**
 * ent_dial() - connect to an agent or entry and send a hello
 * @session: higher for each new connection to the same process
 * @on_answer: called with the reply to the hello
 *
 * Return: the connection, or NULL if the socket could not be opened.
 */
struct onc_conn *ent_dial (struct ent_entry *e, uint32_t addr, uint32_t port,
                           uint64_t session, const struct onc_handler *handler,
                           onc_reply_fn on_answer, void *priv);
/** ent_link_ready() - whether @link is connected to the expected incarnation.
 */
bool ent_link_ready (const struct ent_link *link);

/**
 * ent_link_usable() - whether @task may be sent to @link
 * @health: health of the target, the minion or the worker of @link
 */
bool ent_link_usable (const struct ent_link *link,
                      const struct hlt_target *health,
                      const struct ent_task *task, uint64_t now_ns);

/* entry_inbound.c */

/** ent_inbound_listen() - listen for other entries. Return: 0 or -errno. */
int ent_inbound_listen (struct ent_entry *e);

/* entry_peer.c */

/** ent_forward() - forward @r to its owner at @addr:@port. */
void ent_forward (struct ent_entry *e, struct req_request *r,
                  const struct sid_id *sid, uint64_t incarnation,
                  uint32_t addr, uint32_t port);
/** ent_peer_tick() - heartbeats, timeouts, reconnects between entries. */
void ent_peer_tick (struct ent_entry *e, uint64_t now_ns);
/** ent_peer_sync() - request rules and members from the peers. */
void ent_peer_sync (struct ent_entry *e);

/* entry_adopt.c */

/** ent_adopt() - adopt @sid, whose owner has failed, for @r. */
void ent_adopt (struct ent_entry *e, struct req_request *r,
                const struct sid_id *sid);
/**
 * ent_adopt_preempt() - adopt @sid for @r, although an adopter with @ballot
 * holds it: that adopter has failed too
 */
void ent_adopt_preempt (struct ent_entry *e, struct req_request *r,
                        const struct sid_id *sid, uint64_t ballot);

/* entry_bind.c */

/** ent_bind_key() - bind the key of @rec at its homes, then admit @rec. */
void ent_bind_key (struct ent_record *rec);

/* entry_log.c */

/** ent_log_open() - tail the membership and rules streams. */
void ent_log_open (struct ent_entry *e);
/** ent_log_tick() - append refreshes that are due. */
void ent_log_tick (struct ent_entry *e, uint64_t now_ns);
/** ent_log_must_sync() - whether rules or members are unknown, and the peers
 * are to be asked for them now. */
bool ent_log_must_sync (struct ent_entry *e, uint64_t now_ns);
/** ent_log_leave() - append a record that this entry has left. */
void ent_log_leave (struct ent_entry *e);
/** ent_log_activate_rules() - activate the last rules version read. */
void ent_log_activate_rules (struct ent_entry *e, const char *source);
/** ent_log_load_members() - load the members from a peer's ros_dump(). */
void ent_log_load_members (struct ent_entry *e, uint64_t offset,
                           struct lv_slice dump);

#endif
