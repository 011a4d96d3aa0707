#include "lagoonvale/rules.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#define VALUE_MAX 10000000UL
#define EXPECT_VERB "weight, limit, queue, wait, refuse or drain"

struct verb_form
{
  const char *word;
  bool takes_value;
  unsigned subjects; /* bit set */
  const char *subject_words;
};

#define BIT(subject) (1U << (subject))

static const struct verb_form verbs[] = {
  [RUL_WEIGHT] = { "weight", true, BIT (RUL_TEAM), "team" },
  [RUL_LIMIT]
  = { "limit", true, BIT (RUL_TEAM) | BIT (RUL_KIND), "team or kind" },
  [RUL_QUEUE] = { "queue", true, BIT (RUL_TEAM), "team" },
  [RUL_WAIT]
  = { "wait", true, BIT (RUL_TEAM) | BIT (RUL_URGENCY), "team or urgency" },
  [RUL_REFUSE]
  = { "refuse", false, BIT (RUL_TEAM) | BIT (RUL_KIND) | BIT (RUL_URGENCY),
      "team, kind or urgency" },
  [RUL_DRAIN] = { "drain", false, BIT (RUL_DOMAIN), "domain" },
};
static const char *const subjects[] = { "team", "kind", "urgency", "domain" };
static const char *const urgencies[] = { "urgent", "normal", "bulk" };

/* One line, while it is read.  */
struct cursor
{
  struct lv_slice line;
  size_t at;
  uint32_t number;
  struct rul_error *finding;
};

static bool
complain (struct cursor *c, size_t column, struct lv_slice found,
          const char *format, ...)
{
  va_list args;
  int len = found.len > 60 ? 60 : (int)found.len;

  c->finding->line = c->number;
  c->finding->column = (uint32_t)column + 1;
  if (len == 0)
    snprintf (c->finding->found, RUL_TEXT_MAX, "end of line");
  else
    snprintf (c->finding->found, RUL_TEXT_MAX, "\"%.*s\"", len, found.data);
  va_start (args, format);
  vsnprintf (c->finding->expected, RUL_TEXT_MAX, format, args);
  va_end (args);
  return false;
}

static void
skip_blanks (struct cursor *c)
{
  while (c->at < c->line.len
         && (c->line.data[c->at] == ' ' || c->line.data[c->at] == '\t'))
    c->at++;
}

static struct lv_slice
next_word (struct cursor *c, size_t *column)
{
  struct lv_slice word;

  skip_blanks (c);
  *column = c->at;
  word.data = c->line.data + c->at;
  while (c->at < c->line.len && c->line.data[c->at] != ' '
         && c->line.data[c->at] != '\t' && c->line.data[c->at] != '#')
    c->at++;
  word.len = c->at - *column;
  return word;
}

static int
index_of (const char *const *words, size_t count, struct lv_slice word)
{
  for (size_t i = 0; i < count; i++)
    if (lv_slice_eq (lv_slice_of (words[i]), word))
      return (int)i;
  return -1;
}

static bool
read_verb (struct cursor *c, struct rul_rule *rule)
{
  size_t column;
  struct lv_slice word = next_word (c, &column);

  for (size_t i = 0; i < sizeof verbs / sizeof verbs[0]; i++)
    if (lv_slice_eq (lv_slice_of (verbs[i].word), word))
      {
        rule->verb = (enum rul_verb)i;
        return true;
      }
  return complain (c, column, word, EXPECT_VERB);
}

static bool
read_subject (struct cursor *c, struct rul_rule *rule)
{
  size_t column;
  struct lv_slice word = next_word (c, &column);
  int subject
      = index_of (subjects, sizeof subjects / sizeof subjects[0], word);

  if (subject < 0 || (verbs[rule->verb].subjects & BIT (subject)) == 0)
    return complain (c, column, word, "%s after \"%s\"",
                     verbs[rule->verb].subject_words, verbs[rule->verb].word);
  rule->subject = (enum rul_subject)subject;
  return true;
}

static bool
read_name (struct cursor *c, struct rul_rule *rule)
{
  size_t column;
  struct lv_slice word = next_word (c, &column);

  for (size_t i = 0; i < word.len; i++)
    if (!isalnum ((unsigned char)word.data[i])
        && strchr ("-_.", word.data[i]) == NULL)
      word.len = 0;
  if (word.len == 0 || word.len >= RUL_NAME_MAX)
    return complain (c, column, word,
                     "a name of 1 to %d letters, digits, '-', '_', '.'",
                     RUL_NAME_MAX - 1);
  if (rule->subject == RUL_URGENCY && index_of (urgencies, 3, word) < 0)
    return complain (c, column, word, "urgent, normal or bulk");
  memcpy (rule->name, word.data, word.len);
  rule->name[word.len] = '\0';
  return true;
}

static bool
read_value (struct cursor *c, struct rul_rule *rule)
{
  size_t column;
  struct lv_slice word;
  unsigned long value = 0;

  if (!verbs[rule->verb].takes_value)
    return true;
  word = next_word (c, &column);
  for (size_t i = 0; i < word.len; i++)
    {
      if (!isdigit ((unsigned char)word.data[i]) || value > VALUE_MAX)
        return complain (c, column, word, "a whole number up to %lu",
                         VALUE_MAX);
      value = value * 10 + (unsigned long)(word.data[i] - '0');
    }
  if (word.len == 0 || value > VALUE_MAX
      || (rule->verb == RUL_WEIGHT && (value < 1 || value > 1000)))
    return complain (c, column, word, "a whole number%s",
                     rule->verb == RUL_WEIGHT ? " from 1 to 1000" : "");
  rule->value = (uint32_t)value;
  return true;
}

static bool
is_only_blanks (const char *from, const char *to)
{
  while (from < to && (*from == ' ' || *from == '\t'))
    from++;
  return from == to;
}

static bool
read_comment (struct cursor *c, struct rul_rule *rule)
{
  struct lv_slice rest;
  const char *colon;

  skip_blanks (c);
  rest.data = c->line.data + c->at;
  rest.len = c->line.len - c->at;
  if (rest.len == 0 || rest.data[0] != '#')
    return complain (c, c->at, rest, "a comment: # WHO: WHY");
  c->at++;
  skip_blanks (c);
  rest.data = c->line.data + c->at;
  rest.len = c->line.len - c->at;
  colon = memchr (rest.data, ':', rest.len);
  if (colon == NULL || colon == rest.data
      || is_only_blanks (colon + 1, rest.data + rest.len))
    return complain (c, c->at, rest,
                     "who asked, a colon, and why: # WHO: WHY");
  snprintf (rule->comment, sizeof rule->comment, "%.*s", (int)rest.len,
            rest.data);
  return true;
}

static bool
read_rule (struct cursor *c, struct rul_rule *rule)
{
  memset (rule, 0, sizeof *rule);
  rule->line = c->number;
  return read_verb (c, rule) && read_subject (c, rule) && read_name (c, rule)
         && read_value (c, rule) && read_comment (c, rule);
}

/* Length of the UTF-8 sequence at DATA, 0 if it is broken.  */
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
check_bytes (struct cursor *c)
{
  const unsigned char *data = (const unsigned char *)c->line.data;
  size_t i = 0;

  while (i < c->line.len)
    {
      size_t n = utf8_length (data + i, c->line.len - i);
      if (n == 0 || (data[i] < 0x20 && data[i] != '\t'))
        {
          complain (c, i, lv_slice_of ("?"), "text in UTF-8");
          snprintf (c->finding->found, RUL_TEXT_MAX, "byte 0x%02x", data[i]);
          return false;
        }
      i += n;
    }
  return true;
}

static bool
refuse_twice (struct cursor *c, const struct rul_set *set,
              const struct rul_rule *rule)
{
  const struct rul_rule *other
      = rul_find (set, rule->verb, rule->subject, lv_slice_of (rule->name));

  if (other == NULL)
    return true;
  return complain (c, 0, c->line, "one such rule only; line %u has it already",
                   other->line);
}

static bool
is_blank (struct cursor *c)
{
  skip_blanks (c);
  return c->at == c->line.len || c->line.data[c->at] == '#';
}

static bool
take_line (struct rul_set *set, struct cursor *c)
{
  struct rul_rule rule;

  if (!check_bytes (c))
    return false;
  if (is_blank (c))
    return true;
  if (!read_rule (c, &rule) || !refuse_twice (c, set, &rule))
    return false;
  if (set->count == RUL_COUNT_MAX)
    return complain (c, 0, c->line, "at most %u rules", RUL_COUNT_MAX);
  if ((set->count & (set->count - 1)) == 0)
    set->rules = talloc_realloc (set, set->rules, struct rul_rule,
                                 set->count > 0 ? set->count * 2 : 1);
  set->rules[set->count++] = rule;
  return true;
}

static struct lv_slice
cut_line (struct lv_slice *text)
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
rul_parse (void *mem_ctx, struct lv_slice text, struct rul_error *findings,
           uint32_t max, uint32_t *count)
{
  struct rul_set *set = talloc_zero (mem_ctx, struct rul_set);
  struct cursor c = { .number = 0 };

  *count = 0;
  if (text.len > RUL_FILE_MAX)
    {
      c.finding = &findings[(*count)++];
      complain (&c, 0, lv_slice_of ("?"), "at most %u bytes", RUL_FILE_MAX);
      snprintf (c.finding->found, RUL_TEXT_MAX, "%zu bytes", text.len);
      text.len = 0;
    }
  if (text.len >= 3 && memcmp (text.data, "\xef\xbb\xbf", 3) == 0)
    {
      text.data += 3;
      text.len -= 3;
    }
  while (text.len > 0 && *count < max)
    {
      c.line = cut_line (&text);
      c.at = 0;
      c.number++;
      c.finding = &findings[*count];
      if (!take_line (set, &c))
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
  const struct verb_form *form = &verbs[rule->verb];

  if (form->takes_value)
    snprintf (text, RUL_TEXT_MAX, "%s %s %s %u", form->word,
              subjects[rule->subject], rule->name, rule->value);
  else
    snprintf (text, RUL_TEXT_MAX, "%s %s %s", form->word,
              subjects[rule->subject], rule->name);
}
