#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "entry_parts.h"
#include "jsonx.h"
#include "lagoonvale/quota.h"
#include "xtalloc.h"

#define RETRY_AFTER_MIN_MS 100

/* Running tasks of one team or kind, of this entry's submissions.  */
struct ent_usage
{
  char name[REQ_NAME_MAX + 2]; /* 't' or 'k', then the name */
  size_t len;
  int running;
  UT_hash_handle hh;
};

static struct ent_usage *
find_usage (struct ent_entry *e, char type, struct lv_slice name, bool create)
{
  char key[REQ_NAME_MAX + 2];
  size_t len = name.len < REQ_NAME_MAX ? name.len : REQ_NAME_MAX;
  struct ent_usage *u;

  key[0] = type;
  memcpy (key + 1, name.data, len);
  HASH_FIND (hh, e->usage, key, len + 1, u);
  if (u != NULL || !create)
    return u;
  u = xtalloc_zero (e->ev, struct ent_usage);
  memcpy (u->name, key, len + 1);
  u->len = len + 1;
  HASH_ADD_KEYPTR (hh, e->usage, u->name, u->len, u);
  return u;
}

/* Callers may choose any name, so a count is freed when it drops to zero.  */
static void
add_usage (struct ent_entry *e, char type, struct lv_slice name, int n)
{
  struct ent_usage *u = find_usage (e, type, name, true);

  u->running += n;
  if (u->running > 0)
    return;
  HASH_DEL (e->usage, u);
  talloc_free (u);
}

void
ent_usage_add (struct ent_entry *e, struct lv_slice team, struct lv_slice kind,
               int n)
{
  add_usage (e, 't', team, n);
  add_usage (e, 'k', kind, n);
}

static bool
subject_at_limit (struct ent_entry *e, char type, enum rul_subject subject,
                  struct lv_slice name)
{
  uint32_t limit
      = rul_value (e->view->rules, RUL_LIMIT, subject, name, UINT32_MAX);
  const struct ent_usage *u;

  if (limit == UINT32_MAX)
    return false;
  u = find_usage (e, type, name, false);
  return (u != NULL ? (uint32_t)u->running : 0)
         >= qta_part (limit, e->entry_count, e->entry_position, name);
}

bool
ent_at_limit (void *priv, struct lv_slice team, struct lv_slice kind)
{
  struct ent_entry *e = priv;

  return e->view->rules != NULL && e->view->rules->count > 0
         && (subject_at_limit (e, 't', RUL_TEAM, team)
             || subject_at_limit (e, 'k', RUL_KIND, kind));
}

double
ent_team_weight (void *priv, struct lv_slice team)
{
  struct ent_entry *e = priv;

  return rul_value (e->view->rules, RUL_WEIGHT, RUL_TEAM, team, 1);
}

static bool
refused_by_rule (const struct rul_set *rules, enum rul_subject subject,
                 const char *name, struct req_refusal *why)
{
  const struct rul_rule *rule
      = rul_find (rules, RUL_REFUSE, subject, lv_slice_of (name));

  if (rule == NULL)
    return false;
  req_refuse (why, 403, "refused_by_rule", "admit", true,
              "rules version %" PRIu64 " line %u: %s", rules->version,
              rule->line, rule->comment);
  return true;
}

static bool
name_allowed (const struct set_strings *set, const char *name)
{
  for (unsigned i = 0; i < set->count; i++)
    if (strcmp (set->item[i], name) == 0)
      return true;
  return set->count == 0;
}

static bool
names_allowed (const struct ent_entry *e, const struct req_request *r,
               struct req_refusal *why)
{
  if (!name_allowed (&e->set.teams, r->team))
    {
      req_refuse (why, 403, "unknown_team", "admit", true,
                  "team %.64s is not in the settings", r->team);
      return false;
    }
  for (uint32_t i = 0; i < r->count; i++)
    if (!name_allowed (&e->set.kinds, r->tasks[i].kind))
      {
        req_refuse (why, 403, "unknown_kind", "admit", true,
                    "kind %.64s of task %u is not in the settings",
                    r->tasks[i].kind, i);
        return false;
      }
  return true;
}

static bool
rules_allow (const struct ent_entry *e, const struct req_request *r,
             struct req_refusal *why)
{
  const struct rul_set *rules = e->view->rules;

  if (refused_by_rule (rules, RUL_TEAM, r->team, why)
      || refused_by_rule (rules, RUL_URGENCY, req_urgency_name (r->urgency),
                          why))
    return false;
  for (uint32_t i = 0; i < r->count; i++)
    if (refused_by_rule (rules, RUL_KIND, r->tasks[i].kind, why))
      return false;
  return true;
}

/* Whether any worker is large enough for task I of R.  */
static bool
any_worker_holds (const struct ent_entry *e, const struct req_request *r,
                  uint32_t i, struct req_refusal *why)
{
  struct capa_size need = ent_need_of (&r->tasks[i]);
  struct capa_size largest = { 0, 0, 0 };
  const struct ent_link *link;
  bool all_known = true;

  DL_FOREACH (e->links, link)
  {
    if (capa_fits (&link->worker_capacity, &need))
      return true;
    all_known = all_known && link->was_established;
    if (link->worker_capacity.cores > largest.cores)
      largest = link->worker_capacity;
  }
  if (all_known && e->link_count > 0)
    req_refuse (why, 422, "no_target", "admit", true,
                "task %u needs %u cores, %u MB, %u accelerators; the largest "
                "worker has %u, %u, %u",
                i, need.cores, need.memory_mb, need.accelerators,
                largest.cores, largest.memory_mb, largest.accelerators);
  else
    req_refuse (why, 503, "not_ready", "admit", true,
                "not all workers are known yet");
  return false;
}

/* Any minion can run a task without declared resources; others need a worker
   that is large enough.  */
static bool
workers_can_hold (const struct ent_entry *e, const struct req_request *r,
                  struct req_refusal *why)
{
  for (uint32_t i = 0; i < r->count; i++)
    if (ent_needs_worker (&r->tasks[i]) && !any_worker_holds (e, r, i, why))
      return false;
  return true;
}

static bool
queue_has_room (const struct ent_entry *e, const struct req_request *r,
                struct req_refusal *why)
{
  struct lv_slice team = lv_slice_of (r->team);
  uint32_t limit
      = rul_value (e->view->rules, RUL_QUEUE, RUL_TEAM, team, UINT32_MAX);

  if (e->record_bytes + r->raw_len > e->set.record_bytes)
    req_refuse (why, 503, "records_full", "admit", true,
                "%zu bytes of submissions are on record, at most %" PRIu64,
                e->record_bytes, e->set.record_bytes);
  else if (ent_queued_count (e) + r->count > e->set.queue_tasks)
    req_refuse (why, 429, "queue_full", "admit", true,
                "%zu tasks wait, at most %" PRIu64, ent_queued_count (e),
                e->set.queue_tasks);
  else if (que_team_count (&e->queue, team)
               + que_team_count (&e->worker_queue, team) + r->count
           > limit)
    req_refuse (why, 429, "team_queue_full", "admit", true,
                "the rules let team %.64s have %u tasks waiting", r->team,
                limit);
  else
    return true;
  why->retry_after_ms = RETRY_AFTER_MIN_MS;
  return false;
}

uint64_t
ent_longest_wait_ms (const struct ent_entry *e, const struct req_request *r)
{
  uint64_t longest = rul_value (e->view->rules, RUL_WAIT, RUL_URGENCY,
                                lv_slice_of (req_urgency_name (r->urgency)),
                                (uint32_t)e->set.wait_ms);

  longest = rul_value (e->view->rules, RUL_WAIT, RUL_TEAM,
                       lv_slice_of (r->team), (uint32_t)longest);
  if (r->deadline_ms > 0 && r->deadline_ms < longest)
    longest = r->deadline_ms;
  return longest;
}

static uint64_t
expected_wait_ms (struct ent_entry *e, const struct req_request *r)
{
  return que_expected_wait_ns (ent_queue_for (e, &r->tasks[0]),
                               lv_slice_of (r->team), r->urgency,
                               lv_slice_of (r->tasks[0].kind))
         / CLK_MS;
}

static bool
wait_is_acceptable (struct ent_entry *e, const struct req_request *r,
                    struct req_refusal *why)
{
  uint64_t wait = expected_wait_ms (e, r);
  uint64_t longest = ent_longest_wait_ms (e, r);

  if (wait <= longest)
    return true;
  req_refuse (why, 429, "would_wait", "admit", true,
              "would wait about %" PRIu64 " ms, at most %" PRIu64, wait,
              longest);
  why->retry_after_ms = wait - longest + RETRY_AFTER_MIN_MS;
  return false;
}

bool
ent_admit (struct ent_entry *e, const struct req_request *r,
           struct req_refusal *why)
{
  if (e->leaving || !e->view->ready)
    {
      req_refuse (why, 503, e->leaving ? "leaving" : "not_ready", "admit",
                  true, "this entry takes no submissions now");
      why->retry_after_ms = 1000;
      return false;
    }
  return names_allowed (e, r, why) && rules_allow (e, r, why)
         && workers_can_hold (e, r, why) && queue_has_room (e, r, why)
         && wait_is_acceptable (e, r, why);
}

static void
add_rule (struct json_object *list, const struct rul_set *rules,
          enum rul_verb verb, enum rul_subject subject, const char *name)
{
  const struct rul_rule *rule
      = rul_find (rules, verb, subject, lv_slice_of (name));
  struct json_object *json;
  char text[RUL_TEXT_MAX];

  if (rule == NULL)
    return;
  rul_format (rule, text);
  json = json_object_new_object ();
  jsx_add (json, "line", json_object_new_int ((int)rule->line));
  jsx_add (json, "rule", json_object_new_string (text));
  jsx_add (json, "who", json_object_new_string (rule->comment));
  jsx_append (list, json);
}

char *
ent_explain (struct ent_entry *e, const struct req_request *r)
{
  struct json_object *json = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  const struct rul_set *rules = e->view->rules;
  struct req_refusal why;
  bool admitted = ent_admit (e, r, &why);
  char *text;

  for (int verb = RUL_WEIGHT; verb <= RUL_DRAIN; verb++)
    {
      add_rule (list, rules, (enum rul_verb)verb, RUL_TEAM, r->team);
      add_rule (list, rules, (enum rul_verb)verb, RUL_KIND, r->tasks[0].kind);
      add_rule (list, rules, (enum rul_verb)verb, RUL_URGENCY,
                req_urgency_name (r->urgency));
    }
  jsx_add (json, "rules_version",
           json_object_new_int64 ((int64_t)e->active_rules_version));
  jsx_add (json, "rules", list);
  jsx_add (json, "admitted", json_object_new_boolean (admitted));
  if (!admitted)
    {
      jsx_add (json, "code", json_object_new_string (why.code));
      jsx_add (json, "detail", json_object_new_string (why.detail));
    }
  jsx_add (json, "expected_wait_ms",
           json_object_new_int64 ((int64_t)expected_wait_ms (e, r)));
  jsx_add (json, "longest_wait_ms",
           json_object_new_int64 ((int64_t)ent_longest_wait_ms (e, r)));
  jsx_add (
      json, "learned_ms",
      json_object_new_int64 (
          (int64_t)(est_mean (&e->estimates, lv_slice_of (r->tasks[0].kind))
                    / CLK_MS)));
  text = xtalloc_strdup (
      NULL, json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN));
  json_object_put (json);
  return text;
}
