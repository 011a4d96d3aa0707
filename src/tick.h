/**
 * DOC: tick
 *
 * Periodic callbacks on the monotonic clock.  Timers of tevent follow the time
 * of day and stall when that is set back.
 */
#ifndef LV_TICK_H
#define LV_TICK_H

#include <stdint.h>
#include <tevent.h>

/**
 * tck_start() - call @tick every @period_ms
 * @mem_ctx: talloc parent; freeing it stops the callbacks
 *
 * Return: 0 or a negative error number.
 */
int tck_start (void *mem_ctx, struct tevent_context *ev, uint32_t period_ms,
               void (*tick) (void *priv), void *priv);

#endif
