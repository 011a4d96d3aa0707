#include "lagoonvale/minionhealth.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* Least weight of a new sample of the ratio: the estimates are far off.  */
#define RATIO_WEIGHT_MIN 0.05
/* Largest sample of the ratio.  */
#define RATIO_MAX 1000.0

void
mnh_init (struct mnh_health *h)
{
  memset (h, 0, sizeof *h);
}

/* Whether JOB is the last one that COUNTED; it is from now on.  */
static bool
counted_before (char counted[RTK_NAME_MAX], struct lv_slice job)
{
  if (counted[0] != '\0' && lv_slice_eq (lv_slice_of (counted), job))
    return true;
  snprintf (counted, RTK_NAME_MAX, "%.*s", (int)job.len, job.data);
  return false;
}

static void
record_ratio (struct mnh_health *h, double sample)
{
  double weight = 1.0 / (double)++h->ratio_runs;

  if (weight < RATIO_WEIGHT_MIN)
    weight = RATIO_WEIGHT_MIN;
  if (sample > RATIO_MAX)
    sample = RATIO_MAX;
  h->ratio += (sample - h->ratio) * weight;
}

static void
limit_interval (struct hlt_target *t)
{
  if (t->probe_ns <= MNH_PROBE_MAX_NS)
    return;
  t->probe_at_ns -= t->probe_ns - MNH_PROBE_MAX_NS;
  t->probe_ns = MNH_PROBE_MAX_NS;
}

/* Share of the failure of RUN that is put down to its queue, and record it. */
static double
blame_queue (struct mnh_health *h, const struct mnh_run *run)
{
  uint64_t queue = XXH3_64bits (run->queue.data, run->queue.len);
  bool same = queue == h->blamed_queue;

  h->blamed_queue = queue;
  return same ? 1 - (1 - run->expected_failure) / 2 : run->expected_failure;
}

/* Whether RUN was ordered before the minion was ejected.  */
static bool
is_outdated (const struct mnh_health *h, const struct mnh_run *run)
{
  return h->target.state == HLT_EJECTED
         || (h->target.state == HLT_PROBING && run->ordered_ns < h->probed_ns);
}

bool
mnh_record (struct mnh_health *h, const struct mnh_run *run, uint64_t now_ns)
{
  char *counted = run->succeeded ? h->praised_job : h->blamed_job;
  bool fit = h->target.state == HLT_FIT;
  double by_queue;
  bool changed;

  if (run->succeeded && run->estimate_ms > 0)
    record_ratio (h, (double)run->ran_ms / run->estimate_ms);
  if (is_outdated (h, run) || (counted_before (counted, run->job) && fit))
    return false;
  by_queue = run->succeeded ? 0 : blame_queue (h, run);
  changed = hlt_observe (NULL, &h->target, run->succeeded, by_queue, now_ns);
  limit_interval (&h->target);
  return changed;
}

static bool
in_turn (const struct mnh_health *h, uint64_t now_ns)
{
  return h->prober != 0 && now_ns - h->turn_ns < MNH_TURN_NS;
}

static bool
probe_due (const struct mnh_health *h, uint64_t now_ns)
{
  return h->target.state != HLT_FIT && hlt_usable (&h->target, now_ns);
}

bool
mnh_needs_prober (const struct mnh_health *h, uint64_t now_ns)
{
  return probe_due (h, now_ns) && !in_turn (h, now_ns);
}

void
mnh_set_prober (struct mnh_health *h, uint64_t entry, uint64_t now_ns)
{
  h->prober = entry;
  h->turn_ns = now_ns;
}

void
mnh_ordered (struct mnh_health *h, uint64_t now_ns)
{
  if (h->target.state == HLT_FIT)
    return;
  hlt_probe (&h->target, now_ns);
  h->probed_ns = now_ns;
  h->prober = 0;
}

enum mnh_use
mnh_use (const struct mnh_health *h, uint64_t entry, uint64_t now_ns)
{
  if (h->target.state == HLT_FIT)
    return MNH_ANY;
  if (probe_due (h, now_ns) && in_turn (h, now_ns) && h->prober == entry)
    return MNH_PROBE;
  return MNH_NOTHING;
}
