#include "lagoonvale/catalog.h"

#include <errno.h>
#include <talloc.h>
#include "lagoonvale/name.h"

/* Longest host plus path that can be looked up, bytes.  */
#define KEY_MAX 512

static int
clear_index (struct cat_config *c)
{
  HASH_CLEAR (hh, c->by_key);
  return 0;
}

struct cat_config *
cat_new (void *mem_ctx, uint64_t version, uint32_t count)
{
  struct cat_config *c = talloc_zero (mem_ctx, struct cat_config);

  c->version = version;
  c->count = count;
  c->queues = talloc_zero_array (c, struct cat_queue, count);
  talloc_set_destructor (c, clear_index);
  return c;
}

static bool
has_valid_names (const struct cat_queue *q)
{
  return nam_valid (lv_slice_of (q->name)) && nam_valid (lv_slice_of (q->host))
         && nam_valid (lv_slice_of (q->prefix))
         && nam_valid (lv_slice_of (q->service));
}

int
cat_build_index (struct cat_config *c)
{
  uint32_t i;

  for (i = 0; i < c->count; i++)
    {
      struct cat_queue *q = &c->queues[i];

      if (!has_valid_names (q))
        return -EINVAL;
      q->key = talloc_asprintf (c->queues, "%s%s", q->host, q->prefix);
      HASH_ADD_KEYPTR (hh, c->by_key, q->key, strlen (q->key), q);
    }
  return 0;
}

const struct cat_queue *
cat_find (const struct cat_config *c, struct lv_slice host,
          struct lv_slice path)
{
  char key[KEY_MAX];
  struct cat_queue *q = NULL;
  size_t len = host.len + path.len;

  if (c == NULL || len > sizeof key)
    return NULL;
  memcpy (key, host.data, host.len);
  memcpy (key + host.len, path.data, path.len);
  for (; len > host.len && q == NULL; len--)
    HASH_FIND (hh, c->by_key, key, len, q);
  return q;
}

struct cat_config *
cat_adopt (struct cat_config *current, struct cat_config *next)
{
  if (current != NULL && next->version <= current->version)
    {
      talloc_free (next);
      return current;
    }
  talloc_free (current);
  return next;
}
