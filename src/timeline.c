#include "lagoonvale/timeline.h"

#include <ctype.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>
#include <utlist.h>

#include "lagoonvale/logfield.h"
#include "xtalloc.h"

/* Time before and after the request from which state events are shown, s.  */
#define CONTEXT_S 1.0
/* Clock differences up to this are not corrected, s.  */
#define CLOCK_SLACK_S 0.02
#define MS_PER_S 1000.0

/* One line that may belong to the timeline.  */
struct tml_line
{
  double at_s;
  char name[LGF_TEXT_MAX];
  char event[LGF_TEXT_MAX];
  char *text;     /* from "event=" on */
  bool named;     /* names the request */
  bool entry;     /* written by an entry */
  double ran_s;   /* duration of the run that the line reports */
  double shift_s; /* added to at_s to correct the clock */
  struct tml_line *prev;
  struct tml_line *next;
};

/* Events that change the state of an instance, whichever request they name. */
static const char *const state_events[] = {
  "started",      "leaving",        "stopped",     "agent-lost",
  "agent-joined", "agent-health",   "entry-lost",  "entry-joined",
  "minion",       "minion-gone",    "minion-left", "minion-report",
  "store-lost",   "store-regained", "config",      "order-refused",
  "load",         "log-left-out",   "log-lost",    "start-unanswered",
};

void
tml_init (struct tml_timeline *t, void *mem_ctx, struct lv_slice id)
{
  memset (t, 0, sizeof *t);
  t->mem_ctx = mem_ctx;
  t->id = id;
}

void
tml_finish (struct tml_timeline *t)
{
  struct tml_line *line;
  struct tml_line *next;

  DL_FOREACH_SAFE (t->lines, line, next)
  talloc_free (line);
  t->lines = NULL;
}

static bool
is_name_char (char c)
{
  return isalnum ((unsigned char)c) || c == '-' || c == '_';
}

/* Whether TEXT has ID, not as a part of a longer name.  */
static bool
names (const char *text, const char *id)
{
  size_t len = strlen (id);
  const char *at;

  for (at = strstr (text, id); at != NULL && len > 0; at = strstr (at + 1, id))
    if ((at == text || !is_name_char (at[-1])) && !is_name_char (at[len]))
      return true;
  return false;
}

static bool
is_state_event (const char *event)
{
  size_t i;

  for (i = 0; i < sizeof state_events / sizeof state_events[0]; i++)
    if (strcmp (event, state_events[i]) == 0)
      return true;
  return false;
}

void
tml_add_line (struct tml_timeline *t, struct lv_slice line)
{
  char text[TML_LINE_MAX];
  char role[LGF_TEXT_MAX];
  char id[LGF_TEXT_MAX];
  struct tml_line *l;
  const char *start;
  const char *event;

  snprintf (text, sizeof text, "%.*s", (int)line.len, line.data);
  snprintf (id, sizeof id, "%.*s", (int)t->id.len, t->id.data);
  start = strstr (text, "time=");
  event = start != NULL ? strstr (start, "event=") : NULL;
  if (event == NULL)
    return;
  l = talloc_zero (t->mem_ctx, struct tml_line);
  lgf_text (start, "name", l->name, sizeof l->name);
  lgf_text (start, "event", l->event, sizeof l->event);
  lgf_text (start, "role", role, sizeof role);
  l->named = names (event, id);
  if (!l->named && !is_state_event (l->event))
    {
      talloc_free (l);
      return;
    }
  t->matches += l->named;
  l->entry = strcmp (role, "entry") == 0;
  l->at_s = lgf_number (start, "time");
  l->ran_s = lgf_number (start, "ran_ms") / MS_PER_S;
  l->text = xtalloc_strdup (l, event);
  DL_APPEND (t->lines, l);
}

static int
compare_times (const struct tml_line *a, const struct tml_line *b)
{
  double at = a->at_s + a->shift_s;
  double bt = b->at_s + b->shift_s;

  return at < bt ? -1 : at > bt;
}

/* First line of this EVENT that names the request, or NULL.  */
static struct tml_line *
find_event (const struct tml_timeline *t, const char *event)
{
  struct tml_line *l;

  DL_FOREACH (t->lines, l)
  if (l->named && strcmp (l->event, event) == 0)
    return l;
  return NULL;
}

/* The line that ends the request for its caller, or NULL.  */
static struct tml_line *
find_answer (const struct tml_timeline *t)
{
  static const char *const events[]
      = { "job-end", "job-withdrawn", "job-refused", "request-refused" };
  struct tml_line *l = NULL;
  size_t i;

  for (i = 0; i < sizeof events / sizeof events[0] && l == NULL; i++)
    l = find_event (t, events[i]);
  return l;
}

static struct tml_line *
find_named (const struct tml_timeline *t, bool entry)
{
  struct tml_line *l;

  DL_FOREACH (t->lines, l)
  if (l->named && l->entry == entry)
    return l;
  return NULL;
}

static void
set_clock_shift (struct tml_timeline *t, const char *name, double by_s)
{
  struct tml_line *l;

  DL_FOREACH (t->lines, l)
  if (!l->entry && strcmp (l->name, name) == 0)
    l->shift_s = by_s;
}

/* A run begins after the arrival of its request and ends before the answer:
   shift the clocks of agents whose lines contradict this.  */
static void
align_clocks (struct tml_timeline *t, const struct tml_line *arrival,
              const struct tml_line *answer)
{
  struct tml_line *l;

  DL_FOREACH (t->lines, l)
  {
    double early_s = arrival->at_s - (l->at_s - l->ran_s);
    double late_s = answer != NULL ? l->at_s - answer->at_s : 0;

    if (!l->named || l->entry || l->shift_s != 0
        || strcmp (l->event, "run-end") != 0)
      continue;
    if (early_s > CLOCK_SLACK_S)
      set_clock_shift (t, l->name, early_s);
    else if (late_s > CLOCK_SLACK_S)
      set_clock_shift (t, l->name, -late_s);
  }
}

/* Whether the instance that wrote L, or the agent named in L, took part in
   the request.  */
static bool
is_involved (const struct tml_timeline *t, const struct tml_line *l)
{
  char agent[LGF_TEXT_MAX];
  const struct tml_line *n;
  bool own = false;

  lgf_text (l->text, "agent", agent, sizeof agent);
  DL_FOREACH (t->lines, n)
  {
    char other[LGF_TEXT_MAX];

    if (!n->named)
      continue;
    if (strcmp (n->name, l->name) == 0)
      own = true;
    lgf_text (n->text, "agent", other, sizeof other);
    if (agent[0] != '\0'
        && (strcmp (other, agent) == 0 || strcmp (n->name, agent) == 0))
      return true;
    if (agent[0] == '\0' && strcmp (other, l->name) == 0)
      own = true;
  }
  return own && agent[0] == '\0';
}

static char *
append_line (char *out, const struct tml_line *l, double arrival_s)
{
  out = xtalloc_asprintf_append_buffer (
      out, "%c %+9.3f s  %-20s %s", l->named ? '*' : ' ',
      l->at_s + l->shift_s - arrival_s, l->name, l->text);
  if (l->shift_s != 0)
    out = xtalloc_asprintf_append_buffer (out, " (its clock %+.3f s)",
                                          -l->shift_s);
  return xtalloc_strdup_append_buffer (out, "\n");
}

/* Append the outcome, inferred from the lines present and missing.  */
static char *
append_conclusion (char *out, const struct tml_timeline *t,
                   const struct tml_line *arrival,
                   const struct tml_line *answer)
{
  struct tml_line *l;

  if (answer != NULL)
    return xtalloc_asprintf_append_buffer (out, "= %s\n", answer->text);
  if (arrival == NULL)
    return xtalloc_strdup_append_buffer (
        out, "= no entry's log shows the arrival of the request\n");
  DL_FOREACH (t->lines, l)
  if (strcmp (l->name, arrival->name) == 0 && strcmp (l->event, "started") == 0
      && l->at_s > arrival->at_s)
    return xtalloc_asprintf_append_buffer (
        out, "= not answered: %s restarted %.3f s after the arrival\n",
        l->name, l->at_s - arrival->at_s);
  return xtalloc_strdup_append_buffer (
      out,
      "= no answer in these logs: the entry crashed or was paused, or the "
      "line is missing (see log-left-out: such lines are rate-limited)\n");
}

char *
tml_format (struct tml_timeline *t)
{
  char *out = xtalloc_strdup (t->mem_ctx, "");
  struct tml_line *arrival = find_event (t, "job");
  struct tml_line *answer = find_answer (t);
  const struct tml_line *first;
  const struct tml_line *last;
  struct tml_line *l;

  if (arrival == NULL)
    arrival = find_named (t, true);
  if (arrival != NULL)
    align_clocks (t, arrival, answer);
  DL_SORT (t->lines, compare_times);
  first = arrival != NULL ? arrival : find_named (t, false);
  if (first == NULL)
    return out;
  last = first;
  DL_FOREACH (t->lines, l)
  if (l->named)
    last = l;
  DL_FOREACH (t->lines, l)
  {
    double at_s = l->at_s + l->shift_s;

    if (l->named
        || (at_s > first->at_s - CONTEXT_S
            && at_s < last->at_s + last->shift_s + CONTEXT_S
            && is_involved (t, l)))
      out = append_line (out, l, first->at_s);
  }
  return append_conclusion (out, t, arrival, answer);
}
