#include <argtable2.h>
#include <stdio.h>

#include "cli.h"
#include "daemon.h"
#include "lagoonvale/dayplot.h"

#define LOGS_MAX 4096

static void
add_line (void *priv, struct lv_slice line)
{
  dpl_add_line (priv, line);
}

int
cli_report (struct cli_context *cli, int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_file *logs
      = arg_filen (NULL, NULL, "LOG", 1, LOGS_MAX,
                   "logs of dispatchers, - for standard input");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, logs, end };
  struct dpl_plot plot;
  int rc = cli_parse (argc, argv, table, 3, "report");

  if (rc >= 0)
    return rc;
  dpl_init (&plot, cli->ev);
  rc = DMN_OK;
  for (int i = 0; i < logs->count; i++)
    if (!cli_read_log (logs->filename[i], add_line, &plot))
      rc = DMN_USAGE;
  if (rc == DMN_OK && plot.count == 0)
    {
      fputs ("error: no line of a dispatcher\n", stderr);
      rc = DMN_FAILED;
    }
  if (rc == DMN_OK)
    fputs (dpl_format (&plot), stdout);
  if (plot.left_out > 0)
    fprintf (stderr, "left out: %u lines more than %d s apart\n",
             plot.left_out, DPL_SECONDS_MAX);
  dpl_finish (&plot);
  return rc;
}
