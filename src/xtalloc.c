#include "xtalloc.h"

#include <stdlib.h>
#include <unistd.h>

void *
xtalloc_check (void *ptr)
{
  static const char line[] = "error: out of memory\n";

  if (ptr != NULL)
    return ptr;
  if (write (STDERR_FILENO, line, sizeof line - 1) < 0)
    _exit (XTALLOC_EXIT);
  exit (XTALLOC_EXIT);
}

char *
xtalloc_strdup (const void *ctx, const char *text)
{
  return text != NULL ? xtalloc_check (talloc_strdup (ctx, text)) : NULL;
}

char *
xtalloc_strndup (const void *ctx, const char *text, size_t n)
{
  return text != NULL ? xtalloc_check (talloc_strndup (ctx, text, n)) : NULL;
}
