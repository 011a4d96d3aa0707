#include "lagoonvale/room.h"

#include <string.h>

bool
rom_none (const struct rom_size *s)
{
  return s->cores == 0 && s->memory_mb == 0 && s->accelerators == 0;
}

bool
rom_fits (const struct rom_size *have, const struct rom_size *need)
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
rom_take (struct rom_size *have, const struct rom_size *need)
{
  have->cores = less (have->cores, need->cores);
  have->memory_mb = less (have->memory_mb, need->memory_mb);
  have->accelerators = less (have->accelerators, need->accelerators);
}

void
rom_init (struct rom_room *r, const struct rom_size *total, uint64_t now_ns)
{
  memset (r, 0, sizeof *r);
  r->total = *total;
  r->history[0].at_ns = now_ns;
}

struct rom_size
rom_free (const struct rom_room *r)
{
  struct rom_size left = r->total;

  rom_take (&left, &r->reserved);
  rom_take (&left, &r->excess);
  return left;
}

static void
remember (struct rom_room *r, uint64_t now_ns)
{
  r->newest = (r->newest + 1) % ROM_HISTORY;
  r->history[r->newest].at_ns = now_ns;
  r->history[r->newest].reserved = r->reserved;
}

bool
rom_reserve (struct rom_room *r, const struct rom_size *need, uint64_t now_ns)
{
  struct rom_size left = rom_free (r);

  if (!rom_fits (&left, need))
    return false;
  r->reserved.cores += need->cores;
  r->reserved.memory_mb += need->memory_mb;
  r->reserved.accelerators += need->accelerators;
  remember (r, now_ns);
  return true;
}

void
rom_release (struct rom_room *r, const struct rom_size *need, uint64_t now_ns)
{
  rom_take (&r->reserved, need);
  remember (r, now_ns);
}

/* What was reserved at AS_OF_NS; the oldest that is remembered for what lies
   before it.  */
static const struct rom_size *
reserved_at (const struct rom_room *r, uint64_t as_of_ns)
{
  unsigned at = r->newest;

  for (unsigned i = 1; i < ROM_HISTORY; i++)
    {
      unsigned before = (r->newest + ROM_HISTORY - i) % ROM_HISTORY;
      if (r->history[at].at_ns <= as_of_ns || r->history[before].at_ns == 0)
        break;
      at = before;
    }
  return &r->history[at].reserved;
}

void
rom_report (struct rom_room *r, const struct rom_size *used, uint64_t as_of_ns)
{
  r->excess = *used;
  rom_take (&r->excess, reserved_at (r, as_of_ns));
}
