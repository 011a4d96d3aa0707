/**
 * DOC: daemon
 *
 * Code shared by the mains of the daemons: arguments, exit codes, event loop.
 */
#ifndef LV_DAEMON_H
#define LV_DAEMON_H

#include <tevent.h>

#include "error.h"
#include "settings.h"

/** Version of all programs. */
#define LV_VERSION "0.1.0"

/** Exit codes of all programs. */
enum dmn_exit
{
  DMN_OK = 0,
  DMN_FAILED = 1,  /* the command failed */
  DMN_USAGE = 2,   /* wrong arguments or settings */
  DMN_REFUSED = 3, /* the system refused the request: not run */
  DMN_UNKNOWN = 4, /* may have run, or outcome not known yet */
};

/**
 * dmn_load_settings() - process the arguments, load the settings file
 *
 * Prints what --help, --version or --check ask for, and errors.  Also ignores
 * SIGPIPE.
 *
 * Return: -1 to continue, or the exit code.
 */
int dmn_load_settings (int argc, char **argv, const char *program,
                       void *mem_ctx, const struct set_key *keys, void *out);

/**
 * dmn_run() - run the event loop until @done
 * @leave: called at each SIGTERM and SIGINT, with the signal number
 */
void dmn_run (struct tevent_context *ev,
              void (*leave) (int number, void *priv),
              bool (*done) (const void *priv), void *priv);

/** dmn_report_error() - print an error. Return: the exit code. */
int dmn_report_error (const struct err_error *err);

/** dmn_report_bad_level() - report an invalid log.level. Return: the exit
 * code.
 */
int dmn_report_bad_level (const char *level);

#endif
