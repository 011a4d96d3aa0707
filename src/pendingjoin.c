#include "pendingjoin.h"

#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "wire.h"
#include "xtalloc.h"

void
pjn_init (struct pjn_list *l, void *mem_ctx)
{
  l->mem_ctx = mem_ctx;
  l->joins = NULL;
}

void
pjn_finish (struct pjn_list *l)
{
  while (l->joins != NULL)
    pjn_remove (l, l->joins);
}

void
pjn_add (struct pjn_list *l, void *conn, const lvp_join *message,
         uint64_t now_ns)
{
  struct pjn_join *former = pjn_find (l, conn);
  struct pjn_join *join = xtalloc_zero (l->mem_ctx, struct pjn_join);

  if (former != NULL)
    pjn_remove (l, former);
  join->conn = conn;
  join->at_ns = now_ns;
  join->message = *message;
  DL_APPEND (l->joins, join);
}

struct pjn_join *
pjn_find (const struct pjn_list *l, const void *conn)
{
  struct pjn_join *join;

  DL_FOREACH (l->joins, join)
  if (join->conn == conn)
    return join;
  return NULL;
}

struct pjn_join *
pjn_find_superseded (const struct pjn_list *l,
                     const struct pjn_join *confirmed)
{
  struct pjn_join *join;

  DL_FOREACH (l->joins, join)
  {
    if (join == confirmed)
      return NULL;
    if (strcmp (join->message.name, confirmed->message.name) == 0)
      return join;
  }
  return NULL;
}

struct pjn_join *
pjn_find_expired (const struct pjn_list *l, uint64_t now_ns)
{
  struct pjn_join *oldest = l->joins;

  if (oldest == NULL || clk_since (now_ns, oldest->at_ns) < PJN_TIMEOUT_NS)
    return NULL;
  return oldest;
}

void
pjn_remove (struct pjn_list *l, struct pjn_join *join)
{
  DL_DELETE (l->joins, join);
  WIR_FREE (lvp_join, &join->message);
  talloc_free (join);
}
