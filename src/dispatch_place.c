#include "dispatch_parts.h"

#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "logline.h"
#include "wire.h"

/* Least time between two calls that tell agents of waiting work, ns.  */
#define HUNGRY_GAP_NS (20 * CLK_MS)
/* Services whose waiting jobs are told apart in one turn.  */
#define SERVICES_MAX 32

/* Stop what still runs of JOB, wherever an agent can be told.  */
void
dsp_stop_runs (struct dsp_dispatch *d, struct brd_job *job)
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
      if (job->tasks[i].state == BRD_PLACED
          && dsp_agent_of (&job->tasks[i]) == a)
        runs[stop.runs.runs_len++] = job->tasks[i].run;
    if (stop.runs.runs_len > 0)
      onc_call (a->conn, LVP_STOP, (xdrproc_t)xdr_lvp_stop, &stop, NULL, NULL);
    talloc_free (runs);
  }
}

/* Fill the table of places for tasks of SERVICE.  */
unsigned
dsp_list_hosts (struct dsp_dispatch *d, struct lv_slice service)
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
  log_ratelimited (
      LOGL_INFO, "place",
      "job=%s agent=%s tasks=%u first=%u free_mcores=%u report_ms=%llu",
      job->id, a->name, count, runs[0].index, a->free.mcores,
      (unsigned long long)(clk_since (clk_boot (), a->heard_ns) / CLK_MS));
  dsp_note_step (&job->tasks[runs[0].index], count, "order");
  onc_call (a->conn, LVP_ORDER, (xdrproc_t)xdr_lvp_order, &order, NULL, NULL);
}

/* Send the tasks of JOB that were placed from run FIRST_RUN on, one order to
   each of the COUNT hosts that has any.  */
static void
send_orders (struct dsp_dispatch *d, struct brd_job *job, uint64_t first_run,
             unsigned count)
{
  lvp_run *runs = talloc_array (NULL, lvp_run, job->count);
  unsigned h;
  uint32_t i;

  for (h = 0; h < count; h++)
    {
      unsigned n = 0;

      for (i = 0; i < job->count; i++)
        {
          const struct brd_task *task = &job->tasks[i];

          if (task->state != BRD_PLACED || task->run < first_run
              || dsp_agent_of (task) != d->host_agents[h])
            continue;
          runs[n].run = task->run;
          runs[n].index = task->index;
          runs[n++].attempt = task->attempt;
        }
      if (n > 0)
        send_order (d, d->host_agents[h], job, runs, n);
    }
  talloc_free (runs);
}

/* Place what fits of JOB at the N hosts listed for its service.  Return:
   whether all its waiting tasks did.  */
static bool
place_job (struct dsp_dispatch *d, struct brd_job *job, unsigned n)
{
  uint64_t first_run = d->board.next_run;
  uint64_t now = clk_now ();
  uint32_t waiting = job->waiting;
  bool was_behind = job->late && job->orders == 0;
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
  if (was_behind && job->orders > 0)
    drn_served (&d->behind, now);
  if (d->board.next_run > first_run)
    send_orders (d, job, first_run, n);
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

/* Services that have no room for the first of their waiting jobs.  */
struct full
{
  const char *service[SERVICES_MAX];
  unsigned count;
};

static bool
is_full (const struct full *full, const char *service)
{
  unsigned i;

  for (i = 0; i < full->count; i++)
    if (strcmp (full->service[i], service) == 0)
      return true;
  return false;
}

/* Place what waits.  Nothing passes the first job of its service that does not
   fit: small tasks would fill each gap, and large ones would never start.  */
static void
pump (struct dsp_dispatch *d)
{
  struct full full = { .count = 0 };
  const char *service = "";
  struct brd_job *job;
  struct brd_job *next;
  unsigned hosts = 0;

  brd_sort (&d->board, clk_now ());
  DL_FOREACH_SAFE (d->board.queue, job, next)
  {
    if (is_full (&full, job->service))
      continue;
    if (strcmp (service, job->service) != 0)
      hosts = dsp_list_hosts (d, lv_slice_of (job->service));
    service = job->service;
    if (place_job (d, job, hosts) || !spt_awaits (d->hosts, hosts, &job->need))
      continue;
    if (full.count == SERVICES_MAX)
      break;
    full.service[full.count++] = job->service;
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

void
dsp_pump_soon (struct dsp_dispatch *d)
{
  if (d->pump_set)
    return;
  d->pump_set = true;
  tevent_schedule_immediate (d->pump, d->ev, pump_cb, d);
}
