#include <talloc.h>
#include <urcu-bp.h>
#include <utlist.h>

#include "entry_parts.h"
#include "xtalloc.h"

static struct rul_set *
parse_rules (struct ent_entry *e, void *mem_ctx)
{
  struct rul_error finding;
  uint32_t count;
  struct rul_set *set;

  if (e->active_rules_text == NULL)
    return xtalloc_zero (mem_ctx, struct rul_set);
  set = rul_parse (mem_ctx, lv_slice_of (e->active_rules_text), &finding, 1,
                   &count);
  if (set != NULL)
    set->version = e->active_rules_version;
  return set;
}

/* Not inlined: tests/tsan.supp matches its caller in the stack trace.  */
static __attribute__ ((noinline)) void
retire_view (struct ent_view *old)
{
  synchronize_rcu ();
  talloc_free (old);
}

void
ent_update_position (struct ent_entry *e)
{
  const struct ros_member *m;
  uint32_t count = 0;
  uint32_t before = 0;

  LL_FOREACH (e->roster.members, m)
  {
    if (m->role != ROS_ENTRY || m->ended != 0)
      continue;
    count++;
    before += m->incarnation < e->incarnation;
  }
  e->entry_count = count > 0 ? count : 1;
  e->entry_position = before < e->entry_count ? before : 0;
}

void
ent_publish_view (struct ent_entry *e)
{
  struct ent_view *old = e->view;
  struct ent_view *view = xtalloc_zero (NULL, struct ent_view);

  ent_update_position (e);
  view->rules = parse_rules (e, view);
  view->ready = e->rules_ready && e->members_known;
  view->leaving = e->leaving;
  atomic_store_explicit (&e->view, view, memory_order_release);
  que_update_weights (&e->queue);
  que_update_weights (&e->worker_queue);
  if (old != NULL)
    retire_view (old);
}
