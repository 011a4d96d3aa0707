#include "lagoonvale/bulkhead.h"

#include <math.h>
#include <string.h>

/* Bounds of the presence that is reckoned with: one that was seldom seen so
   far proves little.  */
#define PRESENCE_MIN 0.05
#define PRESENCE_MAX 0.95
/* Probability that the guilty queue had no young run at a crash: the minion
   crashed by itself, or the task ran for a while.  */
#define MISSED 0.05
/* Log of the odds against any other cause at which a queue is confined.  */
#define LOG_ODDS_MIN 3.5

void
blk_init (struct blk_bulkhead *b, void *mem_ctx)
{
  memset (b, 0, sizeof *b);
  ntb_init (&b->names, mem_ctx);
}

void
blk_finish (struct blk_bulkhead *b)
{
  ntb_finish (&b->names);
}

static bool
is_recent (uint64_t at_ns, uint64_t now_ns)
{
  return at_ns != 0 && now_ns < at_ns + BLK_WINDOW_NS;
}

static bool
is_confined (const struct blk_queue *q, uint64_t now_ns)
{
  return q->confined && now_ns < q->newest_ns + BLK_RELEASE_NS;
}

/* Reuse the slot of a queue without a recent crash for NAME.  */
static int
add_queue (struct blk_bulkhead *b, struct lv_slice name, uint64_t now_ns)
{
  int i;

  for (i = 0; i < BLK_QUEUES_MAX; i++)
    {
      struct blk_queue *q = &b->queues[i];

      if (is_recent (q->newest_ns, now_ns))
        continue;
      memset (q, 0, sizeof *q);
      ntb_put (&b->names, i, name);
      return i;
    }
  return -1;
}

static double
clamp (double presence)
{
  if (presence < PRESENCE_MIN)
    return PRESENCE_MIN;
  return presence > PRESENCE_MAX ? PRESENCE_MAX : presence;
}

/* How much likelier the recent crashes are if queue Q causes them than if none
   does, as a logarithm; 0 if too few hit it.  */
static double
log_odds (const struct blk_bulkhead *b, unsigned q, uint64_t now_ns)
{
  double sum = 0;
  unsigned hits = 0;
  unsigned i;

  for (i = 0; i < BLK_CRASHES_MAX; i++)
    {
      const struct blk_crash *crash = &b->crashes[i];

      if (!is_recent (crash->at_ns, now_ns))
        continue;
      if (crash->presence[q] > 0)
        sum -= log (clamp (crash->presence[q]));
      else
        sum += log (MISSED);
      hits += crash->presence[q] > 0;
    }
  return hits >= BLK_CRASHES_MIN ? sum : 0;
}

/* Confine the queue that causes the recent crashes, if one stands out.
   Return: its name if it was not confined before, or NULL.  */
static const char *
confine_guilty (struct blk_bulkhead *b, uint64_t now_ns)
{
  double odds[BLK_QUEUES_MAX];
  double next = 0;
  unsigned best = 0;
  unsigned q;

  for (q = 0; q < BLK_QUEUES_MAX; q++)
    {
      odds[q] = log_odds (b, q, now_ns);
      if (odds[q] > odds[best])
        best = q;
    }
  for (q = 0; q < BLK_QUEUES_MAX; q++)
    if (q != best && odds[q] > next)
      next = odds[q];
  if (odds[best] < next + LOG_ODDS_MIN || b->queues[best].confined)
    return NULL;
  b->queues[best].confined = true;
  return b->names.names[best];
}

const char *
blk_record_crash (struct blk_bulkhead *b, const struct blk_young *young,
                  unsigned count, uint64_t now_ns)
{
  struct blk_crash *crash = &b->crashes[b->next];
  unsigned i;

  b->next = (b->next + 1) % BLK_CRASHES_MAX;
  memset (crash, 0, sizeof *crash);
  crash->at_ns = now_ns;
  for (i = 0; i < count; i++)
    {
      int q = ntb_find (&b->names, young[i].queue);

      if (q < 0)
        q = add_queue (b, young[i].queue, now_ns);
      if (q < 0)
        continue;
      if (!is_confined (&b->queues[q], now_ns))
        b->queues[q].confined = false;
      if (now_ns > b->queues[q].newest_ns)
        b->queues[q].newest_ns = now_ns;
      crash->presence[q] = (float)clamp (young[i].presence);
    }
  return confine_guilty (b, now_ns);
}

bool
blk_is_confined (const struct blk_bulkhead *b, struct lv_slice queue,
                 uint64_t now_ns)
{
  int q = ntb_find (&b->names, queue);

  return q >= 0 && is_confined (&b->queues[q], now_ns);
}

bool
blk_any (const struct blk_bulkhead *b, uint64_t now_ns)
{
  unsigned i;

  for (i = 0; i < BLK_QUEUES_MAX; i++)
    if (is_confined (&b->queues[i], now_ns))
      return true;
  return false;
}

unsigned
blk_share (unsigned agents)
{
  unsigned members = agents * BLK_SHARE_PERCENT / 100;

  if (agents < BLK_AGENTS_MIN)
    return 0;
  return members > 0 ? members : 1;
}
