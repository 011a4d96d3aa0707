#include "lagoonvale/submission.h"

#include <string.h>

void
sub_init (struct sub_submission *s, struct sub_task *tasks, uint32_t count)
{
  memset (s, 0, sizeof *s);
  memset (tasks, 0, count * sizeof *tasks);
  s->task = tasks;
  s->count = count;
}

bool
sub_may_send (const struct sub_submission *s, uint32_t i)
{
  return !s->closing && s->task[i].state == SUB_WAITING;
}

void
sub_mark_sent (struct sub_submission *s, uint32_t i, uint64_t target)
{
  s->task[i].state = SUB_SENT;
  s->task[i].target = target;
  s->task[i].sends++;
  s->in_flight++;
}

void
sub_mark_started (struct sub_submission *s, uint32_t i, uint64_t target)
{
  if (s->task[i].state != SUB_WAITING)
    return;
  sub_mark_sent (s, i, target);
  s->task[i].state = SUB_UNRESOLVED;
}

enum sub_step
sub_mark_disconnected (struct sub_submission *s, uint32_t i)
{
  if (s->task[i].state != SUB_SENT && s->task[i].state != SUB_UNRESOLVED)
    return SUB_STEP_NONE;
  s->task[i].state = SUB_UNRESOLVED;
  return SUB_STEP_RESOLVE;
}

/* A failed submission ends at once if any task may have run; "not run" is
   certain only when no task is in flight.  */
static void
update_status (struct sub_submission *s)
{
  if (s->status != SUB_OPEN)
    return;
  if (s->done == s->count)
    s->status = SUB_COMPLETE;
  else if (s->closing && s->any_may_have_run)
    s->status = SUB_FAILED_MAY_HAVE_RUN;
  else if (s->closing && s->in_flight == 0)
    s->status = SUB_FAILED_NOT_RUN;
}

static void
finish_attempt (struct sub_submission *s, uint32_t i,
                enum sub_task_state state)
{
  s->task[i].state = state;
  s->in_flight--;
  if (state != SUB_WAITING)
    s->any_may_have_run = true;
  if (state == SUB_DONE)
    s->done++;
  if (state == SUB_FAILED || state == SUB_UNKNOWN)
    s->closing = true;
  update_status (s);
}

enum sub_step
sub_record_outcome (struct sub_submission *s, uint32_t i, uint64_t target,
                    enum sub_outcome outcome)
{
  struct sub_task *t = &s->task[i];

  if (t->target != target
      || (t->state != SUB_SENT && t->state != SUB_UNRESOLVED))
    return SUB_STEP_NONE;
  switch (outcome)
    {
    case SUB_OUT_SUCCEEDED:
      finish_attempt (s, i, SUB_DONE);
      return SUB_STEP_NONE;
    case SUB_OUT_FAILED:
      finish_attempt (s, i, SUB_FAILED);
      return SUB_STEP_NONE;
    case SUB_OUT_NOT_STARTED:
      finish_attempt (s, i, SUB_WAITING);
      return s->closing ? SUB_STEP_NONE : SUB_STEP_REQUEUE;
    case SUB_OUT_FENCED: /* another owner may run it */
    case SUB_OUT_UNKNOWN:
      finish_attempt (s, i, SUB_UNKNOWN);
      return SUB_STEP_NONE;
    }
  return SUB_STEP_NONE;
}

void
sub_give_up (struct sub_submission *s, uint32_t i)
{
  if (s->task[i].state == SUB_SENT || s->task[i].state == SUB_UNRESOLVED)
    finish_attempt (s, i, SUB_UNKNOWN);
}

void
sub_close (struct sub_submission *s)
{
  s->closing = true;
  update_status (s);
}
