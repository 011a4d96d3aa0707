/**
 * DOC: onc
 *
 * ONC RPC over non-blocking TCP under tevent.  Both ends may call; a reply is
 * matched to its call by xid, never by order.  Output is buffered and written
 * once per iteration of the event loop.
 */
#ifndef LV_ONC_H
#define LV_ONC_H

#include <rpc/rpc.h>
#include <stdint.h>
#include <tevent.h>

#include "error.h"

/** Longest record sent or accepted, in bytes. */
#define ONC_RECORD_MAX (4U << 20)

struct onc_conn;

/**
 * typedef onc_reply_fn - completion of one call
 * @conn: connection of the call
 * @err: 0, or a negative error number: no reply will come
 * @res: decoder positioned at the results; NULL on error
 * @priv: as given to onc_call()
 */
typedef void (*onc_reply_fn) (struct onc_conn *conn, int err, XDR *res,
                              void *priv);

/**
 * struct onc_handler - callbacks of a connection
 * @call: a call has arrived; reply with onc_reply(), now or later
 * @closed: the connection is closed; its pending calls have already failed
 * @priv: passed to both callbacks
 */
struct onc_handler
{
  void (*call) (struct onc_conn *conn, uint32_t xid, uint32_t proc, XDR *args,
                void *priv);
  void (*closed) (struct onc_conn *conn, const struct err_error *err,
                  void *priv);
  void *priv;
};

/**
 * onc_attach() - run RPC over a connected or connecting socket
 * @mem_ctx: talloc parent
 * @ev: event loop
 * @fd: socket; the connection takes ownership
 * @peer: name of the peer for errors
 * @handler: copied
 */
struct onc_conn *onc_attach (void *mem_ctx, struct tevent_context *ev, int fd,
                             const char *peer,
                             const struct onc_handler *handler);

/**
 * onc_call() - send a call
 * @reply: called once; NULL to ignore the reply
 *
 * Return: 0, or a negative error number, in which case @reply is not called.
 */
int onc_call (struct onc_conn *conn, uint32_t proc, xdrproc_t encode,
              const void *args, onc_reply_fn reply, void *priv);

/** onc_reply() - send the reply to the call @xid. */
int onc_reply (struct onc_conn *conn, uint32_t xid, xdrproc_t encode,
               const void *res);

/** onc_close() - close now: pending calls fail and @closed is called. */
void onc_close (struct onc_conn *conn, int code, const char *why);

/** onc_peer() - name of the peer. */
const char *onc_peer (const struct onc_conn *conn);

/** onc_last_received() - time of the last input by clk_boot(), ns. */
uint64_t onc_last_received (const struct onc_conn *conn);

/** onc_last_sent() - time of the last output by clk_boot(), ns. */
uint64_t onc_last_sent (const struct onc_conn *conn);

/** onc_calls_sent() - calls sent by this process on all connections. */
uint64_t onc_calls_sent (void);

/** onc_bytes_sent() - bytes sent by this process on all connections. */
uint64_t onc_bytes_sent (void);

#endif
