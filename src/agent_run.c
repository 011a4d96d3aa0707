#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "agent.h"
#include "clock.h"
#include "logline.h"
#include "wire.h"

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
  run->started_ns = clk_now ();
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
  struct agt_run *run = talloc_zero (a->ev, struct agt_run);

  run->agent = a;
  run->sid = wir_to_sid (&call->sid);
  run->index = call->index;
  run->place = call->credited ? s->place : -1;
  run->need = wir_to_size (&call->need);
  run->ops = capa_is_zero (&run->need) ? a->target : &agt_worker_ops;
  run->kind = talloc_strdup (run, call->kind);
  run->payload_len = call->payload.lvp_bytes_len;
  run->payload
      = talloc_memdup (run, call->payload.lvp_bytes_val, run->payload_len);
  agt_run_wait (run, s, xid);
  if (at_worker (run) || a->running_count < a->set.slots)
    {
      launch (run);
      return;
    }
  DL_APPEND (a->held, run);
  a->held_count++;
}

static struct agt_run *
find_in (struct agt_run *list, const struct sid_id *sid, uint32_t index)
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
  struct agt_run *run = find_in (a->running, sid, index);

  return run != NULL ? run : find_in (a->held, sid, index);
}

void
agt_run_wait (struct agt_run *run, struct agt_session *s, uint32_t xid)
{
  struct agt_waiter *w = talloc (run, struct agt_waiter);

  w->session = s;
  w->xid = xid;
  LL_PREPEND (run->waiters, w);
}

static void
forget_in (struct agt_run *list, const struct agt_session *s)
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
agt_run_forget (struct agt_agent *a, struct agt_session *s)
{
  forget_in (a->running, s);
  forget_in (a->held, s);
}

static void
launch_held (struct agt_agent *a)
{
  while (a->held != NULL && a->running_count < a->set.slots)
    {
      struct agt_run *run = a->held;
      DL_DELETE (a->held, run);
      a->held_count--;
      launch (run);
    }
}

/* Answer all that wait, with the credits that this end frees for them.  */
static void
answer (struct agt_run *run, lvp_outcome *out)
{
  struct agt_agent *a = run->agent;
  struct agt_waiter *w;

  grt_balance (&a->grants);
  out->load = a->running_count + a->held_count;
  LL_FOREACH (run->waiters, w)
  {
    struct agt_session *s = w->session;
    out->credits = 0;
    if (s->place >= 0)
      {
        out->credits = a->grants.session[s->place].change;
        a->grants.session[s->place].change = 0;
      }
    onc_reply (s->conn, w->xid, (xdrproc_t)xdr_lvp_outcome, out);
  }
  agt_grant (a);
}

static void
retire (struct agt_run *run)
{
  struct agt_agent *a = run->agent;

  a->ended_ns = clk_now ();
  DL_DELETE (a->running, run);
  if (at_worker (run))
    {
      a->worker.running--;
      agt_worker_release (a, &run->need);
      return;
    }
  a->running_count--;
  if (run->place >= 0)
    grt_end (&a->grants, (unsigned)run->place);
}

void
agt_run_ended (struct agt_run *run, enum led_state state,
               struct lv_slice output)
{
  struct agt_agent *a = run->agent;
  uint64_t now = clk_now ();
  uint64_t run_ns = clk_since (now, run->started_ns);
  struct led_task task = { .state = state, .run_ns = run_ns };
  lvp_outcome out;

  task.output = (char *)output.data;
  task.output_len = output.len;
  retire (run);
  ctr_add (&a->counters,
           state == LED_SUCCEEDED ? AGT_ENDED_OK
           : state == LED_FAILED  ? AGT_ENDED_FAILED
                                  : AGT_LOST,
           1);
  led_end (&a->ledger, &run->sid, run->index, state, output, run_ns, now);
  out = agt_outcome (&task);
  answer (run, &out);
  talloc_free (run);
  launch_held (a);
}

void
agt_run_unstarted (struct agt_run *run)
{
  struct agt_agent *a = run->agent;
  lvp_outcome out = { .status = LVP_NOT_STARTED };

  retire (run);
  led_unstart (&a->ledger, &run->sid, run->index);
  answer (run, &out);
  talloc_free (run);
  launch_held (a);
}

void
agt_run_stop (struct agt_run *run)
{
  if (find_in (run->agent->running, &run->sid, run->index) != NULL)
    run->ops->stop (run->agent, run);
}
