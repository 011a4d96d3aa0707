#include "lagoonvale/steplog.h"

#include <talloc.h>

#include "xtalloc.h"

#define CAPACITY (SLG_FIRST + SLG_NEWEST)

/* Index in the array of step number N: the newest are a ring buffer.  */
static unsigned
slot_of (unsigned n)
{
  return n < SLG_FIRST ? n : SLG_FIRST + (n - SLG_FIRST) % SLG_NEWEST;
}

void
slg_add (struct slg_log *log, void *mem_ctx, const struct slg_step *step)
{
  if (log->steps == NULL)
    log->steps = talloc_array (mem_ctx, struct slg_step, CAPACITY);
  if (log->steps != NULL)
    log->steps[slot_of (log->count++)] = *step;
}

static char *
append_step (char *text, const struct slg_step *s)
{
  text = xtalloc_asprintf_append_buffer (text, "%s%ums %s %u",
                                         text[0] != '\0' ? "; " : "", s->at_ms,
                                         s->kind, s->task);
  if (s->count > 1)
    text = xtalloc_asprintf_append_buffer (text, "+%u", s->count - 1);
  return xtalloc_asprintf_append_buffer (text, "/%u@%s", s->attempt,
                                         s->instance);
}

char *
slg_format (void *mem_ctx, const struct slg_log *log)
{
  char *text = xtalloc_strdup (mem_ctx, "");
  unsigned gap = log->count > CAPACITY ? log->count - CAPACITY : 0;
  unsigned i;

  for (i = 0; i < log->count; i++)
    {
      if (gap > 0 && i == SLG_FIRST)
        {
          text = xtalloc_asprintf_append_buffer (text, "; %u left out", gap);
          i += gap;
        }
      text = append_step (text, &log->steps[slot_of (i)]);
    }
  return text;
}
