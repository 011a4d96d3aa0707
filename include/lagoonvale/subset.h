/**
 * DOC: subset
 *
 * Which few of many entries an agent serves.  Each agent ranks the entries by
 * a hash of both (rendezvous hashing), so that the choice is stable, entries
 * get like numbers of agents, and a lost entry is replaced by the next in
 * rank.  Pure.
 */
#ifndef LV_SUBSET_H
#define LV_SUBSET_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/slice.h"

/**
 * struct sub_entry - an entry as one agent sees it
 * @rank: from sub_rank()
 * @reached: it answers
 * @wanted: set by sub_select(): to be dialed, or kept
 */
struct sub_entry
{
  uint64_t rank;
  bool reachable;
  bool selected;
  void *priv;
};

/** sub_rank() - rank of @entry for @agent; the higher is preferred. */
uint64_t sub_rank (struct lv_slice agent, struct lv_slice entry);

/**
 * sub_select() - sort @members by rank and mark who is wanted
 * @most: members to be reached
 *
 * Wanted are the highest in rank until @most of them are reached, so that
 * those out of reach are tried further and others serve in their place.
 */
void sub_select (struct sub_entry *members, unsigned count, unsigned most);

#endif
