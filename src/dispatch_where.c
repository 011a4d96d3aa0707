#include "dispatch_where.h"

#include <errno.h>
#include <talloc.h>
#include <utlist.h>

#include "dispatch_parts.h"
#include "jsonx.h"

#define DEFAULT_MCORES 1000
#define DEFAULT_ESTIMATE_MS 100
/* Stands for the random part of a candidate's cost.  */
#define MEAN_SPREAD 0.5

/* The job that is asked about.  */
struct question
{
  const struct cat_queue *queue;
  struct amt_amount need;
  uint32_t count;
  uint32_t estimate_ms;
};

static const struct cat_queue *
find_queue (const struct cat_config *c, const char *name)
{
  uint32_t i;

  for (i = 0; c != NULL && i < c->count; i++)
    if (strcmp (c->queues[i].name, name) == 0)
      return &c->queues[i];
  return NULL;
}

/* Read member NAME, FALLBACK if there is none.  Return: whether it is valid.
 */
static bool
read_amount (struct json_object *json, const char *name, uint32_t fallback,
             uint32_t *value)
{
  int rc = jsx_get_amount (json, name, JSX_UP, value);

  if (rc == -ENOENT)
    *value = fallback;
  return rc == 0 || rc == -ENOENT;
}

static bool
read_question (struct json_object *json, struct question *q)
{
  return json_object_is_type (json, json_type_object)
         && read_amount (json, "tasks", 1, &q->count) && q->count >= 1
         && q->count <= JTB_TASKS_MAX
         && read_amount (json, "mcores", DEFAULT_MCORES, &q->need.mcores)
         && read_amount (json, "memory_mb", 0, &q->need.memory_mb)
         && read_amount (json, "accelerators", 0, &q->need.accelerators)
         && read_amount (json, "estimate_ms", DEFAULT_ESTIMATE_MS,
                         &q->estimate_ms);
}

/* What keeps a task of Q from agent A now, "" if nothing does.  */
static const char *
find_obstacle (const struct flt_agent *a, const struct cnd_candidate *c,
               const struct question *q)
{
  if (!lv_slice_eq (lv_slice_of (a->service), lv_slice_of (q->queue->service)))
    return "another service";
  if (flt_is_drained (a))
    return drn_cause_name (DRN_DOMAIN);
  if (a->conn == NULL)
    return "not connected";
  if (!a->accepting)
    return "takes no orders";
  if (a->ejected && !a->probe)
    return "fails what it runs";
  if (a->starts_left == 0)
    return "cold";
  if (!c->usable)
    return "its reports are late";
  if (!amt_fits (&a->total, &q->need))
    return "too small";
  return amt_fits (&a->free, &q->need) ? "" : "no free room";
}

static void
add_number (struct json_object *json, const char *name, uint64_t value)
{
  jsx_add (json, name, json_object_new_int64 ((int64_t)value));
}

static void
add_text (struct json_object *json, const char *name, const char *value)
{
  jsx_add (json, name, json_object_new_string (value));
}

static struct json_object *
describe_candidate (const struct dsp_dispatch *d, unsigned at, unsigned count,
                    const struct question *q)
{
  const struct flt_agent *a = d->candidate_agents[at];
  const struct cnd_candidate *c = &d->candidates[at];
  struct cnd_task task
      = { .need = q->need, .avoid = -1, .spread = MEAN_SPREAD };
  struct json_object *out = json_object_new_object ();

  add_text (out, "agent", a->name);
  add_text (out, "domain", a->domain);
  add_text (out, "obstacle", find_obstacle (a, c, q));
  add_number (out, "free_mcores", a->free.mcores);
  add_number (out, "total_mcores", a->total.mcores);
  add_number (out, "free_memory_mb", a->free.memory_mb);
  jsx_add (out, "slowness", json_object_new_double (c->slowness));
  jsx_add (out, "cost",
           json_object_new_double (cnd_cost (c, at, count, &task)));
  add_number (out, "report_age_ms",
              clk_since (clk_boot (), a->last_report_ns) / CLK_MS);
  return out;
}

/* Work that waits before a job of this queue that arrives now.  */
static uint64_t
work_before (const struct dsp_dispatch *d, const struct cat_queue *queue)
{
  const struct jtb_job *job;
  uint64_t mcore_ms = 0;

  DL_FOREACH (d->jobs.queue, job)
  if (!job->late && job->priority <= queue->priority
      && strcmp (job->service, queue->service) == 0)
    mcore_ms += (uint64_t)job->waiting * job->need.mcores * job->estimate_ms;
  return mcore_ms;
}

/* Place the tasks of Q on copies of the candidates.  Return: how many fit, and
   at which agents in AGENTS.  */
static uint32_t
try_placement (struct dsp_dispatch *d, unsigned count,
               const struct question *q, struct json_object *agents)
{
  struct cnd_task task
      = { .need = q->need, .avoid = -1, .spread = MEAN_SPREAD };
  uint32_t placed;

  for (placed = 0; placed < q->count; placed++)
    {
      int at = cnd_select (d->candidates, count, &task);

      if (at < 0)
        break;
      amt_subtract (&d->candidates[at].free, &q->need);
      jsx_append (agents,
                  json_object_new_string (d->candidate_agents[at]->name));
    }
  return placed;
}

/* What the dispatcher would do with a job of which PLACED tasks fit now, and
   why.  */
static const char *
decide (struct dsp_dispatch *d, unsigned count, const struct question *q,
        uint32_t placed, const char **why)
{
  struct lv_slice service = lv_slice_of (q->queue->service);

  *why = "all tasks fit now";
  if (d->leaving)
    *why = "this dispatcher is leaving";
  else if (placed == q->count)
    return work_before (d, q->queue) == 0 ? "placed" : "queued";
  else if (cnd_any_could_fit (d->candidates, count, &q->need))
    {
      *why = "no free room; it waits in the queue";
      return "queued";
    }
  else if (flt_fits_only_drained (&d->fleet, service, &q->need))
    *why = "only agents of drained failure domains could hold it";
  else
    *why = "no agent could hold it";
  return "refused";
}

static struct json_object *
explain (struct dsp_dispatch *d, const struct question *q)
{
  struct json_object *out = json_object_new_object ();
  struct json_object *candidates = json_object_new_array ();
  struct json_object *agents = json_object_new_array ();
  struct amt_amount total = { 0 };
  uint64_t before = work_before (d, q->queue);
  const char *decision;
  const char *why;
  uint32_t placed;
  unsigned count;
  unsigned i;

  count = dsp_list_candidates (d, lv_slice_of (q->queue->service), false);
  for (i = 0; i < count; i++)
    {
      jsx_append (candidates, describe_candidate (d, i, count, q));
      if (d->candidates[i].usable)
        amt_add (&total, &d->candidates[i].total);
    }
  placed = try_placement (d, count, q, agents);
  decision = decide (d, count, q, placed, &why);
  add_text (out, "decision", decision);
  add_text (out, "why", why);
  add_number (out, "tasks", q->count);
  add_number (out, "tasks_that_fit", placed);
  jsx_add (out, "agents", agents);
  add_number (out, "work_before_mcore_ms", before);
  add_number (out, "expected_wait_ms",
              total.mcores > 0 ? before / total.mcores : 0);
  add_text (out, "service", q->queue->service);
  add_number (out, "priority", q->queue->priority);
  add_number (out, "config", dsp_config_version (d));
  jsx_add (out, "candidates", candidates);
  return out;
}

static void
answer_error (struct web_request *r, unsigned status, const char *code,
              const char *detail)
{
  struct json_object *out = json_object_new_object ();
  struct json_object *error = json_object_new_object ();

  add_text (error, "code", code);
  add_text (error, "detail", detail);
  jsx_add (error, "not_run", json_object_new_boolean (true));
  jsx_add (out, "error", error);
  web_answer (r, status, "application/json",
              lv_slice_of (json_object_to_json_string (out)), 0);
  json_object_put (out);
}

void
dsp_where_handle (struct web_request *r, const struct web_call *call,
                  void *priv)
{
  struct dsp_dispatch *d = priv;
  struct json_object *in = jsx_parse (call->body);
  struct question q = { .queue = NULL };
  struct json_object *out;

  if (!read_question (in, &q))
    answer_error (r, 400, "bad_question",
                  "expected an object with queue, tasks (1 to 990), mcores, "
                  "memory_mb, accelerators and estimate_ms");
  else if ((q.queue = find_queue (d->config, jsx_string (in, "queue", "")))
           == NULL)
    answer_error (r, 404, "no_queue", "no queue of this name is known");
  else
    {
      out = explain (d, &q);
      web_answer (r, 200, "application/json",
                  lv_slice_of (json_object_to_json_string (out)), 0);
      json_object_put (out);
    }
  json_object_put (in);
}
