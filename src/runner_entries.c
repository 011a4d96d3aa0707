#include "runner_parts.h"

#include <errno.h>
#include <talloc.h>
#include <utlist.h>

#include "lagoonvale/subset.h"
#include "logline.h"
#include "wire.h"

/* Time between two attempts to reach an entry, ns.  */
#define DIAL_NS (50 * CLK_MS)
/* A connection that is not open after this long is tried anew, ns: what was
   sent to an instance without power is lost.  */
#define CONNECT_NS (100 * CLK_MS)
/* A join without an answer for this long is begun anew, ns.  */
#define JOIN_NS (500 * CLK_MS)
/* An address that has not answered for this long is forgotten, ns.  */
#define GONE_NS (20 * CLK_S)
/* Time between two reports that ask for an entry's whole list, ns: less than
   GONE_NS, so that what is listed is not forgotten.  */
#define RELIST_NS (5 * CLK_S)
/* Time between two choices of the entries to be served, ns.  */
#define CHOOSE_NS (500 * CLK_MS)
/* Time for which an entry that is not served any more may still send orders
   that were under way, ns.  */
#define RETIRE_NS CLK_S
/* Outcomes that an entry has not taken for this long are dropped, ns.  */
#define END_KEEP_NS (3 * CLK_S)

/* A report under way: when it was sent, and with ends or not.  */
struct confirm
{
  struct rnr_session *session;
  uint64_t sent_ns;
  bool with_ends;
};

static lvp_report
make_report (const struct rnr_runner *r, const struct rnr_session *s,
             uint64_t now_ns)
{
  struct amt_amount left = rnb_free (&r->book);
  lvp_report report
      = { .stamp_ms = now_ns / CLK_MS,
          .synced = r->minion.known && r->book.unknown == 0,
          .accepting = rnr_accepting (r, now_ns) && s->retiring_ns == 0,
          .orders = s->orders,
          .known = s->known,
          .total = wir_amount (&r->book.total),
          .free = wir_amount (&left) };

  return report;
}

static struct rnr_session *
session_of (const struct rnr_runner *r, uint64_t entry)
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

static void
learn_entries (struct rnr_runner *r, const lvp_endpoints *entries)
{
  uint64_t now = clk_boot ();
  u_int i;

  for (i = 0; i < entries->lvp_endpoints_len; i++)
    add_session (r, &entries->lvp_endpoints_val[i])->named_ns = now;
}

/* What S has sent and not confirmed is to be sent again.  */
static void
unsend_ends (struct rnr_session *s)
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
  struct confirm *confirm = priv;
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
      s->hungry = out.hungry;
      s->known = out.digest;
      learn_entries (s->runner, &out.entries);
      WIR_FREE (lvp_report_res, &out);
      if (confirm->with_ends && --s->ends_under_way == 0)
        forget_ends (s);
    }
  talloc_free (confirm);
}

static struct confirm *
begin_report (struct rnr_session *s, uint64_t now_ns, bool with_ends)
{
  struct confirm *confirm = talloc_zero (s->runner->mem_ctx, struct confirm);

  confirm->session = s;
  confirm->sent_ns = now_ns;
  confirm->with_ends = with_ends;
  if (clk_since (now_ns, s->listed_ns) >= RELIST_NS)
    {
      s->listed_ns = now_ns;
      s->known = 0;
    }
  s->reported_ns = now_ns;
  s->told = true;
  return confirm;
}

static void
send_report (struct rnr_session *s)
{
  uint64_t now = clk_boot ();
  lvp_report report = make_report (s->runner, s, now);
  struct confirm *confirm = begin_report (s, now, false);

  if (onc_call (s->conn, LVP_REPORT, (xdrproc_t)xdr_lvp_report, &report,
                report_answered, confirm)
      != 0)
    talloc_free (confirm);
}

/* Send S the ends that it has not been sent.  */
static void
send_ends (struct rnr_session *s)
{
  struct rnr_runner *r = s->runner;
  uint64_t now = clk_boot ();
  struct confirm *confirm;
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
  ends.report = make_report (r, s, now);
  confirm = begin_report (s, now, true);
  s->ends_under_way++;
  if (onc_call (s->conn, LVP_ENDS, (xdrproc_t)xdr_lvp_ends, &ends,
                report_answered, confirm)
      != 0)
    {
      talloc_free (confirm);
      unsend_ends (s);
    }
  talloc_free (ends.ends.lvp_end_list_val);
}

/* Tell one of the entries that wait of the room there is, each in its turn:
   told all at once, they would all order for the same room.  */
static void
tell_next_hungry (struct rnr_runner *r)
{
  struct amt_amount left = rnb_free (&r->book);
  struct rnr_session *s;

  if (left.mcores == 0)
    return;
  DL_FOREACH (r->sessions, s)
  if (s->joined && s->hungry && !s->told)
    break;
  if (s == NULL)
    return;
  send_report (s);
  DL_DELETE (r->sessions, s);
  DL_APPEND (r->sessions, s);
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
    send_ends (s);
    if (all && !s->told)
      send_report (s);
  }
  tell_next_hungry (r);
}

static void
take_order (struct rnr_session *s, const lvp_order *order)
{
  struct rnr_runner *r = s->runner;
  uint64_t now = clk_boot ();
  bool fresh = chn_fresh (order->stamp_ms * CLK_MS, now)
               && chn_fresh (s->confirmed_ns, now);
  bool open = rnr_accepting (r, now);
  u_int i;

  s->orders++;
  ctr_add (&r->counters, RNR_ORDERED, order->runs.runs_len);
  if (!fresh || !open)
    log_line (LOGL_INFO, "order-refused",
              "job=%s tasks=%u why=%s stamp_age_ms=%llu confirmed_age_ms=%llu",
              order->job, order->runs.runs_len, fresh ? "leaving" : "stale",
              (unsigned long long)(now / CLK_MS - order->stamp_ms),
              (unsigned long long)(clk_since (now, s->confirmed_ns) / CLK_MS));
  for (i = 0; i < order->runs.runs_len; i++)
    if (fresh && open)
      rnr_start_run (r, s->entry, order, &order->runs.runs_val[i], now);
    else
      rnr_keep_end (r, s->entry, order->runs.runs_val[i].run,
                    fresh ? LVP_HOW_LEAVING : LVP_HOW_STALE, 0);
  if (!fresh)
    ctr_add (&r->counters, RNR_STALE, order->runs.runs_len);
  send_ends (s);
}

static void
on_order (struct rnr_session *s, XDR *args)
{
  lvp_order order;

  if (!s->joined || !WIR_DECODE (lvp_order, args, &order))
    {
      onc_close (s->conn, -EPROTO, "order without a join");
      return;
    }
  take_order (s, &order);
  WIR_FREE (lvp_order, &order);
}

static void
on_stop (struct rnr_session *s, XDR *args)
{
  struct rnr_runner *r = s->runner;
  lvp_stop stop;
  u_int i;

  if (!WIR_DECODE (lvp_stop, args, &stop))
    {
      onc_close (s->conn, -EBADMSG, "stop cannot be decoded");
      return;
    }
  for (i = 0; i < stop.runs.runs_len; i++)
    {
      struct rnb_run *run
          = rnb_find_number (&r->book, s->entry, stop.runs.runs_val[i]);

      if (run != NULL)
        rnb_stop (&r->book, run, clk_boot ());
    }
  WIR_FREE (lvp_stop, &stop);
}

static void
on_call (struct onc_conn *conn, uint32_t xid, uint32_t proc, XDR *args,
         void *priv)
{
  struct rnr_session *s = priv;

  (void)xid;
  if (proc == LVP_ORDER)
    on_order (s, args);
  else if (proc == LVP_STOP)
    on_stop (s, args);
  else if (proc == LVP_HUNGRY)
    s->hungry = true;
  else
    onc_close (conn, -EPROTO, "unknown procedure");
}

static void
on_closed (struct onc_conn *conn, const struct err_error *err, void *priv)
{
  struct rnr_session *s = priv;

  (void)conn;
  if (s->joined)
    {
      ctr_add (&s->runner->counters, RNR_SESSIONS_LOST, 1);
      s->lost_ns = clk_boot ();
      log_line (LOGL_INFO, "entry-lost", "entry=%s code=%d why=\"%s\"",
                s->text, err->code, err->detail);
    }
  s->conn = NULL;
  s->joined = false;
  unsend_ends (s);
}

static void
note_joined (struct rnr_session *s)
{
  struct rnr_runner *r = s->runner;
  uint64_t now = clk_boot ();

  if (s->lost_ns != 0)
    rnr_note_time (r, RNR_TIME_RECOVERY, "entry-lost-to-joined",
                   clk_since (now, s->lost_ns));
  else if (r->started_ns != 0)
    rnr_note_time (r, RNR_TIME_RECOVERY, "start-to-first-entry",
                   clk_since (now, r->started_ns));
  s->lost_ns = 0;
  r->started_ns = 0;
}

static void
joined (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct confirm *confirm = priv;
  struct rnr_session *s = confirm->session;
  uint64_t sent_ns = confirm->sent_ns;
  lvp_join_res out;

  talloc_free (confirm);
  if (err != 0)
    return;
  if (!WIR_DECODE (lvp_join_res, res, &out))
    {
      onc_close (conn, -EBADMSG, "answer to a join cannot be decoded");
      return;
    }
  if (s->entry != 0 && s->entry != out.incarnation)
    rnb_stop_owner (&s->runner->book, s->entry, clk_boot ());
  note_joined (s);
  s->entry = out.incarnation;
  s->joined = true;
  s->confirmed_ns = sent_ns;
  s->hungry = out.report.hungry;
  log_line (LOGL_INFO, "entry-joined", "entry=%s incarnation=%llx", s->text,
            (unsigned long long)s->entry);
  learn_entries (s->runner, &out.report.entries);
  WIR_FREE (lvp_join_res, &out);
  send_ends (s);
}

/* Numbers of the runs and untaken ends that belong to the entry of S.  */
static u_quad_t *
list_runs (const struct rnr_session *s, u_int *count)
{
  const struct rnr_runner *r = s->runner;
  u_quad_t *runs = talloc_array (NULL, u_quad_t, LVP_RUNS_MAX);
  const struct rnb_run *run;
  const struct rnr_end *end;
  u_int n = 0;

  for (run = r->book.runs; run != NULL && n < LVP_RUNS_MAX; run = run->hh.next)
    if (run->owner == s->entry && run->owner != 0)
      runs[n++] = run->number;
  DL_FOREACH (r->ends, end)
  if (end->owner == s->entry && n < LVP_RUNS_MAX)
    runs[n++] = end->end.run;
  *count = n;
  return runs;
}

static void
send_join (struct rnr_session *s, uint64_t now_ns)
{
  struct rnr_runner *r = s->runner;
  struct confirm *confirm = begin_report (s, now_ns, false);
  lvp_join join = { .name = (char *)r->set.name,
                    .incarnation = r->incarnation,
                    .service = (char *)r->set.service,
                    .domain = (char *)r->set.domain,
                    .entry = s->entry,
                    .report = make_report (r, s, now_ns) };

  join.runs.runs_val = list_runs (s, &join.runs.runs_len);
  if (onc_call (s->conn, LVP_JOIN, (xdrproc_t)xdr_lvp_join, &join, joined,
                confirm)
      != 0)
    talloc_free (confirm);
  talloc_free (join.runs.runs_val);
}

static void
dial (struct rnr_session *s, uint64_t now_ns)
{
  struct rnr_runner *r = s->runner;
  struct onc_handler handler = { on_call, on_closed, s };
  int fd = net_connect (s->text, NULL);

  s->dialed_ns = now_ns;
  if (fd < 0)
    {
      log_line (LOGL_WARN, "entry-dial", "entry=%s code=%d", s->text, fd);
      return;
    }
  s->orders = 0;
  s->conn = onc_attach (r->mem_ctx, r->ev, fd, s->text, &handler);
  send_join (s, now_ns);
}

/* Whether a run or an untaken outcome here belongs to the entry of S.  */
static bool
owes (const struct rnr_session *s)
{
  const struct rnr_runner *r = s->runner;
  const struct rnb_run *run;
  const struct rnr_end *end;

  for (run = r->book.runs; run != NULL; run = run->hh.next)
    if (run->owner == s->entry)
      return true;
  DL_FOREACH (r->ends, end)
  if (end->owner == s->entry)
    return true;
  return false;
}

/* An entry that is not to be served any more is told, and left once nothing of
   it is here.  */
static void
retire (struct rnr_session *s, uint64_t now_ns)
{
  if (!s->joined || s->wanted)
    return;
  if (s->retiring_ns == 0)
    {
      s->retiring_ns = now_ns;
      send_report (s);
    }
  else if (clk_since (now_ns, s->retiring_ns) >= RETIRE_NS && !owes (s))
    onc_close (s->conn, -ECANCELED, "served by other agents");
}

static void
choose_entries (struct rnr_runner *r, uint64_t now_ns)
{
  struct sub_member *members;
  struct rnr_session *s;
  unsigned count = 0;
  unsigned i;

  if (clk_since (now_ns, r->chosen_ns) < CHOOSE_NS)
    return;
  r->chosen_ns = now_ns;
  DL_COUNT (r->sessions, s, count);
  members = talloc_zero_array (NULL, struct sub_member, count);
  i = 0;
  DL_FOREACH (r->sessions, s)
  {
    members[i].rank
        = sub_rank (lv_slice_of (r->set.name), lv_slice_of (s->text));
    members[i].reached = s->joined;
    members[i++].owner = s;
  }
  sub_choose (members, count, (unsigned)r->set.entries_max);
  for (i = 0; i < count; i++)
    {
      s = members[i].owner;
      s->wanted = members[i].wanted;
      if (s->wanted)
        s->retiring_ns = 0;
    }
  talloc_free (members);
}

static void
tick_session (struct rnr_session *s, uint64_t now_ns)
{
  if (s->conn == NULL)
    {
      if (s->wanted && clk_since (now_ns, s->dialed_ns) >= DIAL_NS)
        dial (s, now_ns);
    }
  else if (!s->joined)
    {
      bool open = onc_last_sent (s->conn) != 0;

      if (clk_since (now_ns, s->dialed_ns) >= (open ? JOIN_NS : CONNECT_NS))
        onc_close (s->conn, -ETIMEDOUT, "no answer to a join");
    }
  else if (!chn_fresh (s->confirmed_ns, now_ns))
    onc_close (s->conn, -ETIMEDOUT, "no answer to reports");
  else if (clk_since (now_ns, s->reported_ns) >= CHN_REPORT_NS)
    send_report (s);
  /* Nobody confirms what runs for this entry: it must end before the entry
     takes it to have ended.  */
  if (s->entry != 0 && !chn_fresh (s->confirmed_ns, now_ns))
    rnb_stop_owner (&s->runner->book, s->entry, now_ns);
}

void
rnr_tick_sessions (struct rnr_runner *r, uint64_t now_ns)
{
  struct rnr_session *s;
  struct rnr_session *next;

  choose_entries (r, now_ns);
  DL_FOREACH_SAFE (r->sessions, s, next)
  {
    retire (s, now_ns);
    tick_session (s, now_ns);
    if (s->conn != NULL || s->is_seed
        || clk_since (now_ns, s->named_ns) < GONE_NS)
      continue;
    log_line (LOGL_INFO, "entry-gone", "entry=%s", s->text);
    DL_DELETE (r->sessions, s);
    talloc_free (s);
  }
}

void
rnr_drop_old_ends (struct rnr_runner *r, uint64_t now_ns)
{
  struct rnr_end *end;
  struct rnr_end *next;

  DL_FOREACH_SAFE (r->ends, end, next)
  if (clk_since (now_ns, end->since_ns) > END_KEEP_NS
      && session_of (r, end->owner) == NULL)
    {
      DL_DELETE (r->ends, end);
      talloc_free (end);
    }
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
