#include "lagoonvale/directory.h"

#include <talloc.h>

#include "xtalloc.h"

/* A listed address that did not answer at the latest reads.  */
struct dir_unresponsive
{
  char address[DIR_ADDRESS_MAX];
  unsigned failures;
  UT_hash_handle hh;
};

void
dir_init (struct dir_directory *d, void *mem_ctx, const struct dir_ops *ops,
          void *ops_priv, const struct dir_events *events,
          struct lv_slice self)
{
  memset (d, 0, sizeof *d);
  d->mem_ctx = mem_ctx;
  d->ops = ops;
  d->ops_priv = ops_priv;
  d->events = *events;
  d->self = self;
  d->backoff_ns = DIR_RETRY_NS;
}

static void
remove_unresponsive (struct dir_directory *d, struct dir_unresponsive *s)
{
  HASH_DEL (d->unresponsive, s);
  talloc_free (s);
}

void
dir_finish (struct dir_directory *d)
{
  while (d->unresponsive != NULL)
    remove_unresponsive (d, d->unresponsive);
}

void
dir_tick (struct dir_directory *d, bool isolated, uint64_t now_ns)
{
  if (!isolated && d->self.len == 0)
    d->backoff_ns = DIR_RETRY_NS;
  if (d->reading || now_ns < d->next_read_ns)
    return;
  if (d->self.len == 0 && d->ever_read && !isolated)
    return;
  d->reading = true;
  d->ops->read (d->ops_priv);
}

static void
schedule_retry (struct dir_directory *d, uint64_t now_ns)
{
  d->next_read_ns = now_ns + d->backoff_ns;
  if (d->backoff_ns < DIR_RETRY_MAX_NS)
    d->backoff_ns *= 2;
}

void
dir_read_failed (struct dir_directory *d, uint64_t now_ns)
{
  d->reading = false;
  schedule_retry (d, now_ns);
}

static struct dir_unresponsive *
find_unresponsive (struct dir_directory *d, struct lv_slice address)
{
  struct dir_unresponsive *s;

  HASH_FIND (hh, d->unresponsive, address.data, address.len, s);
  return s;
}

static void
count_failure (struct dir_directory *d, struct lv_slice address)
{
  struct dir_unresponsive *s = find_unresponsive (d, address);

  if (s == NULL)
    {
      s = xtalloc_zero (d->mem_ctx, struct dir_unresponsive);
      memcpy (s->address, address.data, address.len);
      HASH_ADD (hh, d->unresponsive, address[0], address.len, s);
    }
  if (++s->failures < DIR_FAILURES_MAX)
    return;
  remove_unresponsive (d, s);
  d->ops->remove (address, d->ops_priv);
}

/* Counts whether ADDRESS answers.  Only reads that are DIR_REFRESH_NS apart
   count, or an address would be removed for a few seconds of silence.  */
static void
count_answer (struct dir_directory *d, struct lv_slice address)
{
  struct dir_unresponsive *s = find_unresponsive (d, address);

  if (!d->events.answers (address, d->events.priv))
    count_failure (d, address);
  else if (s != NULL)
    remove_unresponsive (d, s);
}

static bool
holds_self (const struct dir_directory *d, const struct lv_slice *addresses,
            unsigned count)
{
  unsigned i;

  if (d->self.len == 0)
    return false;
  for (i = 0; i < count; i++)
    if (lv_slice_eq (addresses[i], d->self))
      return true;
  return false;
}

void
dir_read_done (struct dir_directory *d, const struct lv_slice *addresses,
               unsigned count, uint64_t now_ns)
{
  bool listed = holds_self (d, addresses, count);
  unsigned i;

  d->reading = false;
  d->ever_read = true;
  for (i = 0; i < count; i++)
    {
      if (addresses[i].len == 0 || addresses[i].len >= DIR_ADDRESS_MAX
          || lv_slice_eq (addresses[i], d->self))
        continue;
      d->events.found (addresses[i], d->events.priv);
      if (listed)
        count_answer (d, addresses[i]);
    }
  if (listed)
    {
      d->next_read_ns = now_ns + DIR_REFRESH_NS;
      d->backoff_ns = DIR_RETRY_NS;
      return;
    }
  /* An entry reads until it finds its own address: of two that start at the
     same moment, the one that is listed last then finds the other.  */
  schedule_retry (d, now_ns);
  if (d->self.len > 0)
    d->ops->add (d->self, d->ops_priv);
}
