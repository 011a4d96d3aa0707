#include "lagoonvale/candidate.h"

/* Advantage of the entry's own failure domain, as a fraction of a run time: a
   message between domains takes about 1 ms each way.  */
#define SAME_DOMAIN_BONUS 0.05
/* Weight of the utilization: a less loaded candidate is preferred.  */
#define LOAD_WEIGHT 0.3
/* Weight of the random term.  */
#define SPREAD_WEIGHT 0.1
/* Penalty of the candidate to avoid.  */
#define AVOID_PENALTY 100.0
/* Penalty of a candidate that may crash, for tasks that need not run there:
   less than that of one that is several times slower.  */
#define RISK_PENALTY 2.0
/* Weight of the utilization for a suspect: what runs beside it is at stake. */
#define SUSPECT_LOAD_WEIGHT 3.0
/* Share of the usable candidates that suspects must leave, per cent.  */
#define USABLE_MIN_PERCENT 66

static double
utilization (const struct cnd_candidate *c)
{
  if (c->total.mcores == 0)
    return 1;
  return 1 - (double)c->free.mcores / c->total.mcores;
}

double
cnd_cost (const struct cnd_candidate *c, unsigned i, unsigned count,
          const struct cnd_task *task)
{
  double offset = task->spread * count * (i + 1);
  double load_weight = task->suspect ? SUSPECT_LOAD_WEIGHT : LOAD_WEIGHT;
  double cost = c->slowness + load_weight * utilization (c);

  cost += SPREAD_WEIGHT * (offset - (unsigned)offset);
  if (c->same_domain)
    cost -= SAME_DOMAIN_BONUS;
  if (c->at_risk && !task->suspect && !task->confined)
    cost += RISK_PENALTY;
  return (int)i == task->avoid ? cost + AVOID_PENALTY : cost;
}

static bool
may_run (const struct cnd_candidate *c, const struct cnd_task *task)
{
  return c->usable && amt_fits (&c->free, &task->need)
         && !(task->suspect && c->has_suspect);
}

int
cnd_select (const struct cnd_candidate *candidates, unsigned count,
            const struct cnd_task *task)
{
  int best = -1;
  double best_cost = 0;
  unsigned i;

  for (i = 0; i < count; i++)
    {
      double cost;

      if (!may_run (&candidates[i], task))
        continue;
      cost = cnd_cost (&candidates[i], i, count, task);
      if (best >= 0 && cost >= best_cost)
        continue;
      best = (int)i;
      best_cost = cost;
    }
  return best;
}

bool
cnd_may_lose_one (const struct cnd_candidate *candidates, unsigned count)
{
  unsigned total = 0;
  unsigned usable = 0;
  unsigned i;

  for (i = 0; i < count; i++)
    {
      total += candidates[i].same_service;
      usable += candidates[i].usable;
    }
  return usable > 0 && (usable - 1) * 100 >= total * USABLE_MIN_PERCENT;
}

static bool
any_could_fit (const struct cnd_candidate *candidates, unsigned count,
               const struct amt_amount *need, bool usable)
{
  unsigned i;

  for (i = 0; i < count; i++)
    if ((usable ? candidates[i].usable : candidates[i].same_service)
        && amt_fits (&candidates[i].total, need))
      return true;
  return false;
}

bool
cnd_usable_could_fit (const struct cnd_candidate *candidates, unsigned count,
                      const struct amt_amount *need)
{
  return any_could_fit (candidates, count, need, true);
}

bool
cnd_is_large (const struct cnd_candidate *candidates, unsigned count,
              const struct amt_amount *need)
{
  unsigned i;

  for (i = 0; i < count; i++)
    {
      const struct amt_amount *total = &candidates[i].total;
      struct amt_amount half = { total->mcores / 2, total->memory_mb / 2,
                                 total->accelerators / 2 };

      if (candidates[i].usable && amt_fits (&half, need))
        return false;
    }
  return true;
}

bool
cnd_any_could_fit (const struct cnd_candidate *candidates, unsigned count,
                   const struct amt_amount *need)
{
  return any_could_fit (candidates, count, need, false);
}
