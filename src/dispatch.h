/**
 * DOC: dispatch
 *
 * An entry for jobs whose tasks declare what they need: takes jobs, places
 * their tasks at agents with room, answers when all have ended.  Keeps nothing
 * that outlives it.  What speaks to callers, and where the configuration comes
 * from, is the owner's.
 */
#ifndef LV_DISPATCH_H
#define LV_DISPATCH_H

#include <gsl/gsl_rng.h>
#include <tevent.h>

#include "fleet.h"
#include "lagoonvale/backlog.h"
#include "lagoonvale/catalog.h"
#include "lagoonvale/counter.h"
#include "lagoonvale/histogram.h"
#include "lagoonvale/jobtable.h"
#include "peers.h"
#include "settings.h"

/**
 * struct dsp_settings - what the dispatcher needs of the settings file
 * @rpc: where it listens for agents and other entries
 * @advertise: where they dial it
 */
struct dsp_settings
{
  const char *name;
  const char *domain;
  const char *rpc;
  const char *advertise;
  struct set_strings seeds;
};

/** enum dsp_outcome - how a job ended for its caller */
enum dsp_outcome
{
  DSP_COMPLETE,
  DSP_FAILED,  /* a task has used up its attempts */
  DSP_REFUSED, /* nothing of it has run */
  DSP_GAVE_UP, /* part of it may have run */
};

/**
 * struct dsp_answer - end of a job
 * @why: static word for logs and callers
 * @retry_ms: when to come back, with DSP_REFUSED
 */
struct dsp_answer
{
  enum dsp_outcome outcome;
  const char *why;
  unsigned retry_ms;
};

/**
 * struct dsp_job - a job that a caller hands in
 * @queue: in force; used during the call only
 * @timeout_ms: how long the caller waits, 0 if it has not said
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
  DSP_ORDERS,
  DSP_TASKS_DONE,
  DSP_TASKS_AGAIN,
  DSP_NO_ROOM,
  DSP_AGENTS,
  DSP_AGENTS_JOINED,
  DSP_OPEN_JOBS,
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

/** struct dsp_dispatch - caller-owned */
struct dsp_dispatch
{
  struct dsp_settings set;
  struct tevent_context *ev;
  void *mem_ctx;
  uint64_t incarnation;
  gsl_rng *rng;
  struct jtb_table jobs;
  struct bkl_backlog backlog; /* late jobs that have not begun */
  struct flt_fleet fleet;
  struct per_peers peers;
  struct cat_config *config;
  struct dsp_waiter *waiters;
  struct tevent_immediate *placement;
  bool placement_scheduled;
  struct cnd_candidate *candidates;
  struct flt_agent **candidate_agents;
  unsigned candidate_cap;
  uint64_t demand_sent_ns;
  uint64_t started_ns;
  uint64_t logged_ns;
  uint64_t shutdown_ns;
  bool leaving;
  struct ctr_set counters;
  struct hst_set times;
  bool completed_any; /* a job was complete since the start */
};

/** dsp_init() - listen for agents and peers. Return: 0 or an error number. */
int dsp_init (struct dsp_dispatch *d, void *mem_ctx, struct tevent_context *ev,
              const struct dsp_settings *settings);

/** dsp_finish() - free all that dsp_init() and use have taken. */
void dsp_finish (struct dsp_dispatch *d);

/** dsp_add_seeds() - entries may be at these addresses, "IP:PORT". */
void dsp_add_seeds (struct dsp_dispatch *d, const struct set_strings *seeds);

/** dsp_add_entry() - an entry may be at @address, "IP:PORT". */
void dsp_add_entry (struct dsp_dispatch *d, struct lv_slice address);

/** dsp_entry_answers() - whether the entry at @address answers. */
bool dsp_entry_answers (const struct dsp_dispatch *d, struct lv_slice address);

/** dsp_apply_config() - a configuration was read; put in force if it is newer.
 */
void dsp_apply_config (struct dsp_dispatch *d, struct cat_config *config,
                       const char *source);

/** dsp_ready() - whether work is taken. */
bool dsp_ready (const struct dsp_dispatch *d);

/**
 * dsp_when_configured() - call @ready once a configuration is in force
 *
 * Called at once if there is one, or if the entry has been looking for one for
 * too long; shortly after the start it is called later.
 *
 * Return: a handle for dsp_cancel_waiter() while the call is still to come.
 */
struct dsp_waiter *dsp_when_configured (struct dsp_dispatch *d,
                                        void (*ready) (void *priv),
                                        void *priv);

/** dsp_cancel_waiter() - the call is not wanted any more. */
void dsp_cancel_waiter (struct dsp_dispatch *d, struct dsp_waiter *waiter);

/** dsp_submit() - take a job; it may be answered before this returns. */
void dsp_submit (struct dsp_dispatch *d, const struct dsp_job *job);

/** dsp_withdraw() - the caller is gone, or cancels. Return: job was known. */
bool dsp_withdraw (struct dsp_dispatch *d, struct lv_slice id,
                   const char *why);

/** dsp_count_pending() - jobs of @queue of which nothing was ordered yet. */
unsigned dsp_count_pending (const struct dsp_dispatch *d,
                            const struct cat_queue *queue);

/**
 * dsp_begin_shutdown() - this entry ends at @until_ns, by clk_boot()
 *
 * Health checks are told; jobs are taken as long as they end before that.
 */
void dsp_begin_shutdown (struct dsp_dispatch *d, uint64_t until_ns);

#endif
