/**
 * DOC: runner_parts
 *
 * Functions that the runner's source files share.  Calls go down this list
 * only:
 *
 *   runner.c             startup, shutdown, ticks, reports of the minion
 *   runner_entries.c     connections to entries, orders
 *   runner_reports.c     reports and run ends to entries
 *   runner_losses.c      notices of runs lost with the minion
 *   runner_discovery.c   known entries, choice of those to serve
 *   runner_runs.c        starts and stops of runs, their ends
 *   runner_minion.c      the minion: lease, polls, crashes and silences
 *
 * runner_minion.c calls back through the function pointers of rnr_runner.
 */
#ifndef LV_RUNNER_PARTS_H
#define LV_RUNNER_PARTS_H

#include "clock.h"
#include "net.h"
#include "onc.h"
#include "runner.h"

/**
 * struct rnr_session - a known entry, connected or not
 * @is_seed: never forgotten
 * @chosen: among the entries to serve
 * @failed: the last attempt to reach it, or its connection, has failed
 * @retiring_ns: when it was told to send no more orders, 0: not retiring
 * @full_list_ns: when it last sent its whole list of entries
 * @list_digest: last digest of that list
 * @has_backlog: tasks wait there for capacity
 * @reported: a report was sent during the current rnr_notify_entries()
 * @incarnation: of the entry, from the last answered join, or 0
 * @joined_ns: when the last answered join was sent
 * @confirmed_ns: when the newest answered report was sent; an answer to a join
 * confirms no runs, since the join does not count before the next message
 * @learned_ns: when its address was last received
 * @orders: received on this connection
 * @lost_ns: when its connection ended, 0 while joined or never joined
 * @ends_in_flight: unanswered messages of @ends_series that carry run ends
 * @ends_series: rises when unconfirmed ends are sent again
 */
struct rnr_session
{
  struct rnr_runner *runner;
  lvp_endpoint endpoint;
  char address[NET_TEXT_MAX];
  struct onc_conn *conn;
  bool joined;
  bool is_seed;
  bool chosen;
  bool failed;
  uint64_t retiring_ns;
  uint64_t full_list_ns;
  u_quad_t list_digest;
  bool has_backlog;
  bool reported;
  uint64_t incarnation;
  uint64_t joined_ns;
  uint64_t confirmed_ns;
  uint64_t reported_ns;
  uint64_t dialed_ns;
  uint64_t learned_ns;
  uint64_t orders;
  uint64_t lost_ns;
  unsigned ends_in_flight;
  unsigned ends_series;
  struct rnr_session *prev;
  struct rnr_session *next;
};

/** struct rnr_end - the end of a run, until its entry has confirmed it */
struct rnr_end
{
  uint64_t owner;
  lvp_end end;
  bool sent;
  uint64_t ended_ns;
  struct rnr_end *prev;
  struct rnr_end *next;
};

/**
 * struct rnr_loss - a crash or a silence of the minion that ended runs
 * @notice: the message to entries, its strings and rows owned by this
 */
struct rnr_loss
{
  uint64_t at_ns;
  lvp_loss notice;
};

/** rnr_observe_time() - add a duration to a histogram with one label. */
static inline void
rnr_observe_time (struct rnr_runner *r, enum rnr_time id, const char *label,
                  uint64_t ns)
{
  hst_observe (&r->times, id, lv_slice_of (label), lv_slice_of (""), ns);
}

/** struct rnr_pending_report - a join, report or ends without an answer yet */
struct rnr_pending_report
{
  struct rnr_session *session;
  uint64_t sent_ns;
  bool with_ends;
  unsigned ends_series; /* of the session when it was sent */
};

/** rnr_answered_ns() - when the newest message was sent that the entry of @s
 * has answered. */
static inline uint64_t
rnr_answered_ns (const struct rnr_session *s)
{
  return s->confirmed_ns > s->joined_ns ? s->confirmed_ns : s->joined_ns;
}

/* runner_entries.c */

/** rnr_tick_sessions() - dial, report, time out; stop unconfirmed runs. */
void rnr_tick_sessions (struct rnr_runner *r, uint64_t now_ns);

/* runner_reports.c */

/** rnr_make_report() - the state of this agent for the entry of @s. */
lvp_report rnr_make_report (struct rnr_runner *r, const struct rnr_session *s,
                            uint64_t now_ns);
/** rnr_begin_report() - note that a report is sent.  Return: state for its
 * answer. */
struct rnr_pending_report *rnr_begin_report (struct rnr_session *s,
                                             uint64_t now_ns, bool with_ends);
/** rnr_send_report() - send a report to the entry of @s. */
void rnr_send_report (struct rnr_session *s);
/** rnr_send_ends() - send the entry of @s its unsent run ends. */
void rnr_send_ends (struct rnr_session *s);
/** rnr_requeue_ends() - mark unconfirmed ends of @s to be sent again. */
void rnr_requeue_ends (struct rnr_session *s);
/** rnr_notify_entries() - send each entry its run ends; also send a report to
 * every entry if @all, else to the next entry with a backlog. */
void rnr_notify_entries (struct rnr_runner *r, bool all);
/** rnr_offer_probe() - let the next entry probe a minion that fails what it
 * runs, if that is due. */
void rnr_offer_probe (struct rnr_runner *r, uint64_t now_ns);
/** rnr_drop_expired_ends() - drop old ends whose entry is not joined. */
void rnr_drop_expired_ends (struct rnr_runner *r, uint64_t now_ns);

/* runner_losses.c */

/** rnr_report_loss() - tell all entries which runs are lost with the minion,
 * and keep that for those that join later. */
void rnr_report_loss (struct rnr_runner *r, lvp_fate fate);
/** rnr_report_silence_end() - tell all entries what became of the minion that
 * was lost by a silence. */
void rnr_report_silence_end (struct rnr_runner *r, lvp_fate fate);
/** rnr_send_losses() - tell the entry of @s, which has just joined, of the
 * recent crashes and silences. */
void rnr_send_losses (struct rnr_session *s);

/* runner_discovery.c */

/** rnr_note_failure() - the entry of @s was not reached, or its connection has
 * ended: choose others soon. */
void rnr_note_failure (struct rnr_session *s);
/** rnr_find_session() - joined session of this incarnation, or NULL. */
struct rnr_session *rnr_find_session (const struct rnr_runner *r,
                                      uint64_t incarnation);
/** rnr_apply_answer() - store what @s answered to a join or report: its
 * backlog and the list of entries. */
void rnr_apply_answer (struct rnr_session *s, const lvp_report_res *answer);
/** rnr_session_busy() - whether @s owns a run or an unconfirmed end. */
bool rnr_session_busy (const struct rnr_session *s);
/** rnr_choose_entries() - choose the entries to serve, if that is due. */
void rnr_choose_entries (struct rnr_runner *r, uint64_t now_ns);

/* runner_runs.c */

/** rnr_start_run() - start one task of an order, or queue its refusal. */
void rnr_start_run (struct rnr_runner *r, uint64_t owner,
                    const lvp_order *order, const lvp_run *requested,
                    uint64_t now_ns);
/** rnr_keep_end() - store an end until its entry has confirmed it. */
void rnr_keep_end (struct rnr_runner *r, uint64_t owner, uint64_t number,
                   lvp_how how, uint32_t ran_ms);
/** Callbacks for struct rtk_events. */
void rnr_send_stop (struct rtk_run *run, void *priv);
void rnr_run_ended (struct rtk_run *run, enum rtk_outcome how, void *priv);

/* runner_minion.c */

/** rnr_report_age_ms() - longest time that may have passed since the minion
 * wrote its last report. */
uint64_t rnr_report_age_ms (const struct rnr_runner *r);
/** rnr_report_outdated() - whether the last report of the minion is too old to
 * go by: its capacity may have shrunk since. */
bool rnr_report_outdated (const struct rnr_runner *r);
/** rnr_able() - whether the minion can be sent starts, whoever asks. */
bool rnr_able (const struct rnr_runner *r, uint64_t now_ns);
/** rnr_drain_cause() - why the entry of @s, or NULL for any, must not have
 * work started here. */
enum drn_cause rnr_drain_cause (const struct rnr_runner *r,
                                const struct rnr_session *s);
/** rnr_note_lease() - log when the lease is no longer renewed, and when it is
 * again. */
void rnr_note_lease (struct rnr_runner *r);
/** rnr_make_lease() - lease for a request that is about to be sent; without an
 * expiry unless @renew, with that of the last one while it may not be renewed.
 */
struct mnn_lease rnr_make_lease (struct rnr_runner *r, bool renew);
/** rnr_record_result() - note clock, fencing token and duration of a call of
 * the minion that has ended. */
void rnr_record_result (struct rnr_runner *r, const struct mnn_result *result,
                        const char *call, uint64_t sent_ns);
/** rnr_poll_minion() - renew the lease and list what runs, unless a poll is
 * pending. */
void rnr_poll_minion (struct rnr_runner *r);
/** rnr_set_minion_silent() - end every run there: the minion does not answer,
 * and its last lease has expired. */
void rnr_set_minion_silent (struct rnr_runner *r);

/** A minion whose last answer is older than this gets no starts, ns. */
#define RNR_MINION_TIMEOUT_NS (450 * CLK_MS)

#endif
