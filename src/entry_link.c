#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "entry_parts.h"
#include "lagoonvale/drain.h"
#include "logline.h"
#include "net.h"
#include "wire.h"
#include "xtalloc.h"

#define RETRY_NS (100 * CLK_MS)
/* Minimum interval between early reports of the queue to one agent.  */
#define REPORT_INTERVAL_NS (2 * CLK_MS)

bool
ent_link_ready (const struct ent_link *link)
{
  return link->conn != NULL && link->established;
}

struct ent_link *
ent_link_find (const struct ent_entry *e, uint64_t incarnation)
{
  struct ros_member *m = ros_find (&e->roster, incarnation);

  return m != NULL ? m->priv : NULL;
}

static void
return_credits (struct ent_link *link, uint32_t n)
{
  u_int back = n < link->credits ? n : link->credits;

  if (back == 0)
    return;
  link->credits -= back;
  ctr_add (&link->entry->counters, ENT_RETURNS, 1);
  onc_call (link->conn, LVP_RETURN, (xdrproc_t)xdr_u_int, &back, NULL, NULL);
}

/* The first report of a worker's capacity adds it to the fleet.  */
static void
update_capacity (struct ent_link *link, const struct capa_size *total)
{
  if (capa_is_zero (total))
    return;
  if (capa_is_zero (&link->worker_capacity))
    link->entry->worker_fleet.targets++;
  link->worker_capacity = *total;
}

static void
update_worker (struct ent_link *link, const lvp_room *room)
{
  link->worker_total = wir_to_size (&room->total);
  link->worker_free = wir_to_size (&room->free);
  update_capacity (link, &link->worker_total);
}

static void
on_call (struct onc_conn *conn, uint32_t xid, uint32_t proc, XDR *args,
         void *priv)
{
  struct ent_link *link = priv;
  lvp_room room;
  int change = 0;

  (void)xid;
  if (proc == LVP_ROOM && xdr_lvp_room (args, &room))
    {
      update_worker (link, &room);
      ent_schedule_dispatch (link->entry);
      return;
    }
  if (proc != LVP_GRANT || !xdr_int (args, &change))
    {
      onc_close (conn, -EPROTO, "unknown procedure or invalid arguments");
      return;
    }
  if (change < 0)
    return_credits (link, (uint32_t)-change);
  else
    link->credits += (uint32_t)change;
  ent_schedule_dispatch (link->entry);
}

static void
clear_worker (struct ent_link *link)
{
  memset (&link->worker_total, 0, sizeof link->worker_total);
  memset (&link->worker_free, 0, sizeof link->worker_free);
}

static void
on_closed (struct onc_conn *conn, const struct err_error *err, void *priv)
{
  struct ent_link *link = priv;

  (void)conn;
  if (link->established)
    log_line (LOGL_WARN, "link-end",
              "agent=%s step=%s why=\"%s\" in_flight=%u", link->member->name,
              err->step, err->detail, link->sent);
  link->conn = NULL;
  link->established = false;
  link->credits = 0;
  clear_worker (link);
  link->retry_ns = clk_boot () + RETRY_NS;
  if (link->lost_ns == 0)
    link->lost_ns = clk_boot ();
}

static void
give_up_calls (struct ent_link *link, const char *why)
{
  struct ent_call *call;
  struct ent_call *next;

  DL_FOREACH_SAFE (link->unresolved, call, next)
  {
    link->entry->events->give_up (call, why);
  }
}

static void
resolve_lost_calls (struct ent_link *link)
{
  struct ent_call *call;
  struct ent_call *next;

  DL_FOREACH_SAFE (link->unresolved, call, next)
  {
    DL_DELETE (link->unresolved, call);
    call->lost_ns = 0;
    link->entry->events->resolve (call);
  }
}

static void
on_hello (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct ent_link *link = priv;
  lvp_hello_res hello;

  if (err != 0)
    return;
  if (!WIR_DECODE (lvp_hello_res, res, &hello))
    {
      onc_close (conn, -EBADMSG, "hello cannot be decoded");
      return;
    }
  if (hello.incarnation != link->member->incarnation)
    {
      /* The address belongs to a new process: the expected one has ended.  */
      link->replaced = true;
      give_up_calls (link, "target-replaced");
      onc_close (conn, -ESTALE, "another incarnation answered");
    }
  else
    {
      link->established = true;
      link->was_established = true;
      update_worker (link, &hello.room);
      link->lost_ns = 0;
      link->slots = hello.slots;
      link->leaving = hello.leaving;
      log_line (LOGL_INFO, "link",
                "agent=%s domain=%s slots=%u session=%" PRIu64,
                link->member->name, link->member->domain, link->slots,
                link->session);
      resolve_lost_calls (link);
      ent_schedule_dispatch (link->entry);
    }
  WIR_FREE (lvp_hello_res, &hello);
}

struct onc_conn *
ent_dial (struct ent_entry *e, uint32_t addr, uint32_t port, uint64_t session,
          const struct onc_handler *handler, onc_reply_fn on_answer,
          void *priv)
{
  char address[NET_TEXT_MAX];
  struct onc_conn *conn;
  lvp_hello hello;
  int fd;

  net_format (addr, port, address);
  fd = net_connect (address, e->set.source);
  if (fd < 0)
    return NULL;
  memset (&hello, 0, sizeof hello);
  hello.role = LVP_ENTRY;
  hello.name = e->set.name;
  hello.incarnation = e->incarnation;
  hello.session = session;
  hello.roster = e->roster.offset;
  conn = onc_attach (e->ev, e->ev, fd, address, handler);
  onc_call (conn, LVP_HELLO, (xdrproc_t)xdr_lvp_hello, &hello, on_answer,
            priv);
  return conn;
}

static void
connect_link (struct ent_link *link)
{
  struct onc_handler handler = { on_call, on_closed, link };

  link->retry_ns = clk_boot () + RETRY_NS;
  link->beat_ns = clk_boot ();
  link->conn = ent_dial (link->entry, link->member->addr, link->member->port,
                         ++link->session, &handler, on_hello, link);
}

void
ent_link_add (struct ent_entry *e, struct ros_member *m)
{
  struct ent_link *link;

  if (m->priv != NULL)
    {
      /* Another member had declared it gone; it has joined again.  */
      link = m->priv;
      link->leaving = false;
      return;
    }
  link = xtalloc_zero (e->ev, struct ent_link);
  link->entry = e;
  link->member = m;
  link->slots = m->slots;
  link->near = strcmp (m->domain, e->self.domain) == 0;
  link->lost_ns = clk_boot ();
  m->priv = link;
  DL_APPEND (e->links, link);
  e->link_count++;
  e->fleet.targets++;
  connect_link (link);
}

void
ent_link_set_leaving (struct ent_entry *e, struct ros_member *m)
{
  struct ent_link *link = m->priv;

  (void)e;
  if (link != NULL)
    link->leaving = true;
}

static void
remove_link (struct ent_link *link)
{
  struct ent_entry *e = link->entry;

  hlt_remove (&e->fleet, &link->health);
  if (!capa_is_zero (&link->worker_capacity))
    hlt_remove (&e->worker_fleet, &link->worker_health);
  link->member->priv = NULL;
  DL_DELETE (e->links, link);
  e->link_count--;
  if (link->conn != NULL)
    {
      struct onc_conn *conn = link->conn;
      link->conn = NULL;
      onc_close (conn, -ECONNABORTED, "no longer a member");
    }
  talloc_free (link);
}

static void
on_beat (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct ent_link *link = priv;
  lvp_beat_res beat;

  (void)conn;
  if (err != 0 || !xdr_lvp_beat_res (res, &beat))
    return;
  link->load = beat.running;
  if (beat.leaving)
    link->leaving = true;
}

/* Divides the tasks entitled to a slot among the agents: if each agent were
   sent the total, each would grant that many credits, at the expense of other
   entries.  */
static uint32_t
entitled_per_agent (const struct ent_entry *e, uint32_t entitled)
{
  return (entitled + e->link_count - 1) / e->link_count;
}

static void
send_beat (struct ent_link *link, uint32_t queued, uint64_t now_ns)
{
  struct ent_entry *e = link->entry;
  uint32_t entitled = (uint32_t)que_entitled_count (&e->queue, now_ns);
  lvp_beat beat;

  beat.queued = queued;
  beat.entitled = entitled_per_agent (e, entitled);
  beat.urgency = que_most_urgent (&e->queue);
  beat.work = (u_int)e->worker_queue.count;
  beat.roster = e->roster.offset;
  beat.rules = e->active_rules_version;
  link->beat_ns = now_ns;
  link->reported_queued = queued;
  link->reported_entitled = entitled;
  link->reported_worker_queued = beat.work;
  onc_call (link->conn, LVP_BEAT, (xdrproc_t)xdr_lvp_beat, &beat, on_beat,
            link);
}

/* Any received bytes count as a heartbeat: a link with traffic in both
   directions needs none, unless the queue has changed since the last one.  */
static bool
beat_due (const struct ent_link *link, uint64_t now_ns)
{
  const struct ent_entry *e = link->entry;
  uint64_t period_ns = e->set.heartbeat_ms * CLK_MS;

  if (!ent_link_ready (link) || clk_since (now_ns, link->beat_ns) < period_ns)
    return false;
  return link->reported_queued != e->queue.count
         || clk_since (now_ns, onc_last_received (link->conn)) >= period_ns
         || clk_since (now_ns, onc_last_sent (link->conn)) >= period_ns;
}

static void
end_member (struct ent_entry *e, const struct ros_member *m)
{
  char *record = ros_end_record (e->ev, m->incarnation, "gone");

  lgt_append (e->members_tail, record, NULL, NULL);
  talloc_free (record);
}

/* Ends an unreachable agent's membership in the log, so that the homes of keys
   are reassigned and its name can be used again.  */
static void
declare_gone (struct ent_link *link, uint64_t now_ns)
{
  struct ent_entry *e = link->entry;

  if (link->member->ended != 0 || link->lost_ns == 0
      || clk_since (now_ns, link->lost_ns) < e->set.gone_ms * CLK_MS)
    return;
  link->lost_ns = now_ns;
  log_line (LOGL_WARN, "declare-gone", "agent=%s unreachable_ms=%" PRIu64,
            link->member->name, e->set.gone_ms);
  end_member (e, link->member);
}

static void
give_up_expired_calls (struct ent_link *link, uint64_t now_ns)
{
  struct ent_call *call;
  struct ent_call *next;

  DL_FOREACH_SAFE (link->unresolved, call, next)
  {
    if (clk_since (now_ns, call->lost_ns)
        >= link->entry->set.resolve_ms * CLK_MS)
      link->entry->events->give_up (call, "resolve-timeout");
  }
}

static void
tick_link (struct ent_link *link, uint64_t now_ns)
{
  struct ent_entry *e = link->entry;

  if (link->conn != NULL
      && clk_since (now_ns, onc_last_received (link->conn))
             > e->set.silent_ms * CLK_MS)
    {
      ctr_add (&e->counters, ENT_LINKS_DROPPED, 1);
      onc_close (link->conn, -ETIMEDOUT, "silent for too long");
    }
  if (link->conn == NULL && !link->replaced && now_ns >= link->retry_ns)
    connect_link (link);
  if (beat_due (link, now_ns))
    send_beat (link, (uint32_t)e->queue.count, now_ns);
  give_up_expired_calls (link, now_ns);
  declare_gone (link, now_ns);
  if (link->member->ended != 0 && link->sent == 0
      && (link->replaced || link->conn == NULL))
    remove_link (link);
}

void
ent_link_tick (struct ent_entry *e, uint64_t now_ns)
{
  struct ent_link *link;
  struct ent_link *next;

  DL_FOREACH_SAFE (e->links, link, next) { tick_link (link, now_ns); }
}

void
ent_link_report_demand (struct ent_entry *e, uint32_t queued, uint64_t now_ns)
{
  uint32_t entitled
      = queued > 0 ? (uint32_t)que_entitled_count (&e->queue, now_ns) : 0;
  size_t work = e->worker_queue.count;
  struct ent_link *link;

  DL_FOREACH (e->links, link)
  {
    bool grown = e->policy->credited
                 && (queued > link->reported_queued * 2
                     || (queued > 0) != (link->reported_queued > 0)
                     || entitled > link->reported_entitled);
    bool work_changed = !capa_is_zero (&link->worker_capacity)
                        && (work > 0) != (link->reported_worker_queued > 0);
    if (!ent_link_ready (link) || link->leaving || !(grown || work_changed)
        || clk_since (now_ns, link->reported_ns) < REPORT_INTERVAL_NS)
      continue;
    link->reported_ns = now_ns;
    ctr_add (&e->counters, ENT_DEMANDS, 1);
    send_beat (link, queued, now_ns);
  }
  /* Follow the count down, so that the next entitled task counts as growth
     and is reported at once.  */
  DL_FOREACH (e->links, link)
  {
    if (link->reported_entitled > entitled)
      link->reported_entitled = entitled;
  }
}

static bool
in_drained_domain (const struct ent_entry *e, const struct ent_link *link)
{
  return rul_find (e->view->rules, RUL_DRAIN, RUL_DOMAIN,
                   lv_slice_of (link->member->domain))
         != NULL;
}

bool
ent_link_usable (const struct ent_link *link, const struct hlt_target *health,
                 const struct ent_task *task, uint64_t now_ns)
{
  struct drn_facts facts = { .agent_leaving = link->leaving };

  if (!ent_link_ready (link)
      || !ros_active_at (link->member, task->record->sid.roster)
      || !hlt_usable (health, now_ns))
    return false;
  facts.domain_drained = in_drained_domain (link->entry, link);
  return drn_cause_of (&facts) == DRN_NONE;
}
