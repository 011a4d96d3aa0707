/**
 * DOC: steplog
 *
 * In-memory log of the steps taken for one request, written out if the request
 * ends late or unsuccessfully.  Bounded: keeps the first and the newest steps.
 * Pure.
 */
#ifndef LV_STEPLOG_H
#define LV_STEPLOG_H

#include <stdint.h>

/** Oldest steps that are kept. */
#define SLG_FIRST 8
/** Newest steps that are kept. */
#define SLG_NEWEST 8
/** Bytes of an instance name, with NUL; longer names are truncated. */
#define SLG_INSTANCE_MAX 32

/**
 * struct slg_step - one step
 * @kind: of the step, a static string
 * @at_ms: time since the request arrived
 * @task: index of the first task concerned
 * @count: number of consecutive tasks concerned
 * @attempt: attempt of the first task
 * @instance: name of the instance concerned
 */
struct slg_step
{
  const char *kind;
  uint32_t at_ms;
  uint32_t task;
  uint32_t count;
  uint32_t attempt;
  char instance[SLG_INSTANCE_MAX];
};

/** struct slg_log - caller-owned, zeroed at first */
struct slg_log
{
  struct slg_step *steps;
  unsigned count; /* added in total, also those not kept */
};

/** slg_add() - append a copy of @step; @mem_ctx is the talloc parent of the
 * log. */
void slg_add (struct slg_log *log, void *mem_ctx, const struct slg_step *step);

/**
 * slg_format() - format all kept steps as one line
 *
 * One step reads "12ms order 0+8/1@side-a": time, kind, first task, further
 * tasks, attempt, instance.
 *
 * Return: a talloc string.
 */
char *slg_format (void *mem_ctx, const struct slg_log *log);

#endif
