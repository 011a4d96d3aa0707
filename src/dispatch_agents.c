#include "dispatch_parts.h"

#include <errno.h>
#include <stdio.h>
#include <utlist.h>

#include "lagoonvale/name.h"
#include "logline.h"
#include "wire.h"

static bool
never_started (lvp_how how)
{
  return how == LVP_HOW_NO_ROOM || how == LVP_HOW_REFUSED || how == LVP_HOW_OLD
         || how == LVP_HOW_LEAVING || how == LVP_HOW_STALE;
}

/* Whether an end of this kind speaks against the backend server.  */
static bool
is_blamed (lvp_how how)
{
  return how == LVP_HOW_FAILED || how == LVP_HOW_REFUSED
         || how == LVP_HOW_STALLED;
}

static const char *
how_name (lvp_how how)
{
  static const char *const names[] = {
    [LVP_HOW_DONE] = "done",       [LVP_HOW_FAILED] = "failed",
    [LVP_HOW_STOPPED] = "stopped", [LVP_HOW_LAPSED] = "lapsed",
    [LVP_HOW_NO_ROOM] = "no-room", [LVP_HOW_REFUSED] = "refused",
    [LVP_HOW_OLD] = "old",         [LVP_HOW_LEAVING] = "leaving",
    [LVP_HOW_STALE] = "stale",     [LVP_HOW_STALLED] = "stalled",
  };

  return (unsigned)how < sizeof names / sizeof names[0] ? names[how] : "?";
}

void
dsp_note_step (const struct brd_task *task, uint32_t count, const char *what)
{
  struct dsp_caller *caller = task->job->priv;
  struct trl_step step = {
    .what = what,
    .at_ms
    = (uint32_t)(clk_since (clk_now (), task->job->arrived_ns) / CLK_MS),
    .task = task->index,
    .count = count,
    .attempt = task->attempt,
  };

  snprintf (step.where, sizeof step.where, "%.*s", TRL_WHERE_MAX - 1,
            dsp_agent_of (task)->name);
  trl_add (&caller->trail, caller, &step);
}

static void
end_run (struct dsp_dispatch *d, struct flt_agent *a, const lvp_end *end)
{
  struct brd_task *task = brd_run (&d->board, end->run);
  struct brd_job *job;
  const struct dsp_caller *caller;

  if (task == NULL)
    return;
  job = task->job;
  caller = job->priv;
  if (end->how == LVP_HOW_DONE || is_blamed (end->how))
    flt_observe (a, lv_slice_of (caller->queue), end->how == LVP_HOW_DONE,
                 end->ran_ms, job->estimate_ms, clk_boot ());
  if (end->how == LVP_HOW_DONE)
    {
      ctr_add (&d->counters, DSP_TASKS_DONE, 1);
      dsp_note_time (d, DSP_TIME_TASK, caller->queue,
                     clk_since (clk_now (), task->placed_ns));
      dsp_verdict (d, job, brd_done (&d->board, task));
      return;
    }
  ctr_add (&d->counters,
           end->how == LVP_HOW_NO_ROOM ? DSP_NO_ROOM : DSP_TASKS_AGAIN, 1);
  log_ratelimited (LOGL_INFO, "task-again",
                   "job=%s task=%u attempt=%u agent=%s how=%s ran_ms=%u",
                   job->id, task->index, task->attempt, a->name,
                   how_name (end->how), end->ran_ms);
  dsp_note_step (task, 1, how_name (end->how));
  if (never_started (end->how))
    job->orders--;
  dsp_verdict (d, job,
               brd_again (&d->board, task, end->how == LVP_HOW_FAILED));
}

/* A run is known to be over for a reason that nobody is blamed for.  */
static void
release_run (struct dsp_dispatch *d, struct brd_task *task, const char *why)
{
  log_ratelimited (LOGL_INFO, "task-again",
                   "job=%s task=%u attempt=%u agent=%s why=%s", task->job->id,
                   task->index, task->attempt, dsp_agent_of (task)->name, why);
  dsp_note_step (task, 1, why);
  ctr_add (&d->counters, DSP_TASKS_AGAIN, 1);
  brd_again (&d->board, task, false);
}

void
dsp_release_lapsed (struct dsp_dispatch *d, uint64_t now_ns)
{
  struct brd_task *task;

  while ((task = brd_overdue (&d->board, now_ns)) != NULL)
    release_run (d, task, "lease-lapsed");
}

static bool
holds (const lvp_join *join, uint64_t run)
{
  u_int i;

  for (i = 0; i < join->runs.runs_len; i++)
    if (join->runs.runs_val[i] == run)
      return true;
  return false;
}

/* AGENT has joined: runs that it does not hold are over, if it knows all.  */
static void
reconcile (struct dsp_dispatch *d, struct flt_agent *a, const lvp_join *join)
{
  struct brd_task *task;
  struct brd_task *next;
  bool ours = join->entry == d->incarnation;

  HASH_ITER (hh, d->board.runs, task, next)
  {
    if (dsp_agent_of (task) != a)
      continue;
    if (ours && holds (join, task->run))
      task->state = BRD_PLACED;
    else if (join->report.synced)
      release_run (d, task, "agent-joined");
  }
}

static lvp_report_res
report_res (struct dsp_dispatch *d, lvp_endpoint room[PER_MAX], u_quad_t known)
{
  lvp_report_res res = { 0 };

  res.hungry = d->board.queue != NULL;
  res.entries = per_list (&d->peers, clk_boot (), room, known, &res.digest);
  return res;
}

void
dsp_on_join (struct dsp_dispatch *d, struct onc_conn *conn, uint32_t xid,
             XDR *args)
{
  lvp_endpoint room[PER_MAX];
  lvp_join_res res = { 0 };
  struct flt_agent *a;
  lvp_join join;

  if (!WIR_DECODE (lvp_join, args, &join))
    {
      onc_close (conn, -EBADMSG, "join cannot be decoded");
      return;
    }
  if (!nam_valid (lv_slice_of (join.name))
      || !nam_valid (lv_slice_of (join.domain))
      || !nam_valid (lv_slice_of (join.service)))
    {
      onc_close (conn, -EILSEQ, "a name in a join is not valid");
      WIR_FREE (lvp_join, &join);
      return;
    }
  a = flt_join (&d->fleet, conn, &join, clk_boot ());
  if (a->lost_ns != 0)
    dsp_note_time (d, DSP_TIME_RECOVERY, "agent-lost-to-joined",
                   clk_since (clk_boot (), a->lost_ns));
  a->lost_ns = 0;
  log_line (LOGL_INFO, "agent-joined",
            "agent=%s incarnation=%llx runs=%u synced=%d accepting=%d "
            "total_mcores=%u free_mcores=%u",
            a->name, (unsigned long long)a->incarnation, join.runs.runs_len,
            a->synced, a->accepting, a->total.mcores, a->free.mcores);
  reconcile (d, a, &join);
  WIR_FREE (lvp_join, &join);
  res.incarnation = d->incarnation;
  res.report = report_res (d, room, 0);
  onc_reply (conn, xid, (xdrproc_t)xdr_lvp_join_res, &res);
  dsp_pump_soon (d);
}

/* AGENT, on a connection that it has joined on before, now knows all that
   runs: what was in doubt there is over.  */
static void
note_synced (struct dsp_dispatch *d, struct flt_agent *a)
{
  struct brd_task *task;
  struct brd_task *next;

  HASH_ITER (hh, d->board.runs, task, next)
  {
    if (dsp_agent_of (task) == a && task->state == BRD_DOUBTFUL)
      release_run (d, task, "agent-synced");
  }
}

static void
take_report (struct dsp_dispatch *d, struct flt_agent *a,
             const lvp_report *report)
{
  bool was_synced = a->synced;
  uint64_t now = clk_boot ();
  uint64_t sent_ns = flt_report (a, report, now);

  if (sent_ns != 0)
    dsp_note_time (d, DSP_TIME_ORDER, a->domain, clk_since (now, sent_ns));
  if (!was_synced && a->synced)
    note_synced (d, a);
  if (d->board.queue != NULL)
    dsp_pump_soon (d);
}

static void
reply_report (struct dsp_dispatch *d, struct onc_conn *conn, uint32_t xid,
              u_quad_t known)
{
  lvp_endpoint room[PER_MAX];
  lvp_report_res res = report_res (d, room, known);

  onc_reply (conn, xid, (xdrproc_t)xdr_lvp_report_res, &res);
}

void
dsp_on_report (struct dsp_dispatch *d, struct onc_conn *conn, uint32_t xid,
               XDR *args)
{
  struct flt_agent *a = flt_by_conn (&d->fleet, conn);
  lvp_report report;

  if (a == NULL || !WIR_DECODE (lvp_report, args, &report))
    {
      onc_close (conn, -EPROTO, "report without a join");
      return;
    }
  take_report (d, a, &report);
  reply_report (d, conn, xid, report.known);
}

void
dsp_on_ends (struct dsp_dispatch *d, struct onc_conn *conn, uint32_t xid,
             XDR *args)
{
  struct flt_agent *a = flt_by_conn (&d->fleet, conn);
  lvp_ends ends;
  u_int i;

  if (a == NULL || !WIR_DECODE (lvp_ends, args, &ends))
    {
      onc_close (conn, -EPROTO, "ends without a join");
      return;
    }
  for (i = 0; i < ends.ends.lvp_end_list_len; i++)
    end_run (d, a, &ends.ends.lvp_end_list_val[i]);
  take_report (d, a, &ends.report);
  reply_report (d, conn, xid, ends.report.known);
  WIR_FREE (lvp_ends, &ends);
}

static void
lose_agent (struct dsp_dispatch *d, struct flt_agent *a, const char *why)
{
  flt_lost (a);
  brd_doubt (&d->board, a, a->dead_by_ns);
  log_line (
      LOGL_INFO, "agent-lost",
      "agent=%s why=\"%s\" heard_ms=%llu runs_end_in_ms=%llu", a->name, why,
      (unsigned long long)(clk_since (clk_boot (), a->heard_ns) / CLK_MS),
      (unsigned long long)(clk_since (a->dead_by_ns, clk_boot ()) / CLK_MS));
}

void
dsp_on_closed (struct onc_conn *conn, const struct err_error *err, void *priv)
{
  struct dsp_dispatch *d = priv;
  struct flt_agent *a = flt_by_conn (&d->fleet, conn);

  if (a != NULL)
    lose_agent (d, a, err->detail);
}

void
dsp_drop_silent (struct dsp_dispatch *d, uint64_t now_ns)
{
  struct flt_agent *a;
  struct flt_agent *next;

  DL_FOREACH_SAFE (d->fleet.agents, a, next)
  if (a->conn != NULL && !chn_fresh (a->heard_ns, now_ns))
    onc_close (a->conn, -ETIMEDOUT, "no report in time");
}
