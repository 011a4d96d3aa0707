/**
 * DOC: minionhealth
 *
 * Health and speed of one minion, judged by its agent from all runs there:
 * each entry sees only a few of them, the fewer the more entries there are.
 * Answers the pattern of a bad backend server that every client has to find
 * out about for itself.  An ejected minion is probed by one entry at a time.
 * Tasks that fail everywhere eject no minion: the failures of a job count
 * once, weighed by the success rate of its queue that the entry told, and half
 * if the failure before was of the same queue, which may be to blame then. Its
 * successes count once too, or wide jobs would outweigh what a minion that
 * fails a part of its tasks gets wrong.  Pure.
 */
#ifndef LV_MINIONHEALTH_H
#define LV_MINIONHEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/health.h"
#include "lagoonvale/runtracker.h"
#include "lagoonvale/slice.h"

/** Longest interval of probes, ns: they cost one task each, so a minion that
 * has recovered is in use again soon. */
#define MNH_PROBE_MAX_NS 2000000000ULL
/** An entry that may send the probe and does not loses its turn after this
 * time, ns. */
#define MNH_TURN_NS 300000000ULL

/**
 * struct mnh_run - a run that has ended
 * @job: name of its job
 * @queue: name of that job's queue
 * @succeeded: false if the minion failed or refused it, or it made no progress
 * @expected_failure: failure rate of its queue at all minions, 0 to 1
 * @ordered_ns: when it was ordered
 * @estimate_ms: declared run time, 0 if unknown
 */
struct mnh_run
{
  struct lv_slice job;
  struct lv_slice queue;
  bool succeeded;
  double expected_failure;
  uint64_t ordered_ns;
  uint32_t ran_ms;
  uint32_t estimate_ms;
};

/**
 * struct mnh_health - caller-owned
 * @ratio: smoothed ratio of actual to declared run time
 * @ratio_runs: runs that it was computed from
 * @praised_job: the last job whose success counted
 * @blamed_job: the last job whose failure counted
 * @blamed_queue: hash of the name of its queue, 0: none
 * @probed_ns: when the last probe was ordered
 * @prober: entry whose turn it is to send the probe, 0: none
 * @turn_ns: when its turn began
 */
struct mnh_health
{
  struct hlt_target target;
  double ratio;
  uint64_t ratio_runs;
  char praised_job[RTK_NAME_MAX];
  char blamed_job[RTK_NAME_MAX];
  uint64_t blamed_queue;
  uint64_t probed_ns;
  uint64_t prober;
  uint64_t turn_ns;
};

/** enum mnh_use - what an entry may order from a minion */
enum mnh_use
{
  MNH_ANY,
  MNH_NOTHING,
  MNH_PROBE, /* one task */
};

/** mnh_init() - initialize; also for a minion that has restarted. */
void mnh_init (struct mnh_health *h);

/**
 * mnh_record() - record a run
 *
 * While the minion is ejected, only its probe tells anything: others were
 * ordered before.  Return: whether what entries may order has changed.
 */
bool mnh_record (struct mnh_health *h, const struct mnh_run *run,
                 uint64_t now_ns);

/** mnh_needs_prober() - whether a probe is due and it is no entry's turn. */
bool mnh_needs_prober (const struct mnh_health *h, uint64_t now_ns);

/** mnh_set_prober() - begin the turn of @entry, which is not 0. */
void mnh_set_prober (struct mnh_health *h, uint64_t entry, uint64_t now_ns);

/** mnh_ordered() - record that a run was ordered. */
void mnh_ordered (struct mnh_health *h, uint64_t now_ns);

/** mnh_use() - what @entry may order. */
enum mnh_use mnh_use (const struct mnh_health *h, uint64_t entry,
                      uint64_t now_ns);

#endif
