/**
 * DOC: trail
 *
 * The steps that were taken for one request, kept until its end, so that they
 * can be written in full if it ends late or badly.  Bounded: the first and the
 * newest steps are kept.  Pure.
 */
#ifndef LV_STEPLOG_H
#define LV_STEPLOG_H

#include <stdint.h>

/** Steps kept from the beginning. */
#define SLG_FIRST 8
/** Newest steps kept besides. */
#define SLG_NEWEST 8
/** Bytes kept of the name of an instance, with NUL. */
#define SLG_INSTANCE_MAX 32

/**
 * struct slg_step - one step
 * @what: static word
 * @at_ms: since the request arrived
 * @task: first task that it is about
 * @count: of tasks
 * @attempt: of the first task
 * @where: instance that it is about
 */
struct slg_step
{
  const char *what;
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
  unsigned count; /* ever added */
};

/** slg_add() - add a step; @mem_ctx is the talloc parent of what is kept. */
void slg_add (struct slg_log *t, void *mem_ctx, const struct slg_step *step);

/** slg_format() - "12ms order 0+8/1@side-a; ...", a talloc string. */
char *slg_format (void *mem_ctx, const struct slg_log *t);

#endif
