#include "runner_parts.h"

#include <stdlib.h>
#include <talloc.h>
#include <utlist.h>

#include "lagoonvale/bulkhead.h"
#include "lagoonvale/crashlog.h"
#include "xtalloc.h"

/* A minion answers within this time, ns: a run that was ordered later than
   this after its last answer was ordered when it was gone already.  */
#define ANSWER_NS (5 * CLK_MS)

static uint32_t
age_at_loss (const struct rnr_minion *m, const struct rtk_run *run)
{
  if (run->ordered_ns > m->alive_ns + ANSWER_NS)
    return CRL_AGE_NEVER_STARTED;
  return (uint32_t)(clk_since (m->alive_ns, run->ordered_ns) / CLK_MS);
}

static int
compare_ages (const void *a, const void *b)
{
  const lvp_lost_run *x = a;
  const lvp_lost_run *y = b;

  return x->age_ms < y->age_ms ? -1 : x->age_ms > y->age_ms;
}

static void
send_loss (struct rnr_session *s, struct rnr_loss *loss)
{
  loss->notice.ago_ms = (u_int)(clk_since (clk_boot (), loss->at_ns) / CLK_MS);
  onc_call (s->conn, LVP_LOSS, (xdrproc_t)xdr_lvp_loss, &loss->notice, NULL,
            NULL);
}

/* Keep the loss of the present runs, in place of the oldest.  */
static struct rnr_loss *
keep_loss (struct rnr_runner *r, lvp_fate fate)
{
  struct rnr_loss *loss = xtalloc_zero (r->mem_ctx, struct rnr_loss);
  lvp_lost_run *runs
      = xtalloc_array (loss, lvp_lost_run, HASH_COUNT (r->tracker.runs));
  unsigned slot = r->loss_count % RNR_LOSSES_KEPT;
  const struct rtk_run *run;
  u_int n = 0;

  for (run = r->tracker.runs; run != NULL; run = run->hh.next)
    {
      runs[n].task = xtalloc_strdup (loss, run->name);
      runs[n].queue
          = xtalloc_strdup (loss, run->queue != NULL ? run->queue : "");
      runs[n].presence_permille
          = (u_int)(1000
                    * orr_presence (&r->order_rates,
                                    lv_slice_of (runs[n].queue),
                                    BLK_YOUNG_MS * CLK_MS, clk_now ()));
      runs[n].executed = run->executed;
      runs[n++].age_ms = age_at_loss (&r->minion, run);
    }
  qsort (runs, n, sizeof runs[0], compare_ages);
  loss->at_ns = clk_boot ();
  loss->notice.fate = fate;
  loss->notice.runs.runs_val = runs;
  loss->notice.runs.runs_len = n < LVP_LOST_MAX ? n : LVP_LOST_MAX;
  loss->notice.number = ++r->loss_count;
  talloc_free (r->losses[slot]);
  r->losses[slot] = loss;
  return loss;
}

/* Send LOSS to all entries.  */
static void
publish (struct rnr_runner *r, struct rnr_loss *loss)
{
  struct rnr_session *s;

  DL_FOREACH (r->sessions, s)
  if (s->joined)
    send_loss (s, loss);
}

void
rnr_report_loss (struct rnr_runner *r, lvp_fate fate)
{
  if (r->tracker.runs != NULL)
    publish (r, keep_loss (r, fate));
}

void
rnr_report_silence_end (struct rnr_runner *r, lvp_fate fate)
{
  unsigned i;

  for (i = 0; i < RNR_LOSSES_KEPT; i++)
    {
      struct rnr_loss *loss = r->losses[i];

      if (loss == NULL || loss->notice.fate != LVP_FATE_SILENT)
        continue;
      loss->notice.fate = fate;
      publish (r, loss);
    }
}

void
rnr_send_losses (struct rnr_session *s)
{
  struct rnr_runner *r = s->runner;
  uint64_t now = clk_boot ();
  unsigned i;

  for (i = 0; i < RNR_LOSSES_KEPT; i++)
    {
      struct rnr_loss *loss = r->losses[(r->loss_count + i) % RNR_LOSSES_KEPT];

      if (loss != NULL && clk_since (now, loss->at_ns) < CRL_RETENTION_NS)
        send_loss (s, loss);
    }
}
