/**
 * DOC: runbook
 *
 * What an agent knows of the runs at its minion, which starts whatever it is
 * told to: an agent is the only judge of room.  A run holds its room from the
 * order to its listed end; an order without an answer may still be carried
 * out, so it holds its room until a stop of the same attempt was answered,
 * which bars it.  Pure: times are passed in, orders are returned.
 */
#ifndef LV_RUNTRACKER_H
#define LV_RUNTRACKER_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "lagoonvale/amount.h"
#include "lagoonvale/slice.h"

/** Bytes of the name of a task, with NUL. */
#define RTK_NAME_MAX 96
/** Time after which an unanswered stop is sent again, ns. */
#define RTK_STOP_RETRY_NS 100000000ULL

/** enum rtk_state - where a run stands */
enum rtk_state
{
  RTK_STARTING, /* ordered, not answered */
  RTK_RUNNING,
  RTK_STOPPING,   /* to be stopped; may run, or be carried out late */
  RTK_STOP_ACKED, /* the stop was answered; its end is not listed yet */
};

/** enum rtk_outcome - how a run ended */
enum rtk_outcome
{
  RTK_DONE,
  RTK_FAILED,
  RTK_STOPPED,
  RTK_LAPSED,
  RTK_REFUSED, /* never started */
  RTK_OLD,     /* never started: a higher attempt was seen */
  RTK_STALLED, /* stopped since it made no progress */
};

/**
 * struct rtk_run - one attempt at a task
 * @name: of the task
 * @owner: session of the entry that ordered it, 0: found at the minion
 * @number: the owner's number for it
 * @need: unknown, and all room is held, if @owner is 0
 * @sent_ns: of the last order about it
 * @since_ns: when it was answered to be running
 * @percent: of its work, as last listed
 * @moved_ns: when @percent last rose
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
  uint64_t started_ns;
  uint32_t percent;
  uint64_t progress_ns;
  uint32_t estimate_ms;
  bool stalled;
  bool listed;
  UT_hash_handle hh;
};

/**
 * struct rtk_listed_run - a run in a listing of the minion
 * @end: how it ended, for a listing of ends
 */
struct rtk_listed_run
{
  struct lv_slice name;
  uint32_t attempt;
  uint32_t percent;
  enum rtk_outcome end;
};

/**
 * struct rtk_events - what the book tells
 * @ended: @run is over and about to be freed
 * @stop: order a stop of @run
 */
struct rtk_events
{
  void (*ended) (struct rtk_run *run, enum rtk_outcome how, void *priv);
  void (*stop) (struct rtk_run *run, void *priv);
  void *priv;
};

/** struct rtk_tracker - caller-owned */
struct rtk_tracker
{
  void *mem_ctx;
  struct rtk_events events;
  struct amt_amount total;
  struct amt_amount used;
  uint32_t unknown_runs; /* runs whose need is not known */
  struct rtk_run *runs;
};

/** rtk_init() - empty book. */
void rtk_init (struct rtk_tracker *b, void *mem_ctx,
               const struct rtk_events *events);

/** rtk_finish() - free all runs, telling nobody. */
void rtk_finish (struct rtk_tracker *b);

/** rtk_free_amount() - room for further runs. */
struct amt_amount rtk_free_amount (const struct rtk_tracker *b);

/** rtk_find() - the run of this task, or NULL. */
struct rtk_run *rtk_find (const struct rtk_tracker *b, struct lv_slice name);

/** rtk_find_by_owner() - the run that @owner calls @number, or NULL. */
struct rtk_run *rtk_find_by_owner (const struct rtk_tracker *b, uint64_t owner,
                                   uint64_t number);

/**
 * rtk_add() - a start is about to be ordered
 * Return: the run, or NULL if there is no room or the task runs already.
 */
struct rtk_run *rtk_add (struct rtk_tracker *b, struct lv_slice name,
                         uint32_t attempt, const struct amt_amount *need,
                         uint64_t now_ns);

/** rtk_mark_started() - the minion has answered that @run runs. */
void rtk_mark_started (struct rtk_tracker *b, struct rtk_run *run,
                       uint64_t now_ns);

/** rtk_end_refused() - the minion has answered that it did not start @run. */
void rtk_end_refused (struct rtk_tracker *b, struct rtk_run *run,
                      enum rtk_outcome how);

/** rtk_stop() - @run is no longer wanted, or its order was not answered. */
void rtk_stop (struct rtk_tracker *b, struct rtk_run *run, uint64_t now_ns);

/** rtk_stop_owner() - stop all that @owner has ordered. */
void rtk_stop_owner (struct rtk_tracker *b, uint64_t owner, uint64_t now_ns);

/** rtk_mark_stop_acked() - the minion has answered the stop of @run. */
void rtk_mark_stop_acked (struct rtk_tracker *b, struct rtk_run *run,
                          uint64_t now_ns);

/**
 * rtk_apply_ends() - the minion lists ends
 * rtk_apply_running() - the minion lists what runs
 * @asked_ns: when the listing was asked for
 *
 * Ends come first.  What runs and is not in the book is entered and stopped;
 * what was running before @asked_ns and is not listed has lapsed.
 */
void rtk_apply_ends (struct rtk_tracker *b, const struct rtk_listed_run *ends,
                     unsigned count);
void rtk_apply_running (struct rtk_tracker *b,
                        const struct rtk_listed_run *running, unsigned count,
                        uint64_t asked_ns, uint64_t now_ns);

/** rtk_end_all() - nothing can run at the minion any more. */
void rtk_end_all (struct rtk_tracker *b);

/** rtk_tick() - repeat stops without an answer; stop what stands still. */
void rtk_tick (struct rtk_tracker *b, uint64_t now_ns);

#endif
