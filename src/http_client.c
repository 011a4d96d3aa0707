#include "http_client.h"

#include <curl/curl.h>
#include <errno.h>
#include <stdint.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "logline.h"
#include "xtalloc.h"

#define CONNECT_TIMEOUT_MS 1000L
/* Receive buffer for hcl_limit_buffers(), bytes.  */
#define SMALL_BUFFER 16384

struct hcl_client
{
  CURLM *multi;
  struct tevent_context *ev;
  struct tevent_timer *timer;
  bool small_buffers;
  struct hcl_request *watched; /* requests with a stall timeout */
};

/* STALL_NS: 0 without a stall timeout.  MARKED_LEN: response received at
   MARKED_NS.  */
struct hcl_request
{
  struct hcl_client *client;
  CURL *easy;
  struct curl_slist *headers;
  char *body;
  char *response;
  size_t response_len;
  hcl_done_fn done;
  void *priv;
  unsigned sendings; /* of a request that must not be repeated */
  uint64_t stall_ns;
  uint64_t marked_ns;
  size_t marked_len;
  struct hcl_request *prev;
  struct hcl_request *next;
};

struct socket_watch
{
  struct hcl_client *client;
  curl_socket_t fd;
  struct tevent_fd *fde;
};

/* Only a refusal by the peer shows that nothing listens there: a connection
   also fails without one, for want of descriptors or ports for example.  */
static int
map_curl_code (CURL *easy, CURLcode code)
{
  long os_error = 0;

  if (code == CURLE_OK)
    return 0;
  if (code == CURLE_OPERATION_TIMEDOUT)
    return -ETIMEDOUT;
  curl_easy_getinfo (easy, CURLINFO_OS_ERRNO, &os_error);
  if (code != CURLE_COULDNT_CONNECT)
    return -EIO;
  return os_error == ECONNREFUSED ? -ECONNREFUSED : -ENOTCONN;
}

static void
finish_requests (struct hcl_client *client)
{
  CURLMsg *msg;
  int left;

  while ((msg = curl_multi_info_read (client->multi, &left)) != NULL)
    {
      struct hcl_request *r;
      long status = 0;
      int err;
      struct lv_slice body;

      if (msg->msg != CURLMSG_DONE)
        continue;
      err = map_curl_code (msg->easy_handle, msg->data.result);
      curl_easy_getinfo (msg->easy_handle, CURLINFO_PRIVATE, (char **)&r);
      curl_easy_getinfo (msg->easy_handle, CURLINFO_RESPONSE_CODE, &status);
      body.data = r->response;
      body.len = r->response_len;
      if (r->done != NULL)
        r->done (err, status, body, r->priv);
      talloc_free (r);
    }
}

static void
socket_cb (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
           void *priv)
{
  struct socket_watch *w = priv;
  struct hcl_client *client = w->client;
  int mask = ((flags & TEVENT_FD_READ) != 0 ? CURL_CSELECT_IN : 0)
             | ((flags & TEVENT_FD_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
  int running;

  (void)ev;
  (void)fde;
  curl_multi_socket_action (client->multi, w->fd, mask, &running);
  finish_requests (client);
}

static int
watch_cb (CURL *easy, curl_socket_t fd, int what, void *priv, void *sockpriv)
{
  struct hcl_client *client = priv;
  struct socket_watch *w = sockpriv;
  uint16_t flags = 0;

  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      talloc_free (w);
      return 0;
    }
  if (w == NULL)
    {
      w = xtalloc_zero (client, struct socket_watch);
      w->client = client;
      w->fd = fd;
      w->fde
          = xtalloc_check (tevent_add_fd (client->ev, w, fd, 0, socket_cb, w));
      curl_multi_assign (client->multi, fd, w);
    }
  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
    flags |= TEVENT_FD_READ;
  /* tevent reports a failed connect only to those who wait for reading.  */
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
    flags |= TEVENT_FD_READ | TEVENT_FD_WRITE;
  tevent_fd_set_flags (w->fde, flags);
  return 0;
}

static void
timeout_cb (struct tevent_context *ev, struct tevent_timer *te,
            struct timeval now, void *priv)
{
  struct hcl_client *client = priv;
  int running;

  (void)ev;
  (void)te;
  (void)now;
  client->timer = NULL;
  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  finish_requests (client);
}

/* Fail R without a complete response.  */
static void
fail_request (struct hcl_request *r, int err)
{
  struct lv_slice none = { NULL, 0 };

  if (r->done != NULL)
    r->done (err, 0, none, r->priv);
  talloc_free (r);
}

static bool
has_stalled (struct hcl_request *r, uint64_t now_ns)
{
  if (r->response_len >= r->marked_len + HCL_PROGRESS_BYTES)
    {
      r->marked_len = r->response_len;
      r->marked_ns = now_ns;
    }
  return clk_since (now_ns, r->marked_ns) >= r->stall_ns;
}

static struct hcl_request *
find_stalled (const struct hcl_client *client, uint64_t now_ns)
{
  struct hcl_request *r;

  DL_FOREACH (client->watched, r)
  if (has_stalled (r, now_ns))
    return r;
  return NULL;
}

void
hcl_set_stall_timeout (struct hcl_request *r, long stall_ms)
{
  r->stall_ns = (uint64_t)stall_ms * CLK_MS;
  r->marked_ns = clk_boot ();
  curl_easy_setopt (r->easy, CURLOPT_TIMEOUT_MS, 0L);
  DL_APPEND (r->client->watched, r);
}

void
hcl_process_timeouts (struct hcl_client *client)
{
  struct hcl_request *r;
  int running;

  while ((r = find_stalled (client, clk_boot ())) != NULL)
    fail_request (r, -ETIMEDOUT);
  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  finish_requests (client);
}

static int
timer_cb (CURLM *multi, long timeout_ms, void *priv)
{
  struct hcl_client *client = priv;

  (void)multi;
  TALLOC_FREE (client->timer);
  if (timeout_ms >= 0)
    client->timer = xtalloc_check (tevent_add_timer (
        client->ev, client,
        tevent_timeval_current_ofs ((uint32_t)(timeout_ms / 1000),
                                    (uint32_t)(timeout_ms % 1000) * 1000),
        timeout_cb, client));
  return 0;
}

static int
destroy_client (struct hcl_client *client)
{
  curl_multi_cleanup (client->multi);
  return 0;
}

struct hcl_client *
hcl_new (void *mem_ctx, struct tevent_context *ev, long connections)
{
  struct hcl_client *client = xtalloc_zero (mem_ctx, struct hcl_client);

  client->ev = ev;
  client->multi = curl_multi_init ();
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, watch_cb);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, timer_cb);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                     connections);
  /* The default would keep four connections for each request in flight.  */
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, connections);
  talloc_set_destructor (client, destroy_client);
  return client;
}

static size_t
receive_body (char *data, size_t size, size_t n, void *priv)
{
  struct hcl_request *r = priv;
  size_t len = size * n;
  char *grown
      = talloc_realloc_size (r, r->response, r->response_len + len + 1);

  if (grown == NULL)
    return 0;
  memcpy (grown + r->response_len, data, len);
  r->response = grown;
  r->response_len += len;
  r->response[r->response_len] = '\0';
  return len;
}

static int
set_socket_options (void *priv, curl_socket_t fd, curlsocktype purpose)
{
  int size = SMALL_BUFFER;

  (void)priv;
  (void)purpose;
  /* A larger buffer only delays other data: not worth a failure.  */
  if (setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size) != 0)
    log_ratelimited (LOGL_WARN, "receive-buffer", "code=%d", -errno);
  return CURL_SOCKOPT_OK;
}

void
hcl_limit_buffers (struct hcl_client *client)
{
  client->small_buffers = true;
}

/* Called each time before a request is sent.  */
static int
count_sending (void *priv, char *peer_ip, char *own_ip, int peer_port,
               int own_port)
{
  struct hcl_request *r = priv;

  (void)peer_ip;
  (void)own_ip;
  (void)peer_port;
  (void)own_port;
  return ++r->sendings > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

void
hcl_forbid_repeat (struct hcl_request *r)
{
  curl_easy_setopt (r->easy, CURLOPT_PREREQFUNCTION, count_sending);
  curl_easy_setopt (r->easy, CURLOPT_PREREQDATA, r);
}

void
hcl_use_new_connection (struct hcl_request *r)
{
  curl_easy_setopt (r->easy, CURLOPT_FRESH_CONNECT, 1L);
}

void
hcl_add_header (struct hcl_request *r, const char *line)
{
  r->headers = curl_slist_append (r->headers, line);
  curl_easy_setopt (r->easy, CURLOPT_HTTPHEADER, r->headers);
}

void
hcl_set_rate (struct hcl_request *r, uint64_t bytes_per_s)
{
  curl_easy_setopt (r->easy, CURLOPT_MAX_RECV_SPEED_LARGE,
                    (curl_off_t)bytes_per_s);
}

size_t
hcl_received (const struct hcl_request *r)
{
  return r->response_len;
}

static int
destroy_request (struct hcl_request *r)
{
  if (r->stall_ns != 0)
    DL_DELETE (r->client->watched, r);
  curl_multi_remove_handle (r->client->multi, r->easy);
  curl_easy_cleanup (r->easy);
  curl_slist_free_all (r->headers);
  return 0;
}

struct hcl_request *
hcl_send (struct hcl_client *client, const char *method, const char *url,
          struct lv_slice body, long timeout_ms, hcl_done_fn done, void *priv)
{
  struct hcl_request *r = talloc_zero (client, struct hcl_request);

  if (r == NULL)
    return NULL;
  r->client = client;
  r->done = done;
  r->priv = priv;
  r->easy = curl_easy_init ();
  talloc_set_destructor (r, destroy_request);
  curl_easy_setopt (r->easy, CURLOPT_URL, url);
  curl_easy_setopt (r->easy, CURLOPT_PRIVATE, r);
  curl_easy_setopt (r->easy, CURLOPT_WRITEFUNCTION, receive_body);
  curl_easy_setopt (r->easy, CURLOPT_WRITEDATA, r);
  curl_easy_setopt (r->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (r->easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (r->easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (r->easy, CURLOPT_TIMEOUT_MS, timeout_ms);
  if (client->small_buffers)
    curl_easy_setopt (r->easy, CURLOPT_SOCKOPTFUNCTION, set_socket_options);
  if (strcmp (method, "ONCE") == 0)
    {
      method = "POST";
      curl_easy_setopt (r->easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (r->easy, CURLOPT_FORBID_REUSE, 1L);
    }
  curl_easy_setopt (r->easy, CURLOPT_CUSTOMREQUEST, method);
  if (body.len > 0)
    {
      r->body = xtalloc_memdup (r, body.data, body.len);
      r->headers = curl_slist_append (NULL, "Content-Type: application/json");
      r->headers = curl_slist_append (r->headers, "Expect:");
      curl_easy_setopt (r->easy, CURLOPT_HTTPHEADER, r->headers);
      curl_easy_setopt (r->easy, CURLOPT_POSTFIELDSIZE, (long)body.len);
      curl_easy_setopt (r->easy, CURLOPT_POSTFIELDS, r->body);
    }
  curl_multi_add_handle (client->multi, r->easy);
  return r;
}

void
hcl_cancel (struct hcl_request *request)
{
  talloc_free (request);
}
