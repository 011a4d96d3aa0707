#include "dispatch_parts.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "logline.h"
#include "wire.h"
#include "xtalloc.h"

/* Shortest interval between announcements of waiting work to agents, ns.  */
#define DEMAND_INTERVAL_NS (20 * CLK_MS)
#define PERMILLE 1000

void
dsp_record_step (const struct jtb_task *task, uint32_t count, const char *kind)
{
  struct dsp_caller *caller = task->job->priv;
  struct slg_step step = {
    .kind = kind,
    .at_ms
    = (uint32_t)(clk_since (clk_boot (), task->job->arrived_ns) / CLK_MS),
    .task = task->index,
    .count = count,
    .attempt = task->attempt,
  };

  snprintf (step.instance, sizeof step.instance, "%.*s", SLG_INSTANCE_MAX - 1,
            dsp_agent_of (task)->name);
  slg_add (&caller->steps, caller, &step);
}

void
dsp_send_stop (struct flt_agent *a, lvp_stop *stop)
{
  int rc = onc_call (a->conn, LVP_STOP, (xdrproc_t)xdr_lvp_stop, stop, NULL,
                     NULL);

  if (rc != 0)
    log_line (LOGL_WARN, "stop-not-sent", "agent=%s runs=%u code=%d", a->name,
              stop->runs.runs_len, rc);
}

void
dsp_stop_runs (struct dsp_dispatch *d, struct jtb_job *job)
{
  struct flt_agent *a;
  uint32_t i;

  DL_FOREACH (d->fleet.agents, a)
  {
    lvp_stop stop = { 0 };
    u_quad_t *runs;

    if (a->conn == NULL)
      continue;
    runs = xtalloc_array (NULL, u_quad_t, job->count);
    stop.runs.runs_val = runs;
    for (i = 0; i < job->count; i++)
      if (job->tasks[i].state == JTB_PLACED
          && dsp_agent_of (&job->tasks[i]) == a)
        runs[stop.runs.runs_len++] = job->tasks[i].run;
    if (stop.runs.runs_len > 0)
      dsp_send_stop (a, &stop);
    talloc_free (runs);
  }
}

static struct cnd_candidate
make_candidate (const struct dsp_dispatch *d, const struct flt_agent *a,
                struct lv_slice service, bool confined)
{
  struct cnd_candidate c
      = flt_candidate (a, service, d->set.domain, clk_boot ());

  if (confined && !a->confining)
    c.usable = false;
  return c;
}

unsigned
dsp_list_candidates (struct dsp_dispatch *d, struct lv_slice service,
                     bool confined)
{
  struct flt_agent *a;
  unsigned n = 0;

  if (d->fleet.count > d->candidate_cap)
    {
      d->candidate_cap = d->fleet.count * 2;
      d->candidates = xtalloc_realloc (d->mem_ctx, d->candidates,
                                       struct cnd_candidate, d->candidate_cap);
      d->candidate_agents
          = xtalloc_realloc (d->mem_ctx, d->candidate_agents,
                             struct flt_agent *, d->candidate_cap);
      d->ahead = xtalloc_realloc (d->mem_ctx, d->ahead, struct lkh_agent,
                                  d->candidate_cap);
    }
  DL_FOREACH (d->fleet.agents, a)
  {
    d->candidate_agents[n] = a;
    d->candidates[n++] = make_candidate (d, a, service, confined);
  }
  return n;
}

static int
candidate_index (const struct dsp_dispatch *d, unsigned n,
                 const struct flt_agent *agent)
{
  unsigned i;

  for (i = 0; i < n; i++)
    if (d->candidate_agents[i] == agent)
      return (int)i;
  return -1;
}

static void
send_order (struct dsp_dispatch *d, struct flt_agent *a, struct jtb_job *job,
            lvp_run *runs, unsigned count)
{
  struct lv_slice spec = { job->spec, job->spec_len };
  char *queue = ((struct dsp_caller *)job->priv)->queue;
  lvp_order order = {
    .stamp_ms = a->stamp_ms,
    .job = job->id,
    .spec = wir_bytes (spec),
    .need = wir_amount (&job->need),
    .estimate_ms = job->estimate_ms,
    .runs = { count, runs },
    .queue = queue,
    .warmup = { job->warmup.warmup_ms, job->warmup.cold_per_ks },
    .failure_permille
    = (u_int)(PERMILLE
              * est_failure_rate (&d->fleet.estimates, lv_slice_of (queue)))
  };

  flt_record_order (a, &job->need, count);
  ctr_add (&d->counters, DSP_ORDERS, count);
  log_ratelimited (
      LOGL_INFO, "place",
      "job=%s agent=%s tasks=%u first=%u free_mcores=%u report_ms=%llu",
      job->id, a->name, count, runs[0].index, a->free.mcores,
      (unsigned long long)(clk_since (clk_boot (), a->last_report_ns)
                           / CLK_MS));
  dsp_record_step (&job->tasks[runs[0].index], count, "order");
  onc_call (a->conn, LVP_ORDER, (xdrproc_t)xdr_lvp_order, &order, NULL, NULL);
}

/* Send the tasks of JOB with run numbers from FIRST_RUN on, in one order to
   each agent among the first COUNT candidates that has any.  */
static void
send_orders (struct dsp_dispatch *d, struct jtb_job *job, uint64_t first_run,
             unsigned count)
{
  lvp_run *runs = xtalloc_array (NULL, lvp_run, job->count);
  unsigned c;
  uint32_t i;

  for (c = 0; c < count; c++)
    {
      unsigned n = 0;

      for (i = 0; i < job->count; i++)
        {
          const struct jtb_task *task = &job->tasks[i];

          if (task->state != JTB_PLACED || task->run < first_run
              || dsp_agent_of (task) != d->candidate_agents[c])
            continue;
          runs[n].run = task->run;
          runs[n].index = task->index;
          runs[n++].attempt = task->attempt;
        }
      if (n > 0)
        send_order (d, d->candidate_agents[c], job, runs, n);
    }
  talloc_free (runs);
}

/* Select one of the N candidates for TASK.  Return: its index, or -1.  */
static int
select_candidate (struct dsp_dispatch *d, const struct jtb_task *task,
                  unsigned n, bool confined)
{
  struct cnd_task wanted = { .need = task->job->need,
                             .avoid = candidate_index (d, n, task->avoid),
                             .spread = gsl_rng_uniform (d->rng),
                             .suspect = task->suspect,
                             .confined = confined };

  if (task->suspect && crl_must_wait (dsp_find_crashes (d, task)))
    return -1;
  if (task->suspect && crl_is_alert (&d->crashes, clk_boot ())
      && !cnd_may_lose_one (d->candidates, n))
    return -1;
  return cnd_select (d->candidates, n, &wanted);
}

/* Place waiting tasks of JOB at the N candidates of its service, BEHIND one
   for which room is held there.  Return: whether all of them fit, except for
   suspects, which nobody waits for.  */
static bool
place_job (struct dsp_dispatch *d, struct jtb_job *job, unsigned n,
           bool confined, bool behind)
{
  uint64_t first_run = d->jobs.next_run;
  uint64_t now = clk_boot ();
  uint32_t waiting = job->waiting;
  bool was_in_backlog = job->late && job->orders == 0;
  uint32_t i;

  for (i = 0; i < job->count && waiting > 0; i++)
    {
      struct jtb_task *task = &job->tasks[i];
      struct flt_agent *a;
      int at;

      if (task->state != JTB_WAITING)
        continue;
      at = select_candidate (d, task, n, confined);
      if (at < 0 && !task->suspect)
        break;
      waiting--;
      if (at < 0)
        continue;
      a = d->candidate_agents[at];
      jtb_place (&d->jobs, task, a, now);
      amt_subtract (&a->free, &job->need);
      flt_use_start (a);
      a->probe = false;
      a->suspects += task->suspect;
      d->candidates[at]
          = make_candidate (d, a, lv_slice_of (job->service), confined);
      if (behind)
        dsp_ahead_limit_one (d, job, (unsigned)at);
    }
  if (was_in_backlog && job->orders > 0)
    bkl_record_served (&d->backlog, now);
  if (d->jobs.next_run > first_run)
    send_orders (d, job, first_run, n);
  return waiting == 0;
}

/* Tell all agents that jobs wait here, so that they report free resources
   sooner.  */
static void
announce_demand (struct dsp_dispatch *d)
{
  uint64_t now = clk_boot ();
  struct flt_agent *a;

  if (clk_since (now, d->demand_sent_ns) < DEMAND_INTERVAL_NS)
    return;
  d->demand_sent_ns = now;
  DL_FOREACH (d->fleet.agents, a)
  if (a->conn != NULL && !flt_is_drained (a))
    onc_call (a->conn, LVP_HUNGRY, (xdrproc_t)(void *)xdr_void, NULL, NULL,
              NULL);
}

/* A service whose first waiting job does not fit, apart for jobs of confined
   queues.  */
struct blocked_service
{
  struct lv_slice service;
  bool confined;
};

/* Those of one placement pass, a talloc array.  */
struct blocked_services
{
  struct blocked_service *item;
  unsigned count;
};

static bool
is_blocked (const struct blocked_services *blocked, struct lv_slice service,
            bool confined)
{
  unsigned i;

  for (i = 0; i < blocked->count; i++)
    if (blocked->item[i].confined == confined
        && lv_slice_eq (blocked->item[i].service, service))
      return true;
  return false;
}

static void
block (struct blocked_services *blocked, struct lv_slice service,
       bool confined)
{
  struct blocked_service new = { service, confined };

  blocked->item = xtalloc_realloc (NULL, blocked->item, struct blocked_service,
                                   blocked->count + 1);
  blocked->item[blocked->count++] = new;
}

/* One pass over the queue.  HOLDING: the service for which room is held; the
   jobs behind the one that it is held for are placed around it.  */
struct pass
{
  struct blocked_services blocked;
  const char *holding;
  const char *listed; /* service of the candidates */
  bool listed_confined;
  unsigned count;
};

static bool
is_held (const struct pass *p, const struct jtb_job *job, bool confined)
{
  return p->holding != NULL && !confined
         && strcmp (p->holding, job->service) == 0;
}

/* List the candidates for JOB, unless they are those of the job before.  */
static void
list_for (struct dsp_dispatch *d, struct pass *p, const struct jtb_job *job,
          bool confined)
{
  if (p->listed == NULL || strcmp (p->listed, job->service) != 0
      || confined != p->listed_confined || is_held (p, job, confined))
    p->count = dsp_list_candidates (d, lv_slice_of (job->service), confined);
  p->listed = job->service;
  p->listed_confined = confined;
}

/* Place JOB around what is held for another one, if it fits as a whole.  */
static void
place_behind (struct dsp_dispatch *d, struct pass *p, struct jtb_job *job)
{
  uint32_t waiting = job->waiting;

  if (!dsp_ahead_limit (d, job, p->count))
    return;
  place_job (d, job, p->count, false, true);
  ctr_add (&d->counters, DSP_BACKFILLED, waiting - job->waiting);
}

/* Place JOB as far as it fits.  A job that does not fit now, but could later,
   blocks the jobs behind it of the same service, unless room can be held for
   it: small tasks would take all resources that become free, and large ones
   would starve.  */
static void
place_next (struct dsp_dispatch *d, struct pass *p, struct jtb_job *job,
            bool confined)
{
  if (place_job (d, job, p->count, confined, false))
    dsp_ahead_placed (d, job);
  else if (!cnd_usable_could_fit (d->candidates, p->count, &job->need))
    return;
  else if (!confined && dsp_ahead_hold (d, job, p->count))
    p->holding = job->service;
  else
    {
      job->reserving = cnd_is_large (d->candidates, p->count, &job->need);
      block (&p->blocked, lv_slice_of (job->service), confined);
    }
}

/* Place waiting tasks in queue order, once it is known which failure domains
   are drained.  */
static void
place_waiting (struct dsp_dispatch *d)
{
  struct pass p = { .holding = NULL };
  struct jtb_job *job;
  struct jtb_job *next;

  if (!drn_known (&d->drains))
    return;
  jtb_demote_late (&d->jobs, clk_boot ());
  dsp_count_suspects (d);
  ctr_set_gauge (&d->counters, DSP_HELD_MCORES, 0);
  DL_FOREACH_SAFE (d->jobs.queue, job, next)
  {
    bool confined = dsp_is_confined (d, job);

    if (is_blocked (&p.blocked, lv_slice_of (job->service), confined)
        || abd_any (&d->abandoned, lv_slice_of (job->id)))
      continue;
    list_for (d, &p, job, confined);
    if (is_held (&p, job, confined))
      place_behind (d, &p, job);
    else
      place_next (d, &p, job, confined);
  }
  talloc_free (p.blocked.item);
  if (d->jobs.queue != NULL)
    announce_demand (d);
}

static void
on_placement (struct tevent_context *ev, struct tevent_immediate *im,
              void *priv)
{
  struct dsp_dispatch *d = priv;

  (void)ev;
  (void)im;
  d->placement_scheduled = false;
  place_waiting (d);
}

void
dsp_schedule_placement (struct dsp_dispatch *d)
{
  if (d->placement_scheduled)
    return;
  d->placement_scheduled = true;
  tevent_schedule_immediate (d->placement, d->ev, on_placement, d);
}
