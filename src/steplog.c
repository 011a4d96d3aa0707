#include "lagoonvale/steplog.h"

#include <talloc.h>

#define KEPT (SLG_FIRST + SLG_NEWEST)

/* Place of the step that was added as number N.  */
static unsigned
place_of (unsigned n)
{
  return n < SLG_FIRST ? n : SLG_FIRST + (n - SLG_FIRST) % SLG_NEWEST;
}

void
slg_add (struct slg_log *t, void *mem_ctx, const struct slg_step *step)
{
  if (t->steps == NULL)
    t->steps = talloc_array (mem_ctx, struct slg_step, KEPT);
  if (t->steps != NULL)
    t->steps[place_of (t->count++)] = *step;
}

static char *
append_step (char *text, const struct slg_step *s)
{
  text = talloc_asprintf_append_buffer (text, "%s%ums %s %u",
                                        text[0] != '\0' ? "; " : "", s->at_ms,
                                        s->what, s->task);
  if (s->count > 1)
    text = talloc_asprintf_append_buffer (text, "+%u", s->count - 1);
  return talloc_asprintf_append_buffer (text, "/%u@%s", s->attempt,
                                        s->instance);
}

char *
slg_format (void *mem_ctx, const struct slg_log *t)
{
  char *text = talloc_strdup (mem_ctx, "");
  unsigned gone = t->count > KEPT ? t->count - KEPT : 0;
  unsigned i;

  for (i = 0; i < t->count; i++)
    {
      if (gone > 0 && i == SLG_FIRST)
        {
          text = talloc_asprintf_append_buffer (text, "; %u left out", gone);
          i += gone;
        }
      text = append_step (text, &t->steps[place_of (i)]);
    }
  return text;
}
