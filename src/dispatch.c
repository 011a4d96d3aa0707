#include "dispatch.h"

#include <errno.h>
#include <stdio.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "entropy.h"
#include "logline.h"
#include "net.h"
#include "tick.h"
#include "wire.h"

#define TICK_MS 25
/* Least time between two calls that tell agents of waiting work, ns.  */
#define HUNGRY_GAP_NS (20 * CLK_MS)
/* Jobs at the head of the queue that are tried when the first does not fit. */
#define TRY_JOBS 12
/* Time after the start for which callers are let in although no agent has
   joined yet: agents are there sooner than the next health check.  */
#define START_NS (1500 * CLK_MS)
/* Time after the start for which requests wait for a configuration, ns: less
   than callers take to send one again.  */
#define CONFIG_WAIT_NS (600 * CLK_MS)
/* A task may take so many times what it declares, its wait included.  */
#define LEAVE_FACTOR 3
/* What a caller is told to wait when nothing better is known, ms.  */
#define RETRY_MS 1000

static const struct ctr_desc descs[] = {
  { "lagoonvale_jobs_total", "jobs handed in", false },
  { "lagoonvale_jobs_complete_total", "jobs answered as complete", false },
  { "lagoonvale_jobs_failed_total", "jobs with a task out of attempts",
    false },
  { "lagoonvale_jobs_refused_total", "jobs refused, not run", false },
  { "lagoonvale_jobs_gave_up_total", "jobs given up, may have run", false },
  { "lagoonvale_jobs_withdrawn_total", "jobs whose caller left or cancelled",
    false },
  { "lagoonvale_orders_total", "task starts ordered", false },
  { "lagoonvale_tasks_done_total", "runs ended well", false },
  { "lagoonvale_tasks_again_total", "runs that ended otherwise", false },
  { "lagoonvale_no_room_total", "orders refused for want of room", false },
  { "lagoonvale_agents", "agents that have joined", true },
  { "lagoonvale_open_jobs", "jobs that are not answered yet", true },
  { "lagoonvale_waiting_mcore_ms", "declared work that waits", true },
  { "lagoonvale_config_version", "configuration in force", true },
};

static void pump_soon (struct dsp_dispatch *d);

static struct flt_agent *
agent_of (const struct brd_task *task)
{
  return task->host;
}

/* Stop what still runs of JOB, wherever an agent can be told.  */
static void
stop_runs (struct dsp_dispatch *d, struct brd_job *job)
{
  struct flt_agent *a;
  uint32_t i;

  DL_FOREACH (d->fleet.agents, a)
  {
    lvp_stop stop = { 0 };
    u_quad_t *runs;

    if (a->conn == NULL)
      continue;
    runs = talloc_array (NULL, u_quad_t, job->count);
    stop.runs.runs_val = runs;
    for (i = 0; i < job->count; i++)
      if (job->tasks[i].state == BRD_PLACED && agent_of (&job->tasks[i]) == a)
        runs[stop.runs.runs_len++] = job->tasks[i].run;
    if (stop.runs.runs_len > 0)
      onc_call (a->conn, LVP_STOP, (xdrproc_t)xdr_lvp_stop, &stop, NULL, NULL);
    talloc_free (runs);
  }
}

/* What the board keeps for the owner of a job.  */
struct caller
{
  void (*answer) (const struct dsp_answer *answer, void *priv);
  void *priv;
  char *queue;
};

static void
remove_job (struct dsp_dispatch *d, struct brd_job *job)
{
  stop_runs (d, job);
  brd_remove (&d->board, job);
}

static void
count_answer (struct dsp_dispatch *d, const struct dsp_answer *answer)
{
  static const enum dsp_counter ids[] = { [DSP_COMPLETE] = DSP_JOBS_COMPLETE,
                                          [DSP_FAILED] = DSP_JOBS_FAILED,
                                          [DSP_REFUSED] = DSP_JOBS_REFUSED,
                                          [DSP_GAVE_UP] = DSP_JOBS_GAVE_UP };

  ctr_add (&d->counters, ids[answer->outcome], 1);
}

/* Where a task that has not ended was ordered last, for the log.  */
static const char *
stuck_at (const struct brd_job *job)
{
  uint32_t i;

  for (i = 0; i < job->count; i++)
    if (job->tasks[i].state == BRD_PLACED
        || job->tasks[i].state == BRD_DOUBTFUL)
      return agent_of (&job->tasks[i])->name;
  return "-";
}

/* Lines of jobs that were not complete in time are never left out.  */
static void
log_end (const struct brd_job *job, const char *queue,
         enum dsp_outcome outcome, const char *why, uint64_t now_ns)
{
  static const char *const names[] = { [DSP_COMPLETE] = "complete",
                                       [DSP_FAILED] = "failed",
                                       [DSP_REFUSED] = "refused",
                                       [DSP_GAVE_UP] = "gave-up" };
  unsigned long long age_ms = clk_since (now_ns, job->arrived_ns) / CLK_MS;
  unsigned long long target_ms
      = clk_since (job->target_ns, job->arrived_ns) / CLK_MS;

  if (outcome == DSP_COMPLETE && age_ms <= target_ms)
    log_often (LOGL_INFO, "job-end",
               "job=%s queue=%s outcome=complete age_ms=%llu target_ms=%llu "
               "tasks=%u orders=%u",
               job->id, queue, age_ms, target_ms, job->count, job->orders);
  else
    log_line (LOGL_INFO, "job-end",
              "job=%s queue=%s outcome=%s why=%s age_ms=%llu target_ms=%llu "
              "tasks=%u open=%u waiting=%u orders=%u stuck_at=%s",
              job->id, queue, names[outcome], why, age_ms, target_ms,
              job->count, job->open, job->waiting, job->orders,
              stuck_at (job));
}

static void
answer_job (struct dsp_dispatch *d, struct brd_job *job,
            enum dsp_outcome outcome, const char *why)
{
  struct caller caller = *(struct caller *)job->priv;
  struct dsp_answer answer = { outcome, why, 0 };
  uint64_t now = clk_now ();

  if (outcome == DSP_REFUSED)
    answer.retry_ms = RETRY_MS;
  log_end (job, caller.queue, outcome, why, now);
  count_answer (d, &answer);
  caller.answer (&answer, caller.priv);
  remove_job (d, job);
}

static void
verdict (struct dsp_dispatch *d, struct brd_job *job, enum brd_verdict v)
{
  if (v == BRD_COMPLETE)
    answer_job (d, job, DSP_COMPLETE, "done");
  else if (v == BRD_FAILED)
    answer_job (d, job, DSP_FAILED, "attempts");
}

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

static void
end_run (struct dsp_dispatch *d, struct flt_agent *a, const lvp_end *end)
{
  struct brd_task *task = brd_run (&d->board, end->run);
  struct brd_job *job;
  const struct caller *caller;

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
      verdict (d, job, brd_done (&d->board, task));
      return;
    }
  ctr_add (&d->counters,
           end->how == LVP_HOW_NO_ROOM ? DSP_NO_ROOM : DSP_TASKS_AGAIN, 1);
  log_often (LOGL_INFO, "task-again",
             "job=%s task=%u attempt=%u agent=%s how=%s ran_ms=%u", job->id,
             task->index, task->attempt, a->name, how_name (end->how),
             end->ran_ms);
  if (never_started (end->how))
    job->orders--;
  verdict (d, job, brd_again (&d->board, task, end->how == LVP_HOW_FAILED));
}

/* A run is known to be over for a reason that nobody is blamed for.  */
static void
release_run (struct dsp_dispatch *d, struct brd_task *task, const char *why)
{
  log_line (LOGL_INFO, "task-again", "job=%s task=%u attempt=%u why=%s",
            task->job->id, task->index, task->attempt, why);
  ctr_add (&d->counters, DSP_TASKS_AGAIN, 1);
  brd_again (&d->board, task, false);
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
    if (agent_of (task) != a)
      continue;
    if (ours && holds (join, task->run))
      task->state = BRD_PLACED;
    else if (join->report.synced)
      release_run (d, task, "agent-joined");
  }
}

static lvp_report_res
report_res (struct dsp_dispatch *d, lvp_endpoint room[PER_MAX])
{
  lvp_report_res res = { 0 };

  res.hungry = d->board.queue != NULL;
  res.entries = per_list (&d->peers, clk_boot (), room);
  return res;
}

static void
on_join (struct dsp_dispatch *d, struct onc_conn *conn, uint32_t xid,
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
  a = flt_join (&d->fleet, conn, &join, clk_boot ());
  log_line (LOGL_INFO, "agent-joined",
            "agent=%s incarnation=%llx runs=%u synced=%d accepting=%d "
            "total_mcores=%u free_mcores=%u",
            a->name, (unsigned long long)a->incarnation, join.runs.runs_len,
            a->synced, a->accepting, a->total.mcores, a->free.mcores);
  reconcile (d, a, &join);
  WIR_FREE (lvp_join, &join);
  res.incarnation = d->incarnation;
  res.report = report_res (d, room);
  onc_reply (conn, xid, (xdrproc_t)xdr_lvp_join_res, &res);
  pump_soon (d);
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
    if (agent_of (task) == a && task->state == BRD_DOUBTFUL)
      release_run (d, task, "agent-synced");
  }
}

static void
take_report (struct dsp_dispatch *d, struct flt_agent *a,
             const lvp_report *report)
{
  bool was_synced = a->synced;

  flt_report (a, report, clk_boot ());
  if (!was_synced && a->synced)
    note_synced (d, a);
  if (d->board.queue != NULL)
    pump_soon (d);
}

static void
reply_report (struct dsp_dispatch *d, struct onc_conn *conn, uint32_t xid)
{
  lvp_endpoint room[PER_MAX];
  lvp_report_res res = report_res (d, room);

  onc_reply (conn, xid, (xdrproc_t)xdr_lvp_report_res, &res);
}

static void
on_report (struct dsp_dispatch *d, struct onc_conn *conn, uint32_t xid,
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
  reply_report (d, conn, xid);
}

static void
on_ends (struct dsp_dispatch *d, struct onc_conn *conn, uint32_t xid,
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
  WIR_FREE (lvp_ends, &ends);
  reply_report (d, conn, xid);
}

static void
on_call (struct onc_conn *conn, uint32_t xid, uint32_t proc, XDR *args,
         void *priv)
{
  struct dsp_dispatch *d = priv;

  switch (proc)
    {
    case LVP_JOIN:
      on_join (d, conn, xid, args);
      break;
    case LVP_REPORT:
      on_report (d, conn, xid, args);
      break;
    case LVP_ENDS:
      on_ends (d, conn, xid, args);
      break;
    case LVP_PEER:
      per_on_peer (&d->peers, conn, xid, args, clk_boot ());
      break;
    case LVP_CONFIG:
      per_on_config (d->config, conn, xid);
      break;
    default:
      onc_close (conn, -EPROTO, "unknown procedure");
    }
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

static void
on_closed (struct onc_conn *conn, const struct err_error *err, void *priv)
{
  struct dsp_dispatch *d = priv;
  struct flt_agent *a = flt_by_conn (&d->fleet, conn);

  if (a != NULL)
    lose_agent (d, a, err->detail);
}

static void
accepted (int fd, const char *peer, void *priv)
{
  struct dsp_dispatch *d = priv;
  struct onc_handler handler = { on_call, on_closed, d };

  onc_attach (d->mem_ctx, d->ev, fd, peer, &handler);
}

/* Fill the table of places for tasks of SERVICE.  */
static unsigned
list_hosts (struct dsp_dispatch *d, struct lv_slice service)
{
  struct flt_agent *a;
  uint64_t now = clk_boot ();
  unsigned n = 0;

  if (d->fleet.count > d->host_cap)
    {
      d->host_cap = d->fleet.count * 2;
      d->hosts = talloc_realloc (d->mem_ctx, d->hosts, struct spt_host,
                                 d->host_cap);
      d->host_agents = talloc_realloc (d->mem_ctx, d->host_agents,
                                       struct flt_agent *, d->host_cap);
    }
  DL_FOREACH (d->fleet.agents, a)
  {
    d->host_agents[n] = a;
    d->hosts[n++] = flt_host (a, service, d->set.domain, now);
  }
  return n;
}

static int
index_of (const struct dsp_dispatch *d, unsigned n,
          const struct flt_agent *agent)
{
  unsigned i;

  for (i = 0; i < n; i++)
    if (d->host_agents[i] == agent)
      return (int)i;
  return -1;
}

static void
send_order (struct dsp_dispatch *d, struct flt_agent *a, struct brd_job *job,
            lvp_run *runs, unsigned count)
{
  struct lv_slice spec = { job->spec, job->spec_len };
  lvp_order order = { .stamp_ms = a->stamp_ms,
                      .job = job->id,
                      .spec = wir_bytes (spec),
                      .need = wir_amount (&job->need),
                      .estimate_ms = job->estimate_ms,
                      .runs = { count, runs } };

  flt_ordered (a, &job->need, count);
  ctr_add (&d->counters, DSP_ORDERS, count);
  log_line (
      LOGL_DEBUG, "place",
      "job=%s agent=%s tasks=%u first=%u free_mcores=%u report_ms=%llu",
      job->id, a->name, count, runs[0].index, a->free.mcores,
      (unsigned long long)(clk_since (clk_boot (), a->heard_ns) / CLK_MS));
  onc_call (a->conn, LVP_ORDER, (xdrproc_t)xdr_lvp_order, &order, NULL, NULL);
}

/* Send the tasks of JOB that were just placed, one order to each agent.  */
static void
send_orders (struct dsp_dispatch *d, struct brd_job *job, uint64_t first_run)
{
  lvp_run *runs = talloc_array (NULL, lvp_run, job->count);
  uint32_t i;
  uint32_t j;

  for (i = 0; i < job->count; i++)
    {
      struct flt_agent *a = agent_of (&job->tasks[i]);
      unsigned n = 0;

      if (job->tasks[i].state != BRD_PLACED || job->tasks[i].run < first_run)
        continue;
      for (j = 0; j < i; j++)
        if (job->tasks[j].state == BRD_PLACED && job->tasks[j].run >= first_run
            && agent_of (&job->tasks[j]) == a)
          break;
      if (j < i)
        continue;
      for (; j < job->count; j++)
        if (job->tasks[j].state == BRD_PLACED && job->tasks[j].run >= first_run
            && agent_of (&job->tasks[j]) == a)
          {
            runs[n].run = job->tasks[j].run;
            runs[n].index = job->tasks[j].index;
            runs[n++].attempt = job->tasks[j].attempt;
          }
      send_order (d, a, job, runs, n);
    }
  talloc_free (runs);
}

/* Place what fits of JOB.  Return: whether all its waiting tasks did.  */
static bool
place_job (struct dsp_dispatch *d, struct brd_job *job)
{
  unsigned n = list_hosts (d, lv_slice_of (job->service));
  uint64_t first_run = d->board.next_run;
  uint64_t now = clk_now ();
  uint32_t waiting = job->waiting;
  uint32_t i;

  for (i = 0; i < job->count && waiting > 0; i++)
    {
      struct brd_task *task = &job->tasks[i];
      int at;

      if (task->state != BRD_WAITING)
        continue;
      at = spt_choose (d->hosts, n, &job->need, index_of (d, n, task->avoid),
                       gsl_rng_uniform (d->rng));
      if (at < 0)
        break;
      waiting--;
      brd_place (&d->board, task, d->host_agents[at], now);
      amt_take (&d->host_agents[at]->free, &job->need);
      hlt_probe (&d->host_agents[at]->health);
      d->hosts[at] = flt_host (d->host_agents[at], lv_slice_of (job->service),
                               d->set.domain, clk_boot ());
    }
  if (d->board.next_run > first_run)
    send_orders (d, job, first_run);
  return waiting == 0;
}

/* Agents tell an entry of free room sooner when they know that it waits.  */
static void
tell_hungry (struct dsp_dispatch *d)
{
  uint64_t now = clk_boot ();
  struct flt_agent *a;

  if (clk_since (now, d->hungry_ns) < HUNGRY_GAP_NS)
    return;
  d->hungry_ns = now;
  DL_FOREACH (d->fleet.agents, a)
  if (a->conn != NULL)
    onc_call (a->conn, LVP_HUNGRY, (xdrproc_t)(void *)xdr_void, NULL, NULL,
              NULL);
}

static void
pump (struct dsp_dispatch *d)
{
  struct brd_job *job;
  struct brd_job *next;
  unsigned tried = 0;

  brd_sort (&d->board, clk_now ());
  DL_FOREACH_SAFE (d->board.queue, job, next)
  {
    if (!place_job (d, job) && ++tried >= TRY_JOBS)
      break;
  }
  if (d->board.queue != NULL)
    tell_hungry (d);
}

static void
pump_cb (struct tevent_context *ev, struct tevent_immediate *im, void *priv)
{
  struct dsp_dispatch *d = priv;

  (void)ev;
  (void)im;
  d->pump_set = false;
  pump (d);
}

static void
pump_soon (struct dsp_dispatch *d)
{
  if (d->pump_set)
    return;
  d->pump_set = true;
  tevent_schedule_immediate (d->pump, d->ev, pump_cb, d);
}

/* Jobs whose caller has stopped waiting, or whom no answer helps any more.  */
static void
give_up_late (struct dsp_dispatch *d, uint64_t now_ns)
{
  struct brd_job *job;
  struct brd_job *next;

  HASH_ITER (hh, d->board.jobs, job, next)
  {
    if (now_ns >= job->deadline_ns)
      answer_job (d, job, job->orders > 0 ? DSP_GAVE_UP : DSP_REFUSED,
                  "deadline");
  }
}

/** struct dsp_waiter - a request that came before any configuration */
struct dsp_waiter
{
  void (*ready) (void *priv);
  void *priv;
  struct dsp_waiter *prev;
  struct dsp_waiter *next;
};

/* Whether requests wait until a configuration is known.  */
static bool
awaits_config (const struct dsp_dispatch *d)
{
  return d->config == NULL
         && clk_since (clk_boot (), d->started_ns) < CONFIG_WAIT_NS;
}

static void
call_waiters (struct dsp_dispatch *d)
{
  struct dsp_waiter *w;

  while (!awaits_config (d) && (w = d->waiters) != NULL)
    {
      DL_DELETE (d->waiters, w);
      w->ready (w->priv);
      talloc_free (w);
    }
}

struct dsp_waiter *
dsp_when_configured (struct dsp_dispatch *d, void (*ready) (void *priv),
                     void *priv)
{
  struct dsp_waiter *w;

  if (!awaits_config (d))
    {
      ready (priv);
      return NULL;
    }
  w = talloc_zero (d->mem_ctx, struct dsp_waiter);
  w->ready = ready;
  w->priv = priv;
  DL_APPEND (d->waiters, w);
  return w;
}

void
dsp_forget_waiter (struct dsp_dispatch *d, struct dsp_waiter *w)
{
  DL_DELETE (d->waiters, w);
  talloc_free (w);
}

static void
drop_silent (struct dsp_dispatch *d, uint64_t now_ns)
{
  struct flt_agent *a;
  struct flt_agent *next;

  DL_FOREACH_SAFE (d->fleet.agents, a, next)
  if (a->conn != NULL && !chn_fresh (a->heard_ns, now_ns))
    onc_close (a->conn, -ETIMEDOUT, "no report in time");
}

/* One line a second: what there is and what waits.  */
static void
log_load (struct dsp_dispatch *d, uint64_t now_ns)
{
  struct amt_amount total = { 0 };
  struct amt_amount left = { 0 };
  const struct flt_agent *a;
  unsigned open = 0;

  if (clk_since (now_ns, d->logged_ns) < CLK_S)
    return;
  d->logged_ns = now_ns;
  DL_FOREACH (d->fleet.agents, a)
  {
    if (a->conn == NULL || !a->accepting)
      continue;
    open++;
    amt_add (&total, &a->total);
    amt_add (&left, &a->free);
  }
  log_line (LOGL_INFO, "load",
            "agents=%u accepting=%u total_mcores=%u free_mcores=%u jobs=%u "
            "waiting_mcore_ms=%llu orders=%llu no_room=%llu complete=%llu",
            d->fleet.count, open, total.mcores, left.mcores,
            HASH_COUNT (d->board.jobs),
            (unsigned long long)d->board.work_mcore_ms,
            (unsigned long long)ctr_read (&d->counters, DSP_ORDERS),
            (unsigned long long)ctr_read (&d->counters, DSP_NO_ROOM),
            (unsigned long long)ctr_read (&d->counters, DSP_JOBS_COMPLETE));
}

static void
tick (void *priv)
{
  struct dsp_dispatch *d = priv;
  uint64_t now = clk_boot ();

  drop_silent (d, now);
  call_waiters (d);
  per_tick (&d->peers, now);
  give_up_late (d, clk_now ());
  brd_tick (&d->board, now);
  flt_expire (&d->fleet, now);
  if (d->board.queue != NULL)
    pump_soon (d);
  log_load (d, now);
  ctr_set_gauge (&d->counters, DSP_AGENTS, d->fleet.count);
  ctr_set_gauge (&d->counters, DSP_OPEN_JOBS, HASH_COUNT (d->board.jobs));
  ctr_set_gauge (&d->counters, DSP_WAITING_MCORE_MS, d->board.work_mcore_ms);
  log_flush ();
}

static void
peer_config (struct cat_config *config, const char *source, void *priv)
{
  dsp_config (priv, config, source);
}

static uint64_t
config_version (void *priv)
{
  const struct dsp_dispatch *d = priv;

  return d->config != NULL ? d->config->version : 0;
}

void
dsp_seeds (struct dsp_dispatch *d, const struct set_strings *seeds)
{
  unsigned i;

  for (i = 0; i < seeds->count; i++)
    per_add_text (&d->peers, seeds->item[i], clk_boot ());
}

int
dsp_init (struct dsp_dispatch *d, void *mem_ctx, struct tevent_context *ev,
          const struct dsp_settings *settings)
{
  struct per_events events = { peer_config, config_version, d };
  int rc;

  memset (d, 0, sizeof *d);
  d->set = *settings;
  d->ev = ev;
  d->mem_ctx = mem_ctx;
  d->incarnation = rnd_u64 ();
  d->started_ns = clk_boot ();
  d->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (d->rng, (unsigned long)d->incarnation);
  d->pump = tevent_create_immediate (mem_ctx);
  brd_init (&d->board, mem_ctx);
  flt_init (&d->fleet, mem_ctx);
  ctr_init (&d->counters, descs, DSP_COUNTERS);
  rc = per_init (&d->peers, mem_ctx, ev, settings->advertise, d->incarnation,
                 &events);
  if (rc == 0)
    rc = net_serve (mem_ctx, ev, settings->rpc, accepted, d);
  if (rc == 0)
    rc = tck_start (mem_ctx, ev, TICK_MS, tick, d);
  if (rc == 0)
    dsp_seeds (d, &settings->seeds);
  return rc;
}

void
dsp_finish (struct dsp_dispatch *d)
{
  brd_finish (&d->board);
  flt_finish (&d->fleet);
  gsl_rng_free (d->rng);
}

void
dsp_config (struct dsp_dispatch *d, struct cat_config *config,
            const char *source)
{
  uint64_t before = config_version (d);

  d->config = cat_adopt (d->config, config);
  if (config_version (d) == before)
    return;
  ctr_set_gauge (&d->counters, DSP_CONFIG_VERSION, d->config->version);
  log_line (LOGL_INFO, "config", "version=%llu before=%llu queues=%u from=%s",
            (unsigned long long)d->config->version, (unsigned long long)before,
            d->config->count, source);
}

bool
dsp_ready (const struct dsp_dispatch *d)
{
  const struct flt_agent *a;

  if (d->leaving || d->config == NULL)
    return false;
  DL_FOREACH (d->fleet.agents, a)
  if (a->conn != NULL && a->accepting)
    return true;
  return clk_since (clk_boot (), d->started_ns) < START_NS;
}

static void
refuse (struct dsp_dispatch *d, const struct dsp_job *job, const char *why)
{
  struct dsp_answer answer = { DSP_REFUSED, why, RETRY_MS };

  log_line (LOGL_INFO, "job-refused", "job=%.*s queue=%s why=%s agents=%u",
            (int)job->id.len, job->id.data, job->queue->name, why,
            d->fleet.count);
  count_answer (d, &answer);
  job->answer (&answer, job->priv);
}

static struct brd_demand
demand_of (const struct dsp_job *job)
{
  const struct cat_queue *q = job->queue;
  uint64_t work_ms
      = (uint64_t)job->estimate_ms * q->slack_permille / 1000 + q->target_ms;
  uint64_t patience_ms
      = job->patience_ms > 0 ? job->patience_ms : q->timeout_ms;
  struct brd_demand demand = { .id = job->id,
                               .spec = job->spec,
                               .service = lv_slice_of (q->service),
                               .need = job->need,
                               .estimate_ms = job->estimate_ms,
                               .count = job->count,
                               .priority = q->priority,
                               .attempts = q->attempts,
                               .target_ns = work_ms * CLK_MS,
                               .patience_ns = patience_ms * CLK_MS };

  return demand;
}

/* Whether an agent that is known could hold a task of JOB when empty.  Shortly
   after the start agents may be missing.  */
static bool
can_hold (struct dsp_dispatch *d, const struct dsp_job *job)
{
  unsigned n = list_hosts (d, lv_slice_of (job->queue->service));

  return clk_since (clk_boot (), d->started_ns) < START_NS
         || spt_possible (d->hosts, n, &job->need);
}

/* Whether JOB surely ends while this entry is still there.  */
static bool
ends_in_time (const struct dsp_dispatch *d, const struct dsp_job *job)
{
  uint64_t run_ns = job->estimate_ms * LEAVE_FACTOR * CLK_MS;
  uint64_t target_ns = job->queue->target_ms * CLK_MS;

  return !d->leaving || clk_boot () + run_ns + target_ns < d->until_ns;
}

/* The same job is sent again while it runs: the newer caller gets its end.  */
static void
take_over (struct dsp_dispatch *d, struct brd_job *taken,
           const struct dsp_job *job, uint64_t patience_ns)
{
  struct dsp_answer answer = { DSP_GAVE_UP, "sent-again", 0 };
  struct caller *caller = taken->priv;

  log_line (LOGL_INFO, "job-again", "job=%s open=%u", taken->id, taken->open);
  count_answer (d, &answer);
  caller->answer (&answer, caller->priv);
  caller->answer = job->answer;
  caller->priv = job->priv;
  taken->deadline_ns = clk_now () + patience_ns;
}

void
dsp_submit (struct dsp_dispatch *d, const struct dsp_job *job)
{
  struct brd_demand demand = demand_of (job);
  struct brd_job *taken = brd_find (&d->board, job->id);
  struct caller *caller;

  ctr_add (&d->counters, DSP_JOBS, 1);
  if (taken != NULL)
    {
      take_over (d, taken, job, demand.patience_ns);
      return;
    }
  if (!ends_in_time (d, job))
    {
      refuse (d, job, "leaving");
      return;
    }
  if (!can_hold (d, job))
    {
      refuse (d, job, "no-agent-fits");
      return;
    }
  taken = brd_add (&d->board, &demand, clk_now ());
  if (taken == NULL)
    {
      refuse (d, job, "bad-id");
      return;
    }
  caller = talloc_zero (taken, struct caller);
  caller->answer = job->answer;
  caller->priv = job->priv;
  caller->queue = talloc_strdup (caller, job->queue->name);
  taken->priv = caller;
  log_often (LOGL_INFO, "job",
             "job=%s queue=%s tasks=%u mcores=%u "
             "estimate_ms=%u target_ms=%llu patience_ms=%u config=%llu",
             taken->id, caller->queue, taken->count, taken->need.mcores,
             taken->estimate_ms,
             (unsigned long long)(demand.target_ns / CLK_MS), job->patience_ms,
             (unsigned long long)config_version (d));
  pump_soon (d);
}

bool
dsp_withdraw (struct dsp_dispatch *d, struct lv_slice id, const char *why)
{
  struct brd_job *job = brd_find (&d->board, id);

  if (job == NULL)
    return false;
  log_line (LOGL_INFO, "job-withdrawn", "job=%s why=%s open=%u orders=%u",
            job->id, why, job->open, job->orders);
  ctr_add (&d->counters, DSP_JOBS_WITHDRAWN, 1);
  remove_job (d, job);
  return true;
}

unsigned
dsp_pending (const struct dsp_dispatch *d, const struct cat_queue *queue)
{
  const struct brd_job *job;
  unsigned n = 0;

  for (job = d->board.jobs; job != NULL; job = job->hh.next)
    if (job->orders == 0
        && strcmp (((const struct caller *)job->priv)->queue, queue->name)
               == 0)
      n++;
  return n;
}

void
dsp_leave (struct dsp_dispatch *d, uint64_t until_ns)
{
  d->leaving = true;
  d->until_ns = until_ns;
}
