#include "logtail.h"

#include <errno.h>
#include <inttypes.h>
#include <talloc.h>

#include "clock.h"
#include "jsonx.h"
#include "tick.h"
#include "xtalloc.h"

#define POLL_WAIT_MS 1000
#define POLL_TIMEOUT_MS 3000L
#define APPEND_TIMEOUT_MS 3000L
#define BATCH_RECORDS 1000
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 1000

struct lgt_tail
{
  struct tevent_context *ev;
  struct hcl_client *client;
  char *url;
  char *stream;
  uint64_t next;
  uint64_t retry_ms;
  bool reachable;
  struct lgt_handler handler;
};

struct append
{
  void (*done) (int err, void *priv);
  void *priv;
};

static void poll_stream (struct lgt_tail *tail, bool wait);

static void
retry (void *priv)
{
  poll_stream (priv, true);
}

static void
schedule_retry (struct lgt_tail *tail)
{
  tail->reachable = false;
  tail->retry_ms
      = tail->retry_ms * 2 < RETRY_MAX_MS ? tail->retry_ms * 2 : RETRY_MAX_MS;
  tck_once (tail, tail->ev, (uint32_t)tail->retry_ms, retry, tail);
}

static void
deliver (struct lgt_tail *tail, struct json_object *records)
{
  size_t n = json_object_array_length (records);

  for (size_t i = 0; i < n; i++)
    {
      struct json_object *record = json_object_array_get_idx (records, i);
      uint64_t offset = jsx_uint (record, "offset", 0);
      struct lv_slice data = lv_slice_of (jsx_string (record, "data", ""));
      if (offset < tail->next)
        continue;
      tail->next = offset + 1;
      tail->handler.record (offset, jsx_uint (record, "ms", 0), data,
                            tail->handler.priv);
    }
}

static void
poll_done (int err, long status, struct lv_slice body, void *priv)
{
  struct lgt_tail *tail = priv;
  struct json_object *json = NULL;
  struct json_object *records = NULL;

  if (err == 0 && status == 200)
    json = jsx_parse (body);
  if (!json_object_object_get_ex (json, "records", &records)
      || !json_object_is_type (records, json_type_array))
    {
      json_object_put (json);
      schedule_retry (tail);
      return;
    }
  tail->reachable = true;
  tail->retry_ms = RETRY_MIN_MS;
  tail->handler.begin (jsx_uint (json, "first", 1), tail->handler.priv);
  deliver (tail, records);
  if (json_object_array_length (records) < BATCH_RECORDS)
    tail->handler.caught_up (tail->handler.priv);
  json_object_put (json);
  poll_stream (tail, true);
}

static void
poll_stream (struct lgt_tail *tail, bool wait)
{
  char *url = xtalloc_asprintf (
      tail, "%s/streams/%s/records?from=%" PRIu64 "&max=%d&wait_ms=%d",
      tail->url, tail->stream, tail->next, BATCH_RECORDS,
      wait ? POLL_WAIT_MS : 0);
  struct lv_slice none = { NULL, 0 };

  if (hcl_send (tail->client, "GET", url, none, POLL_TIMEOUT_MS, poll_done,
                tail)
      == NULL)
    schedule_retry (tail);
  talloc_free (url);
}

struct lgt_tail *
lgt_open (void *mem_ctx, struct tevent_context *ev, struct hcl_client *client,
          const char *url, const char *stream, uint64_t from,
          const struct lgt_handler *handler)
{
  struct lgt_tail *tail = xtalloc_zero (mem_ctx, struct lgt_tail);

  tail->ev = ev;
  tail->client = client;
  tail->url = xtalloc_strdup (tail, url);
  tail->stream = xtalloc_strdup (tail, stream);
  tail->next = from;
  tail->retry_ms = RETRY_MIN_MS;
  tail->handler = *handler;
  poll_stream (tail, false);
  return tail;
}

void
lgt_seek (struct lgt_tail *tail, uint64_t from)
{
  tail->next = from;
}

bool
lgt_reachable (const struct lgt_tail *tail)
{
  return tail->reachable;
}

static void
append_done (int err, long status, struct lv_slice body, void *priv)
{
  struct append *a = priv;

  (void)body;
  if (err == 0 && status != 200)
    err = -EIO;
  if (a->done != NULL)
    a->done (err, a->priv);
  talloc_free (a);
}

void
lgt_append (struct lgt_tail *tail, const char *data,
            void (*done) (int err, void *priv), void *priv)
{
  struct append *a = xtalloc (tail, struct append);
  char *url
      = xtalloc_asprintf (a, "%s/streams/%s/append", tail->url, tail->stream);

  a->done = done;
  a->priv = priv;
  if (hcl_send (tail->client, "POST", url, lv_slice_of (data),
                APPEND_TIMEOUT_MS, append_done, a)
      == NULL)
    append_done (-ENOMEM, 0, lv_slice_of (NULL), a);
}
