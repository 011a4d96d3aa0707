#include "fleet.h"

#include <errno.h>
#include <stdio.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "logline.h"
#include "wire.h"
#include "xtalloc.h"

/* Time for which a lost agent is kept after its runs have ended, ns.  */
#define FORGET_NS (60 * CLK_S)
/* Weight of a new sample in the exponential moving average.  */
#define FLEET_WEIGHT 0.02
#define PERMILLE 1000
/* Runs at the ratio of the fleet that are reckoned with for each agent: a few
   runs of its own prove little.  */
#define RATIO_PRIOR_RUNS 20
/* Bounds of an agent's relative run time.  */
#define SLOWNESS_MIN 0.5
#define SLOWNESS_MAX 8.0

void
flt_init (struct flt_fleet *f, void *mem_ctx, const struct drn_domains *drains)
{
  memset (f, 0, sizeof *f);
  f->mem_ctx = mem_ctx;
  f->drains = drains;
  f->ratio = 1;
  est_init (&f->estimates, mem_ctx);
}

static void
remove_agent (struct flt_fleet *f, struct flt_agent *a)
{
  f->ejected -= a->ejected;
  DL_DELETE (f->agents, a);
  f->count--;
  talloc_free (a);
}

void
flt_finish (struct flt_fleet *f)
{
  while (f->agents != NULL)
    remove_agent (f, f->agents);
  est_finish (&f->estimates);
}

struct flt_agent *
flt_find_by_conn (const struct flt_fleet *f, const struct onc_conn *conn)
{
  struct flt_agent *a;

  DL_FOREACH (f->agents, a)
  if (a->conn == conn)
    return a;
  return NULL;
}

static struct flt_agent *
find_or_add (struct flt_fleet *f, const char *name)
{
  struct flt_agent *a;

  DL_FOREACH (f->agents, a)
  if (strcmp (a->name, name) == 0)
    return a;
  a = xtalloc_zero (f->mem_ctx, struct flt_agent);
  a->fleet = f;
  a->ratio = f->ratio;
  snprintf (a->name, sizeof a->name, "%s", name);
  DL_APPEND (f->agents, a);
  f->count++;
  return a;
}

struct flt_agent *
flt_join (struct flt_fleet *f, struct onc_conn *conn, const lvp_join *join,
          uint64_t now_ns)
{
  struct flt_agent *a = find_or_add (f, join->name);
  struct onc_conn *former = a->conn;

  a->conn = NULL;
  if (former != NULL && former != conn)
    onc_close (former, -ESTALE, "the agent has joined on a new connection");
  a->conn = conn;
  snprintf (a->domain, sizeof a->domain, "%s", join->domain);
  talloc_free (a->service);
  a->service = xtalloc_strdup (a, join->service);
  if (a->incarnation != join->incarnation)
    a->loss_number = a->silence_number = 0;
  a->incarnation = join->incarnation;
  a->orders = 0;
  a->pending_count = 0;
  a->stamp_ms = 0;
  flt_apply_report (a, &join->report, now_ns);
  return a;
}

bool
flt_is_drained (const struct flt_agent *a)
{
  struct drn_facts facts
      = { .domain_drained
          = a->says_drained
            || drn_contains (a->fleet->drains, lv_slice_of (a->domain)) };

  return drn_cause_of (&facts) != DRN_NONE;
}

/* Agents that may get work.  */
static unsigned
count_undrained (const struct flt_fleet *f)
{
  const struct flt_agent *a;
  unsigned n = f->count;

  if (f->drains->count == 0)
    return n;
  DL_FOREACH (f->agents, a)
  n -= flt_is_drained (a);
  return n;
}

/* Take over what A's agent says of its minion's health.  What it says is not
   followed while HLT_EJECT_SHARE of the agents that may get work are ejected
   already.  */
static void
apply_health (struct flt_agent *a, const lvp_report *report)
{
  struct flt_fleet *f = a->fleet;
  bool ejected = report->use != LVP_USE_ANY;

  a->ratio = (report->ratio_permille / (double)PERMILLE * report->ratio_runs
              + f->ratio * RATIO_PRIOR_RUNS)
             / ((double)report->ratio_runs + RATIO_PRIOR_RUNS);
  a->probe = report->use == LVP_USE_PROBE;
  if (ejected == a->ejected
      || (ejected && f->ejected + 1 > HLT_EJECT_SHARE * count_undrained (f)))
    return;
  a->ejected = ejected;
  f->ejected += ejected ? 1 : -1U;
  log_line (LOGL_INFO, "agent-health", "agent=%s state=%s ratio=%.2f", a->name,
            ejected ? "ejected" : "fit", a->ratio);
}

static void
apply_ends (struct flt_agent *a, const lvp_report *report)
{
  u_int i;

  a->end_count = 0;
  for (i = 0; i < report->soon.soon_len && i < LKH_ENDS_MAX; i++)
    {
      struct lkh_end end = { report->soon.soon_val[i].in_ms,
                             wir_to_amount (&report->soon.soon_val[i].frees) };

      lkh_add_end (a->ends, &a->end_count, &end);
    }
}

struct lkh_agent
flt_look_ahead (const struct flt_agent *a, bool usable, uint64_t now_ns)
{
  struct lkh_agent out = { .usable = usable, .free = a->free };
  uint64_t age_ms = clk_since (now_ns, a->last_report_ns) / CLK_MS;
  unsigned i;

  for (i = 0; i < a->end_count; i++)
    {
      struct lkh_end end = a->ends[i];

      /* What has ended since may have been ordered by another entry.  */
      if (end.in_ms <= age_ms)
        continue;
      end.in_ms -= (uint32_t)age_ms;
      lkh_add_end (out.ends, &out.end_count, &end);
    }
  return out;
}

uint64_t
flt_apply_report (struct flt_agent *a, const lvp_report *report,
                  uint64_t now_ns)
{
  uint64_t sent_ns = 0;
  unsigned i;
  uint32_t n;

  if (report->stamp_ms < a->stamp_ms)
    return 0;
  a->stamp_ms = report->stamp_ms;
  a->last_report_ns = now_ns;
  a->confirmed_ms = report->confirmed_ms;
  a->synced = report->synced;
  a->accepting = report->accepting;
  a->says_drained = report->drained;
  a->starts_left = report->starts_left;
  a->total = wir_to_amount (&report->total);
  amt_raise (&a->peak, &a->total);
  a->free = wir_to_amount (&report->free);
  apply_health (a, report);
  apply_ends (a, report);
  while (a->pending_count > 0
         && a->pending[a->pending_first].order <= report->orders)
    {
      sent_ns = a->pending[a->pending_first].sent_ns;
      a->pending_first = (a->pending_first + 1) % FLT_PENDING_MAX;
      a->pending_count--;
    }
  for (i = 0; i < a->pending_count; i++)
    {
      const struct flt_pending *p
          = &a->pending[(a->pending_first + i) % FLT_PENDING_MAX];

      for (n = 0; n < p->count; n++)
        amt_subtract (&a->free, &p->need);
    }
  return sent_ns;
}

void
flt_mark_lost (struct flt_agent *a)
{
  a->conn = NULL;
  a->accepting = false;
  a->lost_ns = clk_boot ();
  a->runs_end_by_ns = lbd_runs_ended_by (a->last_report_ns);
}

void
flt_forget_expired (struct flt_fleet *f, uint64_t now_ns)
{
  struct flt_agent *a;
  struct flt_agent *next;

  DL_FOREACH_SAFE (f->agents, a, next)
  if (a->conn == NULL && now_ns > a->runs_end_by_ns + FORGET_NS)
    remove_agent (f, a);
}

void
flt_record_order (struct flt_agent *a, const struct amt_amount *need,
                  uint32_t count)
{
  unsigned at = (a->pending_first + a->pending_count) % FLT_PENDING_MAX;

  a->orders++;
  if (a->pending_count == FLT_PENDING_MAX)
    return;
  a->pending[at].order = a->orders;
  a->pending[at].sent_ns = clk_boot ();
  a->pending[at].need = *need;
  a->pending[at].count = count;
  a->pending_count++;
}

void
flt_record_run (struct flt_fleet *f, struct lv_slice queue, bool ok,
                uint32_t ran_ms, uint32_t estimate_ms)
{
  if (est_observe (&f->estimates, queue, ran_ms * CLK_MS, ok))
    log_line (LOGL_WARN, "estimates-shared", "queue=%.*s own=%d",
              (int)queue.len, queue.data, EST_KINDS_MAX);
  if (ok && estimate_ms > 0)
    f->ratio += ((double)ran_ms / estimate_ms - f->ratio) * FLEET_WEIGHT;
}

static double
slowness (const struct flt_agent *a)
{
  double s = a->fleet->ratio > 0 ? a->ratio / a->fleet->ratio : 1;

  if (s < SLOWNESS_MIN)
    return SLOWNESS_MIN;
  return s > SLOWNESS_MAX ? SLOWNESS_MAX : s;
}

struct cnd_candidate
flt_candidate (const struct flt_agent *a, struct lv_slice service,
               const char *domain, uint64_t now_ns)
{
  struct cnd_candidate c = { 0 };

  c.same_service
      = lv_slice_eq (lv_slice_of (a->service), service) && !flt_is_drained (a);
  c.usable = c.same_service && flt_accepts_orders (a) && a->synced
             && lbd_is_fresh (a->last_report_ns, now_ns)
             && lbd_may_order (a->confirmed_ms) && (!a->ejected || a->probe)
             && a->starts_left > 0;
  c.same_domain = strcmp (a->domain, domain) == 0;
  c.total = a->total;
  c.free = a->free;
  c.slowness = slowness (a);
  c.has_suspect = a->suspects > 0;
  c.at_risk = c.has_suspect || a->confining;
  return c;
}

bool
flt_fits_only_drained (const struct flt_fleet *f, struct lv_slice service,
                       const struct amt_amount *need)
{
  const struct flt_agent *a;
  bool fits = false;

  DL_FOREACH (f->agents, a)
  {
    if (!lv_slice_eq (lv_slice_of (a->service), service)
        || !amt_fits (&a->total, need))
      continue;
    if (!flt_is_drained (a))
      return false;
    fits = true;
  }
  return fits;
}

bool
flt_never_fits (const struct flt_fleet *f, struct lv_slice service,
                const struct amt_amount *need)
{
  const struct flt_agent *a;
  bool any = false;

  DL_FOREACH (f->agents, a)
  {
    if (!lv_slice_eq (lv_slice_of (a->service), service))
      continue;
    if (amt_fits (&a->peak, need))
      return false;
    any = true;
  }
  return any;
}
