#include "lagoonvale/drain.h"

#include <string.h>
#include <talloc.h>

#include "xtalloc.h"

/* A position holds how often the log was set back in its upper bits, and one
   more than the offset in the lower ones.  */
#define OFFSET_BITS 48
#define OFFSET_MASK ((UINT64_C (1) << OFFSET_BITS) - 1)

enum drn_cause
drn_cause_of (const struct drn_facts *facts)
{
  if (facts->agent_leaving)
    return DRN_AGENT;
  if (facts->server_leaving)
    return DRN_SERVER;
  if (facts->entry_retired)
    return DRN_ENTRY;
  return facts->domain_drained ? DRN_DOMAIN : DRN_NONE;
}

const char *
drn_cause_name (enum drn_cause cause)
{
  static const char *const names[] = { [DRN_NONE] = "none",
                                       [DRN_AGENT] = "leaving",
                                       [DRN_SERVER] = "minion-leaving",
                                       [DRN_ENTRY] = "not-served",
                                       [DRN_DOMAIN] = "domain-drained" };

  return (unsigned)cause < sizeof names / sizeof names[0] ? names[cause] : "?";
}

void
drn_init (struct drn_domains *d, void *mem_ctx)
{
  memset (d, 0, sizeof *d);
  d->mem_ctx = mem_ctx;
}

void
drn_finish (struct drn_domains *d)
{
  TALLOC_FREE (d->names);
  d->count = 0;
}

uint64_t
drn_position (uint64_t base, uint64_t offset)
{
  return (base & ~OFFSET_MASK) | ((offset + 1) & OFFSET_MASK);
}

uint64_t
drn_offset (uint64_t position)
{
  return (position & OFFSET_MASK) - 1;
}

bool
drn_same_log (uint64_t a, uint64_t b)
{
  return a >> OFFSET_BITS == b >> OFFSET_BITS;
}

static int
find (const struct drn_domains *d, struct lv_slice domain)
{
  unsigned i;

  for (i = 0; i < d->count; i++)
    if (lv_slice_eq (lv_slice_of (d->names[i]), domain))
      return (int)i;
  return -1;
}

bool
drn_contains (const struct drn_domains *d, struct lv_slice domain)
{
  return find (d, domain) >= 0;
}

static void
add (struct drn_domains *d, struct lv_slice domain)
{
  if (d->count >= DRN_DOMAINS_MAX || drn_contains (d, domain))
    return;
  d->names
      = xtalloc_realloc (d->mem_ctx, d->names, char *, (size_t)d->count + 1);
  d->names[d->count++] = xtalloc_strndup (d->names, domain.data, domain.len);
}

bool
drn_replace (struct drn_domains *d, const struct lv_slice *names,
             unsigned count, uint64_t position)
{
  unsigned i;

  if (position <= d->position)
    return false;
  drn_finish (d);
  for (i = 0; i < count; i++)
    add (d, names[i]);
  d->position = position;
  return true;
}

bool
drn_record (struct drn_domains *d, struct lv_slice domain, bool drained,
            uint64_t position)
{
  int at = find (d, domain);

  if (position <= d->position)
    return false;
  d->position = position;
  if (drained == (at >= 0))
    return false;
  if (drained)
    add (d, domain);
  else
    {
      talloc_free (d->names[at]);
      d->names[at] = d->names[--d->count];
    }
  return true;
}

void
drn_advance (struct drn_domains *d, uint64_t position)
{
  if (position > d->position)
    d->position = position;
}

void
drn_set_back (struct drn_domains *d, uint64_t known, uint64_t offset)
{
  if (drn_same_log (known, d->position))
    d->position = drn_position (d->position + OFFSET_MASK + 1, offset);
}
