/**
 * DOC: placement
 *
 * Which target gets the next task.  The policies share one table: "credit" is
 * the one in use; "random", "two-choices" and "idle-queue" are baselines to
 * measure it against.  Pure: randomness is passed in.
 */
#ifndef LV_PLACEMENT_H
#define LV_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/capacity.h"

/**
 * struct plc_target - what an entry knows of one target
 * @usable: connected, fit, and eligible for the task
 * @near: in the entry's own failure domain
 * @credits: credits held from it
 * @sent: tasks sent to it and not ended, this entry's own
 * @load: running and held tasks, as it last reported
 * @slots: its slots
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
 * typedef plc_random_fn - a random whole number below @below
 */
typedef uint32_t (*plc_random_fn) (void *priv, uint32_t below);

/**
 * struct plc_policy - one way to choose
 * @name: as in the settings
 * @credited: starts spend credits; otherwise targets queue what they get
 * @choose: index of the target, or -1 to let the task wait
 */
struct plc_policy
{
  const char *name;
  bool credited;
  int (*choose) (const struct plc_target *targets, uint32_t count,
                 plc_random_fn random, void *priv);
};

/**
 * struct plc_worker - a worker that has room for the task
 * @near: in the entry's own failure domain
 * @free: what new tasks may declare there
 */
struct plc_worker
{
  bool same_domain;
  struct capa_size free;
};

/**
 * plc_worker_better() - whether @a suits better than @b: near first, then the
 * one with less left, so that large tasks find large holes
 */
bool plc_worker_better (const struct plc_worker *a,
                        const struct plc_worker *b);

/** plc_find() - policy by name, or NULL. */
const struct plc_policy *plc_find (const char *name);

#endif
