/**
 * DOC: subset
 *
 * Selects a few of many members: the entries that an agent connects to, the
 * agents that confined queues may use.  Each chooser ranks the members by a
 * hash of both names (rendezvous hashing): the subset is stable, members are
 * chosen equally often, and a lost one is replaced by the next in rank.  Pure.
 */
#ifndef LV_SUBSET_H
#define LV_SUBSET_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/slice.h"

/**
 * struct sst_member - a member as seen by one chooser
 * @rank: from sst_rank()
 * @reachable: it answers
 * @selected: set by sst_select()
 * @priv: owned by the caller
 */
struct sst_member
{
  uint64_t rank;
  bool reachable;
  bool selected;
  void *priv;
};

/** sst_rank() - rank of @member for @chooser; higher is preferred. */
uint64_t sst_rank (struct lv_slice chooser, struct lv_slice member);

/**
 * sst_select() - sort @members by rank and set @selected in each
 * @max: number of reachable members to select
 *
 * Selects in order of rank until @max reachable members are selected.  So
 * unreachable ones are still retried while the next in rank replace them.
 */
void sst_select (struct sst_member *members, unsigned count, unsigned max);

#endif
