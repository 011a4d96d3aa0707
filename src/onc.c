#include "onc.h"

#include <errno.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>
#include <uthash.h>

#include "clock.h"
#include "lvproto.h"
#include "xtalloc.h"

#define READ_CHUNK 65536
#define HEADER_BYTES_MAX 64
#define RECORD_MARK_BYTES 4
#define LAST_FRAGMENT 0x80000000U

struct pending
{
  uint32_t xid;
  onc_reply_fn reply;
  void *priv;
  UT_hash_handle hh;
};

struct buffer
{
  char *data;
  size_t len;
  size_t off;
  size_t cap;
};

struct onc_conn
{
  int fd;
  struct tevent_context *ev;
  struct tevent_fd *fde;
  struct tevent_immediate *flush;
  bool flush_scheduled;
  bool closed;
  struct onc_handler handler;
  struct pending *pending;
  uint32_t next_xid;
  struct buffer in;
  struct buffer out;
  uint64_t last_received;
  uint64_t last_sent;
  char peer[ERR_PEER_MAX];
};

static _Atomic uint64_t calls_sent;
static _Atomic uint64_t bytes_sent;

static int
reserve (struct onc_conn *conn, struct buffer *b, size_t extra)
{
  size_t cap;
  char *grown;

  if (b->off > 0 && b->off == b->len)
    b->off = b->len = 0;
  if (b->len + extra <= b->cap)
    return 0;
  if (b->off > 0)
    {
      memmove (b->data, b->data + b->off, b->len - b->off);
      b->len -= b->off;
      b->off = 0;
    }
  cap = b->len + extra;
  if (cap <= b->cap)
    return 0;
  cap = cap < READ_CHUNK ? READ_CHUNK : cap * 2;
  grown = talloc_realloc_size (conn, b->data, cap);
  if (grown == NULL)
    return -ENOMEM;
  b->data = grown;
  b->cap = cap;
  return 0;
}

static void
fail_pending (struct onc_conn *conn, int code)
{
  struct pending *p;
  struct pending *next;

  HASH_ITER (hh, conn->pending, p, next)
  {
    HASH_DEL (conn->pending, p);
    p->reply (conn, code, NULL, p->priv);
    talloc_free (p);
  }
}

static void
close_conn (struct onc_conn *conn, const struct err_error *err)
{
  if (conn->closed)
    return;
  conn->closed = true;
  TALLOC_FREE (conn->fde);
  close (conn->fd);
  fail_pending (conn, err->code);
  if (conn->handler.closed != NULL)
    conn->handler.closed (conn, err, conn->handler.priv);
}

static void
free_cb (struct tevent_context *ev, struct tevent_immediate *im, void *priv)
{
  (void)ev;
  (void)im;
  talloc_free (priv);
}

void
onc_close (struct onc_conn *conn, int code, const char *why)
{
  struct err_error err;

  if (conn->closed)
    return;
  err_set (&err, code, "rpc-close", conn->peer, "%s", why);
  close_conn (conn, &err);
  /* A caller up the stack may still use this connection, so it is freed in the
     next iteration of the event loop.  */
  tevent_schedule_immediate (conn->flush, conn->ev, free_cb, conn);
}

static void
flush_now (struct onc_conn *conn)
{
  struct buffer *b = &conn->out;

  while (b->off < b->len)
    {
      ssize_t n
          = send (conn->fd, b->data + b->off, b->len - b->off, MSG_NOSIGNAL);
      if (n < 0 && (errno == EAGAIN || errno == ENOTCONN))
        {
          TEVENT_FD_WRITEABLE (conn->fde);
          return;
        }
      if (n < 0)
        {
          onc_close (conn, -errno, "write failed");
          return;
        }
      b->off += (size_t)n;
      atomic_fetch_add_explicit (&bytes_sent, (uint64_t)n,
                                 memory_order_relaxed);
    }
  b->off = b->len = 0;
  conn->last_sent = clk_boot ();
  TEVENT_FD_NOT_WRITEABLE (conn->fde);
}

static void
flush_cb (struct tevent_context *ev, struct tevent_immediate *im, void *priv)
{
  struct onc_conn *conn = priv;

  (void)ev;
  (void)im;
  conn->flush_scheduled = false;
  if (!conn->closed)
    flush_now (conn);
}

static void
schedule_flush (struct onc_conn *conn)
{
  if (conn->flush_scheduled)
    return;
  conn->flush_scheduled = true;
  tevent_schedule_immediate (conn->flush, conn->ev, flush_cb, conn);
}

/* Append one record: MSG encoded by HEAD, then ARGS encoded by ENCODE.  */
static int
append_record (struct onc_conn *conn, xdrproc_t head, struct rpc_msg *msg,
               xdrproc_t encode, const void *args)
{
  size_t size = HEADER_BYTES_MAX;
  struct buffer *b = &conn->out;
  XDR xdr;
  u_int len;
  uint32_t mark;

  if (conn->closed)
    return -ENOTCONN;
  if (encode != NULL)
    size += xdr_sizeof (encode, (void *)args);
  if (size + RECORD_MARK_BYTES > ONC_RECORD_MAX)
    return -EMSGSIZE;
  if (reserve (conn, b, size + RECORD_MARK_BYTES) != 0)
    return -ENOMEM;
  xdrmem_create (&xdr, b->data + b->len + RECORD_MARK_BYTES, (u_int)size,
                 XDR_ENCODE);
  if (!head (&xdr, msg) || (encode != NULL && !encode (&xdr, (void *)args)))
    return -EINVAL;
  len = xdr_getpos (&xdr);
  mark = htonl (len | LAST_FRAGMENT);
  memcpy (b->data + b->len, &mark, RECORD_MARK_BYTES);
  b->len += RECORD_MARK_BYTES + len;
  schedule_flush (conn);
  return 0;
}

int
onc_call (struct onc_conn *conn, uint32_t proc, xdrproc_t encode,
          const void *args, onc_reply_fn reply, void *priv)
{
  struct rpc_msg msg = { 0 };
  struct pending *p;
  int rc;

  msg.rm_xid = ++conn->next_xid;
  msg.rm_direction = CALL;
  msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  msg.rm_call.cb_prog = LVP_PROG;
  msg.rm_call.cb_vers = LVP_V1;
  msg.rm_call.cb_proc = proc;
  rc = append_record (conn, (xdrproc_t)xdr_callmsg, &msg, encode, args);
  if (rc != 0)
    return rc;
  atomic_fetch_add_explicit (&calls_sent, 1, memory_order_relaxed);
  if (reply == NULL)
    return 0;
  p = xtalloc (conn, struct pending);
  p->xid = (uint32_t)msg.rm_xid;
  p->reply = reply;
  p->priv = priv;
  HASH_ADD_INT (conn->pending, xid, p);
  return 0;
}

int
onc_reply (struct onc_conn *conn, uint32_t xid, xdrproc_t encode,
           const void *res)
{
  struct rpc_msg msg = { 0 };

  msg.rm_xid = xid;
  msg.rm_direction = REPLY;
  msg.rm_reply.rp_stat = MSG_ACCEPTED;
  msg.acpted_rply.ar_stat = SUCCESS;
  msg.acpted_rply.ar_results.proc = (xdrproc_t)(void *)xdr_void;
  return append_record (conn, (xdrproc_t)xdr_replymsg, &msg, encode, res);
}

static void
reject_version (struct onc_conn *conn, uint32_t xid)
{
  struct rpc_msg msg = { 0 };

  msg.rm_xid = xid;
  msg.rm_direction = REPLY;
  msg.rm_reply.rp_stat = MSG_ACCEPTED;
  msg.acpted_rply.ar_stat = PROG_MISMATCH;
  msg.acpted_rply.ar_vers.low = LVP_V1;
  msg.acpted_rply.ar_vers.high = LVP_V1;
  append_record (conn, (xdrproc_t)xdr_replymsg, &msg, NULL, NULL);
  flush_now (conn);
  onc_close (conn, -EPROTO, "wrong RPC program or version");
}

static void
handle_call (struct onc_conn *conn, XDR *xdr)
{
  struct rpc_msg msg = { 0 };

  if (!xdr_callmsg (xdr, &msg))
    {
      onc_close (conn, -EBADMSG, "call header cannot be decoded");
      return;
    }
  if (msg.rm_call.cb_prog != LVP_PROG || msg.rm_call.cb_vers != LVP_V1)
    {
      reject_version (conn, (uint32_t)msg.rm_xid);
      return;
    }
  conn->handler.call (conn, (uint32_t)msg.rm_xid,
                      (uint32_t)msg.rm_call.cb_proc, xdr, conn->handler.priv);
}

static void
handle_reply (struct onc_conn *conn, XDR *xdr)
{
  struct rpc_msg msg = { 0 };
  struct pending *p;
  uint32_t xid;
  bool accepted;

  msg.acpted_rply.ar_results.proc = (xdrproc_t)(void *)xdr_void;
  if (!xdr_replymsg (xdr, &msg))
    {
      onc_close (conn, -EBADMSG, "reply header cannot be decoded");
      return;
    }
  xid = (uint32_t)msg.rm_xid;
  HASH_FIND_INT (conn->pending, &xid, p);
  if (p == NULL)
    return;
  HASH_DEL (conn->pending, p);
  accepted = msg.rm_reply.rp_stat == MSG_ACCEPTED
             && msg.acpted_rply.ar_stat == SUCCESS;
  p->reply (conn, accepted ? 0 : -EPROTO, accepted ? xdr : NULL, p->priv);
  talloc_free (p);
}

static void
handle_record (struct onc_conn *conn, char *data, uint32_t len)
{
  XDR xdr;
  uint32_t word;

  if (len < 2 * sizeof word)
    {
      onc_close (conn, -EBADMSG, "record shorter than an RPC header");
      return;
    }
  memcpy (&word, data + sizeof word, sizeof word);
  xdrmem_create (&xdr, data, len, XDR_DECODE);
  if (ntohl (word) == CALL)
    handle_call (conn, &xdr);
  else
    handle_reply (conn, &xdr);
}

static void
handle_records (struct onc_conn *conn)
{
  struct buffer *b = &conn->in;

  while (!conn->closed && b->len - b->off >= RECORD_MARK_BYTES)
    {
      uint32_t mark;
      uint32_t len;

      memcpy (&mark, b->data + b->off, RECORD_MARK_BYTES);
      len = ntohl (mark) & ~LAST_FRAGMENT;
      if ((ntohl (mark) & LAST_FRAGMENT) == 0 || len > ONC_RECORD_MAX)
        {
          onc_close (conn, -EMSGSIZE, "fragmented or oversized record");
          return;
        }
      if (b->len - b->off < RECORD_MARK_BYTES + len)
        return;
      handle_record (conn, b->data + b->off + RECORD_MARK_BYTES, len);
      b->off += RECORD_MARK_BYTES + len;
    }
}

static void
read_input (struct onc_conn *conn)
{
  struct buffer *b = &conn->in;
  ssize_t n;

  if (reserve (conn, b, READ_CHUNK) != 0)
    {
      onc_close (conn, -ENOMEM, "out of memory for input");
      return;
    }
  n = recv (conn->fd, b->data + b->len, b->cap - b->len, 0);
  if (n < 0 && errno == EAGAIN)
    return;
  if (n <= 0)
    {
      onc_close (conn, n == 0 ? -ECONNRESET : -errno,
                 n == 0 ? "closed by the peer" : "read failed");
      return;
    }
  b->len += (size_t)n;
  conn->last_received = clk_boot ();
  handle_records (conn);
}

static void
io_cb (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
       void *priv)
{
  struct onc_conn *conn = priv;

  (void)ev;
  (void)fde;
  if ((flags & TEVENT_FD_WRITE) != 0)
    flush_now (conn);
  if (!conn->closed && (flags & TEVENT_FD_READ) != 0)
    read_input (conn);
}

static int
destroy (struct onc_conn *conn)
{
  if (!conn->closed)
    {
      conn->closed = true;
      TALLOC_FREE (conn->fde);
      close (conn->fd);
    }
  return 0;
}

struct onc_conn *
onc_attach (void *mem_ctx, struct tevent_context *ev, int fd, const char *peer,
            const struct onc_handler *handler)
{
  struct onc_conn *conn = xtalloc_zero (mem_ctx, struct onc_conn);

  conn->fd = fd;
  conn->ev = ev;
  conn->handler = *handler;
  conn->flush = xtalloc_check (tevent_create_immediate (conn));
  conn->last_received = clk_boot ();
  strncpy (conn->peer, peer, sizeof conn->peer - 1);
  conn->fde = xtalloc_check (
      tevent_add_fd (ev, conn, fd, TEVENT_FD_READ, io_cb, conn));
  talloc_set_destructor (conn, destroy);
  return conn;
}

const char *
onc_peer (const struct onc_conn *conn)
{
  return conn->peer;
}

uint64_t
onc_last_received (const struct onc_conn *conn)
{
  return conn->last_received;
}

uint64_t
onc_last_sent (const struct onc_conn *conn)
{
  return conn->last_sent;
}

uint64_t
onc_calls_sent (void)
{
  return atomic_load_explicit (&calls_sent, memory_order_relaxed);
}

uint64_t
onc_bytes_sent (void)
{
  return atomic_load_explicit (&bytes_sent, memory_order_relaxed);
}
