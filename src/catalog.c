#include "lagoonvale/catalog.h"

#include <errno.h>
#include <stdlib.h>
#include <talloc.h>
#include <xxhash.h>

#include "lagoonvale/name.h"
#include "lagoonvale/uri.h"
#include "xtalloc.h"

/* Longest host and prefix of a queue together, bytes.  */
#define KEY_MAX (2 * CAT_TEXT_MAX)
/* Fewest queues for which space is added at a time.  */
#define ADDED_MIN 64

static int
clear_index (struct cat_config *c)
{
  HASH_CLEAR (hh, c->by_key);
  return 0;
}

struct cat_config *
cat_new (void *mem_ctx, uint64_t version, uint32_t count)
{
  struct cat_config *c = xtalloc_zero (mem_ctx, struct cat_config);

  c->version = version;
  c->count = count;
  c->allocated = count;
  c->queues = xtalloc_zero_array (c, struct cat_queue, count);
  txp_init (&c->texts, c);
  talloc_set_destructor (c, clear_index);
  return c;
}

/* Change the space for queues to that of COUNT.  */
static int
resize (struct cat_config *c, uint32_t count)
{
  struct cat_queue *queues
      = talloc_realloc (c, c->queues, struct cat_queue, count);

  if (queues == NULL && count > 0)
    return -ENOMEM;
  c->queues = queues;
  c->allocated = count;
  return 0;
}

static const char *
add_key (struct cat_config *c, const struct cat_queue *q)
{
  char *host = uri_host (NULL, lv_slice_of (q->host));
  char *key = talloc_asprintf (host, "%s%s", host,
                               uri_path (host, lv_slice_of (q->prefix)));
  const char *kept
      = key != NULL ? txp_add (&c->texts, lv_slice_of (key)) : NULL;

  talloc_free (host);
  return kept;
}

static const char *
add_host (struct cat_config *c, const struct cat_queue *q)
{
  char *host = uri_host (NULL, lv_slice_of (q->host));
  const char *kept = txp_add (&c->texts, lv_slice_of (host));

  talloc_free (host);
  return kept;
}

static bool
has_all_texts (const struct cat_queue *q)
{
  return q->name != NULL && q->host != NULL && q->prefix != NULL
         && q->service != NULL;
}

static bool
is_valid_text (const char *text)
{
  struct lv_slice slice = lv_slice_of (text);

  return slice.len <= CAT_TEXT_MAX && nam_valid (slice);
}

struct cat_queue *
cat_add_queue (struct cat_config *c, const struct cat_queue *from)
{
  struct cat_queue *to;

  /* In its normal form, a prefix that breaks lines would be a valid text.  */
  if (!has_all_texts (from) || !is_valid_text (from->prefix)
      || (c->count == c->allocated
          && resize (c, c->count + c->count / 2 + ADDED_MIN) != 0))
    return NULL;
  to = &c->queues[c->count];
  *to = *from;
  to->name = txp_add (&c->texts, lv_slice_of (from->name));
  to->host = add_host (c, from);
  to->service = txp_add (&c->texts, lv_slice_of (from->service));
  to->key = add_key (c, from);
  if (to->key == NULL || to->host == NULL)
    return NULL;
  to->prefix = to->key + strlen (to->host);
  if (!has_all_texts (to))
    return NULL;
  c->count++;
  return to;
}

static bool
has_valid_names (const struct cat_queue *q)
{
  return is_valid_text (q->name) && is_valid_text (q->host)
         && is_valid_text (q->prefix) && is_valid_text (q->service);
}

static uint64_t
hash_text (const char *text, uint64_t seed)
{
  return XXH3_64bits_withSeed (text, strlen (text) + 1, seed);
}

static uint64_t
hash_queue (const struct cat_queue *q)
{
  uint32_t numbers[]
      = { q->priority,          q->attempts,       q->timeout_ms,
          q->target_ms,         q->slack_permille, q->warmup.warmup_ms,
          q->warmup.cold_per_ks };
  uint64_t hash = XXH3_64bits (numbers, sizeof numbers);

  hash = hash_text (q->name, hash);
  hash = hash_text (q->host, hash);
  hash = hash_text (q->prefix, hash);
  return hash_text (q->service, hash);
}

static int
compare_keys (const void *a, const void *b)
{
  return strcmp (((const struct cat_queue *)a)->key,
                 ((const struct cat_queue *)b)->key);
}

static int
prepare_queue (struct cat_config *c, struct cat_queue *q)
{
  if (!has_all_texts (q) || !has_valid_names (q))
    return -EINVAL;
  if (q->key == NULL)
    q->key = add_key (c, q);
  if (q->key == NULL)
    return -ENOMEM;
  q->hash = hash_queue (q);
  q->changed = c->version;
  c->digest += q->hash;
  return 0;
}

int
cat_build_index (struct cat_config *c)
{
  uint32_t limits[] = { c->body_max, c->idle_ms };
  uint32_t i;
  int rc = resize (c, c->count);

  if (rc != 0)
    return rc;
  c->since = c->version;
  c->digest = XXH3_64bits_withSeed (limits, sizeof limits, c->version);
  for (i = 0; i < c->count; i++)
    {
      rc = prepare_queue (c, &c->queues[i]);
      if (rc != 0)
        return rc;
    }
  if (c->count > 0)
    qsort (c->queues, c->count, sizeof c->queues[0], compare_keys);
  for (i = 0; i < c->count; i++)
    {
      struct cat_queue *q = &c->queues[i];

      if (i > 0 && strcmp (q->key, q[-1].key) == 0)
        return -EEXIST;
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
  size_t len;

  if (c == NULL || host.len > CAT_TEXT_MAX || path.len == 0)
    return NULL;
  /* No prefix is longer than what is looked up of a path.  */
  if (path.len > CAT_TEXT_MAX)
    path.len = CAT_TEXT_MAX;
  if (host.len > 0)
    memcpy (key, host.data, host.len);
  memcpy (key + host.len, path.data, path.len);
  len = host.len + path.len;
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
