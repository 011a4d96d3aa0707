#include "lagoonvale/keybind.h"

#include <errno.h>
#include <string.h>
#include <talloc.h>
#include <uthash.h>
#include <utlist.h>

/* Tolerated difference between a caller's clock and this one, ms.  */
#define CLOCK_SKEW_MS 1000

struct key_binding
{
  struct sid_id sid;
  uint64_t used_ms;
  uint64_t home_since_ms; /* since_ms of the first key_bind() */
  size_t key_len;
  struct key_binding *prev;
  struct key_binding *next;
  UT_hash_handle hh;
  char key[];
};

void
key_init (struct key_table *t, void *mem_ctx, uint64_t keep_ms,
          uint64_t window_ms, size_t max_bytes)
{
  memset (t, 0, sizeof *t);
  t->mem_ctx = mem_ctx;
  t->keep_ms = keep_ms;
  t->window_ms = window_ms;
  t->max_bytes = max_bytes;
}

static void
remove_binding (struct key_table *t, struct key_binding *b)
{
  t->bytes -= sizeof *b + b->key_len;
  /* The analyzer cannot tell that B is in both.  */
  HASH_DEL (t->by_key, b);  /* NOLINT */
  DL_DELETE (t->oldest, b); /* NOLINT */
  talloc_free (b);
}

void
key_finish (struct key_table *t)
{
  struct key_binding *b;
  struct key_binding *next;

  HASH_ITER (hh, t->by_key, b, next) { remove_binding (t, b); }
}

static struct key_binding *
add_binding (struct key_table *t, struct lv_slice key,
             const struct sid_id *sid, uint64_t since_ms)
{
  struct key_binding *b;

  if (t->bytes + sizeof *b + key.len > t->max_bytes)
    return NULL;
  b = talloc_zero_size (t->mem_ctx, sizeof *b + key.len);
  if (b == NULL)
    return NULL;
  b->sid = *sid;
  b->home_since_ms = since_ms;
  b->key_len = key.len;
  memcpy (b->key, key.data, key.len);
  t->bytes += sizeof *b + key.len;
  HASH_ADD_KEYPTR (hh, t->by_key, b->key, b->key_len, b);
  DL_APPEND (t->oldest, b);
  return b;
}

static uint64_t
saturating_sub (uint64_t a, uint64_t b)
{
  return a > b ? a - b : 0;
}

int
key_bind (struct key_table *t, struct lv_slice key, const struct sid_id *sid,
          uint64_t since_ms, uint64_t first_sent_ms, uint64_t now_ms,
          struct sid_id *bound)
{
  struct key_binding *b;
  uint64_t earliest_ms;

  HASH_FIND (hh, t->by_key, key.data, key.len, b);
  if (b == NULL)
    b = add_binding (t, key, sid, since_ms);
  if (b == NULL)
    return -ENOSPC;
  b->used_ms = now_ms;
  DL_DELETE (t->oldest, b);
  DL_APPEND (t->oldest, b);
  *bound = b->sid;
  if (!sid_equal (&b->sid, sid))
    return -EEXIST;
  earliest_ms = first_sent_ms != 0
                    ? saturating_sub (first_sent_ms, CLOCK_SKEW_MS)
                    : saturating_sub (now_ms, t->window_ms);
  return b->home_since_ms <= earliest_ms ? 0 : -EAGAIN;
}

void
key_expire (struct key_table *t, uint64_t now_ms)
{
  while (t->oldest != NULL && t->oldest->used_ms + t->keep_ms <= now_ms)
    remove_binding (t, t->oldest);
}
