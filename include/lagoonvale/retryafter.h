/**
 * DOC: retryafter
 *
 * When a refused caller may come back.  Callers that are refused together in
 * an overload and told the same delay would return together (retry storm), so
 * the delay grows with the expected wait and is spread.  Pure: randomness is
 * passed in.
 */
#ifndef LV_RETRYAFTER_H
#define LV_RETRYAFTER_H

#include <stdint.h>

/** Shortest and longest delay in an overload, ms, before it is spread. */
#define RTA_OVERLOAD_MIN_MS 1000
#define RTA_OVERLOAD_MAX_MS 5000

/**
 * rta_overload_ms() - delay for a caller refused in an overload
 * @wait_ns: expected wait of a job that arrives now, UINT64_MAX if unknown
 * @uniform: random number, 0 to 1
 *
 * Return: ms, up to twice the wait within the bounds above.
 */
unsigned rta_overload_ms (uint64_t wait_ns, double uniform);

#endif
