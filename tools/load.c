/**
 * DOC: lagoonvale-load
 *
 * Runs a scenario against entries and reports each response time as a ratio to
 * the ideal response time.
 */
#include "load.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <talloc.h>
#include <unistd.h>

#include "clock.h"
#include "daemon.h"
#include "http_client.h"
#include "jsonx.h"
#include "lagoonvale/budget.h"
#include "request.h"

#define CONNECTIONS 8192L
#define RESPONSE_TIMEOUT_MS 120000L
/* How long to wait for responses after the last arrival.  */
#define DRAIN_S 60
/* Retry delay when the response has no retry_after_ms.  */
#define RETRY_DEFAULT_MS 100

struct run
{
  const struct load_scenario *scenario;
  struct load_plan *plan;
  struct tevent_context *ev;
  struct hcl_client *client;
  const char *entries[LOAD_ENTRIES_MAX];
  int entry_count;
  uint64_t start_ns;
  int timer_fd; /* fires when the next job is due */
  uint32_t next;
  uint32_t in_flight;
  struct bgt_budget budget[LOAD_STREAMS_MAX];
};

struct pending_job
{
  struct run *run;
  struct load_job *job;
};

static enum load_outcome
classify_response (int err, long status, struct lv_slice body)
{
  if (err != 0)
    return LOAD_NO_ANSWER;
  if (status == 200)
    return LOAD_COMPLETE;
  return body.data != NULL && strstr (body.data, "\"not_run\":true") != NULL
             ? LOAD_REFUSED
             : LOAD_FAILED;
}

static void send_job (struct run *run, struct load_job *job);

static void
on_retry_timer (struct tevent_context *ev, struct tevent_timer *te,
                struct timeval at, void *priv)
{
  struct pending_job *pending = priv;

  (void)ev;
  (void)te;
  (void)at;
  pending->run->in_flight--;
  send_job (pending->run, pending->job);
  talloc_free (pending);
}

/* Resends a refused job after the delay in its response.  Returns false when
   its retries or the retry budget are used up.  */
static bool
schedule_retry (struct pending_job *pending, struct lv_slice body)
{
  struct run *run = pending->run;
  const struct load_stream *st = &run->scenario->stream[pending->job->stream];
  struct json_object *json;
  struct json_object *error = NULL;
  uint32_t wait_ms;

  if (pending->job->sends > st->retries
      || (st->budget && !bgt_spend (&run->budget[pending->job->stream])))
    return false;
  json = jsx_parse (body);
  json_object_object_get_ex (json, "error", &error);
  wait_ms = (uint32_t)jsx_uint (error, "retry_after_ms", RETRY_DEFAULT_MS);
  json_object_put (json);
  tevent_add_timer (
      run->ev, pending,
      tevent_timeval_current_ofs (wait_ms / 1000, wait_ms % 1000 * 1000),
      on_retry_timer, pending);
  return true;
}

static void
on_response (int err, long status, struct lv_slice body, void *priv)
{
  struct pending_job *pending = priv;
  struct run *run = pending->run;
  uint64_t due = run->start_ns + pending->job->due_ns;
  enum load_outcome outcome = classify_response (err, status, body);

  if (outcome == LOAD_REFUSED && schedule_retry (pending, body))
    return;
  pending->job->response_ms = (double)(clk_now () - due) / CLK_MS;
  pending->job->outcome = outcome;
  run->in_flight--;
  talloc_free (pending);
}

static char *
build_body (const struct run *run, const struct load_job *job)
{
  const struct load_stream *st = &run->scenario->stream[job->stream];
  const struct capa_size *need = &st->kind[job->kind].need;
  char *text = talloc_asprintf (
      NULL, "{\"team\":\"%s\",\"urgency\":\"%s\",\"kind\":\"%s\",", st->team,
      req_urgency_name (st->urgency), st->kind[job->kind].name);

  if (st->deadline_ms > 0)
    text = talloc_asprintf_append_buffer (text, "\"deadline_ms\":%u,",
                                          st->deadline_ms);
  text = talloc_strdup_append_buffer (text, "\"tasks\":[");
  for (uint32_t i = 0; i < job->tasks; i++)
    {
      double ms = run->plan->run_ms[job->first_task + i];
      text = talloc_asprintf_append_buffer (
          text,
          "%s{\"declared_ms\":%u,\"cores\":%u,\"memory_mb\":%u,"
          "\"accelerators\":%u,\"payload\":{\"run_ms\":%.2f,"
          "\"out_bytes\":%u}}",
          i > 0 ? "," : "", (unsigned)(ms * st->declared_factor), need->cores,
          need->memory_mb, need->accelerators, ms, st->out_bytes);
    }
  return talloc_strdup_append_buffer (text, "]}");
}

static void
send_job (struct run *run, struct load_job *job)
{
  uint32_t number = (uint32_t)(job - run->plan->job) + job->sends;
  const struct load_stream *st = &run->scenario->stream[job->stream];
  struct pending_job *pending = talloc_zero (run->ev, struct pending_job);
  int entry = st->entry >= 0 ? st->entry % run->entry_count
                             : (int)(number % (uint32_t)run->entry_count);
  char *url = talloc_asprintf (pending, "%s/v1/jobs", run->entries[entry]);
  char *body = build_body (run, job);

  pending->run = run;
  pending->job = job;
  if (job->sends++ == 0)
    bgt_earn (&run->budget[job->stream]);
  run->in_flight++;
  hcl_send (run->client, "POST", url, lv_slice_of (body), RESPONSE_TIMEOUT_MS,
            on_response, pending);
  talloc_free (body);
}

/* Uses a timerfd because tevent timers round up to a millisecond and delay
   socket events while one is due.  */
static void
arm_timer (struct run *run)
{
  uint64_t due = run->start_ns + run->plan->job[run->next].due_ns;
  struct itimerspec at = { .it_value = { .tv_sec = (time_t)(due / CLK_S),
                                         .tv_nsec = (long)(due % CLK_S) } };

  timerfd_settime (run->timer_fd, TFD_TIMER_ABSTIME, &at, NULL);
}

static void
send_due_jobs (struct tevent_context *ev, struct tevent_fd *fde,
               uint16_t flags, void *priv)
{
  struct run *run = priv;
  struct load_plan *plan = run->plan;
  uint64_t fired;

  (void)ev;
  (void)fde;
  (void)flags;
  if (read (run->timer_fd, &fired, sizeof fired) < 0)
    return;
  while (run->next < plan->jobs
         && run->start_ns + plan->job[run->next].due_ns <= clk_now ())
    {
      send_job (run, &plan->job[run->next]);
      run->next++;
    }
  if (run->next < plan->jobs)
    arm_timer (run);
}

static void
run_scenario (struct run *run)
{
  uint64_t end;

  run->start_ns = clk_now ();
  run->timer_fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  tevent_add_fd (run->ev, run->ev, run->timer_fd, TEVENT_FD_READ,
                 send_due_jobs, run);
  end = run->start_ns + (uint64_t)(run->scenario->seconds + DRAIN_S) * CLK_S;
  if (run->plan->jobs > 0)
    arm_timer (run);
  while ((run->next < run->plan->jobs || run->in_flight > 0)
         && clk_now () < end)
    tevent_loop_once (run->ev);
  close (run->timer_fd);
}

static int
load_main (struct arg_str *entries, struct arg_file *file, bool json,
           bool reference_only, const char *percentiles, int seed)
{
  struct load_scenario scenario;
  struct load_plan plan;
  struct err_error err;
  struct run run = { .scenario = &scenario, .plan = &plan };

  if (load_read_scenario (&scenario, file->filename[0], &err) != 0)
    return dmn_report_error (&err);
  if (seed > 0)
    scenario.seed = (uint32_t)seed;
  run.ev = tevent_context_init (NULL);
  load_generate_plan (run.ev, &scenario, &plan);
  load_simulate_reference (&scenario, &plan);
  if (reference_only)
    {
      for (uint32_t i = 0; i < plan.jobs; i++)
        {
          plan.job[i].outcome = LOAD_COMPLETE;
          plan.job[i].response_ms
              = plan.job[i].reference_ms + scenario.network_ms;
        }
    }
  else
    {
      run.client = hcl_new (run.ev, run.ev, CONNECTIONS);
      for (uint32_t i = 0; i < scenario.streams; i++)
        bgt_init (&run.budget[i]);
      for (int i = 0; i < entries->count; i++)
        run.entries[run.entry_count++] = entries->sval[i];
      run_scenario (&run);
    }
  load_print_report (&scenario, &plan, json);
  if (percentiles != NULL)
    load_write_percentiles (&scenario, &plan, percentiles);
  talloc_free (run.ev);
  return DMN_OK;
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print the version");
  struct arg_lit *json
      = arg_lit0 ("j", "json", "print JSON instead of a table");
  struct arg_lit *reference = arg_lit0 (
      NULL, "reference",
      "send nothing; simulate one FIFO queue with the same arrivals");
  struct arg_str *entries
      = arg_strn ("e", "entry", "URL", 0, LOAD_ENTRIES_MAX,
                  "entry, http://IP:PORT; repeat for round robin");
  struct arg_int *seed
      = arg_int0 ("s", "seed", "N", "seed, overrides that of the scenario");
  struct arg_file *percentiles
      = arg_file0 ("p", "percentiles", "FILE",
                   "write the ratio at each percentile, for a plot");
  struct arg_file *file
      = arg_file1 (NULL, NULL, "SCENARIO", "scenario file, JSON");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, version, json,        reference, entries,
                    seed, file,    percentiles, end };
  int errors = arg_parse (argc, argv, table);
  int rc;

  signal (SIGPIPE, SIG_IGN);
  if (help->count > 0)
    {
      printf ("Usage: lagoonvale-load");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      puts ("Exit codes: 0 done, 1 failed, 2 invalid arguments or scenario");
      rc = DMN_OK;
    }
  else if (version->count > 0)
    {
      printf ("lagoonvale-load %s\n", LV_VERSION);
      rc = DMN_OK;
    }
  else if (errors > 0 || (entries->count == 0 && reference->count == 0))
    {
      arg_print_errors (stderr, end, "lagoonvale-load");
      if (errors == 0)
        fputs ("lagoonvale-load: --entry or --reference is missing\n", stderr);
      rc = DMN_USAGE;
    }
  else
    rc = load_main (entries, file, json->count > 0, reference->count > 0,
                    percentiles->count > 0 ? percentiles->filename[0] : NULL,
                    seed->count > 0 ? seed->ival[0] : 0);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return rc;
}
