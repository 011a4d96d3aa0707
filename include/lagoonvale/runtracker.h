/**
 * DOC: runtracker
 *
 * State and resources of the runs at a minion, as its agent knows them.  The
 * minion starts whatever it is ordered to, so admission by free resources is
 * up to the agent.  A run holds its resources from the order until its end is
 * listed.  An unanswered order may still be carried out, so the agent stops
 * that attempt, which the minion does not start once it has acknowledged the
 * stop.  The resources are freed by the first listing without the run that was
 * requested after the acknowledgement.  A run that was given up may be started
 * elsewhere after a time that its entry, or a caller, counts on: while it is
 * still there after LBD_STOP_GRACE_NS, the lease must not be renewed.  Pure:
 * times are passed in, stops go to a callback.
 */
#ifndef LV_RUNTRACKER_H
#define LV_RUNTRACKER_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "lagoonvale/amount.h"
#include "lagoonvale/slice.h"

/** Bytes of a task name, with NUL. */
#define RTK_NAME_MAX 96
/** Allowance for the transfer of a stop and its answer, ns.  An unanswered
 * stop is repeated this long after the minion should have ended the run.  */
#define RTK_STOP_TRANSFER_NS 10000000ULL

/** enum rtk_state - state of a run */
enum rtk_state
{
  RTK_STARTING, /* ordered, no answer yet */
  RTK_RUNNING,
  RTK_STOPPING,   /* stop sent; may run, or the order may still arrive */
  RTK_STOP_ACKED, /* stop acknowledged; end not listed yet */
};

/** enum rtk_outcome - how a run ended */
enum rtk_outcome
{
  RTK_DONE,
  RTK_FAILED,
  RTK_STOPPED,
  RTK_LAPSED,  /* gone without a listed end */
  RTK_REFUSED, /* never started */
  RTK_OLD,     /* never started: the minion knows a higher attempt */
  RTK_STALLED, /* stopped because it made no progress */
  RTK_CRASHED, /* its minion crashed */
};

/**
 * struct rtk_run - one attempt at a task
 * @name: of the task
 * @owner: incarnation of the entry that ordered it; 0 if found at the minion
 * @number: the owner's run number
 * @need: resources held; unknown if @owner is 0, which blocks all admission
 * @ordered_ns: when it was added
 * @sent_ns: when the last start or stop was sent, or the stop acknowledged
 * @stop_waits: its stop is not sent yet, too many others have no answer
 * @stops_sent: how often its stop was sent
 * @given_up: by its entry, at @given_up_ns
 * @started_ns: when the minion confirmed the start
 * @executed: the minion has confirmed the start, or listed the run
 * @queue: name of its job's queue, owned by the run, NULL if unknown
 * @expected_failure: failure rate of that queue at all minions, 0 to 1
 * @percent: progress as last listed
 * @progress_ns: when @percent last rose
 * @stalled: stopped because it made no progress
 * @listed: part of the latest listing
 */
struct rtk_run
{
  char name[RTK_NAME_MAX];
  uint32_t attempt;
  uint64_t owner;
  uint64_t number;
  struct amt_amount need;
  enum rtk_state state;
  uint64_t ordered_ns;
  uint64_t sent_ns;
  bool stop_waits;
  unsigned stops_sent;
  bool given_up;
  uint64_t given_up_ns;
  uint64_t started_ns;
  bool executed;
  char *queue;
  double expected_failure;
  uint32_t percent;
  uint64_t progress_ns;
  uint32_t estimate_ms;
  bool stalled;
  bool listed;
  UT_hash_handle hh;
};

/**
 * struct rtk_listed_run - a run as listed by the minion
 * @end: outcome; only used in a listing of ends
 */
struct rtk_listed_run
{
  struct lv_slice name;
  uint32_t attempt;
  uint32_t percent;
  enum rtk_outcome end;
};

/**
 * struct rtk_events - callbacks of the owner
 * @ended: @run has ended and is about to be freed
 * @stop: send a stop of @run to the minion; rtk_stop_answered() follows
 */
struct rtk_events
{
  void (*ended) (struct rtk_run *run, enum rtk_outcome outcome, void *priv);
  void (*stop) (struct rtk_run *run, void *priv);
  void *priv;
};

/**
 * struct rtk_limits - how stops are sent
 * @stop_ns: longest time that the minion takes for a stop
 * @stops_max: most unanswered stops at a time
 */
struct rtk_limits
{
  uint64_t stop_ns;
  unsigned stops_max;
};

/** struct rtk_tracker - caller-owned */
struct rtk_tracker
{
  void *mem_ctx;
  struct rtk_events events;
  struct rtk_limits limits;
  unsigned stops_open; /* sent and not answered yet */
  struct amt_amount total;
  struct amt_amount used;
  uint32_t unknown_runs; /* runs whose need is unknown */
  struct rtk_run *runs;
};

/** rtk_init() - initialize without runs; the caller sets @total. */
void rtk_init (struct rtk_tracker *t, void *mem_ctx,
               const struct rtk_events *events,
               const struct rtk_limits *limits);

/** rtk_finish() - free all runs without calling @ended. */
void rtk_finish (struct rtk_tracker *t);

/** rtk_free_amount() - resources left for further runs. */
struct amt_amount rtk_free_amount (const struct rtk_tracker *t);

/** rtk_find() - find a run by task name, or NULL. */
struct rtk_run *rtk_find (const struct rtk_tracker *t, struct lv_slice name);

/** rtk_find_by_owner() - find a run by its owner's number, or NULL. */
struct rtk_run *rtk_find_by_owner (const struct rtk_tracker *t, uint64_t owner,
                                   uint64_t number);

/**
 * rtk_add() - reserve the resources of a run that is about to be ordered
 * Return: the run, or NULL if @need does not fit, the task already runs, or
 * @name has RTK_NAME_MAX bytes or more.
 */
struct rtk_run *rtk_add (struct rtk_tracker *t, struct lv_slice name,
                         uint32_t attempt, const struct amt_amount *need,
                         uint64_t now_ns);

/** rtk_mark_started() - the minion has confirmed the start of @run. */
void rtk_mark_started (struct rtk_tracker *t, struct rtk_run *run,
                       uint64_t now_ns);

/** rtk_end_refused() - end @run, which the minion refused to start. */
void rtk_end_refused (struct rtk_tracker *t, struct rtk_run *run,
                      enum rtk_outcome outcome);

/** rtk_stop() - stop @run, unless a stop is under way already. */
void rtk_stop (struct rtk_tracker *t, struct rtk_run *run, uint64_t now_ns);

/** rtk_give_up() - stop @run, which its entry no longer counts on. */
void rtk_give_up (struct rtk_tracker *t, struct rtk_run *run, uint64_t now_ns);

/** rtk_give_up_owner() - give up all runs that @owner has ordered. */
void rtk_give_up_owner (struct rtk_tracker *t, uint64_t owner,
                        uint64_t now_ns);

/** rtk_may_renew() - whether the lease may be renewed: no run that was given
 * up has been there for LBD_STOP_GRACE_NS, and none is of unknown origin. */
bool rtk_may_renew (const struct rtk_tracker *t, uint64_t now_ns);

/**
 * rtk_stop_answered() - a stop that was sent has its answer, or gets none
 * @run: that it was for, NULL if it has ended meanwhile
 * @acked: whether the minion has acknowledged it
 */
void rtk_stop_answered (struct rtk_tracker *t, struct rtk_run *run, bool acked,
                        uint64_t now_ns);

/**
 * rtk_apply_ends() - apply the minion's listing of ended runs
 *
 * Ends of other attempts and of unknown runs are ignored.
 */
void rtk_apply_ends (struct rtk_tracker *t, const struct rtk_listed_run *ends,
                     unsigned count);

/**
 * rtk_apply_running() - apply the minion's listing of running runs
 * @asked_ns: when the listing was requested
 *
 * The ends of the same listing must be applied first.  A listed run that is
 * unknown here is added and stopped.  A run that was running before @asked_ns
 * and is not listed has lapsed; one whose stop was acknowledged before
 * @asked_ns and that is not listed has stopped.
 */
void rtk_apply_running (struct rtk_tracker *t,
                        const struct rtk_listed_run *running, unsigned count,
                        uint64_t asked_ns, uint64_t now_ns);

/** rtk_job_of() - name of the job of @task, which is named "JOB.INDEX". */
struct lv_slice rtk_job_of (struct lv_slice task);

/** rtk_any_start_open() - whether the minion may still begin a run that was
 * ordered: its start has no answer, and no stop of it has one. */
bool rtk_any_start_open (const struct rtk_tracker *t);

/** rtk_end_all() - end all runs with @outcome: the minion runs none of them.
 * With RTK_CRASHED, those that it may never have begun end as RTK_LAPSED. */
void rtk_end_all (struct rtk_tracker *t, enum rtk_outcome outcome);

/** rtk_tick() - send stops that wait, repeat unanswered ones; stop stalled
 * runs. */
void rtk_tick (struct rtk_tracker *t, uint64_t now_ns);

#endif
