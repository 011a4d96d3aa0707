#include <argtable2.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "cli.h"
#include "clock.h"
#include "daemon.h"
#include "jsonx.h"

#define MINT_TIMEOUT_MS 5000L
#define SUBMIT_TIMEOUT_MS 600000L
#define ENTRIES_MAX 16
#define RETRIES_MAX 100
/* Backoff where the answer sets none.  */
#define RETRY_MS 200

struct submit_options
{
  const char **entry;
  int entries;
  int retries;
};

static void
sleep_ms (uint64_t ms)
{
  struct timespec t = { .tv_sec = (time_t)(ms / 1000),
                        .tv_nsec = (long)(ms % 1000) * 1000000L };

  nanosleep (&t, NULL);
}

static bool
has_id_or_key (struct json_object *job)
{
  return json_object_object_get_ex (job, "id", NULL)
         || json_object_object_get_ex (job, "key", NULL);
}

/* An id makes retries idempotent: no task starts twice.  */
static void
assign_id (struct cli_context *cli, const struct submit_options *options,
           struct json_object *job)
{
  for (int i = 0; i < options->entries && !has_id_or_key (job); i++)
    {
      struct lv_slice none = { NULL, 0 };
      char *url
          = talloc_asprintf (cli->ev, "%s/v1/submissions", options->entry[i]);
      struct cli_reply reply
          = cli_http (cli, "ONCE", url, none, MINT_TIMEOUT_MS);
      struct json_object *json = jsx_parse (lv_slice_of (reply.body));
      struct json_object *ids = NULL;
      if (json_object_object_get_ex (json, "ids", &ids)
          && json_object_is_type (ids, json_type_array)
          && json_object_array_length (ids) > 0)
        json_object_object_add (
            job, "id", json_object_get (json_object_array_get_idx (ids, 0)));
      json_object_put (json);
    }
}

/* Backoff before a retry, ms, 0 for no retry.  A job is retried if there was
   no answer, or if the answer says that it has not run and sets a backoff.  */
static uint64_t
retry_after_ms (const struct cli_reply *reply)
{
  struct json_object *json;
  struct json_object *error = NULL;
  uint64_t wait = 0;

  if (reply->err != 0)
    return RETRY_MS;
  json = jsx_parse (lv_slice_of (reply->body));
  if (json_object_object_get_ex (json, "error", &error)
      && json_object_object_get_ex (error, "not_run", NULL))
    wait = jsx_uint (error, "retry_after_ms", 0);
  json_object_put (json);
  return wait;
}

static struct cli_reply
submit (struct cli_context *cli, const struct submit_options *options,
        struct lv_slice body)
{
  struct cli_reply reply = { 0 };

  for (int try = 0; try <= options->retries; try++)
    {
      char *url = talloc_asprintf (cli->ev, "%s/v1/jobs",
                                   options->entry[try % options->entries]);
      uint64_t wait;
      reply = cli_http (cli, "ONCE", url, body, SUBMIT_TIMEOUT_MS);
      wait = retry_after_ms (&reply);
      if (wait == 0 || try == options->retries)
        break;
      fprintf (stderr, "retry %d of %d in %lu ms\n", try + 1, options->retries,
               (unsigned long)wait);
      sleep_ms (wait);
    }
  return reply;
}

static int
submit_file (struct cli_context *cli, struct submit_options *options,
             const char *path)
{
  struct lv_slice body;
  struct json_object *job;
  struct cli_reply reply;

  body.data = cli_read_file (cli, path, &body.len);
  if (body.data == NULL)
    return DMN_USAGE;
  job = options->retries > 0 ? jsx_parse (body) : NULL;
  if (json_object_is_type (job, json_type_object))
    {
      assign_id (cli, options, job);
      body = lv_slice_of (json_object_to_json_string (job));
    }
  /* Without an id or key, a retry could run the job twice.  */
  if (!has_id_or_key (job))
    options->retries = 0;
  reply = submit (cli, options, body);
  json_object_put (job);
  return cli_print_reply (&reply);
}

int
cli_submit (struct cli_context *cli, int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_str *entry = arg_strn ("e", "entry", "URL", 1, ENTRIES_MAX,
                                    "entries, http://IP:PORT, tried in turn");
  struct arg_int *retries
      = arg_int0 ("r", "retries", "N", "retries of the same job, 0 to 100");
  struct arg_file *file
      = arg_file1 (NULL, NULL, "FILE", "job, JSON as in docs/PROTOCOLS.md");
  struct arg_end *end = arg_end (4);
  void *table[] = { help, entry, retries, file, end };
  int rc = cli_parse (argc, argv, table, 5, "submit");

  if (rc < 0)
    {
      struct submit_options options
          = { entry->sval, entry->count,
              retries->count > 0 ? retries->ival[0] : 0 };
      if (options.retries < 0 || options.retries > RETRIES_MAX)
        {
          fprintf (stderr, "submit: --retries: found %d, expected 0 to %d\n",
                   options.retries, RETRIES_MAX);
          rc = DMN_USAGE;
        }
      else
        rc = submit_file (cli, &options, file->filename[0]);
    }
  arg_freetable (table, 5);
  return rc;
}
