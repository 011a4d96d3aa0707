/**
 * DOC: logtail
 *
 * Reads and appends to a stream of the platform's log over HTTP.  The tail
 * long-polls, retries after errors and reports the oldest offset kept, from
 * which the owner sees whether records were missed.
 */
#ifndef LV_LOGTAIL_H
#define LV_LOGTAIL_H

#include <stdbool.h>
#include <stdint.h>

#include "http_client.h"

struct lgt_tail;

/**
 * struct lgt_handler - callbacks of a tail
 * @begin: before each batch; @first is the oldest offset that the log keeps
 * @record: one record, in order of offset
 * @caught_up: after each poll that returned less than a full batch, so called
 * repeatedly at the end of the stream
 * @priv: passed to all callbacks
 */
struct lgt_handler
{
  void (*begin) (uint64_t first, void *priv);
  void (*record) (uint64_t offset, uint64_t log_ms, struct lv_slice data,
                  void *priv);
  void (*caught_up) (void *priv);
  void *priv;
};

/** lgt_open() - tail @stream of the log at @url from offset @from. */
struct lgt_tail *lgt_open (void *mem_ctx, struct tevent_context *ev,
                           struct hcl_client *client, const char *url,
                           const char *stream, uint64_t from,
                           const struct lgt_handler *handler);

/** lgt_seek() - continue at offset @from. */
void lgt_seek (struct lgt_tail *tail, uint64_t from);

/** lgt_reachable() - whether the last read succeeded. */
bool lgt_reachable (const struct lgt_tail *tail);

/**
 * lgt_append() - append @data to the stream of @tail
 * @done: called with 0, or a negative error number, in which case the record
 * may still have been appended; may be NULL
 */
void lgt_append (struct lgt_tail *tail, const char *data,
                 void (*done) (int err, void *priv), void *priv);

#endif
