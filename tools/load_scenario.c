#include <errno.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <json-c/json.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "clock.h"
#include "jsonx.h"
#include "load.h"
#include "request.h"

static double
get_double (struct json_object *json, const char *name, double fallback)
{
  struct json_object *value;

  if (!json_object_object_get_ex (json, name, &value)
      || !(json_object_is_type (value, json_type_int)
           || json_object_is_type (value, json_type_double)))
    return fallback;
  return json_object_get_double (value);
}

static int
read_kind (struct load_kind *k, struct json_object *json)
{
  snprintf (k->name, sizeof k->name, "%s", jsx_string (json, "kind", ""));
  k->share = get_double (json, "share", 1);
  k->min_ms = get_double (json, "min_ms", 0);
  k->max_ms = get_double (json, "max_ms", k->min_ms);
  k->need.cores = (uint32_t)get_double (json, "cores", 0);
  k->need.memory_mb = (uint32_t)get_double (json, "memory_mb", 0);
  k->need.accelerators = (uint32_t)get_double (json, "accelerators", 0);
  return k->name[0] != '\0' && k->min_ms >= 0 && k->max_ms >= k->min_ms
                 && k->share > 0
             ? 0
             : -EINVAL;
}

static int
read_urgency (struct load_stream *st, struct json_object *json)
{
  const char *text = jsx_string (json, "urgency", "normal");

  for (int u = 0; u < QUE_URGENCIES; u++)
    if (strcmp (text, req_urgency_name ((enum que_urgency)u)) == 0)
      {
        st->urgency = (enum que_urgency)u;
        return 0;
      }
  return -EINVAL;
}

static int
read_stream (struct load_stream *st, struct json_object *json)
{
  struct json_object *kinds = NULL;
  size_t n;

  snprintf (st->name, sizeof st->name, "%s", jsx_string (json, "name", ""));
  snprintf (st->team, sizeof st->team, "%s", jsx_string (json, "team", ""));
  st->load = get_double (json, "load", 0);
  st->rate = get_double (json, "rate", 0);
  st->tasks_min = (uint32_t)get_double (json, "tasks_min", 1);
  st->tasks_max = (uint32_t)get_double (json, "tasks_max", st->tasks_min);
  st->declared_factor = get_double (json, "declared_factor", 1);
  st->entry = (int)get_double (json, "entry", -1);
  st->start_s = get_double (json, "start_s", 0);
  st->stop_s = get_double (json, "stop_s", 0);
  st->deadline_ms = (uint32_t)get_double (json, "deadline_ms", 0);
  st->out_bytes = (uint32_t)get_double (json, "out_bytes", 0);
  st->retries = (uint32_t)get_double (json, "retries", 0);
  st->budget = get_double (json, "budget", 1) > 0;
  if (read_urgency (st, json) != 0 || st->name[0] == '\0'
      || st->team[0] == '\0' || (st->load <= 0) == (st->rate <= 0)
      || st->tasks_min < 1 || st->tasks_max > REQ_TASKS_MAX
      || st->tasks_max < st->tasks_min
      || !json_object_object_get_ex (json, "kinds", &kinds)
      || !json_object_is_type (kinds, json_type_array))
    return -EINVAL;
  n = json_object_array_length (kinds);
  for (size_t i = 0; i < n && i < LOAD_KINDS_MAX; i++)
    if (read_kind (&st->kind[st->kinds++],
                   json_object_array_get_idx (kinds, i))
        != 0)
      return -EINVAL;
  return st->kinds > 0 ? 0 : -EINVAL;
}

int
load_read_scenario (struct load_scenario *s, const char *path,
                    struct err_error *err)
{
  struct json_object *json = json_object_from_file (path);
  struct json_object *streams = NULL;
  double slots;
  size_t n;

  memset (s, 0, sizeof *s);
  if (json == NULL)
    return err_set (err, -EINVAL, "scenario", path, "not readable as JSON: %s",
                    json_util_get_last_err ());
  snprintf (s->name, sizeof s->name, "%s", jsx_string (json, "name", ""));
  s->seconds = get_double (json, "seconds", 10);
  s->warmup_s = get_double (json, "warmup_s", 0);
  s->seed = (uint32_t)get_double (json, "seed", 1);
  slots = get_double (json, "slots", 88);
  s->slots = slots >= 1 && slots <= LOAD_SLOTS_MAX ? (uint32_t)slots : 0;
  s->network_ms = get_double (json, "network_ms", 0);
  if (s->slots == 0)
    return err_set (err, -EINVAL, "scenario", path, "slots: expected 1 to %d",
                    LOAD_SLOTS_MAX);
  if (s->name[0] == '\0' || s->seconds <= 0 || s->seconds > LOAD_SECONDS_MAX
      || !json_object_object_get_ex (json, "streams", &streams)
      || !json_object_is_type (streams, json_type_array))
    return err_set (err, -EINVAL, "scenario", path,
                    "expected name, seconds up to %d, streams",
                    LOAD_SECONDS_MAX);
  n = json_object_array_length (streams);
  for (size_t i = 0; i < n && i < LOAD_STREAMS_MAX; i++)
    if (read_stream (&s->stream[s->streams++],
                     json_object_array_get_idx (streams, i))
        != 0)
      return err_set (err, -EINVAL, "scenario", path,
                      "stream %zu: expected name, team, urgency, load or "
                      "rate, tasks_min <= tasks_max <= 990, kinds with kind, "
                      "min_ms, max_ms",
                      i);
  json_object_put (json);
  return 0;
}

static double
log_uniform (gsl_rng *rng, double min, double max)
{
  if (max <= min)
    return min;
  return exp (gsl_ran_flat (rng, log (min), log (max)));
}

static double
log_uniform_mean (double min, double max)
{
  return max <= min ? min : (max - min) / log (max / min);
}

static double
mean_job_ms (const struct load_stream *st)
{
  double sum = 0;
  double shares = 0;

  for (uint32_t i = 0; i < st->kinds; i++)
    {
      const struct load_kind *k = &st->kind[i];
      shares += k->share;
      sum += k->share * log_uniform_mean (k->min_ms, k->max_ms);
    }
  return sum / shares * log_uniform_mean (st->tasks_min, st->tasks_max);
}

static uint32_t
draw_kind (gsl_rng *rng, const struct load_stream *st)
{
  double shares = 0;
  double point;
  uint32_t i = 0;

  for (uint32_t k = 0; k < st->kinds; k++)
    shares += st->kind[k].share;
  point = gsl_ran_flat (rng, 0, shares);
  while (i + 1 < st->kinds && point >= st->kind[i].share)
    point -= st->kind[i++].share;
  return i;
}

static void
draw_tasks (void *mem_ctx, gsl_rng *rng, const struct load_scenario *s,
            struct load_plan *plan, struct load_job *job)
{
  const struct load_kind *k = &s->stream[job->stream].kind[job->kind];
  double longest = 0;
  double sum = 0;

  plan->run_ms = talloc_realloc (mem_ctx, plan->run_ms, double,
                                 plan->tasks + job->tasks);
  job->first_task = plan->tasks;
  for (uint32_t i = 0; i < job->tasks; i++)
    {
      double run = log_uniform (rng, k->min_ms, k->max_ms);
      plan->run_ms[plan->tasks++] = run;
      sum += run;
      longest = fmax (longest, run);
    }
  job->ideal_ms = fmax (longest, sum / s->slots);
}

static void
draw_jobs (void *mem_ctx, gsl_rng *rng, const struct load_scenario *s,
           uint32_t stream, struct load_plan *plan)
{
  const struct load_stream *st = &s->stream[stream];
  double rate = st->rate > 0 ? st->rate
                             : st->load * s->slots * 1000 / mean_job_ms (st);
  double stop = st->stop_s > 0 ? st->stop_s : s->seconds;
  double at = st->start_s + gsl_ran_exponential (rng, 1 / rate);

  while (at < stop && plan->jobs < LOAD_ARRIVALS_MAX)
    {
      struct load_job *job;
      if ((plan->jobs & (plan->jobs - 1)) == 0)
        plan->job = talloc_realloc (mem_ctx, plan->job, struct load_job,
                                    plan->jobs > 0 ? plan->jobs * 2 : 1);
      job = &plan->job[plan->jobs++];
      memset (job, 0, sizeof *job);
      job->due_ns = (uint64_t)(at * (double)CLK_S);
      job->stream = stream;
      job->kind = draw_kind (rng, st);
      job->tasks
          = (uint32_t)lround (log_uniform (rng, st->tasks_min, st->tasks_max));
      draw_tasks (mem_ctx, rng, s, plan, job);
      at += gsl_ran_exponential (rng, 1 / rate);
    }
}

static int
compare_due (const void *a, const void *b)
{
  const struct load_job *x = a;
  const struct load_job *y = b;

  return (x->due_ns > y->due_ns) - (x->due_ns < y->due_ns);
}

void
load_generate_plan (void *mem_ctx, const struct load_scenario *s,
                    struct load_plan *plan)
{
  memset (plan, 0, sizeof *plan);
  for (uint32_t i = 0; i < s->streams; i++)
    {
      /* One generator per stream: adding one does not change the others.  */
      gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus2);
      gsl_rng_set (rng, s->seed * 1000UL + i + 1);
      draw_jobs (mem_ctx, rng, s, i, plan);
      gsl_rng_free (rng);
    }
  if (plan->jobs > 0)
    qsort (plan->job, plan->jobs, sizeof *plan->job, compare_due);
}

static uint32_t
first_free_slot (const double *free_ms, uint32_t slots)
{
  uint32_t best = 0;

  for (uint32_t i = 1; i < slots; i++)
    if (free_ms[i] < free_ms[best])
      best = i;
  return best;
}

void
load_simulate_reference (const struct load_scenario *s, struct load_plan *plan)
{
  double *free_ms = talloc_zero_array (NULL, double, s->slots);

  for (uint32_t j = 0; j < plan->jobs; j++)
    {
      struct load_job *job = &plan->job[j];
      double due = (double)job->due_ns / CLK_MS;
      double end = due;
      for (uint32_t i = 0; i < job->tasks; i++)
        {
          uint32_t slot = first_free_slot (free_ms, s->slots);
          double start = fmax (free_ms[slot], due);
          free_ms[slot] = start + plan->run_ms[job->first_task + i];
          end = fmax (end, free_ms[slot]);
        }
      job->reference_ms = end - due;
    }
  talloc_free (free_ms);
}
