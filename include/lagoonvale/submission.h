/**
 * DOC: submission
 *
 * What the owner of a submission knows of each of its tasks, and what follows
 * from an event.  A task goes out again only on proof that it did not start;
 * an answer is whole or the submission has failed; "not run" is said only if
 * no task can have run.  Pure.
 */
#ifndef LV_SUBMISSION_H
#define LV_SUBMISSION_H

#include <stdbool.h>
#include <stdint.h>

/** enum sub_state - one task, as its owner sees it */
enum sub_state
{
  SUB_WAITING, /* not sent, or proved not started */
  SUB_SENT,    /* sent to @target, outcome to come */
  SUB_CUT,     /* sent, and the connection was lost: to be resolved */
  SUB_DONE,    /* ran, output held */
  SUB_FAILED,  /* ran, the target reported a failure */
  SUB_UNKNOWN, /* may have run; will not be known */
};

/** enum sub_outcome - what a target says of a task */
enum sub_outcome
{
  SUB_OUT_RAN,
  SUB_OUT_FAILED,
  SUB_OUT_NOT_STARTED,
  SUB_OUT_FENCED,
  SUB_OUT_UNKNOWN,
};

/** enum sub_verdict - the submission as a whole */
enum sub_verdict
{
  SUB_OPEN,
  SUB_COMPLETE,
  SUB_REFUSED,      /* failed, and nothing ran */
  SUB_MAY_HAVE_RUN, /* failed */
};

/** enum sub_step - what the caller is to do next with the task */
enum sub_step
{
  SUB_STEP_NONE,
  SUB_STEP_REQUEUE,
  SUB_STEP_RESOLVE,
};

/**
 * struct sub_task - one task
 * @state: see enum sub_state
 * @target: incarnation of the agent that it was last sent to
 * @sends: how often it was sent
 */
struct sub_task
{
  enum sub_state state;
  uint64_t target;
  uint32_t sends;
};

/**
 * struct sub_core - caller-owned
 * @task: @count tasks, memory of the caller
 * @done: tasks that ran and whose output is held
 * @verdict: see enum sub_verdict
 * @closing: failed or cancelled; nothing more is sent
 */
struct sub_core
{
  struct sub_task *task;
  uint32_t count;
  uint32_t done;
  uint32_t in_flight;
  bool any_ran;
  bool closing;
  enum sub_verdict verdict;
};

/** sub_init() - all tasks wait. @tasks has room for @count. */
void sub_init (struct sub_core *s, struct sub_task *tasks, uint32_t count);

/** sub_may_send() - whether task @i may be sent now. */
bool sub_may_send (const struct sub_core *s, uint32_t i);

/** sub_sent() - task @i goes to @target. */
void sub_sent (struct sub_core *s, uint32_t i, uint64_t target);

/** sub_found() - an adopter learns that task @i started at @target. */
void sub_found (struct sub_core *s, uint32_t i, uint64_t target);

/** sub_cut() - the connection to the target was lost. */
enum sub_step sub_cut (struct sub_core *s, uint32_t i);

/** sub_hear() - the target, and no other, reports on task @i. */
enum sub_step sub_hear (struct sub_core *s, uint32_t i, uint64_t target,
                        enum sub_outcome outcome);

/** sub_give_up() - no report on task @i will be waited for any longer. */
void sub_give_up (struct sub_core *s, uint32_t i);

/**
 * sub_close() - cancel or refuse the submission
 *
 * Waiting tasks never start. The verdict comes once what was sent has been
 * resolved.
 */
void sub_close (struct sub_core *s);

#endif
