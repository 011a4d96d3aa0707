#include <errno.h>
#include <string.h>
#include <talloc.h>

#include "entry_parts.h"
#include "net.h"
#include "wire.h"
#include "xtalloc.h"

/* A connection opened by another entry.  */
struct inbound
{
  struct ent_entry *entry;
  struct onc_conn *conn;
  uint32_t pending; /* forwarded requests to answer */
  bool closed;
};

static void
reply_forward (struct req_request *r, struct req_answer *a)
{
  struct inbound *in = r->origin;
  struct lv_slice body = { a->data, a->len };
  lvp_forward_res res = { .http_status = a->status };

  res.body = wir_bytes (body);
  in->pending--;
  in->entry->forward_pending--;
  if (!in->closed)
    onc_reply (in->conn, r->xid, (xdrproc_t)xdr_lvp_forward_res, &res);
  else if (in->pending == 0)
    talloc_free (in);
}

static void
serve_forward (struct inbound *in, uint32_t xid, XDR *args)
{
  static const enum req_op ops[] = {
    [LVP_SUBMIT] = REQ_SUBMIT, [LVP_POLL] = REQ_POLL, [LVP_CANCEL] = REQ_CANCEL
  };
  lvp_forward call;
  struct req_request *r;
  struct req_refusal why;

  if (!WIR_DECODE (lvp_forward, args, &call) || call.op > LVP_CANCEL)
    {
      onc_close (in->conn, -EBADMSG, "forward cannot be decoded");
      WIR_FREE (lvp_forward, &call);
      return;
    }
  r = req_new (ops[call.op]);
  r->raw
      = xtalloc_memdup (r, call.body.lvp_bytes_val, call.body.lvp_bytes_len);
  r->raw_len = call.body.lvp_bytes_len;
  r->wait_ms = call.wait_ms == UINT32_MAX ? UINT64_MAX : call.wait_ms;
  r->wait = call.wait_ms > 0;
  r->hops = call.hops;
  r->answer = reply_forward;
  r->origin = in;
  r->xid = xid;
  in->pending++;
  in->entry->forward_pending++;
  if (r->op == REQ_SUBMIT && !req_parse (r, &why))
    ent_refuse (in->entry, r, &why);
  else
    {
      r->has_sid = true;
      r->sid = wir_to_sid (&call.sid);
      if (r->op == REQ_SUBMIT)
        ent_submit_as (in->entry, r, &r->sid);
      else
        ent_handle_request (in->entry, r);
    }
  WIR_FREE (lvp_forward, &call);
}

static void
serve_hello (struct inbound *in, uint32_t xid, XDR *args)
{
  lvp_hello call;
  lvp_hello_res res = { 0 };

  if (!WIR_DECODE (lvp_hello, args, &call))
    {
      onc_close (in->conn, -EBADMSG, "hello cannot be decoded");
      return;
    }
  res.name = in->entry->set.name;
  res.incarnation = in->entry->incarnation;
  res.domain = in->entry->set.domain;
  res.leaving = in->entry->leaving;
  onc_reply (in->conn, xid, (xdrproc_t)xdr_lvp_hello_res, &res);
  WIR_FREE (lvp_hello, &call);
}

static void
serve_sync (struct inbound *in, uint32_t xid)
{
  struct ent_entry *e = in->entry;
  lvp_sync_res res;
  char *dump;

  memset (&res, 0, sizeof res);
  if (e->rules_ready && e->rules.synced)
    {
      res.rules_known = true;
      res.rules_version = e->rules.version;
      res.rules_offset = e->rules.offset;
      if (e->rules.text != NULL)
        res.rules = wir_bytes (lv_slice_of (e->rules.text));
    }
  dump = ros_dump (e->ev, &e->roster);
  if (e->members_known)
    {
      res.roster = e->roster.offset;
      res.members = wir_bytes (lv_slice_of (dump));
    }
  onc_reply (in->conn, xid, (xdrproc_t)xdr_lvp_sync_res, &res);
  talloc_free (dump);
}

static void
on_call (struct onc_conn *conn, uint32_t xid, uint32_t proc, XDR *args,
         void *priv)
{
  struct inbound *in = priv;
  lvp_beat_res beat;

  switch (proc)
    {
    case LVP_HELLO:
      serve_hello (in, xid, args);
      return;
    case LVP_BEAT:
      memset (&beat, 0, sizeof beat);
      beat.leaving = in->entry->leaving;
      beat.roster = in->entry->roster.offset;
      onc_reply (conn, xid, (xdrproc_t)xdr_lvp_beat_res, &beat);
      return;
    case LVP_FORWARD:
      serve_forward (in, xid, args);
      return;
    case LVP_SYNC:
      serve_sync (in, xid);
      return;
    default:
      onc_close (conn, -EPROTO, "unknown procedure");
    }
}

static void
on_closed (struct onc_conn *conn, const struct err_error *err, void *priv)
{
  struct inbound *in = priv;

  (void)conn;
  (void)err;
  in->closed = true;
  if (in->pending == 0)
    talloc_free (in);
}

static void
on_accept (int fd, const char *peer, void *priv)
{
  struct ent_entry *e = priv;
  struct inbound *in = xtalloc_zero (e->ev, struct inbound);
  struct onc_handler handler = { on_call, on_closed, in };

  in->entry = e;
  in->conn = onc_attach (e->ev, e->ev, fd, peer, &handler);
}

int
ent_inbound_listen (struct ent_entry *e)
{
  return net_serve (e->ev, e->ev, e->set.listen, on_accept, e);
}
