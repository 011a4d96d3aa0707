/**
 * DOC: tick
 *
 * Timers on the monotonic clock.  Those of tevent follow the time of day and
 * stall when that is set back.
 */
#ifndef LV_TICK_H
#define LV_TICK_H

#include <stdint.h>
#include <tevent.h>

struct tck_timer;

/**
 * tck_start() - call @tick every @period_ms
 * @mem_ctx: talloc parent; freeing it stops the callbacks
 *
 * Return: 0 or a negative error number.
 */
int tck_start (void *mem_ctx, struct tevent_context *ev, uint32_t period_ms,
               void (*tick) (void *priv), void *priv);

/**
 * tck_once() - call @expired after @delay_ms
 * @mem_ctx: talloc parent
 *
 * Without a descriptor for it the timer follows the time of day.
 *
 * Return: the timer; freeing it cancels the call.  It is freed before the
 * call.
 */
struct tck_timer *tck_once (void *mem_ctx, struct tevent_context *ev,
                            uint32_t delay_ms, void (*expired) (void *priv),
                            void *priv);

#endif
