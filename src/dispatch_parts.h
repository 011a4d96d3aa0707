/**
 * DOC: dispatch_parts
 *
 * Interfaces between the source files of the dispatcher.  Each file calls only
 * those below it:
 *
 *   dispatch.c          start and shutdown, configuration, ticks
 *   dispatch_agents.c   messages of agents: reports, ends of runs, losses
 *   dispatch_join.c     joins of agents, and what follows for their runs
 *   dispatch_cancel.c   cancelled jobs, here and at other entries
 *   dispatch_jobs.c     jobs from submission to answer
 *   dispatch_place.c    placement of tasks, orders to agents
 *   dispatch_ahead.c    room held for the first waiting job
 *   dispatch_risk.c     crashes, suspects, confined queues
 */
#ifndef LV_DISPATCH_PARTS_H
#define LV_DISPATCH_PARTS_H

#include <stdio.h>

#include "clock.h"
#include "dispatch.h"
#include "lagoonvale/steplog.h"

/** Grace period after the start for agents to join, ns: all join before the
 * load balancer's next health check. */
#define DSP_JOIN_GRACE_NS (1500 * CLK_MS)

/** struct dsp_caller - caller of a job, kept in jtb_job's @priv */
struct dsp_caller
{
  struct slg_log steps;
  void (*answer) (const struct dsp_answer *answer, void *priv);
  void *priv;
  char *queue;
};

/** dsp_agent_of() - agent of the last order of @task, or NULL. */
static inline struct flt_agent *
dsp_agent_of (const struct jtb_task *task)
{
  return task->agent;
}

/** dsp_task_name() - write the name of @task, as agents use it. Return: @name.
 */
static inline const char *
dsp_task_name (const struct jtb_task *task, char name[RTK_NAME_MAX])
{
  snprintf (name, RTK_NAME_MAX, "%s.%u", task->job->id, task->index);
  return name;
}

/** dsp_config_version() - version of the configuration in force, or 0. */
static inline uint64_t
dsp_config_version (const struct dsp_dispatch *d)
{
  return d->config != NULL ? d->config->version : 0;
}

/** dsp_record_time() - record a duration in a histogram with one label. */
static inline void
dsp_record_time (struct dsp_dispatch *d, enum dsp_time id, const char *label,
                 uint64_t ns)
{
  hst_observe (&d->times, id, lv_slice_of (label), lv_slice_of (""), ns);
}

/* dispatch_risk.c */

/** dsp_find_crashes() - what is known of crashes under @task, or NULL. */
const struct crl_task *dsp_find_crashes (const struct dsp_dispatch *d,
                                         const struct jtb_task *task);
/** dsp_record_loss() - record the notice of a crash or a silence. */
void dsp_record_loss (struct dsp_dispatch *d, const lvp_loss *loss);
/** dsp_resolve_silence() - record what became of a minion that was silent. */
void dsp_resolve_silence (struct dsp_dispatch *d, const lvp_loss *loss);
/**
 * dsp_record_crash_end() - record that the run of @task ended by a crash,
 * unless a notice has told it since it was placed
 *
 * Return: what is known of crashes under it now.
 */
const struct crl_task *dsp_record_crash_end (struct dsp_dispatch *d,
                                             struct jtb_task *task);
/** dsp_count_suspects() - count the suspects that run at each agent. */
void dsp_count_suspects (struct dsp_dispatch *d);
/** dsp_mark_confining() - mark the agents that confined queues may use. */
void dsp_mark_confining (struct dsp_dispatch *d);
/** dsp_is_confined() - whether @job may only use the agents marked so. */
bool dsp_is_confined (const struct dsp_dispatch *d, const struct jtb_job *job);
/** dsp_any_confining_usable() - whether an agent marked so takes orders of
 * @job. */
bool dsp_any_confining_usable (const struct dsp_dispatch *d,
                               const struct jtb_job *job);

/* dispatch_ahead.c */

/**
 * dsp_ahead_hold() - hold room for the waiting tasks of @job
 * @count: candidates, as dsp_list_candidates() has listed them
 *
 * Return: whether there will be room for all of them soon enough; others may
 * then be placed behind it, after dsp_ahead_limit().
 */
bool dsp_ahead_hold (struct dsp_dispatch *d, struct jtb_job *job,
                     unsigned count);
/**
 * dsp_ahead_limit() - take what is held off the candidates, for tasks of @job
 *
 * Return: whether all of its waiting tasks fit beside that.
 */
bool dsp_ahead_limit (struct dsp_dispatch *d, const struct jtb_job *job,
                      unsigned count);
/** dsp_ahead_limit_one() - the same for candidate @at, after a placement. */
void dsp_ahead_limit_one (struct dsp_dispatch *d, const struct jtb_job *job,
                          unsigned at);
/** dsp_ahead_placed() - record that @job, which may have been held for, has no
 * waiting task left. */
void dsp_ahead_placed (struct dsp_dispatch *d, struct jtb_job *job);

/* dispatch_place.c */

/** dsp_record_step() - append a step of @count tasks from @task on to the step
 * log of the job. */
void dsp_record_step (const struct jtb_task *task, uint32_t count,
                      const char *kind);
/** dsp_schedule_placement() - place waiting tasks in the next loop iteration.
 */
void dsp_schedule_placement (struct dsp_dispatch *d);
/**
 * dsp_list_candidates() - fill @candidates and @candidate_agents of @d for
 * tasks of @service
 * @confined: only agents marked by dsp_mark_confining() are usable
 *
 * Return: number of candidates.
 */
unsigned dsp_list_candidates (struct dsp_dispatch *d, struct lv_slice service,
                              bool confined);
/** dsp_send_stop() - send @stop to @a, which must be connected.  A stop that
 * is lost with the connection is made up for at the next join. */
void dsp_send_stop (struct flt_agent *a, lvp_stop *stop);
/** dsp_stop_runs() - send stops for all placed tasks of @job. */
void dsp_stop_runs (struct dsp_dispatch *d, struct jtb_job *job);

/* dispatch_cancel.c */

/** dsp_send_cancels() - tell all other entries of new cancels, and answer the
 * callers of those that are confirmed, or cannot be. */
void dsp_send_cancels (struct dsp_dispatch *d, uint64_t now_ns);
/** dsp_finish_cancels() - free what is not done. */
void dsp_finish_cancels (struct dsp_dispatch *d);
/** dsp_send_all_cancels() - tell the entry at @conn, which answers again, of
 * all cancels that are kept. */
void dsp_send_all_cancels (struct dsp_dispatch *d, struct onc_conn *conn);
/** dsp_on_cancel() - handle and answer the notice of another entry. */
void dsp_on_cancel (struct dsp_dispatch *d, struct onc_conn *conn,
                    uint32_t xid, XDR *args);

/* dispatch_jobs.c */

/** dsp_answer_cancelled() - answer @job as cancelled, and stop its runs. */
void dsp_answer_cancelled (struct dsp_dispatch *d, struct jtb_job *job);

/** dsp_answer_if_ended() - answer @job if it is complete or failed. */
void dsp_answer_if_ended (struct dsp_dispatch *d, struct jtb_job *job,
                          enum jtb_job_status status);
/** dsp_fail_job() - answer @job as failed, and stop what runs of it. */
void dsp_fail_job (struct dsp_dispatch *d, struct jtb_job *job,
                   const char *why);
/** dsp_refuse_drained() - answer the jobs with waiting tasks that only agents
 * of drained failure domains could hold. */
void dsp_refuse_drained (struct dsp_dispatch *d);
/** dsp_expire_jobs() - answer jobs past their deadline, refuse jobs that
 * cannot start in time. */
void dsp_expire_jobs (struct dsp_dispatch *d, uint64_t now_ns);

/* dispatch_join.c */

/** dsp_requeue_run() - put @task, whose run has ended for certain, back into
 * the queue without using up an attempt. */
void dsp_requeue_run (struct dsp_dispatch *d, struct jtb_task *task,
                      const char *why);
/** dsp_make_report_res() - answer to a report of an agent in @domain, which
 * has the list of entries with digest @known, or 0; it refers to @endpoints.
 */
lvp_report_res dsp_make_report_res (struct dsp_dispatch *d, const char *domain,
                                    lvp_endpoint endpoints[PER_MAX],
                                    u_quad_t known);
/** dsp_on_join() - answer the join call of an agent, see pendingjoin.h. */
void dsp_on_join (struct dsp_dispatch *d, struct onc_conn *conn, uint32_t xid,
                  XDR *args);
/**
 * dsp_confirm_join() - a message other than a join has arrived on @conn
 *
 * Return: the agent that has joined there, now or before, or NULL.
 */
struct flt_agent *dsp_confirm_join (struct dsp_dispatch *d,
                                    struct onc_conn *conn);
/** dsp_drop_join() - drop the join on @conn, if one is not confirmed. */
void dsp_drop_join (struct dsp_dispatch *d, const struct onc_conn *conn,
                    const char *why);
/** dsp_close_unconfirmed() - close connections whose joins are not confirmed
 * in time. */
void dsp_close_unconfirmed (struct dsp_dispatch *d, uint64_t now_ns);

/* dispatch_agents.c */

/** dsp_requeue_lapsed() - requeue tasks whose runs at lost agents have ended
 * for certain. */
void dsp_requeue_lapsed (struct dsp_dispatch *d, uint64_t now_ns);

/** dsp_on_report() - handle and answer a report of an agent. */
void dsp_on_report (struct dsp_dispatch *d, struct onc_conn *conn,
                    uint32_t xid, XDR *args);
/** dsp_on_ends() - handle and answer a report that carries run ends. */
void dsp_on_ends (struct dsp_dispatch *d, struct onc_conn *conn, uint32_t xid,
                  XDR *args);
/** dsp_on_loss() - handle the notice that runs are lost with the minion of an
 * agent, or what became of it. */
void dsp_on_loss (struct dsp_dispatch *d, struct onc_conn *conn, XDR *args);
/** dsp_on_closed() - mark the agent of a closed connection as lost, and drop
 * a join there. */
void dsp_on_closed (struct onc_conn *conn, const struct err_error *err,
                    void *priv);
/** dsp_close_silent() - close connections of agents without recent reports,
 * and of joins that are not confirmed. */
void dsp_close_silent (struct dsp_dispatch *d, uint64_t now_ns);

#endif
