/**
 * DOC: runner
 *
 * The dispatcher's agent.  It joins entries, which are dispatchers
 * (dispatch.h), accepts start orders within the capacity of its minion, renews
 * the minion's lease and reports the end of each run to the entry that ordered
 * it.  Nothing else calls the minion.  It does not communicate with the entry
 * of entry.h, although it logs under the role "agent".
 */
#ifndef LV_RUNNER_H
#define LV_RUNNER_H

#include <tevent.h>

#include "lagoonvale/counter.h"
#include "lagoonvale/drain.h"
#include "lagoonvale/fencetoken.h"
#include "lagoonvale/histogram.h"
#include "lagoonvale/leasebounds.h"
#include "lagoonvale/lookahead.h"
#include "lagoonvale/minion.h"
#include "lagoonvale/minionclock.h"
#include "lagoonvale/minionhealth.h"
#include "lagoonvale/orderrate.h"
#include "lagoonvale/renewal.h"
#include "lagoonvale/runtracker.h"
#include "lagoonvale/warmup.h"
#include "lvproto.h"
#include "settings.h"

/**
 * struct rnr_settings - the runner's part of the settings file
 * @seeds: addresses of entries, "IP:PORT"
 * @entries_max: most entries to serve at a time
 * @lease_max_ms: longest lease that the minion grants
 * @stop_max_ms: longest time that the minion takes for a stop
 * @warmup_burst: most starts that a cold minion gets at a time
 * @report_max_age_ms: age of the minion's last report from which on its
 * capacity is unknown, and it gets no starts
 */
struct rnr_settings
{
  const char *name;
  const char *domain;
  const char *service;
  struct set_strings seeds;
  uint64_t entries_max;
  uint64_t lease_max_ms;
  uint64_t stop_max_ms;
  uint64_t warmup_burst;
  uint64_t report_max_age_ms;
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
  RNR_SILENCES,
  RNR_CRASHES,
  RNR_LOST,
  RNR_LEASES_WITHHELD,
  RNR_DRAINED,
  RNR_DRAIN_REFUSALS,
  RNR_COLD,
  RNR_COLD_REFUSALS,
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
struct rnr_loss;

/** Losses of the minion that entries are told of when they join. */
#define RNR_LOSSES_KEPT 4

/** struct rnr_minion - last known state of the minion */
struct rnr_minion
{
  uint64_t incarnation;        /* from the last poll, 0: not running */
  uint64_t silent_incarnation; /* that fell silent until its lease had expired,
                                  0: none, or it is known what became of it */
  uint64_t report_incarnation; /* that sent the last report, 0: none */
  char id[MNN_ID_MAX];         /* of that process, empty: not usable */
  uint64_t report_sequence;    /* of the last report */
  struct mck_stamp reported;   /* when the last report was written */
  bool report_outdated;        /* as logged last */
  bool leaving;
  uint64_t alive_ns; /* clk_boot() at its last answer to any call */
  struct mck_clock clock;
  struct rnw_renewal renewal;
  uint64_t lease_expires_ms; /* by the minion's clock, of the last lease asked
                                for; 0: none of this process */
  bool lease_withheld;       /* as logged last */
  struct mnh_health health;  /* times by clk_boot() */
  struct wmp_limit warmup;
  bool health_changed;   /* since entries were told */
  uint64_t ends_through; /* highest number of the ends received */
  uint64_t poll_sent_ns;
  uint64_t poll_token; /* fencing token of the last poll */
  uint64_t poll_answered_ns;
  uint64_t fenced_ns; /* clk_boot() from which on this process executes no
                         request that was meant for a former one, 0: it may */
  bool poll_pending;
  bool silent;     /* the last poll was not answered */
  bool absent;     /* the last poll was refused: nothing listens there */
  bool runs_known; /* every run at the minion is in @tracker */
};

/** struct rnr_runner - caller-owned */
struct rnr_runner
{
  struct rnr_settings settings;
  struct tevent_context *ev;
  void *mem_ctx;
  uint64_t incarnation;
  const struct mnn_ops *ops;
  void *ops_priv;
  void (*minion_polled) (struct rnr_runner *r); /* after each poll */
  /* Its runs are about to be ended as lost.  */
  void (*minion_lost) (struct rnr_runner *r, lvp_fate fate);
  /* It is known what became of the minion that had fallen silent.  */
  void (*silence_ended) (struct rnr_runner *r, lvp_fate fate);
  struct rtk_tracker tracker;
  struct orr_rates order_rates; /* times by clk_now() */
  struct rnr_minion minion;
  struct ftk_token token;
  struct rnr_session *sessions;
  uint64_t entries_chosen_ns;
  struct rnr_end *ends;
  struct rnr_loss *losses[RNR_LOSSES_KEPT]; /* ring, by number */
  uint64_t loss_count;
  bool leaving;
  uint64_t leaving_ns;
  uint64_t drain_position; /* that @domain_drained holds at, 0: unknown */
  bool domain_drained;
  lvp_end_soon soon[LKH_ENDS_MAX]; /* of the report that is being sent */
  uint64_t started_ns;             /* 0 after the first join */
  struct ctr_set counters;
  struct hst_set times;
};

/** rnr_init() - start dialing entries and polling the minion. Return: 0 or
 * -errno. */
int rnr_init (struct rnr_runner *r, void *mem_ctx, struct tevent_context *ev,
              const struct rnr_settings *settings, const struct mnn_ops *ops,
              void *ops_priv);

/** rnr_finish() - free the runs and the histograms. */
void rnr_finish (struct rnr_runner *r);

/** rnr_add_entry() - add the address of an entry, "IP:PORT". */
void rnr_add_entry (struct rnr_runner *r, struct lv_slice address);

/** rnr_disconnected() - whether no entry is joined. */
bool rnr_disconnected (const struct rnr_runner *r);

/** rnr_add_seeds() - add addresses of entries that are never forgotten,
 * "IP:PORT"; each is dialed only while it is chosen. */
void rnr_add_seeds (struct rnr_runner *r, const struct set_strings *seeds);

/**
 * rnr_handle_minion_report() - take over capacity and state of the minion
 *
 * Return: whether the report is valid.  After a report that the minion is
 * leaving no start is sent to it; that report may be acknowledged once
 * rtk_any_start_open() is false of @tracker.
 */
bool rnr_handle_minion_report (struct rnr_runner *r,
                               const struct mnn_report *report);

/** rnr_handle_minion_exit() - send the minion no more starts, unless @id is
 * that of a former process. */
void rnr_handle_minion_exit (struct rnr_runner *r, struct lv_slice id);

/** rnr_leave() - refuse further orders and let the runs end. */
void rnr_leave (struct rnr_runner *r);

/** rnr_drained() - whether a leaving runner has no run or end left. */
bool rnr_drained (const struct rnr_runner *r);

#endif
