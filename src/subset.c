#include "lagoonvale/subset.h"

#include <stdlib.h>
#include <xxhash.h>

uint64_t
sub_rank (struct lv_slice agent, struct lv_slice entry)
{
  return XXH3_64bits_withSeed (entry.data, entry.len,
                               XXH3_64bits (agent.data, agent.len));
}

static int
by_rank (const void *a, const void *b)
{
  const struct sub_entry *x = a;
  const struct sub_entry *y = b;

  return x->rank > y->rank ? -1 : x->rank < y->rank;
}

void
sub_select (struct sub_entry *members, unsigned count, unsigned most)
{
  unsigned reached = 0;
  unsigned i;

  if (count == 0)
    return;
  qsort (members, count, sizeof members[0], by_rank);
  for (i = 0; i < count; i++)
    {
      members[i].selected = reached < most;
      reached += members[i].reachable;
    }
}
