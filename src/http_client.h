/**
 * DOC: http_client
 *
 * HTTP client on libcurl's multi interface under tevent.
 */
#ifndef LV_HTTP_CLIENT_H
#define LV_HTTP_CLIENT_H

#include <errno.h>
#include <stdbool.h>
#include <tevent.h>

#include "lagoonvale/slice.h"

/** Least progress that restarts a stall timeout, bytes: a peer that sends
 * single bytes does not keep a request open. */
#define HCL_PROGRESS_BYTES 4096

struct hcl_client;
struct hcl_request;

/**
 * typedef hcl_done_fn - completion of a request
 * @err: 0, or a negative error number if no complete response arrived
 * @status: HTTP status
 * @body: borrowed until the callback returns
 * @priv: as given to hcl_send()
 *
 * -ECONNREFUSED: the peer refused the connection; -ENOTCONN: there was none
 * for another reason.
 */
typedef void (*hcl_done_fn) (int err, long status, struct lv_slice body,
                             void *priv);

/** hcl_never_sent() - whether @err means that the request was never sent. */
static inline bool
hcl_never_sent (int err)
{
  return err == -ECONNREFUSED || err == -ENOTCONN;
}

/** hcl_new() - client on event loop @ev with at most @connections per host. */
struct hcl_client *hcl_new (void *mem_ctx, struct tevent_context *ev,
                            long connections);

/**
 * hcl_send() - start a request
 * @client: client
 * @method: "GET", "POST", or "ONCE": a POST on a new connection, since
 * libcurl silently repeats a request when a reused connection turns out dead
 * @url: complete URL, with an IP address as host
 * @body: copied; empty for none
 * @timeout_ms: total timeout, 0 for none
 * @done: called once, unless the request is cancelled; may be NULL
 * @priv: for @done
 *
 * Return: the request, valid until @done is called, or NULL if out of memory.
 */
struct hcl_request *hcl_send (struct hcl_client *client, const char *method,
                              const char *url, struct lv_slice body,
                              long timeout_ms, hcl_done_fn done, void *priv);

/**
 * hcl_set_stall_timeout() - time out by lack of progress, not by total time
 * @stall_ms: the request fails with -ETIMEDOUT once it has received less than
 * HCL_PROGRESS_BYTES in this time
 *
 * Replaces the total timeout: a large answer may take any time on a slow link.
 */
void hcl_set_stall_timeout (struct hcl_request *request, long stall_ms);

/**
 * hcl_forbid_repeat() - send a request that was created just now only once
 *
 * libcurl sends a request again if a connection that was used before ends
 * without an answer; such a request fails with -EIO instead, or with
 * -ECONNREFUSED if the peer refuses the new connection.  It may have been
 * executed in both cases.
 */
void hcl_forbid_repeat (struct hcl_request *request);

/** hcl_use_new_connection() - send @request, just created, on a connection of
 * its own: those that are open may have gone silent. */
void hcl_use_new_connection (struct hcl_request *request);

/** hcl_add_header() - add a header line, "NAME: VALUE", to a request that was
 * created just now. */
void hcl_add_header (struct hcl_request *request, const char *line);

/**
 * hcl_set_rate() - limit the rate at which the response is received
 * @bytes_per_s: 0 for no limit
 *
 * The rate is that of reads from the socket; together with the small receive
 * buffer of hcl_limit_buffers() it bounds what the peer sends.
 */
void hcl_set_rate (struct hcl_request *request, uint64_t bytes_per_s);

/** hcl_limit_buffers() - use a small receive buffer on new connections, so
 * that large responses do not delay other data on the same link. */
void hcl_limit_buffers (struct hcl_client *client);

/** hcl_received() - bytes of the response received so far. */
size_t hcl_received (const struct hcl_request *request);

/** hcl_process_timeouts() - process expired timeouts; call it periodically,
 * since timers of tevent stall when the time of day is set back.  */
void hcl_process_timeouts (struct hcl_client *client);

/** hcl_cancel() - abort a request; @done is not called. */
void hcl_cancel (struct hcl_request *request);

#endif
