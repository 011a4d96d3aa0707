#include "lagoonvale/orderrate.h"

#include <math.h>
#include <string.h>

void
orr_init (struct orr_rates *r, void *mem_ctx)
{
  memset (r, 0, sizeof *r);
  ntb_init (&r->names, mem_ctx);
}

void
orr_finish (struct orr_rates *r)
{
  ntb_finish (&r->names);
}

/* Put QUEUE in place of the one that was quiet longest.  Return: its place. */
static int
replace_quietest (struct orr_rates *r, struct lv_slice queue)
{
  int place = 0;
  int i;

  for (i = 1; i < ORR_QUEUES_MAX; i++)
    if (r->queues[i].at_ns < r->queues[place].at_ns)
      place = i;
  memset (&r->queues[place], 0, sizeof r->queues[place]);
  ntb_put (&r->names, place, queue);
  return place;
}

static double
count_at (const struct orr_queue *q, uint64_t now_ns)
{
  uint64_t age_ns = now_ns > q->at_ns ? now_ns - q->at_ns : 0;

  return q->count * exp (-(double)age_ns / ORR_WINDOW_NS);
}

void
orr_record (struct orr_rates *r, struct lv_slice queue, uint64_t now_ns)
{
  int place = ntb_find (&r->names, queue);
  struct orr_queue *q;

  if (place < 0)
    place = replace_quietest (r, queue);
  q = &r->queues[place];
  q->count = count_at (q, now_ns) + 1;
  q->at_ns = now_ns;
}

double
orr_presence (const struct orr_rates *r, struct lv_slice queue,
              uint64_t window_ns, uint64_t now_ns)
{
  int place = ntb_find (&r->names, queue);
  double expected;

  if (place < 0)
    return 0;
  expected = count_at (&r->queues[place], now_ns) * (double)window_ns
             / ORR_WINDOW_NS;
  return 1 - exp (-expected);
}
