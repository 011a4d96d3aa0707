#include <inttypes.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "entropy.h"
#include "entry_parts.h"
#include "logline.h"
#include "xtalloc.h"

/* Minimum delay before one of the entries appends newly accepted rules again,
   for readers whose log no longer holds the original record.  */
#define STATE_MIN_NS (200 * CLK_MS)
/* Interval of requests to peers while rules or members are unknown.  */
#define SYNC_NS (200 * CLK_MS)

static void
on_announced (int err, void *priv)
{
  struct ent_entry *e = priv;

  if (err != 0)
    e->next_refresh_ns = clk_boot () + CLK_S;
}

static uint64_t
jitter (uint64_t span_ns)
{
  return rnd_u64 () % (span_ns + 1);
}

static void
announce (struct ent_entry *e, uint64_t now_ns)
{
  char *record = ros_join_record (e->ev, &e->self, e->joined);

  e->announced = true;
  e->next_refresh_ns = now_ns + e->set.refresh_s * CLK_S
                       - jitter (e->set.refresh_s * CLK_S / 4);
  lgt_append (e->members_tail, record, on_announced, e);
  talloc_free (record);
}

/* Connect to M, or stop using it, as its membership says.  */
static void
follow_member (struct ent_entry *e, struct ros_member *m)
{
  if (m->incarnation == e->incarnation)
    {
      e->joined = m->ended == 0 ? m->joined : 0;
      if (m->ended != 0)
        e->next_refresh_ns = 0;
    }
  else if (m->role == ROS_AGENT && m->ended == 0)
    ent_link_add (e, m);
  else if (m->role == ROS_AGENT)
    ent_link_set_leaving (e, m);
}

static void
member_changed (struct ent_entry *e, struct ros_member *m)
{
  if (m->incarnation != e->incarnation)
    log_line (LOGL_INFO, "member",
              "member=%s incarnation=%016" PRIx64 " domain=%s state=%s "
              "offset=%" PRIu64,
              m->name, m->incarnation, m->domain,
              m->ended == 0 ? "joined" : "ended", e->roster.offset);
  follow_member (e, m);
}

static void
members_begin (uint64_t first, void *priv)
{
  struct ent_entry *e = priv;

  ros_start_at (&e->roster, first);
}

static void
members_record (uint64_t offset, uint64_t log_ms, struct lv_slice data,
                void *priv)
{
  struct ent_entry *e = priv;
  struct ros_member *m = ros_apply (&e->roster, offset, log_ms, data);

  if (m != NULL)
    member_changed (e, m);
}

static void
members_caught_up (void *priv)
{
  struct ent_entry *e = priv;
  bool first = !e->members_known;

  e->members_known = true;
  if (!e->announced && !e->leaving)
    announce (e, clk_boot ());
  if (first)
    ent_publish_view (e);
}

void
ent_log_load_members (struct ent_entry *e, uint64_t offset,
                      struct lv_slice dump)
{
  struct ros_member *m;

  if (!ros_load (&e->roster, offset, clk_wall_ms (), dump))
    return;
  e->members_known = true;
  lgt_seek (e->members_tail, offset + 1);
  LL_FOREACH (e->roster.members, m)
  follow_member (e, m);
  ent_publish_view (e);
}

static void
install_rules (struct ent_entry *e, const char *source)
{
  TALLOC_FREE (e->active_rules_text);
  e->active_rules_text = xtalloc_strdup (e->ev, e->rules.text);
  e->active_rules_version = e->rules.version;
  log_line (LOGL_INFO, "rules",
            "version=%" PRIu64 " offset=%" PRIu64 " source=%s lag_ms=%" PRId64,
            e->rules.version, e->rules.offset, source,
            e->rules.accepted_ms > 0
                ? (int64_t)(clk_wall_ms () - e->rules.accepted_ms)
                : -1);
  ctr_set_gauge (&e->counters, ENT_RULES_VERSION, e->rules.version);
  e->next_state_ns = clk_boot () + STATE_MIN_NS + jitter (CLK_S);
}

void
ent_log_activate_rules (struct ent_entry *e, const char *source)
{
  bool changed = e->rules.version != e->active_rules_version;

  if (e->rules_ready && !changed)
    return;
  e->rules_ready = true;
  if (changed)
    install_rules (e, source);
  ent_publish_view (e);
}

static void
rules_begin (uint64_t first, void *priv)
{
  struct ent_entry *e = priv;

  rvs_start_at (&e->rules, first);
}

static void
rules_record (uint64_t offset, uint64_t log_ms, struct lv_slice data,
              void *priv)
{
  static const char *const fates[]
      = { "accepted", "lost", "held", "nothing", "foreign" };
  struct ent_entry *e = priv;
  enum rvs_outcome fate = rvs_apply (&e->rules, offset, log_ms, data);

  if (fate == RVS_INVALID || fate == RVS_CONFLICT)
    log_line (LOGL_WARN, "rules-record", "offset=%" PRIu64 " fate=%s", offset,
              fates[fate]);
  if (fate == RVS_UNCHANGED)
    /* Another entry has just appended the state.  */
    e->next_state_ns = clk_boot () + e->set.refresh_s * CLK_S
                       + jitter (e->set.refresh_s * CLK_S);
}

/* Only the version at the end of the stream takes effect, so that an instance
   that starts late does not apply outdated versions on the way.  */
static void
rules_caught_up (void *priv)
{
  struct ent_entry *e = priv;

  if (e->rules.synced)
    ent_log_activate_rules (e, "log");
}

void
ent_log_open (struct ent_entry *e)
{
  struct lgt_handler members
      = { members_begin, members_record, members_caught_up, e };
  struct lgt_handler rules = { rules_begin, rules_record, rules_caught_up, e };

  e->members_tail = lgt_open (e->ev, e->ev, e->client, e->set.log_url,
                              "members", 1, &members);
  e->rules_tail
      = lgt_open (e->ev, e->ev, e->client, e->set.log_url, "rules", 1, &rules);
}

static void
append_rules_state (struct ent_entry *e, uint64_t now_ns)
{
  char *record = rvs_state_record (e->ev, &e->rules);

  e->next_state_ns
      = now_ns + e->set.refresh_s * CLK_S + jitter (e->set.refresh_s * CLK_S);
  lgt_append (e->rules_tail, record, NULL, NULL);
  talloc_free (record);
}

void
ent_log_tick (struct ent_entry *e, uint64_t now_ns)
{
  if (e->announced && !e->leaving && now_ns >= e->next_refresh_ns)
    announce (e, now_ns);
  if (e->rules_ready && e->rules.synced && e->rules.version > 0
      && lgt_reachable (e->rules_tail) && now_ns >= e->next_state_ns)
    append_rules_state (e, now_ns);
}

bool
ent_log_must_sync (struct ent_entry *e, uint64_t now_ns)
{
  if ((e->rules_ready && e->rules.synced && e->members_known)
      || now_ns < e->next_sync_ns)
    return false;
  e->next_sync_ns = now_ns + SYNC_NS;
  return true;
}

void
ent_log_leave (struct ent_entry *e)
{
  char *record = ros_end_record (e->ev, e->incarnation, "left");

  lgt_append (e->members_tail, record, NULL, NULL);
  talloc_free (record);
}
