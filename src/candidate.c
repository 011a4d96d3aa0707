#include "lagoonvale/candidate.h"

/* Advantage of a host in the entry's own failure domain, as a share of a run
   time: a crossing costs about 1 ms each way.  */
#define NEAR_BONUS 0.05
/* Weight of the share of a host that is in use: the emptier is preferred.  */
#define LOAD_WEIGHT 0.3
/* Weight of the random part.  */
#define SPREAD_WEIGHT 0.1
/* Penalty of the host to be avoided.  */
#define AVOID_PENALTY 100.0

static double
load_of (const struct cnd_candidate *h)
{
  if (h->total.mcores == 0)
    return 1;
  return 1 - (double)h->free.mcores / h->total.mcores;
}

/* The lower the better.  */
static double
cost_of (const struct cnd_candidate *h, unsigned i, double spread)
{
  double turn = spread * (i + 1);
  double cost = h->slowness + LOAD_WEIGHT * load_of (h);

  cost += SPREAD_WEIGHT * (turn - (unsigned)turn);
  return h->same_domain ? cost - NEAR_BONUS : cost;
}

int
cnd_select (const struct cnd_candidate *hosts, unsigned count,
            const struct amt_amount *need, int avoid, double spread)
{
  int best = -1;
  double best_cost = 0;
  unsigned i;

  for (i = 0; i < count; i++)
    {
      double cost;

      if (!hosts[i].usable || !amt_fits (&hosts[i].free, need))
        continue;
      cost = cost_of (&hosts[i], i, spread * count);
      if ((int)i == avoid)
        cost += AVOID_PENALTY;
      if (best >= 0 && cost >= best_cost)
        continue;
      best = (int)i;
      best_cost = cost;
    }
  return best;
}

static bool
any_holds (const struct cnd_candidate *hosts, unsigned count,
           const struct amt_amount *need, bool usable)
{
  unsigned i;

  for (i = 0; i < count; i++)
    if ((usable ? hosts[i].usable : hosts[i].same_service)
        && amt_fits (&hosts[i].total, need))
      return true;
  return false;
}

bool
cnd_usable_could_fit (const struct cnd_candidate *hosts, unsigned count,
                      const struct amt_amount *need)
{
  return any_holds (hosts, count, need, true);
}

bool
cnd_any_could_fit (const struct cnd_candidate *hosts, unsigned count,
                   const struct amt_amount *need)
{
  return any_holds (hosts, count, need, false);
}
