#include "lagoonvale/confsync.h"

#include <errno.h>
#include <stdlib.h>
#include <talloc.h>

#include "xtalloc.h"

static struct cat_queue *
find_key (const struct cat_config *c, const char *key)
{
  struct cat_queue *q;

  HASH_FIND (hh, c->by_key, key, strlen (key), q);
  return q;
}

static void
add_removed (struct cat_config *c, const char *key, uint64_t version)
{
  struct cat_removed *r = &c->removed[c->removed_count++];

  r->key = xtalloc_strdup (c->removed, key);
  r->version = version;
}

static int
compare_removed (const void *a, const void *b)
{
  return strcmp (((const struct cat_removed *)a)->key,
                 ((const struct cat_removed *)b)->key);
}

/* Queues of NEXT's past that it does not have.  */
static uint32_t
count_removed (const struct cat_config *next, const struct cat_config *former)
{
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < former->count; i++)
    n += find_key (next, former->queues[i].key) == NULL;
  for (i = 0; i < former->removed_count; i++)
    n += find_key (next, former->removed[i].key) == NULL;
  return n;
}

static void
link_removed (struct cat_config *next, const struct cat_config *former,
              uint32_t count)
{
  uint32_t i;

  next->removed = xtalloc_zero_array (next, struct cat_removed, count);
  for (i = 0; i < former->count; i++)
    if (find_key (next, former->queues[i].key) == NULL)
      add_removed (next, former->queues[i].key, next->version);
  for (i = 0; i < former->removed_count; i++)
    if (find_key (next, former->removed[i].key) == NULL)
      add_removed (next, former->removed[i].key, former->removed[i].version);
  if (count > 0)
    qsort (next->removed, count, sizeof next->removed[0], compare_removed);
}

void
cfs_link (struct cat_config *next, const struct cat_config *former)
{
  uint32_t removed;
  uint32_t i;

  if (former == NULL)
    return;
  removed = count_removed (next, former);
  if (removed > CFS_REMOVED_MAX)
    return;
  next->since = former->since;
  link_removed (next, former, removed);
  for (i = 0; i < next->count; i++)
    {
      struct cat_queue *q = &next->queues[i];
      const struct cat_queue *before = find_key (former, q->key);

      if (before != NULL && before->hash == q->hash)
        q->changed = before->changed;
    }
}

/* Index of the first queue whose key is greater than AFTER.  */
static uint32_t
first_after (const struct cat_config *c, const char *after)
{
  uint32_t low = 0;
  uint32_t high = c->count;

  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;

      if (strcmp (c->queues[middle].key, after) <= 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static void
add_queues (struct cfs_page *page, const struct cat_config *c,
            const char *after)
{
  uint32_t i;

  for (i = first_after (c, after); i < c->count; i++)
    {
      if (c->queues[i].changed <= page->base)
        continue;
      page->more = page->count == CFS_PAGE_QUEUES;
      if (page->more)
        return;
      page->queues[page->count++] = &c->queues[i];
    }
}

void
cfs_make_page (const struct cat_config *c, const struct cfs_request *request,
               struct cfs_page *page)
{
  bool continues = request->version == c->version;
  const char *after = continues ? request->after : "";
  bool knows = request->have >= c->since && request->have < c->version;
  uint32_t i;

  memset (page, 0, sizeof *page);
  page->version = c->version;
  page->base = knows ? request->have : 0;
  page->digest = c->digest;
  page->position = c->position;
  page->body_max = c->body_max;
  page->idle_ms = c->idle_ms;
  if (page->base > 0 && *after == '\0')
    for (i = 0; i < c->removed_count; i++)
      if (c->removed[i].version > page->base)
        page->removed[page->removed_count++] = c->removed[i].key;
  add_queues (page, c, after);
}

void
cfs_reset (struct cfs_transfer *t)
{
  TALLOC_FREE (t->staged);
}

struct cfs_request
cfs_next_request (const struct cfs_transfer *t,
                  const struct cat_config *current)
{
  struct cfs_request request = { 0, 0, "" };
  const struct cat_config *s = t->staged;

  if (current != NULL && !t->whole)
    request.have = current->version;
  if (s == NULL)
    return request;
  request.have = t->base;
  request.version = s->version;
  if (s->count > 0)
    request.after = s->queues[s->count - 1].key;
  return request;
}

static struct cat_config *
begin (struct cfs_transfer *t, const struct cfs_page *page)
{
  struct cat_config *c = cat_new (t->mem_ctx, page->version, 0);
  uint32_t i;

  c->body_max = page->body_max;
  c->idle_ms = page->idle_ms;
  c->position = page->position;
  c->removed = xtalloc_zero_array (c, struct cat_removed, page->removed_count);
  for (i = 0; i < page->removed_count; i++)
    add_removed (c, page->removed[i], page->version);
  t->base = page->base;
  t->digest = page->digest;
  return c;
}

/* Whether PAGE begins a transfer, or continues the one under way.  */
static bool
is_next (const struct cfs_transfer *t, const struct cat_config *current,
         const struct cfs_page *page)
{
  uint64_t have = current != NULL ? current->version : 0;

  if (page->version <= have || (page->base != 0 && page->base != have))
    return false;
  return t->staged == NULL
         || (page->version == t->staged->version && page->base == t->base
             && page->digest == t->digest && page->removed_count == 0);
}

static int
stage (struct cat_config *c, const struct cfs_page *page)
{
  uint32_t i;

  for (i = 0; i < page->count; i++)
    {
      const struct cat_queue *q = cat_add_queue (c, page->queues[i]);

      if (q == NULL || (c->count > 1 && strcmp (q[-1].key, q->key) >= 0))
        return -EBADMSG;
    }
  return 0;
}

static bool
is_removed (const struct cat_config *staged, const char *key)
{
  struct cat_removed wanted = { (char *)key, 0 };

  return staged->removed_count > 0
         && bsearch (&wanted, staged->removed, staged->removed_count,
                     sizeof wanted, compare_removed)
                != NULL;
}

static bool
is_staged (const struct cat_config *staged, const char *key)
{
  uint32_t at = first_after (staged, key);

  return at > 0 && strcmp (staged->queues[at - 1].key, key) == 0;
}

/* The configuration that STAGED, a difference to BASE, leads to; NULL if
   memory is out.  */
static struct cat_config *
merge (void *mem_ctx, const struct cat_config *staged,
       const struct cat_config *base)
{
  struct cat_config *c = cat_new (mem_ctx, staged->version, 0);
  uint32_t kept = base != NULL ? base->count : 0;
  bool added = true;
  uint32_t i;

  c->body_max = staged->body_max;
  c->idle_ms = staged->idle_ms;
  c->position = staged->position;
  for (i = 0; added && i < staged->count; i++)
    added = cat_add_queue (c, &staged->queues[i]) != NULL;
  for (i = 0; added && i < kept; i++)
    if (!is_removed (staged, base->queues[i].key)
        && !is_staged (staged, base->queues[i].key))
      added = cat_add_queue (c, &base->queues[i]) != NULL;
  if (!added)
    TALLOC_FREE (c);
  return c;
}

static int
finish (struct cfs_transfer *t, const struct cat_config *current,
        struct cat_config **result)
{
  struct cat_config *c
      = merge (t->mem_ctx, t->staged, t->base != 0 ? current : NULL);

  cfs_reset (t);
  t->whole = c == NULL || cat_build_index (c) != 0 || c->digest != t->digest;
  if (t->whole)
    {
      talloc_free (c);
      return -EBADMSG;
    }
  *result = c;
  return 0;
}

int
cfs_accept (struct cfs_transfer *t, const struct cat_config *current,
            const struct cfs_page *page, struct cat_config **result)
{
  int rc;

  *result = NULL;
  if (!is_next (t, current, page))
    {
      cfs_reset (t);
      return -ESTALE;
    }
  if (t->staged == NULL)
    t->staged = begin (t, page);
  rc = stage (t->staged, page);
  if (rc == 0 && page->more && page->count == 0)
    rc = -EBADMSG;
  if (rc == 0 && !page->more)
    return finish (t, current, result);
  if (rc != 0)
    {
      cfs_reset (t);
      t->whole = true;
    }
  return rc;
}
