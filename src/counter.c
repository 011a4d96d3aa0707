#include "lagoonvale/counter.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "xtalloc.h"

static _Atomic unsigned threads_seen;
static _Thread_local unsigned thread_row = CTR_THREADS;

static unsigned
thread_row_index (void)
{
  if (thread_row == CTR_THREADS)
    {
      unsigned n = atomic_fetch_add (&threads_seen, 1);
      thread_row = n < CTR_THREADS ? n : CTR_THREADS - 1;
    }
  return thread_row;
}

void
ctr_init (struct ctr_set *set, const struct ctr_desc *descs, unsigned count)
{
  memset (set, 0, sizeof *set);
  set->descs = descs;
  set->count = count;
}

void
ctr_add (struct ctr_set *set, unsigned id, uint64_t n)
{
  atomic_fetch_add_explicit (&set->rows[thread_row_index ()].value[id], n,
                             memory_order_relaxed);
}

void
ctr_set_gauge (struct ctr_set *set, unsigned id, uint64_t value)
{
  atomic_store_explicit (&set->rows[0].value[id], value, memory_order_relaxed);
}

uint64_t
ctr_read (const struct ctr_set *set, unsigned id)
{
  uint64_t sum = 0;

  for (unsigned t = 0; t < CTR_THREADS; t++)
    sum += atomic_load_explicit (&set->rows[t].value[id],
                                 memory_order_relaxed);
  return sum;
}

char *
ctr_format (void *mem_ctx, const struct ctr_set *set)
{
  char *text = talloc_strdup (mem_ctx, "");

  for (unsigned i = 0; i < set->count && text != NULL; i++)
    {
      const struct ctr_desc *d = &set->descs[i];
      text = xtalloc_asprintf_append_buffer (
          text, "# HELP %s %s\n# TYPE %s %s\n%s %" PRIu64 "\n", d->name,
          d->help, d->name, d->gauge ? "gauge" : "counter", d->name,
          ctr_read (set, i));
    }
  return text;
}
