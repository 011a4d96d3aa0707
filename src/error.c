#include "error.h"

#include <stdarg.h>
#include <stdio.h>

int
err_set (struct err_error *err, int code, const char *step, const char *peer,
         const char *format, ...)
{
  va_list args;

  if (err == NULL)
    return code;
  err->code = code;
  err->step = step;
  snprintf (err->peer, sizeof err->peer, "%s", peer != NULL ? peer : "");
  va_start (args, format);
  vsnprintf (err->detail, sizeof err->detail, format, args);
  va_end (args);
  return code;
}
