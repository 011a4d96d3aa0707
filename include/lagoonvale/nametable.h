/**
 * DOC: nametable
 *
 * A small table of names, each at a fixed place: what belongs to a name is
 * kept by the caller in arrays with the same places.  Pure.
 */
#ifndef LV_NAMETABLE_H
#define LV_NAMETABLE_H

#include "lagoonvale/slice.h"

/** Number of places. */
#define NTB_PLACES 32

/** struct ntb_table - caller-owned; @names: NULL where a place is free */
struct ntb_table
{
  void *mem_ctx;
  char *names[NTB_PLACES];
};

/** ntb_init() - initialize without names. */
void ntb_init (struct ntb_table *t, void *mem_ctx);

/** ntb_finish() - free all names. */
void ntb_finish (struct ntb_table *t);

/** ntb_find() - place of @name, or -1. */
int ntb_find (const struct ntb_table *t, struct lv_slice name);

/** ntb_put() - put @name at @place, instead of the name that is there. */
void ntb_put (struct ntb_table *t, int place, struct lv_slice name);

#endif
