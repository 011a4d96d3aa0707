#include "webstat.h"

#include <errno.h>
#include <microhttpd.h>
#include <string.h>
#include <talloc.h>

#include "net.h"

static enum MHD_Result
answer (struct MHD_Connection *connection, unsigned status, const char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result = MHD_queue_response (connection, status, response);

  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
handle (void *priv, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *data,
        size_t *data_size, void **request)
{
  struct wst_server *s = priv;
  enum MHD_Result result;
  char *text;

  (void)version;
  (void)data;
  (void)data_size;
  (void)request;
  if (strcmp (method, "GET") != 0)
    return answer (connection, MHD_HTTP_METHOD_NOT_ALLOWED, "GET only\n");
  if (strcmp (url, "/healthz") == 0)
    return answer (connection, MHD_HTTP_OK, "ok\n");
  if (strcmp (url, "/readyz") == 0)
    return atomic_load (&s->ready)
               ? answer (connection, MHD_HTTP_OK, "ready\n")
               : answer (connection, MHD_HTTP_SERVICE_UNAVAILABLE,
                         "not ready\n");
  if (strcmp (url, "/metrics") != 0)
    return answer (connection, MHD_HTTP_NOT_FOUND, "not found\n");
  text = ctr_format (NULL, s->counters);
  result = answer (connection, MHD_HTTP_OK, text);
  talloc_free (text);
  return result;
}

int
wst_init (struct wst_server *s, const char *listen,
          const struct ctr_set *counters)
{
  int fd = net_listen (listen);

  if (fd < 0)
    return fd;
  s->counters = counters;
  atomic_init (&s->ready, false);
  s->daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, handle, s,
      MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_TIMEOUT, 30U,
      MHD_OPTION_CONNECTION_LIMIT, 64U, MHD_OPTION_END);
  return s->daemon != NULL ? 0 : -EIO;
}

void
wst_finish (struct wst_server *s)
{
  if (s->daemon != NULL)
    MHD_stop_daemon (s->daemon);
}

void
wst_handle (struct web_request *r, const struct web_call *call, void *priv)
{
  const struct wst_metrics *m = priv;
  char *text;

  if (strcmp (call->path, "/metrics") != 0)
    {
      web_answer (r, MHD_HTTP_NOT_FOUND, "text/plain",
                  lv_slice_of ("not found\n"), 0);
      return;
    }
  text = hst_append (ctr_format (NULL, m->counters), m->times);
  web_answer (r, MHD_HTTP_OK, "text/plain; version=0.0.4", lv_slice_of (text),
              0);
  talloc_free (text);
}
