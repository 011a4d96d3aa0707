#include "dispatch_parts.h"

#include "logline.h"

/* A job that is placed so long after the expected time was still kept its
   room, ns: messages and the next report take as long.  */
#define KEPT_SLACK_NS (50 * CLK_MS)

bool
dsp_ahead_hold (struct dsp_dispatch *d, struct jtb_job *job, unsigned count)
{
  uint32_t horizon_ms = (uint32_t)d->set.lookahead_ms;
  uint64_t now = clk_boot ();
  uint32_t last_ms = 0;
  uint64_t held_mcores = 0;
  uint32_t n;
  unsigned i;

  if (horizon_ms == 0)
    return false;
  for (i = 0; i < count; i++)
    d->ahead[i] = flt_look_ahead (d->candidate_agents[i],
                                  d->candidates[i].usable, now);
  for (n = 0; n < job->waiting; n++)
    {
      int at = lkh_hold (d->ahead, count, &job->need, horizon_ms);

      if (at < 0)
        return false;
      if (d->ahead[at].held_in_ms > last_ms)
        last_ms = d->ahead[at].held_in_ms;
    }
  for (i = 0; i < count; i++)
    held_mcores += d->ahead[i].held.mcores < d->ahead[i].free.mcores
                       ? d->ahead[i].held.mcores
                       : d->ahead[i].free.mcores;
  ctr_set_gauge (&d->counters, DSP_HELD_MCORES, held_mcores);
  if (job->held_until_ns == 0)
    {
      ctr_add (&d->counters, DSP_HOLDS, 1);
      job->held_until_ns = now + last_ms * CLK_MS;
      log_ratelimited (
          LOGL_INFO, "hold", "job=%s tasks=%u in_ms=%u held_free_mcores=%llu",
          job->id, job->waiting, last_ms, (unsigned long long)held_mcores);
    }
  return true;
}

/* How many tasks of NEED fit into ROOM.  */
static uint32_t
count_fitting (struct amt_amount room, const struct amt_amount *need)
{
  uint32_t n = 0;

  while (n < JTB_TASKS_MAX && amt_fits (&room, need))
    {
      amt_subtract (&room, need);
      n++;
    }
  return n;
}

void
dsp_ahead_limit_one (struct dsp_dispatch *d, const struct jtb_job *job,
                     unsigned at)
{
  d->ahead[at].free = d->candidate_agents[at]->free;
  d->candidates[at].free = lkh_room (&d->ahead[at], job->estimate_ms);
}

bool
dsp_ahead_limit (struct dsp_dispatch *d, const struct jtb_job *job,
                 unsigned count)
{
  uint32_t fitting = 0;
  unsigned i;

  for (i = 0; i < count; i++)
    {
      dsp_ahead_limit_one (d, job, i);
      if (d->candidates[i].usable && fitting < job->waiting)
        fitting += count_fitting (d->candidates[i].free, &job->need);
    }
  return fitting >= job->waiting;
}

void
dsp_ahead_placed (struct dsp_dispatch *d, struct jtb_job *job)
{
  bool kept = clk_boot () <= job->held_until_ns + KEPT_SLACK_NS;

  if (job->held_until_ns == 0)
    return;
  ctr_add (&d->counters, kept ? DSP_HOLDS_KEPT : DSP_HOLDS_MISSED, 1);
  job->held_until_ns = 0;
}
