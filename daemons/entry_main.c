/**
 * DOC: lagoonvale-entry
 *
 * Main program of the entry.
 */
#include "daemon.h"
#include "entry.h"
#include "logline.h"

static int
open_entry (void *state, struct tevent_context *ev, const void *settings,
            struct err_error *err)
{
  return ent_start (state, ev, settings, err);
}

static void
leave (int number, void *state)
{
  (void)number;
  ent_leave (state);
}

static bool
done (const void *state)
{
  return ent_done (state);
}

static void
finish (void *state)
{
  ent_finish (state);
  log_line (LOGL_INFO, "stopped", "why=left");
}

int
main (int argc, char **argv)
{
  static struct ent_entry entry;
  static const struct dmn_daemon daemon
      = { .program = "lagoonvale-entry",
          .role = "entry",
          .keys = ent_keys,
          .settings_size = sizeof (struct ent_settings),
          .name_offset = offsetof (struct ent_settings, name),
          .level_offset = offsetof (struct ent_settings, log_level),
          .open = open_entry,
          .leave = leave,
          .done = done,
          .finish = finish };
  struct ent_settings settings = { 0 };

  return dmn_main (argc, argv, &daemon, &settings, &entry);
}
