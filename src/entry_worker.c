#include <inttypes.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "entry.h"
#include "logline.h"
#include "wire.h"

static struct rom_size
need_of (const struct req_task *t)
{
  struct rom_size need = { t->cores, t->memory_mb, t->accelerators };

  return need;
}

bool
ent_needs_worker (const struct req_task *t)
{
  struct rom_size need = need_of (t);

  return !rom_none (&need);
}

struct que_queue *
ent_queue (struct ent_entry *e, const struct req_task *t)
{
  return ent_needs_worker (t) ? &e->worker_queue : &e->queue;
}

/* Join the fleet of workers with the first word of a worker's size.  */
static void
note_size (struct ent_link *link, const struct rom_size *total)
{
  if (rom_none (total))
    return;
  if (rom_none (&link->worker_size))
    link->entry->worker_fleet.targets++;
  link->worker_size = *total;
}

void
ent_worker_room (struct ent_link *link, const lvp_room *room)
{
  link->room_total = wir_to_size (&room->total);
  link->room_free = wir_to_size (&room->free);
  note_size (link, &link->room_total);
}

void
ent_worker_lost (struct ent_link *link)
{
  memset (&link->room_total, 0, sizeof link->room_total);
  memset (&link->room_free, 0, sizeof link->room_free);
}

bool
ent_worker_admit (const struct ent_entry *e, const struct req_request *r,
                  uint32_t i, struct req_refusal *why)
{
  struct rom_size need = need_of (&r->tasks[i]);
  struct rom_size largest = { 0, 0, 0 };
  const struct ent_link *link;
  bool all_known = true;

  DL_FOREACH (e->links, link)
  {
    if (rom_fits (&link->worker_size, &need))
      return true;
    all_known = all_known && link->greeted;
    if (link->worker_size.cores > largest.cores)
      largest = link->worker_size;
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
choose (struct ent_entry *e, const struct ent_task *task, uint64_t now_ns)
{
  struct rom_size need = need_of (task->spec);
  struct ent_link *best = NULL;
  struct ent_link *link;

  DL_FOREACH (e->links, link)
  {
    struct plc_worker candidate = { link->near, link->room_free };
    struct plc_worker chosen;
    if (!rom_fits (&link->room_free, &need)
        || !ent_link_usable (link, &link->worker_health, task, now_ns))
      continue;
    if (best != NULL)
      chosen = (struct plc_worker){ best->near, best->room_free };
    if (best == NULL || plc_worker_better (&candidate, &chosen))
      best = link;
  }
  return best;
}

static bool
present (const struct ent_entry *e, const struct ent_task *task)
{
  struct rom_size need = need_of (task->spec);
  const struct ent_link *link;

  DL_FOREACH (e->links, link)
  {
    if (rom_fits (&link->room_total, &need))
      return true;
  }
  return false;
}

/* If no worker that is there can hold the task that goes first, others do not
   wait for it for long.  */
static bool
give_up_absent (struct ent_entry *e, struct ent_task *task, uint64_t now_ns)
{
  uint64_t waited = clk_since (now_ns, task->item.stamp_ns);

  if (waited < e->set.resolve_ms * CLK_MS || present (e, task))
    return false;
  ent_record_fail (task->record, "no_target", "decide", "");
  return true;
}

void
ent_unqueue (struct ent_entry *e, struct ent_task *task)
{
  if (e->worker_head == &task->item)
    e->worker_head = NULL;
  que_remove (ent_queue (e, task->spec), &task->item);
}

/* A task whose turn has come keeps it until there is room, so that small tasks
   can't starve it.  */
static struct que_item *
head (struct ent_entry *e, uint64_t now_ns)
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
      struct que_item *item = head (e, now_ns);
      struct ent_task *task = (struct ent_task *)(void *)item;
      struct ent_link *link;
      struct rom_size need;

      if (item == NULL)
        return;
      link = choose (e, task, now_ns);
      if (link == NULL)
        {
          if (!give_up_absent (e, task, now_ns))
            return;
          continue;
        }
      need = need_of (task->spec);
      e->worker_head = NULL;
      que_take (&e->worker_queue, item, now_ns);
      ent_send_start (link, task, now_ns);
      rom_take (&link->room_free, &need);
    }
}
