#include "peers_parts.h"

#include <errno.h>
#include <stdio.h>
#include <talloc.h>
#include <utlist.h>
#include <xxhash.h>

#include "clock.h"
#include "lagoonvale/directory.h"
#include "logline.h"
#include "net.h"
#include "wire.h"
#include "xtalloc.h"

/* Time between two exchanges with a peer, ns.  */
#define EXCHANGE_INTERVAL_NS (200 * CLK_MS)
/* An exchange without an answer for this long closes the connection, unless
   other data arrives on it, ns.  */
#define EXCHANGE_TIMEOUT_NS (800 * CLK_MS)
/* An exchange without an answer for this long closes the connection even if
   other data arrives on it, ns.  */
#define EXCHANGE_MAX_NS (3 * CLK_S)
/* A connection attempt that takes longer is abandoned and repeated, ns.  */
#define CONNECT_TIMEOUT_NS (100 * CLK_MS)
/* Time between two attempts to connect, ns.  */
#define DIAL_INTERVAL_NS (100 * CLK_MS)
/* A peer that has not answered for this long is forgotten, ns.  */
#define FORGET_NS (20 * CLK_S)
/* Time between two exchanges that carry the whole list, ns.  A peer that was
   forgotten while unreachable is learned again from the others' lists.  */
#define FULL_LIST_INTERVAL_NS (5 * CLK_S)
/* A peer that has not answered for this long is not listed to others, ns.  */
#define LISTED_NS (2 * CLK_S)
/* A peer that has not called for this long is missed: an exchange, and its
   timeout, ns.  */
#define CALLED_MAX_NS (EXCHANGE_INTERVAL_NS + EXCHANGE_TIMEOUT_NS)
/* Time for which a peer that was forgotten is missed: until the directory has
   been read once more, ns.  */
#define FORGOTTEN_NS (DIR_REFRESH_NS + CLK_S)

int
per_init (struct per_peers *p, void *mem_ctx, struct tevent_context *ev,
          const char *self, uint64_t incarnation,
          const struct per_events *events)
{
  memset (p, 0, sizeof *p);
  if (net_parse_host_order (&p->self.addr, &p->self.port, self) != 0)
    return -EINVAL;
  p->mem_ctx = mem_ctx;
  p->ev = ev;
  p->events = *events;
  p->incarnation = incarnation;
  p->fetch.transfer.mem_ctx = mem_ctx;
  p->fetch.turn = incarnation;
  pac_init (&p->pacer, clk_boot ());
  return 0;
}

static struct per_peer *
find_peer (const struct per_peers *p, const lvp_endpoint *at)
{
  struct per_peer *peer;

  DL_FOREACH (p->peers, peer)
  if (wir_same_endpoint (&peer->endpoint, at))
    return peer;
  return NULL;
}

void
per_add (struct per_peers *p, const lvp_endpoint *at, uint64_t now_ns)
{
  struct per_peer *peer;

  if (wir_same_endpoint (at, &p->self) || find_peer (p, at) != NULL
      || p->count >= PER_MAX - 1)
    return;
  peer = xtalloc_zero (p->mem_ctx, struct per_peer);
  peer->peers = p;
  peer->endpoint = *at;
  peer->alive_ns = now_ns;
  peer->called_ns = now_ns;
  net_format (at->addr, at->port, peer->address);
  DL_APPEND (p->peers, peer);
  p->count++;
  log_line (LOGL_INFO, "peer-known", "peer=%s", peer->address);
}

void
per_add_address (struct per_peers *p, struct lv_slice text, uint64_t now_ns)
{
  lvp_endpoint at;

  if (wir_parse_endpoint (&at, text) != 0)
    {
      log_line (LOGL_WARN, "peer-bad-address", "text=%.*s", (int)text.len,
                text.data);
      return;
    }
  per_add (p, &at, now_ns);
}

bool
per_is_up (const struct per_peers *p, struct lv_slice text)
{
  const struct per_peer *peer;
  lvp_endpoint at;

  if (wir_parse_endpoint (&at, text) != 0)
    return false;
  peer = find_peer (p, &at);
  return peer != NULL && peer->answered_ns != 0;
}

lvp_endpoints
per_list (const struct per_peers *p, uint64_t now_ns,
          lvp_endpoint buf[PER_MAX], u_quad_t known, u_quad_t *digest)
{
  lvp_endpoints list = { 0, buf };
  const struct per_peer *peer;

  buf[list.lvp_endpoints_len++] = p->self;
  DL_FOREACH (p->peers, peer)
  if (peer->answered_ns != 0
      && clk_since (now_ns, peer->answered_ns) < LISTED_NS)
    buf[list.lvp_endpoints_len++] = peer->endpoint;
  *digest = XXH3_64bits (buf, list.lvp_endpoints_len * sizeof buf[0]);
  if (known == *digest)
    list.lvp_endpoints_len = 0;
  return list;
}

static void
apply_drains (struct per_peers *p, const lvp_peer *in)
{
  struct lv_slice names[LVP_DOMAINS_MAX];
  char source[NET_TEXT_MAX];
  u_int i;

  for (i = 0; i < in->drains.domains.domains_len; i++)
    names[i] = lv_slice_of (in->drains.domains.domains_val[i]);
  net_format (in->self.addr, in->self.port, source);
  p->events.drains (names, i, in->drains.position, source, p->events.priv);
}

/* Handles the exchange IN, from a call or a reply.  */
static void
apply_exchange (struct per_peers *p, const lvp_peer *in, uint64_t now_ns)
{
  struct per_peer *peer;
  u_int i;

  apply_drains (p, in);
  per_add (p, &in->self, now_ns);
  for (i = 0; i < in->entries.lvp_endpoints_len; i++)
    per_add (p, &in->entries.lvp_endpoints_val[i], now_ns);
  peer = find_peer (p, &in->self);
  if (peer == NULL)
    return;
  peer->config_version = in->config;
  peer->reading = in->reading;
}

/* An exchange for a peer that has the list with digest KNOWN, or 0.  */
static lvp_peer
make_exchange (const struct per_peers *p, uint64_t now_ns,
               lvp_endpoint buf[PER_MAX], u_quad_t known)
{
  const struct drn_domains *drains = p->events.current_drains (p->events.priv);
  lvp_peer out = { 0 };

  out.drains.position = drains->position;
  out.drains.domains.domains_len = drains->count;
  out.drains.domains.domains_val = drains->names;
  out.self = p->self;
  out.incarnation = p->incarnation;
  out.config = per_version (p);
  out.reading = p->reading;
  out.entries = per_list (p, now_ns, buf, known, &out.digest);
  return out;
}

static void
exchange_answered (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct per_peer *peer = priv;
  uint64_t now_ns = clk_boot ();
  bool first = peer->answered_ns == 0;
  lvp_peer in;

  peer->exchange_pending = false;
  if (err != 0)
    return;
  if (!WIR_DECODE (lvp_peer, res, &in))
    {
      log_line (LOGL_WARN, "peer-bad-reply", "peer=%s", peer->address);
      return;
    }
  if (first)
    log_line (LOGL_INFO, "peer-up", "peer=%s config=%llu", peer->address,
              (unsigned long long)in.config);
  peer->answered_ns = now_ns;
  pac_observe (&peer->peers->pacer, clk_since (now_ns, peer->sent_ns), now_ns);
  peer->received_digest = in.digest;
  apply_exchange (peer->peers, &in, now_ns);
  WIR_FREE (lvp_peer, &in);
  if (first)
    peer->peers->events.up (conn, peer->peers->events.priv);
}

bool
per_call_all (const struct per_peers *p, uint32_t proc, xdrproc_t encode,
              void *args, onc_reply_fn reply, void *priv, unsigned *calls)
{
  const struct per_peer *peer;

  *calls = 0;
  DL_FOREACH (p->peers, peer)
  if (peer->answered_ns != 0
      && onc_call (peer->conn, proc, encode, args, reply, priv) == 0)
    ++*calls;
  return *calls == p->count;
}

bool
per_misses_any (const struct per_peers *p, uint64_t now_ns)
{
  const struct per_peer *peer;

  if (p->forgot_ns != 0 && clk_since (now_ns, p->forgot_ns) < FORGOTTEN_NS)
    return true;
  DL_FOREACH (p->peers, peer)
  if (peer->answered_ns == 0
      || clk_since (now_ns, peer->called_ns) > CALLED_MAX_NS)
    return true;
  return false;
}

static void
send_exchange (struct per_peer *peer, uint64_t now_ns)
{
  bool whole = clk_since (now_ns, peer->full_list_ns) >= FULL_LIST_INTERVAL_NS;
  lvp_endpoint buf[PER_MAX];
  lvp_peer out = make_exchange (peer->peers, now_ns, buf,
                                whole ? 0 : peer->sent_digest);

  if (whole)
    peer->full_list_ns = now_ns;
  out.known = whole ? 0 : peer->received_digest;
  peer->sent_digest = out.digest;
  peer->exchange_pending
      = onc_call (peer->conn, LVP_PEER, (xdrproc_t)xdr_lvp_peer, &out,
                  exchange_answered, peer)
        == 0;
  peer->sent_ns = now_ns;
}

static void
peer_closed (struct onc_conn *conn, const struct err_error *err, void *priv)
{
  struct per_peer *peer = priv;

  (void)conn;
  if (peer->answered_ns != 0)
    log_line (LOGL_INFO, "peer-lost", "peer=%s code=%d why=\"%s\"",
              peer->address, err->code, err->detail);
  peer->conn = NULL;
  peer->exchange_pending = false;
  peer->config_version = 0;
  peer->reading = false;
  peer->full_list_ns = 0;
  peer->answered_ns = 0;
}

static void
dial (struct per_peer *peer, uint64_t now_ns)
{
  struct per_peers *p = peer->peers;
  struct onc_handler handler = { NULL, peer_closed, peer };
  int fd = net_connect (peer->address, NULL);

  peer->dialed_ns = now_ns;
  if (fd < 0)
    {
      log_line (LOGL_WARN, "peer-dial", "peer=%s code=%d", peer->address, fd);
      return;
    }
  peer->conn = onc_attach (p->mem_ctx, p->ev, fd, peer->address, &handler);
  send_exchange (peer, now_ns);
}

/* Whether data arrives from PEER: its answer is only late then.  */
static bool
is_receiving (const struct per_peer *peer)
{
  return clk_since (clk_boot (), onc_last_received (peer->conn))
         < EXCHANGE_TIMEOUT_NS;
}

static bool
exchange_timed_out (const struct per_peer *peer, uint64_t now_ns)
{
  uint64_t age_ns = clk_since (now_ns, peer->sent_ns);

  if (!peer->exchange_pending)
    return false;
  if (onc_last_sent (peer->conn) == 0)
    return age_ns >= CONNECT_TIMEOUT_NS;
  return age_ns >= EXCHANGE_MAX_NS
         || (age_ns >= EXCHANGE_TIMEOUT_NS && !is_receiving (peer));
}

static void
tick_peer (struct per_peer *peer, uint64_t now_ns)
{
  if (peer->answered_ns != 0)
    peer->alive_ns = now_ns;
  if (peer->conn == NULL)
    {
      if (clk_since (now_ns, peer->dialed_ns) >= DIAL_INTERVAL_NS)
        dial (peer, now_ns);
      return;
    }
  if (peer->exchange_pending && peer->answered_ns != 0)
    pac_observe_waiting (&peer->peers->pacer,
                         clk_since (now_ns, peer->sent_ns), now_ns);
  if (exchange_timed_out (peer, now_ns))
    onc_close (peer->conn, -ETIMEDOUT, "connect or exchange timed out");
  else if (!peer->exchange_pending
           && clk_since (now_ns, peer->sent_ns) >= EXCHANGE_INTERVAL_NS)
    send_exchange (peer, now_ns);
}

void
per_tick (struct per_peers *p, uint64_t now_ns)
{
  struct per_peer *peer;
  struct per_peer *next;

  DL_FOREACH_SAFE (p->peers, peer, next)
  {
    tick_peer (peer, now_ns);
    if (peer->conn != NULL || clk_since (now_ns, peer->alive_ns) < FORGET_NS)
      continue;
    log_line (LOGL_INFO, "peer-gone", "peer=%s", peer->address);
    DL_DELETE (p->peers, peer);
    p->count--;
    p->forgot_ns = now_ns;
    talloc_free (peer);
  }
  per_tick_fetch (p, now_ns);
}

void
per_on_peer (struct per_peers *p, struct onc_conn *conn, uint32_t xid,
             XDR *args, uint64_t now_ns)
{
  lvp_endpoint buf[PER_MAX];
  struct per_peer *caller;
  u_quad_t known;
  lvp_peer in;
  lvp_peer out;

  if (!WIR_DECODE (lvp_peer, args, &in))
    {
      onc_close (conn, -EBADMSG, "exchange cannot be decoded");
      return;
    }
  apply_exchange (p, &in, now_ns);
  caller = find_peer (p, &in.self);
  if (caller != NULL)
    caller->called_ns = now_ns;
  known = in.known;
  WIR_FREE (lvp_peer, &in);
  out = make_exchange (p, now_ns, buf, known);
  onc_reply (conn, xid, (xdrproc_t)xdr_lvp_peer, &out);
}
