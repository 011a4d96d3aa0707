#include <inttypes.h>
#include <talloc.h>

#include "agent.h"
#include "clock.h"
#include "entropy.h"
#include "logline.h"

static void
append_done (int err, void *priv)
{
  struct agt_agent *a = priv;

  /* The tick retries a failed append after a second.  */
  if (err != 0)
    a->next_refresh_ns = clk_boot () + CLK_S;
}

static void
announce (struct agt_agent *a, uint64_t now_ns)
{
  char *record = ros_join_record (a->ev, &a->self, a->ledger.joined);
  uint64_t jitter_ns = rnd_u64 () % (a->set.refresh_s * CLK_S / 4 + 1);

  a->announced = true;
  a->next_refresh_ns = now_ns + a->set.refresh_s * CLK_S - jitter_ns;
  lgt_append (a->members, record, append_done, a);
  talloc_free (record);
}

static void
on_begin (uint64_t first, void *priv)
{
  (void)first;
  (void)priv;
}

static void
on_record (uint64_t offset, uint64_t log_ms, struct lv_slice data, void *priv)
{
  struct agt_agent *a = priv;
  struct ros_member *m = ros_apply (&a->roster, offset, log_ms, data);

  if (m == NULL || m->incarnation != a->incarnation)
    return;
  if (m->ended == 0)
    {
      a->ledger.joined = m->joined;
      log_line (LOGL_INFO, "joined", "offset=%" PRIu64, offset);
      return;
    }
  /* Another member declared this agent gone while it was alive: tasks of ids
     minted before it is announced again must not start.  */
  a->ledger.joined = 0;
  a->next_refresh_ns = 0;
  if (!a->leaving)
    log_line (LOGL_WARN, "ended-by-others", "offset=%" PRIu64, offset);
}

static void
on_caught_up (void *priv)
{
  struct agt_agent *a = priv;

  if (!a->announced && !a->leaving)
    announce (a, clk_boot ());
}

void
agt_member_open (struct agt_agent *a)
{
  struct lgt_handler handler = { on_begin, on_record, on_caught_up, a };

  a->members = lgt_open (a->ev, a->ev, a->client, a->set.log_url, "members", 1,
                         &handler);
}

void
agt_member_tick (struct agt_agent *a, uint64_t now_ns)
{
  if (a->announced && !a->leaving && now_ns >= a->next_refresh_ns)
    announce (a, now_ns);
}

void
agt_member_leave (struct agt_agent *a, const char *why)
{
  char *record = ros_end_record (a->ev, a->incarnation, why);

  lgt_append (a->members, record, NULL, NULL);
  talloc_free (record);
}
