/**
 * DOC: health
 *
 * Which targets are fit to be given work.  A target that fails what other
 * targets run well is ejected for a while and readmitted through single probes
 * at rising intervals; a kind that fails everywhere ejects nobody.  At most
 * HLT_EJECT_SHARE of the targets are ejected at a time.  Pure.
 */
#ifndef LV_HEALTH_H
#define LV_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/** Largest share of targets ejected at a time. */
#define HLT_EJECT_SHARE 0.30
/** First interval before a probe, ns; it doubles up to HLT_PROBE_MAX_NS. */
#define HLT_PROBE_NS 1000000000ULL
/** Longest interval before a probe, ns. */
#define HLT_PROBE_MAX_NS 30000000000ULL

/** enum hlt_state - may a target be given work? */
enum hlt_state
{
  HLT_FIT,
  HLT_EJECTED,
  HLT_PROBING,
};

/** hlt_name() - "fit", "ejected" or "probing". */
const char *hlt_name (enum hlt_state state);

/**
 * struct hlt_target - health of one target, caller-owned, zeroed at first
 * @state: see enum hlt_state
 * @blame: recent failures for which the target, not the kind, is to blame
 * @probe_ns: interval before the next probe
 * @until_ns: time of the next probe, when ejected
 */
struct hlt_target
{
  enum hlt_state state;
  double blame;
  uint64_t probe_ns;
  uint64_t until_ns;
};

/** struct hlt_fleet - shared by all targets; zeroed at first. */
struct hlt_fleet
{
  unsigned targets;
  unsigned ejected;
};

/**
 * hlt_observe() - a task ended at @t
 * @kind_failure_rate: share of the task's kind that fails anywhere
 *
 * Return: whether the target's state changed.
 */
bool hlt_observe (struct hlt_fleet *f, struct hlt_target *t, bool succeeded,
                  double kind_failure_rate, uint64_t now_ns);

/** hlt_usable() - may @t be given a task now? Starts a probe when due. */
bool hlt_usable (const struct hlt_target *t, uint64_t now_ns);

/** hlt_probe() - a task goes to @t; an ejected target is being probed now. */
void hlt_probe (struct hlt_target *t);

/** hlt_remove() - @t leaves the fleet. */
void hlt_remove (struct hlt_fleet *f, struct hlt_target *t);

#endif
