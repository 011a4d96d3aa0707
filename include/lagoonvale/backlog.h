/**
 * DOC: drain
 *
 * How fast those are served who wait behind all others, and so how long one
 * of them will wait.  Pattern: sustained overload, where whoever is late once
 * would only be refused at the end.  Pure.
 */
#ifndef LV_BACKLOG_H
#define LV_BACKLOG_H

#include <stdbool.h>
#include <stdint.h>

/** Parts into which the time looked back at is cut. */
#define BKL_BUCKETS 10
/** Length of one part, ns. */
#define BKL_BUCKET_NS 100000000ULL

/** struct bkl_backlog - caller-owned, zeroed at first */
struct bkl_backlog
{
  uint32_t served[BKL_BUCKETS];
  uint64_t bucket;           /* number of the newest part */
  uint64_t waiting_since_ns; /* since when somebody waits, 0: nobody does */
};

/** bkl_set_waiting() - whether anybody waits now. */
void bkl_set_waiting (struct bkl_backlog *d, bool any, uint64_t now_ns);

/** bkl_record_served() - one that waited is served. */
void bkl_record_served (struct bkl_backlog *d, uint64_t now_ns);

/**
 * bkl_expected_wait_ns() - how long one waits with @ahead before it
 *
 * Return: 0 until there was time to tell, UINT64_MAX if nobody is served.
 */
uint64_t bkl_expected_wait_ns (struct bkl_backlog *d, unsigned ahead,
                               uint64_t now_ns);

#endif
