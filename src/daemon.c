#include "daemon.h"

#include <argtable2.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>

#include "logline.h"
#include "reload.h"
#include "xtalloc.h"

int
dmn_report_error (const struct err_error *err)
{
  fprintf (stderr, "error: step=%s peer=%s code=%d: %s\n", err->step,
           err->peer, err->code, err->detail);
  return err->code == -EINVAL ? DMN_USAGE : DMN_FAILED;
}

static int
report_bad_level (const char *level)
{
  fprintf (stderr,
           "error: key log.level: found %s, expected error, warn, info or "
           "debug\n",
           level);
  return DMN_USAGE;
}

static int
load_settings (const char *path, void *mem_ctx, const struct set_key *keys,
               void *out, int check)
{
  struct err_error err;

  if (set_load (mem_ctx, keys, out, path, &err) != 0)
    {
      dmn_report_error (&err);
      return DMN_USAGE;
    }
  if (check)
    {
      printf ("%s: settings are valid\n", path);
      return DMN_OK;
    }
  return -1;
}

/* Process the arguments and load the settings file into OUT.  Return: -1 to
   continue, or the exit code.  */
static int
process_arguments (int argc, char **argv, const char *program, void *mem_ctx,
                   const struct set_key *keys, void *out)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print the version");
  struct arg_lit *check
      = arg_lit0 (NULL, "check", "check the settings file and exit");
  struct arg_file *file
      = arg_file1 (NULL, NULL, "SETTINGS", "settings file, JSON");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, version, check, file, end };
  int errors = arg_parse (argc, argv, table);
  int rc;

  if (help->count > 0)
    {
      printf ("Usage: %s", program);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-16s %s\n");
      set_print_keys (keys);
      puts ("Exit codes: 0 stopped cleanly, 1 failed, 2 wrong arguments or "
            "settings");
      rc = DMN_OK;
    }
  else if (version->count > 0)
    {
      printf ("%s %s\n", program, LV_VERSION);
      rc = DMN_OK;
    }
  else if (errors > 0)
    {
      arg_print_errors (stderr, end, program);
      rc = DMN_USAGE;
    }
  else
    rc = load_settings (file->filename[0], mem_ctx, keys, out, check->count);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return rc;
}

struct signal_handler
{
  void (*leave) (int number, void *state);
  void *state;
};

static void
on_signal (struct tevent_context *ev, struct tevent_signal *se, int number,
           int count, void *info, void *priv)
{
  const struct signal_handler *h = priv;

  (void)ev;
  (void)se;
  (void)count;
  (void)info;
  h->leave (number, h->state);
}

/* Run the event loop until the daemon is done.  */
static void
run (struct tevent_context *ev, const struct dmn_daemon *daemon, void *state)
{
  struct signal_handler *h = xtalloc_zero (ev, struct signal_handler);

  h->leave = daemon->leave;
  h->state = state;
  xtalloc_check (tevent_add_signal (ev, h, SIGTERM, 0, on_signal, h));
  xtalloc_check (tevent_add_signal (ev, h, SIGINT, 0, on_signal, h));
  while (!daemon->done (state))
    tevent_loop_once (ev);
}

static const char *
text_at (const void *settings, size_t offset)
{
  return *(char *const *)((const char *)settings + offset);
}

int
dmn_main (int argc, char **argv, const struct dmn_daemon *daemon,
          void *settings, void *state)
{
  struct tevent_context *ev = xtalloc_check (tevent_context_init (NULL));
  const char *level;
  struct err_error err;
  int rc;

  signal (SIGPIPE, SIG_IGN);
  rc = process_arguments (argc, argv, daemon->program, ev, daemon->keys,
                          settings);
  if (rc >= 0)
    return rc;
  level = text_at (settings, daemon->level_offset);
  if (log_init (daemon->role, text_at (settings, daemon->name_offset), level)
      != 0)
    return report_bad_level (level);
  if (daemon->open (state, ev, settings, &err) != 0)
    return dmn_report_error (&err);
  if (daemon->settings_changed != NULL)
    rld_watch (ev, ev, argv[1], daemon->keys, daemon->settings_size,
               daemon->settings_changed, state);
  run (ev, daemon, state);
  daemon->finish (state);
  log_flush ();
  return DMN_OK;
}
