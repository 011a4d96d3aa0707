#include "lagoonvale/turn.h"

static unsigned
count_waiting (const struct trn_turns *t)
{
  unsigned n = 0;

  for (unsigned i = 0; i < TRN_ENTRIES_MAX; i++)
    n += t->waiting[i];
  return n;
}

/* Pass the turn to the next waiting entry; the holder keeps it if no other
   waits.  */
static void
pass_on (struct trn_turns *t, uint64_t now_ns)
{
  t->since_ns = now_ns;
  t->used = false;
  for (unsigned i = 1; i <= TRN_ENTRIES_MAX; i++)
    {
      unsigned next = (t->holder + i) % TRN_ENTRIES_MAX;
      if (!t->waiting[next])
        continue;
      t->holder = next;
      return;
    }
}

void
trn_set_waiting (struct trn_turns *t, unsigned entry, bool waiting,
                 uint64_t now_ns)
{
  t->waiting[entry] = waiting;
  if (!t->waiting[t->holder])
    pass_on (t, now_ns);
}

void
trn_mark_used (struct trn_turns *t, unsigned entry)
{
  t->used = t->used || entry == t->holder;
}

void
trn_tick (struct trn_turns *t, uint64_t now_ns)
{
  if (t->used || now_ns >= t->since_ns + TRN_HOLD_NS)
    pass_on (t, now_ns);
}

bool
trn_any_waiting (const struct trn_turns *t)
{
  return count_waiting (t) > 0;
}

bool
trn_is_allowed (const struct trn_turns *t, unsigned entry)
{
  unsigned waiting = count_waiting (t);

  return waiting == 0 || (waiting == 1 && t->waiting[entry])
         || entry == t->holder;
}
