/**
 * DOC: spot
 *
 * Where the tasks of a job go: agents of its service with room, the ones that
 * finish soonest first.  Pure: randomness is passed in.
 */
#ifndef LV_SPOT_H
#define LV_SPOT_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/amount.h"

/**
 * struct spt_host - what an entry knows of one agent
 * @serves: of the job's service, whether it takes orders just now or not
 * @usable: it takes orders: connected, fit, of the job's service
 * @near: in the entry's own failure domain
 * @total: of its backend server
 * @free: as last reported, less what was ordered since
 * @slowness: run time there over the fleet's, 1 if unknown
 */
struct spt_host
{
  bool serves;
  bool usable;
  bool near;
  struct amt_amount total;
  struct amt_amount free;
  double slowness;
};

/**
 * spt_choose() - host for one more task
 * @need: of the task
 * @avoid: index of a host to be used only if there is no other, or -1
 * @spread: 0 to 1, random; so that entries do not all choose the same host
 *
 * Return: index, or -1 if it fits nowhere.
 */
int spt_choose (const struct spt_host *hosts, unsigned count,
                const struct amt_amount *need, int avoid, double spread);

/** spt_awaits() - whether any usable host could hold @need when empty: its
 * room is worth waiting for. */
bool spt_awaits (const struct spt_host *hosts, unsigned count,
                 const struct amt_amount *need);

/** spt_possible() - whether any host of the service could hold @need when
 * empty. */
bool spt_possible (const struct spt_host *hosts, unsigned count,
                   const struct amt_amount *need);

#endif
