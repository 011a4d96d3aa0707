#include "web.h"

#include <errno.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <talloc.h>

#include "net.h"
#include "tick.h"
#include "xtalloc.h"

#define CONNECTION_LIMIT 3500U
/* Buffer of one connection in libmicrohttpd, bytes; it holds headers only.  */
#define CONNECTION_BYTES ((size_t)8192)
#define TICK_MS 500

struct web_server
{
  struct MHD_Daemon *daemon;
  struct tevent_context *ev;
  struct tevent_immediate *run;
  bool run_scheduled;
  bool keepalive_disabled;
  size_t body_max;
  unsigned open_requests;
  web_handler_fn handler;
  void *priv;
};

struct web_request
{
  struct web_server *server;
  struct MHD_Connection *connection;
  struct tevent_fd *watch;
  char *method;
  char *path;
  char *body;
  size_t len;
  bool too_long;
  bool dispatched; /* passed to the handler */
  bool suspended;
  bool finished; /* the response is ready or the caller disconnected */
  struct MHD_Response *response;
  unsigned status;
  void (*disconnected) (void *priv);
  void *disconnected_priv;
};

static void run_now (struct web_server *s);

static void
run_cb (struct tevent_context *ev, struct tevent_immediate *im, void *priv)
{
  struct web_server *s = priv;

  (void)ev;
  (void)im;
  s->run_scheduled = false;
  run_now (s);
}

static void
schedule_run (struct web_server *s)
{
  if (s->run_scheduled)
    return;
  s->run_scheduled = true;
  tevent_schedule_immediate (s->run, s->ev, run_cb, s);
}

static void
run_now (struct web_server *s)
{
  MHD_UNSIGNED_LONG_LONG timeout_ms;

  MHD_run (s->daemon);
  if (MHD_get_timeout (s->daemon, &timeout_ms) == MHD_YES && timeout_ms == 0)
    schedule_run (s);
}

static void
ready_cb (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
          void *priv)
{
  (void)ev;
  (void)fde;
  (void)flags;
  run_now (priv);
}

static void
tick (void *priv)
{
  run_now (priv);
}

static void
finish_request (struct web_request *r)
{
  TALLOC_FREE (r->watch);
  r->finished = true;
  if (!r->suspended)
    return;
  r->suspended = false;
  MHD_resume_connection (r->connection);
  schedule_run (r->server);
}

/* The caller's socket is readable while its request is pending: it has closed
   the connection or pipelines its next request.  */
static void
watch_cb (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
          void *priv)
{
  struct web_request *r = priv;
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      r->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  char byte;
  ssize_t n = recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  (void)ev;
  (void)fde;
  (void)flags;
  if (n > 0 || (n < 0 && errno == EAGAIN))
    {
      if (n > 0)
        TALLOC_FREE (r->watch);
      return;
    }
  if (r->disconnected != NULL)
    r->disconnected (r->disconnected_priv);
  r->disconnected = NULL;
  finish_request (r);
}

static enum MHD_Result
dispatch (struct web_request *r)
{
  struct web_server *s = r->server;
  struct web_call call;
  const union MHD_ConnectionInfo *info;

  r->dispatched = true;
  s->open_requests++;
  call.method = r->method;
  call.path = r->path;
  call.body.data = r->body;
  call.body.len = r->len;
  s->handler (r, &call, s->priv);
  if (r->finished)
    return MHD_YES;
  info = MHD_get_connection_info (r->connection,
                                  MHD_CONNECTION_INFO_CONNECTION_FD);
  r->watch = xtalloc_check (
      tevent_add_fd (s->ev, r, info->connect_fd, TEVENT_FD_READ, watch_cb, r));
  r->suspended = true;
  MHD_suspend_connection (r->connection);
  return MHD_YES;
}

static struct MHD_Response *
make_response (const struct web_request *r, const char *type,
               struct lv_slice body, unsigned retry_after_s)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      body.len, (void *)body.data, MHD_RESPMEM_MUST_COPY);
  char text[16];

  MHD_add_response_header (response, "Content-Type", type);
  if (r->server->keepalive_disabled)
    MHD_add_response_header (response, "Connection", "close");
  if (retry_after_s > 0)
    {
      snprintf (text, sizeof text, "%u", retry_after_s);
      MHD_add_response_header (response, "Retry-After", text);
    }
  return response;
}

void
web_answer (struct web_request *r, unsigned status, const char *type,
            struct lv_slice body, unsigned retry_after_s)
{
  r->status = status;
  r->response = make_response (r, type, body, retry_after_s);
  r->disconnected = NULL;
  finish_request (r);
}

static enum MHD_Result
send_response (struct web_request *r)
{
  enum MHD_Result result;

  if (r->response == NULL)
    return MHD_NO;
  result = MHD_queue_response (r->connection, r->status, r->response);
  MHD_destroy_response (r->response);
  r->response = NULL;
  return result;
}

static void
append_body (struct web_request *r, const char *data, size_t len)
{
  char *grown = NULL;

  if (len == 0)
    return;
  if (r->len + len <= r->server->body_max)
    grown = talloc_realloc_size (r, r->body, r->len + len);
  if (grown == NULL)
    {
      r->too_long = true;
      return;
    }
  memcpy (grown + r->len, data, len);
  r->body = grown;
  r->len += len;
}

static enum MHD_Result
handle (void *priv, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *data,
        size_t *data_size, void **request)
{
  struct web_request *r = *request;
  static const char too_long[] = "body too long\n";

  (void)version;
  if (r == NULL)
    {
      r = talloc_zero (priv, struct web_request);
      r->server = priv;
      r->connection = connection;
      r->method = xtalloc_strdup (r, method);
      r->path = xtalloc_strdup (r, url);
      *request = r;
      return MHD_YES;
    }
  if (*data_size > 0)
    {
      append_body (r, data, *data_size);
      *data_size = 0;
      return MHD_YES;
    }
  if (r->too_long && !r->finished)
    web_answer (r, MHD_HTTP_CONTENT_TOO_LARGE, "text/plain",
                lv_slice_of (too_long), 0);
  if (!r->dispatched && !r->finished && dispatch (r) != MHD_YES)
    return MHD_NO;
  return r->finished ? send_response (r) : MHD_YES;
}

static void
completed (void *priv, struct MHD_Connection *connection, void **request,
           enum MHD_RequestTerminationCode code)
{
  struct web_request *r = *request;

  (void)priv;
  (void)connection;
  (void)code;
  if (r == NULL)
    return;
  if (r->dispatched)
    r->server->open_requests--;
  if (r->disconnected != NULL)
    r->disconnected (r->disconnected_priv);
  if (r->response != NULL)
    MHD_destroy_response (r->response);
  talloc_free (r);
  *request = NULL;
}

const char *
web_header (const struct web_request *r, const char *name)
{
  return MHD_lookup_connection_value (r->connection, MHD_HEADER_KIND, name);
}

void
web_on_disconnect (struct web_request *r, void (*disconnected) (void *priv),
                   void *priv)
{
  r->disconnected = disconnected;
  r->disconnected_priv = priv;
}

void
web_disable_keepalive (struct web_server *s)
{
  s->keepalive_disabled = true;
}

unsigned
web_open_requests (const struct web_server *s)
{
  return s->open_requests;
}

struct web_server *
web_listen (void *mem_ctx, struct tevent_context *ev, const char *listen,
            size_t body_max, unsigned idle_s, web_handler_fn handler,
            void *priv, int *rc)
{
  struct web_server *s = xtalloc_zero (mem_ctx, struct web_server);
  const union MHD_DaemonInfo *info;
  int fd = net_listen (listen);

  *rc = fd < 0 ? fd : -EIO;
  if (fd < 0)
    return NULL;
  s->ev = ev;
  s->handler = handler;
  s->priv = priv;
  s->body_max = body_max;
  s->run = xtalloc_check (tevent_create_immediate (s));
  s->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, handle, s,
      MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
      CONNECTION_LIMIT, MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_BYTES,
      MHD_OPTION_CONNECTION_TIMEOUT, idle_s, MHD_OPTION_NOTIFY_COMPLETED,
      completed, NULL, MHD_OPTION_END);
  if (s->daemon == NULL)
    {
      close (fd);
      talloc_free (s);
      return NULL;
    }
  info = MHD_get_daemon_info (s->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  xtalloc_check (
      tevent_add_fd (ev, s, info->epoll_fd, TEVENT_FD_READ, ready_cb, s));
  *rc = tck_start (s, ev, TICK_MS, tick, s);
  if (*rc != 0)
    {
      MHD_stop_daemon (s->daemon);
      talloc_free (s);
      return NULL;
    }
  run_now (s);
  return s;
}

int
web_listen_all (void *mem_ctx, struct tevent_context *ev,
                const struct web_endpoint *endpoints, unsigned count,
                size_t body_max, unsigned idle_s, struct err_error *err)
{
  unsigned i;

  for (i = 0; i < count; i++)
    {
      const struct web_endpoint *e = &endpoints[i];
      int rc;
      struct web_server *server = web_listen (
          mem_ctx, ev, e->address, body_max, idle_s, e->handler, e->priv, &rc);

      if (server == NULL)
        return err_set (err, rc, e->step, e->address, "cannot listen: %s",
                        strerror (-rc));
      if (e->server != NULL)
        *e->server = server;
    }
  return 0;
}
