/**
 * DOC: web
 *
 * HTTP server on libmicrohttpd that runs inside a tevent loop, without a
 * thread of its own.  A request may be answered at once or later; a callback
 * reports that the caller disconnected first.
 */
#ifndef LV_WEB_H
#define LV_WEB_H

#include <stdbool.h>
#include <tevent.h>

#include "error.h"
#include "lagoonvale/clients.h"
#include "lagoonvale/slice.h"

struct web_server;
struct web_request;

/**
 * struct web_call - method, path and body of a request; borrowed until the
 * answer
 * @method: "GET", "POST", ...
 * @path: in normal form (uri.h), without the query
 * @body: complete body, until web_release_body()
 */
struct web_call
{
  const char *method;
  const char *path;
  struct lv_slice body;
};

/**
 * typedef web_handler_fn - a complete request has arrived
 * @r: answer it with web_answer(), now or later
 */
typedef void (*web_handler_fn) (struct web_request *r,
                                const struct web_call *call, void *priv);

/**
 * struct web_limits - what a server may hold
 * @body_max: longest body accepted, bytes; a longer one is answered with 413
 * @idle_s: timeout of idle connections, seconds
 * @clients: connections and bodies of all servers of the process; borrowed
 */
struct web_limits
{
  size_t body_max;
  unsigned idle_s;
  struct clt_clients *clients;
};

/**
 * web_listen() - serve HTTP on "IP:PORT"
 * @mem_ctx: talloc parent of the server
 * @rc: set to a negative error number if NULL is returned
 */
struct web_server *web_listen (void *mem_ctx, struct tevent_context *ev,
                               const char *listen,
                               const struct web_limits *limits,
                               web_handler_fn handler, void *priv, int *rc);

/**
 * struct web_endpoint - an address to serve
 * @step: static name, for errors
 * @address: "IP:PORT"
 * @server: set to its server, unless NULL
 */
struct web_endpoint
{
  const char *step;
  const char *address;
  web_handler_fn handler;
  void *priv;
  struct web_server **server;
};

/**
 * web_listen_all() - serve HTTP on each of @endpoints, as web_listen() does
 * Return: 0, or a negative error number with step and address in @err.
 */
int web_listen_all (void *mem_ctx, struct tevent_context *ev,
                    const struct web_endpoint *endpoints, unsigned count,
                    const struct web_limits *limits, struct err_error *err);

/** web_set_body_max() - change the longest body accepted, bytes. */
void web_set_body_max (struct web_server *s, size_t body_max);

/** web_disable_keepalive() - close each connection after its next answer. */
void web_disable_keepalive (struct web_server *s);

/** web_release_body() - free the body of a request: it is not needed until the
 * answer. */
void web_release_body (struct web_request *r);

/** web_open_requests() - requests whose answer has not been sent yet. */
unsigned web_open_requests (const struct web_server *s);

/** web_header() - value of a request header, or NULL. */
const char *web_header (const struct web_request *r, const char *name);

/**
 * web_on_disconnect() - set the callback for an early disconnect
 * @disconnected: called if the caller disconnects before the answer; must not
 * answer, and the request is invalid when it returns
 */
void web_on_disconnect (struct web_request *r,
                        void (*disconnected) (void *priv), void *priv);

/**
 * web_answer() - answer a request, which is invalid afterwards
 * @type: content type
 * @retry_after_s: for the header Retry-After, 0 for none
 */
void web_answer (struct web_request *r, unsigned status, const char *type,
                 struct lv_slice body, unsigned retry_after_s);

#endif
