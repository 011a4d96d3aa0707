#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "entry_parts.h"
#include "logline.h"
#include "net.h"
#include "wire.h"
#include "xtalloc.h"

#define RETRY_NS (200 * CLK_MS)
/* A forwarded submission is adopted if its owner has been silent for longer
   than UNREACHABLE_NS.  An owner that is cut off from a peer treats its ids as
   in doubt after the shorter DOUBT_NS, before the peer may adopt them.  */
#define UNREACHABLE_NS (1500 * CLK_MS)
#define DOUBT_NS (1000 * CLK_MS)

/* A request to be answered by another entry.  */
struct forward
{
  struct ent_peer *peer;
  struct req_request *request;
  struct sid_id sid;
  struct forward *prev;
  struct forward *next;
};

/* An outbound connection to another entry.  */
struct ent_peer
{
  struct ent_entry *entry;
  uint64_t incarnation; /* expected; 0 for a seed before its hello */
  uint32_t addr;
  uint32_t port;
  struct onc_conn *conn;
  bool established;
  bool replaced; /* another incarnation answered at its address */
  uint64_t session;
  uint64_t retry_ns;
  uint64_t beat_ns;
  uint64_t heard_ns;       /* last answer to a hello or heartbeat */
  uint64_t used_ns;        /* last forward */
  struct forward *waiting; /* to be sent once established */
  struct forward *sent;
  struct ent_peer *prev;
  struct ent_peer *next;
};

/* Handles a request whose owner has failed: adopts a submission, refuses a
   poll or cancel.  */
static void
adopt_forward (struct ent_peer *peer, struct forward *f)
{
  struct ent_entry *e = peer->entry;
  struct req_request *r = f->request;
  struct sid_id sid = f->sid;
  uint64_t ballot = r->rival_ballot;
  struct req_refusal why;

  talloc_free (f);
  if (r->op == REQ_SUBMIT && ballot > 0)
    e->events->adopt_preempt (e, r, &sid, ballot);
  else if (r->op == REQ_SUBMIT)
    e->events->adopt (e, r, &sid);
  else
    {
      req_refuse (&why, 503, "owner_gone", "forward", false,
                  "the owner cannot be reached; send the submission again "
                  "with the same id");
      ent_refuse (e, r, &why);
    }
}

static void
adopt_all_forwards (struct ent_peer *peer)
{
  struct forward *f;
  struct forward *next;

  DL_FOREACH_SAFE (peer->sent, f, next)
  {
    DL_DELETE (peer->sent, f);
    adopt_forward (peer, f);
  }
  DL_FOREACH_SAFE (peer->waiting, f, next)
  {
    DL_DELETE (peer->waiting, f);
    adopt_forward (peer, f);
  }
}

static void
on_forwarded (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct forward *f = priv;
  struct ent_peer *peer = f->peer;
  lvp_forward_res answer;

  (void)conn;
  DL_DELETE (peer->sent, f);
  if (err != 0 || !WIR_DECODE (lvp_forward_res, res, &answer))
    {
      /* Requests are idempotent by id: send again once connected.  */
      DL_APPEND (peer->waiting, f);
      return;
    }
  req_reply (f->request,
             req_answer_new (answer.http_status, wir_slice (&answer.body)));
  WIR_FREE (lvp_forward_res, &answer);
  talloc_free (f);
}

static void
send_forward (struct ent_peer *peer, struct forward *f)
{
  static const lvp_op ops[] = {
    [REQ_SUBMIT] = LVP_SUBMIT, [REQ_POLL] = LVP_POLL, [REQ_CANCEL] = LVP_CANCEL
  };
  struct req_request *r = f->request;
  struct lv_slice body = { r->raw, r->raw_len };
  lvp_forward msg;

  memset (&msg, 0, sizeof msg);
  msg.op = ops[r->op];
  msg.sid = wir_sid (&f->sid);
  msg.wait_ms = r->wait_ms < UINT32_MAX ? (u_int)r->wait_ms : UINT32_MAX;
  msg.hops = r->hops;
  msg.body = wir_bytes (body);
  DL_APPEND (peer->sent, f);
  if (onc_call (peer->conn, LVP_FORWARD, (xdrproc_t)xdr_lvp_forward, &msg,
                on_forwarded, f)
      != 0)
    {
      DL_DELETE (peer->sent, f);
      DL_APPEND (peer->waiting, f);
    }
}

static void
send_waiting (struct ent_peer *peer)
{
  struct forward *f;
  struct forward *next;

  DL_FOREACH_SAFE (peer->waiting, f, next)
  {
    DL_DELETE (peer->waiting, f);
    send_forward (peer, f);
  }
}

static void
on_call (struct onc_conn *conn, uint32_t xid, uint32_t proc, XDR *args,
         void *priv)
{
  (void)xid;
  (void)proc;
  (void)args;
  (void)priv;
  onc_close (conn, -EPROTO, "unknown procedure");
}

static void
on_closed (struct onc_conn *conn, const struct err_error *err, void *priv)
{
  struct ent_peer *peer = priv;

  (void)conn;
  (void)err;
  peer->conn = NULL;
  peer->established = false;
  peer->retry_ns = clk_boot () + RETRY_NS;
}

static void
on_hello (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct ent_peer *peer = priv;
  lvp_hello_res hello;

  if (err != 0 || !WIR_DECODE (lvp_hello_res, res, &hello))
    return;
  peer->heard_ns = clk_boot ();
  if (peer->incarnation == 0)
    peer->incarnation = hello.incarnation;
  if (hello.incarnation == peer->incarnation)
    {
      peer->established = true;
      send_waiting (peer);
    }
  else
    {
      peer->replaced = true;
      onc_close (conn, -ESTALE, "another incarnation answered");
      adopt_all_forwards (peer);
    }
  WIR_FREE (lvp_hello_res, &hello);
}

static void
connect_peer (struct ent_peer *peer)
{
  struct onc_handler handler = { on_call, on_closed, peer };

  peer->retry_ns = clk_boot () + RETRY_NS;
  peer->beat_ns = clk_boot ();
  peer->conn = ent_dial (peer->entry, peer->addr, peer->port, ++peer->session,
                         &handler, on_hello, peer);
}

static struct ent_peer *
find_or_add_peer (struct ent_entry *e, uint64_t incarnation, uint32_t addr,
                  uint32_t port)
{
  struct ent_peer *peer;

  DL_FOREACH (e->peers, peer)
  {
    bool same = incarnation == 0 ? !peer->replaced
                                 : peer->incarnation == incarnation;

    if (same && peer->addr == addr && peer->port == port)
      return peer;
  }
  peer = xtalloc_zero (e->ev, struct ent_peer);
  peer->entry = e;
  peer->incarnation = incarnation;
  peer->addr = addr;
  peer->port = port;
  peer->heard_ns = clk_boot ();
  peer->used_ns = peer->heard_ns;
  DL_APPEND (e->peers, peer);
  connect_peer (peer);
  return peer;
}

void
ent_forward (struct ent_entry *e, struct req_request *r,
             const struct sid_id *sid, uint64_t incarnation, uint32_t addr,
             uint32_t port)
{
  struct ent_peer *peer = find_or_add_peer (e, incarnation, addr, port);
  struct forward *f = xtalloc_zero (e->ev, struct forward);

  r->hops++;
  f->peer = peer;
  f->request = r;
  memcpy (&f->sid, sid, sizeof *sid);
  peer->used_ns = clk_boot ();
  ctr_add (&e->counters, ENT_FORWARDED, 1);
  if (log_enabled (LOGL_INFO))
    {
      char id[SID_TEXT_MAX];
      char address[NET_TEXT_MAX];
      sid_format (sid, id);
      net_format (addr, port, address);
      log_line (LOGL_INFO, "forward", "sid=%s owner=%s hops=%u", id, address,
                r->hops);
    }
  if (peer->replaced)
    adopt_forward (peer, f);
  else if (peer->established)
    send_forward (peer, f);
  else
    DL_APPEND (peer->waiting, f);
}

static void
on_beat (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct ent_peer *peer = priv;

  (void)conn;
  (void)res;
  if (err == 0)
    peer->heard_ns = clk_boot ();
}

static void
send_beat (struct ent_peer *peer, uint64_t now_ns)
{
  lvp_beat beat;

  memset (&beat, 0, sizeof beat);
  beat.roster = peer->entry->roster.offset;
  beat.rules = peer->entry->active_rules_version;
  peer->beat_ns = now_ns;
  onc_call (peer->conn, LVP_BEAT, (xdrproc_t)xdr_lvp_beat, &beat, on_beat,
            peer);
}

static bool
is_member (const struct ent_peer *peer)
{
  const struct ros_member *m
      = ros_find (&peer->entry->roster, peer->incarnation);

  return m != NULL && m->ended == 0;
}

static void
remove_peer (struct ent_peer *peer)
{
  DL_DELETE (peer->entry->peers, peer);
  if (peer->conn != NULL)
    onc_close (peer->conn, -ECONNABORTED, "no longer needed");
  talloc_free (peer);
}

static void
tick_peer (struct ent_peer *peer, uint64_t now_ns)
{
  struct ent_entry *e = peer->entry;
  bool busy = peer->waiting != NULL || peer->sent != NULL;

  if (peer->conn != NULL
      && clk_since (now_ns, onc_last_received (peer->conn))
             > e->set.silent_ms * CLK_MS)
    onc_close (peer->conn, -ETIMEDOUT, "silent for too long");
  if (peer->conn == NULL && !peer->replaced && now_ns >= peer->retry_ns)
    connect_peer (peer);
  if (peer->established
      && clk_since (now_ns, peer->beat_ns) >= e->set.heartbeat_ms * CLK_MS / 2)
    send_beat (peer, now_ns);
  if (busy && clk_since (now_ns, peer->heard_ns) > UNREACHABLE_NS
      && clk_since (now_ns, peer->used_ns) > UNREACHABLE_NS / 2)
    adopt_all_forwards (peer);
  if (!is_member (peer) && !busy
      && clk_since (now_ns, peer->used_ns) > 10 * CLK_S)
    remove_peer (peer);
}

/* A peer out of contact may adopt submissions of this entry: all ids minted so
   far are in doubt.  */
static void
update_doubt (struct ent_entry *e, uint64_t now_ns)
{
  struct ent_peer *peer;

  DL_FOREACH (e->peers, peer)
  {
    if (is_member (peer) && !peer->replaced
        && clk_since (now_ns, peer->heard_ns) > DOUBT_NS)
      e->maybe_adopted_ms = clk_wall_ms ();
  }
}

void
ent_peer_tick (struct ent_entry *e, uint64_t now_ns)
{
  struct ent_peer *peer;
  struct ent_peer *next;
  struct ros_member *m;

  LL_FOREACH (e->roster.members, m)
  {
    if (m->role == ROS_ENTRY && m->ended == 0
        && m->incarnation != e->incarnation)
      find_or_add_peer (e, m->incarnation, m->addr, m->port);
  }
  DL_FOREACH_SAFE (e->peers, peer, next) { tick_peer (peer, now_ns); }
  update_doubt (e, now_ns);
}

static void
on_sync (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct ent_entry *e = priv;
  lvp_sync_res sync;

  if (err != 0 || !WIR_DECODE (lvp_sync_res, res, &sync))
    return;
  if (!e->members_known && sync.roster > 0)
    ent_log_load_members (e, sync.roster, wir_slice (&sync.members));
  if (sync.rules_known
      && rvs_adopt (&e->rules, sync.rules_version, sync.rules_offset, "peer",
                    wir_slice (&sync.rules)))
    {
      lgt_seek (e->rules_tail, e->rules.offset + 1);
      ent_log_activate_rules (e, onc_peer (conn));
    }
  WIR_FREE (lvp_sync_res, &sync);
}

/* Seeds are configured addresses; their incarnations are not known yet.  */
static void
connect_seeds (struct ent_entry *e)
{
  for (unsigned i = 0; i < e->set.seeds.count; i++)
    {
      uint32_t addr;
      uint32_t port;

      if (net_parse_host_order (&addr, &port, e->set.seeds.item[i]) == 0)
        find_or_add_peer (e, 0, addr, port);
    }
}

void
ent_peer_sync (struct ent_entry *e)
{
  uint64_t version = e->rules.version;
  struct ent_peer *peer;

  connect_seeds (e);
  DL_FOREACH (e->peers, peer)
  {
    if (peer->established)
      onc_call (peer->conn, LVP_SYNC, (xdrproc_t)xdr_uint64_t, &version,
                on_sync, e);
  }
}
