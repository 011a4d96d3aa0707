#include "lagoonvale/ledger.h"

#include <errno.h>
#include <string.h>
#include <talloc.h>
#include <uthash.h>
#include <utlist.h>

#define INITIAL_TASKS 4U

struct led_sub
{
  struct sid_id sid;
  struct led_holder holder;
  uint64_t touched_ns;
  uint32_t count;
  uint32_t cap;
  uint32_t running;
  struct led_task *tasks; /* sorted by index */
  struct led_sub *prev;
  struct led_sub *next;
  UT_hash_handle hh;
};

void
led_init (struct led_ledger *l, void *mem_ctx, size_t max_bytes,
          uint64_t keep_ns, uint64_t output_keep_ns)
{
  memset (l, 0, sizeof *l);
  l->mem_ctx = mem_ctx;
  l->max_bytes = max_bytes;
  l->keep_ns = keep_ns;
  l->output_keep_ns = output_keep_ns;
}

static void
drop_output (struct led_ledger *l, struct led_task *task)
{
  if (task->output == NULL)
    return;
  l->bytes -= task->output_len;
  TALLOC_FREE (task->output);
  task->output_len = 0;
}

static void
drop_sub (struct led_ledger *l, struct led_sub *sub)
{
  for (uint32_t i = 0; i < sub->count; i++)
    drop_output (l, &sub->tasks[i]);
  l->bytes -= sizeof *sub + sub->cap * sizeof *sub->tasks;
  l->tasks -= sub->count;
  HASH_DEL (l->by_id, sub);
  DL_DELETE (l->oldest, sub);
  talloc_free (sub);
}

void
led_finish (struct led_ledger *l)
{
  struct led_sub *sub;
  struct led_sub *next;

  HASH_ITER (hh, l->by_id, sub, next) { drop_sub (l, sub); }
}

static struct led_sub *
find_sub (const struct led_ledger *l, const struct sid_id *sid)
{
  struct led_sub *sub;

  HASH_FIND (hh, l->by_id, sid, sizeof *sid, sub);
  return sub;
}

static struct led_sub *
ensure_sub (struct led_ledger *l, const struct sid_id *sid, uint64_t now_ns)
{
  struct led_sub *sub = find_sub (l, sid);

  if (sub == NULL)
    {
      if (l->bytes + sizeof *sub > l->max_bytes)
        return NULL;
      sub = talloc_zero (l->mem_ctx, struct led_sub);
      if (sub == NULL)
        return NULL;
      sub->sid = *sid;
      l->bytes += sizeof *sub;
      HASH_ADD (hh, l->by_id, sid, sizeof sub->sid, sub);
    }
  else
    DL_DELETE (l->oldest, sub);
  sub->touched_ns = now_ns;
  DL_APPEND (l->oldest, sub);
  return sub;
}

/* Position of INDEX in the tasks, or where to insert it.  */
static uint32_t
lower_bound (const struct led_sub *sub, uint32_t index)
{
  uint32_t low = 0;
  uint32_t high = sub->count;

  if (high > 0 && sub->tasks[high - 1].index < index)
    return high;
  while (low < high)
    {
      uint32_t middle = (low + high) / 2;
      if (sub->tasks[middle].index < index)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static struct led_task *
find_task (const struct led_sub *sub, uint32_t index)
{
  uint32_t at = lower_bound (sub, index);

  if (at < sub->count && sub->tasks[at].index == index)
    return &sub->tasks[at];
  return NULL;
}

static struct led_task *
add_task (struct led_ledger *l, struct led_sub *sub, uint32_t index,
          enum led_state state)
{
  uint32_t at = lower_bound (sub, index);

  if (sub->count == sub->cap)
    {
      uint32_t cap = sub->cap > 0 ? sub->cap * 2 : INITIAL_TASKS;
      size_t extra = (cap - sub->cap) * sizeof *sub->tasks;
      struct led_task *grown;

      if (l->bytes + extra > l->max_bytes)
        return NULL;
      grown = talloc_realloc (sub, sub->tasks, struct led_task, cap);
      if (grown == NULL)
        return NULL;
      sub->tasks = grown;
      sub->cap = cap;
      l->bytes += extra;
    }
  memmove (&sub->tasks[at + 1], &sub->tasks[at],
           (sub->count - at) * sizeof *sub->tasks);
  memset (&sub->tasks[at], 0, sizeof sub->tasks[at]);
  sub->tasks[at].index = index;
  sub->tasks[at].state = state;
  sub->count++;
  l->tasks++;
  return &sub->tasks[at];
}

int
led_start (struct led_ledger *l, const struct sid_id *sid, uint64_t ballot,
           uint32_t index, uint64_t now_ns, const struct led_task **out)
{
  struct led_sub *sub;
  struct led_task *task;

  if (l->joined == 0 || l->joined > sid->roster)
    return -ESTALE;
  sub = ensure_sub (l, sid, now_ns);
  if (sub == NULL)
    return -ENOSPC;
  if (ballot != sub->holder.ballot)
    return -EACCES;
  task = find_task (sub, index);
  if (task != NULL)
    {
      *out = task;
      return task->state == LED_TOMBSTONE ? -ECANCELED : -EALREADY;
    }
  if (add_task (l, sub, index, LED_RUNNING) == NULL)
    return -ENOSPC;
  sub->running++;
  return 0;
}

void
led_end (struct led_ledger *l, const struct sid_id *sid, uint32_t index,
         enum led_state state, struct lv_slice output, uint64_t run_ns,
         uint64_t now_ns)
{
  struct led_sub *sub = find_sub (l, sid);
  struct led_task *task = sub != NULL ? find_task (sub, index) : NULL;

  if (task == NULL || task->state != LED_RUNNING)
    return;
  sub->running--;
  task->state = state;
  task->run_ns = run_ns;
  task->ended_ns = now_ns;
  if (output.len > 0)
    {
      task->output = talloc_memdup (sub, output.data, output.len);
      if (task->output == NULL)
        task->state = LED_LOST;
      else
        task->output_len = output.len;
      l->bytes += task->output_len;
    }
  sub->touched_ns = now_ns;
  DL_DELETE (l->oldest, sub);
  DL_APPEND (l->oldest, sub);
}

void
led_revert_start (struct led_ledger *l, const struct sid_id *sid,
                  uint32_t index)
{
  struct led_sub *sub = find_sub (l, sid);
  struct led_task *task = sub != NULL ? find_task (sub, index) : NULL;

  if (task == NULL || task->state != LED_RUNNING)
    return;
  sub->running--;
  task->state = LED_TOMBSTONE;
}

const struct led_task *
led_resolve (struct led_ledger *l, const struct sid_id *sid, uint64_t ballot,
             uint32_t index, uint64_t now_ns, int *err)
{
  struct led_sub *sub = ensure_sub (l, sid, now_ns);
  struct led_task *task;

  *err = -ENOSPC;
  if (sub == NULL)
    return NULL;
  if (ballot < sub->holder.ballot)
    {
      *err = -EACCES;
      return NULL;
    }
  task = find_task (sub, index);
  if (task == NULL)
    task = add_task (l, sub, index, LED_TOMBSTONE);
  if (task != NULL)
    *err = 0;
  return task;
}

static bool
is_same_holder (const struct led_holder *a, const struct led_holder *b)
{
  return a->ballot == b->ballot && a->addr == b->addr && a->port == b->port;
}

int
led_fence (struct led_ledger *l, const struct sid_id *sid,
           const struct led_holder *next, bool no_preempt, uint64_t now_ns,
           struct led_holder *current)
{
  struct led_sub *sub = ensure_sub (l, sid, now_ns);
  struct led_holder *held;

  if (sub == NULL)
    return -ENOSPC;
  held = &sub->holder;
  *current = *held;
  if (is_same_holder (next, held))
    return 0;
  if (next->ballot <= held->ballot || (no_preempt && held->ballot > 0))
    return -EBUSY;
  *held = *next;
  return 0;
}

unsigned
led_list_started (const struct led_ledger *l, const struct sid_id *sid,
                  uint32_t *indices, unsigned max)
{
  const struct led_sub *sub = find_sub (l, sid);
  unsigned n = 0;

  for (uint32_t i = 0; sub != NULL && i < sub->count && n < max; i++)
    if (sub->tasks[i].state != LED_TOMBSTONE)
      indices[n++] = sub->tasks[i].index;
  return n;
}

static void
drop_old_outputs (struct led_ledger *l, struct led_sub *sub, uint64_t now_ns)
{
  for (uint32_t i = 0; i < sub->count; i++)
    {
      struct led_task *task = &sub->tasks[i];
      if (task->output != NULL && task->ended_ns + l->output_keep_ns <= now_ns)
        {
          drop_output (l, task);
          task->state = LED_LOST;
        }
    }
}

void
led_expire (struct led_ledger *l, uint64_t now_ns)
{
  struct led_sub *sub;
  struct led_sub *next;

  DL_FOREACH_SAFE (l->oldest, sub, next)
  {
    if (sub->touched_ns + l->output_keep_ns > now_ns)
      return;
    drop_old_outputs (l, sub, now_ns);
    if (sub->touched_ns + l->keep_ns <= now_ns && sub->running == 0)
      drop_sub (l, sub);
  }
}
