#include "web.h"

#include <errno.h>
#include <microhttpd.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "body.h"
#include "lagoonvale/uri.h"
#include "logline.h"
#include "net.h"
#include "tick.h"
#include "xtalloc.h"

/* Connections beyond the limit of the clients: the one that loses its place
   for a new one is closed a moment later.  */
#define CONNECTIONS_SPARE 16U
/* Buffer of one connection in libmicrohttpd, bytes; it holds headers only.  */
#define CONNECTION_BYTES ((size_t)8192)
#define TICK_MS 500

/* WATCHES: epoll instance with the connections of pending requests.  */
struct web_server
{
  struct MHD_Daemon *daemon;
  int watches;
  struct tevent_context *ev;
  struct tevent_immediate *run;
  bool run_scheduled;
  bool keepalive_disabled;
  struct web_limits limits;
  unsigned open_requests;
  web_handler_fn handler;
  void *priv;
};

struct web_connection
{
  struct clt_client client;
  int fd;
};

struct web_request
{
  struct web_server *server;
  struct web_connection *peer;
  struct MHD_Connection *connection;
  bool watched; /* its connection is in the server's @watches */
  char *method;
  char *path;
  struct bdy_body body;
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

/* Stop watching the connection of R.  */
static int
unwatch (struct web_request *r)
{
  if (r->watched)
    epoll_ctl (r->server->watches, EPOLL_CTL_DEL, r->peer->fd, NULL);
  r->watched = false;
  return 0;
}

static void
finish_request (struct web_request *r)
{
  unwatch (r);
  r->finished = true;
  if (!r->suspended)
    return;
  r->suspended = false;
  MHD_resume_connection (r->connection);
  schedule_run (r->server);
}

/* Watch the connection of R, whose request is pending, for its end.  That is
   seen behind bytes that nobody has read yet, such as a pipelined request.  */
static void
watch (struct web_request *r)
{
  struct epoll_event event = { .events = EPOLLRDHUP, .data.ptr = r };

  r->watched
      = epoll_ctl (r->server->watches, EPOLL_CTL_ADD, r->peer->fd, &event)
        == 0;
  if (!r->watched)
    log_line (LOGL_WARN, "client-not-watched", "path=%s code=%d", r->path,
              -errno);
}

static void
caller_gone (struct web_request *r)
{
  if (r->disconnected != NULL)
    r->disconnected (r->disconnected_priv);
  r->disconnected = NULL;
  finish_request (r);
}

/* Whether the caller of R has closed its connection, at least its side.  */
static bool
is_gone (const struct web_request *r)
{
  struct pollfd fd = { .fd = r->peer->fd, .events = POLLRDHUP };

  return poll (&fd, 1, 0) > 0;
}

/* One at a time: the end of a request may end others.  */
static void
watches_cb (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
            void *priv)
{
  struct web_server *s = priv;
  struct epoll_event event;

  (void)ev;
  (void)fde;
  (void)flags;
  while (epoll_wait (s->watches, &event, 1, 0) > 0)
    caller_gone (event.data.ptr);
}

static enum MHD_Result
dispatch (struct web_request *r)
{
  struct web_server *s = r->server;
  struct web_call call;

  r->dispatched = true;
  clt_request_begun (s->limits.clients, &r->peer->client);
  s->open_requests++;
  call.method = r->method;
  call.path = r->path;
  call.body.data = r->body.data;
  call.body.len = r->body.len;
  s->handler (r, &call, s->priv);
  /* What the handler has scheduled has not begun yet.  */
  if (!r->finished && is_gone (r))
    caller_gone (r);
  if (r->finished)
    return MHD_YES;
  watch (r);
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

/* Close the connection of a client that has lost its place: its request ends
   as if the client had left.  */
static void
close_client (struct clt_client *client, const char *why)
{
  const struct web_connection *peer = client->priv;

  log_ratelimited (LOGL_INFO, "client-dropped", "why=%s held=%zu", why,
                   client->held);
  shutdown (peer->fd, SHUT_RDWR);
}

static void
close_for_memory (struct clt_client *victim)
{
  close_client (victim, "memory");
}

/* Let the body of a request take BYTES, at the cost of other clients if need
   be.  Return: whether it may.  */
static bool
reserve (size_t bytes, void *priv)
{
  const struct web_request *r = priv;

  return clt_reserve (r->server->limits.clients, &r->peer->client, bytes,
                      close_for_memory);
}

static void
release (void *priv)
{
  const struct web_request *r = priv;

  clt_release (r->server->limits.clients, &r->peer->client);
}

static struct bdy_budget
budget_of (struct web_request *r)
{
  struct bdy_budget budget
      = { r->server->limits.body_max, reserve, release, r };

  return budget;
}

void
web_release_body (struct web_request *r)
{
  const struct bdy_budget budget = budget_of (r);

  bdy_free (&r->body, &budget);
}

static void
drop_sender (struct web_request *r, const char *why)
{
  struct clt_client *client = &r->peer->client;

  if (!client->dropped)
    close_client (client, why);
  clt_drop (r->server->limits.clients, client);
  web_release_body (r);
}

static void
append_body (struct web_request *r, const char *data, size_t len)
{
  const struct bdy_budget budget = budget_of (r);
  int rc;

  if (r->peer->client.dropped)
    return;
  rc = bdy_append (&r->body, &budget, data, len);
  if (rc != 0)
    drop_sender (r, rc == -EFBIG ? "body-too-long" : "no-memory");
}

static void
refuse_too_long (struct web_request *r)
{
  static const char too_long[] = "body too long\n";

  web_answer (r, MHD_HTTP_CONTENT_TOO_LARGE, "text/plain",
              lv_slice_of (too_long), 0);
}

static struct web_request *
new_request (struct web_server *s, struct MHD_Connection *connection,
             const char *method, const char *url)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  struct web_request *r = xtalloc_zero (s, struct web_request);

  r->server = s;
  r->connection = connection;
  r->peer = info->socket_context;
  r->method = xtalloc_strdup (r, method);
  r->path = uri_path (r, lv_slice_of (url));
  talloc_set_destructor (r, unwatch);
  return r;
}

static enum MHD_Result
handle (void *priv, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *data,
        size_t *data_size, void **request)
{
  struct web_request *r = *request;

  (void)version;
  if (r == NULL)
    {
      r = *request = new_request (priv, connection, method, url);
      if (!bdy_announces_too_much (web_header (r, "Content-Length"),
                                   r->server->limits.body_max))
        return MHD_YES;
      refuse_too_long (r);
      return send_response (r);
    }
  if (r->peer->client.dropped)
    return MHD_NO;
  if (*data_size > 0)
    {
      append_body (r, data, *data_size);
      *data_size = 0;
      return MHD_YES;
    }
  if (r->body.too_long && !r->finished)
    refuse_too_long (r);
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
  web_release_body (r);
  clt_request_ended (r->server->limits.clients, &r->peer->client);
  talloc_free (r);
  *request = NULL;
}

/* Leaves percent-encoded bytes as they are, for uri_path().  */
static size_t
keep_encoded (void *priv, struct MHD_Connection *connection, char *text)
{
  (void)priv;
  (void)connection;
  return strlen (text);
}

static void
connected (struct web_server *s, struct MHD_Connection *connection,
           void **context)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  struct web_connection *peer = xtalloc_zero (s, struct web_connection);
  struct clt_client *victim;

  peer->fd = info->connect_fd;
  peer->client.priv = peer;
  *context = peer;
  victim = clt_join (s->limits.clients, &peer->client);
  if (victim != NULL)
    close_client (victim, "place");
}

static void
notify_connection (void *priv, struct MHD_Connection *connection,
                   void **context, enum MHD_ConnectionNotificationCode code)
{
  struct web_server *s = priv;
  struct web_connection *peer = *context;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      connected (s, connection, context);
      return;
    }
  clt_leave (s->limits.clients, &peer->client);
  talloc_free (peer);
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

void
web_set_body_max (struct web_server *s, size_t body_max)
{
  s->limits.body_max = body_max;
}

/* Return: 0 or -errno.  */
static int
watch_clients (struct web_server *s)
{
  struct tevent_fd *fde;

  s->watches = epoll_create1 (EPOLL_CLOEXEC);
  if (s->watches < 0)
    return -errno;
  fde = xtalloc_check (
      tevent_add_fd (s->ev, s, s->watches, TEVENT_FD_READ, watches_cb, s));
  tevent_fd_set_auto_close (fde);
  return 0;
}

struct web_server *
web_listen (void *mem_ctx, struct tevent_context *ev, const char *listen,
            const struct web_limits *limits, web_handler_fn handler,
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
  s->limits = *limits;
  s->run = xtalloc_check (tevent_create_immediate (s));
  s->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, handle, s,
      MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
      limits->clients->connections_max + CONNECTIONS_SPARE,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_BYTES,
      MHD_OPTION_CONNECTION_TIMEOUT, limits->idle_s,
      MHD_OPTION_NOTIFY_COMPLETED, completed, NULL,
      MHD_OPTION_NOTIFY_CONNECTION, notify_connection, s,
      MHD_OPTION_UNESCAPE_CALLBACK, keep_encoded, NULL, MHD_OPTION_END);
  if (s->daemon == NULL)
    {
      close (fd);
      talloc_free (s);
      return NULL;
    }
  *rc = watch_clients (s);
  if (*rc != 0)
    {
      MHD_stop_daemon (s->daemon);
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
                const struct web_limits *limits, struct err_error *err)
{
  unsigned i;

  for (i = 0; i < count; i++)
    {
      const struct web_endpoint *e = &endpoints[i];
      int rc;
      struct web_server *server = web_listen (mem_ctx, ev, e->address, limits,
                                              e->handler, e->priv, &rc);

      if (server == NULL)
        return err_set (err, rc, e->step, e->address, "cannot listen: %s",
                        strerror (-rc));
      if (e->server != NULL)
        *e->server = server;
    }
  return 0;
}
