#include "lagoonvale/histogram.h"

#include <gsl/gsl_histogram.h>
#include <stdio.h>
#include <talloc.h>
#include <uthash.h>

#define NS_PER_S 1e9
/* Size of the key of a series (family and both label values), bytes.  */
#define KEY_MAX 192

/* Bounds of the buckets, seconds; the last bucket is shown as le="+Inf".  */
static const double bounds[]
    = { 0,   0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
        0.2, 0.5,   1,     2,     5,    10,   1e12 };
#define BUCKETS (sizeof bounds / sizeof bounds[0] - 1)

struct hst_series
{
  char key[KEY_MAX];
  size_t key_len;
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

static size_t
make_key (char key[KEY_MAX], unsigned id, struct lv_slice label,
          struct lv_slice label2)
{
  int n = snprintf (key, KEY_MAX, "%u\n%.*s\n%.*s", id, (int)label.len,
                    label.data, (int)label2.len, label2.data);

  return n < KEY_MAX ? (size_t)n : KEY_MAX - 1;
}

static struct hst_series *
find_series (const struct hst_set *set, const char *key, size_t len)
{
  struct hst_series *s;

  HASH_FIND (hh, set->series, key, len, s);
  return s;
}

/* Append NAME="VALUE" to TEXT, escaped as the exposition format requires.  */
static char *
append_label (char *text, const char *name, struct lv_slice value)
{
  size_t i;

  text = talloc_asprintf_append_buffer (text, "%s=\"", name);
  for (i = 0; i < value.len; i++)
    {
      char c = value.data[i];

      if (c == '\n')
        text = talloc_strdup_append_buffer (text, "\\n");
      else
        text = talloc_asprintf_append_buffer (
            text, c == '"' || c == '\\' ? "\\%c" : "%c", c);
    }
  return talloc_strdup_append_buffer (text, "\"");
}

static struct hst_series *
add_series (struct hst_set *set, unsigned id, const char *key, size_t len,
            struct lv_slice label, struct lv_slice label2)
{
  const struct hst_desc *d = &set->descs[id];
  struct hst_series *s = talloc_zero (set->mem_ctx, struct hst_series);

  memcpy (s->key, key, len);
  s->key_len = len;
  s->id = id;
  s->labels = append_label (talloc_strdup (s, ""), d->label, label);
  if (d->label2 != NULL)
    {
      s->labels = talloc_strdup_append_buffer (s->labels, ",");
      s->labels = append_label (s->labels, d->label2, label2);
    }
  s->buckets = gsl_histogram_alloc (BUCKETS);
  gsl_histogram_set_ranges (s->buckets, bounds, BUCKETS + 1);
  HASH_ADD (hh, set->series, key[0], s->key_len, s);
  set->series_count++;
  return s;
}

void
hst_observe (struct hst_set *set, unsigned id, struct lv_slice label,
             struct lv_slice label2, uint64_t ns)
{
  double seconds = (double)ns / NS_PER_S;
  struct hst_series *s;
  char key[KEY_MAX];
  size_t len = make_key (key, id, label, label2);

  s = find_series (set, key, len);
  if (s == NULL && set->series_count >= HST_SERIES_MAX)
    {
      label = label2 = lv_slice_of ("other");
      len = make_key (key, id, label, label2);
      s = find_series (set, key, len);
    }
  if (s == NULL)
    s = add_series (set, id, key, len, label, label2);
  gsl_histogram_increment (s->buckets, seconds);
  s->sum_s += seconds;
}

uint64_t
hst_count (const struct hst_set *set, unsigned id, struct lv_slice label,
           struct lv_slice label2)
{
  char key[KEY_MAX];
  size_t len = make_key (key, id, label, label2);
  const struct hst_series *s = find_series (set, key, len);

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
      text = talloc_asprintf_append_buffer (
          text, "%s_bucket{%s,le=\"%g\"} %.0f\n", name, s->labels,
          bounds[i + 1], count);
    }
  count += gsl_histogram_get (s->buckets, BUCKETS - 1);
  return talloc_asprintf_append_buffer (
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

      text = talloc_asprintf_append_buffer (
          text, "# HELP %s %s\n# TYPE %s histogram\n", d->name, d->help,
          d->name);
      for (s = set->series; s != NULL; s = s->hh.next)
        if (s->id == id)
          text = append_series (text, d->name, s);
    }
  return text;
}
