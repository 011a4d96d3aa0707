/**
 * DOC: rules
 *
 * Parser of the operators' rule file: one rule per line, each with a comment
 * that says who requested it and why.  docs/RULES.md has the grammar.  Pure:
 * no I/O, no clock.
 */
#ifndef LV_RULES_H
#define LV_RULES_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/slice.h"

/** Largest rule file, bytes. */
#define RUL_FILE_MAX (1U << 20)
/** Most rules in a file. */
#define RUL_COUNT_MAX 4096U
/** Size of a name, bytes, with NUL. */
#define RUL_NAME_MAX 64
/** Size of a rule, comment or part of an error message, bytes, with NUL. */
#define RUL_TEXT_MAX 128

/** enum rul_verb - effect of a rule */
enum rul_verb
{
  RUL_WEIGHT, /* weight of the team's share of the slots */
  RUL_LIMIT,  /* most tasks running at a time in the fleet */
  RUL_QUEUE,  /* most tasks waiting at one entry */
  RUL_WAIT,   /* longest expected wait admitted, ms */
  RUL_REFUSE, /* refuse all jobs */
  RUL_DRAIN,  /* place no tasks in the failure domain */
};

/** enum rul_subject - what a rule applies to */
enum rul_subject
{
  RUL_TEAM,
  RUL_KIND,
  RUL_URGENCY,
  RUL_DOMAIN,
};

/**
 * struct rul_rule - one rule
 * @verb: see enum rul_verb
 * @subject: see enum rul_subject
 * @name: of the team, kind, urgency or failure domain
 * @value: 0 for verbs without a value
 * @line: line number, from 1
 * @comment: who requested it and why
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

/**
 * struct rul_set - parsed rules; a talloc object
 * @version: 0 from rul_parse(); set by the caller
 * @count: number of @rules
 * @rules: in the order of the file
 */
struct rul_set
{
  uint64_t version;
  uint32_t count;
  struct rul_rule *rules;
};

/**
 * struct rul_error - an error in a rule file
 * @line: from 1
 * @column: from 1, in bytes
 * @found: text at this position
 * @expected: what the grammar requires there
 */
struct rul_error
{
  uint32_t line;
  uint32_t column;
  char found[RUL_TEXT_MAX];
  char expected[RUL_TEXT_MAX];
};

/**
 * rul_parse() - parse and validate a rule file
 * @mem_ctx: talloc parent of the result
 * @text: the file; a BOM and CRLF line ends are accepted
 * @errors: array of @max
 * @max: at least 1; parsing stops after as many errors
 * @count: errors written
 *
 * Return: the rules, or NULL if there is any error.
 */
struct rul_set *rul_parse (void *mem_ctx, struct lv_slice text,
                           struct rul_error *errors, uint32_t max,
                           uint32_t *count);

/** rul_find() - look up a rule by verb, subject and name; NULL if none. */
const struct rul_rule *rul_find (const struct rul_set *set, enum rul_verb verb,
                                 enum rul_subject subject,
                                 struct lv_slice name);

/** rul_value() - value of a rule, or @fallback if there is none. */
uint32_t rul_value (const struct rul_set *set, enum rul_verb verb,
                    enum rul_subject subject, struct lv_slice name,
                    uint32_t fallback);

/** rul_format() - text of a rule without its comment. */
void rul_format (const struct rul_rule *rule, char text[RUL_TEXT_MAX]);

#endif
