/**
 * DOC: runner
 *
 * An agent for tasks that declare what they need: joins every entry, takes
 * orders against the room of its minion, keeps the minion's lease, and tells
 * each entry how its runs ended.  The only caller of its minion.
 */
#ifndef LV_RUNNER_H
#define LV_RUNNER_H

#include <tevent.h>

#include "lagoonvale/chain.h"
#include "lagoonvale/counter.h"
#include "lagoonvale/histogram.h"
#include "lagoonvale/minion.h"
#include "lagoonvale/runtracker.h"
#include "lvproto.h"
#include "settings.h"

/**
 * struct rnr_settings - what the runner needs of the settings file
 * @entries_max: entries to be served, if there are more
 * @lease_max_ms: longest lease that the minion grants
 */
struct rnr_settings
{
  const char *name;
  const char *domain;
  const char *service;
  struct set_strings seeds;
  uint64_t entries_max;
  uint64_t lease_max_ms;
};

/** enum rnr_counter - the runner's metrics, described in runner.c */
enum rnr_counter
{
  RNR_ORDERED,
  RNR_STARTED,
  RNR_DONE,
  RNR_FAILED,
  RNR_STOPPED,
  RNR_LAPSED,
  RNR_REFUSED,
  RNR_NO_ROOM,
  RNR_STALE,
  RNR_UNANSWERED,
  RNR_FENCED,
  RNR_SESSIONS_LOST,
  RNR_RUNNING,
  RNR_FREE_MCORES,
  RNR_COUNTERS
};

/** enum rnr_time - the runner's histograms, described in runner.c */
enum rnr_time
{
  RNR_TIME_RUN,
  RNR_TIME_MINION,
  RNR_TIME_REPORT,
  RNR_TIME_STORE,
  RNR_TIME_RECOVERY,
  RNR_TIMES
};

struct rnr_session;
struct rnr_end;

/** struct rnr_minion - what is known of the minion */
struct rnr_minion
{
  uint64_t incarnation;      /* as last listed, 0: no look was answered */
  uint64_t room_incarnation; /* whose room is known, 0: none */
  uint64_t sequence;         /* of its last report */
  bool leaving;
  uint64_t clock_ms;     /* its clock, when last told */
  uint64_t clock_ns;     /* clk_boot() when that arrived */
  uint64_t lease_end_ns; /* when all leases asked for have lapsed */
  uint64_t ends_through;
  uint64_t looked_ns; /* when the last look was sent */
  uint64_t seen_ns;   /* when the last look was answered */
  bool looking;
  bool known; /* every run there is in the book */
};

/** struct rnr_runner - caller-owned */
struct rnr_runner
{
  struct rnr_settings set;
  struct tevent_context *ev;
  void *mem_ctx;
  uint64_t incarnation;
  const struct mnn_ops *ops;
  void *ops_priv;
  void (*looked) (struct rnr_runner *r); /* after each look */
  struct rtk_tracker book;
  struct rnr_minion minion;
  uint64_t token;
  uint64_t token_step;
  struct rnr_session *sessions;
  uint64_t chosen_ns; /* when the entries to be served were chosen last */
  struct rnr_end *ends;
  bool leaving;
  uint64_t leaving_ns;
  uint64_t started_ns; /* 0 once an entry was joined */
  struct ctr_set counters;
  struct hst_set times;
};

/** rnr_init() - begin to look for entries and at the minion. */
int rnr_init (struct rnr_runner *r, void *mem_ctx, struct tevent_context *ev,
              const struct rnr_settings *settings, const struct mnn_ops *ops,
              void *ops_priv);

/** rnr_finish() - free the book. */
void rnr_finish (struct rnr_runner *r);

/** rnr_entry_found() - an entry may be at @address, "IP:PORT". */
void rnr_entry_found (struct rnr_runner *r, struct lv_slice address);

/** rnr_alone() - whether no entry is joined. */
bool rnr_alone (const struct rnr_runner *r);

/** rnr_seeds() - entries may be at these addresses, "IP:PORT". */
void rnr_seeds (struct rnr_runner *r, const struct set_strings *seeds);

/**
 * rnr_minion_report() - the minion says how it is
 * Return: whether the report may be acknowledged; if it says that the minion
 * leaves, no start follows any more.
 */
bool rnr_minion_report (struct rnr_runner *r, const struct mnn_report *report);

/** rnr_minion_left() - the minion says that it ends now. */
void rnr_minion_left (struct rnr_runner *r);

/** rnr_leave() - take no orders, let runs end. */
void rnr_leave (struct rnr_runner *r);

/** rnr_done() - whether a leaving runner has nothing left to do. */
bool rnr_done (const struct rnr_runner *r);

#endif
