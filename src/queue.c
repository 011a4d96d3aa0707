#include "lagoonvale/queue.h"

#include <errno.h>
#include <math.h>
#include <string.h>
#include <talloc.h>
#include <uthash.h>
#include <utlist.h>

#include "lagoonvale/usage.h"
#include "order.h"

#define NAME_BYTES 64
#define KEY_BYTES (2 * NAME_BYTES + 2)

/* Weights of the urgencies within one team.  */
static const double urgency_weight[QUE_URGENCIES] = { 8, 4, 1 };

/* Kept while the team has flows or its average use is not negligible.
   COUNT: waiting tasks.  ACTIVE_FLOWS: flows with waiting or running tasks, by
   urgency.  FLOW_COUNT: all flows, the idle ones included.  */
struct que_team
{
  char name[NAME_BYTES];
  size_t name_len;
  double weight;
  size_t count;
  struct usg_usage usage;
  unsigned active_flows[QUE_URGENCIES];
  unsigned flow_count;
  UT_hash_handle hh;
};

struct que_flow
{
  char key[KEY_BYTES];
  size_t key_len;
  struct que_team *team;
  struct lv_slice kind;
  enum que_urgency urgency;
  size_t count;
  struct usg_usage usage;
  uint64_t work_ns;
  struct ord_items items;
  struct que_flow *prev;
  struct que_flow *next;
  UT_hash_handle hh;
};

void
que_init (struct que_queue *q, void *mem_ctx, const struct que_order *order)
{
  memset (q, 0, sizeof *q);
  q->mem_ctx = mem_ctx;
  q->order = order;
  q->slots = 1;
  q->decay_ns = QUE_DECAY_NS;
}

void
que_finish (struct que_queue *q)
{
  struct que_flow *f;
  struct que_flow *next_flow;
  struct que_team *t;
  struct que_team *next_team;

  HASH_ITER (hh, q->flows, f, next_flow)
  {
    HASH_DEL (q->flows, f);
    talloc_free (f);
  }
  HASH_ITER (hh, q->teams, t, next_team)
  {
    HASH_DEL (q->teams, t);
    talloc_free (t);
  }
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

static struct que_team *
find_team (const struct que_queue *q, struct lv_slice name)
{
  size_t len = name.len < NAME_BYTES ? name.len : NAME_BYTES;
  struct que_team *t;

  HASH_FIND (hh, q->teams, name.data, len, t);
  return t;
}

static struct que_team *
get_or_add_team (struct que_queue *q, struct lv_slice name)
{
  struct que_team *t = find_team (q, name);

  if (t != NULL)
    return t;
  t = talloc_zero (q->mem_ctx, struct que_team);
  if (t == NULL)
    return NULL;
  t->name_len = name.len < NAME_BYTES ? name.len : NAME_BYTES;
  memcpy (t->name, name.data, t->name_len);
  t->weight = 1;
  HASH_ADD_KEYPTR (hh, q->teams, t->name, t->name_len, t);
  return t;
}

static struct que_flow *
get_or_add_flow (struct que_queue *q, struct lv_slice team,
                 enum que_urgency urgency, struct lv_slice kind)
{
  struct que_flow *f = find_flow (q, team, urgency, kind);

  if (f != NULL)
    return f;
  f = talloc_zero (q->mem_ctx, struct que_flow);
  if (f == NULL)
    return NULL;
  f->team = get_or_add_team (q, team);
  if (f->team == NULL)
    {
      talloc_free (f);
      return NULL;
    }
  f->key_len = flow_key (f->key, team, urgency, kind);
  f->urgency = urgency;
  f->kind.data = f->key + 2 + f->key[1];
  f->kind.len = f->key_len - 2 - (size_t)f->key[1];
  f->team->flow_count++;
  HASH_ADD_KEYPTR (hh, q->flows, f->key, f->key_len, f);
  return f;
}

static struct lv_slice
team_name (const struct que_team *t)
{
  struct lv_slice name = { t->name, t->name_len };

  return name;
}

/* Update the weights and counts after a flow may have become active (with
   waiting or running tasks) or idle.  */
static void
update_active (struct que_queue *q, struct que_flow *f, bool was_active)
{
  struct que_team *t = f->team;
  bool active = f->count + f->usage.running > 0;

  if (active == was_active)
    return;
  if (active && t->count + t->usage.running <= 1)
    {
      if (q->weight_of != NULL)
        t->weight = q->weight_of (q->weight_priv, team_name (t));
      q->weight_sum += t->weight;
    }
  else if (!active && t->count + t->usage.running == 0)
    q->weight_sum -= t->weight;
  t->active_flows[f->urgency] += active ? 1 : (unsigned)-1;
}

int
que_push (struct que_queue *q, struct que_item *item, struct lv_slice team,
          enum que_urgency urgency, struct lv_slice kind, uint64_t estimate_ns,
          uint64_t spread_ns, uint64_t now_ns)
{
  struct que_flow *f = get_or_add_flow (q, team, urgency, kind);

  if (f == NULL)
    return -ENOMEM;
  item->stamp_ns = now_ns + spread_ns;
  item->estimate_ns = estimate_ns;
  if (ord_add (f, &f->items, item) != 0)
    return -ENOMEM;
  item->flow = f;
  if (f->count == 0)
    DL_APPEND (q->backlogged, f);
  f->count++;
  f->team->count++;
  update_active (q, f, f->count + f->usage.running > 1);
  f->work_ns += estimate_ns;
  q->count++;
  q->work_ns += estimate_ns;
  q->urgency_count[urgency]++;
  return 0;
}

static void
unlink_item (struct que_queue *q, struct que_item *item)
{
  struct que_flow *f = item->flow;

  ord_remove (&f->items, item);
  item->flow = NULL;
  f->count--;
  f->team->count--;
  f->work_ns -= item->estimate_ns;
  q->count--;
  q->work_ns -= item->estimate_ns;
  q->urgency_count[f->urgency]--;
  if (f->count == 0)
    DL_DELETE (q->backlogged, f);
}

void
que_remove (struct que_queue *q, struct que_item *item)
{
  struct que_flow *f = item->flow;

  if (f == NULL)
    return;
  unlink_item (q, item);
  update_active (q, f, true);
}

/* SLOTS divided by the flow's weight in its team: the weight of its urgency,
   divided equally among the active flows of that urgency.  */
static double
flow_load (const struct que_flow *f, double slots)
{
  return slots * f->team->active_flows[f->urgency]
         / urgency_weight[f->urgency];
}

static double
team_load (const struct que_team *t)
{
  return (double)t->usage.running / t->weight;
}

/* The lowest rank is served first.  */
enum rank
{
  WITHIN_SHARE,
  IN_BURST,
  OVER_SHARE,
};

static enum rank
team_rank (const struct que_queue *q, const struct que_team *t,
           uint64_t now_ns)
{
  double share = q->slots * t->weight / q->weight_sum;

  if ((double)t->usage.running < share)
    return WITHIN_SHARE;
  if (q->decay_ns > 0
      && usg_mean (&t->usage, now_ns, q->decay_ns)
             < QUE_BURST_THRESHOLD * share)
    return IN_BURST;
  return OVER_SHARE;
}

/* Like team_rank(), for a flow's share of the slots that its team occupies. */
static enum rank
flow_rank (const struct que_queue *q, const struct que_flow *f,
           uint64_t now_ns)
{
  const struct que_team *t = f->team;
  double urgency_weight_sum = 0;

  for (int u = 0; u < QUE_URGENCIES; u++)
    urgency_weight_sum += t->active_flows[u] > 0 ? urgency_weight[u] : 0;
  if (flow_load (f, f->usage.running) * urgency_weight_sum
      <= (double)t->usage.running)
    return WITHIN_SHARE;
  if (q->decay_ns > 0
      && flow_load (f, usg_mean (&f->usage, now_ns, q->decay_ns))
                 * urgency_weight_sum
             < QUE_BURST_THRESHOLD * usg_mean (&t->usage, now_ns, q->decay_ns))
    return IN_BURST;
  return OVER_SHARE;
}

static bool
precedes_in_team (const struct que_queue *q, const struct que_flow *a,
                  const struct que_flow *b, uint64_t now_ns)
{
  enum rank a_rank = flow_rank (q, a, now_ns);
  enum rank b_rank = flow_rank (q, b, now_ns);

  if (a_rank != b_rank)
    return a_rank < b_rank;
  if (a_rank != OVER_SHARE && a->urgency != b->urgency)
    return a->urgency < b->urgency;
  return flow_load (a, a->usage.running) < flow_load (b, b->usage.running);
}

static bool
precedes (const struct que_queue *q, const struct que_flow *a,
          const struct que_flow *b, uint64_t now_ns)
{
  enum rank a_rank;
  enum rank b_rank;

  if (a->team == b->team)
    return precedes_in_team (q, a, b, now_ns);
  a_rank = team_rank (q, a->team, now_ns);
  b_rank = team_rank (q, b->team, now_ns);
  if (a_rank != b_rank)
    return a_rank < b_rank;
  if (a_rank != OVER_SHARE && a->urgency != b->urgency)
    return a->urgency < b->urgency;
  return team_load (a->team) < team_load (b->team);
}

/* An idle team or flow is freed once its average use is below this, slots.  */
#define IDLE_MEAN_MAX 0.05

static bool
is_idle (const struct que_queue *q, const struct usg_usage *usage,
         uint64_t now_ns)
{
  return usage->running == 0
         && usg_mean (usage, now_ns, q->decay_ns) < IDLE_MEAN_MAX;
}

void
que_evict_idle (struct que_queue *q, uint64_t now_ns)
{
  struct que_flow *f;
  struct que_flow *next_flow;
  struct que_team *t;
  struct que_team *next_team;

  HASH_ITER (hh, q->flows, f, next_flow)
  {
    if (f->count > 0 || !is_idle (q, &f->usage, now_ns))
      continue;
    f->team->flow_count--;
    HASH_DEL (q->flows, f);
    talloc_free (f);
  }
  HASH_ITER (hh, q->teams, t, next_team)
  {
    if (t->flow_count > 0 || !is_idle (q, &t->usage, now_ns))
      continue;
    HASH_DEL (q->teams, t);
    talloc_free (t);
  }
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
    if (blocked != NULL && blocked (priv, team_name (f->team), f->kind))
      continue;
    if (best == NULL || precedes (q, f, best, now_ns))
      best = f;
  }
  return best != NULL ? ord_best (&best->items, q->order, now_ns) : NULL;
}

void
que_update_weights (struct que_queue *q)
{
  struct que_team *t;
  struct que_team *next;

  q->weight_sum = 0;
  HASH_ITER (hh, q->teams, t, next)
  {
    if (t->count + t->usage.running == 0)
      continue;
    if (q->weight_of != NULL)
      t->weight = q->weight_of (q->weight_priv, team_name (t));
    q->weight_sum += t->weight;
  }
}

static int
slots_or_one (uint32_t slots)
{
  return slots > 0 ? (int)slots : 1;
}

void
que_take (struct que_queue *q, struct que_item *item, uint64_t now_ns)
{
  struct que_flow *f = item->flow;

  usg_update (&f->usage, slots_or_one (item->slots), now_ns, q->decay_ns);
  usg_update (&f->team->usage, slots_or_one (item->slots), now_ns,
              q->decay_ns);
  unlink_item (q, item);
}

void
que_release (struct que_queue *q, struct lv_slice team,
             enum que_urgency urgency, struct lv_slice kind, uint32_t slots,
             uint64_t now_ns)
{
  struct que_flow *f = find_flow (q, team, urgency, kind);

  if (f == NULL || f->usage.running == 0)
    return;
  usg_update (&f->usage, -slots_or_one (slots), now_ns, q->decay_ns);
  usg_update (&f->team->usage, -slots_or_one (slots), now_ns, q->decay_ns);
  update_active (q, f, true);
}

uint64_t
que_expected_wait_ns (const struct que_queue *q, struct lv_slice team,
                      enum que_urgency urgency, struct lv_slice kind)
{
  const struct que_flow *f = find_flow (q, team, urgency, kind);
  const struct que_team *t;
  double urgency_weight_sum = 0;
  double slots;

  if (f == NULL || f->count == 0)
    return 0;
  t = f->team;
  for (int u = 0; u < QUE_URGENCIES; u++)
    urgency_weight_sum += t->active_flows[u] > 0 ? urgency_weight[u] : 0;
  /* The slots that the team occupies, or its share if that is more.  */
  slots
      = fmax ((double)t->usage.running, q->slots * t->weight / q->weight_sum);
  slots *= urgency_weight[urgency] / urgency_weight_sum
           / t->active_flows[urgency];
  return (uint64_t)((double)f->work_ns / fmax (slots, 1e-3));
}

size_t
que_team_count (const struct que_queue *q, struct lv_slice team)
{
  const struct que_team *t = find_team (q, team);

  return t != NULL ? t->count : 0;
}

size_t
que_entitled_count (const struct que_queue *q, uint64_t now_ns)
{
  const struct que_flow *f;
  size_t entitled = 0;

  DL_FOREACH (q->backlogged, f)
  {
    if (team_rank (q, f->team, now_ns) != OVER_SHARE)
      entitled += f->count;
  }
  return entitled;
}

bool
que_over_share (const struct que_queue *q, const struct que_item *item,
                uint64_t now_ns)
{
  const struct que_team *t = item->flow->team;

  return q->weight_sum > t->weight && team_rank (q, t, now_ns) == OVER_SHARE;
}

enum que_urgency
que_most_urgent (const struct que_queue *q)
{
  for (int u = 0; u < QUE_URGENCIES; u++)
    if (q->urgency_count[u] > 0)
      return (enum que_urgency)u;
  return QUE_BULK;
}
