/**
 * DOC: subset
 *
 * Selects the subset of entries that an agent connects to.  Each agent ranks
 * the entries by a hash of both names (rendezvous hashing): the subset is
 * stable, entries get similar numbers of agents, and a lost entry is replaced
 * by the next in rank.  Pure.
 */
#ifndef LV_SUBSET_H
#define LV_SUBSET_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/slice.h"

/**
 * struct sst_entry - an entry as seen by one agent
 * @rank: from sst_rank()
 * @reachable: it answers
 * @selected: set by sst_select(): connect to it, or keep the connection
 * @priv: owned by the caller
 */
struct sst_entry
{
  uint64_t rank;
  bool reachable;
  bool selected;
  void *priv;
};

/** sst_rank() - rank of @entry for @agent; higher is preferred. */
uint64_t sst_rank (struct lv_slice agent, struct lv_slice entry);

/**
 * sst_select() - sort @entries by rank and set @selected in each
 * @max: number of reachable entries to select
 *
 * Selects in order of rank until @max reachable entries are selected.  So
 * unreachable entries are still retried while the next in rank replace them.
 */
void sst_select (struct sst_entry *entries, unsigned count, unsigned max);

#endif
