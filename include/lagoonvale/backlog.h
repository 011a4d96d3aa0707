/**
 * DOC: backlog
 *
 * Service rate of the late jobs without any order, which are queued behind all
 * others, and the wait expected from it.  Under sustained overload a late job
 * would otherwise be refused only at the end of its wait.  Pure.
 */
#ifndef LV_BACKLOG_H
#define LV_BACKLOG_H

#include <stdbool.h>
#include <stdint.h>

/** Buckets of the sliding window over which the rate is taken. */
#define BKL_BUCKETS 10
/** Length of one bucket, ns. */
#define BKL_BUCKET_NS 100000000ULL

/** struct bkl_backlog - caller-owned, zeroed at first */
struct bkl_backlog
{
  uint32_t served[BKL_BUCKETS];
  uint64_t bucket;           /* number of the newest bucket */
  uint64_t waiting_since_ns; /* 0 while the backlog is empty */
};

/** bkl_set_waiting() - set whether the backlog has any jobs now. */
void bkl_set_waiting (struct bkl_backlog *b, bool any, uint64_t now_ns);

/** bkl_record_served() - record that a job left the backlog to run. */
void bkl_record_served (struct bkl_backlog *b, uint64_t now_ns);

/**
 * bkl_expected_wait_ns() - wait of a job with @ahead jobs before it
 *
 * Return: ns; 0 until the backlog has lasted for a full window; UINT64_MAX if
 * no job was served within the window.
 */
uint64_t bkl_expected_wait_ns (struct bkl_backlog *b, unsigned ahead,
                               uint64_t now_ns);

#endif
