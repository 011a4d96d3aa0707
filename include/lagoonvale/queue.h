/**
 * DOC: queue
 *
 * The queue of an entry.  Tasks wait in flows, one per (team, urgency, kind).
 * Teams share the slots by weight, counted in slots that their tasks occupy.
 * A team below its share goes first; then one that is beyond it for a burst,
 * having used little lately; in both ranks the most urgent work first.  Then
 * comes the team that occupies least for its weight.  Within a team, urgencies
 * and kinds have parts in the same way, so that no flood, however urgent,
 * takes more than its share from the rest. Within a flow, tasks are ordered by
 * an order policy (arrival, shortest, or response ratio).  Pure.
 *
 * A job's tasks get arrival stamps that spread with their position in the job,
 * so that one large job does not block later small ones of its team.
 */
#ifndef LV_QUEUE_H
#define LV_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lagoonvale/slice.h"

/** enum que_urgency - most urgent first */
enum que_urgency
{
  QUE_URGENT,
  QUE_NORMAL,
  QUE_BULK,
};
/** Count of urgencies. */
#define QUE_URGENCIES 3
/** Time in which a use of slots fades from memory, ns; see usage.h. */
#define QUE_DECAY_NS 10000000000ULL
/** Part of its share that a team used lately, below which it may burst. */
#define QUE_BURST_THRESHOLD 0.75
/** Estimate buckets in a flow, half octaves from 2^22 ns (4 ms). */
#define QUE_BUCKETS 24

struct que_flow;
struct que_queue;
struct que_team;

/**
 * struct que_item - a waiting task; embed it, zeroed
 * @slots: what it occupies while it runs, set by the caller; 0 counts as 1
 * @flow: flow it waits in, NULL when it waits nowhere
 * @stamp_ns: arrival, spread by its position in the job
 * @estimate_ns: expected run time
 * @bucket: by estimate
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
 * struct que_order - how a flow chooses among its buckets' first items
 * @name: as in the settings
 * @score: the item with the highest score goes first
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
 * @order: order within a flow
 * @count: tasks that wait
 * @work_ns: sum of their estimates
 * @slots: slots that this queue can count on; the caller keeps it current
 * @weight_sum: sum of the weights of teams that wait or run
 * @decay_ns: QUE_DECAY_NS; 0 lets no team burst
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

/** que_init() - empty queue. */
void que_init (struct que_queue *q, void *mem_ctx,
               const struct que_order *order);

/** que_finish() - free the flows; waiting items are the caller's. */
void que_finish (struct que_queue *q);

/**
 * que_push() - add a task
 * @spread_ns: distance of its stamp from its job's arrival
 *
 * Return: 0 or -ENOMEM.
 */
int que_push (struct que_queue *q, struct que_item *item, struct lv_slice team,
              enum que_urgency urgency, struct lv_slice kind,
              uint64_t estimate_ns, uint64_t spread_ns, uint64_t now_ns);

/**
 * que_evict_idle() - free teams and flows that were idle for long
 *
 * Call it now and then: callers name teams and kinds, so there is no bound on
 * how many have been seen.
 */
void que_evict_idle (struct que_queue *q, uint64_t now_ns);

/** que_remove() - take a waiting task out, wherever it is. */
void que_remove (struct que_queue *q, struct que_item *item);

/**
 * que_peek() - the task that goes next, left in place
 * @blocked: flows for which it returns true are passed over; may be NULL
 */
struct que_item *que_peek (struct que_queue *q, uint64_t now_ns,
                           bool (*blocked) (void *priv, struct lv_slice team,
                                            struct lv_slice kind),
                           void *priv);

/** que_update_weights() - the configured weights have changed. */
void que_update_weights (struct que_queue *q);

/** que_take() - remove a peeked task; it counts as running from here on. */
void que_take (struct que_queue *q, struct que_item *item, uint64_t now_ns);

/** que_release() - a taken task of @slots runs no more, or went nowhere. */
void que_release (struct que_queue *q, struct lv_slice team,
                  enum que_urgency urgency, struct lv_slice kind,
                  uint32_t slots, uint64_t now_ns);

/** que_expected_wait_ns() - expected wait of a new task of this flow. */
uint64_t que_expected_wait_ns (const struct que_queue *q, struct lv_slice team,
                               enum que_urgency urgency, struct lv_slice kind);

/** que_team_count() - tasks of @team that wait. */
size_t que_team_count (const struct que_queue *q, struct lv_slice team);

/** que_entitled_count() - waiting tasks of teams within their share or a
 * burst. */
size_t que_entitled_count (const struct que_queue *q, uint64_t now_ns);

/**
 * que_over_share() - whether @item's team is beyond its share, and not for a
 * burst, while other teams are at work: a few slots may be kept back from it
 */
bool que_over_share (const struct que_queue *q, const struct que_item *item,
                     uint64_t now_ns);

/** que_most_urgent() - urgency of the most urgent waiting task. */
enum que_urgency que_most_urgent (const struct que_queue *q);

#endif
