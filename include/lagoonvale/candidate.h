/**
 * DOC: spot
 *
 * Where the tasks of a job go: agents of its service with room, the ones that
 * finish soonest first.  Pure: randomness is passed in.
 */
#ifndef LV_CANDIDATE_H
#define LV_CANDIDATE_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/amount.h"

/**
 * struct cnd_candidate - what an entry knows of one agent
 * @same_service: of the job's service, whether it takes orders just now or not
 * @usable: it takes orders: connected, fit, of the job's service
 * @near: in the entry's own failure domain
 * @total: of its backend server
 * @free: as last reported, less what was ordered since
 * @slowness: run time there over the fleet's, 1 if unknown
 */
struct cnd_candidate
{
  bool same_service;
  bool usable;
  bool same_domain;
  struct amt_amount total;
  struct amt_amount free;
  double slowness;
};

/**
 * cnd_select() - host for one more task
 * @need: of the task
 * @avoid: index of a host to be used only if there is no other, or -1
 * @spread: 0 to 1, random; so that entries do not all choose the same host
 *
 * Return: index, or -1 if it fits nowhere.
 */
int cnd_select (const struct cnd_candidate *hosts, unsigned count,
                const struct amt_amount *need, int avoid, double spread);

/** cnd_usable_could_fit() - whether any usable host could hold @need when
 * empty: its room is worth waiting for. */
bool cnd_usable_could_fit (const struct cnd_candidate *hosts, unsigned count,
                           const struct amt_amount *need);

/** cnd_any_could_fit() - whether any host of the service could hold @need when
 * empty. */
bool cnd_any_could_fit (const struct cnd_candidate *hosts, unsigned count,
                        const struct amt_amount *need);

#endif
