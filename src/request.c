#include "request.h"

#include <errno.h>
#include <json-c/json.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>
#include <xxhash.h>

#include "jsonx.h"
#include "lagoonvale/name.h"
#include "xtalloc.h"

#define BAD_REQUEST 400

static const char *const urgency_names[] = { "urgent", "normal", "bulk" };

const char *
req_urgency_name (enum que_urgency u)
{
  return urgency_names[u];
}

struct req_request *
req_new (enum req_op op)
{
  struct req_request *r = xtalloc_zero (NULL, struct req_request);

  r->op = op;
  r->wait = true;
  return r;
}

struct req_request *
req_split_waiter (struct req_request *r)
{
  struct req_request *w = req_new (r->op);

  w->answer = r->answer;
  w->origin = r->origin;
  w->xid = r->xid;
  w->wait = r->wait;
  w->wait_ms = r->wait_ms;
  w->until_ns = r->until_ns;
  w->hops = r->hops;
  r->answer = NULL;
  return w;
}

void
req_reply (struct req_request *r, struct req_answer *a)
{
  if (r->answer != NULL)
    r->answer (r, a);
  req_answer_put (a);
  talloc_free (r);
}

void
req_refuse (struct req_refusal *why, unsigned status, const char *code,
            const char *step, bool not_run, const char *detail, ...)
{
  va_list args;

  memset (why, 0, sizeof *why);
  why->status = status;
  why->code = code;
  why->step = step;
  why->peer = "";
  why->not_run = not_run;
  va_start (args, detail);
  vsnprintf (why->detail, sizeof why->detail, detail, args);
  va_end (args);
}

static bool
reject (struct req_refusal *why, const char *format, const char *subject,
        const char *expected)
{
  req_refuse (why, BAD_REQUEST, "bad_request", "parse", true, format, subject,
              expected);
  return false;
}

/* The keys allowed in a body and in a task.  */
static const char *const body_keys[]
    = { "id",          "key",   "team",  "urgency",       "kind",
        "deadline_ms", "task",  "tasks", "first_sent_ms", "repeatable",
        "payload",     "index", NULL };
static const char *const task_keys[]
    = { "index", "kind",      "payload",      "declared_ms",
        "cores", "memory_mb", "accelerators", NULL };

static bool
check_keys (struct json_object *object, const char *const *known,
            struct req_refusal *why)
{
  json_object_object_foreach (object, name, value)
  {
    const char *const *k = known;
    (void)value;
    while (*k != NULL && strcmp (*k, name) != 0)
      k++;
    if (*k == NULL)
      return reject (why, "unknown key %.64s%s", name, "");
  }
  return true;
}

static bool
read_name (struct req_request *r, struct json_object *json, const char *name,
           char **out, struct req_refusal *why)
{
  struct json_object *value;

  if (!json_object_object_get_ex (json, name, &value))
    return true;
  if (!json_object_is_type (value, json_type_string)
      || json_object_get_string_len (value) == 0
      || json_object_get_string_len (value) > REQ_NAME_MAX
      || !jsx_is_name (value))
    return reject (why, "key %s: expected %s", name,
                   "1 to 63 bytes of UTF-8 without control characters");
  *out = xtalloc_strdup (r, json_object_get_string (value));
  return true;
}

static bool
read_uint (struct json_object *json, const char *name, uint64_t max,
           uint64_t *out, struct req_refusal *why)
{
  struct json_object *value;

  if (!json_object_object_get_ex (json, name, &value))
    return true;
  if (!jsx_is_uint (value) || jsx_to_uint (value) > max)
    return reject (why, "key %s: expected %s", name,
                   "a whole number in range");
  *out = jsx_to_uint (value);
  return true;
}

static bool
read_urgency (struct req_request *r, struct json_object *json,
              struct req_refusal *why)
{
  const char *text = jsx_string (json, "urgency", NULL);
  struct json_object *value;

  r->urgency = QUE_NORMAL;
  if (!json_object_object_get_ex (json, "urgency", &value))
    return true;
  for (int u = 0; text != NULL && u < QUE_URGENCIES; u++)
    if (strcmp (text, urgency_names[u]) == 0)
      {
        r->urgency = (enum que_urgency)u;
        return true;
      }
  return reject (why, "key %s: expected %s", "urgency",
                 "urgent, normal or bulk");
}

static bool
read_id (struct req_request *r, struct json_object *json,
         struct req_refusal *why)
{
  struct json_object *value;

  if (!json_object_object_get_ex (json, "id", &value))
    return true;
  if (!json_object_is_type (value, json_type_string)
      || sid_parse (&r->sid, lv_slice_of (json_object_get_string (value)))
             != 0)
    return reject (why, "key %s: expected %s", "id",
                   "an id from POST /v1/submissions");
  r->has_sid = true;
  return true;
}

static bool
read_key (struct req_request *r, struct json_object *json,
          struct req_refusal *why)
{
  struct json_object *value;

  if (json_object_object_get_ex (json, "key", &value))
    {
      if (!json_object_is_type (value, json_type_string)
          || !jsx_is_name (value))
        return reject (why, "key %s: expected %s", "key",
                       "1 to 100 bytes of UTF-8 without control characters");
      r->key = talloc_strdup (r, json_object_get_string (value));
    }
  if (r->key != NULL
      && (strlen (r->key) > REQ_KEY_MAX || !nam_valid (lv_slice_of (r->key))))
    return reject (why, "key %s: expected %s", "key",
                   "1 to 100 bytes of UTF-8 without control characters");
  if (r->key != NULL && r->has_sid)
    return reject (why, "found both %s and a key, expected %s", "id", "one");
  return true;
}

static bool
read_task (struct req_request *r, struct json_object *json, struct req_task *t,
           const char *kind, struct req_refusal *why)
{
  struct json_object *payload;
  uint64_t cores = 0;
  uint64_t memory = 0;
  uint64_t accelerators = 0;
  size_t len;
  const char *text;

  if (!json_object_is_type (json, json_type_object))
    return reject (why, "key %s: expected %s", "tasks", "objects");
  t->kind = NULL;
  if (!check_keys (json, task_keys, why)
      || !read_name (r, json, "kind", &t->kind, why)
      || !read_uint (json, "declared_ms", UINT32_MAX, &t->declared_ms, why)
      || !read_uint (json, "cores", UINT32_MAX, &cores, why)
      || !read_uint (json, "memory_mb", UINT32_MAX, &memory, why)
      || !read_uint (json, "accelerators", UINT32_MAX, &accelerators, why))
    return false;
  t->cores = (uint32_t)cores;
  t->memory_mb = (uint32_t)memory;
  t->accelerators = (uint32_t)accelerators;
  if (t->kind == NULL)
    t->kind = (char *)kind;
  if (t->kind == NULL)
    return reject (why, "key %s: missing, expected %s", "kind", "a name");
  if (json_object_object_get_ex (json, "payload", &payload))
    {
      text = json_object_to_json_string_length (payload,
                                                JSON_C_TO_STRING_PLAIN, &len);
      t->payload = xtalloc_memdup (r->tasks, text, len);
      t->payload_len = len;
    }
  return true;
}

static bool
read_indices (struct json_object *tasks, uint32_t count,
              struct req_refusal *why)
{
  bool seen[REQ_TASKS_MAX] = { false };

  for (uint32_t i = 0; i < count; i++)
    {
      struct json_object *task = json_object_array_get_idx (tasks, i);
      uint64_t index = i;
      if (!json_object_is_type (task, json_type_object))
        return reject (why, "key %s: expected %s", "tasks", "objects");
      if (!read_uint (task, "index", count - 1, &index, why))
        return false;
      if (seen[index])
        return reject (why, "key %s: %s", "index",
                       "the same task index twice");
      if (index != i)
        return reject (why, "key %s: expected %s", "index",
                       "tasks in the order of their indices");
      seen[index] = true;
    }
  return true;
}

static bool
read_tasks (struct req_request *r, struct json_object *json, const char *kind,
            struct req_refusal *why)
{
  struct json_object *tasks = NULL;
  struct json_object *one = NULL;
  size_t n = 1;

  json_object_object_get_ex (json, "tasks", &tasks);
  json_object_object_get_ex (json, "task", &one);
  if ((tasks == NULL) == (one == NULL))
    return reject (why, "expected %s or %s, one of them", "task", "tasks");
  if (tasks != NULL && !json_object_is_type (tasks, json_type_array))
    return reject (why, "key %s: expected %s", "tasks", "an array");
  if (tasks != NULL)
    n = json_object_array_length (tasks);
  if (n < 1 || n > REQ_TASKS_MAX)
    {
      req_refuse (why, BAD_REQUEST, "task_count", "parse", true,
                  "found %zu tasks, expected 1 to %d", n, REQ_TASKS_MAX);
      return false;
    }
  r->count = (uint32_t)n;
  r->tasks = xtalloc_zero_array (r, struct req_task, r->count);
  if (tasks == NULL)
    return read_task (r, one, &r->tasks[0], kind, why);
  if (!read_indices (tasks, r->count, why))
    return false;
  for (uint32_t i = 0; i < r->count; i++)
    if (!read_task (r, json_object_array_get_idx (tasks, i), &r->tasks[i],
                    kind, why))
      return false;
  return true;
}

static bool
read_repeatable (struct req_request *r, struct json_object *json,
                 struct req_refusal *why)
{
  struct json_object *value;

  r->repeatable = true;
  if (!json_object_object_get_ex (json, "repeatable", &value))
    return true;
  if (!json_object_is_type (value, json_type_boolean))
    return reject (why, "key %s: expected %s", "repeatable", "true or false");
  r->repeatable = json_object_get_boolean (value);
  return true;
}

static bool
read_body (struct req_request *r, struct json_object *json,
           struct req_refusal *why)
{
  char *kind = NULL;

  if (!json_object_is_type (json, json_type_object))
    return reject (why, "found %s, expected %s", "another value",
                   "a JSON object");
  if (!check_keys (json, body_keys, why) || !read_id (r, json, why)
      || !read_key (r, json, why)
      || !read_name (r, json, "team", &r->team, why)
      || !read_name (r, json, "kind", &kind, why)
      || !read_urgency (r, json, why) || !read_repeatable (r, json, why)
      || !read_uint (json, "deadline_ms", UINT32_MAX, &r->deadline_ms, why)
      || !read_uint (json, "first_sent_ms", INT64_MAX, &r->first_sent_ms, why))
    return false;
  if (r->team == NULL)
    return reject (why, "key %s: missing, expected %s", "team", "a name");
  return read_tasks (r, json, kind, why);
}

/* Hash that must match when a submission is sent again: its content, without
   the id or key.  */
static uint64_t
fingerprint (const struct req_request *r)
{
  uint64_t h = XXH3_64bits (r->team, strlen (r->team));

  h = XXH3_64bits_withSeed (&r->urgency, sizeof r->urgency, h);
  for (uint32_t i = 0; i < r->count; i++)
    {
      const struct req_task *t = &r->tasks[i];
      const uint64_t numbers[]
          = { t->declared_ms, t->cores, t->memory_mb, t->accelerators };
      h = XXH3_64bits_withSeed (numbers, sizeof numbers, h);
      h = XXH3_64bits_withSeed (t->kind, strlen (t->kind), h);
      h = XXH3_64bits_withSeed (t->payload, t->payload_len, h);
    }
  return h;
}

bool
req_parse (struct req_request *r, struct req_refusal *why)
{
  struct lv_slice text = { r->raw, r->raw_len };
  const char *reason;
  size_t offset;
  struct json_object *json = jsx_parse_verbose (text, &reason, &offset);
  bool valid;

  if (json == NULL)
    {
      req_refuse (why, BAD_REQUEST, "bad_json", "parse", true,
                  "byte %zu: %s, expected one JSON object", offset, reason);
      return false;
    }
  valid = read_body (r, json, why);
  if (valid)
    r->fingerprint = fingerprint (r);
  json_object_put (json);
  return valid;
}

struct req_answer *
req_answer_new (unsigned status, struct lv_slice text)
{
  struct req_answer *a = malloc (sizeof *a + text.len);

  if (a == NULL)
    abort ();
  atomic_init (&a->refs, 1);
  a->status = status;
  a->len = text.len;
  memcpy (a->data, text.data, text.len);
  return a;
}

struct req_answer *
req_answer_get (struct req_answer *a)
{
  atomic_fetch_add (&a->refs, 1);
  return a;
}

void
req_answer_put (struct req_answer *a)
{
  if (a != NULL && atomic_fetch_sub (&a->refs, 1) == 1)
    free (a);
}

struct req_answer *
req_answer_refusal (const struct req_refusal *why, const struct sid_id *sid)
{
  struct json_object *json = json_object_new_object ();
  struct json_object *error = json_object_new_object ();
  struct req_answer *a;
  char id[SID_TEXT_MAX];

  if (sid != NULL)
    {
      sid_format (sid, id);
      jsx_add (json, "id", json_object_new_string (id));
    }
  jsx_add (json, "state", json_object_new_string ("failed"));
  jsx_add (error, "code", json_object_new_string (why->code));
  jsx_add (error, "step", json_object_new_string (why->step));
  jsx_add (error, "peer", json_object_new_string (why->peer));
  jsx_add (error, "detail", json_object_new_string (why->detail));
  jsx_add (error, why->not_run ? "not_run" : "may_have_run",
           json_object_new_boolean (1));
  if (why->retry_after_ms > 0)
    jsx_add (error, "retry_after_ms",
             json_object_new_int64 ((int64_t)why->retry_after_ms));
  jsx_add (json, "error", error);
  a = req_answer_new (why->status,
                      lv_slice_of (json_object_to_json_string_ext (
                          json, JSON_C_TO_STRING_PLAIN)));
  json_object_put (json);
  return a;
}
