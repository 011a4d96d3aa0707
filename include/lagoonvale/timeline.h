/**
 * DOC: story
 *
 * The story of one request from the logs of all processes: the lines that name
 * it, and what happened meanwhile to the instances that had to do with it, in
 * the order of time.  Clocks of instances may differ, lines may be missing.
 * Pure.
 */
#ifndef LV_TIMELINE_H
#define LV_TIMELINE_H

#include "lagoonvale/slice.h"

/** Bytes of a line that are looked at. */
#define TML_LINE_MAX 2048

struct tml_line;

/** struct tml_timeline - caller-owned */
struct tml_timeline
{
  void *mem_ctx;
  struct lv_slice id;
  struct tml_line *lines;
  unsigned named; /* lines that name the request */
};

/** tml_init() - @id: of the request, borrowed. */
void tml_init (struct tml_timeline *s, void *mem_ctx, struct lv_slice id);

/** tml_finish() - free all lines. */
void tml_finish (struct tml_timeline *s);

/** tml_add_line() - a line of a log, without its newline; others are passed
 * over.
 */
void tml_add_line (struct tml_timeline *s, struct lv_slice line);

/**
 * tml_format() - the story, a talloc string
 *
 * Times are those of the entry that took the request, from its arrival; the
 * clock of an agent whose runs would end before they were ordered, or after
 * the answer, is shifted, and that is said.
 */
char *tml_format (struct tml_timeline *s);

#endif
