#include <argtable2.h>
#include <json-c/json.h>
#include <stdio.h>
#include <talloc.h>

#include "cli.h"
#include "daemon.h"
#include "jsonx.h"

#define TIMEOUT_MS 5000L

static void
print_candidates (struct json_object *list)
{
  size_t i;

  printf ("%-28s %-16s %8s %8s %6s %6s  %s\n", "agent", "domain", "free",
          "total", "slow", "cost", "obstacle");
  for (i = 0; i < json_object_array_length (list); i++)
    {
      struct json_object *c = json_object_array_get_idx (list, i);

      printf ("%-28s %-16s %8llu %8llu %6.2f %6.2f  %s\n",
              jsx_string (c, "agent", "?"), jsx_string (c, "domain", "?"),
              (unsigned long long)jsx_uint (c, "free_mcores", 0),
              (unsigned long long)jsx_uint (c, "total_mcores", 0),
              jsx_number (c, "slowness", 0), jsx_number (c, "cost", 0),
              jsx_string (c, "obstacle", "?"));
    }
}

static void
print_explanation (struct json_object *json)
{
  struct json_object *list;
  size_t i;

  printf ("%s: %s\n", jsx_string (json, "decision", "?"),
          jsx_string (json, "why", "?"));
  printf ("%llu of %llu tasks fit now; work before it %llu core-ms, "
          "about %llu ms\n",
          (unsigned long long)jsx_uint (json, "tasks_that_fit", 0),
          (unsigned long long)jsx_uint (json, "tasks", 0),
          (unsigned long long)jsx_uint (json, "work_before_mcore_ms", 0)
              / 1000,
          (unsigned long long)jsx_uint (json, "expected_wait_ms", 0));
  if (json_object_object_get_ex (json, "agents", &list))
    for (i = 0; i < json_object_array_length (list); i++)
      printf ("task %zu: %s\n", i,
              json_object_get_string (json_object_array_get_idx (list, i)));
  if (json_object_object_get_ex (json, "candidates", &list))
    print_candidates (list);
}

/* Ask the dispatcher with metrics at URL.  */
static int
ask (struct cli_context *cli, const char *url, struct json_object *question,
     bool as_json)
{
  const char *text = json_object_to_json_string (question);
  struct cli_reply reply
      = cli_http (cli, "POST", talloc_asprintf (cli->ev, "%s/where", url),
                  lv_slice_of (text), TIMEOUT_MS);
  int rc = cli_exit_code (&reply);
  struct json_object *json;

  if (as_json || rc != DMN_OK)
    return cli_print_reply (&reply);
  json = jsx_parse (lv_slice_of (reply.body));
  print_explanation (json);
  json_object_put (json);
  return rc;
}

static void
add_if_given (struct json_object *question, const char *name,
              const struct arg_int *arg)
{
  if (arg->count > 0)
    jsx_add (question, name, json_object_new_int64 (arg->ival[0]));
}

int
cli_where (struct cli_context *cli, int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_str *metrics
      = arg_str1 ("m", "metrics", "URL",
                  "metrics address of the dispatcher, http://IP:PORT");
  struct arg_str *queue = arg_str1 ("q", "queue", "NAME", "queue of the job");
  struct arg_int *tasks = arg_int0 ("n", "tasks", "N", "number of tasks; 1");
  struct arg_int *mcores = arg_int0 (
      "c", "mcores", "N", "thousandths of a core for each task; 1000");
  struct arg_int *memory
      = arg_int0 ("M", "memory-mb", "N", "memory for each task, MB; 0");
  struct arg_int *accelerators
      = arg_int0 ("a", "accelerators", "N", "accelerators for each task; 0");
  struct arg_int *estimate = arg_int0 (
      "t", "estimate-ms", "N", "expected run time of each task, ms; 100");
  struct arg_lit *json = arg_lit0 ("j", "json", "print the answer as JSON");
  struct arg_end *end = arg_end (9);
  void *table[] = { help,   metrics,      queue,    tasks, mcores,
                    memory, accelerators, estimate, json,  end };
  int rc = cli_parse (argc, argv, table, 10, "where");

  if (rc < 0)
    {
      struct json_object *question = json_object_new_object ();

      jsx_add (question, "queue", json_object_new_string (queue->sval[0]));
      add_if_given (question, "tasks", tasks);
      add_if_given (question, "mcores", mcores);
      add_if_given (question, "memory_mb", memory);
      add_if_given (question, "accelerators", accelerators);
      add_if_given (question, "estimate_ms", estimate);
      rc = ask (cli, metrics->sval[0], question, json->count > 0);
      json_object_put (question);
    }
  arg_freetable (table, 10);
  return rc;
}
