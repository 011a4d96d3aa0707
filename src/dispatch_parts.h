/**
 * DOC: dispatch_parts
 *
 * What the parts of the dispatcher call of each other.  Calls run one way:
 *
 *   dispatch.c          life of the process, configuration, ticks
 *   dispatch_agents.c   what agents say: joins, reports, ends
 *   dispatch_jobs.c     jobs from their arrival to their answer
 *   dispatch_place.c    where tasks go, and the orders
 */
#ifndef LV_DISPATCH_PARTS_H
#define LV_DISPATCH_PARTS_H

#include "clock.h"
#include "dispatch.h"
#include "lagoonvale/steplog.h"

/** Time after the start in which agents may be missing still, ns: they are
 * there sooner than the balancer's next health check. */
#define DSP_JOIN_GRACE_NS (1500 * CLK_MS)

/** struct dsp_caller - what the board keeps for the owner of a job */
struct dsp_caller
{
  struct slg_log steps;
  void (*answer) (const struct dsp_answer *answer, void *priv);
  void *priv;
  char *queue;
};

/** dsp_agent_of() - agent of the last order for @task, or NULL. */
static inline struct flt_agent *
dsp_agent_of (const struct jtb_task *task)
{
  return task->host;
}

/** dsp_config_version() - version of the configuration in force, 0 for none.
 */
static inline uint64_t
dsp_config_version (const struct dsp_dispatch *d)
{
  return d->config != NULL ? d->config->version : 0;
}

/** dsp_record_step() - a step taken for @task and the @count - 1 after it. */
void dsp_record_step (const struct jtb_task *task, uint32_t count,
                      const char *what);

/** dsp_record_time() - add a time to a histogram with one label. */
static inline void
dsp_record_time (struct dsp_dispatch *d, enum dsp_time id, const char *label,
                 uint64_t ns)
{
  hst_observe (&d->times, id, lv_slice_of (label), lv_slice_of (""), ns);
}

/* dispatch_place.c */

/** dsp_schedule_placement() - place what waits in the next turn of the loop.
 */
void dsp_schedule_placement (struct dsp_dispatch *d);
/** dsp_list_candidates() - fill d->hosts for @service. Return: their count. */
unsigned dsp_list_candidates (struct dsp_dispatch *d, struct lv_slice service);
/** dsp_stop_runs() - stop what still runs of @job. */
void dsp_stop_runs (struct dsp_dispatch *d, struct jtb_job *job);

/* dispatch_jobs.c */

/** dsp_answer_if_ended() - answer @job if @v ends it. */
void dsp_answer_if_ended (struct dsp_dispatch *d, struct jtb_job *job,
                          enum jtb_job_status v);
/** dsp_expire_jobs() - answer jobs whose callers have stopped waiting. */
void dsp_expire_jobs (struct dsp_dispatch *d, uint64_t now_ns);

/* dispatch_agents.c */

/** dsp_requeue_lapsed() - place anew what has surely ended at lost agents. */
void dsp_requeue_lapsed (struct dsp_dispatch *d, uint64_t now_ns);

void dsp_on_join (struct dsp_dispatch *d, struct onc_conn *conn, uint32_t xid,
                  XDR *args);
void dsp_on_report (struct dsp_dispatch *d, struct onc_conn *conn,
                    uint32_t xid, XDR *args);
void dsp_on_ends (struct dsp_dispatch *d, struct onc_conn *conn, uint32_t xid,
                  XDR *args);
void dsp_on_closed (struct onc_conn *conn, const struct err_error *err,
                    void *priv);
/** dsp_close_silent() - close connections of agents that went silent. */
void dsp_close_silent (struct dsp_dispatch *d, uint64_t now_ns);

#endif
