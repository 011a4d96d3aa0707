#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "entry_parts.h"
#include "logline.h"
#include "wire.h"
#include "xtalloc.h"

static void
observe_run (struct ent_call *call, const struct ent_record *rec,
             const struct ent_task *task, const lvp_outcome *out)
{
  struct ent_entry *e = rec->entry;
  struct lv_slice kind = lv_slice_of (task->spec->kind);
  bool succeeded = out->status == LVP_OK;
  bool worker = ent_needs_worker (task->spec);
  struct hlt_target *health
      = worker ? &call->link->worker_health : &call->link->health;

  if (out->status != LVP_OK && out->status != LVP_TASK_FAILED)
    return;
  if (est_observe (&e->estimates, kind, out->run_ns, succeeded))
    log_line (LOGL_WARN, "estimates-shared", "kind=%.*s own=%d", (int)kind.len,
              kind.data, EST_KINDS_MAX);
  if (!hlt_observe (worker ? &e->worker_fleet : &e->fleet, health, succeeded,
                    est_failure_rate (&e->estimates, kind), clk_boot ()))
    return;
  ctr_add (&e->counters, ENT_EJECTIONS, health->state == HLT_EJECTED);
  log_line (LOGL_WARN, "health",
            "agent=%s target=%s state=%s kind=%s blame=%.2f",
            call->link->member->name, worker ? "worker" : "minion",
            hlt_name (health->state), task->spec->kind, health->blame);
}

/* The task of CALL no longer counts against limits and shares.  */
static void
release_usage (const struct ent_call *call, const struct ent_record *rec)
{
  struct ent_entry *e = rec->entry;
  const struct ent_task *task = &rec->tasks[call->index];
  struct lv_slice kind = lv_slice_of (task->spec->kind);

  if (call->cancel)
    return;
  ent_usage_add (e, ent_team_of (rec), kind, -1);
  if (!call->adopted)
    que_release (ent_queue_for (e, task->spec), ent_team_of (rec),
                 rec->request->urgency, kind, task->item.slots, clk_boot ());
}

static enum sub_outcome
outcome_of (lvp_status status)
{
  switch (status)
    {
    case LVP_OK:
      return SUB_OUT_SUCCEEDED;
    case LVP_TASK_FAILED:
      return SUB_OUT_FAILED;
    case LVP_NOT_STARTED:
    case LVP_LEAVING:
    case LVP_BUSY:
      return SUB_OUT_NOT_STARTED;
    case LVP_FENCED:
      return SUB_OUT_FENCED;
    case LVP_UNKNOWN:
      break;
    }
  return SUB_OUT_UNKNOWN;
}

static const char *
fail_code_of (lvp_status status)
{
  switch (status)
    {
    case LVP_TASK_FAILED:
      return "task_failed";
    case LVP_FENCED:
      return "taken_over";
    default:
      return "outcome_lost";
    }
}

static void
end_call (struct ent_call *call)
{
  struct ent_link *link = call->link;
  struct ent_record *rec = ent_record_find (link->entry, &call->sid);

  if (call->lost_ns != 0)
    DL_DELETE (link->unresolved, call);
  link->sent--;
  talloc_free (call);
  if (rec == NULL)
    return;
  rec->calls--;
  ent_record_try_finish (rec);
}

static void
apply_outcome (struct ent_call *call, const lvp_outcome *out)
{
  struct ent_link *link = call->link;
  struct ent_entry *e = link->entry;
  struct ent_record *rec = ent_record_find (e, &call->sid);
  struct ent_task *task;
  enum sub_step step;

  if (rec == NULL || rec->tasks == NULL)
    return;
  task = &rec->tasks[call->index];
  if (out->status == LVP_OK && task->output == NULL
      && out->output.lvp_bytes_len > 0)
    {
      task->output = xtalloc_memdup (rec->request, out->output.lvp_bytes_val,
                                     out->output.lvp_bytes_len);
      task->output_len = out->output.lvp_bytes_len;
    }
  rec->progress_ns = clk_boot ();
  release_usage (call, rec);
  observe_run (call, rec, task, out);
  step
      = sub_record_outcome (&rec->core, call->index, link->member->incarnation,
                            outcome_of (out->status));
  if (step == SUB_STEP_REQUEUE)
    {
      ctr_add (&e->counters, ENT_WASTED_STARTS, 1);
      ent_enqueue (rec, call->index, 0);
    }
  if (rec->core.closing && rec->phase == ENT_OPEN)
    ent_record_fail (rec, fail_code_of (out->status), "collect",
                     link->member->name);
  else
    ent_record_try_finish (rec);
}

static void
update_link (struct ent_link *link, const lvp_outcome *out)
{
  if (out->credits > 0)
    link->credits += (uint32_t)out->credits;
  link->load = out->load;
  if (out->status == LVP_LEAVING)
    link->leaving = true;
}

static void
mark_disconnected (struct ent_call *call)
{
  struct ent_link *link = call->link;
  struct ent_record *rec = ent_record_find (link->entry, &call->sid);

  if (rec != NULL && rec->tasks != NULL)
    sub_mark_disconnected (&rec->core, call->index);
  if (call->lost_ns == 0)
    {
      call->lost_ns = clk_boot ();
      DL_APPEND (link->unresolved, call);
    }
}

static void
on_outcome (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct ent_call *call = priv;
  struct ent_entry *e = call->link->entry;
  lvp_outcome out;

  (void)conn;
  if (err != 0 || !WIR_DECODE (lvp_outcome, res, &out))
    {
      mark_disconnected (call);
      return;
    }
  update_link (call->link, &out);
  apply_outcome (call, &out);
  end_call (call);
  WIR_FREE (lvp_outcome, &out);
  ent_schedule_dispatch (e);
}

void
ent_resolve (struct ent_call *call)
{
  struct ent_link *link = call->link;
  struct ent_record *rec = ent_record_find (link->entry, &call->sid);
  lvp_resolve msg;

  memset (&msg, 0, sizeof msg);
  msg.sid = wir_sid (&call->sid);
  msg.ballot = rec != NULL ? rec->ballot : 0;
  msg.index = call->index;
  msg.cancel = call->cancel;
  ctr_add (&link->entry->counters, ENT_RESOLVES, 1);
  onc_call (link->conn, LVP_RESOLVE, (xdrproc_t)xdr_lvp_resolve, &msg,
            on_outcome, call);
}

void
ent_call_give_up (struct ent_call *call, const char *step)
{
  struct ent_entry *e = call->link->entry;
  struct ent_record *rec = ent_record_find (e, &call->sid);
  char peer[ERR_PEER_MAX];

  snprintf (peer, sizeof peer, "%s", call->link->member->name);
  ctr_add (&e->counters, ENT_GAVE_UP, 1);
  if (rec != NULL && rec->tasks != NULL)
    {
      release_usage (call, rec);
      sub_give_up (&rec->core, call->index);
      if (rec->phase == ENT_OPEN)
        ent_record_fail (rec, "outcome_lost", step, peer);
      else
        ent_record_try_finish (rec);
    }
  end_call (call);
}

static struct ent_call *
new_call (struct ent_link *link, struct ent_task *task)
{
  struct ent_call *call = xtalloc_zero (link, struct ent_call);

  call->link = link;
  memcpy (&call->sid, &task->record->sid, sizeof call->sid);
  call->index = task->index;
  link->sent++;
  task->record->calls++;
  return call;
}

void
ent_track_started (struct ent_record *rec, uint32_t i, uint64_t incarnation)
{
  struct ent_link *link = ent_link_find (rec->entry, incarnation);
  struct ent_call *call;

  if (i >= rec->core.count || link == NULL)
    return;
  call = new_call (link, &rec->tasks[i]);
  call->adopted = true;
  ent_usage_add (rec->entry, ent_team_of (rec),
                 lv_slice_of (rec->tasks[i].spec->kind), 1);
  sub_mark_started (&rec->core, i, incarnation);
  if (ent_link_ready (link))
    ent_resolve (call);
  else
    mark_disconnected (call);
}

static void
log_placement (const struct ent_link *link, const struct ent_task *task,
               uint64_t waited_ns)
{
  const struct ent_record *rec = task->record;
  char id[SID_TEXT_MAX];

  if (!log_enabled (LOGL_INFO))
    return;
  sid_format (&rec->sid, id);
  log_line (LOGL_INFO, "place",
            "sid=%s index=%u team=%s urgency=%s kind=%s agent=%s domain=%s "
            "policy=%s credits=%u sent=%u load=%u need=%u,%u,%u "
            "free=%u,%u,%u queued=%zu waited_ms=%.3f expected_ms=%.1f",
            id, task->index, rec->request->team,
            req_urgency_name (rec->request->urgency), task->spec->kind,
            link->member->name, link->member->domain, rec->entry->policy->name,
            link->credits, link->sent, link->load, task->spec->cores,
            task->spec->memory_mb, task->spec->accelerators,
            link->worker_free.cores, link->worker_free.memory_mb,
            link->worker_free.accelerators, ent_queued_count (rec->entry),
            (double)waited_ns / CLK_MS,
            (double)task->item.estimate_ns / CLK_MS);
}

void
ent_send_start (struct ent_link *link, struct ent_task *task, uint64_t now_ns)
{
  struct ent_entry *e = link->entry;
  struct ent_record *rec = task->record;
  struct lv_slice payload = { task->spec->payload, task->spec->payload_len };
  struct ent_call *call = new_call (link, task);
  lvp_start msg;

  memset (&msg, 0, sizeof msg);
  msg.sid = wir_sid (&rec->sid);
  msg.ballot = rec->ballot;
  msg.index = task->index;
  msg.credited = e->policy->credited && !ent_needs_worker (task->spec);
  msg.need.cores = task->spec->cores;
  msg.need.memory_mb = task->spec->memory_mb;
  msg.need.accelerators = task->spec->accelerators;
  msg.kind = task->spec->kind;
  msg.payload = wir_bytes (payload);
  if (msg.credited)
    link->credits--;
  sub_mark_sent (&rec->core, task->index, link->member->incarnation);
  rec->progress_ns = now_ns;
  ent_usage_add (e, ent_team_of (rec), lv_slice_of (task->spec->kind), 1);
  hlt_probe (ent_needs_worker (task->spec) ? &link->worker_health
                                           : &link->health,
             clk_boot ());
  ctr_add (&e->counters, ENT_STARTS, 1);
  log_placement (link, task, clk_since (now_ns, task->item.stamp_ns));
  if (onc_call (link->conn, LVP_START, (xdrproc_t)xdr_lvp_start, &msg,
                on_outcome, call)
      != 0)
    mark_disconnected (call);
}

/* Ask the target of a task in flight to cancel it.  */
static void
cancel_sent (struct ent_record *rec, uint32_t i)
{
  struct ent_entry *e = rec->entry;
  struct ent_link *link = ent_link_find (e, rec->core.task[i].target);
  struct ent_call *call;

  if (rec->core.task[i].state != SUB_SENT || link == NULL
      || !ent_link_ready (link))
    return;
  call = new_call (link, &rec->tasks[i]);
  call->cancel = true;
  ent_resolve (call);
}

void
ent_cancel (struct ent_record *rec)
{
  if (rec->phase != ENT_OPEN)
    return;
  for (uint32_t i = 0; i < rec->core.count; i++)
    cancel_sent (rec, i);
  ent_record_fail (rec, "cancelled", "cancel", "");
}
