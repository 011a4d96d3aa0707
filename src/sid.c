#include "lagoonvale/sid.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <xxhash.h>

_Static_assert(sizeof (struct sid_id) == 40, "struct sid_id has padding");

void
sid_format (const struct sid_id *id, char text[SID_TEXT_MAX])
{
  snprintf (text, SID_TEXT_MAX,
            "lv1-%016" PRIx64 "-%08" PRIx32 "%04" PRIx32 "-%" PRIx64
            "-%" PRIx64 "-%" PRIx32,
            id->owner, id->addr, id->port, id->roster, id->minted_ms, id->seq);
}

int
sid_parse (struct sid_id *id, struct lv_slice text)
{
  char copy[SID_TEXT_MAX];
  char canonical[SID_TEXT_MAX];

  if (text.len >= sizeof copy)
    return -EINVAL;
  memcpy (copy, text.data, text.len);
  copy[text.len] = '\0';
  if (sscanf (copy,
              "lv1-%16" SCNx64 "-%8" SCNx32 "%4" SCNx32 "-%16" SCNx64
              "-%16" SCNx64 "-%8" SCNx32,
              &id->owner, &id->addr, &id->port, &id->roster, &id->minted_ms,
              &id->seq)
      != 6)
    return -EINVAL;
  id->zero = 0;
  sid_format (id, canonical);
  return strcmp (copy, canonical) == 0 ? 0 : -EINVAL;
}

bool
sid_equal (const struct sid_id *a, const struct sid_id *b)
{
  return a->owner == b->owner && a->seq == b->seq
         && a->minted_ms == b->minted_ms && a->roster == b->roster
         && a->addr == b->addr && a->port == b->port;
}

uint64_t
sid_hash (const struct sid_id *id)
{
  uint64_t words[4] = { id->owner, id->minted_ms, id->roster,
                        ((uint64_t)id->seq << 32) | id->port };

  return XXH3_64bits_withSeed (words, sizeof words, id->addr);
}
