#include "runner_parts.h"

#include <talloc.h>
#include <utlist.h>

#include "logline.h"
#include "wire.h"

/* Time between two reports that ask for an entry's whole list, ns: less than
   GONE_NS, so that what is listed is not forgotten.  */
#define RELIST_NS (5 * CLK_S)
/* Outcomes that an entry has not taken for this long are dropped, ns.  */
#define END_KEEP_NS (3 * CLK_S)

lvp_report
rnr_make_report (const struct rnr_runner *r, const struct rnr_session *s,
                 uint64_t now_ns)
{
  struct amt_amount left = rtk_free_amount (&r->book);
  lvp_report report
      = { .stamp_ms = now_ns / CLK_MS,
          .synced = r->minion.known && r->book.unknown_runs == 0,
          .accepting = rnr_accepting (r, now_ns) && s->retiring_ns == 0,
          .orders = s->orders,
          .known = clk_since (now_ns, s->listed_ns) < RELIST_NS ? s->known : 0,
          .total = wir_amount (&r->book.total),
          .free = wir_amount (&left) };

  return report;
}

/* What S has sent and not confirmed is to be sent again.  */
void
rnr_unsend_ends (struct rnr_session *s)
{
  struct rnr_end *end;

  s->ends_under_way = 0;
  DL_FOREACH (s->runner->ends, end)
  if (end->owner == s->entry)
    end->sent = false;
}

static void
forget_ends (struct rnr_session *s)
{
  struct rnr_end *end;
  struct rnr_end *next;

  DL_FOREACH_SAFE (s->runner->ends, end, next)
  if (end->sent && end->owner == s->entry)
    {
      DL_DELETE (s->runner->ends, end);
      talloc_free (end);
    }
}

static void
report_answered (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct rnr_confirm *confirm = priv;
  struct rnr_session *s = confirm->session;
  lvp_report_res out;

  (void)conn;
  if (err == 0 && WIR_DECODE (lvp_report_res, res, &out))
    {
      rnr_note_time (s->runner, RNR_TIME_REPORT,
                     confirm->with_ends ? "ends" : "report",
                     clk_since (clk_boot (), confirm->sent_ns));
      if (confirm->sent_ns > s->confirmed_ns)
        s->confirmed_ns = confirm->sent_ns;
      rnr_take_answer (s, &out);
      WIR_FREE (lvp_report_res, &out);
      if (confirm->with_ends && --s->ends_under_way == 0)
        forget_ends (s);
    }
  talloc_free (confirm);
}

struct rnr_confirm *
rnr_begin_report (struct rnr_session *s, uint64_t now_ns, bool with_ends)
{
  struct rnr_confirm *confirm
      = talloc_zero (s->runner->mem_ctx, struct rnr_confirm);

  confirm->session = s;
  confirm->sent_ns = now_ns;
  confirm->with_ends = with_ends;
  s->reported_ns = now_ns;
  s->told = true;
  return confirm;
}

void
rnr_send_report (struct rnr_session *s)
{
  uint64_t now = clk_boot ();
  lvp_report report = rnr_make_report (s->runner, s, now);
  struct rnr_confirm *confirm = rnr_begin_report (s, now, false);

  if (onc_call (s->conn, LVP_REPORT, (xdrproc_t)xdr_lvp_report, &report,
                report_answered, confirm)
      != 0)
    talloc_free (confirm);
}

/* Send S the ends that it has not been sent.  */
void
rnr_send_ends (struct rnr_session *s)
{
  struct rnr_runner *r = s->runner;
  uint64_t now = clk_boot ();
  struct rnr_confirm *confirm;
  struct rnr_end *end;
  lvp_ends ends = { 0 };
  u_int n = 0;

  DL_FOREACH (r->ends, end)
  n += !end->sent && end->owner == s->entry;
  if (n == 0)
    return;
  if (n > LVP_RUNS_MAX)
    n = LVP_RUNS_MAX;
  ends.ends.lvp_end_list_val = talloc_array (NULL, lvp_end, n);
  DL_FOREACH (r->ends, end)
  if (!end->sent && end->owner == s->entry && ends.ends.lvp_end_list_len < n)
    {
      ends.ends.lvp_end_list_val[ends.ends.lvp_end_list_len++] = end->end;
      end->sent = true;
    }
  ends.report = rnr_make_report (r, s, now);
  confirm = rnr_begin_report (s, now, true);
  s->ends_under_way++;
  if (onc_call (s->conn, LVP_ENDS, (xdrproc_t)xdr_lvp_ends, &ends,
                report_answered, confirm)
      != 0)
    {
      talloc_free (confirm);
      rnr_unsend_ends (s);
    }
  talloc_free (ends.ends.lvp_end_list_val);
}

/* Tell one of the entries that wait of the room there is, each in its turn:
   told all at once, they would all order for the same room.  */
static void
tell_next_hungry (struct rnr_runner *r)
{
  struct amt_amount left = rtk_free_amount (&r->book);
  struct rnr_session *s;
  struct rnr_session *next;

  if (left.mcores == 0)
    return;
  DL_FOREACH_SAFE (r->sessions, s, next)
  {
    if (!s->joined || !s->hungry || s->told)
      continue;
    rnr_send_report (s);
    DL_DELETE (r->sessions, s);
    DL_APPEND (r->sessions, s);
    return;
  }
}

/* Ends to whom they concern, room to those who wait for it.  */
void
rnr_tell_entries (struct rnr_runner *r, bool all)
{
  struct rnr_session *s;

  DL_FOREACH (r->sessions, s)
  {
    s->told = false;
    if (!s->joined)
      continue;
    rnr_send_ends (s);
    if (all && !s->told)
      rnr_send_report (s);
  }
  tell_next_hungry (r);
}

void
rnr_drop_old_ends (struct rnr_runner *r, uint64_t now_ns)
{
  struct rnr_end *end;
  struct rnr_end *next;

  DL_FOREACH_SAFE (r->ends, end, next)
  if (clk_since (now_ns, end->since_ns) > END_KEEP_NS
      && rnr_session_of (r, end->owner) == NULL)
    {
      DL_DELETE (r->ends, end);
      talloc_free (end);
    }
}
