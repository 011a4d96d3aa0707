#include <errno.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "entry_parts.h"
#include "jsonx.h"
#include "net.h"

/* Maximum number of times that a request is forwarded.  */
#define HOPS_MAX 4U

void
ent_mint_id (struct ent_entry *e, struct sid_id *sid)
{
  memset (sid, 0, sizeof *sid);
  sid->owner = e->incarnation;
  sid->roster = e->roster.offset;
  sid->minted_ms = clk_wall_ms ();
  sid->seq = ++e->next_seq;
  sid->addr = e->self.addr;
  sid->port = e->self.port;
}

static void
accept_new (struct ent_entry *e, struct req_request *r,
            const struct sid_id *sid)
{
  struct req_refusal why;

  r->known_not_run
      = r->known_not_run || (r->key == NULL && !ent_maybe_adopted (e, sid));
  if (r->key != NULL)
    /* Before admission: the key may belong to an earlier submission.  */
    ent_bind_key (ent_record_new (e, r, sid));
  else if (ent_admit (e, r, &why))
    ent_record_open (ent_record_new (e, r, sid));
  else
    ent_refuse (e, r, &why);
}

static bool
too_old (const struct ent_entry *e, const struct sid_id *sid)
{
  return sid->minted_ms + e->set.window_s * 1000 < clk_wall_ms ();
}

static void
refuse_too_old (struct ent_entry *e, struct req_request *r)
{
  struct req_refusal why;

  req_refuse (&why, 410, "too_old", "admit", false,
              "the id was minted more than %" PRIu64 " s ago; what became of "
              "it is no longer known",
              e->set.window_s);
  ent_refuse (e, r, &why);
}

static void
attach (struct ent_entry *e, struct req_request *r, struct ent_record *rec)
{
  struct req_refusal why;

  if (r->op == REQ_SUBMIT && r->fingerprint != rec->fingerprint)
    {
      req_refuse (&why, 422, "other_body", "admit", false,
                  "this id or key was first sent with another body");
      ent_refuse (e, r, &why);
      return;
    }
  ctr_add (&e->counters, ENT_ATTACHED, 1);
  ent_record_answer (rec, r);
}

void
ent_submit_as (struct ent_entry *e, struct req_request *r,
               const struct sid_id *sid)
{
  struct ent_record *rec = ent_record_find (e, sid);
  struct req_refusal why;

  r->has_sid = true;
  memcpy (&r->sid, sid, sizeof *sid);
  if (rec != NULL)
    attach (e, r, rec);
  else if (too_old (e, sid))
    refuse_too_old (e, r);
  else if (sid->owner == e->incarnation)
    accept_new (e, r, sid);
  else if (r->hops >= HOPS_MAX)
    {
      req_refuse (&why, 503, "no_owner", "forward", false,
                  "passed on %u times without reaching the owner", r->hops);
      ent_refuse (e, r, &why);
    }
  else
    ent_forward (e, r, sid, sid->owner, sid->addr, sid->port);
}

static void
handle_submit (struct ent_entry *e, struct req_request *r)
{
  struct sid_id sid;

  if (r->has_sid)
    sid = r->sid;
  else
    {
      ent_mint_id (e, &sid);
      r->known_not_run = r->key == NULL;
    }
  ent_submit_as (e, r, &sid);
}

static void
handle_poll_or_cancel (struct ent_entry *e, struct req_request *r)
{
  struct ent_record *rec = ent_record_find (e, &r->sid);
  struct req_refusal why;

  if (rec != NULL)
    {
      if (r->op == REQ_CANCEL)
        {
          ctr_add (&e->counters, ENT_CANCELS, 1);
          ent_record_answer (rec, r);
          ent_cancel (rec);
        }
      else
        ent_record_answer (rec, r);
      return;
    }
  if (r->sid.owner != e->incarnation && r->hops < HOPS_MAX)
    {
      ent_forward (e, r, &r->sid, r->sid.owner, r->sid.addr, r->sid.port);
      return;
    }
  req_refuse (&why, 404, "unknown_id", "poll", false,
              "nothing is on record here for this id");
  ent_refuse (e, r, &why);
}

static void
answer_json (struct req_request *r, struct json_object *json)
{
  const char *text
      = json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN);

  req_reply (r, req_answer_new (200, lv_slice_of (text)));
  json_object_put (json);
}

static void
answer_mint (struct ent_entry *e, struct req_request *r)
{
  struct json_object *json = json_object_new_object ();
  struct json_object *ids = json_object_new_array ();

  for (uint32_t i = 0; i < r->count; i++)
    {
      struct sid_id sid;
      char text[SID_TEXT_MAX];
      ent_mint_id (e, &sid);
      sid_format (&sid, text);
      jsx_append (ids, json_object_new_string (text));
    }
  jsx_add (json, "ids", ids);
  jsx_add (json, "window_s", json_object_new_int64 ((int64_t)e->set.window_s));
  answer_json (r, json);
}

static void
answer_rules (struct ent_entry *e, struct req_request *r)
{
  struct json_object *json = json_object_new_object ();

  jsx_add (json, "instance", json_object_new_string (e->set.name));
  jsx_add (json, "version",
           json_object_new_int64 ((int64_t)e->active_rules_version));
  jsx_add (json, "offset", json_object_new_int64 ((int64_t)e->rules.offset));
  jsx_add (json, "known", json_object_new_boolean (e->rules.synced));
  jsx_add (json, "text",
           json_object_new_string (
               e->active_rules_text != NULL ? e->active_rules_text : ""));
  answer_json (r, json);
}

static struct json_object *
size_json (const struct capa_size *s)
{
  struct json_object *json = json_object_new_object ();

  jsx_add (json, "cores", json_object_new_int64 (s->cores));
  jsx_add (json, "memory_mb", json_object_new_int64 (s->memory_mb));
  jsx_add (json, "accelerators", json_object_new_int64 (s->accelerators));
  return json;
}

/* The worker of an agent; none of it is free without the agent's lease.  */
static struct json_object *
worker_status (const struct ent_link *link)
{
  struct json_object *json = json_object_new_object ();

  jsx_add (json, "leased",
           json_object_new_boolean (!capa_is_zero (&link->worker_total)));
  jsx_add (json, "health",
           json_object_new_string (hlt_name (link->worker_health.state)));
  jsx_add (json, "size", size_json (&link->worker_capacity));
  jsx_add (json, "free", size_json (&link->worker_free));
  return json;
}

static struct json_object *
link_status (const struct ent_link *link)
{
  struct json_object *json = json_object_new_object ();

  jsx_add (json, "name", json_object_new_string (link->member->name));
  jsx_add (json, "domain", json_object_new_string (link->member->domain));
  jsx_add (json, "connected", json_object_new_boolean (ent_link_ready (link)));
  jsx_add (json, "leaving", json_object_new_boolean (link->leaving));
  jsx_add (json, "health",
           json_object_new_string (hlt_name (link->health.state)));
  jsx_add (json, "credits", json_object_new_int ((int)link->credits));
  jsx_add (json, "sent", json_object_new_int ((int)link->sent));
  if (!capa_is_zero (&link->worker_capacity))
    jsx_add (json, "worker", worker_status (link));
  return json;
}

static void
answer_status (struct ent_entry *e, struct req_request *r)
{
  struct json_object *json = json_object_new_object ();
  struct json_object *agents = json_object_new_array ();
  struct json_object *entries = json_object_new_array ();
  const struct ent_link *link;
  const struct ros_member *m;
  char address[NET_TEXT_MAX];

  DL_FOREACH (e->links, link)
  jsx_append (agents, link_status (link));
  LL_FOREACH (e->roster.members, m)
  {
    if (m->role != ROS_ENTRY || m->ended != 0)
      continue;
    net_format (m->addr, m->port, address);
    jsx_append (entries, json_object_new_string (address));
  }
  jsx_add (json, "name", json_object_new_string (e->set.name));
  jsx_add (json, "rules",
           json_object_new_int64 ((int64_t)e->active_rules_version));
  jsx_add (json, "roster", json_object_new_int64 ((int64_t)e->roster.offset));
  jsx_add (json, "log_reachable",
           json_object_new_boolean (lgt_reachable (e->members_tail)));
  jsx_add (json, "queued",
           json_object_new_int64 ((int64_t)ent_queued_count (e)));
  jsx_add (json, "open", json_object_new_int ((int)e->open_records));
  jsx_add (json, "entries", entries);
  jsx_add (json, "agents", agents);
  answer_json (r, json);
}

static void
answer_explain (struct ent_entry *e, struct req_request *r)
{
  char *text = ent_explain (e, r);
  struct req_answer *a = req_answer_new (200, lv_slice_of (text));

  talloc_free (text);
  req_reply (r, a);
}

void
ent_handle_request (struct ent_entry *e, struct req_request *r)
{
  switch (r->op)
    {
    case REQ_SUBMIT:
      handle_submit (e, r);
      return;
    case REQ_POLL:
    case REQ_CANCEL:
      handle_poll_or_cancel (e, r);
      return;
    case REQ_MINT:
      answer_mint (e, r);
      return;
    case REQ_EXPLAIN:
      answer_explain (e, r);
      return;
    case REQ_RULES:
      answer_rules (e, r);
      return;
    case REQ_STATUS:
      answer_status (e, r);
      return;
    }
}
