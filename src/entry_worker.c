#include <inttypes.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "entry.h"
#include "logline.h"
#include "wire.h"

static struct capa_size
need_of (const struct req_task *t)
{
  struct capa_size need = { t->cores, t->memory_mb, t->accelerators };

  return need;
}

bool
ent_needs_worker (const struct req_task *t)
{
  struct capa_size need = need_of (t);

  return !capa_is_zero (&need);
}

struct que_queue *
ent_queue_for (struct ent_entry *e, const struct req_task *t)
{
  return ent_needs_worker (t) ? &e->worker_queue : &e->queue;
}

/* The first report of a worker's capacity adds it to the fleet.  */
static void
update_capacity (struct ent_link *link, const struct capa_size *total)
{
  if (capa_is_zero (total))
    return;
  if (capa_is_zero (&link->worker_capacity))
    link->entry->worker_fleet.targets++;
  link->worker_capacity = *total;
}

void
ent_worker_update (struct ent_link *link, const lvp_room *room)
{
  link->worker_total = wir_to_size (&room->total);
  link->worker_free = wir_to_size (&room->free);
  update_capacity (link, &link->worker_total);
}

void
ent_worker_clear (struct ent_link *link)
{
  memset (&link->worker_total, 0, sizeof link->worker_total);
  memset (&link->worker_free, 0, sizeof link->worker_free);
}

bool
ent_worker_admit (const struct ent_entry *e, const struct req_request *r,
                  uint32_t i, struct req_refusal *why)
{
  struct capa_size need = need_of (&r->tasks[i]);
  struct capa_size largest = { 0, 0, 0 };
  const struct ent_link *link;
  bool all_known = true;

  DL_FOREACH (e->links, link)
  {
    if (capa_fits (&link->worker_capacity, &need))
      return true;
    all_known = all_known && link->was_established;
    if (link->worker_capacity.cores > largest.cores)
      largest = link->worker_capacity;
  }
  if (all_known && e->link_count > 0)
    req_refuse (why, 422, "no_target", "admit", true,
                "task %u needs %u cores, %u MB, %u accelerators; the largest "
                "worker has %u, %u, %u",
                i, need.cores, need.memory_mb, need.accelerators,
                largest.cores, largest.memory_mb, largest.accelerators);
  else
    req_refuse (why, 503, "not_ready", "admit", true,
                "not all workers are known yet");
  return false;
}

static struct ent_link *
choose_worker (struct ent_entry *e, const struct ent_task *task,
               uint64_t now_ns)
{
  struct capa_size need = need_of (task->spec);
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
  struct capa_size need = need_of (task->spec);
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

void
ent_unqueue (struct ent_entry *e, struct ent_task *task)
{
  if (e->worker_head == &task->item)
    e->worker_head = NULL;
  que_remove (ent_queue_for (e, task->spec), &task->item);
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
      need = need_of (task->spec);
      e->worker_head = NULL;
      que_take (&e->worker_queue, item, now_ns);
      ent_send_start (link, task, now_ns);
      capa_subtract (&link->worker_free, &need);
    }
}
