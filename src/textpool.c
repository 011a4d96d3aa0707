#include "lagoonvale/textpool.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

/* Size of a block, bytes, unless a text is larger.  */
#define BLOCK_BYTES 16384

void
txp_init (struct txp_pool *p, void *mem_ctx)
{
  memset (p, 0, sizeof *p);
  p->mem_ctx = mem_ctx;
}

/* The place for LEN more bytes, or NULL if out of memory.  */
static char *
reserve (struct txp_pool *p, size_t len)
{
  char *at;

  if (p->size - p->used < len)
    {
      size_t size = len > BLOCK_BYTES ? len : BLOCK_BYTES;
      char *block = talloc_size (p->mem_ctx, size);

      if (block == NULL)
        return NULL;
      p->block = block;
      p->size = size;
      p->used = 0;
    }
  at = p->block + p->used;
  p->used += len;
  return at;
}

const char *
txp_add (struct txp_pool *p, struct lv_slice text)
{
  const char **recent
      = &p->recent[XXH3_64bits (text.data, text.len) % TXP_RECENT];
  char *copy;

  if (*recent != NULL && lv_slice_eq (lv_slice_of (*recent), text))
    return *recent;
  copy = reserve (p, text.len + 1);
  if (copy == NULL)
    return NULL;
  memcpy (copy, text.data, text.len);
  copy[text.len] = '\0';
  *recent = copy;
  return copy;
}
