#include "lagoonvale/histogram.h"

#include <gsl/gsl_errno.h>
#include <gsl/gsl_histogram.h>
#include <stdio.h>
#include <talloc.h>
#include <uthash.h>
#include <xxhash.h>

#include "xtalloc.h"

#define NS_PER_S 1e9

/* Bounds of the buckets, seconds; the last bucket is shown as le="+Inf".  */
static const double bounds[]
    = { 0,   0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
        0.2, 0.5,   1,     2,     5,    10,   1e12 };
#define BUCKETS (sizeof bounds / sizeof bounds[0] - 1)

/* Identifies a series by hashes of its label values.  */
struct series_key
{
  uint64_t id;
  uint64_t label;
  uint64_t label2;
};

struct hst_series
{
  struct series_key key;
  unsigned id;
  char *labels; /* in exposition format */
  gsl_histogram *buckets;
  double sum_s;
  UT_hash_handle hh;
};

void
hst_init (struct hst_set *set, void *mem_ctx, const struct hst_desc *descs,
          unsigned count)
{
  memset (set, 0, sizeof *set);
  set->mem_ctx = mem_ctx;
  set->descs = descs;
  set->count = count;
}

void
hst_finish (struct hst_set *set)
{
  while (set->series != NULL)
    {
      struct hst_series *s = set->series;

      HASH_DEL (set->series, s);
      gsl_histogram_free (s->buckets);
      talloc_free (s);
    }
}

static struct series_key
make_key (unsigned id, struct lv_slice label, struct lv_slice label2)
{
  struct series_key key = { id, XXH3_64bits (label.data, label.len),
                            XXH3_64bits (label2.data, label2.len) };

  return key;
}

static struct hst_series *
find_series (const struct hst_set *set, const struct series_key *key)
{
  struct hst_series *s;

  HASH_FIND (hh, set->series, key, sizeof *key, s);
  return s;
}

/* Append NAME="VALUE" to TEXT, escaped as the exposition format requires.  */
static char *
append_label (char *text, const char *name, struct lv_slice value)
{
  size_t i;

  text = xtalloc_asprintf_append_buffer (text, "%s=\"", name);
  for (i = 0; i < value.len; i++)
    {
      char c = value.data[i];

      if (c == '\n')
        text = xtalloc_strdup_append_buffer (text, "\\n");
      else
        text = xtalloc_asprintf_append_buffer (
            text, c == '"' || c == '\\' ? "\\%c" : "%c", c);
    }
  return xtalloc_strdup_append_buffer (text, "\"");
}

static gsl_histogram *
alloc_buckets (void)
{
  /* GSL's own handler aborts the process.  */
  gsl_error_handler_t *handler = gsl_set_error_handler_off ();
  gsl_histogram *buckets = gsl_histogram_alloc (BUCKETS);

  gsl_set_error_handler (handler);
  return xtalloc_check (buckets);
}

static struct hst_series *
add_series (struct hst_set *set, const struct series_key *key,
            struct lv_slice label, struct lv_slice label2)
{
  const struct hst_desc *d = &set->descs[key->id];
  struct hst_series *s = xtalloc_zero (set->mem_ctx, struct hst_series);

  s->key = *key;
  s->id = (unsigned)key->id;
  s->labels = append_label (xtalloc_strdup (s, ""), d->label, label);
  if (d->label2 != NULL)
    {
      s->labels = xtalloc_strdup_append_buffer (s->labels, ",");
      s->labels = append_label (s->labels, d->label2, label2);
    }
  s->buckets = alloc_buckets ();
  gsl_histogram_set_ranges (s->buckets, bounds, BUCKETS + 1);
  HASH_ADD (hh, set->series, key, sizeof s->key, s);
  set->series_count++;
  return s;
}

void
hst_observe (struct hst_set *set, unsigned id, struct lv_slice label,
             struct lv_slice label2, uint64_t ns)
{
  double seconds = (double)ns / NS_PER_S;
  struct hst_series *s;
  struct series_key key = make_key (id, label, label2);

  s = find_series (set, &key);
  if (s == NULL && set->series_count >= HST_SERIES_MAX)
    {
      label = label2 = lv_slice_of ("other");
      key = make_key (id, label, label2);
      s = find_series (set, &key);
    }
  if (s == NULL)
    s = add_series (set, &key, label, label2);
  gsl_histogram_increment (s->buckets, seconds);
  s->sum_s += seconds;
}

uint64_t
hst_count (const struct hst_set *set, unsigned id, struct lv_slice label,
           struct lv_slice label2)
{
  struct series_key key = make_key (id, label, label2);
  const struct hst_series *s = find_series (set, &key);

  return s != NULL ? (uint64_t)gsl_histogram_sum (s->buckets) : 0;
}

static char *
append_series (char *text, const char *name, const struct hst_series *s)
{
  double count = 0;
  size_t i;

  for (i = 0; i + 1 < BUCKETS; i++)
    {
      count += gsl_histogram_get (s->buckets, i);
      text = xtalloc_asprintf_append_buffer (
          text, "%s_bucket{%s,le=\"%g\"} %.0f\n", name, s->labels,
          bounds[i + 1], count);
    }
  count += gsl_histogram_get (s->buckets, BUCKETS - 1);
  return xtalloc_asprintf_append_buffer (
      text,
      "%s_bucket{%s,le=\"+Inf\"} %.0f\n%s_sum{%s} %.6f\n%s_count{%s} %.0f\n",
      name, s->labels, count, name, s->labels, s->sum_s, name, s->labels,
      count);
}

char *
hst_append (char *text, const struct hst_set *set)
{
  const struct hst_series *s;
  unsigned id;

  for (id = 0; id < set->count; id++)
    {
      const struct hst_desc *d = &set->descs[id];

      text = xtalloc_asprintf_append_buffer (
          text, "# HELP %s %s\n# TYPE %s histogram\n", d->name, d->help,
          d->name);
      for (s = set->series; s != NULL; s = s->hh.next)
        if (s->id == id)
          text = append_series (text, d->name, s);
    }
  return text;
}
