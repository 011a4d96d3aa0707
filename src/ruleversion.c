#include "lagoonvale/ruleversion.h"

#include <stdio.h>
#include <talloc.h>
#include <utlist.h>

#include "jsonx.h"
#include "lagoonvale/rules.h"
#include "xtalloc.h"

/* Most records kept while the state is not known.  */
#define PENDING_MAX 4096U

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
drop_pending (struct rvs_state *s)
{
  struct rvs_pending *p;
  struct rvs_pending *next;

  LL_FOREACH_SAFE (s->pending, p, next)
  {
    LL_DELETE (s->pending, p);
    talloc_free (p);
  }
  s->pending_count = 0;
}

void
rvs_finish (struct rvs_state *s)
{
  drop_pending (s);
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
      drop_pending (s);
      return;
    }
  if (s->pending == NULL)
    s->first = first;
  /* The stream has been read from its first record.  */
  if (s->version == 0 && first <= 1)
    s->synced = true;
}

static void
set_current (struct rvs_state *s, uint64_t version, const char *id,
             struct lv_slice text)
{
  TALLOC_FREE (s->text);
  s->text = xtalloc_strndup (s->mem_ctx, text.data, text.len);
  s->version = version;
  snprintf (s->id, sizeof s->id, "%s", id);
}

/* An invalid file is never accepted, whoever appended the record.  */
static bool
is_valid_file (struct lv_slice text)
{
  struct rul_error error;
  uint32_t count;
  struct rul_set *set = rul_parse (NULL, text, &error, 1, &count);

  talloc_free (set);
  return set != NULL;
}

static struct lv_slice
get_text (struct json_object *json)
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
add_pending (struct rvs_state *s, uint64_t offset, uint64_t log_ms,
             struct lv_slice record)
{
  struct rvs_pending *p;

  if (s->pending_count == PENDING_MAX)
    {
      p = s->pending;
      LL_DELETE (s->pending, p);
      s->first = p->offset + 1;
      talloc_free (p);
      s->pending_count--;
    }
  p = xtalloc_zero (s->mem_ctx, struct rvs_pending);
  p->offset = offset;
  p->log_ms = log_ms;
  p->record = xtalloc_memdup (p, record.data, record.len);
  p->len = record.len;
  LL_APPEND (s->pending, p);
  s->pending_count++;
}

static enum rvs_outcome
apply_publish (struct rvs_state *s, uint64_t offset, uint64_t log_ms,
               struct json_object *json, struct lv_slice record)
{
  uint64_t base = jsx_uint (json, "base", UINT64_MAX);
  const char *id = jsx_string (json, "id", "");
  struct lv_slice text = get_text (json);

  if (text.data == NULL || base == UINT64_MAX || !is_valid_file (text))
    return RVS_INVALID;
  if (!s->synced)
    {
      add_pending (s, offset, log_ms, record);
      return RVS_PENDING;
    }
  if (base != s->version)
    return RVS_CONFLICT;
  set_current (s, base + 1, id, text);
  s->accepted_ms = log_ms;
  return RVS_ACCEPTED;
}

static enum rvs_outcome
apply_state (struct rvs_state *s, struct json_object *json)
{
  struct lv_slice text = get_text (json);
  uint64_t version = jsx_uint (json, "version", 0);

  if (text.data == NULL || version == 0 || !is_valid_file (text))
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
  enum rvs_outcome outcome = RVS_INVALID;

  if (s->synced && offset <= s->offset)
    return RVS_UNCHANGED;
  json = jsx_parse (record);
  type = jsx_string (json, "type", "");
  if (strcmp (type, "publish") == 0)
    outcome = apply_publish (s, offset, log_ms, json, record);
  else if (strcmp (type, "state") == 0)
    outcome = apply_state (s, json);
  json_object_put (json);
  if (s->synced && offset > s->offset)
    s->offset = offset;
  return outcome;
}

/* Apply the pending records; those up to the snapshot's offset are skipped. */
static void
replay_pending (struct rvs_state *s)
{
  struct rvs_pending *p;

  LL_FOREACH (s->pending, p)
  {
    struct lv_slice record = { p->record, p->len };
    rvs_apply (s, p->offset, p->log_ms, record);
  }
  drop_pending (s);
}

bool
rvs_adopt (struct rvs_state *s, uint64_t version, uint64_t as_of,
           const char *id, struct lv_slice text)
{
  /* Records between AS_OF and S->first would be missing.  */
  if (s->synced || version < s->version || as_of + 1 < s->first)
    return false;
  if (version > s->version)
    {
      set_current (s, version, id, text);
      s->accepted_ms = 0;
    }
  s->synced = true;
  s->offset = as_of;
  replay_pending (s);
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
  record = xtalloc_strdup (
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
  record = xtalloc_strdup (
      mem_ctx, json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN));
  json_object_put (json);
  return record;
}
