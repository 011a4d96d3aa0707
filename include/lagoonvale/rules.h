/**
 * DOC: rules
 *
 * The operators' rule file: one rule a line, each with a comment that names
 * who asked for it and why.  docs/RULES.md has the grammar.  Pure.
 */
#ifndef LV_RULES_H
#define LV_RULES_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/slice.h"

/** Longest rule file, bytes. */
#define RUL_FILE_MAX (1U << 20)
/** Most rules in a file. */
#define RUL_COUNT_MAX 4096U
/** Bytes of a name, with NUL. */
#define RUL_NAME_MAX 64
/** Bytes of the text of a finding, with NUL. */
#define RUL_TEXT_MAX 128

/** enum rul_verb - what a rule does */
enum rul_verb
{
  RUL_WEIGHT, /* share of the slots, relative to other teams */
  RUL_LIMIT,  /* most tasks running at a time, whole fleet */
  RUL_QUEUE,  /* most tasks waiting at one entry */
  RUL_WAIT,   /* longest expected wait admitted, ms */
  RUL_REFUSE, /* refuse all of it */
  RUL_DRAIN,  /* place nothing there */
};

/** enum rul_subject - what a rule is about */
enum rul_subject
{
  RUL_TEAM,
  RUL_KIND,
  RUL_URGENCY,
  RUL_DOMAIN,
};

/**
 * struct rul_rule - one line
 * @verb: see enum rul_verb
 * @subject: see enum rul_subject
 * @name: of the team, kind, urgency or failure domain
 * @value: number, for verbs that take one
 * @line: line number, from 1
 * @comment: who asked for it, and why, as in the comment
 */
struct rul_rule
{
  enum rul_verb verb;
  enum rul_subject subject;
  char name[RUL_NAME_MAX];
  uint32_t value;
  uint32_t line;
  char comment[RUL_TEXT_MAX];
};

/** struct rul_set - parsed rules, on talloc memory. */
struct rul_set
{
  uint64_t version;
  uint32_t count;
  struct rul_rule *rules;
};

/**
 * struct rul_error - a mistake in a rule file
 * @line: from 1
 * @column: from 1, in bytes
 * @found: what stands there
 * @expected: what should
 */
struct rul_error
{
  uint32_t line;
  uint32_t column;
  char found[RUL_TEXT_MAX];
  char expected[RUL_TEXT_MAX];
};

/**
 * rul_parse() - parse and check a rule file
 * @mem_ctx: talloc parent of the result
 * @text: the file; a BOM and CRLF line ends are accepted
 * @findings: room for @max mistakes
 * @max: at least 1
 * @count: mistakes written
 *
 * Return: the rules, or NULL if there is any mistake.
 */
struct rul_set *rul_parse (void *mem_ctx, struct lv_slice text,
                           struct rul_error *findings, uint32_t max,
                           uint32_t *count);

/** rul_find() - the rule for this verb, subject and name; NULL if none. */
const struct rul_rule *rul_find (const struct rul_set *set, enum rul_verb verb,
                                 enum rul_subject subject,
                                 struct lv_slice name);

/** rul_value() - its value, or @fallback. */
uint32_t rul_value (const struct rul_set *set, enum rul_verb verb,
                    enum rul_subject subject, struct lv_slice name,
                    uint32_t fallback);

/** rul_format() - one rule as a line without its comment. */
void rul_format (const struct rul_rule *rule, char text[RUL_TEXT_MAX]);

#endif
