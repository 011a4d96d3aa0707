/**
 * DOC: orderrate
 *
 * Rate of the orders of each queue at an agent, as a moving average, and the
 * share of the time during which a run just started there is present.  Bounded
 * and pure.
 */
#ifndef LV_ORDERRATE_H
#define LV_ORDERRATE_H

#include <stdint.h>

#include "lagoonvale/nametable.h"

/** Queues that are told apart; of further ones nothing is known. */
#define ORR_QUEUES_MAX NTB_PLACES
/** Time constant of the moving average, ns. */
#define ORR_WINDOW_NS 3000000000ULL

/** struct orr_queue - a queue with recent orders */
struct orr_queue
{
  double count; /* orders, each weighted by its age, at @at_ns */
  uint64_t at_ns;
};

/** struct orr_rates - caller-owned; @names: of the queues */
struct orr_rates
{
  struct ntb_table names;
  struct orr_queue queues[ORR_QUEUES_MAX];
};

/** orr_init() - initialize without orders. */
void orr_init (struct orr_rates *r, void *mem_ctx);

/** orr_finish() - free the names. */
void orr_finish (struct orr_rates *r);

/** orr_record() - record an order of @queue; the queue that was quiet longest
 * makes room for a new one. */
void orr_record (struct orr_rates *r, struct lv_slice queue, uint64_t now_ns);

/**
 * orr_presence() - share of the time with an order of @queue in the last
 * @window_ns
 *
 * Orders are taken to arrive independently of each other.  Return: 0 to 1; 0
 * if nothing is known of @queue.
 */
double orr_presence (const struct orr_rates *r, struct lv_slice queue,
                     uint64_t window_ns, uint64_t now_ns);

#endif
