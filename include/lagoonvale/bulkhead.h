/**
 * DOC: bulkhead
 *
 * Confines a queue whose tasks crash minion after minion to a share of the
 * agents, so that all other queues keep the rest (bulkhead pattern).  The
 * minions that crashed of late had just started tasks of the guilty queue, and
 * of others no more often than usual; a queue is confined once that is far
 * more likely than that another queue, or none, is the cause.  Every entry
 * gets the same notices, and chooses the agents as in subset.h, so all confine
 * the same queue to the same agents without agreement.  Pure.
 */
#ifndef LV_BULKHEAD_H
#define LV_BULKHEAD_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/nametable.h"

/** A run younger than this has just been started, ms: poison crashes a minion
 * sooner, and hardly any other queue has a run as young by chance. */
#define BLK_YOUNG_MS 25
/** Crashes that are remembered, and the time for which they count, ns. */
#define BLK_CRASHES_MAX 64
#define BLK_WINDOW_NS 10000000000ULL
/** Queues that are told apart at a time; further ones are never confined. */
#define BLK_QUEUES_MAX NTB_PLACES
/** Fewest crashes on which a queue is confined. */
#define BLK_CRASHES_MIN 3
/** A queue stays confined for this long after its last crash, ns. */
#define BLK_RELEASE_NS 5000000000ULL
/** Share of the agents that confined queues get, per cent, at least one. */
#define BLK_SHARE_PERCENT 30
/** Fewest agents of a service with which its queues are confined. */
#define BLK_AGENTS_MIN 3

/** struct blk_queue - a queue with a young run at a recent crash */
struct blk_queue
{
  uint64_t newest_ns; /* its newest crash */
  bool confined;
};

/**
 * struct blk_young - a queue with a young run at the minion that crashed
 * @presence: share of the time that it usually has one there, 0 to 1
 */
struct blk_young
{
  struct lv_slice queue;
  double presence;
};

/**
 * struct blk_crash - one crash
 * @presence: of each queue as in struct blk_young, 0 if it had no young run
 */
struct blk_crash
{
  uint64_t at_ns;
  float presence[BLK_QUEUES_MAX];
};

/** struct blk_bulkhead - caller-owned; @names: of the queues */
struct blk_bulkhead
{
  struct ntb_table names;
  struct blk_queue queues[BLK_QUEUES_MAX];
  struct blk_crash crashes[BLK_CRASHES_MAX];
  unsigned next; /* ring index of the next crash */
};

/** blk_init() - initialize; no queue is confined. */
void blk_init (struct blk_bulkhead *b, void *mem_ctx);

/** blk_finish() - free the names. */
void blk_finish (struct blk_bulkhead *b);

/**
 * blk_record_crash() - record a crash of a minion that had just started tasks
 * of the queues in @young (duplicates allowed)
 *
 * Return: name of the queue that is confined from now on, NULL if no further
 * one is.
 */
const char *blk_record_crash (struct blk_bulkhead *b,
                              const struct blk_young *young, unsigned count,
                              uint64_t now_ns);

/** blk_is_confined() - whether @queue is confined. */
bool blk_is_confined (const struct blk_bulkhead *b, struct lv_slice queue,
                      uint64_t now_ns);

/** blk_any() - whether any queue is confined. */
bool blk_any (const struct blk_bulkhead *b, uint64_t now_ns);

/** blk_share() - how many of the @agents of a service confined queues get: 0
 * if there are too few to confine anything. */
unsigned blk_share (unsigned agents);

#endif
