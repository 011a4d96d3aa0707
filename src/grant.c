#include "lagoonvale/grant.h"

#include <errno.h>
#include <stddef.h>
#include <string.h>

void
grt_init (struct grt_grants *g, uint32_t capacity)
{
  memset (g, 0, sizeof *g);
  g->capacity = capacity;
  g->open = true;
}

int
grt_join (struct grt_grants *g)
{
  for (int i = 0; i < GRT_SESSIONS_MAX; i++)
    if (!g->session[i].used && g->session[i].running == 0)
      {
        memset (&g->session[i], 0, sizeof g->session[i]);
        g->session[i].used = true;
        return i;
      }
  return -ENOSPC;
}

void
grt_leave (struct grt_grants *g, unsigned index)
{
  uint32_t running = g->session[index].running;

  memset (&g->session[index], 0, sizeof g->session[index]);
  g->session[index].running = running;
}

void
grt_set_demand (struct grt_grants *g, unsigned index, uint32_t queued,
                uint32_t entitled, uint32_t urgency)
{
  g->session[index].entitled = entitled < queued ? entitled : queued;
  g->session[index].queued = queued;
  g->session[index].urgency = urgency;
}

bool
grt_spend (struct grt_grants *g, unsigned index)
{
  struct grt_session *s = &g->session[index];

  if (s->credits == 0)
    return false;
  s->credits--;
  s->running++;
  if (s->queued > 0)
    s->queued--;
  if (s->recalled > s->credits)
    s->recalled = s->credits;
  return true;
}

void
grt_end (struct grt_grants *g, unsigned index)
{
  if (g->session[index].running > 0)
    g->session[index].running--;
}

void
grt_return (struct grt_grants *g, unsigned index, uint32_t n)
{
  struct grt_session *s = &g->session[index];

  if (n > s->credits)
    n = s->credits;
  s->credits -= n;
  s->recalled = s->recalled > n ? s->recalled - n : 0;
}

uint32_t
grt_available (const struct grt_grants *g)
{
  uint32_t taken = 0;

  for (int i = 0; i < GRT_SESSIONS_MAX; i++)
    taken += g->session[i].credits + g->session[i].running;
  return taken < g->capacity ? g->capacity - taken : 0;
}

static uint32_t
unmet_demand (const struct grt_session *s)
{
  return s->queued > s->credits ? s->queued - s->credits : 0;
}

/* Whether A gets the next credit before B.  */
static bool
grant_before (const struct grt_session *a, const struct grt_session *b)
{
  bool a_waits = unmet_demand (a) > 0;
  bool b_waits = unmet_demand (b) > 0;
  uint32_t a_slots = a->credits + a->running;
  uint32_t b_slots = b->credits + b->running;

  if (a_waits != b_waits)
    return a_waits;
  if (!a_waits)
    return a->credits < b->credits;
  if ((a->entitled > 0) != (b->entitled > 0))
    return a->entitled > 0;
  if (a_slots != b_slots)
    return a_slots < b_slots;
  return a->urgency < b->urgency;
}

static struct grt_session *
next_to_grant (struct grt_grants *g)
{
  struct grt_session *best = NULL;

  for (int i = 0; i < GRT_SESSIONS_MAX; i++)
    {
      struct grt_session *s = &g->session[i];
      if (s->used && (best == NULL || grant_before (s, best)))
        best = s;
    }
  return best;
}

static struct grt_session *
most_idle (struct grt_grants *g)
{
  struct grt_session *best = NULL;
  uint32_t most = 0;

  for (int i = 0; i < GRT_SESSIONS_MAX; i++)
    {
      struct grt_session *s = &g->session[i];
      uint32_t needed = s->recalled + s->queued;
      uint32_t spare = s->credits > needed ? s->credits - needed : 0;
      if (s->used && spare > most)
        {
          most = spare;
          best = s;
        }
    }
  return best;
}

/* Recall idle credits until the recalled ones cover all unmet demand.  */
static void
recall_idle (struct grt_grants *g)
{
  uint32_t coming = 0;
  uint32_t wanted = 0;

  for (int i = 0; i < GRT_SESSIONS_MAX; i++)
    {
      coming += g->session[i].recalled;
      wanted += g->session[i].used ? unmet_demand (&g->session[i]) : 0;
    }
  while (coming < wanted)
    {
      struct grt_session *s = most_idle (g);
      if (s == NULL)
        return;
      s->recalled++;
      s->change--;
      coming++;
    }
}

void
grt_balance (struct grt_grants *g)
{
  uint32_t available = g->open ? grt_available (g) : 0;

  for (; available > 0; available--)
    {
      struct grt_session *s = next_to_grant (g);
      if (s == NULL)
        return;
      s->credits++;
      s->change++;
      if (s->entitled > 0)
        s->entitled--;
    }
  if (g->open)
    recall_idle (g);
}
