/**
 * DOC: fleet
 *
 * The agents that have joined an entry, with their latest reports.  A lost
 * agent is kept by its name, since its runs may go on for a while and it may
 * join again.
 */
#ifndef LV_FLEET_H
#define LV_FLEET_H

#include "lagoonvale/candidate.h"
#include "lagoonvale/drain.h"
#include "lagoonvale/leasebounds.h"
#include "lagoonvale/estimate.h"
#include "lagoonvale/health.h"
#include "lagoonvale/lookahead.h"
#include "lagoonvale/warmup.h"
#include "lvproto.h"
#include "onc.h"

/** Unreported orders tracked per agent; later ones are not tracked. */
#define FLT_PENDING_MAX 64
/** Bytes of the name of an agent or failure domain, with NUL: no message holds
 * a longer one. */
#define FLT_NAME_MAX (LVP_NAME_MAX + 1)

/** struct flt_pending - an order that no report reflects yet */
struct flt_pending
{
  uint64_t order;
  uint64_t sent_ns;
  struct amt_amount need;
  uint32_t count;
};

/**
 * struct flt_agent - one agent
 * @conn: NULL while it is lost
 * @synced: it has listed all runs at its minion
 * @total: resources of its backend server
 * @peak: the largest @total that it has had, of each resource
 * @free: as last reported, less what was ordered since
 * @stamp_ms: timestamp of its newest report, by its own clock
 * @last_report_ns: when that arrived, by clk_boot()
 * @confirmed_ms: age of its newest answered report when it sent the last one
 * @lost_ns: when its connection was lost, 0 once it has joined again
 * @runs_end_by_ns: while lost: when all its runs have ended for certain
 * @orders: sent on this connection
 * @pending: ring buffer of orders that it has not reported as received
 * @ratio: smoothed ratio of actual to declared run time, as the agent reports
 * @ejected: its minion fails what it runs; gets nothing but probes
 * @probe: while ejected: one task may be ordered, since its last report
 * @loss_number: of the newest notice of a loss, by this incarnation of it
 * @silence_number: of its notice of a silence of which no more is known, or 0
 * @suspects: runs of this entry there that are suspected of crashing it
 * @confining: kept for queues whose tasks crash their minions
 * @starts_left: that its cold minion takes, less what was ordered since;
 * WMP_UNLIMITED if it is warm
 * @ends: the next ends at its minion, as of its last report
 * @says_drained: its failure domain is drained, as it says itself
 */
struct flt_agent
{
  struct flt_fleet *fleet;
  char name[FLT_NAME_MAX];
  char domain[FLT_NAME_MAX];
  char *service;
  uint64_t incarnation;
  struct onc_conn *conn;
  bool synced;
  bool accepting;
  struct amt_amount total;
  struct amt_amount peak;
  struct amt_amount free;
  uint64_t stamp_ms;
  uint64_t last_report_ns;
  uint32_t confirmed_ms;
  uint64_t lost_ns;
  uint64_t runs_end_by_ns;
  uint64_t orders;
  struct flt_pending pending[FLT_PENDING_MAX];
  unsigned pending_first;
  unsigned pending_count;
  double ratio;
  bool ejected;
  bool probe;
  uint64_t loss_number;
  uint64_t silence_number;
  unsigned suspects;
  bool confining;
  uint32_t starts_left;
  struct lkh_end ends[LKH_ENDS_MAX];
  unsigned end_count;
  bool says_drained;
  struct flt_agent *prev;
  struct flt_agent *next;
};

/**
 * struct flt_fleet - caller-owned
 * @ejected: number of agents that are ejected, at most HLT_EJECT_SHARE
 * @estimates: run time and failure rate, by name of the queue
 * @ratio: smoothed ratio of actual to declared run time, of all agents
 * @drains: the drained failure domains; borrowed
 */
struct flt_fleet
{
  void *mem_ctx;
  struct flt_agent *agents;
  unsigned count;
  unsigned ejected;
  struct est_table estimates;
  double ratio;
  const struct drn_domains *drains;
};

/** flt_init() - initialize without agents. */
void flt_init (struct flt_fleet *f, void *mem_ctx,
               const struct drn_domains *drains);

/** flt_finish() - free all agents. */
void flt_finish (struct flt_fleet *f);

/** flt_find_by_conn() - find an agent by its connection, or NULL. */
struct flt_agent *flt_find_by_conn (const struct flt_fleet *f,
                                    const struct onc_conn *conn);

/**
 * flt_join() - add an agent that joins, or update one that joins again
 * Return: the agent; its former connection, if any, is closed.
 */
struct flt_agent *flt_join (struct flt_fleet *f, struct onc_conn *conn,
                            const lvp_join *join, uint64_t now_ns);

/**
 * flt_apply_report() - update @agent from a report
 *
 * Return: send time (clk_boot()) of the newest order that this report newly
 * confirms; 0 if none.
 */
uint64_t flt_apply_report (struct flt_agent *agent, const lvp_report *report,
                           uint64_t now_ns);

/** flt_mark_lost() - mark @agent as lost: its connection is closed. */
void flt_mark_lost (struct flt_agent *agent);

/** flt_forget_expired() - free agents whose runs have ended long ago. */
void flt_forget_expired (struct flt_fleet *f, uint64_t now_ns);

/** flt_record_order() - record an order of @count tasks to @agent; their
 * resources were subtracted from @free at placement. */
void flt_record_order (struct flt_agent *agent, const struct amt_amount *need,
                       uint32_t count);

/**
 * flt_record_run() - record a run that has ended
 * @ok: it succeeded
 */
void flt_record_run (struct flt_fleet *f, struct lv_slice queue, bool ok,
                     uint32_t ran_ms, uint32_t estimate_ms);

/** flt_use_start() - a start was ordered from @agent. */
static inline void
flt_use_start (struct flt_agent *agent)
{
  if (agent->starts_left != WMP_UNLIMITED && agent->starts_left > 0)
    agent->starts_left--;
}

/** flt_is_drained() - whether the failure domain of @agent is drained. */
bool flt_is_drained (const struct flt_agent *agent);

/** flt_accepts_orders() - whether @agent is connected and takes orders, unless
 * its failure domain is drained. */
static inline bool
flt_accepts_orders (const struct flt_agent *agent)
{
  return agent->conn != NULL && agent->accepting;
}

/** flt_never_fits() - whether agents of @service are known, and @need is
 * beyond the peak of each: more than a capacity that has shrunk for a while.
 */
bool flt_never_fits (const struct flt_fleet *f, struct lv_slice service,
                     const struct amt_amount *need);

/** flt_fits_only_drained() - whether @need is within the resources of agents
 * of @service, and the failure domains of all these are drained. */
bool flt_fits_only_drained (const struct flt_fleet *f, struct lv_slice service,
                            const struct amt_amount *need);

/** flt_candidate() - @agent as a candidate for tasks of @service. */
struct cnd_candidate flt_candidate (const struct flt_agent *agent,
                                    struct lv_slice service,
                                    const char *domain, uint64_t now_ns);

/** flt_look_ahead() - @agent, of which @usable says whether it takes orders,
 * as a placement with lookahead sees it. */
struct lkh_agent flt_look_ahead (const struct flt_agent *agent, bool usable,
                                 uint64_t now_ns);

#endif
