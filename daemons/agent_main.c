/**
 * DOC: lagoonvale-agent
 *
 * Main program of the agent.
 */
#include "agent.h"
#include "daemon.h"
#include "logline.h"

static int
open_agent (void *state, struct tevent_context *ev, const void *settings,
            struct err_error *err)
{
  return agt_start (state, ev, settings, err);
}

static void
leave (int number, void *state)
{
  (void)number;
  agt_leave (state, "signal");
}

static bool
done (const void *state)
{
  return agt_done (state);
}

static void
finish (void *state)
{
  (void)state;
  log_line (LOGL_INFO, "stopped", "why=left");
}

int
main (int argc, char **argv)
{
  static struct agt_agent agent;
  static const struct dmn_daemon daemon
      = { .program = "lagoonvale-agent",
          .role = "agent",
          .keys = agt_keys,
          .settings_size = sizeof (struct agt_settings),
          .name_offset = offsetof (struct agt_settings, name),
          .level_offset = offsetof (struct agt_settings, log_level),
          .open = open_agent,
          .leave = leave,
          .done = done,
          .finish = finish };
  struct agt_settings settings = { 0 };

  return dmn_main (argc, argv, &daemon, &settings, &agent);
}
