#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "entry_parts.h"
#include "jsonx.h"
#include "logline.h"
#include "xtalloc.h"

/* Bytes charged per task, in addition to the request's text.  */
#define TASK_BYTES (sizeof (struct ent_task) + sizeof (struct sub_task))

struct ent_record *
ent_record_find (struct ent_entry *e, const struct sid_id *sid)
{
  struct ent_record *rec;

  HASH_FIND (hh, e->records, sid, sizeof *sid, rec);
  return rec;
}

static void
charge (struct ent_record *rec, size_t bytes)
{
  rec->entry->record_bytes += bytes - rec->bytes;
  rec->bytes = bytes;
}

static void
init_tasks (struct ent_record *rec)
{
  struct req_request *r = rec->request;

  rec->tasks = xtalloc_zero_array (r, struct ent_task, r->count);
  for (uint32_t i = 0; i < r->count; i++)
    {
      rec->tasks[i].record = rec;
      rec->tasks[i].index = i;
      rec->tasks[i].spec = &r->tasks[i];
    }
  sub_init (&rec->core, xtalloc_array (r, struct sub_task, r->count),
            r->count);
}

struct ent_record *
ent_record_new (struct ent_entry *e, struct req_request *r,
                const struct sid_id *sid)
{
  struct ent_record *rec = xtalloc_zero (e->ev, struct ent_record);
  struct req_request *waiter;

  rec->entry = e;
  memcpy (&rec->sid, sid, sizeof *sid);
  rec->fingerprint = r->fingerprint;
  rec->began_ns = clk_boot ();
  rec->progress_ns = rec->began_ns;
  rec->phase = ENT_BINDING;
  waiter = req_split_waiter (r);
  rec->request = talloc_steal (rec, r);
  init_tasks (rec);
  ent_record_answer (rec, waiter);
  charge (rec, sizeof *rec + r->raw_len + r->count * TASK_BYTES);
  HASH_ADD (hh, e->records, sid, sizeof rec->sid, rec);
  DL_APPEND (e->open_list, rec);
  e->open_records++;
  ctr_add (&e->counters, ENT_SUBMISSIONS, 1);
  return rec;
}

static struct req_answer *
open_answer (const struct ent_record *rec)
{
  char text[256];
  char id[SID_TEXT_MAX];

  sid_format (&rec->sid, id);
  snprintf (text, sizeof text,
            "{\"id\":\"%s\",\"state\":\"open\",\"tasks\":%u,\"done\":%u}", id,
            rec->core.count, rec->core.done);
  return req_answer_new (202, lv_slice_of (text));
}

void
ent_record_answer (struct ent_record *rec, struct req_request *r)
{
  if (rec->phase == ENT_ENDED)
    {
      req_reply (r, req_answer_get (rec->answer));
      return;
    }
  if (!r->wait)
    {
      req_reply (r, open_answer (rec));
      return;
    }
  if (r->wait_ms < UINT32_MAX)
    r->until_ns = clk_boot () + r->wait_ms * CLK_MS;
  DL_APPEND (rec->waiters, r);
}

static void
append_json (char **text, struct lv_slice bytes)
{
  struct json_object *json
      = json_object_new_string_len (bytes.data, (int)bytes.len);

  *text = xtalloc_strdup_append_buffer (
      *text,
      json_object_to_json_string_ext (
          json, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (json);
}

static struct req_answer *
complete_answer (const struct ent_record *rec)
{
  char id[SID_TEXT_MAX];
  char *text;
  struct req_answer *a;

  sid_format (&rec->sid, id);
  text = xtalloc_asprintf (
      NULL, "{\"id\":\"%s\",\"state\":\"complete\",\"tasks\":[", id);
  for (uint32_t i = 0; i < rec->core.count; i++)
    {
      struct lv_slice output
          = { rec->tasks[i].output, rec->tasks[i].output_len };
      text = xtalloc_asprintf_append_buffer (
          text, "%s{\"index\":%u,\"output\":", i > 0 ? "," : "", i);
      if (output.len > 0)
        append_json (&text, output);
      else
        text = xtalloc_strdup_append_buffer (text, "\"\"");
      text = xtalloc_strdup_append_buffer (text, "}");
    }
  text = xtalloc_strdup_append_buffer (text, "]}");
  a = req_answer_new (200, lv_slice_of (text));
  talloc_free (text);
  return a;
}

static struct req_answer *
failed_answer (const struct ent_record *rec)
{
  struct req_refusal why;
  bool not_run = rec->core.status == SUB_FAILED_NOT_RUN;

  req_refuse (&why, not_run ? 503 : 502,
              rec->fail_code != NULL ? rec->fail_code : "task_failed",
              rec->fail_step != NULL ? rec->fail_step : "collect", not_run,
              "%u of %u tasks have run", rec->core.done, rec->core.count);
  why.peer = rec->fail_peer;
  return req_answer_refusal (&why, &rec->sid);
}

static void
log_end (const struct ent_record *rec, const char *state)
{
  char id[SID_TEXT_MAX];

  if (!log_enabled (LOGL_INFO))
    return;
  sid_format (&rec->sid, id);
  log_line (LOGL_INFO, "end",
            "sid=%s state=%s tasks=%u done=%u code=%s step=%s peer=%s "
            "total_ms=%.3f",
            id, state, rec->core.count, rec->core.done,
            rec->fail_code != NULL ? rec->fail_code : "-",
            rec->fail_step != NULL ? rec->fail_step : "-", rec->fail_peer,
            (double)(rec->ended_ns - rec->began_ns) / CLK_MS);
}

static void
answer_waiters (struct ent_record *rec)
{
  struct req_request *w;
  struct req_request *next;

  DL_FOREACH_SAFE (rec->waiters, w, next)
  {
    DL_DELETE (rec->waiters, w);
    req_reply (w, req_answer_get (rec->answer));
  }
}

static void
end_record (struct ent_record *rec, struct req_answer *answer,
            const char *state)
{
  struct ent_entry *e = rec->entry;

  rec->phase = ENT_ENDED;
  rec->ended_ns = clk_boot ();
  rec->answer = answer;
  log_end (rec, state);
  answer_waiters (rec);
  DL_DELETE (e->open_list, rec);
  DL_APPEND (e->ended_list, rec);
  e->open_records--;
  charge (rec, sizeof *rec + answer->len
                   + (rec->calls > 0 ? rec->request->raw_len
                                           + rec->core.count * TASK_BYTES
                                     : 0));
}

/* An ended record keeps its tasks only while a call refers to them.  */
static void
free_tasks (struct ent_record *rec)
{
  if (rec->phase != ENT_ENDED || rec->calls > 0 || rec->request == NULL)
    return;
  TALLOC_FREE (rec->request);
  rec->tasks = NULL;
  charge (rec, sizeof *rec + rec->answer->len);
}

static void
unqueue_tasks (struct ent_record *rec)
{
  for (uint32_t i = 0; i < rec->core.count; i++)
    ent_unqueue (rec->entry, &rec->tasks[i]);
}

void
ent_record_try_finish (struct ent_record *rec)
{
  struct ent_entry *e = rec->entry;

  if (rec->phase == ENT_OPEN && rec->core.status != SUB_OPEN)
    {
      bool complete = rec->core.status == SUB_COMPLETE;
      bool not_run = rec->core.status == SUB_FAILED_NOT_RUN;
      if (!complete)
        unqueue_tasks (rec);
      ctr_add (&e->counters,
               complete  ? ENT_COMPLETE
               : not_run ? ENT_FAILED_NOT_RUN
                         : ENT_FAILED_MAY_HAVE_RUN,
               1);
      end_record (rec, complete ? complete_answer (rec) : failed_answer (rec),
                  complete  ? "complete"
                  : not_run ? "failed-not-run"
                            : "failed-may-have-run");
    }
  free_tasks (rec);
}

void
ent_record_fail (struct ent_record *rec, const char *code, const char *step,
                 const char *peer)
{
  if (rec->fail_code == NULL)
    {
      rec->fail_code = code;
      rec->fail_step = step;
      snprintf (rec->fail_peer, sizeof rec->fail_peer, "%s", peer);
    }
  if (rec->tasks != NULL && rec->phase == ENT_OPEN)
    unqueue_tasks (rec);
  sub_close (&rec->core);
  ent_record_try_finish (rec);
}

static void
remove_record (struct ent_record *rec)
{
  struct ent_entry *e = rec->entry;

  HASH_DEL (e->records, rec);
  charge (rec, 0);
  req_answer_put (rec->answer);
  talloc_free (rec);
}

/* No task has started here, so the id may be sent again: the record is not
   kept.  */
void
ent_record_refuse (struct ent_record *rec, const struct req_refusal *why)
{
  struct ent_entry *e = rec->entry;

  ctr_add (&e->counters, ENT_REFUSALS, 1);
  rec->ended_ns = clk_boot ();
  rec->fail_code = why->code;
  rec->fail_step = why->step;
  rec->answer = req_answer_refusal (why, &rec->sid);
  log_end (rec, why->not_run ? "refused" : "refused-may-have-run");
  answer_waiters (rec);
  DL_DELETE (e->open_list, rec);
  e->open_records--;
  remove_record (rec);
}

void
ent_record_open (struct ent_record *rec)
{
  struct ent_entry *e = rec->entry;
  struct lv_slice kind = lv_slice_of (rec->request->tasks[0].kind);
  uint64_t each_ns = est_mean (&e->estimates, kind);
  uint32_t slots = 1;
  struct ent_link *link;

  /* Spread the arrival stamps as if a quarter of all slots ran these tasks:
     later submissions of the same flow get the rest.  */
  DL_FOREACH (e->links, link)
  slots += link->slots;
  rec->phase = ENT_OPEN;
  for (uint32_t i = 0; i < rec->core.count; i++)
    ent_enqueue (rec, i, i * each_ns / (slots / 4 + 1));
  ent_schedule_dispatch (e);
  ent_record_try_finish (rec);
}

struct req_request *
ent_record_drop (struct ent_record *rec)
{
  struct req_request *request = talloc_steal (NULL, rec->request);
  struct req_request *first = rec->waiters;
  struct req_refusal why;

  if (first != NULL)
    {
      DL_DELETE (rec->waiters, first);
      request->answer = first->answer;
      request->origin = first->origin;
      request->xid = first->xid;
      request->hops = first->hops;
      talloc_free (first);
    }
  req_refuse (&why, 409, "bound_elsewhere", "bind", false,
              "the key belongs to another submission; send the key again");
  rec->answer = req_answer_refusal (&why, &rec->sid);
  answer_waiters (rec);
  DL_DELETE (rec->entry->open_list, rec);
  rec->entry->open_records--;
  remove_record (rec);
  return request;
}

static void
answer_timed_out (struct ent_record *rec, uint64_t now_ns)
{
  struct req_request *w;
  struct req_request *next;

  DL_FOREACH_SAFE (rec->waiters, w, next)
  {
    if (w->until_ns == 0 || now_ns < w->until_ns)
      continue;
    DL_DELETE (rec->waiters, w);
    w->wait = false;
    ent_record_answer (rec, w);
  }
}

/* Fails a submission that has no task in flight and had no progress for longer
   than the longest admitted wait.  */
static void
fail_stalled (struct ent_record *rec, uint64_t now_ns)
{
  uint64_t longest_ns;

  if (rec->phase != ENT_OPEN || rec->core.in_flight > 0)
    return;
  longest_ns = ent_longest_wait_ms (rec->entry, rec->request) * CLK_MS;
  if (clk_since (now_ns, rec->progress_ns) > longest_ns)
    ent_record_fail (rec, "waited_too_long", "queue", "");
}

void
ent_record_tick (struct ent_entry *e, uint64_t now_ns)
{
  struct ent_record *rec;
  struct ent_record *next;

  DL_FOREACH_SAFE (e->open_list, rec, next)
  {
    answer_timed_out (rec, now_ns);
    fail_stalled (rec, now_ns);
  }
}

void
ent_record_expire (struct ent_entry *e, uint64_t now_ns)
{
  while (e->ended_list != NULL)
    {
      struct ent_record *rec = e->ended_list;
      if (clk_since (now_ns, rec->ended_ns) < 2 * e->set.window_s * CLK_S
          || rec->calls > 0)
        return;
      DL_DELETE (e->ended_list, rec);
      remove_record (rec);
    }
}
