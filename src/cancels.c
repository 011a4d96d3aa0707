#include "lagoonvale/cancels.h"

#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "xtalloc.h"

void
cnl_init (struct cnl_cancels *c, void *mem_ctx)
{
  memset (c, 0, sizeof *c);
  c->mem_ctx = mem_ctx;
}

static void
drop (struct cnl_cancels *c, struct cnl_cancel *cancel)
{
  if (c->by_id != NULL)
    HASH_DEL (c->by_id, cancel);
  DL_DELETE (c->list, cancel);
  talloc_free (cancel);
}

void
cnl_finish (struct cnl_cancels *c)
{
  while (c->list != NULL)
    drop (c, c->list);
}

static struct cnl_cancel *
find (const struct cnl_cancels *c, struct lv_slice id)
{
  struct cnl_cancel *cancel;

  HASH_FIND (hh, c->by_id, id.data, id.len, cancel);
  return cancel;
}

bool
cnl_contains (const struct cnl_cancels *c, struct lv_slice id)
{
  return c->by_id != NULL && id.len > 0 && find (c, id) != NULL;
}

bool
cnl_add (struct cnl_cancels *c, struct lv_slice id, uint64_t now_ns)
{
  struct cnl_cancel *cancel;

  if (id.len == 0 || id.len > CNL_ID_MAX
      || memchr (id.data, '\0', id.len) != NULL || cnl_contains (c, id))
    return false;
  if (HASH_COUNT (c->by_id) >= CNL_MAX)
    drop (c, c->list);
  cancel = xtalloc_zero (c->mem_ctx, struct cnl_cancel);
  cancel->id = xtalloc_strndup (cancel, id.data, id.len);
  cancel->at_ns = now_ns;
  HASH_ADD_KEYPTR (hh, c->by_id, cancel->id, id.len, cancel);
  DL_APPEND (c->list, cancel);
  return true;
}

void
cnl_expire (struct cnl_cancels *c, uint64_t now_ns)
{
  while (c->list != NULL
         && clk_since (now_ns, c->list->at_ns) > CNL_RETENTION_NS)
    drop (c, c->list);
}
