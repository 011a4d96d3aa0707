#include "lagoonvale/capacity.h"

#include <string.h>

bool
capa_is_zero (const struct capa_size *s)
{
  return s->cores == 0 && s->memory_mb == 0 && s->accelerators == 0;
}

bool
capa_fits (const struct capa_size *have, const struct capa_size *need)
{
  return need->cores <= have->cores && need->memory_mb <= have->memory_mb
         && need->accelerators <= have->accelerators;
}

static uint32_t
less (uint32_t a, uint32_t b)
{
  return a > b ? a - b : 0;
}

void
capa_subtract (struct capa_size *have, const struct capa_size *need)
{
  have->cores = less (have->cores, need->cores);
  have->memory_mb = less (have->memory_mb, need->memory_mb);
  have->accelerators = less (have->accelerators, need->accelerators);
}

void
capa_init (struct capa_worker *r, const struct capa_size *total,
           uint64_t now_ns)
{
  memset (r, 0, sizeof *r);
  r->total = *total;
  r->history[0].at_ns = now_ns;
}

struct capa_size
capa_available (const struct capa_worker *r)
{
  struct capa_size left = r->total;

  capa_subtract (&left, &r->reserved);
  capa_subtract (&left, &r->excess);
  return left;
}

static void
remember (struct capa_worker *r, uint64_t now_ns)
{
  r->newest = (r->newest + 1) % CAPA_HISTORY;
  r->history[r->newest].at_ns = now_ns;
  r->history[r->newest].reserved = r->reserved;
}

bool
capa_reserve (struct capa_worker *r, const struct capa_size *need,
              uint64_t now_ns)
{
  struct capa_size left = capa_available (r);

  if (!capa_fits (&left, need))
    return false;
  r->reserved.cores += need->cores;
  r->reserved.memory_mb += need->memory_mb;
  r->reserved.accelerators += need->accelerators;
  remember (r, now_ns);
  return true;
}

void
capa_release (struct capa_worker *r, const struct capa_size *need,
              uint64_t now_ns)
{
  capa_subtract (&r->reserved, need);
  remember (r, now_ns);
}

/* What was reserved at AS_OF_NS; the oldest that is remembered for what lies
   before it.  */
static const struct capa_size *
reserved_at (const struct capa_worker *r, uint64_t as_of_ns)
{
  unsigned at = r->newest;

  for (unsigned i = 1; i < CAPA_HISTORY; i++)
    {
      unsigned before = (r->newest + CAPA_HISTORY - i) % CAPA_HISTORY;
      if (r->history[at].at_ns <= as_of_ns || r->history[before].at_ns == 0)
        break;
      at = before;
    }
  return &r->history[at].reserved;
}

void
capa_report_usage (struct capa_worker *r, const struct capa_size *used,
                   uint64_t as_of_ns)
{
  r->excess = *used;
  capa_subtract (&r->excess, reserved_at (r, as_of_ns));
}
