#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <json-c/json.h>
#include <math.h>
#include <stdio.h>
#include <talloc.h>

#include "clock.h"
#include "jsonx.h"
#include "load.h"

/* Results of one stream, or of all streams together.  */
struct summary
{
  uint32_t count[LOAD_NO_ANSWER + 1];
  uint32_t jobs;
  double *ratio;
  double *reference;
  double *refusal_ms;
  size_t ratio_count;
  size_t refusal_count;
  double completed_task_ms;
  uint32_t sends;
};

static bool
is_measured (const struct load_scenario *s, const struct load_job *job,
             int stream)
{
  return (stream < 0 || job->stream == (uint32_t)stream)
         && (double)job->due_ns >= s->warmup_s * (double)CLK_S;
}

static double
response_ratio (const struct load_scenario *s, const struct load_job *job)
{
  return (job->response_ms - s->network_ms) / job->ideal_ms;
}

static void
summarize (void *mem_ctx, const struct load_scenario *s,
           const struct load_plan *plan, int stream, struct summary *sum)
{
  *sum = (struct summary){ .jobs = 0 };
  sum->ratio = talloc_array (mem_ctx, double, plan->jobs + 1);
  sum->reference = talloc_array (mem_ctx, double, plan->jobs + 1);
  sum->refusal_ms = talloc_array (mem_ctx, double, plan->jobs + 1);
  for (uint32_t i = 0; i < plan->jobs; i++)
    {
      const struct load_job *job = &plan->job[i];
      if (!is_measured (s, job, stream))
        continue;
      sum->jobs++;
      sum->sends += job->sends;
      sum->count[job->outcome]++;
      if (job->outcome == LOAD_REFUSED)
        sum->refusal_ms[sum->refusal_count++] = job->response_ms;
      if (job->outcome != LOAD_COMPLETE || job->ideal_ms <= 0)
        continue;
      sum->ratio[sum->ratio_count] = response_ratio (s, job);
      sum->reference[sum->ratio_count++] = job->reference_ms / job->ideal_ms;
      for (uint32_t k = 0; k < job->tasks; k++)
        sum->completed_task_ms += plan->run_ms[job->first_task + k];
    }
  gsl_sort (sum->ratio, 1, sum->ratio_count);
  gsl_sort (sum->reference, 1, sum->ratio_count);
  gsl_sort (sum->refusal_ms, 1, sum->refusal_count);
}

static double
quantile (const double *sorted, size_t n, double q)
{
  return n > 0 ? gsl_stats_quantile_from_sorted_data (sorted, 1, n, q) : NAN;
}

static void
print_row (const struct load_scenario *s, const char *name,
           const struct summary *sum)
{
  double measured_s = s->seconds - s->warmup_s;

  printf ("%-12s %8u %8u %8u %6u %6u %8.3f %8.3f %8.3f %8.3f %8.1f %8.2f\n",
          name, sum->jobs, sum->count[LOAD_COMPLETE], sum->count[LOAD_REFUSED],
          sum->count[LOAD_FAILED], sum->count[LOAD_NO_ANSWER],
          quantile (sum->ratio, sum->ratio_count, 0.5),
          quantile (sum->ratio, sum->ratio_count, 0.99),
          quantile (sum->ratio, sum->ratio_count, 0.999),
          quantile (sum->reference, sum->ratio_count, 0.99),
          sum->count[LOAD_COMPLETE] / measured_s,
          sum->completed_task_ms / 1000 / measured_s / s->slots);
}

static void
add_double (struct json_object *json, const char *name, double value)
{
  if (!isnan (value))
    jsx_add (json, name, json_object_new_double (value));
}

static struct json_object *
summary_to_json (const struct load_scenario *s, const struct summary *sum)
{
  struct json_object *json = json_object_new_object ();
  double measured_s = s->seconds - s->warmup_s;

  jsx_add (json, "jobs", json_object_new_int ((int)sum->jobs));
  jsx_add (json, "complete",
           json_object_new_int ((int)sum->count[LOAD_COMPLETE]));
  jsx_add (json, "refused",
           json_object_new_int ((int)sum->count[LOAD_REFUSED]));
  jsx_add (json, "failed", json_object_new_int ((int)sum->count[LOAD_FAILED]));
  jsx_add (json, "no_answer",
           json_object_new_int ((int)sum->count[LOAD_NO_ANSWER]));
  add_double (json, "sends_per_job",
              sum->jobs > 0 ? (double)sum->sends / sum->jobs : NAN);
  add_double (json, "p50", quantile (sum->ratio, sum->ratio_count, 0.5));
  add_double (json, "p90", quantile (sum->ratio, sum->ratio_count, 0.9));
  add_double (json, "p99", quantile (sum->ratio, sum->ratio_count, 0.99));
  add_double (json, "p999", quantile (sum->ratio, sum->ratio_count, 0.999));
  add_double (json, "reference_p99",
              quantile (sum->reference, sum->ratio_count, 0.99));
  add_double (json, "reference_p999",
              quantile (sum->reference, sum->ratio_count, 0.999));
  add_double (json, "refusal_p99_ms",
              quantile (sum->refusal_ms, sum->refusal_count, 0.99));
  add_double (json, "goodput", sum->count[LOAD_COMPLETE] / measured_s);
  add_double (json, "utilisation",
              sum->completed_task_ms / 1000 / measured_s / s->slots);
  return json;
}

void
load_print_report (const struct load_scenario *s, const struct load_plan *plan,
                   bool json)
{
  void *mem_ctx = talloc_new (NULL);
  struct json_object *out = json_object_new_object ();
  struct summary sum;

  if (!json)
    printf ("%-12s %8s %8s %8s %6s %6s %8s %8s %8s %8s %8s %8s\n", "stream",
            "jobs", "complete", "refused", "failed", "none", "p50", "p99",
            "p99.9", "ref-p99", "jobs/s", "slots");
  for (int i = -1; i < (int)s->streams; i++)
    {
      const char *name = i < 0 ? "all" : s->stream[i].name;
      summarize (mem_ctx, s, plan, i, &sum);
      if (json)
        jsx_add (out, name, summary_to_json (s, &sum));
      else
        print_row (s, name, &sum);
    }
  if (json)
    puts (json_object_to_json_string_ext (out, JSON_C_TO_STRING_PLAIN));
  json_object_put (out);
  talloc_free (mem_ctx);
}

void
load_write_percentiles (const struct load_scenario *s,
                        const struct load_plan *plan, const char *path)
{
  void *mem_ctx = talloc_new (NULL);
  struct summary sum;
  FILE *file = fopen (path, "we");

  if (file == NULL)
    return;
  summarize (mem_ctx, s, plan, -1, &sum);
  for (int i = 1; i < 1000 && sum.ratio_count > 0; i++)
    fprintf (file, "%.1f %.4f %.4f\n", i / 10.0,
             quantile (sum.ratio, sum.ratio_count, i / 1000.0),
             quantile (sum.reference, sum.ratio_count, i / 1000.0));
  fclose (file);
  talloc_free (mem_ctx);
}
