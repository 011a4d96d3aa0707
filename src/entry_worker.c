#include <utlist.h>

#include "clock.h"
#include "entry_parts.h"

static struct ent_link *
choose_worker (struct ent_entry *e, const struct ent_task *task,
               uint64_t now_ns)
{
  struct capa_size need = ent_need_of (task->spec);
  struct ent_link *best = NULL;
  struct ent_link *link;

  DL_FOREACH (e->links, link)
  {
    struct plc_worker candidate = { link->near, link->worker_free };
    struct plc_worker chosen;
    if (!capa_fits (&link->worker_free, &need)
        || !ent_link_usable (link, &link->worker_health, task, now_ns))
      continue;
    if (best != NULL)
      chosen = (struct plc_worker){ best->near, best->worker_free };
    if (best == NULL || plc_worker_better (&candidate, &chosen))
      best = link;
  }
  return best;
}

static bool
any_worker_fits (const struct ent_entry *e, const struct ent_task *task)
{
  struct capa_size need = ent_need_of (task->spec);
  const struct ent_link *link;

  DL_FOREACH (e->links, link)
  {
    if (capa_fits (&link->worker_total, &need))
      return true;
  }
  return false;
}

/* Fails the submission at the head of the queue, which blocks all tasks behind
   it, if its task has waited for resolve_ms and is too large for every leased
   worker.  */
static bool
fail_unplaceable (struct ent_entry *e, struct ent_task *task, uint64_t now_ns)
{
  uint64_t waited_ns = clk_since (now_ns, task->item.stamp_ns);

  if (waited_ns < e->set.resolve_ms * CLK_MS || any_worker_fits (e, task))
    return false;
  ent_record_fail (task->record, "no_target", "decide", "");
  return true;
}

/* The head of the queue stays the head until it fits, so that smaller tasks
   cannot starve it.  */
static struct que_item *
queue_head (struct ent_entry *e, uint64_t now_ns)
{
  if (e->worker_head == NULL)
    e->worker_head = que_peek (&e->worker_queue, now_ns, ent_at_limit, e);
  return e->worker_head;
}

void
ent_worker_pump (struct ent_entry *e, uint64_t now_ns)
{
  while (e->worker_queue.count > 0)
    {
      struct que_item *item = queue_head (e, now_ns);
      struct ent_task *task = (struct ent_task *)(void *)item;
      struct ent_link *link;
      struct capa_size need;

      if (item == NULL)
        return;
      link = choose_worker (e, task, now_ns);
      if (link == NULL)
        {
          if (!fail_unplaceable (e, task, now_ns))
            return;
          continue;
        }
      need = ent_need_of (task->spec);
      e->worker_head = NULL;
      que_take (&e->worker_queue, item, now_ns);
      ent_send_start (link, task, now_ns);
      capa_subtract (&link->worker_free, &need);
    }
}
