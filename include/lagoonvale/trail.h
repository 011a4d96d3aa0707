/**
 * DOC: trail
 *
 * The steps that were taken for one request, kept until its end, so that they
 * can be written in full if it ends late or badly.  Bounded: the first and the
 * newest steps are kept.  Pure.
 */
#ifndef LV_TRAIL_H
#define LV_TRAIL_H

#include <stdint.h>

/** Steps kept from the beginning. */
#define TRL_FIRST 8
/** Newest steps kept besides. */
#define TRL_NEWEST 8
/** Bytes kept of the name of an instance, with NUL. */
#define TRL_WHERE_MAX 32

/**
 * struct trl_step - one step
 * @what: static word
 * @at_ms: since the request arrived
 * @task: first task that it is about
 * @count: of tasks
 * @attempt: of the first task
 * @where: instance that it is about
 */
struct trl_step
{
  const char *what;
  uint32_t at_ms;
  uint32_t task;
  uint32_t count;
  uint32_t attempt;
  char where[TRL_WHERE_MAX];
};

/** struct trl_trail - caller-owned, zeroed at first */
struct trl_trail
{
  struct trl_step *steps;
  unsigned count; /* ever added */
};

/** trl_add() - add a step; @mem_ctx is the talloc parent of what is kept. */
void trl_add (struct trl_trail *t, void *mem_ctx, const struct trl_step *step);

/** trl_text() - "12ms order 0+8/1@side-a; ...", a talloc string. */
char *trl_text (void *mem_ctx, const struct trl_trail *t);

#endif
