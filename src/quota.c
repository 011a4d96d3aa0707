#include "lagoonvale/quota.h"

#include <xxhash.h>

uint32_t
qta_part (uint32_t limit, uint32_t entries, uint32_t position,
          struct lv_slice subject)
{
  uint64_t first = XXH3_64bits (subject.data, subject.len) % entries;
  uint64_t turn = (position + first) % entries;

  if (limit < entries)
    return limit > 0 ? 1 : 0;
  return limit / entries + (turn < limit % entries);
}
