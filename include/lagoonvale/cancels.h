/**
 * DOC: cancels
 *
 * The ids of jobs that were cancelled of late, whether or not they are known
 * here: the job may be at another entry, which may be paused or cut off, or
 * its submission may still arrive.  Bounded; the oldest are dropped first.
 * Pure; times are by clk_boot().
 */
#ifndef LV_CANCELS_H
#define LV_CANCELS_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "lagoonvale/slice.h"

/** Most ids kept. */
#define CNL_MAX 4096
/** Time for which an id is kept, ns: an entry that was paused or cut off for
 * some seconds still learns of it, and a caller's repetition still meets it.
 */
#define CNL_RETENTION_NS 30000000000ULL
/** Longest id, bytes; no job has a longer one. */
#define CNL_ID_MAX 63

/** struct cnl_cancel - one cancelled job, oldest first in the list */
struct cnl_cancel
{
  char *id;
  uint64_t at_ns;
  struct cnl_cancel *prev;
  struct cnl_cancel *next;
  UT_hash_handle hh;
};

/** struct cnl_cancels - caller-owned */
struct cnl_cancels
{
  void *mem_ctx;
  struct cnl_cancel *by_id;
  struct cnl_cancel *list;
};

/** cnl_init() - initialize without ids. */
void cnl_init (struct cnl_cancels *c, void *mem_ctx);

/** cnl_finish() - free all ids. */
void cnl_finish (struct cnl_cancels *c);

/** cnl_add() - add an id. Return: whether it is new, not too long, and without
 * a NUL. */
bool cnl_add (struct cnl_cancels *c, struct lv_slice id, uint64_t now_ns);

/** cnl_contains() - whether @id was cancelled. */
bool cnl_contains (const struct cnl_cancels *c, struct lv_slice id);

/** cnl_expire() - drop the ids that were added too long ago. */
void cnl_expire (struct cnl_cancels *c, uint64_t now_ns);

#endif
