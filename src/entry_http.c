#include <ctype.h>
#include <errno.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>
#include <urcu-bp.h>

#include "body.h"
#include "entry_parts.h"
#include "net.h"
#include "xtalloc.h"

#define IDLE_TIMEOUT_S 120U
/* Memory of each connection in libmicrohttpd, bytes: headers only.  */
#define CONNECTION_BYTES ((size_t)8192)
#define MINT_MAX 1000U
/* Connections of each thread beyond its part of the limit: the one that loses
   its place for a new one is closed a moment later.  */
#define CONNECTIONS_SPARE 16U
#define BYTES_PER_KB 1024

/* A connection of a caller, owned by its MHD thread.  */
struct peer
{
  struct clt_client client; /* under clients_lock of the entry */
  int fd;
};

/* One HTTP exchange.  Written by its MHD thread, except that the dispatch
   thread sets @reply before it resumes the connection.  */
struct exchange
{
  struct ent_entry *entry;
  struct MHD_Connection *connection;
  struct peer *peer;
  struct bdy_body body;
  bool counted; /* in http_pending, until the response is sent */
  struct req_answer *reply;
};

static void
release_reply (void *priv)
{
  req_answer_put (priv);
}

static enum MHD_Result
send_answer (struct MHD_Connection *connection, struct req_answer *a,
             const char *type)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer_with_free_callback_cls (
          a->len, a->data, release_reply, a);
  enum MHD_Result result;

  MHD_add_response_header (response, "Content-Type", type);
  result = MHD_queue_response (connection, a->status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
send_text (struct MHD_Connection *connection, unsigned status,
           const char *text)
{
  return send_answer (connection, req_answer_new (status, lv_slice_of (text)),
                      "text/plain; charset=utf-8");
}

static enum MHD_Result
send_refusal (struct exchange *x, const struct req_refusal *why)
{
  ctr_add (&x->entry->counters, ENT_REFUSALS, 1);
  return send_answer (x->connection, req_answer_refusal (why, NULL),
                      "application/json");
}

static void
resume_with_answer (struct req_request *r, struct req_answer *a)
{
  struct exchange *x = r->origin;

  x->reply = req_answer_get (a);
  MHD_resume_connection (x->connection);
}

/* Queue R for the dispatch thread, with the connection suspended until its
   answer.  */
static enum MHD_Result
queue_request (struct exchange *x, struct req_request *r)
{
  struct ent_entry *e = x->entry;
  uint64_t one = 1;

  r->answer = resume_with_answer;
  r->origin = x;
  x->counted = true;
  atomic_fetch_add (&e->http_pending, 1);
  MHD_suspend_connection (x->connection);
  cds_wfcq_node_init (&r->node);
  atomic_store_explicit (&r->published, true, memory_order_release);
  /* A wake-up is needed only if the queue was empty.  */
  if (!cds_wfcq_enqueue (&e->intake_head, &e->intake_tail, &r->node))
    if (write (e->wake_fd, &one, sizeof one) < 0)
      abort ();
  return MHD_YES;
}

/* Read the query argument NAME, a whole number, into VALUE, which stays as it
   is if there is none.  Return: false, with WHY filled in, if it is malformed.
 */
static bool
read_uint_argument (struct MHD_Connection *connection, const char *name,
                    uint64_t *value, struct req_refusal *why)
{
  const char *text
      = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);
  char *end;

  if (text == NULL)
    return true;
  errno = 0;
  *value = strtoull (text, &end, 10);
  if (isdigit ((unsigned char)text[0]) && *end == '\0' && errno == 0)
    return true;
  req_refuse (why, 400, "bad_request", "parse", true,
              "argument %s: found %.40s, expected a whole number", name, text);
  return false;
}

static bool
read_wait (struct exchange *x, struct req_request *r, struct req_refusal *why)
{
  r->wait_ms = UINT64_MAX;
  if (!read_uint_argument (x->connection, "wait_ms", &r->wait_ms, why))
    return false;
  r->wait = r->wait_ms > 0;
  return true;
}

/* Early refusals from the published view.  A submission that HAS_ID, or a key,
   may be on record here, so even during shutdown the dispatch thread decides.
 */
static bool
view_refuses (struct ent_entry *e, bool has_id, struct req_refusal *why)
{
  const struct ent_view *view;
  bool refused = true;

  rcu_read_lock ();
  view = atomic_load_explicit (&e->view, memory_order_acquire);
  if (view->leaving && !has_id)
    req_refuse (why, 503, "leaving", "accept", true,
                "this entry is shutting down; ask another");
  else if (!view->ready)
    req_refuse (why, 503, "not_ready", "accept", true,
                "no rules or no members are known yet");
  else
    refused = false;
  rcu_read_unlock ();
  why->retry_after_ms = 1000;
  return refused;
}

static enum MHD_Result
handle_submission (struct exchange *x, enum req_op op)
{
  struct req_request *r = req_new (op);
  struct req_refusal why;
  const char *key = MHD_lookup_connection_value (
      x->connection, MHD_HEADER_KIND, "Idempotency-Key");
  enum MHD_Result result;

  r->raw = xtalloc_memdup (r, x->body.data, x->body.len);
  r->raw_len = x->body.len;
  /* The copy takes its place in the budget until the answer is sent.  */
  free (x->body.data);
  x->body.data = NULL;
  if (key != NULL)
    r->key = talloc_strdup (r, key);
  ctr_add (&x->entry->counters, ENT_REQUESTS, 1);
  if (!req_parse (r, &why) || !read_wait (x, r, &why)
      || view_refuses (x->entry, r->has_sid || r->key != NULL, &why))
    {
      /* It may have run before under its id or key, here or elsewhere.  */
      if (r->has_sid || (r->key != NULL && r->count > 0))
        why.not_run = false;
      result = send_refusal (x, &why);
      talloc_free (r);
      return result;
    }
  return queue_request (x, r);
}

static enum MHD_Result
handle_by_id (struct exchange *x, enum req_op op, const char *text)
{
  struct req_request *r = req_new (op);
  struct req_refusal why;

  if (sid_parse (&r->sid, lv_slice_of (text)) != 0)
    {
      talloc_free (r);
      req_refuse (&why, 400, "bad_id", "parse", true,
                  "found %.100s, expected an id from POST /v1/submissions",
                  text);
      return send_refusal (x, &why);
    }
  r->has_sid = true;
  if (!read_wait (x, r, &why))
    {
      talloc_free (r);
      return send_refusal (x, &why);
    }
  return queue_request (x, r);
}

static enum MHD_Result
handle_mint (struct exchange *x)
{
  struct req_request *r;
  uint64_t count = 1;
  struct req_refusal why;

  if (!read_uint_argument (x->connection, "count", &count, &why))
    return send_refusal (x, &why);
  if (view_refuses (x->entry, false, &why))
    return send_refusal (x, &why);
  if (count < 1 || count > MINT_MAX)
    {
      req_refuse (&why, 400, "bad_count", "parse", true,
                  "key count: expected 1 to %u", MINT_MAX);
      return send_refusal (x, &why);
    }
  r = req_new (REQ_MINT);
  r->count = (uint32_t)count;
  return queue_request (x, r);
}

static enum MHD_Result
handle_probe (struct exchange *x, const char *url)
{
  struct req_refusal why;
  enum MHD_Result result;
  char *text;

  if (strcmp (url, "/healthz") == 0)
    return send_text (x->connection, 200, "ok\n");
  if (strcmp (url, "/readyz") == 0)
    return view_refuses (x->entry, false, &why)
               ? send_text (x->connection, 503, "not ready\n")
               : send_text (x->connection, 200, "ready\n");
  text = ctr_format (NULL, &x->entry->counters);
  result = send_text (x->connection, 200, text);
  talloc_free (text);
  return result;
}

static bool
is_probe (const char *url)
{
  return strcmp (url, "/metrics") == 0 || strcmp (url, "/healthz") == 0
         || strcmp (url, "/readyz") == 0;
}

static enum MHD_Result
route_request (struct exchange *x, const char *method, const char *url)
{
  static const char jobs[] = "/v1/jobs/";
  bool get = strcmp (method, "GET") == 0;
  bool post = strcmp (method, "POST") == 0;
  bool job_url = strncmp (url, jobs, sizeof jobs - 1) == 0;
  struct req_refusal why;

  if (get && is_probe (url))
    return handle_probe (x, url);
  if (get && strcmp (url, "/v1/rules") == 0)
    return queue_request (x, req_new (REQ_RULES));
  if (get && strcmp (url, "/v1/status") == 0)
    return queue_request (x, req_new (REQ_STATUS));
  if (post
      && (strcmp (url, "/v1/jobs") == 0 || strcmp (url, "/v1/requests") == 0))
    return handle_submission (x, REQ_SUBMIT);
  if (post && strcmp (url, "/v1/explain") == 0)
    return handle_submission (x, REQ_EXPLAIN);
  if (post && strcmp (url, "/v1/submissions") == 0)
    return handle_mint (x);
  if (job_url && get)
    return handle_by_id (x, REQ_POLL, url + sizeof jobs - 1);
  if (job_url && strcmp (method, "DELETE") == 0)
    return handle_by_id (x, REQ_CANCEL, url + sizeof jobs - 1);
  req_refuse (&why, 404, "not_found", "accept", true, "no %.16s %.100s",
              method, url);
  return send_refusal (x, &why);
}

/* Close the connection of a caller that has lost its place; the lock is held,
   so that its thread cannot close it meanwhile.  */
static void
close_client (struct clt_client *client)
{
  const struct peer *peer = client->priv;

  shutdown (peer->fd, SHUT_RDWR);
}

/* Let the body of an exchange take BYTES, at the cost of other callers if need
   be.  Return: whether it may.  */
static bool
reserve (size_t bytes, void *priv)
{
  const struct exchange *x = priv;
  struct ent_entry *e = x->entry;
  bool granted;

  pthread_mutex_lock (&e->clients_lock);
  granted = clt_reserve (&e->clients, &x->peer->client, bytes, close_client);
  pthread_mutex_unlock (&e->clients_lock);
  return granted;
}

static void
release (void *priv)
{
  const struct exchange *x = priv;
  struct ent_entry *e = x->entry;

  pthread_mutex_lock (&e->clients_lock);
  clt_release (&e->clients, &x->peer->client);
  pthread_mutex_unlock (&e->clients_lock);
}

static enum MHD_Result
refuse_too_large (struct exchange *x)
{
  struct req_refusal why;

  req_refuse (&why, 413, "too_large", "accept", true,
              "body longer than %u bytes", REQ_BODY_MAX);
  return send_refusal (x, &why);
}

static struct exchange *
new_exchange (struct ent_entry *e, struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  struct exchange *x = calloc (1, sizeof *x);

  if (x == NULL)
    return NULL;
  x->entry = e;
  x->connection = connection;
  x->peer = info->socket_context;
  return x;
}

static void
set_busy (struct exchange *x, bool busy)
{
  struct ent_entry *e = x->entry;

  pthread_mutex_lock (&e->clients_lock);
  if (busy)
    clt_request_begun (&e->clients, &x->peer->client);
  else
    clt_request_ended (&e->clients, &x->peer->client);
  pthread_mutex_unlock (&e->clients_lock);
}

static enum MHD_Result
on_access (void *priv, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_size, void **request)
{
  struct exchange *x = *request;
  const char *length;

  (void)version;
  if (x == NULL)
    {
      x = *request = new_exchange (priv, connection);
      if (x == NULL)
        return MHD_NO;
      length = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                            "Content-Length");
      return bdy_announces_too_much (length, REQ_BODY_MAX)
                 ? refuse_too_large (x)
                 : MHD_YES;
    }
  if (*data_size > 0)
    {
      const struct bdy_budget budget = { REQ_BODY_MAX, reserve, release, x };
      int rc = bdy_append (&x->body, &budget, data, *data_size);

      *data_size = 0;
      return rc == 0 ? MHD_YES : MHD_NO;
    }
  if (x->reply != NULL)
    {
      struct req_answer *reply = x->reply;
      x->reply = NULL;
      return send_answer (connection, reply, "application/json");
    }
  if (x->body.too_long)
    return refuse_too_large (x);
  set_busy (x, true);
  return route_request (x, method, url);
}

static void
on_completed (void *priv, struct MHD_Connection *connection, void **request,
              enum MHD_RequestTerminationCode code)
{
  struct exchange *x = *request;

  (void)priv;
  (void)connection;
  (void)code;
  if (x == NULL)
    return;
  if (x->counted)
    atomic_fetch_sub (&x->entry->http_pending, 1);
  req_answer_put (x->reply);
  free (x->body.data);
  set_busy (x, false);
  free (x);
  *request = NULL;
}

static void
connected (struct ent_entry *e, struct MHD_Connection *connection,
           void **context)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  struct peer *peer = xtalloc_check (calloc (1, sizeof *peer));
  struct clt_client *victim;

  peer->fd = info->connect_fd;
  peer->client.priv = peer;
  *context = peer;
  pthread_mutex_lock (&e->clients_lock);
  victim = clt_join (&e->clients, &peer->client);
  if (victim != NULL)
    close_client (victim);
  pthread_mutex_unlock (&e->clients_lock);
}

static void
on_connection (void *priv, struct MHD_Connection *connection, void **context,
               enum MHD_ConnectionNotificationCode code)
{
  struct ent_entry *e = priv;
  struct peer *peer = *context;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      connected (e, connection, context);
      return;
    }
  pthread_mutex_lock (&e->clients_lock);
  clt_leave (&e->clients, &peer->client);
  pthread_mutex_unlock (&e->clients_lock);
  free (peer);
}

int
ent_http_open (struct ent_entry *e)
{
  e->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  cds_wfcq_init (&e->intake_head, &e->intake_tail);
  e->http_fd = net_listen (e->set.http);
  if (e->http_fd < 0)
    return e->http_fd;
  pthread_mutex_init (&e->clients_lock, NULL);
  clt_init (&e->clients, (unsigned)e->set.http_connections_max,
            e->set.http_bodies_max_kb * BYTES_PER_KB);
  e->http = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
      on_access, e, MHD_OPTION_LISTEN_SOCKET, e->http_fd,
      MHD_OPTION_THREAD_POOL_SIZE, (unsigned)e->set.http_threads,
      MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)(e->set.http_connections_max
                 + CONNECTIONS_SPARE * e->set.http_threads),
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_BYTES,
      MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, e, MHD_OPTION_END);
  return e->http != NULL ? 0 : -EIO;
}

void
ent_http_quiesce (struct ent_entry *e)
{
  MHD_quiesce_daemon (e->http);
}
