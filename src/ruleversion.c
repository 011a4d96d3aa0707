#include "lagoonvale/ruleversion.h"

#include <stdio.h>
#include <talloc.h>
#include <utlist.h>

#include "jsonx.h"
#include "lagoonvale/rules.h"

/* Records kept while none can be judged.  */
#define HELD_MAX 4096U

struct rvs_pending
{
  uint64_t offset;
  uint64_t log_ms;
  char *record;
  size_t len;
  struct rvs_pending *next;
};

void
rvs_init (struct rvs_state *s, void *mem_ctx)
{
  memset (s, 0, sizeof *s);
  s->mem_ctx = mem_ctx;
}

static void
drop_held (struct rvs_state *s)
{
  struct rvs_pending *h;
  struct rvs_pending *next;

  LL_FOREACH_SAFE (s->held, h, next)
  {
    LL_DELETE (s->held, h);
    talloc_free (h);
  }
  s->held_count = 0;
}

void
rvs_finish (struct rvs_state *s)
{
  drop_held (s);
  TALLOC_FREE (s->text);
}

void
rvs_start_at (struct rvs_state *s, uint64_t first)
{
  if (s->synced && first <= s->offset + 1)
    return;
  if (s->synced)
    {
      s->synced = false;
      s->first = first;
      drop_held (s);
      return;
    }
  if (s->held == NULL)
    s->first = first;
  /* Nothing is missing before the stream's first record.  */
  if (s->version == 0 && first <= 1)
    s->synced = true;
}

static void
put_in_force (struct rvs_state *s, uint64_t version, const char *id,
              struct lv_slice text)
{
  TALLOC_FREE (s->text);
  s->text = talloc_strndup (s->mem_ctx, text.data, text.len);
  s->version = version;
  snprintf (s->id, sizeof s->id, "%s", id);
}

/* A file that does not parse can't come into force, whoever wrote it.  */
static bool
parses (struct lv_slice text)
{
  struct rul_error finding;
  uint32_t count;
  struct rul_set *set = rul_parse (NULL, text, &finding, 1, &count);

  talloc_free (set);
  return set != NULL;
}

static struct lv_slice
member_text (struct json_object *json)
{
  struct json_object *value = NULL;
  struct lv_slice text = { NULL, 0 };

  if (json_object_object_get_ex (json, "text", &value)
      && json_object_is_type (value, json_type_string))
    {
      text.data = json_object_get_string (value);
      text.len = (size_t)json_object_get_string_len (value);
    }
  return text;
}

static void
hold (struct rvs_state *s, uint64_t offset, uint64_t log_ms,
      struct lv_slice record)
{
  struct rvs_pending *h;

  if (s->held_count == HELD_MAX)
    {
      h = s->held;
      LL_DELETE (s->held, h);
      s->first = h->offset + 1;
      talloc_free (h);
      s->held_count--;
    }
  h = talloc_zero (s->mem_ctx, struct rvs_pending);
  h->offset = offset;
  h->log_ms = log_ms;
  h->record = talloc_memdup (h, record.data, record.len);
  h->len = record.len;
  LL_APPEND (s->held, h);
  s->held_count++;
}

static enum rvs_outcome
judge_publish (struct rvs_state *s, uint64_t offset, uint64_t log_ms,
               struct json_object *json, struct lv_slice record)
{
  uint64_t base = jsx_uint (json, "base", UINT64_MAX);
  const char *id = jsx_string (json, "id", "");
  struct lv_slice text = member_text (json);

  if (text.data == NULL || base == UINT64_MAX || !parses (text))
    return RVS_INVALID;
  if (!s->synced)
    {
      hold (s, offset, log_ms, record);
      return RVS_PENDING;
    }
  if (base != s->version)
    return RVS_CONFLICT;
  put_in_force (s, base + 1, id, text);
  s->accepted_ms = log_ms;
  return RVS_ACCEPTED;
}

static enum rvs_outcome
judge_state (struct rvs_state *s, struct json_object *json)
{
  struct lv_slice text = member_text (json);
  uint64_t version = jsx_uint (json, "version", 0);

  if (text.data == NULL || version == 0 || !parses (text))
    return RVS_INVALID;
  return rvs_adopt (s, version, jsx_uint (json, "as_of", 0),
                    jsx_string (json, "id", ""), text)
             ? RVS_ACCEPTED
             : RVS_UNCHANGED;
}

enum rvs_outcome
rvs_apply (struct rvs_state *s, uint64_t offset, uint64_t log_ms,
           struct lv_slice record)
{
  struct json_object *json;
  const char *type;
  enum rvs_outcome fate = RVS_INVALID;

  if (s->synced && offset <= s->offset)
    return RVS_UNCHANGED;
  json = jsx_parse (record);
  type = jsx_string (json, "type", "");
  if (strcmp (type, "publish") == 0)
    fate = judge_publish (s, offset, log_ms, json, record);
  else if (strcmp (type, "state") == 0)
    fate = judge_state (s, json);
  json_object_put (json);
  if (s->synced && offset > s->offset)
    s->offset = offset;
  return fate;
}

/* Judge the records that were held, as far as they come after as_of.  */
static void
replay_held (struct rvs_state *s)
{
  struct rvs_pending *h;

  LL_FOREACH (s->held, h)
  {
    struct lv_slice record = { h->record, h->len };
    rvs_apply (s, h->offset, h->log_ms, record);
  }
  drop_held (s);
}

bool
rvs_adopt (struct rvs_state *s, uint64_t version, uint64_t as_of,
           const char *id, struct lv_slice text)
{
  /* Records between as_of and the oldest one kept would be missed.  */
  if (s->synced || version < s->version || as_of + 1 < s->first)
    return false;
  if (version > s->version)
    put_in_force (s, version, id, text);
  s->synced = true;
  s->offset = as_of;
  replay_held (s);
  return true;
}

char *
rvs_publish_record (void *mem_ctx, uint64_t base, const char *id,
                    const char *by, struct lv_slice text)
{
  struct json_object *json = json_object_new_object ();
  char *record;

  jsx_add (json, "type", json_object_new_string ("publish"));
  jsx_add (json, "base", json_object_new_int64 ((int64_t)base));
  jsx_add (json, "id", json_object_new_string (id));
  jsx_add (json, "by", json_object_new_string (by));
  jsx_add (json, "text",
           json_object_new_string_len (text.data, (int)text.len));
  record = talloc_strdup (
      mem_ctx, json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN));
  json_object_put (json);
  return record;
}

char *
rvs_state_record (void *mem_ctx, const struct rvs_state *s)
{
  struct json_object *json = json_object_new_object ();
  char *record;

  jsx_add (json, "type", json_object_new_string ("state"));
  jsx_add (json, "version", json_object_new_int64 ((int64_t)s->version));
  jsx_add (json, "as_of", json_object_new_int64 ((int64_t)s->offset));
  jsx_add (json, "id", json_object_new_string (s->id));
  jsx_add (json, "text", json_object_new_string (s->text));
  record = talloc_strdup (
      mem_ctx, json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN));
  json_object_put (json);
  return record;
}
