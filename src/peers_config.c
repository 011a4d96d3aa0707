#include "peers_parts.h"

#include <errno.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "lagoonvale/subset.h"
#include "logline.h"
#include "wire.h"

/* Entries that watch the store; one may be cut off from it, or be slow.  */
#define READERS 2
/* Delay before another peer is asked after one that was busy or failed, ns.
 */
#define RETRY_NS (20 * CLK_MS)
/* A transfer without a page for this long is no longer taken to arrive, ns. */
#define STALLED_NS (500 * CLK_MS)

uint64_t
per_version (const struct per_peers *p)
{
  const struct cat_config *c = p->events.current (p->events.priv);

  return c != NULL ? c->version : 0;
}

bool
per_is_reader (const struct per_peers *p)
{
  static const struct lv_slice group = { "config-readers", 14 };
  char self[NET_TEXT_MAX];
  const struct per_peer *peer;
  unsigned before = 0;
  uint64_t rank;

  net_format (p->self.addr, p->self.port, self);
  rank = sst_rank (group, lv_slice_of (self));
  DL_FOREACH (p->peers, peer)
  if (peer->answered_ns != 0)
    before += sst_rank (group, lv_slice_of (peer->address)) > rank;
  return before < READERS;
}

bool
per_is_fetching (const struct per_peers *p, uint64_t now_ns)
{
  const struct per_peer *peer;

  if (p->fetch.transfer.staged != NULL
      && clk_since (now_ns, p->fetch.page_ns) < STALLED_NS)
    return true;
  DL_FOREACH (p->peers, peer)
  if (peer->answered_ns != 0 && peer->reading)
    return true;
  return false;
}

/* A peer that has a newer configuration, a different one at each call.  */
static struct per_peer *
next_source (struct per_peers *p)
{
  uint64_t have = per_version (p);
  struct per_peer *peer;
  unsigned newer = 0;
  uint64_t skip;

  DL_FOREACH (p->peers, peer)
  newer += peer->answered_ns != 0 && peer->config_version > have;
  if (newer == 0)
    return NULL;
  skip = p->fetch.turn++ % newer;
  DL_FOREACH (p->peers, peer)
  if (peer->answered_ns != 0 && peer->config_version > have && skip-- == 0)
    return peer;
  return NULL;
}

static struct cat_queue
decode_queue (const lvp_queue *from)
{
  struct cat_queue q
      = { .name = from->name,
          .host = from->host,
          .prefix = from->prefix,
          .service = from->service,
          .priority = from->priority,
          .attempts = from->attempts,
          .timeout_ms = from->timeout_ms,
          .target_ms = from->target_ms,
          .slack_permille = from->slack_permille,
          .warmup = { from->warmup.warmup_ms, from->warmup.cold_per_ks } };

  return q;
}

/* Takes over the page IN, whose texts the page borrows.  */
static int
accept_page (struct per_peers *p, const lvp_config *in,
             struct cat_config **config)
{
  struct cat_queue queues[CFS_PAGE_QUEUES];
  struct cfs_page page = { .version = in->number,
                           .base = in->base,
                           .digest = in->digest,
                           .position = in->position,
                           .body_max = in->body_max,
                           .idle_ms = in->idle_ms,
                           .more = in->more,
                           .removed_count = in->removed.removed_len,
                           .count = in->queues.queues_len };
  u_int i;

  *config = NULL;
  if (page.count > CFS_PAGE_QUEUES || page.removed_count > CFS_REMOVED_MAX)
    return -EMSGSIZE;
  for (i = 0; i < page.removed_count; i++)
    page.removed[i] = in->removed.removed_val[i];
  for (i = 0; i < page.count; i++)
    {
      queues[i] = decode_queue (&in->queues.queues_val[i]);
      page.queues[i] = &queues[i];
    }
  return cfs_accept (&p->fetch.transfer, p->events.current (p->events.priv),
                     &page, config);
}

static void
page_received (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct per_peers *p = priv;
  struct per_peer *peer = p->fetch.source;
  struct cat_config *config = NULL;
  lvp_config in;

  (void)conn;
  p->fetch.source = NULL;
  if (err == 0 && !WIR_DECODE (lvp_config, res, &in))
    err = -EBADMSG;
  else if (err == 0)
    {
      err = in.number != 0 ? accept_page (p, &in, &config) : -EAGAIN;
      WIR_FREE (lvp_config, &in);
    }
  if (err == 0)
    {
      p->fetch.page_ns = clk_boot ();
      p->fetch.turn--; /* go on with the same peer */
    }
  else
    p->fetch.next_ns = clk_boot () + RETRY_NS;
  if (err != 0 && err != -EAGAIN)
    log_ratelimited (LOGL_INFO, "peer-config-page", "peer=%s code=%d",
                     peer->address, err);
  if (config != NULL)
    p->events.config (config, peer->address, p->events.priv);
  else if (err == 0)
    per_tick_fetch (p, p->fetch.page_ns);
}

void
per_tick_fetch (struct per_peers *p, uint64_t now_ns)
{
  struct cfs_request request;
  lvp_config_req out;
  struct per_peer *peer;

  if (p->fetch.source != NULL || now_ns < p->fetch.next_ns)
    return;
  peer = next_source (p);
  if (peer == NULL)
    return;
  request = cfs_next_request (&p->fetch.transfer,
                              p->events.current (p->events.priv));
  out.have = request.have;
  out.number = request.version;
  out.after = (char *)request.after;
  p->fetch.source = peer;
  if (onc_call (peer->conn, LVP_CONFIG, (xdrproc_t)xdr_lvp_config_req, &out,
                page_received, p)
      == 0)
    return;
  p->fetch.source = NULL;
  p->fetch.next_ns = now_ns + RETRY_NS;
}

static lvp_queue
encode_queue (const struct cat_queue *q)
{
  lvp_queue out
      = { (char *)q->name,   (char *)q->host,
          (char *)q->prefix, (char *)q->service,
          q->priority,       q->attempts,
          q->timeout_ms,     q->target_ms,
          q->slack_permille, { q->warmup.warmup_ms, q->warmup.cold_per_ks } };

  return out;
}

static void
send_page (struct per_peers *p, struct onc_conn *conn, uint32_t xid,
           const struct cfs_page *page)
{
  lvp_queue queues[CFS_PAGE_QUEUES];
  lvp_config out
      = { .number = page->version,
          .base = page->base,
          .digest = page->digest,
          .position = page->position,
          .body_max = page->body_max,
          .idle_ms = page->idle_ms,
          .more = page->more,
          .removed = { page->removed_count, (lvp_text *)page->removed },
          .queues = { page->count, queues } };
  uint32_t i;

  for (i = 0; i < page->count; i++)
    queues[i] = encode_queue (page->queues[i]);
  pac_sent (&p->pacer, xdr_sizeof ((xdrproc_t)xdr_lvp_config, &out));
  onc_reply (conn, xid, (xdrproc_t)xdr_lvp_config, &out);
}

void
per_on_config (struct per_peers *p, struct onc_conn *conn, uint32_t xid,
               XDR *args, uint64_t now_ns)
{
  const struct cat_config *config = p->events.current (p->events.priv);
  lvp_config_req in;
  struct cfs_request request;
  struct cfs_page page = { 0 };

  if (!WIR_DECODE (lvp_config_req, args, &in))
    {
      onc_close (conn, -EBADMSG, "request for a page cannot be decoded");
      return;
    }
  request.have = in.have;
  request.version = in.number;
  request.after = in.after;
  if (config != NULL && pac_may_send (&p->pacer, now_ns))
    cfs_make_page (config, &request, &page);
  send_page (p, conn, xid, &page);
  WIR_FREE (lvp_config_req, &in);
}
