/**
 * DOC: lagoonvale
 *
 * Command-line client for operators and callers.
 */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "cli.h"
#include "daemon.h"
#include "jsonx.h"

#define FILE_MAX_BYTES (4U << 20)

struct pending_request
{
  struct cli_reply reply;
  bool done;
};

static void
http_done (int err, long status, struct lv_slice body, void *priv)
{
  struct pending_request *w = priv;

  w->reply.err = err;
  w->reply.status = status;
  w->reply.body
      = talloc_strndup (NULL, body.data != NULL ? body.data : "", body.len);
  w->done = true;
}

struct cli_reply
cli_http (struct cli_context *cli, const char *method, const char *url,
          struct lv_slice body, long timeout_ms)
{
  struct pending_request w = { .done = false };

  hcl_send (cli->client, method, url, body, timeout_ms, http_done, &w);
  while (!w.done)
    tevent_loop_once (cli->ev);
  talloc_steal (cli->ev, w.reply.body);
  return w.reply;
}

char *
cli_read_file (struct cli_context *cli, const char *path, size_t *len)
{
  char *text = talloc_size (cli->ev, FILE_MAX_BYTES + 1);
  FILE *file = fopen (path, "rbe");

  if (file == NULL)
    {
      fprintf (stderr, "error: %s: cannot open\n", path);
      return NULL;
    }
  *len = fread (text, 1, FILE_MAX_BYTES + 1, file);
  fclose (file);
  if (*len > FILE_MAX_BYTES)
    {
      fprintf (stderr, "error: %s: longer than %u bytes\n", path,
               FILE_MAX_BYTES);
      return NULL;
    }
  text[*len] = '\0';
  return text;
}

bool
cli_post_file (struct cli_context *cli, const char *entry, const char *path,
               const char *file, long timeout_ms, struct cli_reply *reply)
{
  char *url = talloc_asprintf (cli->ev, "%s%s", entry, path);
  struct lv_slice body;

  body.data = cli_read_file (cli, file, &body.len);
  if (body.data == NULL)
    return false;
  *reply = cli_http (cli, "ONCE", url, body, timeout_ms);
  return true;
}

bool
cli_read_log (const char *path, void (*add) (void *priv, struct lv_slice line),
              void *priv)
{
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "re");
  char *line = NULL;
  size_t size = 0;
  ssize_t len;

  if (file == NULL)
    {
      fprintf (stderr, "error: %s: cannot open\n", path);
      return false;
    }
  while ((len = getline (&line, &size, file)) > 0)
    {
      struct lv_slice text = { line, (size_t)len - (line[len - 1] == '\n') };

      add (priv, text);
    }
  free (line);
  if (file != stdin)
    fclose (file);
  return true;
}

int
cli_parse (int argc, char **argv, void **table, int count, const char *command)
{
  struct arg_lit *help = table[0];
  struct arg_end *end = table[count - 1];
  int errors = arg_parse (argc, argv, table);

  if (help->count > 0)
    {
      printf ("Usage: lagoonvale %s", command);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      return DMN_OK;
    }
  if (errors == 0)
    return -1;
  arg_print_errors (stderr, end, command);
  fprintf (stderr, "Try: lagoonvale %s --help\n", command);
  return DMN_USAGE;
}

int
cli_exit_code (const struct cli_reply *reply)
{
  struct json_object *json;
  struct json_object *error = NULL;
  struct json_object *not_run = NULL;
  int code = DMN_UNKNOWN;

  if (reply->err == 0 && reply->status >= 200 && reply->status < 300)
    return DMN_OK;
  json = jsx_parse (lv_slice_of (reply->body));
  if (json_object_object_get_ex (json, "error", &error)
      && json_object_object_get_ex (error, "not_run", &not_run))
    code = DMN_REFUSED;
  json_object_put (json);
  return code;
}

int
cli_print_reply (const struct cli_reply *reply)
{
  if (reply->err != 0)
    {
      fprintf (stderr, "error: step=request code=%d: no complete answer\n",
               reply->err);
      return DMN_UNKNOWN;
    }
  puts (reply->body);
  return cli_exit_code (reply);
}

static const struct
{
  const char *name;
  int (*run) (struct cli_context *cli, int argc, char **argv);
  const char *help;
} commands[] = {
  { "rules", cli_rules, "check, publish, show, diff or explain rules" },
  { "status", cli_status,
    "show an entry's view of the fleet, or which dispatchers are behind" },
  { "where", cli_where,
    "explain where a job would go now, without sending it" },
  { "settings", cli_settings, "check a settings file" },
  { "submit", cli_submit, "submit a job and print its answer" },
  { "explain", cli_explain, "show the timeline of a request from the logs" },
  { "report", cli_report, "plot the logs of dispatchers as an SVG image" },
  { "cancel", cli_cancel, "cancel a submission" },
};

static int
usage (FILE *out, int code)
{
  fputs ("Usage: lagoonvale COMMAND [--help] ...\n", out);
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    fprintf (out, "  %-10s %s\n", commands[i].name, commands[i].help);
  fputs ("Exit codes: 0 done, 1 failed, 2 wrong arguments or file, 3 refused "
         "and not run, 4 outcome unknown, may have run\n",
         out);
  return code;
}

int
main (int argc, char **argv)
{
  struct cli_context cli;
  int rc = -1;

  signal (SIGPIPE, SIG_IGN);
  if (argc < 2)
    return usage (stderr, DMN_USAGE);
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "-h") == 0)
    return usage (stdout, DMN_OK);
  if (strcmp (argv[1], "--version") == 0)
    {
      printf ("lagoonvale %s\n", LV_VERSION);
      return DMN_OK;
    }
  cli.ev = tevent_context_init (NULL);
  cli.client = hcl_new (cli.ev, cli.ev, 4);
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      rc = commands[i].run (&cli, argc - 1, argv + 1);
  if (rc < 0)
    rc = usage (stderr, DMN_USAGE);
  talloc_free (cli.ev);
  return rc;
}
