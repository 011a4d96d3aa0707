/**
 * DOC: health
 *
 * Outlier detection.  A target that fails tasks of kinds that succeed
 * elsewhere is ejected: it gets no tasks except single probes at exponentially
 * growing intervals, and a successful probe readmits it.  A probe that ends
 * without a result, such as a cancelled one, is repeated after the interval.
 * Failures of a kind that fails at every target eject no target.  At most
 * HLT_EJECT_SHARE of the targets are ejected at a time.  Pure: no I/O, no
 * clock.
 */
#ifndef LV_HEALTH_H
#define LV_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/** Maximum share of targets ejected at a time. */
#define HLT_EJECT_SHARE 0.30
/** Initial probe interval, ns; it doubles up to HLT_PROBE_MAX_NS. */
#define HLT_PROBE_NS 1000000000ULL
/** Maximum probe interval, ns. */
#define HLT_PROBE_MAX_NS 30000000000ULL

/** enum hlt_state - whether a target gets tasks */
enum hlt_state
{
  HLT_FIT,
  HLT_EJECTED, /* gets no task before the next probe is due */
  HLT_PROBING, /* was sent a probe; gets no other task before the next one */
};

/** hlt_name() - "fit", "ejected" or "probing". */
const char *hlt_name (enum hlt_state state);

/**
 * struct hlt_target - health of one target, caller-owned, zeroed at first
 * @state: see enum hlt_state
 * @blame: decayed sum of failures, each weighted by the success rate of the
 * task's kind
 * @probe_ns: current probe interval
 * @probe_at_ns: time of the next probe, while ejected or probing
 */
struct hlt_target
{
  enum hlt_state state;
  double blame;
  uint64_t probe_ns;
  uint64_t probe_at_ns;
};

/**
 * struct hlt_fleet - counts over all targets, zeroed at first
 * @targets: incremented by the caller for each new target; hlt_remove()
 * decrements it
 * @ejected: targets that are ejected or probing
 */
struct hlt_fleet
{
  unsigned targets;
  unsigned ejected;
};

/**
 * hlt_observe() - record the result of a task that ran at @t
 * @f: NULL if there is no fleet to bound the share of
 * @kind_failure_rate: failure rate of the task's kind over all targets, 0 to 1
 *
 * Return: whether the state of @t changed.
 */
bool hlt_observe (struct hlt_fleet *f, struct hlt_target *t, bool succeeded,
                  double kind_failure_rate, uint64_t now_ns);

/** hlt_usable() - whether @t may get a task: it is fit or a probe is due. */
bool hlt_usable (const struct hlt_target *t, uint64_t now_ns);

/** hlt_probe() - record a task sent to @t: its probe unless @t is fit. */
void hlt_probe (struct hlt_target *t, uint64_t now_ns);

/** hlt_remove() - remove @t from the fleet and reset it. */
void hlt_remove (struct hlt_fleet *f, struct hlt_target *t);

#endif
