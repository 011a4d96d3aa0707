/**
 * DOC: slice
 *
 * A borrowed string with a length.  It need not end in NUL.
 */
#ifndef LV_SLICE_H
#define LV_SLICE_H

#include <stdbool.h>
#include <stddef.h>
#include <string.h>

/**
 * struct lv_slice - borrowed bytes
 * @data: first byte
 * @len: number of bytes
 */
struct lv_slice
{
  const char *data;
  size_t len;
};

/** lv_slice_of() - slice over a NUL-terminated string. */
static inline struct lv_slice
lv_slice_of (const char *text)
{
  struct lv_slice s = { text, text != NULL ? strlen (text) : 0 };
  return s;
}

/** lv_slice_eq() - whether two slices hold the same bytes. */
static inline bool
lv_slice_eq (struct lv_slice a, struct lv_slice b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

#endif
