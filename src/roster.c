#include "lagoonvale/roster.h"

#include <errno.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>
#include <utlist.h>
#include <xxhash.h>

#include "jsonx.h"
#include "net.h"
#include "lagoonvale/name.h"
#include "xtalloc.h"

void
ros_init (struct ros_roster *r, void *mem_ctx)
{
  memset (r, 0, sizeof *r);
  r->mem_ctx = mem_ctx;
}

static void
free_member (struct ros_roster *r, struct ros_member *m)
{
  /* The analyzer can't tell that M is in both containers.  */
  HASH_DEL (r->by_incarnation, m); /* NOLINT */
  LL_DELETE (r->members, m);       /* NOLINT */
  talloc_free (m);
}

void
ros_finish (struct ros_roster *r)
{
  struct ros_member *m;
  struct ros_member *next;

  LL_FOREACH_SAFE (r->members, m, next) { free_member (r, m); }
}

struct ros_member *
ros_find (const struct ros_roster *r, uint64_t incarnation)
{
  struct ros_member *m;

  HASH_FIND (hh, r->by_incarnation, &incarnation, sizeof incarnation, m);
  return m;
}

bool
ros_active_at (const struct ros_member *m, uint64_t offset)
{
  return m->joined <= offset && (m->ended == 0 || m->ended > offset);
}

unsigned
ros_bucket (struct lv_slice key)
{
  return (unsigned)(XXH3_64bits (key.data, key.len) % ROS_BUCKETS);
}

uint64_t
ros_homes_digest (const struct ros_roster *r, unsigned bucket)
{
  return XXH3_64bits (r->homes[bucket].member, sizeof r->homes[bucket].member);
}

static uint64_t
score (unsigned bucket, uint64_t incarnation)
{
  return XXH3_64bits_withSeed (&incarnation, sizeof incarnation, bucket);
}

/* The active agent with the highest score, other than EXCLUDED; from another
   failure domain than EXCLUDED if there is one.  */
static const struct ros_member *
choose_home (const struct ros_roster *r, unsigned bucket,
             const struct ros_member *excluded)
{
  const struct ros_member *best = NULL;
  const struct ros_member *m;
  bool best_other_domain = false;

  LL_FOREACH (r->members, m)
  {
    bool other_domain
        = excluded == NULL || strcmp (m->domain, excluded->domain) != 0;
    if (m->role != ROS_AGENT || m->ended != 0 || m == excluded)
      continue;
    if (best != NULL && best_other_domain && !other_domain)
      continue;
    if (best == NULL || (other_domain && !best_other_domain)
        || score (bucket, m->incarnation) > score (bucket, best->incarnation))
      {
        best = m;
        best_other_domain = other_domain;
      }
  }
  return best;
}

static void
set_home (struct ros_home *home, unsigned i, const struct ros_member *m,
          uint64_t log_ms)
{
  home->member[i] = m != NULL ? m->incarnation : 0;
  home->since_ms[i] = log_ms;
}

/* Make the first home the second one; it keeps its time.  */
static void
demote_first (struct ros_home *home)
{
  home->member[1] = home->member[0];
  home->since_ms[1] = home->since_ms[0];
}

/* Whether X, which ranks below FIRST, ranks above SECOND.  */
static bool
outranks_second (unsigned bucket, const struct ros_member *x,
                 const struct ros_member *first,
                 const struct ros_member *second)
{
  bool x_other_domain = strcmp (x->domain, first->domain) != 0;
  bool second_other_domain;

  if (second == NULL)
    return true;
  second_other_domain = strcmp (second->domain, first->domain) != 0;
  if (x_other_domain != second_other_domain)
    return x_other_domain;
  return score (bucket, x->incarnation) > score (bucket, second->incarnation);
}

static void
update_homes_on_join (struct ros_roster *r, const struct ros_member *x,
                      uint64_t log_ms)
{
  for (unsigned b = 0; b < ROS_BUCKETS; b++)
    {
      struct ros_home *home = &r->homes[b];
      const struct ros_member *first = ros_find (r, home->member[0]);
      const struct ros_member *second = ros_find (r, home->member[1]);
      if (first == NULL)
        set_home (home, 0, x, log_ms);
      else if (score (b, x->incarnation) > score (b, first->incarnation))
        {
          bool other_domain = strcmp (x->domain, first->domain) != 0;
          if (other_domain || outranks_second (b, first, x, second))
            demote_first (home);
          set_home (home, 0, x, log_ms);
        }
      else if (outranks_second (b, x, first, second))
        set_home (home, 1, x, log_ms);
    }
}

static void
update_homes_on_end (struct ros_roster *r, const struct ros_member *x,
                     uint64_t log_ms)
{
  for (unsigned b = 0; b < ROS_BUCKETS; b++)
    {
      struct ros_home before = r->homes[b];
      struct ros_home *home = &r->homes[b];
      const struct ros_member *first;
      const struct ros_member *second;

      if (before.member[0] != x->incarnation
          && before.member[1] != x->incarnation)
        continue;
      first = choose_home (r, b, NULL);
      second = first != NULL ? choose_home (r, b, first) : NULL;
      set_home (home, 0, first, log_ms);
      set_home (home, 1, second, log_ms);
      for (unsigned i = 0; i < ROS_HOMES; i++)
        for (unsigned j = 0; j < ROS_HOMES; j++)
          if (home->member[i] != 0 && home->member[i] == before.member[j])
            home->since_ms[i] = before.since_ms[j];
    }
}

/* An unknown member has ended.  It may have been a home of any bucket, so no
   home is known to have been one without interruption.  */
static void
reset_home_times (struct ros_roster *r, uint64_t log_ms)
{
  for (unsigned b = 0; b < ROS_BUCKETS; b++)
    for (unsigned i = 0; i < ROS_HOMES; i++)
      r->homes[b].since_ms[i] = log_ms;
}

static struct ros_member *
end_member (struct ros_roster *r, struct ros_member *m, uint64_t offset,
            uint64_t log_ms)
{
  if (m == NULL || m->ended != 0)
    return NULL;
  m->ended = offset;
  m->ended_ms = log_ms;
  if (m->role == ROS_AGENT)
    update_homes_on_end (r, m, log_ms);
  return m;
}

/* A restarted process has a new incarnation under the same name.  */
static void
end_predecessors (struct ros_roster *r, const struct ros_member *m,
                  uint64_t offset, uint64_t log_ms)
{
  struct ros_member *other;

  LL_FOREACH (r->members, other)
  {
    if (other != m && other->ended == 0 && strcmp (other->name, m->name) == 0)
      end_member (r, other, offset, log_ms);
  }
}

static int
parse_member (struct ros_member *m, struct json_object *record)
{
  struct sockaddr_in address;
  const char *role = jsx_string (record, "role", "");
  const char *name = jsx_string (record, "name", "");
  const char *domain = jsx_string (record, "domain", "");

  if (!nam_valid (lv_slice_of (name))
      || (domain[0] != '\0' && !nam_valid (lv_slice_of (domain)))
      || net_parse (&address, jsx_string (record, "address", "")) != 0
      || strlen (name) >= ROS_NAME_MAX || strlen (domain) >= ROS_NAME_MAX)
    return -EINVAL;
  if (strcmp (role, "agent") == 0)
    m->role = ROS_AGENT;
  else if (strcmp (role, "entry") == 0)
    m->role = ROS_ENTRY;
  else
    return -EINVAL;
  snprintf (m->name, sizeof m->name, "%s", name);
  snprintf (m->domain, sizeof m->domain, "%s", domain);
  m->addr = ntohl (address.sin_addr.s_addr);
  m->port = ntohs (address.sin_port);
  m->slots = (uint32_t)jsx_uint (record, "slots", 0);
  return 0;
}

static struct ros_member *
apply_join (struct ros_roster *r, uint64_t incarnation, uint64_t offset,
            uint64_t log_ms, struct json_object *record)
{
  struct ros_member *m = ros_find (r, incarnation);
  struct ros_member parsed = { 0 };
  uint64_t since = jsx_uint (record, "since", 0);

  /* A repeated join record does not undo an end.  */
  if (m != NULL && (m->ended == 0 || since != 0))
    return NULL;
  if (parse_member (&parsed, record) != 0)
    return NULL;
  if (m == NULL)
    {
      m = talloc_zero (r->mem_ctx, struct ros_member);
      if (m == NULL)
        return NULL;
      *m = parsed;
      m->incarnation = incarnation;
      LL_PREPEND (r->members, m);
      HASH_ADD (hh, r->by_incarnation, incarnation, sizeof m->incarnation, m);
    }
  m->joined = since != 0 && since < offset ? since : offset;
  m->ended = 0;
  end_predecessors (r, m, offset, log_ms);
  if (m->role == ROS_AGENT)
    update_homes_on_join (r, m, log_ms);
  return m;
}

static uint64_t
read_incarnation (struct json_object *record)
{
  return strtoull (jsx_string (record, "incarnation", "0"), NULL, 16);
}

struct ros_member *
ros_apply (struct ros_roster *r, uint64_t offset, uint64_t log_ms,
           struct lv_slice record)
{
  struct json_object *json = jsx_parse (record);
  struct ros_member *m = NULL;
  const char *type = jsx_string (json, "type", "");
  uint64_t incarnation = read_incarnation (json);

  if (offset > r->offset)
    r->offset = offset;
  if (incarnation != 0 && strcmp (type, "join") == 0)
    m = apply_join (r, incarnation, offset, log_ms, json);
  else if (incarnation != 0 && strcmp (type, "end") == 0)
    {
      m = ros_find (r, incarnation);
      if (m == NULL)
        {
          reset_home_times (r, log_ms);
          r->complete_from = offset;
        }
      m = end_member (r, m, offset, log_ms);
    }
  json_object_put (json);
  return m;
}

void
ros_start_at (struct ros_roster *r, uint64_t first)
{
  if (first <= r->offset + 1)
    return;
  r->complete_from = first - 1;
  r->offset = first - 1;
}

char *
ros_dump (void *mem_ctx, const struct ros_roster *r)
{
  char *text = xtalloc_strdup (mem_ctx, "[");
  const struct ros_member *m;

  LL_FOREACH (r->members, m)
  {
    char *record;
    if (m->ended != 0)
      continue;
    record = ros_join_record (mem_ctx, m, m->joined);
    text = xtalloc_asprintf_append_buffer (text, "%s%s",
                                           text[1] != '\0' ? "," : "", record);
    talloc_free (record);
  }
  return xtalloc_strdup_append_buffer (text, "]");
}

/* End the active members that the dump loaded last did not list.  */
static void
end_unlisted (struct ros_roster *r, uint64_t offset, uint64_t log_ms)
{
  struct ros_member *m;

  LL_FOREACH (r->members, m)
  {
    if (!m->listed)
      end_member (r, m, offset, log_ms);
    m->listed = false;
  }
}

bool
ros_load (struct ros_roster *r, uint64_t offset, uint64_t log_ms,
          struct lv_slice dump)
{
  struct json_object *json = jsx_parse (dump);
  size_t n;

  if (!json_object_is_type (json, json_type_array) || offset <= r->offset)
    {
      json_object_put (json);
      return false;
    }
  n = json_object_array_length (json);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *record = json_object_array_get_idx (json, i);
      struct ros_member *m;

      ros_apply (r, offset, log_ms,
                 lv_slice_of (json_object_to_json_string (record)));
      m = ros_find (r, read_incarnation (record));
      if (m != NULL)
        m->listed = true;
    }
  end_unlisted (r, offset, log_ms);
  r->complete_from = offset;
  json_object_put (json);
  return true;
}

void
ros_expire (struct ros_roster *r, uint64_t before_ms)
{
  struct ros_member *m;
  struct ros_member *next;

  LL_FOREACH_SAFE (r->members, m, next)
  {
    if (m->ended != 0 && m->ended_ms < before_ms && m->priv == NULL)
      free_member (r, m);
  }
}

char *
ros_join_record (void *mem_ctx, const struct ros_member *m, uint64_t since)
{
  char address[NET_TEXT_MAX];
  struct json_object *json = json_object_new_object ();
  char incarnation[17];
  char *text;

  net_format (m->addr, m->port, address);
  snprintf (incarnation, sizeof incarnation, "%016" PRIx64, m->incarnation);
  jsx_add (json, "type", json_object_new_string ("join"));
  jsx_add (json, "role",
           json_object_new_string (m->role == ROS_AGENT ? "agent" : "entry"));
  jsx_add (json, "name", json_object_new_string (m->name));
  jsx_add (json, "domain", json_object_new_string (m->domain));
  jsx_add (json, "address", json_object_new_string (address));
  jsx_add (json, "incarnation", json_object_new_string (incarnation));
  jsx_add (json, "slots", json_object_new_int ((int)m->slots));
  if (since != 0)
    jsx_add (json, "since", json_object_new_int64 ((int64_t)since));
  text = xtalloc_strdup (
      mem_ctx, json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN));
  json_object_put (json);
  return text;
}

char *
ros_end_record (void *mem_ctx, uint64_t incarnation, const char *why)
{
  return xtalloc_asprintf (mem_ctx,
                           "{\"type\":\"end\",\"incarnation\":\"%016" PRIx64
                           "\",\"why\":\"%s\"}",
                           incarnation, why);
}
