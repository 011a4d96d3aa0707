/**
 * DOC: dayplot
 *
 * Plots what the dispatchers of a fleet logged, second by second, as an SVG
 * image: jobs served and refused, work that waits, agents that take orders and
 * connections lost, versions of the configuration in force.  Pure: lines in,
 * text out.
 */
#ifndef LV_DAYPLOT_H
#define LV_DAYPLOT_H

#include <stdint.h>

#include "lagoonvale/slice.h"

/** Most seconds that are plotted; lines that lie further apart are left out.
 */
#define DPL_SECONDS_MAX 3600

struct dpl_process;

/**
 * struct dpl_second - one second of all dispatchers
 * @served: jobs completed
 * @refused: jobs refused, which have not run
 * @waiting_core_s: declared work that waits
 * @agents: most agents that one dispatcher could order from
 * @lost: connections to agents lost
 * @version_min: lowest version in force at any, 0 if none has logged
 * @version_max: highest
 */
struct dpl_second
{
  double served;
  double refused;
  double waiting_core_s;
  double agents;
  double lost;
  double version_min;
  double version_max;
};

/**
 * struct dpl_plot - caller-owned
 * @seconds: from the earliest line on
 * @count: number of seconds
 * @left_out: number of lines left out
 * @began_s: time of the first second, by the clock of the logs
 */
struct dpl_plot
{
  void *mem_ctx;
  struct dpl_second *seconds;
  unsigned count;
  unsigned left_out;
  double began_s;
  struct dpl_process *processes;
};

/** dpl_init() - begin without lines. */
void dpl_init (struct dpl_plot *p, void *mem_ctx);

/** dpl_finish() - free all. */
void dpl_finish (struct dpl_plot *p);

/** dpl_add_line() - take over a line; others than those of a dispatcher are
 * ignored.  The lines of one process come in order. */
void dpl_add_line (struct dpl_plot *p, struct lv_slice line);

/** dpl_format() - the image. Return: a talloc string. */
char *dpl_format (const struct dpl_plot *p);

#endif
