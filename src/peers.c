#include "peers.h"

#include <errno.h>
#include <stdio.h>
#include <talloc.h>
#include <utlist.h>
#include <xxhash.h>

#include "clock.h"
#include "logline.h"
#include "net.h"
#include "wire.h"

/* Time between two exchanges with one peer, ns.  */
#define EXCHANGE_NS (200 * CLK_MS)
/* An exchange without an answer for this long ends the connection, ns.  */
#define SILENT_NS (800 * CLK_MS)
/* A connection that is not open after this long is tried anew, ns.  */
#define CONNECT_NS (100 * CLK_MS)
/* Time between two attempts to connect, ns.  */
#define DIAL_NS (100 * CLK_MS)
/* An address that has not answered for this long is forgotten, ns.  */
#define GONE_NS (20 * CLK_S)
/* Time between two exchanges that carry the whole list, ns: a peer that was
   forgotten while it was cut off is learnt anew from others.  */
#define RELIST_NS (5 * CLK_S)
/* A peer that has not answered for this long is not named to others, ns.  */
#define NAMED_NS (2 * CLK_S)

struct per_peer
{
  struct per_peers *all;
  lvp_endpoint at;
  char text[NET_TEXT_MAX];
  struct onc_conn *conn;
  uint64_t added_ns;
  uint64_t heard_ns;
  uint64_t sent_ns;
  uint64_t dialed_ns;
  uint64_t listed_ns; /* when the whole list was sent last */
  u_quad_t told;      /* digest of the list sent last */
  u_quad_t known;     /* digest of its list */
  bool asking;
  bool fetching;
  struct per_peer *prev;
  struct per_peer *next;
};

int
per_init (struct per_peers *p, void *mem_ctx, struct tevent_context *ev,
          const char *self, uint64_t incarnation,
          const struct per_events *events)
{
  memset (p, 0, sizeof *p);
  if (net_parse_pair (&p->self.addr, &p->self.port, self) != 0)
    return -EINVAL;
  p->mem_ctx = mem_ctx;
  p->ev = ev;
  p->events = *events;
  p->incarnation = incarnation;
  return 0;
}

static struct per_peer *
find (const struct per_peers *p, const lvp_endpoint *at)
{
  struct per_peer *peer;

  DL_FOREACH (p->peers, peer)
  if (wir_same_endpoint (&peer->at, at))
    return peer;
  return NULL;
}

void
per_add (struct per_peers *p, const lvp_endpoint *at, uint64_t now_ns)
{
  struct per_peer *peer;

  if (wir_same_endpoint (at, &p->self) || find (p, at) != NULL
      || p->count >= PER_MAX - 1)
    return;
  peer = talloc_zero (p->mem_ctx, struct per_peer);
  peer->all = p;
  peer->at = *at;
  peer->added_ns = now_ns;
  net_format (at->addr, at->port, peer->text);
  DL_APPEND (p->peers, peer);
  p->count++;
  log_line (LOGL_INFO, "peer-known", "peer=%s", peer->text);
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
  peer = find (p, &at);
  return peer != NULL && peer->heard_ns != 0;
}

lvp_endpoints
per_list (const struct per_peers *p, uint64_t now_ns,
          lvp_endpoint room[PER_MAX], u_quad_t known, u_quad_t *digest)
{
  lvp_endpoints list = { 0, room };
  const struct per_peer *peer;

  room[list.lvp_endpoints_len++] = p->self;
  DL_FOREACH (p->peers, peer)
  if (peer->heard_ns != 0 && clk_since (now_ns, peer->heard_ns) < NAMED_NS)
    room[list.lvp_endpoints_len++] = peer->at;
  *digest = XXH3_64bits (room, list.lvp_endpoints_len * sizeof room[0]);
  if (known == *digest)
    list.lvp_endpoints_len = 0;
  return list;
}

static struct cat_config *
config_of (void *mem_ctx, const lvp_config *in)
{
  struct cat_config *c = cat_new (mem_ctx, in->number, in->queues.queues_len);
  uint32_t i;

  c->body_max = in->body_max;
  c->idle_ms = in->idle_ms;
  for (i = 0; i < c->count; i++)
    {
      const lvp_queue *from = &in->queues.queues_val[i];
      struct cat_queue *q = &c->queues[i];

      q->name = talloc_strdup (c, from->name);
      q->host = talloc_strdup (c, from->host);
      q->prefix = talloc_strdup (c, from->prefix);
      q->service = talloc_strdup (c, from->service);
      q->priority = from->priority;
      q->attempts = from->attempts;
      q->timeout_ms = from->timeout_ms;
      q->target_ms = from->target_ms;
      q->slack_permille = from->slack_permille;
    }
  return c;
}

static void
got_config (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct per_peer *peer = priv;
  struct per_peers *p = peer->all;
  struct cat_config *config;
  lvp_config in;

  (void)conn;
  peer->fetching = false;
  if (err != 0)
    return;
  if (!WIR_DECODE (lvp_config, res, &in))
    {
      log_line (LOGL_WARN, "peer-config-bad", "peer=%s", peer->text);
      return;
    }
  config = config_of (p->mem_ctx, &in);
  if (config->version > 0 && cat_index (config) == 0)
    p->events.config (config, peer->text, p->events.priv);
  else
    talloc_free (config);
  WIR_FREE (lvp_config, &in);
}

static void
fetch_config (struct per_peer *peer)
{
  u_quad_t have = peer->all->events.version (peer->all->events.priv);

  if (peer->fetching)
    return;
  peer->fetching = true;
  if (onc_call (peer->conn, LVP_CONFIG, (xdrproc_t)xdr_u_quad_t, &have,
                got_config, peer)
      != 0)
    peer->fetching = false;
}

/* What a peer tells of itself and others, by a call or a reply.  */
static void
learn (struct per_peers *p, const lvp_peer *in, uint64_t now_ns)
{
  struct per_peer *peer;
  u_int i;

  per_add (p, &in->self, now_ns);
  for (i = 0; i < in->entries.lvp_endpoints_len; i++)
    per_add (p, &in->entries.lvp_endpoints_val[i], now_ns);
  peer = find (p, &in->self);
  if (peer != NULL && peer->conn != NULL
      && in->config > p->events.version (p->events.priv))
    fetch_config (peer);
}

/* What this entry says of itself to one that has the list KNOWN.  */
static lvp_peer
introduce (const struct per_peers *p, uint64_t now_ns,
           lvp_endpoint room[PER_MAX], u_quad_t known)
{
  lvp_peer out = { 0 };

  out.self = p->self;
  out.incarnation = p->incarnation;
  out.config = p->events.version (p->events.priv);
  out.entries = per_list (p, now_ns, room, known, &out.digest);
  return out;
}

static void
exchanged (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct per_peer *peer = priv;
  uint64_t now_ns = clk_boot ();
  lvp_peer in;

  (void)conn;
  peer->asking = false;
  if (err != 0)
    return;
  if (!WIR_DECODE (lvp_peer, res, &in))
    {
      log_line (LOGL_WARN, "peer-bad-reply", "peer=%s", peer->text);
      return;
    }
  if (peer->heard_ns == 0)
    log_line (LOGL_INFO, "peer-up", "peer=%s config=%llu", peer->text,
              (unsigned long long)in.config);
  peer->heard_ns = now_ns;
  peer->known = in.digest;
  learn (peer->all, &in, now_ns);
  WIR_FREE (lvp_peer, &in);
}

static void
exchange (struct per_peer *peer, uint64_t now_ns)
{
  bool whole = clk_since (now_ns, peer->listed_ns) >= RELIST_NS;
  lvp_endpoint room[PER_MAX];
  lvp_peer out = introduce (peer->all, now_ns, room, whole ? 0 : peer->told);

  if (whole)
    peer->listed_ns = now_ns;
  out.known = whole ? 0 : peer->known;
  peer->told = out.digest;
  peer->asking = onc_call (peer->conn, LVP_PEER, (xdrproc_t)xdr_lvp_peer, &out,
                           exchanged, peer)
                 == 0;
  peer->sent_ns = now_ns;
}

static void
peer_closed (struct onc_conn *conn, const struct err_error *err, void *priv)
{
  struct per_peer *peer = priv;

  (void)conn;
  if (peer->heard_ns != 0)
    log_line (LOGL_INFO, "peer-lost", "peer=%s code=%d why=\"%s\"", peer->text,
              err->code, err->detail);
  peer->conn = NULL;
  peer->asking = false;
  peer->listed_ns = 0;
  peer->heard_ns = 0;
}

static void
dial (struct per_peer *peer, uint64_t now_ns)
{
  struct per_peers *p = peer->all;
  struct onc_handler handler = { NULL, peer_closed, peer };
  int fd = net_connect (peer->text, NULL);

  peer->dialed_ns = now_ns;
  if (fd < 0)
    {
      log_line (LOGL_WARN, "peer-dial", "peer=%s code=%d", peer->text, fd);
      return;
    }
  peer->conn = onc_attach (p->mem_ctx, p->ev, fd, peer->text, &handler);
  exchange (peer, now_ns);
}

static bool
silent (const struct per_peer *peer, uint64_t now_ns)
{
  bool open = onc_last_sent (peer->conn) != 0;

  return peer->asking
         && clk_since (now_ns, peer->sent_ns)
                >= (open ? SILENT_NS : CONNECT_NS);
}

static void
tick_peer (struct per_peer *peer, uint64_t now_ns)
{
  if (peer->heard_ns != 0)
    peer->added_ns = now_ns;
  if (peer->conn == NULL)
    {
      if (clk_since (now_ns, peer->dialed_ns) >= DIAL_NS)
        dial (peer, now_ns);
      return;
    }
  if (silent (peer, now_ns))
    onc_close (peer->conn, -ETIMEDOUT, "no answer to an exchange");
  else if (!peer->asking && clk_since (now_ns, peer->sent_ns) >= EXCHANGE_NS)
    exchange (peer, now_ns);
}

void
per_tick (struct per_peers *p, uint64_t now_ns)
{
  struct per_peer *peer;
  struct per_peer *next;

  DL_FOREACH_SAFE (p->peers, peer, next)
  {
    tick_peer (peer, now_ns);
    if (peer->conn != NULL || clk_since (now_ns, peer->added_ns) < GONE_NS)
      continue;
    log_line (LOGL_INFO, "peer-gone", "peer=%s", peer->text);
    DL_DELETE (p->peers, peer);
    p->count--;
    talloc_free (peer);
  }
}

void
per_on_peer (struct per_peers *p, struct onc_conn *conn, uint32_t xid,
             XDR *args, uint64_t now_ns)
{
  lvp_endpoint room[PER_MAX];
  u_quad_t known;
  lvp_peer in;
  lvp_peer out;

  if (!WIR_DECODE (lvp_peer, args, &in))
    {
      onc_close (conn, -EBADMSG, "exchange cannot be decoded");
      return;
    }
  learn (p, &in, now_ns);
  known = in.known;
  WIR_FREE (lvp_peer, &in);
  out = introduce (p, now_ns, room, known);
  onc_reply (conn, xid, (xdrproc_t)xdr_lvp_peer, &out);
}

void
per_on_config (const struct cat_config *config, struct onc_conn *conn,
               uint32_t xid)
{
  lvp_config out = { 0 };
  uint32_t i;

  if (config == NULL)
    {
      onc_reply (conn, xid, (xdrproc_t)xdr_lvp_config, &out);
      return;
    }
  out.number = config->version;
  out.body_max = config->body_max;
  out.idle_ms = config->idle_ms;
  out.queues.queues_len = config->count;
  out.queues.queues_val = talloc_zero_array (NULL, lvp_queue, config->count);
  for (i = 0; i < config->count; i++)
    {
      const struct cat_queue *q = &config->queues[i];
      lvp_queue to = { q->name,       q->host,      q->prefix,
                       q->service,    q->priority,  q->attempts,
                       q->timeout_ms, q->target_ms, q->slack_permille };

      out.queues.queues_val[i] = to;
    }
  onc_reply (conn, xid, (xdrproc_t)xdr_lvp_config, &out);
  talloc_free (out.queues.queues_val);
}
