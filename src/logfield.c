#include "lagoonvale/logfield.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
lgf_text (const char *line, const char *key, char *out, size_t size)
{
  size_t len = strlen (key);
  const char *at = line;

  out[0] = '\0';
  while ((at = strstr (at, key)) != NULL)
    {
      if ((at == line || at[-1] == ' ') && at[len] == '=')
        {
          snprintf (out, size, "%.*s", (int)strcspn (at + len + 1, " "),
                    at + len + 1);
          return;
        }
      at += len;
    }
}

double
lgf_number (const char *line, const char *key)
{
  char text[LGF_TEXT_MAX];
  double value;

  lgf_text (line, key, text, sizeof text);
  value = strtod (text, NULL);
  return isfinite (value) ? value : 0;
}
