#include "runner_parts.h"

#include <talloc.h>
#include <utlist.h>

#include "lagoonvale/subset.h"
#include "logline.h"
#include "wire.h"
#include "xtalloc.h"

/* Time between two choices of the entries to serve, ns.  */
#define CHOOSE_INTERVAL_NS (500 * CLK_MS)

struct rnr_session *
rnr_find_session (const struct rnr_runner *r, uint64_t incarnation)
{
  struct rnr_session *s;

  DL_FOREACH (r->sessions, s)
  if (s->joined && s->incarnation == incarnation)
    return s;
  return NULL;
}

static unsigned
count_chosen (const struct rnr_runner *r)
{
  const struct rnr_session *s;
  unsigned n = 0;

  DL_FOREACH (r->sessions, s)
  n += s->chosen;
  return n;
}

/* An agent that serves as many entries as it may takes its time to choose
   among more of them: they become known in a few lists, and each choice may
   replace some that have just been joined.  */
static struct rnr_session *
find_or_add_session (struct rnr_runner *r, const lvp_endpoint *at)
{
  struct rnr_session *s;

  DL_FOREACH (r->sessions, s)
  if (wir_same_endpoint (&s->endpoint, at))
    return s;
  s = xtalloc_zero (r->mem_ctx, struct rnr_session);
  s->runner = r;
  s->endpoint = *at;
  if (count_chosen (r) < r->settings.entries_max)
    r->entries_chosen_ns = 0;
  net_format (at->addr, at->port, s->address);
  DL_APPEND (r->sessions, s);
  log_line (LOGL_INFO, "entry-known", "entry=%s", s->address);
  return s;
}

/* Take over what ANSWER says of this failure domain, if that is newer than
   what is known.  */
static void
apply_drain (struct rnr_session *s, const lvp_report_res *answer)
{
  struct rnr_runner *r = s->runner;
  bool was_drained = r->domain_drained;

  if (answer->drain_position <= r->drain_position)
    return;
  r->drain_position = answer->drain_position;
  r->domain_drained = answer->drained;
  if (r->domain_drained != was_drained)
    log_line (LOGL_INFO, "domain-drained",
              "drained=%d position=%llu from=%s runs=%u", r->domain_drained,
              (unsigned long long)r->drain_position, s->address,
              HASH_COUNT (r->tracker.runs));
}

void
rnr_apply_answer (struct rnr_session *s, const lvp_report_res *answer)
{
  const lvp_endpoints *entries = &answer->entries;
  uint64_t now = clk_boot ();
  u_int i;

  apply_drain (s, answer);
  s->has_backlog = answer->hungry;
  s->list_digest = answer->digest;
  if (entries->lvp_endpoints_len > 0)
    s->full_list_ns = now;
  for (i = 0; i < entries->lvp_endpoints_len; i++)
    find_or_add_session (s->runner, &entries->lvp_endpoints_val[i])->learned_ns
        = now;
}

bool
rnr_session_busy (const struct rnr_session *s)
{
  const struct rnr_runner *r = s->runner;
  const struct rtk_run *run;
  const struct rnr_end *end;

  for (run = r->tracker.runs; run != NULL; run = run->hh.next)
    if (run->owner == s->incarnation)
      return true;
  DL_FOREACH (r->ends, end)
  if (end->owner == s->incarnation)
    return true;
  return false;
}

void
rnr_note_failure (struct rnr_session *s)
{
  s->failed = true;
  s->runner->entries_chosen_ns = 0;
}

/* An entry counts as reachable until it was tried, or an agent that learns of
   many would dial them all.  */
void
rnr_choose_entries (struct rnr_runner *r, uint64_t now_ns)
{
  struct sst_member *members;
  struct rnr_session *s;
  unsigned count = 0;
  unsigned i;

  if (clk_since (now_ns, r->entries_chosen_ns) < CHOOSE_INTERVAL_NS)
    return;
  r->entries_chosen_ns = now_ns;
  DL_COUNT (r->sessions, s, count);
  members = xtalloc_zero_array (NULL, struct sst_member, count);
  i = 0;
  DL_FOREACH (r->sessions, s)
  {
    members[i].rank
        = sst_rank (lv_slice_of (r->settings.name), lv_slice_of (s->address));
    members[i].reachable = s->joined || !s->failed;
    members[i++].priv = s;
  }
  sst_select (members, count, (unsigned)r->settings.entries_max);
  for (i = 0; i < count; i++)
    {
      s = members[i].priv;
      s->chosen = members[i].selected;
      if (s->chosen)
        s->retiring_ns = 0;
    }
  talloc_free (members);
}

/* Finds or adds the session of the entry at ADDRESS; NULL if ADDRESS cannot be
   parsed.  */
static struct rnr_session *
add_entry_address (struct rnr_runner *r, struct lv_slice address)
{
  struct rnr_session *s;
  lvp_endpoint at;

  if (wir_parse_endpoint (&at, address) != 0)
    {
      log_line (LOGL_WARN, "entry-bad-address", "text=%.*s", (int)address.len,
                address.data);
      return NULL;
    }
  s = find_or_add_session (r, &at);
  s->learned_ns = clk_boot ();
  return s;
}

void
rnr_add_seeds (struct rnr_runner *r, const struct set_strings *seeds)
{
  struct rnr_session *s;
  unsigned i;

  for (i = 0; i < seeds->count; i++)
    {
      s = add_entry_address (r, lv_slice_of (seeds->item[i]));
      if (s != NULL)
        s->is_seed = true;
    }
}

void
rnr_add_entry (struct rnr_runner *r, struct lv_slice address)
{
  add_entry_address (r, address);
}

bool
rnr_disconnected (const struct rnr_runner *r)
{
  const struct rnr_session *s;

  DL_FOREACH (r->sessions, s)
  if (s->joined)
    return false;
  return true;
}
