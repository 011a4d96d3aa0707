/**
 * DOC: crashlog
 *
 * Tasks that ran on a minion when it crashed: poison pills and those that ran
 * beside one.  A task that crashes its minion does so soon after its start as
 * a rule, so each crash is blamed on the jobs started last, in equal parts; if
 * some of these were blamed for a crash before, on them alone.  Once a task is
 * found to be poison, what was blamed with it is cleared.  Agents tell every
 * entry that they serve, not only the one that ordered the run: what is known
 * of a task outlives its entry.
 *
 * A crash counts under a task only if the minion is known to have executed its
 * start: one that was sent and not answered may never have arrived.  Such a
 * doubt, like the blame, makes a task a suspect at most, and one that doubts
 * would make poison is not started.
 *
 * A minion that falls silent may have crashed.  Until that is known, its tasks
 * are suspects, and one that would be poison if it had crashed is not started;
 * but no task is poison by silence alone.  Bounded and pure.
 */
#ifndef LV_CRASHLOG_H
#define LV_CRASHLOG_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "lagoonvale/runtracker.h"
#include "lagoonvale/slice.h"

/** Crashes after which a task is poison, whatever it is blamed for. */
#define CRL_CRASHES_MAX 3
/** Most tasks that are remembered; the ones not seen for longest are dropped
 * first. */
#define CRL_TASKS_MAX 4096
/** Time for which a task is remembered after its last crash, ns: callers that
 * send a job again do so within seconds. */
#define CRL_RETENTION_NS 60000000000ULL
/** Time after a crash under poison in which further poison is expected, ns. */
#define CRL_ALERT_NS 10000000000ULL
/** Age of a run that was ordered when its minion had crashed already. */
#define CRL_AGE_NEVER_STARTED UINT32_MAX

/**
 * struct crl_run - a run that ended because its minion crashed
 * @task: name of the task, "JOB.INDEX"
 * @age_ms: time from its start to the last sign of life of the minion, or
 * CRL_AGE_NEVER_STARTED
 * @executed: the minion has confirmed the start, or listed the run
 */
struct crl_run
{
  struct lv_slice task;
  uint32_t age_ms;
  bool executed;
};

/**
 * struct crl_task - a task under which minions have crashed
 * @crashes: number of minions
 * @doubts: number of minions that crashed and may have run it
 * @silences: number of minions that fell silent, and of which no more is known
 * @blame: sum of its parts in these crashes, 1 if only its job is blamed
 * @silent_blame: the same for the silences
 * @blamed_for: number of the last crash that it is blamed for
 * @newest_ns: time of the last crash or silence
 */
struct crl_task
{
  char name[RTK_NAME_MAX];
  unsigned crashes;
  unsigned doubts;
  unsigned silences;
  double blame;
  double silent_blame;
  uint64_t blamed_for;
  uint64_t newest_ns;
  struct crl_task *prev;
  struct crl_task *next;
  UT_hash_handle hh;
};

/**
 * struct crl_log - caller-owned
 * @tasks: by name
 * @order: the same, the one whose last crash is oldest first
 * @crashes: number of crashes recorded
 * @poison_ns: time of the last crash under poison, 0 if there was none
 */
struct crl_log
{
  void *mem_ctx;
  struct crl_task *tasks;
  struct crl_task *order;
  uint64_t crashes;
  uint64_t poison_ns;
};

/** crl_init() - initialize an empty log. */
void crl_init (struct crl_log *l, void *mem_ctx);

/** crl_finish() - free all tasks. */
void crl_finish (struct crl_log *l);

/** crl_record() - record one crash, with all runs that it ended. */
void crl_record (struct crl_log *l, const struct crl_run *runs, unsigned count,
                 uint64_t now_ns);

/** crl_record_silence() - record that a minion fell silent, with all runs that
 * this ended. */
void crl_record_silence (struct crl_log *l, const struct crl_run *runs,
                         unsigned count, uint64_t now_ns);

/**
 * crl_resolve_silence() - record what became of a minion that had fallen
 * silent
 * @runs: as when the silence was recorded
 * @crashed: false if it answers again
 */
void crl_resolve_silence (struct crl_log *l, const struct crl_run *runs,
                          unsigned count, bool crashed, uint64_t now_ns);

/** crl_find() - find a task by name, or NULL. */
const struct crl_task *crl_find (const struct crl_log *l,
                                 struct lv_slice task);

/**
 * crl_is_poison() - whether @task, NULL allowed, is not to be started again
 *
 * That is so once two minions have crashed under it and it is to blame, or
 * CRL_CRASHES_MAX have in any case.
 */
bool crl_is_poison (const struct crl_task *task);

/** crl_must_wait() - whether @task, NULL allowed, would be poison if the
 * minions that fell silent under it had crashed, or CRL_CRASHES_MAX minions
 * may have crashed under it: not to be started until more is known.
 */
bool crl_must_wait (const struct crl_task *task);

/** crl_is_suspect() - whether @task, NULL allowed, is blamed for a crash or
 * a silence, and must not run beside another suspect. */
bool crl_is_suspect (const struct crl_task *task);

/** crl_is_alert() - whether tasks have crashed their minions of late:
 * otherwise a crash is the minion's own more often than not. */
bool crl_is_alert (const struct crl_log *l, uint64_t now_ns);

/** crl_expire() - drop tasks whose last crash was long ago. */
void crl_expire (struct crl_log *l, uint64_t now_ns);

#endif
