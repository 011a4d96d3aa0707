/**
 * DOC: runbook
 *
 * What an agent knows of the runs at its minion, which starts whatever it is
 * told to: an agent is the only judge of room.  A run holds its room from the
 * order to its listed end; an order without an answer may still be carried
 * out, so it holds its room until a stop of the same attempt was answered,
 * which bars it.  Pure: times are passed in, orders are returned.
 */
#ifndef LV_RUNBOOK_H
#define LV_RUNBOOK_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "lagoonvale/amount.h"
#include "lagoonvale/slice.h"

/** Bytes of the name of a task, with NUL. */
#define RNB_NAME_MAX 96
/** Time after which an unanswered stop is sent again, ns. */
#define RNB_STOP_RETRY_NS 100000000ULL

/** enum rnb_state - where a run stands */
enum rnb_state
{
  RNB_STARTING, /* ordered, not answered */
  RNB_RUNNING,
  RNB_STOPPING, /* to be stopped; may run, or be carried out late */
  RNB_BARRED,   /* the stop was answered; its end is not listed yet */
};

/** enum rnb_how - how a run ended */
enum rnb_how
{
  RNB_DONE,
  RNB_FAILED,
  RNB_STOPPED,
  RNB_LAPSED,
  RNB_REFUSED, /* never started */
  RNB_OLD,     /* never started: a higher attempt was seen */
  RNB_STALLED, /* stopped since it made no progress */
};

/**
 * struct rnb_run - one attempt at a task
 * @name: of the task
 * @owner: session of the entry that ordered it, 0: found at the minion
 * @number: the owner's number for it
 * @need: unknown, and all room is held, if @owner is 0
 * @sent_ns: of the last order about it
 * @since_ns: when it was answered to be running
 * @percent: of its work, as last listed
 * @moved_ns: when @percent last rose
 */
struct rnb_run
{
  char name[RNB_NAME_MAX];
  uint32_t attempt;
  uint64_t owner;
  uint64_t number;
  struct amt_amount need;
  enum rnb_state state;
  uint64_t ordered_ns;
  uint64_t sent_ns;
  uint64_t since_ns;
  uint32_t percent;
  uint64_t moved_ns;
  uint32_t estimate_ms;
  bool stalled;
  bool listed;
  UT_hash_handle hh;
};

/**
 * struct rnb_listed - a run in a listing of the minion
 * @end: how it ended, for a listing of ends
 */
struct rnb_listed
{
  struct lv_slice name;
  uint32_t attempt;
  uint32_t percent;
  enum rnb_how end;
};

/**
 * struct rnb_events - what the book tells
 * @ended: @run is over and about to be freed
 * @stop: order a stop of @run
 */
struct rnb_events
{
  void (*ended) (struct rnb_run *run, enum rnb_how how, void *priv);
  void (*stop) (struct rnb_run *run, void *priv);
  void *priv;
};

/** struct rnb_book - caller-owned */
struct rnb_book
{
  void *mem_ctx;
  struct rnb_events events;
  struct amt_amount total;
  struct amt_amount used;
  uint32_t unknown; /* runs whose need is not known */
  struct rnb_run *runs;
};

/** rnb_init() - empty book. */
void rnb_init (struct rnb_book *b, void *mem_ctx,
               const struct rnb_events *events);

/** rnb_finish() - free all runs, telling nobody. */
void rnb_finish (struct rnb_book *b);

/** rnb_free() - room for further runs. */
struct amt_amount rnb_free (const struct rnb_book *b);

/** rnb_find() - the run of this task, or NULL. */
struct rnb_run *rnb_find (const struct rnb_book *b, struct lv_slice name);

/** rnb_find_number() - the run that @owner calls @number, or NULL. */
struct rnb_run *rnb_find_number (const struct rnb_book *b, uint64_t owner,
                                 uint64_t number);

/**
 * rnb_order() - a start is about to be ordered
 * Return: the run, or NULL if there is no room or the task runs already.
 */
struct rnb_run *rnb_order (struct rnb_book *b, struct lv_slice name,
                           uint32_t attempt, const struct amt_amount *need,
                           uint64_t now_ns);

/** rnb_started() - the minion has answered that @run runs. */
void rnb_started (struct rnb_book *b, struct rnb_run *run, uint64_t now_ns);

/** rnb_refused() - the minion has answered that it did not start @run. */
void rnb_refused (struct rnb_book *b, struct rnb_run *run, enum rnb_how how);

/** rnb_stop() - @run is no longer wanted, or its order was not answered. */
void rnb_stop (struct rnb_book *b, struct rnb_run *run, uint64_t now_ns);

/** rnb_stop_owner() - stop all that @owner has ordered. */
void rnb_stop_owner (struct rnb_book *b, uint64_t owner, uint64_t now_ns);

/** rnb_barred() - the minion has answered the stop of @run. */
void rnb_barred (struct rnb_book *b, struct rnb_run *run, uint64_t now_ns);

/**
 * rnb_list_ends() - the minion lists ends
 * rnb_list_running() - the minion lists what runs
 * @asked_ns: when the listing was asked for
 *
 * Ends come first.  What runs and is not in the book is entered and stopped;
 * what was running before @asked_ns and is not listed has lapsed.
 */
void rnb_list_ends (struct rnb_book *b, const struct rnb_listed *ends,
                    unsigned count);
void rnb_list_running (struct rnb_book *b, const struct rnb_listed *running,
                       unsigned count, uint64_t asked_ns, uint64_t now_ns);

/** rnb_all_gone() - nothing can run at the minion any more. */
void rnb_all_gone (struct rnb_book *b);

/** rnb_tick() - repeat stops without an answer; stop what stands still. */
void rnb_tick (struct rnb_book *b, uint64_t now_ns);

#endif
