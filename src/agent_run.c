#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "agent.h"
#include "clock.h"
#include "logline.h"
#include "wire.h"
#include "xtalloc.h"

lvp_outcome
agt_outcome (const struct led_task *task)
{
  static const lvp_status status[] = { [LED_RUNNING] = LVP_UNKNOWN,
                                       [LED_SUCCEEDED] = LVP_OK,
                                       [LED_FAILED] = LVP_TASK_FAILED,
                                       [LED_LOST] = LVP_UNKNOWN,
                                       [LED_TOMBSTONE] = LVP_NOT_STARTED };
  struct lv_slice output = { task->output, task->output_len };
  lvp_outcome out = { .status = status[task->state],
                      .run_ns = task->run_ns,
                      .output = wir_bytes (output) };

  return out;
}

static bool
at_worker (const struct agt_run *run)
{
  return run->ops == &agt_worker_ops;
}

static void
launch (struct agt_run *run)
{
  struct agt_agent *a = run->agent;

  DL_APPEND (a->running, run);
  if (at_worker (run))
    a->worker.running++;
  else
    a->running_count++;
  run->started_ns = clk_boot ();
  ctr_add (&a->counters, AGT_STARTS, 1);
  if (log_enabled (LOGL_INFO))
    {
      char text[SID_TEXT_MAX];
      sid_format (&run->sid, text);
      log_line (LOGL_INFO, "start",
                "sid=%s index=%u kind=%s target=%s running=%u", text,
                run->index, run->kind, run->ops->name,
                at_worker (run) ? a->worker.running : a->running_count);
    }
  run->ops->start (a, run);
}

void
agt_run_start (struct agt_agent *a, struct agt_session *s, uint32_t xid,
               const lvp_start *call)
{
  struct agt_run *run = xtalloc_zero (a->ev, struct agt_run);

  run->agent = a;
  run->sid = wir_to_sid (&call->sid);
  run->index = call->index;
  run->grant_index = call->credited ? s->grant_index : -1;
  run->need = wir_to_size (&call->need);
  run->ops = capa_is_zero (&run->need) ? a->target : &agt_worker_ops;
  run->kind = xtalloc_strdup (run, call->kind);
  run->payload_len = call->payload.lvp_bytes_len;
  run->payload
      = xtalloc_memdup (run, call->payload.lvp_bytes_val, run->payload_len);
  agt_run_add_waiter (run, s, xid);
  if (at_worker (run) || a->running_count < a->set.slots)
    {
      launch (run);
      return;
    }
  DL_APPEND (a->queued, run);
  a->queued_count++;
}

static struct agt_run *
find_run (struct agt_run *list, const struct sid_id *sid, uint32_t index)
{
  struct agt_run *run;

  DL_FOREACH (list, run)
  {
    if (run->index == index && sid_equal (&run->sid, sid))
      return run;
  }
  return NULL;
}

struct agt_run *
agt_run_find (struct agt_agent *a, const struct sid_id *sid, uint32_t index)
{
  struct agt_run *run = find_run (a->running, sid, index);

  return run != NULL ? run : find_run (a->queued, sid, index);
}

void
agt_run_add_waiter (struct agt_run *run, struct agt_session *s, uint32_t xid)
{
  struct agt_waiter *w = xtalloc (run, struct agt_waiter);

  w->session = s;
  w->xid = xid;
  LL_PREPEND (run->waiters, w);
}

static void
remove_waiters (struct agt_run *list, const struct agt_session *s)
{
  struct agt_run *run;
  struct agt_waiter *w;
  struct agt_waiter *next;

  DL_FOREACH (list, run)
  {
    LL_FOREACH_SAFE (run->waiters, w, next)
    {
      if (w->session == s)
        LL_DELETE (run->waiters, w);
    }
  }
}

void
agt_run_remove_waiters (struct agt_agent *a, struct agt_session *s)
{
  remove_waiters (a->running, s);
  remove_waiters (a->queued, s);
}

static void
launch_queued (struct agt_agent *a)
{
  while (a->queued != NULL && a->running_count < a->set.slots)
    {
      struct agt_run *run = a->queued;
      DL_DELETE (a->queued, run);
      a->queued_count--;
      launch (run);
    }
}

/* Answer all waiting calls, including the credits that this end frees.  */
static void
answer_waiters (struct agt_run *run, lvp_outcome *out)
{
  struct agt_agent *a = run->agent;
  struct agt_waiter *w;

  grt_balance (&a->grants);
  out->load = a->running_count + a->queued_count;
  LL_FOREACH (run->waiters, w)
  {
    struct agt_session *s = w->session;
    out->credits = 0;
    if (s->grant_index >= 0)
      {
        out->credits = a->grants.session[s->grant_index].change;
        a->grants.session[s->grant_index].change = 0;
      }
    onc_reply (s->conn, w->xid, (xdrproc_t)xdr_lvp_outcome, out);
  }
  agt_grant (a);
}

static void
remove_running (struct agt_run *run)
{
  struct agt_agent *a = run->agent;

  a->last_end_ns = clk_boot ();
  DL_DELETE (a->running, run);
  if (at_worker (run))
    {
      a->worker.running--;
      agt_worker_release (a, &run->need);
      return;
    }
  a->running_count--;
  if (run->grant_index >= 0)
    grt_end (&a->grants, (unsigned)run->grant_index);
}

static void
run_ended (struct agt_run *run, enum led_state state, struct lv_slice output)
{
  struct agt_agent *a = run->agent;
  uint64_t now = clk_boot ();
  uint64_t run_ns = clk_since (now, run->started_ns);
  struct led_task task = { .state = state, .run_ns = run_ns };
  lvp_outcome out;

  task.output = (char *)output.data;
  task.output_len = output.len;
  remove_running (run);
  ctr_add (&a->counters,
           state == LED_SUCCEEDED ? AGT_SUCCEEDED
           : state == LED_FAILED  ? AGT_FAILED
                                  : AGT_LOST,
           1);
  led_end (&a->ledger, &run->sid, run->index, state, output, run_ns, now);
  out = agt_outcome (&task);
  answer_waiters (run, &out);
  talloc_free (run);
  launch_queued (a);
}

static void
run_not_started (struct agt_run *run)
{
  struct agt_agent *a = run->agent;
  lvp_outcome out = { .status = LVP_NOT_STARTED };

  remove_running (run);
  led_revert_start (&a->ledger, &run->sid, run->index);
  answer_waiters (run, &out);
  talloc_free (run);
  launch_queued (a);
}

/* End RUN, which waits for a slot, as never started.  */
static void
cancel_queued (struct agt_run *run)
{
  struct agt_agent *a = run->agent;
  lvp_outcome out = { .status = LVP_NOT_STARTED };

  DL_DELETE (a->queued, run);
  a->queued_count--;
  if (run->grant_index >= 0)
    grt_end (&a->grants, (unsigned)run->grant_index);
  led_revert_start (&a->ledger, &run->sid, run->index);
  answer_waiters (run, &out);
  talloc_free (run);
}

void
agt_run_stop (struct agt_run *run)
{
  if (find_run (run->agent->running, &run->sid, run->index) != NULL)
    run->ops->stop (run->agent, run);
  else
    cancel_queued (run);
}

const struct agt_run_events agt_run_events = { run_ended, run_not_started };
