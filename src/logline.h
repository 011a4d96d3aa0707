/**
 * DOC: logline
 *
 * One structured line (key=value) per event, through log4c, to standard
 * output.  Logging never blocks on the reader: lines that do not fit into the
 * buffer are dropped, counted and reported in a line of their own.  Control
 * characters are replaced, so that no value can forge a line.
 */
#ifndef LV_LOGLINE_H
#define LV_LOGLINE_H

#include <stdbool.h>

/** Log levels, most severe first. */
enum log_level
{
  LOGL_ERROR,
  LOGL_WARN,
  LOGL_INFO,
  LOGL_DEBUG,
};

/**
 * log_init() - open the log of this process on standard output
 * @role: "entry", "agent", ...
 * @name: name of the instance
 * @level: "error", "warn", "info" or "debug"
 *
 * Return: 0, or -EINVAL for an unknown level.
 */
int log_init (const char *role, const char *name, const char *level);

/** log_enabled() - whether lines of @level are written. */
bool log_enabled (enum log_level level);

/**
 * log_line() - write one line
 * @level: severity
 * @event: static name of the event, for example "place"
 * @format: printf format of "key=value key=value"
 */
void log_line (enum log_level level, const char *event, const char *format,
               ...) __attribute__ ((format (printf, 3, 4)));

/**
 * log_ratelimited() - like log_line(), for events whose rate grows with
 * load
 *
 * At most LOG_RATELIMIT_PER_S lines of one event are written in a second; a
 * line "log-left-out" reports how many were not.
 */
void log_ratelimited (enum log_level level, const char *event,
                      const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Lines of one event that log_ratelimited() writes in a second. */
#define LOG_RATELIMIT_PER_S 100U

/** log_flush() - write the buffer without blocking; called once per tick of
 * the event loop. */
void log_flush (void);

#endif
