/**
 * DOC: story
 *
 * The story of one request from the logs of all processes: the lines that name
 * it, and what happened meanwhile to the instances that had to do with it, in
 * the order of time.  Clocks of instances may differ, lines may be missing.
 * Pure.
 */
#ifndef LV_STORY_H
#define LV_STORY_H

#include "lagoonvale/slice.h"

/** Bytes of a line that are looked at. */
#define STY_LINE_MAX 2048

struct sty_line;

/** struct sty_story - caller-owned */
struct sty_story
{
  void *mem_ctx;
  struct lv_slice id;
  struct sty_line *lines;
  unsigned named; /* lines that name the request */
};

/** sty_init() - @id: of the request, borrowed. */
void sty_init (struct sty_story *s, void *mem_ctx, struct lv_slice id);

/** sty_finish() - free all lines. */
void sty_finish (struct sty_story *s);

/** sty_add() - a line of a log, without its newline; others are passed over.
 */
void sty_add (struct sty_story *s, struct lv_slice line);

/**
 * sty_tell() - the story, a talloc string
 *
 * Times are those of the entry that took the request, from its arrival; the
 * clock of an agent whose runs would end before they were ordered, or after
 * the answer, is shifted, and that is said.
 */
char *sty_tell (struct sty_story *s);

#endif
