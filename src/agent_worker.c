#include <errno.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "agent.h"
#include "clock.h"
#include "jsonx.h"
#include "logline.h"
#include "wire.h"
#include "xtalloc.h"

_Static_assert(TRN_ENTRIES_MAX == GRT_SESSIONS_MAX,
               "each session has a turn at the worker");

#define USAGE_PERIOD_NS (500 * CLK_MS)
#define USAGE_TIMEOUT_MS 2000L
#define STOP_TIMEOUT_MS 2000L
/* Delay of the next lease request after the holder's lease has expired.  */
#define LEASE_RETRY_NS (50 * CLK_MS)
#define HTTP_OK 200
#define HTTP_CONFLICT 409
#define HTTP_INTERNAL_ERROR 500

/* Return: false if any size is missing or cannot be read.  */
static bool
read_size (struct json_object *json, struct capa_size *size)
{
  return jsx_get_u32 (json, "cores", &size->cores)
         && jsx_get_u32 (json, "memory_mb", &size->memory_mb)
         && jsx_get_u32 (json, "accelerators", &size->accelerators);
}

static void
add_size (struct json_object *json, const struct capa_size *s)
{
  jsx_add (json, "cores", json_object_new_int64 (s->cores));
  jsx_add (json, "memory_mb", json_object_new_int64 (s->memory_mb));
  jsx_add (json, "accelerators", json_object_new_int64 (s->accelerators));
}

/* Send JSON to the worker; takes over the reference to it.  */
static struct hcl_request *
send_json (struct agt_agent *a, const char *method, const char *path,
           struct json_object *json, long timeout_ms, hcl_done_fn done,
           void *priv)
{
  char *url = xtalloc_asprintf (a->ev, "%s%s", a->set.worker_url, path);
  const char *text
      = json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN);
  struct hcl_request *r = hcl_send (a->client, method, url, lv_slice_of (text),
                                    timeout_ms, done, priv);

  json_object_put (json);
  talloc_free (url);
  return r;
}

lvp_room
agt_worker_offer (const struct agt_session *s)
{
  const struct agt_agent *a = s->agent;
  lvp_room room = { { 0, 0, 0 }, { 0, 0, 0 } };
  struct capa_size left;

  if (a->leaving || s->grant_index < 0
      || !lse_usable (&a->worker.lease, clk_boot ()))
    return room;
  room.total = wir_size (&a->worker.capacity.total);
  if (!trn_is_allowed (&a->worker.turns, (unsigned)s->grant_index))
    return room;
  left = capa_available (&a->worker.capacity);
  room.free = wir_size (&left);
  return room;
}

static void
send_offers (struct tevent_context *ev, struct tevent_immediate *im,
             void *priv)
{
  struct agt_agent *a = priv;
  struct agt_session *s;

  (void)ev;
  (void)im;
  a->worker.offers_scheduled = false;
  trn_tick (&a->worker.turns, clk_boot ());
  DL_FOREACH (a->sessions, s)
  {
    lvp_room room = agt_worker_offer (s);
    if (s->grant_index < 0
        || (!s->offer_stale && memcmp (&room, &s->offered, sizeof room) == 0))
      continue;
    s->offered = room;
    s->offer_stale = false;
    onc_call (s->conn, LVP_ROOM, (xdrproc_t)xdr_lvp_room, &room, NULL, NULL);
  }
}

static void
schedule_offers (struct agt_agent *a)
{
  struct agt_worker *w = &a->worker;

  if (w->offers_scheduled)
    return;
  if (w->send_offers == NULL)
    w->send_offers = xtalloc_check (tevent_create_immediate (a->ev));
  w->offers_scheduled = true;
  tevent_schedule_immediate (w->send_offers, a->ev, send_offers, a);
}

/* While no entry has waiting tasks, offers are sent at the next tick, which
   batches all changes until then into one message.  */
static void
schedule_offers_if_wanted (struct agt_agent *a)
{
  if (trn_any_waiting (&a->worker.turns))
    schedule_offers (a);
}

void
agt_worker_set_demand (struct agt_session *s, uint32_t n)
{
  struct agt_agent *a = s->agent;

  trn_set_waiting (&a->worker.turns, (unsigned)s->grant_index, n > 0,
                   clk_boot ());
  schedule_offers (a);
}

/* An answer that cannot be read is none: the lease is not renewed by it, and
   the capacity stays as it was.  */
static void
reject_answer (const struct agt_agent *a, const char *what)
{
  log_line (LOGL_WARN, "worker-bad-answer", "worker=%s what=%s",
            a->set.worker_url, what);
}

static void
lease_granted (struct agt_agent *a, struct json_object *json)
{
  struct agt_worker *w = &a->worker;
  uint64_t epoch = jsx_uint (json, "epoch", 0);
  struct capa_size total;
  uint64_t ttl_ns;

  if (epoch == 0 || !read_size (json, &total)
      || !jsx_get_ms (json, "ttl_ms", &ttl_ns))
    {
      reject_answer (a, "lease");
      return;
    }
  ctr_add (&a->counters, AGT_LEASES, epoch != w->lease.epoch);
  if (epoch != w->lease.epoch)
    log_line (LOGL_INFO, "lease",
              "worker=%s epoch=%" PRIu64 " cores=%u memory_mb=%u "
              "accelerators=%u",
              a->set.worker_url, epoch, total.cores, total.memory_mb,
              total.accelerators);
  /* Reservations made under an expired lease stay: each is released when the
     request of its task ends.  */
  w->capacity.total = total;
  lse_granted (&w->lease, epoch, w->requested_ns, ttl_ns);
}

static void
lease_refused (struct agt_agent *a, struct json_object *json)
{
  uint64_t left_ns;

  if (!jsx_get_ms (json, "left_ms", &left_ns))
    {
      reject_answer (a, "refusal");
      return;
    }
  ctr_add (&a->counters, AGT_LEASES_LOST, a->worker.lease.epoch != 0);
  log_line (LOGL_WARN, "lease-refused",
            "worker=%s holder=%s left_ms=%" PRIu64 " lost_epoch=%" PRIu64,
            a->set.worker_url, jsx_string (json, "holder", "-"),
            (uint64_t)(left_ns / CLK_MS), a->worker.lease.epoch);
  lse_refused (&a->worker.lease, clk_boot (), left_ns + LEASE_RETRY_NS);
}

static void
lease_answered (int err, long status, struct lv_slice body, void *priv)
{
  struct agt_agent *a = priv;
  struct json_object *json = err == 0 ? jsx_parse (body) : NULL;

  if (err == 0 && status == HTTP_OK)
    lease_granted (a, json);
  else if (err == 0 && status == HTTP_CONFLICT)
    lease_refused (a, json);
  json_object_put (json);
  schedule_offers (a);
}

static void
request_lease (struct agt_agent *a, uint64_t now_ns)
{
  struct agt_worker *w = &a->worker;
  struct json_object *json = json_object_new_object ();
  char holder[ROS_NAME_MAX + 32];

  snprintf (holder, sizeof holder, "%s/%016" PRIx64, a->set.name,
            a->incarnation);
  w->requested_ns = now_ns;
  lse_requested (&w->lease, now_ns,
                 a->set.worker_lease_ms * CLK_MS / LSE_RENEWALS);
  jsx_add (json, "holder", json_object_new_string (holder));
  jsx_add (json, "epoch", json_object_new_int64 ((int64_t)w->lease.epoch));
  jsx_add (json, "ttl_ms",
           json_object_new_int64 ((int64_t)a->set.worker_lease_ms));
  /* The timeout is the request interval, so that an answer always belongs to
     the request sent at requested_ns.  */
  send_json (a, "POST", "/lease", json,
             (long)(a->set.worker_lease_ms / LSE_RENEWALS), lease_answered, a);
}

static void
usage_answered (int err, long status, struct lv_slice body, void *priv)
{
  struct agt_agent *a = priv;
  struct json_object *json = err == 0 ? jsx_parse (body) : NULL;
  struct capa_size used;
  uint64_t age_ns;
  bool valid = read_size (json, &used) && jsx_get_ms (json, "age_ms", &age_ns);

  json_object_put (json);
  if (err != 0 || status != HTTP_OK)
    return;
  if (!valid)
    {
      reject_answer (a, "usage");
      return;
    }
  capa_report_usage (&a->worker.capacity, &used,
                     clk_since (clk_boot (), age_ns));
  schedule_offers (a);
}

static void
request_usage (struct agt_agent *a, uint64_t now_ns)
{
  struct lv_slice none = { NULL, 0 };
  char *url = xtalloc_asprintf (a->ev, "%s/usage", a->set.worker_url);

  a->worker.next_usage_ns = now_ns + USAGE_PERIOD_NS;
  hcl_send (a->client, "GET", url, none, USAGE_TIMEOUT_MS, usage_answered, a);
  talloc_free (url);
}

void
agt_worker_init (struct agt_agent *a)
{
  const struct capa_size none = { 0, 0, 0 };

  capa_init (&a->worker.capacity, &none, clk_boot ());
}

void
agt_worker_tick (struct agt_agent *a, uint64_t now_ns)
{
  struct agt_worker *w = &a->worker;

  if (a->set.worker_url == NULL || (a->leaving && w->running == 0))
    return;
  if (lse_due (&w->lease, now_ns))
    request_lease (a, now_ns);
  if (w->running > 0 && now_ns >= w->next_usage_ns)
    request_usage (a, now_ns);
  else if (w->running == 0)
    memset (&w->capacity.excess, 0, sizeof w->capacity.excess);
  schedule_offers (a);
}

/* An entry itself subtracts each start from its offer, so that a start needs
   no new offer unless the entry assumed too much free capacity.  */
bool
agt_worker_reserve (struct agt_session *s, const struct capa_size *need)
{
  struct agt_agent *a = s->agent;
  struct agt_worker *w = &a->worker;
  uint64_t now = clk_boot ();
  struct capa_size offered;

  if (!lse_usable (&w->lease, now) || !capa_reserve (&w->capacity, need, now))
    {
      s->offer_stale = true;
      schedule_offers (a);
      return false;
    }
  offered = wir_to_size (&s->offered.free);
  capa_subtract (&offered, need);
  s->offered.free = wir_size (&offered);
  trn_mark_used (&w->turns, (unsigned)s->grant_index);
  schedule_offers_if_wanted (a);
  return true;
}

void
agt_worker_release (struct agt_agent *a, const struct capa_size *need)
{
  capa_release (&a->worker.capacity, need, clk_boot ());
  schedule_offers_if_wanted (a);
}

static struct json_object *
task_json (const struct agt_run *run)
{
  char sid[SID_TEXT_MAX];
  struct json_object *json = json_object_new_object ();

  sid_format (&run->sid, sid);
  jsx_add (json, "submission", json_object_new_string (sid));
  jsx_add (json, "index", json_object_new_int64 (run->index));
  return json;
}

static void
worker_stop (struct agt_agent *a, struct agt_run *run)
{
  send_json (a, "POST", "/stop", task_json (run), STOP_TIMEOUT_MS, NULL, NULL);
}

static void
task_answered (int err, long status, struct lv_slice body, void *priv)
{
  struct agt_run *run = priv;
  struct agt_agent *a = run->agent;

  run->request = NULL;
  if (hcl_never_sent (err) || (err == 0 && status == HTTP_CONFLICT))
    run->agent->events->not_started (run);
  else if (err == 0 && status == HTTP_OK)
    run->agent->events->ended (run, LED_SUCCEEDED, body);
  else if (err == 0 && status == HTTP_INTERNAL_ERROR)
    run->agent->events->ended (run, LED_FAILED, body);
  else
    {
      /* The task ended with the lease, or its outcome is unknown: stop it, as
         it may still be running.  */
      worker_stop (a, run);
      run->agent->events->ended (run, LED_LOST, body);
    }
}

static void
worker_start (struct agt_agent *a, struct agt_run *run)
{
  struct json_object *json = task_json (run);
  struct lv_slice payload = { run->payload, run->payload_len };

  jsx_add (json, "epoch",
           json_object_new_int64 ((int64_t)a->worker.lease.epoch));
  jsx_add (json, "kind", json_object_new_string (run->kind));
  add_size (json, &run->need);
  jsx_add (json, "payload", jsx_parse (payload));
  run->request = send_json (a, "ONCE", "/tasks", json,
                            (long)a->set.task_limit_ms, task_answered, run);
}

const struct agt_target_ops agt_worker_ops
    = { "worker", worker_start, worker_stop, NULL };
