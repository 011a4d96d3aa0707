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
saturating_sub (uint32_t a, uint32_t b)
{
  return a > b ? a - b : 0;
}

void
capa_subtract (struct capa_size *have, const struct capa_size *need)
{
  have->cores = saturating_sub (have->cores, need->cores);
  have->memory_mb = saturating_sub (have->memory_mb, need->memory_mb);
  have->accelerators = saturating_sub (have->accelerators, need->accelerators);
}

void
capa_init (struct capa_worker *w, const struct capa_size *total,
           uint64_t now_ns)
{
  memset (w, 0, sizeof *w);
  w->total = *total;
  w->history[0].at_ns = now_ns;
}

struct capa_size
capa_available (const struct capa_worker *w)
{
  struct capa_size left = w->total;

  capa_subtract (&left, &w->reserved);
  capa_subtract (&left, &w->excess);
  return left;
}

static void
record_change (struct capa_worker *w, uint64_t now_ns)
{
  w->newest = (w->newest + 1) % CAPA_HISTORY;
  w->history[w->newest].at_ns = now_ns;
  w->history[w->newest].reserved = w->reserved;
}

bool
capa_reserve (struct capa_worker *w, const struct capa_size *need,
              uint64_t now_ns)
{
  struct capa_size left = capa_available (w);

  if (!capa_fits (&left, need))
    return false;
  w->reserved.cores += need->cores;
  w->reserved.memory_mb += need->memory_mb;
  w->reserved.accelerators += need->accelerators;
  record_change (w, now_ns);
  return true;
}

void
capa_release (struct capa_worker *w, const struct capa_size *need,
              uint64_t now_ns)
{
  capa_subtract (&w->reserved, need);
  record_change (w, now_ns);
}

/* Reservations at AS_OF_NS; those of the oldest change in the history if
   AS_OF_NS is before it.  */
static const struct capa_size *
reserved_at (const struct capa_worker *w, uint64_t as_of_ns)
{
  unsigned at = w->newest;

  for (unsigned i = 1; i < CAPA_HISTORY; i++)
    {
      unsigned before = (w->newest + CAPA_HISTORY - i) % CAPA_HISTORY;
      if (w->history[at].at_ns <= as_of_ns || w->history[before].at_ns == 0)
        break;
      at = before;
    }
  return &w->history[at].reserved;
}

void
capa_report_usage (struct capa_worker *w, const struct capa_size *used,
                   uint64_t as_of_ns)
{
  w->excess = *used;
  capa_subtract (&w->excess, reserved_at (w, as_of_ns));
}
