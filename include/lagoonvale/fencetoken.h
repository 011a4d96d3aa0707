/**
 * DOC: fencetoken
 *
 * Fencing token of a process that keeps nothing: it begins with the time of
 * day, and rises while the minion has seen a higher one, by steps that double,
 * so that a clock that went back by years is made up for in a few calls.  It
 * rises with each process of the minion as well.  Pure.
 */
#ifndef LV_FENCETOKEN_H
#define LV_FENCETOKEN_H

#include <stdint.h>

/** Highest token: minions read signed numbers of 64 bits. */
#define FTK_MAX ((uint64_t)INT64_MAX)
/** First increment after a refusal, ms. */
#define FTK_STEP_MS 1000

/**
 * struct ftk_token - caller-owned
 * @value: to be sent with each call
 * @step: added at the next refusal
 */
struct ftk_token
{
  uint64_t value;
  uint64_t step;
};

/** ftk_init() - begin with the time of day @wall_ms. */
void ftk_init (struct ftk_token *t, uint64_t wall_ms);

/** ftk_refuse() - the minion has seen a higher token: raise it, up to FTK_MAX.
 */
void ftk_refuse (struct ftk_token *t);

/** ftk_raise() - the minion's process has ended: the one that follows must not
 * execute what is still on its way to the former one. */
void ftk_raise (struct ftk_token *t);

/** ftk_accept() - the minion has taken it. */
void ftk_accept (struct ftk_token *t);

#endif
