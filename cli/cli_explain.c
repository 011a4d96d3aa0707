#include <argtable2.h>
#include <stdio.h>

#include "cli.h"
#include "daemon.h"
#include "lagoonvale/timeline.h"

#define LOGS_MAX 4096

static void
add_line (void *priv, struct lv_slice line)
{
  tml_add_line (priv, line);
}

int
cli_explain (struct cli_context *cli, int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_str *id = arg_str1 (NULL, NULL, "ID", "id of a request");
  struct arg_file *logs
      = arg_filen (NULL, NULL, "LOG", 1, LOGS_MAX,
                   "logs of the processes, - for standard input");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, id, logs, end };
  struct tml_timeline timeline;
  int rc = cli_parse (argc, argv, table, 4, "explain");

  if (rc >= 0)
    return rc;
  tml_init (&timeline, cli->ev, lv_slice_of (id->sval[0]));
  rc = DMN_OK;
  for (int i = 0; i < logs->count; i++)
    if (!cli_read_log (logs->filename[i], add_line, &timeline))
      rc = DMN_USAGE;
  if (rc == DMN_OK && timeline.matches == 0)
    {
      fprintf (stderr, "error: no log line names %s\n", id->sval[0]);
      rc = DMN_FAILED;
    }
  if (rc == DMN_OK)
    fputs (tml_format (&timeline), stdout);
  tml_finish (&timeline);
  return rc;
}
