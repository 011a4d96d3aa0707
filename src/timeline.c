#include "lagoonvale/timeline.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>
#include <utlist.h>

/* What happens to an instance is told this long before and after, s.  */
#define AROUND_S 1.0
/* Clocks that differ by less than this are not shifted, s.  */
#define CLOCK_SLACK_S 0.02
#define NAME_MAX_BYTES 64
#define MS_PER_S 1000.0

/* One line that may belong to the story.  */
struct tml_line
{
  double at_s;
  char name[NAME_MAX_BYTES];
  char event[NAME_MAX_BYTES];
  char *text; /* from the event on */
  bool named; /* it names the request */
  bool entry; /* written by an entry */
  double ran_s;
  double shift_s;
  struct tml_line *prev;
  struct tml_line *next;
};

/* Events that change what an instance can do.  */
static const char *const circumstances[] = {
  "started",      "leaving",        "stopped",     "agent-lost",
  "agent-joined", "agent-health",   "entry-lost",  "entry-joined",
  "minion",       "minion-gone",    "minion-left", "minion-report",
  "store-lost",   "store-regained", "config",      "order-refused",
  "load",         "log-left-out",   "log-lost",    "start-unanswered",
};

void
tml_init (struct tml_timeline *s, void *mem_ctx, struct lv_slice id)
{
  memset (s, 0, sizeof *s);
  s->mem_ctx = mem_ctx;
  s->id = id;
}

void
tml_finish (struct tml_timeline *s)
{
  struct tml_line *line;
  struct tml_line *next;

  DL_FOREACH_SAFE (s->lines, line, next)
  talloc_free (line);
  s->lines = NULL;
}

/* Value of KEY in TEXT, cut to the SIZE of OUT; empty if it is not there.  */
static void
value_of (const char *text, const char *key, char *out, size_t size)
{
  size_t len = strlen (key);
  const char *at = text;

  out[0] = '\0';
  while ((at = strstr (at, key)) != NULL)
    {
      if ((at == text || at[-1] == ' ') && at[len] == '=')
        {
          snprintf (out, size, "%.*s", (int)strcspn (at + len + 1, " "),
                    at + len + 1);
          return;
        }
      at += len;
    }
}

static double
number_of (const char *text, const char *key)
{
  char value[NAME_MAX_BYTES];

  value_of (text, key, value, sizeof value);
  return strtod (value, NULL);
}

static bool
is_circumstance (const char *event)
{
  size_t i;

  for (i = 0; i < sizeof circumstances / sizeof circumstances[0]; i++)
    if (strcmp (event, circumstances[i]) == 0)
      return true;
  return false;
}

void
tml_add_line (struct tml_timeline *s, struct lv_slice line)
{
  char text[TML_LINE_MAX];
  char role[NAME_MAX_BYTES];
  char id[NAME_MAX_BYTES];
  struct tml_line *l;
  const char *start;
  const char *event;

  snprintf (text, sizeof text, "%.*s", (int)line.len, line.data);
  snprintf (id, sizeof id, "%.*s", (int)s->id.len, s->id.data);
  start = strstr (text, "time=");
  event = start != NULL ? strstr (start, "event=") : NULL;
  if (event == NULL)
    return;
  l = talloc_zero (s->mem_ctx, struct tml_line);
  value_of (start, "name", l->name, sizeof l->name);
  value_of (start, "event", l->event, sizeof l->event);
  value_of (start, "role", role, sizeof role);
  l->named = strstr (event, id) != NULL;
  if (!l->named && !is_circumstance (l->event))
    {
      talloc_free (l);
      return;
    }
  s->named += l->named;
  l->entry = strcmp (role, "entry") == 0;
  l->at_s = number_of (start, "time");
  l->ran_s = number_of (start, "ran_ms") / MS_PER_S;
  l->text = talloc_strdup (l, event);
  DL_APPEND (s->lines, l);
}

static int
by_time (const struct tml_line *a, const struct tml_line *b)
{
  double at = a->at_s + a->shift_s;
  double bt = b->at_s + b->shift_s;

  return at < bt ? -1 : at > bt;
}

/* First line of this EVENT that names the request, or NULL.  */
static struct tml_line *
find_event (const struct tml_timeline *s, const char *event)
{
  struct tml_line *l;

  DL_FOREACH (s->lines, l)
  if (l->named && strcmp (l->event, event) == 0)
    return l;
  return NULL;
}

/* The line that ends the request for its caller, or NULL.  */
static struct tml_line *
find_answer (const struct tml_timeline *s)
{
  static const char *const events[]
      = { "job-end", "job-withdrawn", "job-refused", "request-refused" };
  struct tml_line *l = NULL;
  size_t i;

  for (i = 0; i < sizeof events / sizeof events[0] && l == NULL; i++)
    l = find_event (s, events[i]);
  return l;
}

static struct tml_line *
find_named (const struct tml_timeline *s, bool entry)
{
  struct tml_line *l;

  DL_FOREACH (s->lines, l)
  if (l->named && l->entry == entry)
    return l;
  return NULL;
}

static void
shift_clock (struct tml_timeline *s, const char *name, double by_s)
{
  struct tml_line *l;

  DL_FOREACH (s->lines, l)
  if (!l->entry && strcmp (l->name, name) == 0)
    l->shift_s = by_s;
}

/* A run begins after the request came and ends before its answer: shift the
   clocks of agents whose lines say otherwise.  */
static void
align_clocks (struct tml_timeline *s, const struct tml_line *arrival,
              const struct tml_line *answer)
{
  struct tml_line *l;

  DL_FOREACH (s->lines, l)
  {
    double early_s = arrival->at_s - (l->at_s - l->ran_s);
    double late_s = answer != NULL ? l->at_s - answer->at_s : 0;

    if (!l->named || l->entry || l->shift_s != 0
        || strcmp (l->event, "run-end") != 0)
      continue;
    if (early_s > CLOCK_SLACK_S)
      shift_clock (s, l->name, early_s);
    else if (late_s > CLOCK_SLACK_S)
      shift_clock (s, l->name, -late_s);
  }
}

/* Whether the instance of L, or the one that it speaks of, had to do with the
   request.  */
static bool
is_involved (const struct tml_timeline *s, const struct tml_line *l)
{
  char agent[NAME_MAX_BYTES];
  const struct tml_line *n;
  bool own = false;

  value_of (l->text, "agent", agent, sizeof agent);
  DL_FOREACH (s->lines, n)
  {
    char other[NAME_MAX_BYTES];

    if (!n->named)
      continue;
    if (strcmp (n->name, l->name) == 0)
      own = true;
    value_of (n->text, "agent", other, sizeof other);
    if (agent[0] != '\0'
        && (strcmp (other, agent) == 0 || strcmp (n->name, agent) == 0))
      return true;
    if (agent[0] == '\0' && strcmp (other, l->name) == 0)
      own = true;
  }
  return own && agent[0] == '\0';
}

static char *
tell_line (char *out, const struct tml_line *l, double zero_s)
{
  out = talloc_asprintf_append_buffer (
      out, "%c %+9.3f s  %-20s %s", l->named ? '*' : ' ',
      l->at_s + l->shift_s - zero_s, l->name, l->text);
  if (l->shift_s != 0)
    out = talloc_asprintf_append_buffer (out, " (its clock %+.3f s)",
                                         -l->shift_s);
  return talloc_strdup_append_buffer (out, "\n");
}

/* What the lines, and those that are missing, mean.  */
static char *
conclude (char *out, const struct tml_timeline *s,
          const struct tml_line *arrival, const struct tml_line *answer)
{
  struct tml_line *l;

  if (answer != NULL)
    return talloc_asprintf_append_buffer (out, "= %s\n", answer->text);
  if (arrival == NULL)
    return talloc_strdup_append_buffer (
        out, "= no entry's log says that it took the request\n");
  DL_FOREACH (s->lines, l)
  if (strcmp (l->name, arrival->name) == 0 && strcmp (l->event, "started") == 0
      && l->at_s > arrival->at_s)
    return talloc_asprintf_append_buffer (
        out, "= not answered: %s started anew %.3f s after it took it\n",
        l->name, l->at_s - arrival->at_s);
  return talloc_strdup_append_buffer (
      out,
      "= no answer in these logs: the entry died, was paused, or its line "
      "is missing (answers in time are capped, see log-left-out)\n");
}

char *
tml_format (struct tml_timeline *s)
{
  char *out = talloc_strdup (s->mem_ctx, "");
  struct tml_line *arrival = find_event (s, "job");
  struct tml_line *answer = find_answer (s);
  const struct tml_line *first;
  const struct tml_line *last;
  struct tml_line *l;

  if (arrival == NULL)
    arrival = find_named (s, true);
  if (arrival != NULL)
    align_clocks (s, arrival, answer);
  DL_SORT (s->lines, by_time);
  first = arrival != NULL ? arrival : find_named (s, false);
  if (first == NULL)
    return out;
  last = first;
  DL_FOREACH (s->lines, l)
  if (l->named)
    last = l;
  DL_FOREACH (s->lines, l)
  {
    double at_s = l->at_s + l->shift_s;

    if (l->named
        || (at_s > first->at_s - AROUND_S
            && at_s < last->at_s + last->shift_s + AROUND_S
            && is_involved (s, l)))
      out = tell_line (out, l, first->at_s);
  }
  return conclude (out, s, arrival, answer);
}
