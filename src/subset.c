#include "lagoonvale/subset.h"

#include <stdlib.h>
#include <xxhash.h>

uint64_t
sst_rank (struct lv_slice chooser, struct lv_slice member)
{
  return XXH3_64bits_withSeed (member.data, member.len,
                               XXH3_64bits (chooser.data, chooser.len));
}

static int
compare_ranks (const void *a, const void *b)
{
  const struct sst_member *x = a;
  const struct sst_member *y = b;

  return x->rank > y->rank ? -1 : x->rank < y->rank;
}

void
sst_select (struct sst_member *members, unsigned count, unsigned max)
{
  unsigned reachable = 0;
  unsigned i;

  if (count == 0)
    return;
  qsort (members, count, sizeof members[0], compare_ranks);
  for (i = 0; i < count; i++)
    {
      members[i].selected = reachable < max;
      reachable += members[i].reachable;
    }
}
