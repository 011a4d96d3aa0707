/**
 * DOC: runner_parts
 *
 * Functions that the runner's source files share.  Calls go down this list
 * only:
 *
 *   runner.c             startup, shutdown, ticks, reports of the minion
 *   runner_entries.c     connections to entries, orders
 *   runner_reports.c     reports and run ends to entries
 *   runner_discovery.c   known entries, choice of those to serve
 *   runner_minion.c      the minion: lease, starts, stops, polls
 *
 * runner_minion.c calls back through rnr_runner.minion_polled.
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
 * @retiring_ns: when it was told to send no more orders, 0: not retiring
 * @full_list_ns: when it last sent its whole list of entries
 * @list_digest: last digest of that list
 * @has_backlog: tasks wait there for capacity
 * @reported: a report was sent during the current rnr_notify_entries()
 * @incarnation: of the entry, from the last answered join, or 0
 * @confirmed_ns: when the newest answered report was sent
 * @learned_ns: when its address was last received
 * @orders: received on this connection
 * @lost_ns: when its connection ended, 0 while joined or never joined
 * @ends_in_flight: unanswered messages that carry run ends
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
  uint64_t retiring_ns;
  uint64_t full_list_ns;
  u_quad_t list_digest;
  bool has_backlog;
  bool reported;
  uint64_t incarnation;
  uint64_t confirmed_ns;
  uint64_t reported_ns;
  uint64_t dialed_ns;
  uint64_t learned_ns;
  uint64_t orders;
  uint64_t lost_ns;
  unsigned ends_in_flight;
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
};

/* runner_entries.c */

/** rnr_tick_sessions() - dial, report, time out; stop unconfirmed runs. */
void rnr_tick_sessions (struct rnr_runner *r, uint64_t now_ns);

/* runner_reports.c */

/** rnr_make_report() - the state of this agent for the entry of @s. */
lvp_report rnr_make_report (const struct rnr_runner *r,
                            const struct rnr_session *s, uint64_t now_ns);
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
/** rnr_drop_expired_ends() - drop old ends whose entry is not joined. */
void rnr_drop_expired_ends (struct rnr_runner *r, uint64_t now_ns);

/* runner_discovery.c */

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

/* runner_minion.c */

/** rnr_accepting() - whether starts are accepted now. */
bool rnr_accepting (const struct rnr_runner *r, uint64_t now_ns);
/** rnr_start_run() - start one task of an order, or queue its refusal. */
void rnr_start_run (struct rnr_runner *r, uint64_t owner,
                    const lvp_order *order, const lvp_run *requested,
                    uint64_t now_ns);
/** rnr_keep_end() - store an end until its entry has confirmed it. */
void rnr_keep_end (struct rnr_runner *r, uint64_t owner, uint64_t number,
                   lvp_how how, uint32_t ran_ms);
/** rnr_poll_minion() - renew the lease and list what runs, unless a poll is
 * pending. */
void rnr_poll_minion (struct rnr_runner *r);
/** rnr_set_minion_gone() - mark every run there as ended: nothing listens at
 * the minion's address, or its last lease has lapsed. */
void rnr_set_minion_gone (struct rnr_runner *r, const char *why);
/** Callbacks for struct rtk_events. */
void rnr_send_stop (struct rtk_run *run, void *priv);
void rnr_run_ended (struct rtk_run *run, enum rtk_outcome how, void *priv);

/** A minion whose last answer is older than this gets no starts, ns. */
#define RNR_MINION_TIMEOUT_NS (450 * CLK_MS)
/** First increment after a refused fencing token; doubled each time. */
#define RNR_TOKEN_STEP 1000

#endif
