/**
 * DOC: daemon
 *
 * Code shared by the mains of the daemons: arguments, exit codes, event loop.
 */
#ifndef LV_DAEMON_H
#define LV_DAEMON_H

#include <stdbool.h>
#include <stddef.h>

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
 * struct dmn_daemon - what differs between the mains of the daemons
 * @program: name of the executable
 * @role: role in the log
 * @keys: of the settings file
 * @settings_size: of the structure that @keys describes, bytes
 * @name_offset: of the instance's name in it, a char pointer
 * @level_offset: of the level of the log in it, a char pointer
 * @open: start with valid settings; on failure @err tells the step
 * @leave: called at each SIGTERM and SIGINT, with the signal number
 * @done: whether the event loop has to end
 * @settings_changed: the settings file has changed and is valid; NULL if the
 * settings are read at the start only
 * @finish: called after the event loop
 */
struct dmn_daemon
{
  const char *program;
  const char *role;
  const struct set_key *keys;
  size_t settings_size;
  size_t name_offset;
  size_t level_offset;
  int (*open) (void *state, struct tevent_context *ev, const void *settings,
               struct err_error *err);
  void (*leave) (int number, void *state);
  bool (*done) (const void *state);
  void (*settings_changed) (const void *settings, void *state);
  void (*finish) (void *state);
};

/**
 * dmn_main() - main function of a daemon
 * @settings: structure of @daemon's settings, zeroed
 * @state: for the functions of @daemon
 *
 * Prints what --help, --version or --check ask for, and errors.  Also ignores
 * SIGPIPE.
 *
 * Return: the exit code.
 */
int dmn_main (int argc, char **argv, const struct dmn_daemon *daemon,
              void *settings, void *state);

/** dmn_report_error() - print an error. Return: the exit code. */
int dmn_report_error (const struct err_error *err);

#endif
