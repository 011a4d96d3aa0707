#include "order.h"

#include <errno.h>
#include <math.h>
#include <string.h>
#include <talloc.h>

#define MIN_OCTAVE 22
#define BUCKETS_PER_OCTAVE 2

static double
score_arrival (const struct que_item *item, uint64_t now_ns)
{
  return (double)now_ns - (double)item->stamp_ns;
}

static double
score_shortest (const struct que_item *item, uint64_t now_ns)
{
  (void)now_ns;
  return -(double)item->estimate_ns;
}

static double
score_ratio (const struct que_item *item, uint64_t now_ns)
{
  double waited = (double)now_ns - (double)item->stamp_ns;

  return waited / ((double)item->estimate_ns + 1);
}

static const struct que_order orders[] = {
  { "arrival", score_arrival },
  { "shortest", score_shortest },
  { "ratio", score_ratio },
};

const struct que_order *
que_order_find (const char *name)
{
  for (size_t i = 0; i < sizeof orders / sizeof orders[0]; i++)
    if (strcmp (orders[i].name, name) == 0)
      return &orders[i];
  return NULL;
}

static void
heap_swap (struct ord_heap *h, unsigned a, unsigned b)
{
  struct que_item *item = h->items[a];

  h->items[a] = h->items[b];
  h->items[b] = item;
  h->items[a]->heap_index = a;
  h->items[b]->heap_index = b;
}

static void
sift_up (struct ord_heap *h, unsigned at)
{
  while (at > 0 && h->items[at]->stamp_ns < h->items[(at - 1) / 2]->stamp_ns)
    {
      heap_swap (h, at, (at - 1) / 2);
      at = (at - 1) / 2;
    }
}

static void
sift_down (struct ord_heap *h, unsigned at)
{
  for (;;)
    {
      unsigned earliest = at;
      for (unsigned child = 2 * at + 1; child <= 2 * at + 2; child++)
        if (child < h->count
            && h->items[child]->stamp_ns < h->items[earliest]->stamp_ns)
          earliest = child;
      if (earliest == at)
        return;
      heap_swap (h, at, earliest);
      at = earliest;
    }
}

static int
heap_add (void *mem_ctx, struct ord_heap *h, struct que_item *item)
{
  if (h->count == h->capacity)
    {
      unsigned capacity = h->capacity > 0 ? h->capacity * 2 : 8;
      struct que_item **grown
          = talloc_realloc (mem_ctx, h->items, struct que_item *, capacity);
      if (grown == NULL)
        return -ENOMEM;
      h->items = grown;
      h->capacity = capacity;
    }
  item->heap_index = h->count;
  h->items[h->count++] = item;
  sift_up (h, item->heap_index);
  return 0;
}

static void
heap_remove (struct ord_heap *h, struct que_item *item)
{
  unsigned at = item->heap_index;

  heap_swap (h, at, --h->count);
  if (at < h->count)
    {
      sift_up (h, at);
      sift_down (h, at);
    }
}

static unsigned
bucket_of (uint64_t estimate_ns)
{
  double octave = log2 ((double)estimate_ns + 1) - MIN_OCTAVE;

  if (octave <= 0)
    return 0;
  if (octave * BUCKETS_PER_OCTAVE >= QUE_BUCKETS - 1)
    return QUE_BUCKETS - 1;
  return (unsigned)(octave * BUCKETS_PER_OCTAVE);
}

int
ord_add (void *mem_ctx, struct ord_items *o, struct que_item *item)
{
  item->bucket = bucket_of (item->estimate_ns);
  return heap_add (mem_ctx, &o->bucket[item->bucket], item);
}

void
ord_remove (struct ord_items *o, struct que_item *item)
{
  heap_remove (&o->bucket[item->bucket], item);
}

struct que_item *
ord_best (const struct ord_items *o, const struct que_order *order,
          uint64_t now_ns)
{
  struct que_item *best = NULL;
  double best_score = 0;

  for (unsigned b = 0; b < QUE_BUCKETS; b++)
    {
      double score;
      if (o->bucket[b].count == 0)
        continue;
      score = order->score (o->bucket[b].items[0], now_ns);
      if (best == NULL || score > best_score)
        {
          best = o->bucket[b].items[0];
          best_score = score;
        }
    }
  return best;
}
