#include <utlist.h>

#include "agent.h"

void
agt_grant (struct agt_agent *a)
{
  struct agt_session *s;

  grt_balance (&a->grants);
  DL_FOREACH (a->sessions, s)
  {
    struct grt_session *g;
    int change;

    if (s->grant_index < 0)
      continue;
    g = &a->grants.session[s->grant_index];
    change = g->change;
    g->change = 0;
    if (change != 0)
      onc_call (s->conn, LVP_GRANT, (xdrproc_t)xdr_int, &change, NULL, NULL);
  }
}
