/**
 * DOC: dispatch
 *
 * Scheduler for jobs whose tasks declare their resources: accepts jobs, places
 * their tasks at agents with free resources, and answers once all have ended.
 * Its agents are runners (runner.h), which join it, take its orders and report
 * to it; it does not communicate with the entry and agent of entry.h and
 * agent.h, although it logs under the role "entry".  Keeps no persistent
 * state.  The owner communicates with the callers and supplies the
 * configuration.
 */
#ifndef LV_DISPATCH_H
#define LV_DISPATCH_H

#include <gsl/gsl_rng.h>
#include <tevent.h>

#include "cancelbatch.h"
#include "fleet.h"
#include "lagoonvale/abandoned.h"
#include "lagoonvale/backlog.h"
#include "lagoonvale/bulkhead.h"
#include "lagoonvale/cancels.h"
#include "lagoonvale/catalog.h"
#include "lagoonvale/clients.h"
#include "lagoonvale/counter.h"
#include "lagoonvale/crashlog.h"
#include "lagoonvale/histogram.h"
#include "lagoonvale/jobtable.h"
#include "peers.h"
#include "pendingjoin.h"
#include "settings.h"

/**
 * struct dsp_settings - settings of the dispatcher
 * @rpc: address to listen on for agents and other entries
 * @advertise: address at which they reach it
 * @lookahead_ms: how far ahead room is held for the first waiting job, while
 * others use the rest; 0: nothing is placed behind it
 * @open_tasks_max: most tasks of all open jobs, 0 for no limit
 */
struct dsp_settings
{
  const char *name;
  const char *domain;
  const char *rpc;
  const char *advertise;
  struct set_strings seeds;
  uint64_t open_tasks_max;
  uint64_t lookahead_ms;
};

/** enum dsp_outcome - outcome of a job for its caller */
enum dsp_outcome
{
  DSP_COMPLETE,
  DSP_FAILED,  /* a task used up its attempts */
  DSP_REFUSED, /* no task has run */
  DSP_GAVE_UP, /* tasks may have run */
  DSP_CANCELLED,
};

/**
 * struct dsp_answer - answer to a job
 * @why: reason for logs and callers, a static string
 * @retry_ms: when to retry, for DSP_REFUSED; 0: never as it is
 */
struct dsp_answer
{
  enum dsp_outcome outcome;
  const char *why;
  unsigned retry_ms;
};

/**
 * struct dsp_job - a job that a caller submits
 * @queue: of the configuration in force; only used during the call
 * @need: resources of each task
 * @count: number of tasks
 * @estimate_ms: declared run time of each task
 * @timeout_ms: how long the caller waits, 0 for the queue's timeout
 * @answer: called once, unless the job is withdrawn
 */
struct dsp_job
{
  struct lv_slice id;
  struct lv_slice spec;
  const struct cat_queue *queue;
  struct amt_amount need;
  uint32_t count;
  uint32_t estimate_ms;
  uint32_t timeout_ms;
  void (*answer) (const struct dsp_answer *answer, void *priv);
  void *priv;
};

/** enum dsp_counter - the dispatcher's metrics, described in dispatch.c */
enum dsp_counter
{
  DSP_JOBS,
  DSP_JOBS_COMPLETE,
  DSP_JOBS_FAILED,
  DSP_JOBS_REFUSED,
  DSP_JOBS_GAVE_UP,
  DSP_JOBS_WITHDRAWN,
  DSP_JOBS_CANCELLED,
  DSP_CANCELS,
  DSP_CANCELS_TOLD,
  DSP_CANCELS_LOGGED,
  DSP_CANCELS_READ,
  DSP_CANCELS_UNCONFIRMED,
  DSP_PEERS_MISSED,
  DSP_ORDERS,
  DSP_TASKS_DONE,
  DSP_TASKS_AGAIN,
  DSP_NO_ROOM,
  DSP_CRASHED,
  DSP_POISON,
  DSP_JOINS_DROPPED,
  DSP_AGENTS,
  DSP_AGENTS_JOINED,
  DSP_OPEN_JOBS,
  DSP_ABANDONED_RUNS,
  DSP_DRAINED_DOMAINS,
  DSP_DRAINED_AGENTS,
  DSP_JOBS_DRAINED,
  DSP_HOLDS,
  DSP_HOLDS_KEPT,
  DSP_HOLDS_MISSED,
  DSP_BACKFILLED,
  DSP_HELD_MCORES,
  DSP_CLIENTS,
  DSP_BODY_BYTES,
  DSP_CLIENTS_DROPPED,
  DSP_WAITING_MCORE_MS,
  DSP_CONFIG_VERSION,
  DSP_COUNTERS
};

/** enum dsp_time - the dispatcher's histograms, described in dispatch.c */
enum dsp_time
{
  DSP_TIME_JOB,
  DSP_TIME_TASK,
  DSP_TIME_ORDER,
  DSP_TIME_STORE,
  DSP_TIME_RECOVERY,
  DSP_TIMES
};

struct dsp_waiter;
struct dsp_cancel_batch;

/**
 * struct dsp_cancel_log - the log that all entries share
 * @append: append @ids, which are borrowed; @done is called once, later
 */
struct dsp_cancel_log
{
  void (*append) (const char *const *ids, unsigned count,
                  void (*done) (bool ok, void *priv), void *done_priv,
                  void *priv);
  void *priv;
};

/** struct dsp_dispatch - caller-owned */
struct dsp_dispatch
{
  struct dsp_settings set;
  struct tevent_context *ev;
  void *mem_ctx;
  uint64_t incarnation;
  gsl_rng *rng;
  struct jtb_table jobs;
  struct abd_runs abandoned;
  struct cnl_cancels cancels;
  struct dsp_cancel_batch *unsent;  /* cancels to be sent soon */
  struct dsp_cancel_batch *batches; /* that are sent and not done */
  uint64_t batch_sent_ns;
  struct dsp_cancel_log cancel_log;
  struct bkl_backlog backlog; /* late jobs without any order */
  struct flt_fleet fleet;
  struct pjn_list joins;        /* not confirmed yet */
  struct crl_log crashes;       /* times by clk_boot() */
  struct blk_bulkhead bulkhead; /* times by clk_boot() */
  struct per_peers peers;
  struct drn_domains drains;
  struct cat_config *config;
  struct dsp_waiter *waiters;
  struct tevent_immediate *placement;
  bool placement_scheduled;
  struct cnd_candidate *candidates;
  struct flt_agent **candidate_agents;
  struct lkh_agent *ahead; /* the same agents, while room is held */
  unsigned candidate_cap;
  uint64_t demand_sent_ns;
  uint64_t started_ns;
  uint64_t logged_ns;
  uint64_t shutdown_ns;
  bool leaving;
  struct ctr_set counters;
  struct hst_set times;
  bool completed_any; /* a job has completed since the start */
};

/** dsp_init() - listen for agents and peers. Return: 0 or -errno. */
int dsp_init (struct dsp_dispatch *d, void *mem_ctx, struct tevent_context *ev,
              const struct dsp_settings *settings);

/** dsp_finish() - free jobs, agents, histograms and the random generator. */
void dsp_finish (struct dsp_dispatch *d);

/** dsp_add_seeds() - add addresses of other entries, "IP:PORT". */
void dsp_add_seeds (struct dsp_dispatch *d, const struct set_strings *seeds);

/** dsp_add_entry() - add the address of another entry, "IP:PORT". */
void dsp_add_entry (struct dsp_dispatch *d, struct lv_slice address);

/** dsp_entry_answers() - whether the entry at @address answers. */
bool dsp_entry_answers (const struct dsp_dispatch *d, struct lv_slice address);

/** dsp_apply_config() - put @config in force if it is newer, else free it. */
void dsp_apply_config (struct dsp_dispatch *d, struct cat_config *config,
                       const char *source);

/** dsp_replace_drains() - take over the drained failure domains at @position,
 * if that is newer than what is known. */
void dsp_replace_drains (struct dsp_dispatch *d, const struct lv_slice *names,
                         unsigned count, uint64_t position,
                         const char *source);

/** dsp_record_drain() - apply an operator's record that drains a failure
 * domain, or ends that; it ends at @position. */
void dsp_record_drain (struct dsp_dispatch *d, struct lv_slice domain,
                       bool drained, uint64_t position);

/** dsp_note_clients() - take @clients over into the metrics. */
void dsp_note_clients (struct dsp_dispatch *d,
                       const struct clt_clients *clients);

/** dsp_reads_config() - whether this entry is one of those that watch the
 * configuration for the others. */
bool dsp_reads_config (const struct dsp_dispatch *d);

/** dsp_fetches_config() - whether a newer configuration is arriving here or at
 * another entry, which will pass it on. */
bool dsp_fetches_config (const struct dsp_dispatch *d);

/** dsp_set_reading() - set whether a configuration is arriving here from the
 * store; the other entries are told. */
void dsp_set_reading (struct dsp_dispatch *d, bool reading);

/** dsp_bulk_rate() - rate for large answers of the store, bytes/s; 0: no
 * limit.
 */
uint64_t dsp_bulk_rate (const struct dsp_dispatch *d);

/** dsp_ready() - whether to report as ready to health checks. */
bool dsp_ready (const struct dsp_dispatch *d);

/**
 * dsp_when_configured() - defer a request until it can be handled
 * @ready: called once a configuration is in force or a short time has passed
 * since the start; at once if either is already so
 *
 * Return: a handle for dsp_cancel_waiter() while the call is pending, or NULL.
 */
struct dsp_waiter *dsp_when_configured (struct dsp_dispatch *d,
                                        void (*ready) (void *priv),
                                        void *priv);

/** dsp_cancel_waiter() - cancel a pending call. */
void dsp_cancel_waiter (struct dsp_dispatch *d, struct dsp_waiter *waiter);

/** dsp_submit() - accept or refuse a job; may answer before it returns. */
void dsp_submit (struct dsp_dispatch *d, const struct dsp_job *job);

/** dsp_withdraw() - drop a job without an answer. Return: whether it was open.
 */
bool dsp_withdraw (struct dsp_dispatch *d, struct lv_slice id,
                   const char *why);

/**
 * dsp_cancel() - cancel the job @id, here and at all entries, and its
 * submission if that arrives later
 * @call: told later whether the cancel counts at every entry; valid until then
 * or until cbt_leave()
 *
 * Return: whether it was open here.  Its caller is answered.
 */
bool dsp_cancel (struct dsp_dispatch *d, struct lv_slice id,
                 struct cbt_call *call);

/** dsp_set_cancel_log() - set the log for cancels that not every entry can be
 * told of; without one these are never confirmed. */
void dsp_set_cancel_log (struct dsp_dispatch *d,
                         const struct dsp_cancel_log *log);

/** dsp_misses_entries() - whether the log of cancels has to be read, since
 * another entry may be unable to tell this one. */
bool dsp_misses_entries (const struct dsp_dispatch *d);

/** dsp_on_logged_cancel() - the log holds a cancel of the job @id. */
void dsp_on_logged_cancel (struct dsp_dispatch *d, struct lv_slice id);

/** dsp_count_pending() - jobs of @queue without any order. */
unsigned dsp_count_pending (const struct dsp_dispatch *d,
                            const struct cat_queue *queue);

/**
 * dsp_begin_shutdown() - prepare for the end of the process at @until_ns
 * @until_ns: by clk_boot()
 *
 * dsp_ready() turns false.  Jobs are still accepted if they are expected to
 * end in time; all that are open shortly before @until_ns are answered then.
 */
void dsp_begin_shutdown (struct dsp_dispatch *d, uint64_t until_ns);

#endif
