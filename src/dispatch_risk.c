#include "dispatch_parts.h"

#include <talloc.h>
#include <utlist.h>

#include "lagoonvale/subset.h"
#include "logline.h"
#include "xtalloc.h"

/* Largest share of the placed work, per cent, of queues that are confined:
   they must leave most agents to somebody.  */
#define CONFINED_LOAD_MAX_PERCENT 50

const struct crl_task *
dsp_find_crashes (const struct dsp_dispatch *d, const struct jtb_task *task)
{
  char name[RTK_NAME_MAX];

  if (d->crashes.tasks == NULL)
    return NULL;
  return crl_find (&d->crashes, lv_slice_of (dsp_task_name (task, name)));
}

const struct crl_task *
dsp_record_crash_end (struct dsp_dispatch *d, struct jtb_task *task)
{
  const struct crl_task *known = dsp_find_crashes (d, task);
  char name[RTK_NAME_MAX];
  struct crl_run run = { .age_ms = 0, .executed = true };

  if (known == NULL || known->newest_ns < task->placed_ns)
    {
      run.task = lv_slice_of (dsp_task_name (task, name));
      crl_record (&d->crashes, &run, 1, clk_boot ());
      known = crl_find (&d->crashes, run.task);
    }
  task->suspect = crl_is_suspect (known);
  return known;
}

static uint64_t
loss_time (const lvp_loss *loss)
{
  return clk_since (clk_boot (), loss->ago_ms * CLK_MS);
}

static void
record_young_queues (struct dsp_dispatch *d, const lvp_loss *crash)
{
  struct blk_young young[LVP_LOST_MAX];
  const char *confined;
  unsigned n = 0;
  u_int i;

  if (crash->ago_ms >= BLK_WINDOW_NS / CLK_MS)
    return;
  for (i = 0; i < crash->runs.runs_len; i++)
    {
      const lvp_lost_run *run = &crash->runs.runs_val[i];

      if (run->age_ms >= BLK_YOUNG_MS)
        continue;
      young[n].queue = lv_slice_of (run->queue);
      young[n++].presence = run->presence_permille / 1000.0;
    }
  confined = blk_record_crash (&d->bulkhead, young, n, loss_time (crash));
  if (confined != NULL)
    log_line (LOGL_WARN, "queue-confined", "queue=%s agents=%u", confined,
              d->fleet.count);
}

/* Apply to waiting tasks what the newest loss showed of them.  */
static void
update_suspects (struct dsp_dispatch *d)
{
  struct jtb_job *job;
  uint32_t i;

  DL_FOREACH (d->jobs.queue, job)
  for (i = 0; i < job->count; i++)
    if (job->tasks[i].suspect)
      job->tasks[i].suspect
          = crl_is_suspect (dsp_find_crashes (d, &job->tasks[i]));
}

/* The runs of LOSS, to be freed.  */
static struct crl_run *
list_runs (const lvp_loss *loss)
{
  struct crl_run *runs
      = xtalloc_array (NULL, struct crl_run, loss->runs.runs_len);
  u_int i;

  for (i = 0; i < loss->runs.runs_len; i++)
    {
      runs[i].task = lv_slice_of (loss->runs.runs_val[i].task);
      runs[i].age_ms = loss->runs.runs_val[i].age_ms;
      runs[i].executed = loss->runs.runs_val[i].executed;
    }
  return runs;
}

void
dsp_record_loss (struct dsp_dispatch *d, const lvp_loss *loss)
{
  struct crl_run *runs = list_runs (loss);

  if (loss->fate == LVP_FATE_CRASHED)
    crl_record (&d->crashes, runs, loss->runs.runs_len, loss_time (loss));
  else
    crl_record_silence (&d->crashes, runs, loss->runs.runs_len,
                        loss_time (loss));
  talloc_free (runs);
  update_suspects (d);
  if (loss->fate == LVP_FATE_CRASHED)
    record_young_queues (d, loss);
}

void
dsp_resolve_silence (struct dsp_dispatch *d, const lvp_loss *loss)
{
  struct crl_run *runs = list_runs (loss);
  bool crashed = loss->fate == LVP_FATE_CRASHED;

  crl_resolve_silence (&d->crashes, runs, loss->runs.runs_len, crashed,
                       loss_time (loss));
  talloc_free (runs);
  update_suspects (d);
  if (crashed)
    record_young_queues (d, loss);
}

void
dsp_count_suspects (struct dsp_dispatch *d)
{
  struct jtb_task *task;
  struct flt_agent *a;

  DL_FOREACH (d->fleet.agents, a)
  a->suspects = 0;
  if (d->crashes.tasks == NULL)
    return;
  for (task = d->jobs.runs; task != NULL; task = task->hh.next)
    if (task->suspect)
      dsp_agent_of (task)->suspects++;
}

static bool
queue_is_confined (const struct dsp_dispatch *d, const struct jtb_job *job)
{
  const struct dsp_caller *caller = job->priv;

  return blk_is_confined (&d->bulkhead, lv_slice_of (caller->queue),
                          clk_boot ());
}

/* Whether confined queues hold so little of the placed work that the others
   gain by it.  */
static bool
others_gain (const struct dsp_dispatch *d)
{
  const struct jtb_task *task;
  uint64_t confined = 0;
  uint64_t total = 0;

  for (task = d->jobs.runs; task != NULL; task = task->hh.next)
    {
      total += task->job->need.mcores;
      if (queue_is_confined (d, task->job))
        confined += task->job->need.mcores;
    }
  return confined * 100 <= total * CONFINED_LOAD_MAX_PERCENT;
}

/* Mark which agents of the service of FIRST, the first of them in the list,
   confined queues may use.  */
static void
mark_service (struct dsp_dispatch *d, struct flt_agent *first)
{
  struct sst_member *members
      = xtalloc_array (NULL, struct sst_member, d->fleet.count);
  struct flt_agent *a;
  unsigned open = 0;
  unsigned n = 0;
  unsigned i;

  for (a = first; a != NULL; a = a->next)
    {
      if (strcmp (a->service, first->service) != 0)
        continue;
      members[n].rank
          = sst_rank (lv_slice_of (a->service), lv_slice_of (a->name));
      members[n].reachable = !flt_is_drained (a);
      open += members[n].reachable;
      members[n++].priv = a;
    }
  sst_select (members, n, blk_share (open));
  for (i = 0; i < n; i++)
    ((struct flt_agent *)members[i].priv)->confining = members[i].selected;
  talloc_free (members);
}

static bool
is_first_of_service (const struct dsp_dispatch *d, const struct flt_agent *a)
{
  const struct flt_agent *b;

  for (b = d->fleet.agents; b != a; b = b->next)
    if (strcmp (a->service, b->service) == 0)
      return false;
  return true;
}

void
dsp_mark_confining (struct dsp_dispatch *d)
{
  struct flt_agent *a;

  DL_FOREACH (d->fleet.agents, a)
  a->confining = false;
  if (!blk_any (&d->bulkhead, clk_boot ()) || !others_gain (d))
    return;
  DL_FOREACH (d->fleet.agents, a)
  if (is_first_of_service (d, a))
    mark_service (d, a);
}

bool
dsp_is_confined (const struct dsp_dispatch *d, const struct jtb_job *job)
{
  const struct flt_agent *a;

  if (!blk_any (&d->bulkhead, clk_boot ()) || !queue_is_confined (d, job))
    return false;
  DL_FOREACH (d->fleet.agents, a)
  if (a->confining && strcmp (a->service, job->service) == 0)
    return true;
  return false;
}

bool
dsp_any_confining_usable (const struct dsp_dispatch *d,
                          const struct jtb_job *job)
{
  struct lv_slice service = lv_slice_of (job->service);
  const struct flt_agent *a;

  DL_FOREACH (d->fleet.agents, a)
  if (a->confining
      && flt_candidate (a, service, d->set.domain, clk_boot ()).usable)
    return true;
  return false;
}
