#include "lagoonvale/placement.h"

#include <stddef.h>
#include <string.h>

static uint32_t
usable_count (const struct plc_target *targets, uint32_t count)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < count; i++)
    n += targets[i].usable;
  return n;
}

static int
nth_usable (const struct plc_target *targets, uint32_t count, uint32_t n)
{
  for (uint32_t i = 0; i < count; i++)
    if (targets[i].usable && n-- == 0)
      return (int)i;
  return -1;
}

static int
choose_random (const struct plc_target *targets, uint32_t count,
               plc_random_fn random, void *priv)
{
  uint32_t usable = usable_count (targets, count);

  if (usable == 0)
    return -1;
  return nth_usable (targets, count, random (priv, usable));
}

/* Last reported load, or this entry's own tasks there if they are more.  */
static uint32_t
known_load (const struct plc_target *t)
{
  return t->load > t->sent ? t->load : t->sent;
}

static int
choose_two (const struct plc_target *targets, uint32_t count,
            plc_random_fn random, void *priv)
{
  int a = choose_random (targets, count, random, priv);
  int b = choose_random (targets, count, random, priv);

  if (a < 0 || known_load (&targets[a]) <= known_load (&targets[b]))
    return a;
  return b;
}

static int
choose_idle (const struct plc_target *targets, uint32_t count,
             plc_random_fn random, void *priv)
{
  uint32_t idle = 0;
  uint32_t n;

  for (uint32_t i = 0; i < count; i++)
    idle += targets[i].usable && known_load (&targets[i]) < targets[i].slots;
  if (idle == 0)
    return choose_random (targets, count, random, priv);
  n = random (priv, idle);
  for (uint32_t i = 0; i < count; i++)
    if (targets[i].usable && known_load (&targets[i]) < targets[i].slots
        && n-- == 0)
      return (int)i;
  return -1;
}

static int
choose_credit (const struct plc_target *targets, uint32_t count,
               plc_random_fn random, void *priv)
{
  int best = -1;
  uint32_t ties = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      const struct plc_target *t = &targets[i];
      if (!t->usable || t->credits == 0)
        continue;
      if (best < 0 || (t->same_domain && !targets[best].same_domain)
          || (t->same_domain == targets[best].same_domain
              && t->credits > targets[best].credits))
        {
          best = (int)i;
          ties = 1;
        }
      else if (t->same_domain == targets[best].same_domain
               && t->credits == targets[best].credits
               && random (priv, ++ties) == 0)
        best = (int)i;
    }
  return best;
}

bool
plc_worker_better (const struct plc_worker *a, const struct plc_worker *b)
{
  if (a->same_domain != b->same_domain)
    return a->same_domain;
  if (a->free.accelerators != b->free.accelerators)
    return a->free.accelerators < b->free.accelerators;
  if (a->free.cores != b->free.cores)
    return a->free.cores < b->free.cores;
  return a->free.memory_mb < b->free.memory_mb;
}

static const struct plc_policy policies[] = {
  { "credit", true, choose_credit },
  { "random", false, choose_random },
  { "two-choices", false, choose_two },
  { "idle-queue", false, choose_idle },
};

const struct plc_policy *
plc_find (const char *name)
{
  for (size_t i = 0; i < sizeof policies / sizeof policies[0]; i++)
    if (strcmp (policies[i].name, name) == 0)
      return &policies[i];
  return NULL;
}
