#include "logline.h"

#include <errno.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <time.h>

#define LINE_MAX_BYTES 768
#define BUFFER_BYTES (1 << 16)

static const int priorities[] = { LOG4C_PRIORITY_ERROR, LOG4C_PRIORITY_WARN,
                                  LOG4C_PRIORITY_INFO, LOG4C_PRIORITY_DEBUG };
static const char *const level_names[] = { "error", "warn", "info", "debug" };

static log4c_category_t *category;
static char identity[128];
static char buffer[BUFFER_BYTES];

static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  static _Thread_local char line[LINE_MAX_BYTES + 256];
  struct timespec now;
  unsigned level = 0;

  (void)layout;
  while (level < LOGL_DEBUG && priorities[level] != event->evt_priority)
    level++;
  clock_gettime (CLOCK_REALTIME, &now);
  snprintf (line, sizeof line, "time=%lld.%06ld level=%s %s %s\n",
            (long long)now.tv_sec, now.tv_nsec / 1000, level_names[level],
            identity, event->evt_msg);
  return line;
}

static const log4c_layout_type_t layout_type = { "keyvalue", format_line };

static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void)appender;
  return fputs (event->evt_rendered_msg, stderr);
}

static const log4c_appender_type_t appender_type
    = { "lagoonvale", NULL, append_line, NULL };

int
log_init (const char *role, const char *name, const char *level)
{
  log4c_layout_t *layout;
  log4c_appender_t *appender;
  unsigned l = 0;

  while (l <= LOGL_DEBUG && strcasecmp (level_names[l], level) != 0)
    l++;
  if (l > LOGL_DEBUG)
    return -EINVAL;
  snprintf (identity, sizeof identity, "role=%s name=%s", role, name);
  setvbuf (stderr, buffer, _IOFBF, sizeof buffer);
  log4c_init ();
  log4c_layout_type_set (&layout_type);
  layout = log4c_layout_get ("lagoonvale");
  log4c_layout_set_type (layout, &layout_type);
  log4c_appender_type_set (&appender_type);
  appender = log4c_appender_get ("lagoonvale");
  log4c_appender_set_type (appender, &appender_type);
  log4c_appender_set_layout (appender, layout);
  category = log4c_category_get ("lagoonvale");
  log4c_category_set_appender (category, appender);
  log4c_category_set_additivity (category, 0);
  log4c_category_set_priority (category, priorities[l]);
  return 0;
}

bool
log_enabled (enum log_level level)
{
  return category != NULL
         && log4c_category_is_priority_enabled (category, priorities[level]);
}

void
log_line (enum log_level level, const char *event, const char *format, ...)
{
  char text[LINE_MAX_BYTES];
  va_list args;

  if (!log_enabled (level))
    return;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  log4c_category_log (category, priorities[level], "event=%s %s", event, text);
  if (level <= LOGL_WARN)
    log_flush ();
}

void
log_flush (void)
{
  fflush (stderr);
}
