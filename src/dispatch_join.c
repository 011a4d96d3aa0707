#include "dispatch_parts.h"

#include <errno.h>
#include <talloc.h>

#include "lagoonvale/name.h"
#include "logline.h"
#include "wire.h"
#include "xtalloc.h"

void
dsp_requeue_run (struct dsp_dispatch *d, struct jtb_task *task,
                 const char *why)
{
  log_ratelimited (LOGL_INFO, "task-again",
                   "job=%s task=%u attempt=%u agent=%s why=%s", task->job->id,
                   task->index, task->attempt, dsp_agent_of (task)->name, why);
  dsp_record_step (task, 1, why);
  ctr_add (&d->counters, DSP_TASKS_AGAIN, 1);
  jtb_requeue (&d->jobs, task, false);
}

static bool
lists_run (const lvp_join *join, uint64_t run)
{
  u_int i;

  for (i = 0; i < join->runs.runs_len; i++)
    if (join->runs.runs_val[i] == run)
      return true;
  return false;
}

/* The runs of TASK at an agent that has joined, and does not list it, end by
   their lease at the latest: the former process of that agent is gone.  */
static void
await_lapse (struct jtb_task *task)
{
  if (task->state != JTB_PLACED)
    return;
  task->state = JTB_UNREACHABLE;
  task->runs_until_ns = lbd_runs_ended_by (clk_boot ());
}

/* Update the runs at agent A from its join.  Runs that it does not list have
   ended if it has listed all runs at its minion, and end soon in any case.  */
static void
reconcile (struct dsp_dispatch *d, struct flt_agent *a, const lvp_join *join)
{
  struct jtb_task *task;
  struct jtb_task *next;
  bool ours = join->entry == d->incarnation;

  HASH_ITER (hh, d->jobs.runs, task, next)
  {
    if (dsp_agent_of (task) != a)
      continue;
    if (ours && lists_run (join, task->run))
      task->state = JTB_PLACED;
    else if (join->report.synced)
      dsp_requeue_run (d, task, "agent-joined");
    else
      await_lapse (task);
  }
}

/* The same for the runs there of jobs that are gone.  */
static void
reconcile_abandoned (struct dsp_dispatch *d, const struct flt_agent *a,
                     const lvp_join *join)
{
  bool ours = join->entry == d->incarnation;
  uint64_t others_ended_by_ns
      = join->report.synced ? 0 : lbd_runs_ended_by (clk_boot ());

  abd_agent_listed (&d->abandoned, a, join->runs.runs_val,
                    ours ? join->runs.runs_len : 0, others_ended_by_ns);
}

/* Stop the runs in JOIN of agent A that belong to no open task any more: their
   job has ended, or they were counted as ended, while A was not connected, so
   that their stop could not be sent or was lost.  */
static void
stop_orphans (struct dsp_dispatch *d, struct flt_agent *a,
              const lvp_join *join)
{
  lvp_stop stop = { 0 };
  u_int i;

  if (join->entry != d->incarnation || a->conn == NULL)
    return;
  stop.runs.runs_val = xtalloc_array (NULL, u_quad_t, join->runs.runs_len);
  for (i = 0; i < join->runs.runs_len; i++)
    if (jtb_find_run (&d->jobs, join->runs.runs_val[i]) == NULL)
      stop.runs.runs_val[stop.runs.runs_len++] = join->runs.runs_val[i];
  if (stop.runs.runs_len > 0)
    {
      log_line (LOGL_INFO, "orphans-stopped", "agent=%s runs=%u listed=%u",
                a->name, stop.runs.runs_len, join->runs.runs_len);
      dsp_send_stop (a, &stop);
    }
  talloc_free (stop.runs.runs_val);
}

lvp_report_res
dsp_make_report_res (struct dsp_dispatch *d, const char *domain,
                     lvp_endpoint endpoints[PER_MAX], u_quad_t known)
{
  lvp_report_res res = { 0 };

  res.drain_position = d->drains.position;
  res.drained = drn_contains (&d->drains, lv_slice_of (domain));
  res.hungry = d->jobs.queue != NULL;
  res.entries
      = per_list (&d->peers, clk_boot (), endpoints, known, &res.digest);
  return res;
}

static bool
has_valid_names (const lvp_join *join)
{
  return nam_valid (lv_slice_of (join->name))
         && nam_valid (lv_slice_of (join->domain))
         && nam_valid (lv_slice_of (join->service));
}

void
dsp_on_join (struct dsp_dispatch *d, struct onc_conn *conn, uint32_t xid,
             XDR *args)
{
  lvp_endpoint endpoints[PER_MAX];
  lvp_join_res res = { 0 };
  lvp_join join;

  if (!WIR_DECODE (lvp_join, args, &join))
    {
      onc_close (conn, -EBADMSG, "join cannot be decoded");
      return;
    }
  if (!has_valid_names (&join))
    {
      onc_close (conn, -EILSEQ, "invalid name in a join");
      WIR_FREE (lvp_join, &join);
      return;
    }
  res.incarnation = d->incarnation;
  res.report = dsp_make_report_res (d, join.domain, endpoints, 0);
  pjn_add (&d->joins, conn, &join, clk_boot ());
  onc_reply (conn, xid, (xdrproc_t)xdr_lvp_join_res, &res);
}

/* Put JOIN, which is confirmed, into effect.  Return: its agent.  */
static struct flt_agent *
apply_join (struct dsp_dispatch *d, struct onc_conn *conn,
            const lvp_join *join, uint64_t at_ns)
{
  struct flt_agent *a = flt_join (&d->fleet, conn, join, at_ns);

  if (a->lost_ns != 0)
    dsp_record_time (d, DSP_TIME_RECOVERY, "agent-lost-to-joined",
                     clk_since (clk_boot (), a->lost_ns));
  a->lost_ns = 0;
  log_line (LOGL_INFO, "agent-joined",
            "agent=%s incarnation=%llx runs=%u synced=%d accepting=%d "
            "total_mcores=%u free_mcores=%u",
            a->name, (unsigned long long)a->incarnation, join->runs.runs_len,
            a->synced, a->accepting, a->total.mcores, a->free.mcores);
  reconcile (d, a, join);
  reconcile_abandoned (d, a, join);
  stop_orphans (d, a, join);
  dsp_schedule_placement (d);
  return a;
}

struct flt_agent *
dsp_confirm_join (struct dsp_dispatch *d, struct onc_conn *conn)
{
  struct pjn_join *join = pjn_find (&d->joins, conn);
  struct pjn_join *former;
  struct flt_agent *a;

  if (join == NULL)
    return flt_find_by_conn (&d->fleet, conn);
  while ((former = pjn_find_superseded (&d->joins, join)) != NULL)
    onc_close (former->conn, -ESTALE, "a later join is confirmed");
  a = apply_join (d, conn, &join->message, join->at_ns);
  pjn_remove (&d->joins, join);
  return a;
}

void
dsp_drop_join (struct dsp_dispatch *d, const struct onc_conn *conn,
               const char *why)
{
  struct pjn_join *join = pjn_find (&d->joins, conn);

  if (join == NULL)
    return;
  ctr_add (&d->counters, DSP_JOINS_DROPPED, 1);
  log_line (
      LOGL_INFO, "join-not-confirmed",
      "agent=%s incarnation=%llx runs=%u age_ms=%llu why=\"%s\"",
      join->message.name, (unsigned long long)join->message.incarnation,
      join->message.runs.runs_len,
      (unsigned long long)(clk_since (clk_boot (), join->at_ns) / CLK_MS),
      why);
  pjn_remove (&d->joins, join);
}

void
dsp_close_unconfirmed (struct dsp_dispatch *d, uint64_t now_ns)
{
  struct pjn_join *join;

  while ((join = pjn_find_expired (&d->joins, now_ns)) != NULL)
    onc_close (join->conn, -ETIMEDOUT, "join not confirmed in time");
}
