#include "logline.h"

#include <errno.h>
#include <limits.h>
#include <log4c.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <time.h>
#include <unistd.h>

#include "clock.h"

#define LINE_MAX_BYTES 768
#define BUFFER_BYTES (1 << 16)
/* Events with a counter of their own; further ones share the last.  */
#define RATELIMIT_EVENTS 16

static const int priorities[] = { LOG4C_PRIORITY_ERROR, LOG4C_PRIORITY_WARN,
                                  LOG4C_PRIORITY_INFO, LOG4C_PRIORITY_DEBUG };
static const char *const level_names[] = { "error", "warn", "info", "debug" };

static log4c_category_t *category;
static char identity[320];
static char buffer[BUFFER_BYTES];
static size_t buffered;
static unsigned dropped; /* lines that did not fit into the buffer */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

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
  size_t len = strlen (event->evt_rendered_msg);

  (void)appender;
  pthread_mutex_lock (&lock);
  if (buffered + len > sizeof buffer)
    dropped++;
  else
    {
      memcpy (buffer + buffered, event->evt_rendered_msg, len);
      buffered += len;
    }
  pthread_mutex_unlock (&lock);
  return 0;
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

static void
replace_controls (char *text)
{
  for (; *text != '\0'; text++)
    if ((unsigned char)*text < ' ' || *text == '\x7f')
      *text = '?';
}

static void
write_event (enum log_level level, const char *event, const char *format,
             va_list args)
{
  char text[LINE_MAX_BYTES];

  vsnprintf (text, sizeof text, format, args);
  replace_controls (text);
  log4c_category_log (category, priorities[level], "event=%s %s", event, text);
  if (level <= LOGL_WARN)
    log_flush ();
}

void
log_line (enum log_level level, const char *event, const char *format, ...)
{
  va_list args;

  if (!log_enabled (level))
    return;
  va_start (args, format);
  write_event (level, event, format, args);
  va_end (args);
}

/* Lines of one event in the current second.  Events are distinguished by the
   address of their name.  */
struct event_rate
{
  const char *event;
  uint64_t second;
  unsigned count;
};

static struct event_rate *
find_event_rate (const char *event)
{
  static _Thread_local struct event_rate table[RATELIMIT_EVENTS];
  unsigned i;

  for (i = 0; i < RATELIMIT_EVENTS - 1; i++)
    if (table[i].event == event || table[i].event == NULL)
      break;
  table[i].event = event;
  return &table[i];
}

/* Whether one more line of EVENT may be written now.  */
static bool
within_limit (const char *event)
{
  struct event_rate *rate = find_event_rate (event);
  uint64_t second = clk_now () / CLK_S;

  if (rate->second != second)
    {
      if (rate->count > LOG_RATELIMIT_PER_S)
        log_line (LOGL_INFO, "log-left-out", "of=%s lines=%u", event,
                  rate->count - LOG_RATELIMIT_PER_S);
      rate->second = second;
      rate->count = 0;
    }
  return ++rate->count <= LOG_RATELIMIT_PER_S;
}

void
log_ratelimited (enum log_level level, const char *event, const char *format,
                 ...)
{
  va_list args;

  if (!log_enabled (level) || !within_limit (event))
    return;
  va_start (args, format);
  write_event (level, event, format, args);
  va_end (args);
}

/* Write as much of the buffer as is possible without blocking.  Return: bytes
   written.  */
static size_t
write_buffer (void)
{
  struct pollfd p = { STDOUT_FILENO, POLLOUT, 0 };
  size_t done = 0;

  /* A writable pipe accepts PIPE_BUF bytes without blocking.  */
  while (done < buffered && poll (&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0)
    {
      size_t len = buffered - done;
      ssize_t n = write (STDOUT_FILENO, buffer + done,
                         len < PIPE_BUF ? len : PIPE_BUF);

      if (n <= 0)
        break;
      done += (size_t)n;
    }
  return done;
}

void
log_flush (void)
{
  unsigned reported;
  size_t done;

  pthread_mutex_lock (&lock);
  done = write_buffer ();
  memmove (buffer, buffer + done, buffered - done);
  buffered -= done;
  reported = buffered < sizeof buffer / 2 ? dropped : 0;
  dropped -= reported;
  pthread_mutex_unlock (&lock);
  if (reported > 0)
    log_line (LOGL_INFO, "log-lost", "why=reader-too-slow lines=%u", reported);
}
