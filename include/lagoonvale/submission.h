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

/** enum sub_task_state - one task, as its owner sees it */
enum sub_task_state
{
  SUB_WAITING,    /* not sent, or proved not started */
  SUB_SENT,       /* sent to @target, outcome to come */
  SUB_UNRESOLVED, /* sent, and the connection was lost: to be resolved */
  SUB_DONE,       /* ran, output held */
  SUB_FAILED,     /* ran, the target reported a failure */
  SUB_UNKNOWN,    /* may have run; will not be known */
};

/** enum sub_outcome - what a target says of a task */
enum sub_outcome
{
  SUB_OUT_SUCCEEDED,
  SUB_OUT_FAILED,
  SUB_OUT_NOT_STARTED,
  SUB_OUT_FENCED,
  SUB_OUT_UNKNOWN,
};

/** enum sub_status - the submission as a whole */
enum sub_status
{
  SUB_OPEN,
  SUB_COMPLETE,
  SUB_FAILED_NOT_RUN,      /* failed, and nothing ran */
  SUB_FAILED_MAY_HAVE_RUN, /* failed */
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
 * @state: see enum sub_task_state
 * @target: incarnation of the agent that it was last sent to
 * @sends: how often it was sent
 */
struct sub_task
{
  enum sub_task_state state;
  uint64_t target;
  uint32_t sends;
};

/**
 * struct sub_submission - caller-owned
 * @task: @count tasks, memory of the caller
 * @done: tasks that ran and whose output is held
 * @status: see enum sub_status
 * @closing: failed or cancelled; nothing more is sent
 */
struct sub_submission
{
  struct sub_task *task;
  uint32_t count;
  uint32_t done;
  uint32_t in_flight;
  bool any_may_have_run;
  bool closing;
  enum sub_status status;
};

/** sub_init() - all tasks wait. @tasks has room for @count. */
void sub_init (struct sub_submission *s, struct sub_task *tasks,
               uint32_t count);

/** sub_may_send() - whether task @i may be sent now. */
bool sub_may_send (const struct sub_submission *s, uint32_t i);

/** sub_mark_sent() - task @i goes to @target. */
void sub_mark_sent (struct sub_submission *s, uint32_t i, uint64_t target);

/** sub_mark_started() - an adopter learns that task @i started at @target. */
void sub_mark_started (struct sub_submission *s, uint32_t i, uint64_t target);

/** sub_mark_disconnected() - the connection to the target was lost. */
enum sub_step sub_mark_disconnected (struct sub_submission *s, uint32_t i);

/** sub_record_outcome() - the target, and no other, reports on task @i. */
enum sub_step sub_record_outcome (struct sub_submission *s, uint32_t i,
                                  uint64_t target, enum sub_outcome outcome);

/** sub_give_up() - no report on task @i will be waited for any longer. */
void sub_give_up (struct sub_submission *s, uint32_t i);

/**
 * sub_close() - cancel or refuse the submission
 *
 * Waiting tasks never start. The verdict comes once what was sent has been
 * resolved.
 */
void sub_close (struct sub_submission *s);

#endif
