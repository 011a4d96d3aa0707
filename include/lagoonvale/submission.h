/**
 * DOC: submission
 *
 * State machine of a submission, kept by its owner: the state of each task and
 * the transition for each event.  A task is sent again only once it is certain
 * that it did not start.  A submission completes with the outputs of all tasks
 * or fails; it is reported as "not run" only if no task can have run.  Pure.
 */
#ifndef LV_SUBMISSION_H
#define LV_SUBMISSION_H

#include <stdbool.h>
#include <stdint.h>

/** enum sub_task_state - state of one task, as known to the owner */
enum sub_task_state
{
  SUB_WAITING,    /* not sent, or confirmed not started */
  SUB_SENT,       /* sent, outcome pending */
  SUB_UNRESOLVED, /* sent, connection lost before the outcome */
  SUB_DONE,       /* ran, output received */
  SUB_FAILED,     /* ran, the target reported a failure */
  SUB_UNKNOWN,    /* may have run; outcome lost for good */
};

/** enum sub_outcome - outcome of a task, as reported by its target */
enum sub_outcome
{
  SUB_OUT_SUCCEEDED,
  SUB_OUT_FAILED,
  SUB_OUT_NOT_STARTED,
  SUB_OUT_FENCED, /* another owner holds the fence */
  SUB_OUT_UNKNOWN,
};

/** enum sub_status - state of the submission as a whole */
enum sub_status
{
  SUB_OPEN,
  SUB_COMPLETE,
  SUB_FAILED_NOT_RUN, /* no task has run */
  SUB_FAILED_MAY_HAVE_RUN,
};

/** enum sub_step - next action of the caller for the task */
enum sub_step
{
  SUB_STEP_NONE,
  SUB_STEP_REQUEUE,
  SUB_STEP_RESOLVE, /* ask the target for the outcome */
};

/**
 * struct sub_task - one task
 * @target: incarnation of the agent that it was last sent to
 * @sends: number of times that it was sent
 */
struct sub_task
{
  enum sub_task_state state;
  uint64_t target;
  uint32_t sends;
};

/**
 * struct sub_submission - a submission, allocated by the caller
 * @task: array of @count tasks, owned by the caller
 * @done: tasks in state SUB_DONE
 * @in_flight: tasks in state SUB_SENT or SUB_UNRESOLVED
 * @closing: failed or cancelled; no further task is sent
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

/** sub_init() - put all @count tasks into SUB_WAITING. */
void sub_init (struct sub_submission *s, struct sub_task *tasks,
               uint32_t count);

/** sub_may_send() - whether task @i may be sent now. */
bool sub_may_send (const struct sub_submission *s, uint32_t i);

/** sub_mark_sent() - task @i is being sent to @target. */
void sub_mark_sent (struct sub_submission *s, uint32_t i, uint64_t target);

/**
 * sub_mark_started() - task @i was started at @target by a previous owner
 *
 * Its outcome remains to be resolved.
 */
void sub_mark_started (struct sub_submission *s, uint32_t i, uint64_t target);

/** sub_mark_disconnected() - the connection to the target was lost. */
enum sub_step sub_mark_disconnected (struct sub_submission *s, uint32_t i);

/**
 * sub_record_outcome() - record the outcome of task @i
 *
 * Ignored unless @target is the agent that the task was last sent to.
 */
enum sub_step sub_record_outcome (struct sub_submission *s, uint32_t i,
                                  uint64_t target, enum sub_outcome outcome);

/** sub_give_up() - stop waiting for the outcome of task @i. */
void sub_give_up (struct sub_submission *s, uint32_t i);

/**
 * sub_close() - cancel or refuse the submission
 *
 * No waiting task is sent any more.  The status stays SUB_OPEN until the
 * tasks in flight are resolved, unless one may have run already.
 */
void sub_close (struct sub_submission *s);

#endif
