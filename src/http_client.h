/**
 * DOC: http_client
 *
 * HTTP requests by libcurl's multi interface under tevent.
 */
#ifndef LV_HTTP_CLIENT_H
#define LV_HTTP_CLIENT_H

#include <tevent.h>

#include "lagoonvale/slice.h"

struct hcl_client;
struct hcl_request;

/**
 * typedef hcl_done_fn - the end of a request
 * @err: 0, or a negative error number if no whole answer came
 * @status: HTTP status
 * @body: borrowed until the callback returns
 * @priv: as given to hcl_send()
 *
 * A request that was never put on a connection ends with -ECONNREFUSED.
 */
typedef void (*hcl_done_fn) (int err, long status, struct lv_slice body,
                             void *priv);

/** hcl_new() - client on loop @ev with at most @connections to one host. */
struct hcl_client *hcl_new (void *mem_ctx, struct tevent_context *ev,
                            long connections);

/**
 * hcl_send() - start a request
 * @client: client
 * @method: "GET", "POST", or "ONCE": a POST on a connection of its own, since
 * libcurl silently repeats a request when a reused connection proves dead
 * @url: whole URL, by IP number
 * @body: copied; empty for none
 * @timeout_ms: whole time allowed, 0 for none
 * @done: called once, unless the request is cancelled; may be NULL
 * @priv: for @done
 *
 * Return: the request, valid until @done is called, or NULL without memory.
 */
struct hcl_request *hcl_send (struct hcl_client *client, const char *method,
                              const char *url, struct lv_slice body,
                              long timeout_ms, hcl_done_fn done, void *priv);

/** hcl_tick() - let time-outs take effect although the time of day was set
 * back; called now and then.  */
void hcl_tick (struct hcl_client *client);

/** hcl_cancel() - drop a request; @done is not called. */
void hcl_cancel (struct hcl_request *request);

#endif
