/**
 * DOC: order
 *
 * The waiting tasks of one flow: a heap by arrival for each bucket of
 * estimated run time, so that an order policy only scores the first task of
 * each.  Pure: no I/O, no clock.
 */
#ifndef LV_ORDER_H
#define LV_ORDER_H

#include "lagoonvale/queue.h"

/** struct ord_heap - tasks of one bucket, the earliest stamp first. */
struct ord_heap
{
  struct que_item **items;
  unsigned count;
  unsigned capacity;
};

/** struct ord_items - zeroed at first */
struct ord_items
{
  struct ord_heap bucket[QUE_BUCKETS];
};

/**
 * ord_add() - add a task by its stamp and estimate
 * @mem_ctx: talloc parent of the heaps
 *
 * Return: 0 or -ENOMEM.
 */
int ord_add (void *mem_ctx, struct ord_items *o, struct que_item *item);

/** ord_remove() - remove a task. */
void ord_remove (struct ord_items *o, struct que_item *item);

/** ord_best() - the task with the highest score by @order, or NULL. */
struct que_item *ord_best (const struct ord_items *o,
                           const struct que_order *order, uint64_t now_ns);

#endif
