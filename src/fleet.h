/**
 * DOC: fleet
 *
 * The agents that have joined an entry, and what each last reported.  An agent
 * that is lost stays known by its name, since its runs may go on for a while
 * and it may come back.
 */
#ifndef LV_FLEET_H
#define LV_FLEET_H

#include "lagoonvale/leasebounds.h"
#include "lagoonvale/estimate.h"
#include "lagoonvale/health.h"
#include "lagoonvale/spot.h"
#include "lvproto.h"
#include "onc.h"

/** Orders under way to one agent that are told apart. */
#define FLT_PENDING_MAX 64
/** Bytes of the name of an agent or failure domain, with NUL. */
#define FLT_NAME_MAX 64

/** struct flt_pending - room asked for by an order that no report reflects */
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
 * @stamp_ms: agent's clock, of its newest report
 * @heard_ns: when that arrived, by clk_boot()
 * @lost_ns: when its connection was lost, 0 once it has joined again
 * @dead_by_ns: while it is lost: when its runs have ended
 * @orders: sent on this connection
 * @pending: ring of those not reported to have arrived
 * @ratio: smoothed run time over the declared one
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
  struct amt_amount free;
  uint64_t stamp_ms;
  uint64_t heard_ns;
  uint64_t lost_ns;
  uint64_t dead_by_ns;
  uint64_t orders;
  struct flt_pending pending[FLT_PENDING_MAX];
  unsigned pending_first;
  unsigned pending_count;
  double ratio;
  struct hlt_target health;
  struct flt_agent *prev;
  struct flt_agent *next;
};

/**
 * struct flt_fleet - caller-owned
 * @ratio: smoothed run time over the declared one, of all agents
 */
struct flt_fleet
{
  void *mem_ctx;
  struct flt_agent *agents;
  unsigned count;
  struct hlt_fleet health;
  struct est_table estimates;
  double ratio;
};

/** flt_init() - no agents. */
void flt_init (struct flt_fleet *f, void *mem_ctx);

/** flt_finish() - forget all agents. */
void flt_finish (struct flt_fleet *f);

/** flt_by_conn() - the agent on this connection, or NULL. */
struct flt_agent *flt_by_conn (const struct flt_fleet *f,
                               const struct onc_conn *conn);

/**
 * flt_join() - an agent joins, or joins again
 * Return: it; its former connection, if any, is closed.
 */
struct flt_agent *flt_join (struct flt_fleet *f, struct onc_conn *conn,
                            const lvp_join *join, uint64_t now_ns);

/**
 * flt_report() - take what @agent reports
 *
 * Return: when the newest order was sent that this report knows and none
 * before it, or 0.
 */
uint64_t flt_report (struct flt_agent *agent, const lvp_report *report,
                     uint64_t now_ns);

/** flt_lost() - the connection of @agent is gone. */
void flt_lost (struct flt_agent *agent);

/** flt_expire() - forget lost agents whose runs have ended long ago. */
void flt_expire (struct flt_fleet *f, uint64_t now_ns);

/** flt_ordered() - an order for @count times @need is sent to @agent; its
 * room was taken from @free when it was placed. */
void flt_ordered (struct flt_agent *agent, const struct amt_amount *need,
                  uint32_t count);

/** flt_observe() - a run ended at @agent. */
void flt_observe (struct flt_agent *agent, struct lv_slice queue, bool ok,
                  uint32_t ran_ms, uint32_t estimate_ms, uint64_t now_ns);

/** flt_is_open() - whether @agent is joined and takes orders. */
static inline bool
flt_is_open (const struct flt_agent *agent)
{
  return agent->conn != NULL && agent->accepting;
}

/** flt_host() - @agent as a place for tasks of @service. */
struct spt_host flt_host (const struct flt_agent *agent,
                          struct lv_slice service, const char *domain,
                          uint64_t now_ns);

#endif
