/**
 * DOC: histogram
 *
 * Histograms of durations in the text exposition format.  A metric family has
 * one series for each observed pair of label values.  Not thread-safe.
 */
#ifndef LV_HISTOGRAM_H
#define LV_HISTOGRAM_H

#include <stdint.h>

#include "lagoonvale/slice.h"

/** Series that one set can hold; further ones are counted under "other". */
#define HST_SERIES_MAX 400

/**
 * struct hst_desc - description of a metric family
 * @name: full metric name, ends in _seconds
 * @help: text of the HELP line
 * @label: name of the first label
 * @label2: name of the second, or NULL
 */
struct hst_desc
{
  const char *name;
  const char *help;
  const char *label;
  const char *label2;
};

struct hst_series;

/** struct hst_set - metric families of one daemon; caller-owned */
struct hst_set
{
  void *mem_ctx;
  const struct hst_desc *descs;
  unsigned count;
  unsigned series_count;
  struct hst_series *series;
};

/** hst_init() - initialize without any series. */
void hst_init (struct hst_set *set, void *mem_ctx,
               const struct hst_desc *descs, unsigned count);

/** hst_finish() - free all series. */
void hst_finish (struct hst_set *set);

/**
 * hst_observe() - record one duration
 * @id: index of the family
 * @label: value of the first label
 * @label2: value of the second, empty if the family has none
 * @ns: duration, nanoseconds
 */
void hst_observe (struct hst_set *set, unsigned id, struct lv_slice label,
                  struct lv_slice label2, uint64_t ns);

/** hst_count() - observations of a series, 0 if it does not exist. */
uint64_t hst_count (const struct hst_set *set, unsigned id,
                    struct lv_slice label, struct lv_slice label2);

/** hst_append() - append the exposition text to the talloc string @text. */
char *hst_append (char *text, const struct hst_set *set);

#endif
