/**
 * DOC: runner_parts
 *
 * What the parts of the runner call of each other.  Calls run one way:
 *
 *   runner.c           life of the process, reports of the minion, ticks
 *   runner_entries.c   connections to entries, orders
 *   runner_reports.c   reports and ends to entries
 *   runner_known.c     which entries there are, and are served
 *   runner_minion.c    the minion: lease, starts, stops, looks
 *
 * The minion's part reports back through rnr_runner.looked.
 */
#ifndef LV_RUNNER_PARTS_H
#define LV_RUNNER_PARTS_H

#include "clock.h"
#include "net.h"
#include "onc.h"
#include "runner.h"

/**
 * struct rnr_session - an entry, reached or not
 * @entry: incarnation that last took a join
 * @confirmed_ns: when the newest report was sent that the entry has answered
 * @orders: that came on this connection
 * @known: digest of its list of entries, as last learnt
 * @wanted: one of those to be served
 * @retiring_ns: since when it is told not to order here any more, or 0
 * @is_seed: it is dialed for as long as this process lives
 */
struct rnr_session
{
  struct rnr_runner *runner;
  lvp_endpoint at;
  char text[NET_TEXT_MAX];
  struct onc_conn *conn;
  bool joined;
  bool is_seed;
  bool wanted;
  uint64_t retiring_ns;
  uint64_t listed_ns; /* when its whole list came last */
  u_quad_t known;
  bool hungry;
  bool told; /* in this turn */
  uint64_t entry;
  uint64_t confirmed_ns;
  uint64_t reported_ns;
  uint64_t dialed_ns;
  uint64_t named_ns;
  uint64_t orders;
  uint64_t lost_ns; /* when it was lost, 0 while joined or never joined */
  unsigned ends_under_way;
  struct rnr_session *prev;
  struct rnr_session *next;
};

/** struct rnr_end - an outcome that its entry has not taken yet */
struct rnr_end
{
  uint64_t owner;
  lvp_end end;
  bool sent;
  uint64_t since_ns;
  struct rnr_end *prev;
  struct rnr_end *next;
};

/** rnr_note_time() - add a time to a histogram with one label. */
static inline void
rnr_note_time (struct rnr_runner *r, enum rnr_time id, const char *label,
               uint64_t ns)
{
  hst_observe (&r->times, id, lv_slice_of (label), lv_slice_of (""), ns);
}

/** struct rnr_confirm - a report under way: when it was sent, with ends or not
 */
struct rnr_confirm
{
  struct rnr_session *session;
  uint64_t sent_ns;
  bool with_ends;
};

/* runner_entries.c */

/** rnr_tick_sessions() - dial, report, give up; stop what nobody confirms. */
void rnr_tick_sessions (struct rnr_runner *r, uint64_t now_ns);

/* runner_reports.c */

/** rnr_make_report() - what the entry of @s is told of this agent. */
lvp_report rnr_make_report (const struct rnr_runner *r,
                            const struct rnr_session *s, uint64_t now_ns);
/** rnr_begin_report() - note that a report is sent. Return: for its answer. */
struct rnr_confirm *rnr_begin_report (struct rnr_session *s, uint64_t now_ns,
                                      bool with_ends);
/** rnr_send_report() - report to the entry of @s. */
void rnr_send_report (struct rnr_session *s);
/** rnr_send_ends() - send @s the ends that it has not been sent. */
void rnr_send_ends (struct rnr_session *s);
/** rnr_unsend_ends() - what @s has not confirmed is to be sent again. */
void rnr_unsend_ends (struct rnr_session *s);
/** rnr_tell_entries() - ends to whom they concern, room to one of those who
 * wait for it, or to @all. */
void rnr_tell_entries (struct rnr_runner *r, bool all);
/** rnr_drop_old_ends() - forget outcomes that no entry takes. */
void rnr_drop_old_ends (struct rnr_runner *r, uint64_t now_ns);

/* runner_known.c */

/** rnr_session_of() - the joined session of this incarnation, or NULL. */
struct rnr_session *rnr_session_of (const struct rnr_runner *r,
                                    uint64_t entry);
/** rnr_take_answer() - what @s answers to a join or report of itself and of
 * other entries. */
void rnr_take_answer (struct rnr_session *s, const lvp_report_res *answer);
/** rnr_owes() - whether a run or an untaken outcome belongs to @s. */
bool rnr_owes (const struct rnr_session *s);
/** rnr_choose_entries() - now and then, which entries are to be served. */
void rnr_choose_entries (struct rnr_runner *r, uint64_t now_ns);

/* runner_minion.c */

/** rnr_accepting() - whether tasks may be started now. */
bool rnr_accepting (const struct rnr_runner *r, uint64_t now_ns);
/** rnr_start_run() - start one task of an order of @entry, or refuse it. */
void rnr_start_run (struct rnr_runner *r, uint64_t entry,
                    const lvp_order *order, const lvp_run *wanted,
                    uint64_t now_ns);
/** rnr_keep_end() - keep an outcome until its entry has taken it. */
void rnr_keep_end (struct rnr_runner *r, uint64_t owner, uint64_t number,
                   lvp_how how, uint32_t ran_ms);
/** rnr_look() - renew the lease and ask what runs, unless that is under way.
 */
void rnr_look (struct rnr_runner *r);
/** rnr_minion_gone() - nothing runs at the minion any more. */
void rnr_minion_gone (struct rnr_runner *r, const char *why);
/** Callbacks of the run book. */
void rnr_order_stop (struct rtk_run *run, void *priv);
void rnr_run_ended (struct rtk_run *run, enum rtk_outcome how, void *priv);

/** A minion whose last answer is older than this is given no work, ns. */
#define RNR_SEEN_NS (450 * CLK_MS)
/** First step by which a refused fencing token is raised; it doubles. */
#define RNR_TOKEN_STEP 1000

#endif
