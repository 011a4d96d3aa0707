#include <errno.h>
#include <json-c/json.h>
#include <string.h>
#include <talloc.h>

#include "agent.h"
#include "clock.h"
#include "jsonx.h"
#include "logline.h"
#include "xtalloc.h"

#define HEALTH_TIMEOUT_MS 2000L
/* Health checks of the minion run every HEALTH_TICKS ticks.  */
#define HEALTH_TICKS 10
#define HTTP_OK 200

static char *
run_body (const struct agt_run *run)
{
  char sid[SID_TEXT_MAX];
  struct json_object *json = json_object_new_object ();
  struct lv_slice text = { run->payload, run->payload_len };
  struct json_object *payload = jsx_parse (text);
  char *body;

  sid_format (&run->sid, sid);
  jsx_add (json, "submission", json_object_new_string (sid));
  jsx_add (json, "index", json_object_new_int64 (run->index));
  jsx_add (json, "kind", json_object_new_string (run->kind));
  jsx_add (json, "payload", payload);
  body = xtalloc_strdup (
      run, json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN));
  json_object_put (json);
  return body;
}

static void
minion_answered (int err, long status, struct lv_slice body, void *priv)
{
  struct agt_run *run = priv;

  run->request = NULL;
  if (hcl_never_sent (err))
    run->agent->events->not_started (run);
  else if (err == 0 && status == HTTP_OK)
    run->agent->events->ended (run, LED_SUCCEEDED, body);
  else
    run->agent->events->ended (run, err != 0 ? LED_LOST : LED_FAILED, body);
}

static void
minion_start (struct agt_agent *a, struct agt_run *run)
{
  char *url = xtalloc_asprintf (run, "%s/run", a->set.target_url);

  run->request
      = hcl_send (a->client, "ONCE", url, lv_slice_of (run_body (run)),
                  (long)a->set.task_limit_ms, minion_answered, run);
}

/* Closes the connection, which makes the minion stop the task.  The task may
   have run already, so its outcome is unavailable.  */
static void
minion_stop (struct agt_agent *a, struct agt_run *run)
{
  struct lv_slice none = { NULL, 0 };

  (void)a;
  if (run->request != NULL)
    hcl_cancel (run->request);
  run->request = NULL;
  run->agent->events->ended (run, LED_LOST, none);
}

static void
health_answered (int err, long status, struct lv_slice body, void *priv)
{
  struct agt_agent *a = priv;
  struct json_object *json;
  struct json_object *leaving = NULL;

  if (err != 0 || status != HTTP_OK)
    return;
  json = jsx_parse (body);
  if (json_object_object_get_ex (json, "leaving", &leaving)
      && json_object_get_boolean (leaving))
    a->target_leaving (a, "minion");
  json_object_put (json);
}

static void
minion_watch (struct agt_agent *a)
{
  static unsigned ticks;
  struct lv_slice none = { NULL, 0 };
  char *url;

  if (ticks++ % HEALTH_TICKS != 0)
    return;
  url = xtalloc_asprintf (a->ev, "%s/health", a->set.target_url);
  hcl_send (a->client, "GET", url, none, HEALTH_TIMEOUT_MS, health_answered,
            a);
  talloc_free (url);
}

static void
null_end (struct tevent_context *ev, struct tevent_immediate *im, void *priv)
{
  struct agt_run *run = priv;
  struct lv_slice none = { "", 0 };

  (void)ev;
  (void)im;
  run->agent->events->ended (run, LED_SUCCEEDED, none);
}

/* Ends each task at once: measures the overhead of the system without a
   minion.  */
static void
null_start (struct agt_agent *a, struct agt_run *run)
{
  struct tevent_immediate *im = xtalloc_check (tevent_create_immediate (run));

  tevent_schedule_immediate (im, a->ev, null_end, run);
}

static void
null_stop (struct agt_agent *a, struct agt_run *run)
{
  (void)a;
  (void)run;
}

static const struct agt_target_ops targets[] = {
  { "minion", minion_start, minion_stop, minion_watch },
  { "null", null_start, null_stop, NULL },
};

const struct agt_target_ops *
agt_target_find (const char *kind)
{
  for (size_t i = 0; i < sizeof targets / sizeof targets[0]; i++)
    if (strcmp (targets[i].name, kind) == 0)
      return &targets[i];
  return NULL;
}
