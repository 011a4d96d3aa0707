#include "runner_parts.h"

#include <talloc.h>
#include <utlist.h>

#include "lagoonvale/subset.h"
#include "logline.h"
#include "wire.h"

/* Time between two choices of the entries to be served, ns.  */
#define CHOOSE_NS (500 * CLK_MS)

struct rnr_session *
rnr_session_of (const struct rnr_runner *r, uint64_t entry)
{
  struct rnr_session *s;

  DL_FOREACH (r->sessions, s)
  if (s->joined && s->entry == entry)
    return s;
  return NULL;
}

static struct rnr_session *
add_session (struct rnr_runner *r, const lvp_endpoint *at)
{
  struct rnr_session *s;

  DL_FOREACH (r->sessions, s)
  if (wir_same_endpoint (&s->at, at))
    return s;
  s = talloc_zero (r->mem_ctx, struct rnr_session);
  s->runner = r;
  s->at = *at;
  s->wanted = true;
  net_format (at->addr, at->port, s->text);
  DL_APPEND (r->sessions, s);
  log_line (LOGL_INFO, "entry-known", "entry=%s", s->text);
  return s;
}

void
rnr_take_answer (struct rnr_session *s, const lvp_report_res *answer)
{
  const lvp_endpoints *entries = &answer->entries;
  uint64_t now = clk_boot ();
  u_int i;

  s->hungry = answer->hungry;
  s->known = answer->digest;
  if (entries->lvp_endpoints_len > 0)
    s->listed_ns = now;
  for (i = 0; i < entries->lvp_endpoints_len; i++)
    add_session (s->runner, &entries->lvp_endpoints_val[i])->named_ns = now;
}

/* Whether a run or an untaken outcome here belongs to the entry of S.  */
bool
rnr_owes (const struct rnr_session *s)
{
  const struct rnr_runner *r = s->runner;
  const struct rtk_run *run;
  const struct rnr_end *end;

  for (run = r->book.runs; run != NULL; run = run->hh.next)
    if (run->owner == s->entry)
      return true;
  DL_FOREACH (r->ends, end)
  if (end->owner == s->entry)
    return true;
  return false;
}

void
rnr_choose_entries (struct rnr_runner *r, uint64_t now_ns)
{
  struct sub_entry *members;
  struct rnr_session *s;
  unsigned count = 0;
  unsigned i;

  if (clk_since (now_ns, r->chosen_ns) < CHOOSE_NS)
    return;
  r->chosen_ns = now_ns;
  DL_COUNT (r->sessions, s, count);
  members = talloc_zero_array (NULL, struct sub_entry, count);
  i = 0;
  DL_FOREACH (r->sessions, s)
  {
    members[i].rank
        = sub_rank (lv_slice_of (r->set.name), lv_slice_of (s->text));
    members[i].reachable = s->joined;
    members[i++].priv = s;
  }
  sub_select (members, count, (unsigned)r->set.entries_max);
  for (i = 0; i < count; i++)
    {
      s = members[i].priv;
      s->wanted = members[i].selected;
      if (s->wanted)
        s->retiring_ns = 0;
    }
  talloc_free (members);
}

/* The session of the entry at ADDRESS, a new one if it was not known; NULL if
   that is no address.  */
static struct rnr_session *
find_entry (struct rnr_runner *r, struct lv_slice address)
{
  struct rnr_session *s;
  lvp_endpoint at;

  if (wir_parse_endpoint (&at, address) != 0)
    {
      log_line (LOGL_WARN, "entry-bad-address", "text=%.*s", (int)address.len,
                address.data);
      return NULL;
    }
  s = add_session (r, &at);
  s->named_ns = clk_boot ();
  return s;
}

void
rnr_seeds (struct rnr_runner *r, const struct set_strings *seeds)
{
  struct rnr_session *s;
  unsigned i;

  for (i = 0; i < seeds->count; i++)
    {
      s = find_entry (r, lv_slice_of (seeds->item[i]));
      if (s != NULL)
        s->is_seed = true;
    }
}

void
rnr_entry_found (struct rnr_runner *r, struct lv_slice address)
{
  find_entry (r, address);
}

bool
rnr_alone (const struct rnr_runner *r)
{
  const struct rnr_session *s;

  DL_FOREACH (r->sessions, s)
  if (s->joined)
    return false;
  return true;
}
