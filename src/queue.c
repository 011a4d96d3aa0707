#include "lagoonvale/queue.h"

#include <errno.h>
#include <math.h>
#include <string.h>
#include <talloc.h>
#include <uthash.h>
#include <utlist.h>

#define FIRST_OCTAVE 22
#define PER_OCTAVE 2
#define NAME_BYTES 64
#define KEY_BYTES (2 * NAME_BYTES + 2)
/* Shares of the urgencies within one team's weight.  */
static const double urgency_factor[QUE_URGENCIES] = { 8, 4, 1 };
/* Virtual time that a flow may be ahead and still count as within its share,
   ns of service per unit of weight.  */
#define SHARE_SLACK_NS 50e6

struct heap
{
  struct que_item **items;
  unsigned count;
  unsigned cap;
};

struct que_flow
{
  char key[KEY_BYTES];
  size_t key_len;
  struct lv_slice team;
  struct lv_slice kind;
  enum que_urgency urgency;
  double weight;
  double start_ns; /* virtual start tag of the next task */
  size_t count;
  uint64_t work_ns;
  struct heap bucket[QUE_BUCKETS];
  struct que_flow *prev;
  struct que_flow *next;
  UT_hash_handle hh;
};

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

void
que_init (struct que_queue *q, void *mem_ctx, const struct que_order *order)
{
  memset (q, 0, sizeof *q);
  q->mem_ctx = mem_ctx;
  q->order = order;
}

void
que_finish (struct que_queue *q)
{
  struct que_flow *f;
  struct que_flow *next;

  HASH_ITER (hh, q->flows, f, next)
  {
    HASH_DEL (q->flows, f);
    talloc_free (f);
  }
}

static void
heap_swap (struct heap *h, unsigned a, unsigned b)
{
  struct que_item *item = h->items[a];

  h->items[a] = h->items[b];
  h->items[b] = item;
  h->items[a]->place = a;
  h->items[b]->place = b;
}

static void
heap_up (struct heap *h, unsigned at)
{
  while (at > 0 && h->items[at]->stamp_ns < h->items[(at - 1) / 2]->stamp_ns)
    {
      heap_swap (h, at, (at - 1) / 2);
      at = (at - 1) / 2;
    }
}

static void
heap_down (struct heap *h, unsigned at)
{
  for (;;)
    {
      unsigned least = at;
      for (unsigned child = 2 * at + 1; child <= 2 * at + 2; child++)
        if (child < h->count
            && h->items[child]->stamp_ns < h->items[least]->stamp_ns)
          least = child;
      if (least == at)
        return;
      heap_swap (h, at, least);
      at = least;
    }
}

static int
heap_add (void *mem_ctx, struct heap *h, struct que_item *item)
{
  if (h->count == h->cap)
    {
      unsigned cap = h->cap > 0 ? h->cap * 2 : 8;
      struct que_item **grown
          = talloc_realloc (mem_ctx, h->items, struct que_item *, cap);
      if (grown == NULL)
        return -ENOMEM;
      h->items = grown;
      h->cap = cap;
    }
  item->place = h->count;
  h->items[h->count++] = item;
  heap_up (h, item->place);
  return 0;
}

static void
heap_remove (struct heap *h, struct que_item *item)
{
  unsigned at = item->place;

  heap_swap (h, at, --h->count);
  if (at < h->count)
    {
      heap_up (h, at);
      heap_down (h, at);
    }
}

static unsigned
bucket_of (uint64_t estimate_ns)
{
  double octave = log2 ((double)estimate_ns + 1) - FIRST_OCTAVE;

  if (octave <= 0)
    return 0;
  if (octave * PER_OCTAVE >= QUE_BUCKETS - 1)
    return QUE_BUCKETS - 1;
  return (unsigned)(octave * PER_OCTAVE);
}

static size_t
flow_key (char key[KEY_BYTES], struct lv_slice team, enum que_urgency urgency,
          struct lv_slice kind)
{
  size_t team_len = team.len < NAME_BYTES ? team.len : NAME_BYTES;
  size_t kind_len = kind.len < NAME_BYTES ? kind.len : NAME_BYTES;

  key[0] = (char)('0' + (int)urgency);
  key[1] = (char)team_len;
  memcpy (key + 2, team.data, team_len);
  memcpy (key + 2 + team_len, kind.data, kind_len);
  return 2 + team_len + kind_len;
}

static struct que_flow *
find_flow (const struct que_queue *q, struct lv_slice team,
           enum que_urgency urgency, struct lv_slice kind)
{
  char key[KEY_BYTES];
  size_t len = flow_key (key, team, urgency, kind);
  struct que_flow *f;

  HASH_FIND (hh, q->flows, key, len, f);
  return f;
}

static struct que_flow *
obtain_flow (struct que_queue *q, struct lv_slice team,
             enum que_urgency urgency, struct lv_slice kind)
{
  struct que_flow *f = find_flow (q, team, urgency, kind);

  if (f != NULL)
    return f;
  f = talloc_zero (q->mem_ctx, struct que_flow);
  if (f == NULL)
    return NULL;
  f->key_len = flow_key (f->key, team, urgency, kind);
  f->urgency = urgency;
  f->team.data = f->key + 2;
  f->team.len = (size_t)f->key[1];
  f->kind.data = f->team.data + f->team.len;
  f->kind.len = f->key_len - 2 - f->team.len;
  HASH_ADD_KEYPTR (hh, q->flows, f->key, f->key_len, f);
  return f;
}

/* A team's weight for an urgency is split among its waiting kinds, so that a
   flood of one kind takes from its own share.  */
static double
flow_weight (const struct que_queue *q, const struct que_flow *flow)
{
  double weight = urgency_factor[flow->urgency];
  unsigned kinds = 0;
  const struct que_flow *f;

  if (q->weight_of != NULL)
    weight *= q->weight_of (q->weight_priv, flow->team, flow->urgency);
  DL_FOREACH (q->backlogged, f)
  if (f->urgency == flow->urgency && lv_slice_eq (f->team, flow->team))
    kinds++;
  return weight / (kinds > 0 ? kinds : 1);
}

static void
reweigh_siblings (struct que_queue *q, const struct que_flow *flow)
{
  struct que_flow *f;

  DL_FOREACH (q->backlogged, f)
  if (f->urgency == flow->urgency && lv_slice_eq (f->team, flow->team))
    f->weight = flow_weight (q, f);
}

int
que_push (struct que_queue *q, struct que_item *item, struct lv_slice team,
          enum que_urgency urgency, struct lv_slice kind, uint64_t estimate_ns,
          uint64_t spread_ns, uint64_t now_ns)
{
  struct que_flow *f = obtain_flow (q, team, urgency, kind);

  if (f == NULL)
    return -ENOMEM;
  item->stamp_ns = now_ns + spread_ns;
  item->estimate_ns = estimate_ns;
  item->bucket = bucket_of (estimate_ns);
  if (heap_add (f, &f->bucket[item->bucket], item) != 0)
    return -ENOMEM;
  item->flow = f;
  if (f->count == 0)
    {
      DL_APPEND (q->backlogged, f);
      reweigh_siblings (q, f);
      f->start_ns = fmax (f->start_ns, q->virtual_ns);
    }
  f->count++;
  f->work_ns += estimate_ns;
  q->count++;
  q->work_ns += estimate_ns;
  q->urgency_count[urgency]++;
  return 0;
}

void
que_remove (struct que_queue *q, struct que_item *item)
{
  struct que_flow *f = item->flow;

  if (f == NULL)
    return;
  heap_remove (&f->bucket[item->bucket], item);
  item->flow = NULL;
  f->count--;
  f->work_ns -= item->estimate_ns;
  q->count--;
  q->work_ns -= item->estimate_ns;
  q->urgency_count[f->urgency]--;
  if (f->count == 0)
    {
      DL_DELETE (q->backlogged, f);
      reweigh_siblings (q, f);
    }
}

static struct que_item *
best_item (const struct que_queue *q, const struct que_flow *f,
           uint64_t now_ns)
{
  struct que_item *best = NULL;
  double best_score = 0;

  for (unsigned b = 0; b < QUE_BUCKETS; b++)
    {
      double score;
      if (f->bucket[b].count == 0)
        continue;
      score = q->order->score (f->bucket[b].items[0], now_ns);
      if (best == NULL || score > best_score)
        {
          best = f->bucket[b].items[0];
          best_score = score;
        }
    }
  return best;
}

/* Whether A goes before B: those within their share first, then by urgency,
   then by virtual time.  */
static bool
goes_before (const struct que_queue *q, const struct que_flow *a,
             const struct que_flow *b)
{
  bool a_within = a->start_ns <= q->virtual_ns + SHARE_SLACK_NS / a->weight;
  bool b_within = b->start_ns <= q->virtual_ns + SHARE_SLACK_NS / b->weight;

  if (a_within != b_within)
    return a_within;
  if (a_within && a->urgency != b->urgency)
    return a->urgency < b->urgency;
  return a->start_ns < b->start_ns;
}

struct que_item *
que_peek (struct que_queue *q, uint64_t now_ns,
          bool (*blocked) (void *priv, struct lv_slice team,
                           struct lv_slice kind),
          void *priv)
{
  struct que_flow *best = NULL;
  struct que_flow *f;

  DL_FOREACH (q->backlogged, f)
  {
    if (blocked != NULL && blocked (priv, f->team, f->kind))
      continue;
    if (best == NULL || goes_before (q, f, best))
      best = f;
  }
  return best != NULL ? best_item (q, best, now_ns) : NULL;
}

static void
advance_virtual (struct que_queue *q, uint64_t served_ns)
{
  double weights = 0;
  double least = INFINITY;
  const struct que_flow *f;

  DL_FOREACH (q->backlogged, f)
  {
    weights += f->weight;
    least = fmin (least, f->start_ns);
  }
  if (weights > 0)
    q->virtual_ns += (double)served_ns / weights;
  if (least < INFINITY)
    q->virtual_ns = fmax (q->virtual_ns, least);
}

void
que_take (struct que_queue *q, struct que_item *item)
{
  struct que_flow *f = item->flow;

  f->start_ns += (double)item->estimate_ns / f->weight;
  advance_virtual (q, item->estimate_ns);
  que_remove (q, item);
}

void
que_correct (struct que_queue *q, struct lv_slice team,
             enum que_urgency urgency, struct lv_slice kind,
             uint64_t estimate_ns, uint64_t actual_ns)
{
  struct que_flow *f = find_flow (q, team, urgency, kind);

  if (f == NULL || f->weight <= 0)
    return;
  f->start_ns += ((double)actual_ns - (double)estimate_ns) / f->weight;
}

uint64_t
que_wait_ns (const struct que_queue *q, struct lv_slice team,
             enum que_urgency urgency, struct lv_slice kind, double slots)
{
  const struct que_flow *mine = find_flow (q, team, urgency, kind);
  const struct que_flow *f;
  double weights = 0;

  if (mine == NULL || mine->count == 0)
    return 0;
  DL_FOREACH (q->backlogged, f)
  weights += f->weight;
  slots *= mine->weight / weights;
  return (uint64_t)((double)mine->work_ns / fmax (slots, 1e-3));
}

size_t
que_team_count (const struct que_queue *q, struct lv_slice team)
{
  const struct que_flow *f;
  size_t count = 0;

  DL_FOREACH (q->backlogged, f)
  if (lv_slice_eq (f->team, team))
    count += f->count;
  return count;
}

enum que_urgency
que_most_urgent (const struct que_queue *q)
{
  for (int u = 0; u < QUE_URGENCIES; u++)
    if (q->urgency_count[u] > 0)
      return (enum que_urgency)u;
  return QUE_BULK;
}
