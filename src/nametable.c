#include "lagoonvale/nametable.h"

#include <string.h>
#include <talloc.h>

#include "xtalloc.h"

void
ntb_init (struct ntb_table *t, void *mem_ctx)
{
  memset (t, 0, sizeof *t);
  t->mem_ctx = mem_ctx;
}

void
ntb_finish (struct ntb_table *t)
{
  unsigned i;

  for (i = 0; i < NTB_PLACES; i++)
    TALLOC_FREE (t->names[i]);
}

int
ntb_find (const struct ntb_table *t, struct lv_slice name)
{
  int i;

  for (i = 0; i < NTB_PLACES; i++)
    if (t->names[i] != NULL && lv_slice_eq (lv_slice_of (t->names[i]), name))
      return i;
  return -1;
}

void
ntb_put (struct ntb_table *t, int place, struct lv_slice name)
{
  talloc_free (t->names[place]);
  t->names[place] = xtalloc_strndup (t->mem_ctx, name.data, name.len);
}
