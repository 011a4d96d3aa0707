#include "lagoonvale/rules.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#include "xtalloc.h"

#define VALUE_MAX 10000000UL
#define EXPECTED_VERBS "weight, limit, queue, wait, refuse or drain"

struct verb_syntax
{
  const char *word;
  bool takes_value;
  unsigned subjects; /* bitmask of enum rul_subject */
  const char *subject_names;
};

#define SUBJECT_BIT(subject) (1U << (subject))

static const struct verb_syntax verbs[] = {
  [RUL_WEIGHT] = { "weight", true, SUBJECT_BIT (RUL_TEAM), "team" },
  [RUL_LIMIT]
  = { "limit", true, SUBJECT_BIT (RUL_TEAM) | SUBJECT_BIT (RUL_KIND),
      "team or kind" },
  [RUL_QUEUE] = { "queue", true, SUBJECT_BIT (RUL_TEAM), "team" },
  [RUL_WAIT]
  = { "wait", true, SUBJECT_BIT (RUL_TEAM) | SUBJECT_BIT (RUL_URGENCY),
      "team or urgency" },
  [RUL_REFUSE] = { "refuse", false,
                   SUBJECT_BIT (RUL_TEAM) | SUBJECT_BIT (RUL_KIND)
                       | SUBJECT_BIT (RUL_URGENCY),
                   "team, kind or urgency" },
  [RUL_DRAIN] = { "drain", false, SUBJECT_BIT (RUL_DOMAIN), "domain" },
};
static const char *const subjects[] = { "team", "kind", "urgency", "domain" };
static const char *const urgencies[] = { "urgent", "normal", "bulk" };

/* Position in a line; ERROR takes its first error.  */
struct line_parser
{
  struct lv_slice line;
  size_t pos;
  uint32_t line_number;
  struct rul_error *error;
};

/* Always returns false, for use in a return statement.  */
static bool
set_error (struct line_parser *p, size_t column, struct lv_slice found,
           const char *format, ...)
{
  va_list args;
  int len = found.len > 60 ? 60 : (int)found.len;

  p->error->line = p->line_number;
  p->error->column = (uint32_t)column + 1;
  if (len == 0)
    snprintf (p->error->found, RUL_TEXT_MAX, "end of line");
  else
    snprintf (p->error->found, RUL_TEXT_MAX, "\"%.*s\"", len, found.data);
  va_start (args, format);
  vsnprintf (p->error->expected, RUL_TEXT_MAX, format, args);
  va_end (args);
  return false;
}

static void
skip_blanks (struct line_parser *p)
{
  while (p->pos < p->line.len
         && (p->line.data[p->pos] == ' ' || p->line.data[p->pos] == '\t'))
    p->pos++;
}

static struct lv_slice
next_word (struct line_parser *p, size_t *column)
{
  struct lv_slice word;

  skip_blanks (p);
  *column = p->pos;
  word.data = p->line.data + p->pos;
  while (p->pos < p->line.len && p->line.data[p->pos] != ' '
         && p->line.data[p->pos] != '\t' && p->line.data[p->pos] != '#')
    p->pos++;
  word.len = p->pos - *column;
  return word;
}

static int
find_word (const char *const *words, size_t count, struct lv_slice word)
{
  for (size_t i = 0; i < count; i++)
    if (lv_slice_eq (lv_slice_of (words[i]), word))
      return (int)i;
  return -1;
}

static bool
parse_verb (struct line_parser *p, struct rul_rule *rule)
{
  size_t column;
  struct lv_slice word = next_word (p, &column);

  for (size_t i = 0; i < sizeof verbs / sizeof verbs[0]; i++)
    if (lv_slice_eq (lv_slice_of (verbs[i].word), word))
      {
        rule->verb = (enum rul_verb)i;
        return true;
      }
  return set_error (p, column, word, EXPECTED_VERBS);
}

static bool
parse_subject (struct line_parser *p, struct rul_rule *rule)
{
  size_t column;
  struct lv_slice word = next_word (p, &column);
  int subject
      = find_word (subjects, sizeof subjects / sizeof subjects[0], word);

  if (subject < 0 || (verbs[rule->verb].subjects & SUBJECT_BIT (subject)) == 0)
    return set_error (p, column, word, "%s after \"%s\"",
                      verbs[rule->verb].subject_names, verbs[rule->verb].word);
  rule->subject = (enum rul_subject)subject;
  return true;
}

static bool
parse_name (struct line_parser *p, struct rul_rule *rule)
{
  size_t column;
  struct lv_slice word = next_word (p, &column);

  for (size_t i = 0; i < word.len; i++)
    if (!isalnum ((unsigned char)word.data[i])
        && strchr ("-_.", word.data[i]) == NULL)
      word.len = 0;
  if (word.len == 0 || word.len >= RUL_NAME_MAX)
    return set_error (p, column, word,
                      "a name of 1 to %d letters, digits, '-', '_', '.'",
                      RUL_NAME_MAX - 1);
  if (rule->subject == RUL_URGENCY && find_word (urgencies, 3, word) < 0)
    return set_error (p, column, word, "urgent, normal or bulk");
  memcpy (rule->name, word.data, word.len);
  rule->name[word.len] = '\0';
  return true;
}

static bool
parse_value (struct line_parser *p, struct rul_rule *rule)
{
  size_t column;
  struct lv_slice word;
  unsigned long value = 0;

  if (!verbs[rule->verb].takes_value)
    return true;
  word = next_word (p, &column);
  for (size_t i = 0; i < word.len; i++)
    {
      if (!isdigit ((unsigned char)word.data[i]) || value > VALUE_MAX)
        return set_error (p, column, word, "a whole number up to %lu",
                          VALUE_MAX);
      value = value * 10 + (unsigned long)(word.data[i] - '0');
    }
  if (word.len == 0 || value > VALUE_MAX
      || (rule->verb == RUL_WEIGHT && (value < 1 || value > 1000)))
    return set_error (p, column, word, "a whole number%s",
                      rule->verb == RUL_WEIGHT ? " from 1 to 1000" : "");
  rule->value = (uint32_t)value;
  return true;
}

static bool
is_blank_range (const char *from, const char *to)
{
  while (from < to && (*from == ' ' || *from == '\t'))
    from++;
  return from == to;
}

static bool
parse_comment (struct line_parser *p, struct rul_rule *rule)
{
  struct lv_slice rest;
  const char *colon;

  skip_blanks (p);
  rest.data = p->line.data + p->pos;
  rest.len = p->line.len - p->pos;
  if (rest.len == 0 || rest.data[0] != '#')
    return set_error (p, p->pos, rest, "a comment: # WHO: WHY");
  p->pos++;
  skip_blanks (p);
  rest.data = p->line.data + p->pos;
  rest.len = p->line.len - p->pos;
  colon = memchr (rest.data, ':', rest.len);
  if (colon == NULL || colon == rest.data
      || is_blank_range (colon + 1, rest.data + rest.len))
    return set_error (p, p->pos, rest,
                      "a name, a colon and a reason: # WHO: WHY");
  snprintf (rule->comment, sizeof rule->comment, "%.*s", (int)rest.len,
            rest.data);
  return true;
}

static bool
parse_rule (struct line_parser *p, struct rul_rule *rule)
{
  memset (rule, 0, sizeof *rule);
  rule->line = p->line_number;
  return parse_verb (p, rule) && parse_subject (p, rule)
         && parse_name (p, rule) && parse_value (p, rule)
         && parse_comment (p, rule);
}

/* Length of the UTF-8 sequence at DATA, 0 if invalid.  */
static size_t
utf8_length (const unsigned char *data, size_t len)
{
  size_t n = data[0] < 0x80   ? 1
             : data[0] < 0xc2 ? 0
             : data[0] < 0xe0 ? 2
             : data[0] < 0xf0 ? 3
             : data[0] < 0xf5 ? 4
                              : 0;

  if (n > len)
    return 0;
  for (size_t i = 1; i < n; i++)
    if ((data[i] & 0xc0) != 0x80)
      return 0;
  return n;
}

static bool
check_encoding (struct line_parser *p)
{
  const unsigned char *data = (const unsigned char *)p->line.data;
  size_t i = 0;

  while (i < p->line.len)
    {
      size_t n = utf8_length (data + i, p->line.len - i);
      if (n == 0 || (data[i] < 0x20 && data[i] != '\t'))
        {
          set_error (p, i, lv_slice_of ("?"), "text in UTF-8");
          snprintf (p->error->found, RUL_TEXT_MAX, "byte 0x%02x", data[i]);
          return false;
        }
      i += n;
    }
  return true;
}

static bool
reject_duplicate (struct line_parser *p, const struct rul_set *set,
                  const struct rul_rule *rule)
{
  const struct rul_rule *other
      = rul_find (set, rule->verb, rule->subject, lv_slice_of (rule->name));

  if (other == NULL)
    return true;
  return set_error (p, 0, p->line, "no duplicate of line %u", other->line);
}

static bool
at_end_or_comment (struct line_parser *p)
{
  skip_blanks (p);
  return p->pos == p->line.len || p->line.data[p->pos] == '#';
}

static bool
parse_line (struct rul_set *set, struct line_parser *p)
{
  struct rul_rule rule;

  if (!check_encoding (p))
    return false;
  if (at_end_or_comment (p))
    return true;
  if (!parse_rule (p, &rule) || !reject_duplicate (p, set, &rule))
    return false;
  if (set->count == RUL_COUNT_MAX)
    return set_error (p, 0, p->line, "at most %u rules", RUL_COUNT_MAX);
  if ((set->count & (set->count - 1)) == 0)
    set->rules = xtalloc_realloc (set, set->rules, struct rul_rule,
                                  set->count > 0 ? set->count * 2 : 1);
  set->rules[set->count++] = rule;
  return true;
}

static struct lv_slice
next_line (struct lv_slice *text)
{
  struct lv_slice line = *text;
  const char *end = memchr (text->data, '\n', text->len);

  if (end != NULL)
    line.len = (size_t)(end - text->data);
  text->data += line.len + (end != NULL);
  text->len -= line.len + (end != NULL);
  if (line.len > 0 && line.data[line.len - 1] == '\r')
    line.len--;
  return line;
}

struct rul_set *
rul_parse (void *mem_ctx, struct lv_slice text, struct rul_error *errors,
           uint32_t max, uint32_t *count)
{
  struct rul_set *set = xtalloc_zero (mem_ctx, struct rul_set);
  struct line_parser p = { .line_number = 0 };

  *count = 0;
  if (text.len > RUL_FILE_MAX)
    {
      p.error = &errors[(*count)++];
      set_error (&p, 0, lv_slice_of ("?"), "at most %u bytes", RUL_FILE_MAX);
      snprintf (p.error->found, RUL_TEXT_MAX, "%zu bytes", text.len);
      text.len = 0;
    }
  if (text.len >= 3 && memcmp (text.data, "\xef\xbb\xbf", 3) == 0)
    {
      text.data += 3;
      text.len -= 3;
    }
  while (text.len > 0 && *count < max)
    {
      p.line = next_line (&text);
      p.pos = 0;
      p.line_number++;
      p.error = &errors[*count];
      if (!parse_line (set, &p))
        (*count)++;
    }
  if (*count > 0)
    TALLOC_FREE (set);
  return set;
}

const struct rul_rule *
rul_find (const struct rul_set *set, enum rul_verb verb,
          enum rul_subject subject, struct lv_slice name)
{
  for (uint32_t i = 0; set != NULL && i < set->count; i++)
    {
      const struct rul_rule *r = &set->rules[i];
      if (r->verb == verb && r->subject == subject
          && lv_slice_eq (lv_slice_of (r->name), name))
        return r;
    }
  return NULL;
}

uint32_t
rul_value (const struct rul_set *set, enum rul_verb verb,
           enum rul_subject subject, struct lv_slice name, uint32_t fallback)
{
  const struct rul_rule *rule = rul_find (set, verb, subject, name);

  return rule != NULL ? rule->value : fallback;
}

void
rul_format (const struct rul_rule *rule, char text[RUL_TEXT_MAX])
{
  const struct verb_syntax *syntax = &verbs[rule->verb];

  if (syntax->takes_value)
    snprintf (text, RUL_TEXT_MAX, "%s %s %s %u", syntax->word,
              subjects[rule->subject], rule->name, rule->value);
  else
    snprintf (text, RUL_TEXT_MAX, "%s %s %s", syntax->word,
              subjects[rule->subject], rule->name);
}
