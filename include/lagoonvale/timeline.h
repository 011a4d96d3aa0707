/**
 * DOC: timeline
 *
 * The timeline of one request from the logs of all processes, sorted by time:
 * the lines that name it, and the state changes of the instances involved in
 * it, from 1 s before its arrival to 1 s after the last line that names it.
 * Clocks of instances may differ and lines may be missing.  Pure.
 */
#ifndef LV_TIMELINE_H
#define LV_TIMELINE_H

#include "lagoonvale/slice.h"

/** Bytes read of each line. */
#define TML_LINE_MAX 2048

struct tml_line;

/** struct tml_timeline - the collected lines; caller-owned */
struct tml_timeline
{
  void *mem_ctx;
  struct lv_slice id;
  struct tml_line *lines;
  unsigned matches; /* lines that name the request */
};

/** tml_init() - start the timeline of the request @id, which is borrowed. */
void tml_init (struct tml_timeline *t, void *mem_ctx, struct lv_slice id);

/** tml_finish() - free all lines. */
void tml_finish (struct tml_timeline *t);

/** tml_add_line() - add a log line, without its newline; irrelevant lines are
 * ignored.  */
void tml_add_line (struct tml_timeline *t, struct lv_slice line);

/**
 * tml_format() - format the timeline as a talloc string
 *
 * Times are by the clock of the entry that received the request, relative to
 * its arrival.  Where an agent's clock would have a run begin before the
 * arrival or end after the answer, the times of that agent are shifted, and
 * its lines show the offset.  Differences up to 20 ms are not corrected.
 */
char *tml_format (struct tml_timeline *t);

#endif
