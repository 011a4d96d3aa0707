#include "dispatch_parts.h"

#include <errno.h>
#include <talloc.h>
#include <utlist.h>

#include "logline.h"
#include "wire.h"
#include "xtalloc.h"

static bool
never_started (lvp_how how)
{
  return how == LVP_HOW_NO_ROOM || how == LVP_HOW_REFUSED || how == LVP_HOW_OLD
         || how == LVP_HOW_LEAVING || how == LVP_HOW_STALE;
}

/* Whether an end of this kind counts as a failure of the backend server.  */
static bool
counts_for_health (lvp_how how)
{
  return how == LVP_HOW_FAILED || how == LVP_HOW_REFUSED
         || how == LVP_HOW_STALLED;
}

static const char *
outcome_name (lvp_how how)
{
  static const char *const names[] = {
    [LVP_HOW_DONE] = "done",       [LVP_HOW_FAILED] = "failed",
    [LVP_HOW_STOPPED] = "stopped", [LVP_HOW_LAPSED] = "lapsed",
    [LVP_HOW_NO_ROOM] = "no-room", [LVP_HOW_REFUSED] = "refused",
    [LVP_HOW_OLD] = "old",         [LVP_HOW_LEAVING] = "leaving",
    [LVP_HOW_STALE] = "stale",     [LVP_HOW_STALLED] = "stalled",
    [LVP_HOW_CRASHED] = "crashed",
  };

  return (unsigned)how < sizeof names / sizeof names[0] ? names[how] : "?";
}

/* Put TASK, whose minion has crashed, back into the queue, or fail its job if
   the task is poison.  */
static void
process_crash (struct dsp_dispatch *d, struct jtb_task *task)
{
  const struct crl_task *known = dsp_record_crash_end (d, task);
  struct jtb_job *job = task->job;

  ctr_add (&d->counters, DSP_CRASHED, 1);
  log_line (LOGL_INFO, "task-crashed",
            "job=%s task=%u attempt=%u agent=%s crashes=%u blame=%.2f "
            "poison=%d",
            job->id, task->index, task->attempt, dsp_agent_of (task)->name,
            known->crashes, known->blame, crl_is_poison (known));
  jtb_requeue (&d->jobs, task, false);
  if (!crl_is_poison (known))
    return;
  ctr_add (&d->counters, DSP_POISON, 1);
  dsp_fail_job (d, job, "crashes");
}

static void
process_end (struct dsp_dispatch *d, struct flt_agent *a, const lvp_end *end)
{
  struct jtb_task *task = jtb_find_run (&d->jobs, end->run);
  struct jtb_job *job;
  const struct dsp_caller *caller;

  if (task == NULL)
    {
      if (abd_ended (&d->abandoned, end->run))
        dsp_schedule_placement (d);
      return;
    }
  job = task->job;
  caller = job->priv;
  if (end->how == LVP_HOW_DONE || counts_for_health (end->how))
    flt_record_run (&d->fleet, lv_slice_of (caller->queue),
                    end->how == LVP_HOW_DONE, end->ran_ms, job->estimate_ms);
  if (end->how == LVP_HOW_DONE)
    {
      ctr_add (&d->counters, DSP_TASKS_DONE, 1);
      dsp_record_time (d, DSP_TIME_TASK, caller->queue,
                       clk_since (clk_boot (), task->placed_ns));
      dsp_answer_if_ended (d, job, jtb_mark_done (&d->jobs, task));
      return;
    }
  ctr_add (&d->counters,
           end->how == LVP_HOW_NO_ROOM ? DSP_NO_ROOM : DSP_TASKS_AGAIN, 1);
  log_ratelimited (LOGL_INFO, "task-again",
                   "job=%s task=%u attempt=%u agent=%s how=%s ran_ms=%u",
                   job->id, task->index, task->attempt, a->name,
                   outcome_name (end->how), end->ran_ms);
  dsp_record_step (task, 1, outcome_name (end->how));
  if (end->how == LVP_HOW_CRASHED)
    {
      process_crash (d, task);
      return;
    }
  if (end->how == LVP_HOW_LAPSED)
    task->suspect = crl_is_suspect (dsp_find_crashes (d, task));
  if (never_started (end->how))
    job->orders--;
  dsp_answer_if_ended (
      d, job, jtb_requeue (&d->jobs, task, end->how == LVP_HOW_FAILED));
}

void
dsp_requeue_lapsed (struct dsp_dispatch *d, uint64_t now_ns)
{
  struct jtb_task *task;

  while ((task = jtb_find_lapsed (&d->jobs, now_ns)) != NULL)
    dsp_requeue_run (d, task, "lease-lapsed");
}

/* Agent A has listed all runs at its minion some time after its join.  Its
   runs that are still unreachable have ended.  */
static void
requeue_unreachable (struct dsp_dispatch *d, struct flt_agent *a)
{
  struct jtb_task *task;
  struct jtb_task *next;

  HASH_ITER (hh, d->jobs.runs, task, next)
  {
    if (dsp_agent_of (task) == a && task->state == JTB_UNREACHABLE)
      dsp_requeue_run (d, task, "agent-synced");
  }
}

static void
apply_report (struct dsp_dispatch *d, struct flt_agent *a,
              const lvp_report *report)
{
  bool was_synced = a->synced;
  uint64_t now = clk_boot ();
  uint64_t sent_ns = flt_apply_report (a, report, now);

  if (sent_ns != 0)
    dsp_record_time (d, DSP_TIME_ORDER, a->domain, clk_since (now, sent_ns));
  if (!was_synced && a->synced)
    requeue_unreachable (d, a);
  if (d->jobs.queue != NULL)
    dsp_schedule_placement (d);
}

static void
reply_report (struct dsp_dispatch *d, const struct flt_agent *a,
              struct onc_conn *conn, uint32_t xid, u_quad_t known)
{
  lvp_endpoint endpoints[PER_MAX];
  lvp_report_res res = dsp_make_report_res (d, a->domain, endpoints, known);

  onc_reply (conn, xid, (xdrproc_t)xdr_lvp_report_res, &res);
}

void
dsp_on_report (struct dsp_dispatch *d, struct onc_conn *conn, uint32_t xid,
               XDR *args)
{
  struct flt_agent *a = dsp_confirm_join (d, conn);
  lvp_report report;

  if (a == NULL || !WIR_DECODE (lvp_report, args, &report))
    {
      onc_close (conn, -EPROTO, "report is malformed or precedes the join");
      return;
    }
  apply_report (d, a, &report);
  reply_report (d, a, conn, xid, report.known);
  WIR_FREE (lvp_report, &report);
}

void
dsp_on_ends (struct dsp_dispatch *d, struct onc_conn *conn, uint32_t xid,
             XDR *args)
{
  struct flt_agent *a = dsp_confirm_join (d, conn);
  lvp_ends ends;
  u_int i;

  if (a == NULL || !WIR_DECODE (lvp_ends, args, &ends))
    {
      onc_close (conn, -EPROTO, "ends are malformed or precede the join");
      return;
    }
  for (i = 0; i < ends.ends.lvp_end_list_len; i++)
    process_end (d, a, &ends.ends.lvp_end_list_val[i]);
  apply_report (d, a, &ends.report);
  reply_report (d, a, conn, xid, ends.report.known);
  WIR_FREE (lvp_ends, &ends);
}

static void
log_loss (const struct flt_agent *a, const lvp_loss *loss)
{
  static const char *const events[]
      = { [LVP_FATE_CRASHED] = "minion-crashed",
          [LVP_FATE_SILENT] = "minion-lost",
          [LVP_FATE_SURVIVED] = "minion-survived" };
  const lvp_lost_run *runs = loss->runs.runs_val;
  u_int n = loss->runs.runs_len;

  log_line (LOGL_INFO, events[loss->fate],
            "agent=%s runs=%u youngest=%s queue=%s age_ms=%u ago_ms=%u",
            a->name, n, n > 0 ? runs[0].task : "-",
            n > 0 ? runs[0].queue : "-", n > 0 ? runs[0].age_ms : 0,
            loss->ago_ms);
}

static bool
has_poison (const struct dsp_dispatch *d, const struct jtb_job *job)
{
  uint32_t i;

  for (i = 0; i < job->count; i++)
    if (job->tasks[i].state == JTB_WAITING && job->tasks[i].suspect
        && crl_is_poison (dsp_find_crashes (d, &job->tasks[i])))
      return true;
  return false;
}

/* Answer the jobs that wait with a task that is known to be poison now.  */
static void
fail_poison (struct dsp_dispatch *d)
{
  struct jtb_job *job;
  struct jtb_job *next;

  DL_FOREACH_SAFE (d->jobs.queue, job, next)
  if (has_poison (d, job))
    {
      ctr_add (&d->counters, DSP_POISON, 1);
      dsp_fail_job (d, job, "crashes");
    }
}

/* Apply a notice, or what became of the silence that one has told, once each:
   an agent that joins again sends its recent ones once more.  */
static void
apply_loss (struct dsp_dispatch *d, struct flt_agent *a, const lvp_loss *loss)
{
  bool first = loss->number > a->loss_number;
  bool silent = loss->fate == LVP_FATE_SILENT;

  if (!first && (silent || loss->number != a->silence_number))
    return;
  log_loss (a, loss);
  if (!first)
    dsp_resolve_silence (d, loss);
  else if (loss->fate != LVP_FATE_SURVIVED)
    dsp_record_loss (d, loss);
  if (first)
    a->loss_number = loss->number;
  a->silence_number = silent ? loss->number : 0;
  if (loss->fate == LVP_FATE_CRASHED)
    fail_poison (d);
  dsp_mark_confining (d);
  dsp_schedule_placement (d);
}

void
dsp_on_loss (struct dsp_dispatch *d, struct onc_conn *conn, XDR *args)
{
  struct flt_agent *a = dsp_confirm_join (d, conn);
  lvp_loss loss;

  if (a == NULL || !WIR_DECODE (lvp_loss, args, &loss))
    {
      onc_close (conn, -EPROTO, "loss is malformed or precedes the join");
      return;
    }
  if ((unsigned)loss.fate <= LVP_FATE_SURVIVED)
    apply_loss (d, a, &loss);
  else
    onc_close (conn, -EPROTO, "loss of an unknown kind");
  WIR_FREE (lvp_loss, &loss);
}

static void
mark_agent_lost (struct dsp_dispatch *d, struct flt_agent *a, const char *why)
{
  flt_mark_lost (a);
  jtb_mark_unreachable (&d->jobs, a, a->runs_end_by_ns);
  abd_agent_lost (&d->abandoned, a, a->runs_end_by_ns);
  log_line (LOGL_INFO, "agent-lost",
            "agent=%s why=\"%s\" heard_ms=%llu runs_end_in_ms=%llu", a->name,
            why,
            (unsigned long long)(clk_since (clk_boot (), a->last_report_ns)
                                 / CLK_MS),
            (unsigned long long)(clk_since (a->runs_end_by_ns, clk_boot ())
                                 / CLK_MS));
}

void
dsp_on_closed (struct onc_conn *conn, const struct err_error *err, void *priv)
{
  struct dsp_dispatch *d = priv;
  struct flt_agent *a = flt_find_by_conn (&d->fleet, conn);

  dsp_drop_join (d, conn, err->detail);
  if (a != NULL)
    mark_agent_lost (d, a, err->detail);
}

void
dsp_close_silent (struct dsp_dispatch *d, uint64_t now_ns)
{
  struct flt_agent *a;
  struct flt_agent *next;

  DL_FOREACH_SAFE (d->fleet.agents, a, next)
  if (a->conn != NULL && !lbd_is_fresh (a->last_report_ns, now_ns))
    onc_close (a->conn, -ETIMEDOUT, "no report within the timeout");
  dsp_close_unconfirmed (d, now_ns);
}
