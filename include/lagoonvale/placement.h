/**
 * DOC: placement
 *
 * Placement policies of the entry, which choose the target of the next task;
 * the dispatcher uses candidate.h instead.  "credit" is the default; "random",
 * "two-choices" and "idle-queue" are baselines for comparison.  Pure: the
 * caller passes in the random number generator.
 */
#ifndef LV_PLACEMENT_H
#define LV_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/capacity.h"

/**
 * struct plc_target - an entry's view of one target
 * @usable: connected, fit, and eligible for the task
 * @same_domain: in the entry's own failure domain
 * @credits: credits it has granted to this entry
 * @sent: tasks this entry has sent to it that have not ended
 * @load: running and queued tasks of all entries, as it last reported
 * @slots: number of tasks it runs at a time
 */
struct plc_target
{
  bool usable;
  bool same_domain;
  uint32_t credits;
  uint32_t sent;
  uint32_t load;
  uint32_t slots;
};

/**
 * typedef plc_random_fn - return a random integer in [0, @below)
 */
typedef uint32_t (*plc_random_fn) (void *priv, uint32_t below);

/**
 * struct plc_policy - one placement policy
 * @name: value in the settings
 * @credited: each start spends a credit; if false, targets queue excess tasks
 * @choose: return the index of the target, or -1 if the task must wait
 */
struct plc_policy
{
  const char *name;
  bool credited;
  int (*choose) (const struct plc_target *targets, uint32_t count,
                 plc_random_fn random, void *priv);
};

/**
 * struct plc_worker - a worker that has enough capacity for the task
 * @same_domain: in the entry's own failure domain
 * @free: capacity available to new tasks
 */
struct plc_worker
{
  bool same_domain;
  struct capa_size free;
};

/**
 * plc_worker_better() - whether @a is preferred to @b
 *
 * Prefers the same failure domain, then best fit: the worker with less free
 * capacity, which leaves large gaps for large tasks.
 */
bool plc_worker_better (const struct plc_worker *a,
                        const struct plc_worker *b);

/** plc_find() - look up a policy by name; NULL if unknown. */
const struct plc_policy *plc_find (const char *name);

#endif
