#include "lagoonvale/subset.h"

#include <stdlib.h>
#include <xxhash.h>

uint64_t
sst_rank (struct lv_slice agent, struct lv_slice entry)
{
  return XXH3_64bits_withSeed (entry.data, entry.len,
                               XXH3_64bits (agent.data, agent.len));
}

static int
compare_ranks (const void *a, const void *b)
{
  const struct sst_entry *x = a;
  const struct sst_entry *y = b;

  return x->rank > y->rank ? -1 : x->rank < y->rank;
}

void
sst_select (struct sst_entry *entries, unsigned count, unsigned max)
{
  unsigned reachable = 0;
  unsigned i;

  if (count == 0)
    return;
  qsort (entries, count, sizeof entries[0], compare_ranks);
  for (i = 0; i < count; i++)
    {
      entries[i].selected = reachable < max;
      reachable += entries[i].reachable;
    }
}
