/**
 * DOC: queue
 *
 * Weighted fair queue of an entry.  Tasks wait in flows, one per (team,
 * urgency, kind).  Teams share the slots by weight, counted in slots that
 * their tasks occupy.  Teams below their share come first, then teams that
 * exceed it in a burst, with a low average use; within each of these two ranks
 * the most urgent task goes first.  Ties and all other teams are ordered by
 * slots occupied divided by weight.  The urgencies and kinds of a team divide
 * its slots in the same way, so that a flood of tasks, even of urgent ones,
 * can't starve the rest.  Within a flow, an order policy (arrival, shortest,
 * or response ratio) selects the next task.  Pure: no I/O, no clock.
 *
 * The tasks of a job get arrival stamps that are spread by their position in
 * the job, so that a large job does not block later small ones of its team.
 */
#ifndef LV_QUEUE_H
#define LV_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lagoonvale/slice.h"

/** enum que_urgency - highest first */
enum que_urgency
{
  QUE_URGENT,
  QUE_NORMAL,
  QUE_BULK,
};
/** Number of urgencies. */
#define QUE_URGENCIES 3
/** Time constant of the average use of slots, ns; see usage.h. */
#define QUE_DECAY_NS 10000000000ULL
/** A team may exceed its share while its average use divided by the share is
 * below this. */
#define QUE_BURST_THRESHOLD 0.75
/** Buckets by estimated run time, half octaves from 2^22 ns (4 ms). */
#define QUE_BUCKETS 24

struct que_flow;
struct que_queue;
struct que_team;

/**
 * struct que_item - a waiting task; embedded by the caller, zeroed at first
 * @slots: occupied while it runs, set by the caller; 0 counts as 1
 * @flow: flow it waits in, NULL while not queued
 * @stamp_ns: arrival, spread by position in the job
 * @estimate_ns: estimated run time
 * @bucket: of the estimate
 * @heap_index: position in the bucket's heap
 */
struct que_item
{
  uint32_t slots;
  struct que_flow *flow;
  uint64_t stamp_ns;
  uint64_t estimate_ns;
  unsigned bucket;
  unsigned heap_index;
};

/**
 * struct que_order - policy that selects among the first items of the buckets
 * @name: as in the settings
 * @score: the item with the highest score is next
 */
struct que_order
{
  const char *name;
  double (*score) (const struct que_item *item, uint64_t now_ns);
};

/** que_order_find() - "arrival", "shortest" or "ratio"; NULL if unknown. */
const struct que_order *que_order_find (const char *name);

/**
 * struct que_queue - caller-owned
 * @mem_ctx: talloc parent
 * @order: policy within a flow
 * @flows: hash table by urgency, team and kind
 * @teams: hash table by name
 * @backlogged: list of the flows with waiting tasks
 * @count: waiting tasks
 * @work_ns: sum of their estimates
 * @slots: available to this queue; kept current by the caller
 * @weight_sum: sum of the weights of teams with waiting or running tasks
 * @decay_ns: QUE_DECAY_NS; 0 disables bursts
 * @urgency_count: waiting tasks by urgency
 * @weight_of: configured weight of a team; NULL for 1 each
 * @weight_priv: passed to @weight_of
 */
struct que_queue
{
  void *mem_ctx;
  const struct que_order *order;
  struct que_flow *flows;
  struct que_team *teams;
  struct que_flow *backlogged;
  size_t count;
  uint64_t work_ns;
  double slots;
  double weight_sum;
  uint64_t decay_ns;
  size_t urgency_count[QUE_URGENCIES];
  double (*weight_of) (void *priv, struct lv_slice team);
  void *weight_priv;
};

/** que_init() - initialize an empty queue. */
void que_init (struct que_queue *q, void *mem_ctx,
               const struct que_order *order);

/** que_finish() - free flows and teams; items belong to the caller. */
void que_finish (struct que_queue *q);

/**
 * que_push() - add a task
 * @team: name, truncated to 64 bytes
 * @kind: name, truncated to 64 bytes
 * @spread_ns: added to the arrival stamp for the position in the job
 *
 * Return: 0 or -ENOMEM.
 */
int que_push (struct que_queue *q, struct que_item *item, struct lv_slice team,
              enum que_urgency urgency, struct lv_slice kind,
              uint64_t estimate_ns, uint64_t spread_ns, uint64_t now_ns);

/**
 * que_evict_idle() - free teams and flows that have long been idle
 *
 * To be called periodically: team and kind names come from callers, so their
 * number is not bounded.
 */
void que_evict_idle (struct que_queue *q, uint64_t now_ns);

/** que_remove() - remove a waiting task; no effect if not queued. */
void que_remove (struct que_queue *q, struct que_item *item);

/**
 * que_peek() - the next task, which stays queued; NULL if there is none
 * @blocked: returns true for flows to be skipped; may be NULL
 */
struct que_item *que_peek (struct que_queue *q, uint64_t now_ns,
                           bool (*blocked) (void *priv, struct lv_slice team,
                                            struct lv_slice kind),
                           void *priv);

/** que_update_weights() - read the weights anew through @weight_of. */
void que_update_weights (struct que_queue *q);

/** que_take() - remove a peeked task and count its slots as occupied. */
void que_take (struct que_queue *q, struct que_item *item, uint64_t now_ns);

/** que_release() - a taken task has ended or was not started; 0 @slots count
 * as 1. */
void que_release (struct que_queue *q, struct lv_slice team,
                  enum que_urgency urgency, struct lv_slice kind,
                  uint32_t slots, uint64_t now_ns);

/** que_expected_wait_ns() - expected wait of a new task in this flow. */
uint64_t que_expected_wait_ns (const struct que_queue *q, struct lv_slice team,
                               enum que_urgency urgency, struct lv_slice kind);

/** que_team_count() - waiting tasks of @team. */
size_t que_team_count (const struct que_queue *q, struct lv_slice team);

/** que_entitled_count() - waiting tasks of teams below share or in a burst. */
size_t que_entitled_count (const struct que_queue *q, uint64_t now_ns);

/**
 * que_over_share() - whether @item's team is over its share, other than in a
 * burst, while other teams have waiting or running tasks; the caller may then
 * hold back a few slots
 */
bool que_over_share (const struct que_queue *q, const struct que_item *item,
                     uint64_t now_ns);

/** que_most_urgent() - urgency of the most urgent waiting task; QUE_BULK if
 * the queue is empty. */
enum que_urgency que_most_urgent (const struct que_queue *q);

#endif
