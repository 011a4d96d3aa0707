#include "lagoonvale/estimate.h"

#include <math.h>
#include <string.h>
#include <talloc.h>
#include <uthash.h>

/* Quarter-octave buckets from 2^16 ns (66 us) to 2^42 ns (73 minutes).  */
#define FIRST_OCTAVE 16
#define PER_OCTAVE 4
#define BUCKETS ((42 - FIRST_OCTAVE) * PER_OCTAVE)
/* Total of the counts at which all counts are halved.  */
#define DECAY_TOTAL 512.0
/* Weight of one task in the moving average of the failure rate.  */
#define FAILURE_WEIGHT 0.05
#define NAME_BYTES 64

/* TOTAL is the sum of COUNT; SUM_NS sums the run times and decays with it.  */
struct est_kind
{
  char name[NAME_BYTES];
  size_t name_len;
  float count[BUCKETS];
  double total;
  double sum_ns;
  double failure_rate;
  UT_hash_handle hh;
};

static const struct lv_slice overflow_kind = { "*", 1 };

void
est_init (struct est_table *t, void *mem_ctx)
{
  memset (t, 0, sizeof *t);
  t->mem_ctx = mem_ctx;
}

void
est_finish (struct est_table *t)
{
  struct est_kind *k;
  struct est_kind *next;

  HASH_ITER (hh, t->kinds, k, next)
  {
    HASH_DEL (t->kinds, k);
    talloc_free (k);
  }
}

static struct est_kind *
find (const struct est_table *t, struct lv_slice name)
{
  struct est_kind *k;

  HASH_FIND (hh, t->kinds, name.data, name.len, k);
  return k;
}

/* Whether NAME, which is not in the table, shares the overflow kind.  */
static bool
overflows (const struct est_table *t, struct lv_slice name)
{
  return name.len >= NAME_BYTES || t->kind_count >= EST_KINDS_MAX;
}

static const struct est_kind *
look_up (const struct est_table *t, struct lv_slice name)
{
  const struct est_kind *k = find (t, name);

  return k == NULL && overflows (t, name) ? find (t, overflow_kind) : k;
}

static struct est_kind *
ensure_kind (struct est_table *t, struct lv_slice name)
{
  struct est_kind *k = find (t, name);

  if (k != NULL)
    return k;
  if (overflows (t, name))
    {
      k = find (t, overflow_kind);
      if (k != NULL)
        return k;
      name = overflow_kind;
      t->shared = true;
    }
  k = talloc_zero (t->mem_ctx, struct est_kind);
  if (k == NULL)
    return NULL;
  memcpy (k->name, name.data, name.len);
  k->name_len = name.len;
  HASH_ADD_KEYPTR (hh, t->kinds, k->name, k->name_len, k);
  t->kind_count++;
  return k;
}

static unsigned
bucket_of (uint64_t run_ns)
{
  double octave = run_ns > 0 ? log2 ((double)run_ns) - FIRST_OCTAVE : 0;

  if (octave <= 0)
    return 0;
  if (octave * PER_OCTAVE >= BUCKETS - 1)
    return BUCKETS - 1;
  return (unsigned)(octave * PER_OCTAVE);
}

/* Geometric mean of the bounds of a bucket, ns.  */
static uint64_t
bucket_value (unsigned bucket)
{
  return (uint64_t)exp2 (FIRST_OCTAVE + (bucket + 0.5) / PER_OCTAVE);
}

static void
record_time (struct est_kind *k, uint64_t run_ns)
{
  if (k->total >= DECAY_TOTAL)
    {
      for (unsigned i = 0; i < BUCKETS; i++)
        k->count[i] /= 2;
      k->total /= 2;
      k->sum_ns /= 2;
    }
  k->count[bucket_of (run_ns)] += 1;
  k->total += 1;
  k->sum_ns += (double)run_ns;
}

bool
est_observe (struct est_table *t, struct lv_slice kind, uint64_t run_ns,
             bool succeeded)
{
  bool shared = t->shared;
  struct est_kind *k = ensure_kind (t, kind);

  if (k == NULL)
    return false;
  k->failure_rate
      += FAILURE_WEIGHT * ((succeeded ? 0.0 : 1.0) - k->failure_rate);
  if (succeeded)
    record_time (k, run_ns);
  return t->shared != shared;
}

uint64_t
est_quantile (const struct est_table *t, struct lv_slice kind, double q)
{
  const struct est_kind *k = look_up (t, kind);
  double below = 0;

  if (k == NULL || k->total < 1)
    return EST_DEFAULT_NS;
  for (unsigned i = 0; i < BUCKETS; i++)
    {
      below += k->count[i];
      if (below >= q * k->total)
        return bucket_value (i);
    }
  return bucket_value (BUCKETS - 1);
}

uint64_t
est_mean (const struct est_table *t, struct lv_slice kind)
{
  const struct est_kind *k = look_up (t, kind);

  if (k == NULL || k->total < 1)
    return EST_DEFAULT_NS;
  return (uint64_t)(k->sum_ns / k->total);
}

double
est_failure_rate (const struct est_table *t, struct lv_slice kind)
{
  const struct est_kind *k = look_up (t, kind);

  return k != NULL ? k->failure_rate : 0;
}
