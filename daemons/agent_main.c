/**
 * DOC: lagoonvale-agent
 *
 * Thin main of the agent: arguments, settings, signals, loop.
 */
#include <signal.h>
#include <stdlib.h>
#include <talloc.h>

#include "agent.h"
#include "daemon.h"
#include "logline.h"

static void
on_term (struct tevent_context *ev, struct tevent_signal *se, int number,
         int count, void *info, void *priv)
{
  (void)ev;
  (void)se;
  (void)number;
  (void)count;
  (void)info;
  agt_leave (priv, "signal");
}

int
main (int argc, char **argv)
{
  static struct agt_agent agent;
  struct agt_settings settings = { 0 };
  struct err_error err;
  struct tevent_context *ev = tevent_context_init (NULL);
  int rc
      = dmn_settings (argc, argv, "lagoonvale-agent", ev, agt_keys, &settings);

  if (rc >= 0)
    return rc;
  if (log_init ("agent", settings.name, settings.log_level) != 0)
    return dmn_bad_level (settings.log_level);
  if (agt_start (&agent, ev, &settings, &err) != 0)
    return dmn_fail (&err);
  tevent_add_signal (ev, ev, SIGTERM, 0, on_term, &agent);
  tevent_add_signal (ev, ev, SIGINT, 0, on_term, &agent);
  while (!agt_done (&agent))
    tevent_loop_once (ev);
  log_line (LOGL_INFO, "stopped", "why=left");
  log_flush ();
  return EXIT_SUCCESS;
}
