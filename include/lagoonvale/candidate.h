/**
 * DOC: candidate
 *
 * Placement of a task by the dispatcher (the entry uses placement.h): selects
 * the agent of lowest cost among those that provide its service and have
 * enough free resources.  The cost adds up relative run time, utilization and
 * a random term, less a bonus for the entry's own failure domain, plus a
 * penalty for the candidate to avoid.  A task suspected of crashing its minion
 * gets a candidate without another suspect and with little else at stake;
 * other tasks go elsewhere if they can.  Pure: randomness is passed in.
 */
#ifndef LV_CANDIDATE_H
#define LV_CANDIDATE_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/amount.h"

/**
 * struct cnd_candidate - an agent as a candidate for a task
 * @same_service: provides the job's service in a failure domain that is not
 * drained, whether or not it takes orders
 * @usable: provides the job's service and takes orders: connected and healthy
 * @same_domain: in the entry's own failure domain
 * @total: resources of its backend server
 * @free: as last reported, less what was ordered since
 * @slowness: smoothed run time relative to the fleet's, 1 if unknown
 * @at_risk: runs a task suspected of crashing it, or is kept for a queue whose
 * tasks crash their minions
 * @has_suspect: runs a task suspected of crashing it
 */
struct cnd_candidate
{
  bool same_service;
  bool usable;
  bool same_domain;
  struct amt_amount total;
  struct amt_amount free;
  double slowness;
  bool at_risk;
  bool has_suspect;
};

/**
 * struct cnd_task - a task to place
 * @need: its resources
 * @avoid: index of a candidate to use only as a last resort, or -1
 * @spread: random, 0 to 1; keeps entries from all selecting the same agent
 * @suspect: suspected of crashing its minion
 * @confined: of a queue whose tasks crash their minions; @at_risk does not
 * matter to it
 */
struct cnd_task
{
  struct amt_amount need;
  int avoid;
  double spread;
  bool suspect;
  bool confined;
};

/**
 * cnd_select() - select an agent for @task
 * Return: index, or -1 if it fits nowhere.
 */
int cnd_select (const struct cnd_candidate *candidates, unsigned count,
                const struct cnd_task *task);

/** cnd_cost() - cost of @c, at index @i of @count candidates, for @task; the
 * lowest is selected.  Says nothing of whether it fits. */
double cnd_cost (const struct cnd_candidate *c, unsigned i, unsigned count,
                 const struct cnd_task *task);

/** cnd_may_lose_one() - whether enough candidates of the service are usable
 * that one may be lost to a suspect. */
bool cnd_may_lose_one (const struct cnd_candidate *candidates, unsigned count);

/** cnd_usable_could_fit() - whether @need is within the total resources of any
 * usable candidate, so that it fits once enough runs have ended. */
bool cnd_usable_could_fit (const struct cnd_candidate *candidates,
                           unsigned count, const struct amt_amount *need);

/** cnd_is_large() - whether no usable candidate holds two tasks of @need, even
 * when empty: such a task waits until most runs of a candidate have ended. */
bool cnd_is_large (const struct cnd_candidate *candidates, unsigned count,
                   const struct amt_amount *need);

/** cnd_any_could_fit() - whether @need is within the total resources of any
 * candidate of the service, usable or not. */
bool cnd_any_could_fit (const struct cnd_candidate *candidates, unsigned count,
                        const struct amt_amount *need);

#endif
