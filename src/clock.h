/**
 * DOC: clock
 *
 * Clock access for code that does I/O.  Decision modules have the time passed
 * in instead.
 */
#ifndef LV_CLOCK_H
#define LV_CLOCK_H

#include <stdint.h>
#include <time.h>

/** Nanoseconds in a millisecond. */
#define CLK_MS 1000000ULL
/** Nanoseconds in a second. */
#define CLK_S 1000000000ULL

/**
 * clk_now() - monotonic time, ns, without time spent suspended
 *
 * For durations that are only measured, and for what a peer on the same
 * instance counts by such a clock too: the lease of a minion.
 */
static inline uint64_t
clk_now (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (uint64_t)t.tv_sec * CLK_S + (uint64_t)t.tv_nsec;
}

/**
 * clk_boot() - monotonic time, ns, that includes time spent suspended
 *
 * The ages of cached state, leases and connections and all deadlines are taken
 * from this clock: to peers a suspended instance is a silent one, and what it
 * was permitted has expired meanwhile.
 */
static inline uint64_t
clk_boot (void)
{
  struct timespec t;

  clock_gettime (CLOCK_BOOTTIME, &t);
  return (uint64_t)t.tv_sec * CLK_S + (uint64_t)t.tv_nsec;
}

/**
 * clk_since() - time from @then to @now, ns
 *
 * 0 if @then is later: the time that an event loop captured may be older than
 * a time stored by one of its callbacks.
 */
static inline uint64_t
clk_since (uint64_t now, uint64_t then)
{
  return now > then ? now - then : 0;
}

/** clk_wall_ms() - wall clock, milliseconds since 1970. */
static inline uint64_t
clk_wall_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / CLK_MS;
}

#endif
