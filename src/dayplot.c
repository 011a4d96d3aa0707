#include "lagoonvale/dayplot.h"

#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "lagoonvale/logfield.h"
#include "xtalloc.h"

#define LINE_MAX_BYTES 4096
#define MCORE_MS_PER_CORE_S 1e6

/* Sizes of the image, pixels.  */
#define WIDTH 900
#define PANEL_HEIGHT 130
#define LEFT 60
#define RIGHT 20
#define TOP 24
#define BOTTOM 16

/* What was last logged by one process.  */
struct dpl_process
{
  char name[LGF_TEXT_MAX];
  double complete; /* since its start */
  double version;
  struct dpl_process *next;
};

/* A line of one panel: OFFSET of its value in struct dpl_second.  */
struct curve
{
  size_t offset;
  const char *label;
  const char *colour;
};

static const struct panel
{
  const char *title;
  struct curve curves[2];
} panels[] = {
  { "jobs a second",
    { { offsetof (struct dpl_second, served), "served", "#1b7837" },
      { offsetof (struct dpl_second, refused), "refused", "#b2182b" } } },
  { "waiting work, core-seconds",
    { { offsetof (struct dpl_second, waiting_core_s), "waiting", "#762a83" },
      { 0, NULL, NULL } } },
  { "agents",
    { { offsetof (struct dpl_second, agents), "taking orders", "#2166ac" },
      { offsetof (struct dpl_second, lost), "lost", "#b2182b" } } },
  { "version of the configuration in force",
    { { offsetof (struct dpl_second, version_max), "highest", "#2166ac" },
      { offsetof (struct dpl_second, version_min), "lowest", "#e08214" } } },
};

#define PANELS (sizeof panels / sizeof panels[0])
#define CURVES (sizeof panels[0].curves / sizeof panels[0].curves[0])

void
dpl_init (struct dpl_plot *p, void *mem_ctx)
{
  memset (p, 0, sizeof *p);
  p->mem_ctx = mem_ctx;
}

void
dpl_finish (struct dpl_plot *p)
{
  struct dpl_process *process;
  struct dpl_process *next;

  LL_FOREACH_SAFE (p->processes, process, next)
  talloc_free (process);
  talloc_free (p->seconds);
  p->processes = NULL;
  p->seconds = NULL;
}

static struct dpl_process *
get_process (struct dpl_plot *p, const char *line)
{
  struct dpl_process *process;
  char name[LGF_TEXT_MAX];

  lgf_text (line, "name", name, sizeof name);
  LL_FOREACH (p->processes, process)
  if (strcmp (process->name, name) == 0)
    return process;
  process = xtalloc_zero (p->mem_ctx, struct dpl_process);
  memcpy (process->name, name, sizeof name);
  LL_PREPEND (p->processes, process);
  return process;
}

/* Insert BEFORE seconds in front and AFTER behind, all zero.  */
static void
extend (struct dpl_plot *p, unsigned before, unsigned after)
{
  unsigned count = before + p->count + after;

  p->seconds
      = xtalloc_realloc (p->mem_ctx, p->seconds, struct dpl_second, count);
  memmove (p->seconds + before, p->seconds, p->count * sizeof *p->seconds);
  memset (p->seconds, 0, before * sizeof *p->seconds);
  memset (p->seconds + before + p->count, 0, after * sizeof *p->seconds);
  p->count = count;
  p->began_s -= before;
}

/* The second of AT_S, or NULL if it is not plotted.  */
static struct dpl_second *
get_second (struct dpl_plot *p, double at_s)
{
  double from_s = floor (at_s);
  double before;
  double after;

  if (p->count == 0)
    p->began_s = from_s;
  before = fmax (p->began_s - from_s, 0);
  after = fmax (from_s + 1 - p->began_s - p->count, 0);
  if (!(before + p->count + after <= DPL_SECONDS_MAX))
    return NULL;
  if (before + after > 0)
    extend (p, (unsigned)before, (unsigned)after);
  return &p->seconds[(unsigned)(from_s - p->began_s)];
}

static void
add_load (struct dpl_second *s, struct dpl_process *process, const char *line)
{
  double complete = lgf_number (line, "complete");
  double agents = lgf_number (line, "accepting");

  /* A process that started anew counts from 0.  */
  s->served += complete >= process->complete ? complete - process->complete
                                             : complete;
  process->complete = complete;
  s->waiting_core_s
      += lgf_number (line, "waiting_mcore_ms") / MCORE_MS_PER_CORE_S;
  if (agents > s->agents)
    s->agents = agents;
  if (process->version == 0)
    return;
  if (s->version_min == 0 || process->version < s->version_min)
    s->version_min = process->version;
  if (process->version > s->version_max)
    s->version_max = process->version;
}

static void
add_event (struct dpl_second *s, struct dpl_process *process,
           const char *event, const char *line)
{
  char outcome[LGF_TEXT_MAX];

  if (strcmp (event, "load") == 0)
    add_load (s, process, line);
  else if (strcmp (event, "config") == 0)
    process->version = lgf_number (line, "version");
  else if (strcmp (event, "started") == 0)
    process->version = process->complete = 0;
  else if (strcmp (event, "agent-lost") == 0)
    s->lost++;
  else if (strcmp (event, "job") == 0)
    {
      lgf_text (line, "outcome", outcome, sizeof outcome);
      s->refused += strcmp (outcome, "refused") == 0;
    }
}

static bool
read_time (const char *line, double *at_s)
{
  char text[LGF_TEXT_MAX];
  char *end;

  lgf_text (line, "time", text, sizeof text);
  *at_s = strtod (text, &end);
  return end != text && *end == '\0' && isfinite (*at_s);
}

void
dpl_add_line (struct dpl_plot *p, struct lv_slice line)
{
  char text[LINE_MAX_BYTES];
  char role[LGF_TEXT_MAX];
  char event[LGF_TEXT_MAX];
  const char *start;
  struct dpl_second *s;
  double at_s;

  snprintf (text, sizeof text, "%.*s", (int)line.len, line.data);
  start = strstr (text, "time=");
  if (start == NULL)
    return;
  lgf_text (start, "role", role, sizeof role);
  lgf_text (start, "event", event, sizeof event);
  if (strcmp (role, "entry") != 0 || event[0] == '\0')
    return;
  s = read_time (start, &at_s) ? get_second (p, at_s) : NULL;
  p->left_out += s == NULL;
  if (s != NULL)
    add_event (s, get_process (p, start), event, start);
}

static double
value_at (const struct dpl_plot *p, unsigned second, const struct curve *c)
{
  const char *base = (const char *)&p->seconds[second];
  double value;

  memcpy (&value, base + c->offset, sizeof value);
  return value;
}

static double
largest_value (const struct dpl_plot *p, const struct panel *panel)
{
  double largest = 1;
  unsigned c;
  unsigned i;

  for (c = 0; c < CURVES && panel->curves[c].label != NULL; c++)
    for (i = 0; i < p->count; i++)
      largest = fmax (largest, value_at (p, i, &panel->curves[c]));
  return largest;
}

static char *
append_curve (char *text, const struct dpl_plot *p, const struct curve *c,
              double top, double largest)
{
  double width = WIDTH - LEFT - RIGHT;
  double height = PANEL_HEIGHT - TOP - BOTTOM;
  unsigned i;

  text = xtalloc_asprintf_append_buffer (
      text, "<polyline fill=\"none\" stroke=\"%s\" points=\"", c->colour);
  for (i = 0; i < p->count; i++)
    text = xtalloc_asprintf_append_buffer (
        text, "%.1f,%.1f ", LEFT + width * (i + 0.5) / p->count,
        top + TOP + height * (1 - value_at (p, i, c) / largest));
  return xtalloc_strdup_append_buffer (text, "\"/>\n");
}

static char *
append_panel (char *text, const struct dpl_plot *p, const struct panel *panel,
              double top)
{
  double largest = largest_value (p, panel);
  unsigned c;

  text = xtalloc_asprintf_append_buffer (
      text,
      "<text x=\"%d\" y=\"%.0f\">%s</text>\n"
      "<text x=\"4\" y=\"%.0f\">%.6g</text>\n"
      "<rect x=\"%d\" y=\"%.0f\" width=\"%d\" height=\"%d\" fill=\"none\" "
      "stroke=\"#bbb\"/>\n",
      LEFT, top + TOP - 6, panel->title, top + TOP + 8, largest, LEFT,
      top + TOP, WIDTH - LEFT - RIGHT, PANEL_HEIGHT - TOP - BOTTOM);
  for (c = 0; c < CURVES && panel->curves[c].label != NULL; c++)
    {
      const struct curve *curve = &panel->curves[c];

      text = append_curve (text, p, curve, top, largest);
      text = xtalloc_asprintf_append_buffer (
          text, "<text x=\"%u\" y=\"%.0f\" fill=\"%s\">%s</text>\n",
          WIDTH - RIGHT - 240 + 120 * c, top + TOP - 6, curve->colour,
          curve->label);
    }
  return text;
}

char *
dpl_format (const struct dpl_plot *p)
{
  int height = (int)PANELS * PANEL_HEIGHT + BOTTOM;
  unsigned i;
  char *text = xtalloc_asprintf (
      p->mem_ctx,
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "
      "font-family=\"sans-serif\" font-size=\"12\">\n"
      "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
      WIDTH, height);

  for (i = 0; i < PANELS; i++)
    text = append_panel (text, p, &panels[i], (double)i * PANEL_HEIGHT);
  return xtalloc_asprintf_append_buffer (
      text,
      "<text x=\"%d\" y=\"%d\">%u s from time %.0f, one point a "
      "second</text>\n</svg>\n",
      LEFT, height - 4, p->count, p->began_s);
}
