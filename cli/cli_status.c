#include <argtable2.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "cli.h"
#include "daemon.h"

#define STATUS_TIMEOUT_MS 5000L
/* Most dispatchers that one call shows.  */
#define METRICS_MAX 256

static int
show_entry (struct cli_context *cli, const char *entry)
{
  struct lv_slice none = { NULL, 0 };
  char *url = talloc_asprintf (cli->ev, "%s/v1/status", entry);
  struct cli_reply reply = cli_http (cli, "GET", url, none, STATUS_TIMEOUT_MS);

  return cli_print_reply (&reply);
}

/* What is shown of a dispatcher's metrics.  */
enum column
{
  CONFIG,
  AGENTS,
  JOBS,
  WAITING,
  COLUMNS
};

static const struct
{
  const char *metric;
  const char *title;
} columns[COLUMNS] = {
  [CONFIG] = { "lagoonvale_config_version", "config" },
  [AGENTS] = { "lagoonvale_agents_joined", "agents" },
  [JOBS] = { "lagoonvale_open_jobs", "jobs" },
  [WAITING] = { "lagoonvale_waiting_mcore_ms", "waiting_mcore_ms" },
};

/**
 * struct row - one dispatcher
 * @answered: its metrics were read, and have all columns
 */
struct row
{
  const char *address;
  bool answered;
  uint64_t value[COLUMNS];
};

/* Read the metric NAME from a metrics page.  Return: whether it is there.  */
static bool
read_metric (const char *page, const char *name, uint64_t *value)
{
  size_t len = strlen (name);
  const char *line = page;
  const char *end;

  while (strncmp (line, name, len) != 0 || line[len] != ' ')
    {
      end = strchr (line, '\n');
      if (end == NULL)
        return false;
      line = end + 1;
    }
  *value = strtoull (line + len, NULL, 10);
  return true;
}

static void
read_row (struct cli_context *cli, struct row *row)
{
  struct lv_slice none = { NULL, 0 };
  char *url = talloc_asprintf (cli->ev, "%s/metrics", row->address);
  struct cli_reply reply = cli_http (cli, "GET", url, none, STATUS_TIMEOUT_MS);
  int c;

  row->answered = cli_exit_code (&reply) == DMN_OK;
  for (c = 0; c < COLUMNS; c++)
    row->answered
        = row->answered
          && read_metric (reply.body, columns[c].metric, &row->value[c]);
}

static void
print_row (const struct row *row, uint64_t newest)
{
  int c;

  printf ("%-28s", row->address);
  for (c = 0; row->answered && c < COLUMNS; c++)
    printf (" %*" PRIu64, (int)strlen (columns[c].title) + 4, row->value[c]);
  if (!row->answered)
    printf (" no answer");
  else if (row->value[CONFIG] < newest)
    printf ("  behind");
  putchar ('\n');
}

/* Show the dispatchers with metrics at ADDRESSES.  Return: DMN_OK if all
   answer and have the newest configuration of them, else DMN_FAILED.  */
static int
show_dispatchers (struct cli_context *cli, const char **addresses, int count)
{
  struct row *rows = talloc_zero_array (cli->ev, struct row, count);
  uint64_t newest = 0;
  int rc = DMN_OK;
  int i;
  int c;

  for (i = 0; i < count; i++)
    {
      rows[i].address = addresses[i];
      read_row (cli, &rows[i]);
      if (rows[i].answered && rows[i].value[CONFIG] > newest)
        newest = rows[i].value[CONFIG];
    }
  printf ("%-28s", "dispatcher");
  for (c = 0; c < COLUMNS; c++)
    printf (" %*s", (int)strlen (columns[c].title) + 4, columns[c].title);
  putchar ('\n');
  for (i = 0; i < count; i++)
    {
      print_row (&rows[i], newest);
      if (!rows[i].answered || rows[i].value[CONFIG] < newest)
        rc = DMN_FAILED;
    }
  return rc;
}

int
cli_status (struct cli_context *cli, int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_str *entry
      = arg_str0 ("e", "entry", "URL", "entry, http://IP:PORT");
  struct arg_str *metrics
      = arg_strn ("m", "metrics", "URL", 0, METRICS_MAX,
                  "metrics of a dispatcher, http://IP:PORT; may be repeated");
  struct arg_end *end = arg_end (4);
  void *table[] = { help, entry, metrics, end };
  int rc = cli_parse (argc, argv, table, 4, "status");

  if (rc < 0 && (entry->count > 0) == (metrics->count > 0))
    {
      fprintf (stderr, "status: expected either --entry or --metrics\n");
      rc = DMN_USAGE;
    }
  else if (rc < 0 && entry->count > 0)
    rc = show_entry (cli, entry->sval[0]);
  else if (rc < 0)
    rc = show_dispatchers (cli, metrics->sval, metrics->count);
  arg_freetable (table, 4);
  return rc;
}
