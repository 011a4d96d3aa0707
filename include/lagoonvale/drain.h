/**
 * DOC: drain
 *
 * How fast those are served who wait behind all others, and so how long one
 * of them will wait.  Pattern: sustained overload, where whoever is late once
 * would only be refused at the end.  Pure.
 */
#ifndef LV_DRAIN_H
#define LV_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

/** Parts into which the time looked back at is cut. */
#define DRN_PARTS 10
/** Length of one part, ns. */
#define DRN_PART_NS 100000000ULL

/** struct drn_drain - caller-owned, zeroed at first */
struct drn_drain
{
  uint32_t served[DRN_PARTS];
  uint64_t part;     /* number of the newest part */
  uint64_t since_ns; /* since when somebody waits, 0: nobody does */
};

/** drn_waiting() - whether anybody waits now. */
void drn_waiting (struct drn_drain *d, bool any, uint64_t now_ns);

/** drn_served() - one that waited is served. */
void drn_served (struct drn_drain *d, uint64_t now_ns);

/**
 * drn_wait_ns() - how long one waits with @ahead before it
 *
 * Return: 0 until there was time to tell, UINT64_MAX if nobody is served.
 */
uint64_t drn_wait_ns (struct drn_drain *d, unsigned ahead, uint64_t now_ns);

#endif
