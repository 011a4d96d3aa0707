#include "clock.h"
#include "entry_parts.h"

struct capa_size
ent_need_of (const struct req_task *t)
{
  struct capa_size need = { t->cores, t->memory_mb, t->accelerators };

  return need;
}

bool
ent_needs_worker (const struct req_task *t)
{
  struct capa_size need = ent_need_of (t);

  return !capa_is_zero (&need);
}

struct que_queue *
ent_queue_for (struct ent_entry *e, const struct req_task *t)
{
  return ent_needs_worker (t) ? &e->worker_queue : &e->queue;
}

size_t
ent_queued_count (const struct ent_entry *e)
{
  return e->queue.count + e->worker_queue.count;
}

void
ent_enqueue (struct ent_record *rec, uint32_t i, uint64_t spread_ns)
{
  struct ent_entry *e = rec->entry;
  struct ent_task *t = &rec->tasks[i];
  struct lv_slice kind = lv_slice_of (t->spec->kind);

  if (!sub_may_send (&rec->core, i) || t->item.flow != NULL)
    return;
  t->item.slots = t->spec->cores;
  que_push (ent_queue_for (e, t->spec), &t->item, ent_team_of (rec),
            rec->request->urgency, kind, est_mean (&e->estimates, kind),
            spread_ns, clk_boot ());
}

void
ent_unqueue (struct ent_entry *e, struct ent_task *task)
{
  if (e->worker_head == &task->item)
    e->worker_head = NULL;
  que_remove (ent_queue_for (e, task->spec), &task->item);
}

static void
run_dispatch (struct tevent_context *ev, struct tevent_immediate *im,
              void *priv)
{
  struct ent_entry *e = priv;

  (void)ev;
  (void)im;
  e->dispatch_scheduled = false;
  e->events->dispatch (e);
}

void
ent_schedule_dispatch (struct ent_entry *e)
{
  if (e->dispatch_scheduled)
    return;
  e->dispatch_scheduled = true;
  tevent_schedule_immediate (e->dispatch_event, e->ev, run_dispatch, e);
}
