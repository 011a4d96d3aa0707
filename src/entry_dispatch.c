#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "entry_parts.h"
#include "xtalloc.h"

/* At most one credit is reserved per this many slots of this entry's share. */
#define SLOTS_PER_RESERVED_CREDIT 8

static uint32_t
pick_random (void *priv, uint32_t below)
{
  return (uint32_t)gsl_rng_uniform_int (priv, below);
}

static void
grow_targets (struct ent_entry *e)
{
  if (e->target_cap >= e->link_count)
    return;
  e->target_cap = e->link_count * 2;
  e->targets
      = xtalloc_realloc (e->ev, e->targets, struct plc_target, e->target_cap);
  e->target_links = xtalloc_realloc (e->ev, e->target_links, struct ent_link *,
                                     e->target_cap);
}

static struct ent_link *
choose_target (struct ent_entry *e, const struct ent_task *task,
               uint64_t now_ns)
{
  struct ent_link *link;
  uint32_t n = 0;
  int chosen;

  grow_targets (e);
  DL_FOREACH (e->links, link)
  {
    struct plc_target *t = &e->targets[n];
    e->target_links[n++] = link;
    t->usable = ent_link_usable (link, &link->health, task, now_ns);
    t->same_domain = link->near;
    t->credits = link->credits;
    t->sent = link->sent;
    t->load = link->load;
    t->slots = link->slots;
  }
  chosen = e->policy->choose (e->targets, n, pick_random, e->rng);
  return chosen >= 0 ? e->target_links[chosen] : NULL;
}

/* Whether ITEM must leave the last credits to teams within their share, so
   that a flood of one team does not delay the next task of another.  */
static bool
held_by_reserve (const struct ent_entry *e, const struct que_item *item,
                 uint64_t now_ns)
{
  uint32_t reserve = (uint32_t)(e->queue.slots / SLOTS_PER_RESERVED_CREDIT);
  const struct ent_link *link;
  uint32_t credits = 0;

  if (!e->policy->credited || !que_over_share (&e->queue, item, now_ns))
    return false;
  if (reserve > e->set.reserve)
    reserve = (uint32_t)e->set.reserve;
  DL_FOREACH (e->links, link)
  credits += link->credits;
  return credits <= reserve;
}

void
ent_dispatch (struct ent_entry *e)
{
  uint64_t now = clk_boot ();

  while (e->queue.count > 0)
    {
      struct que_item *item = que_peek (&e->queue, now, ent_at_limit, e);
      struct ent_task *task = (struct ent_task *)(void *)item;
      struct ent_link *link;

      if (item == NULL || held_by_reserve (e, item, now))
        break;
      link = choose_target (e, task, now);
      if (link == NULL)
        break;
      que_take (&e->queue, item, now);
      ent_send_start (link, task, now);
    }
  ent_worker_pump (e, now);
  ent_link_report_demand (e, (uint32_t)e->queue.count, now);
}
