/**
 * DOC: keybind
 *
 * Idempotency keys chosen by callers, as stored by their home agent: each key
 * is bound once, to the id of the submission that first used it.  If the agent
 * became a home of the key's bucket after the key may first have been sent, it
 * may lack an earlier binding: key_bind() returns -EAGAIN, and such an answer
 * alone does not permit a start.  Pure: times are passed in.
 */
#ifndef LV_KEYBIND_H
#define LV_KEYBIND_H

#include <stddef.h>
#include <stdint.h>

#include "lagoonvale/sid.h"

struct key_binding;

/**
 * struct key_table - bindings of one home agent, caller-owned
 * @mem_ctx: talloc parent
 * @keep_ms: bindings unused for this long are removed
 * @window_ms: time after its first use within which a key may be sent again
 * @max_bytes: limit of @bytes
 * @bytes: memory in use
 */
struct key_table
{
  void *mem_ctx;
  uint64_t keep_ms;
  uint64_t window_ms;
  size_t max_bytes;
  size_t bytes;
  struct key_binding *by_key;
  struct key_binding *oldest;
};

/** key_init() - initialize an empty table. */
void key_init (struct key_table *t, void *mem_ctx, uint64_t keep_ms,
               uint64_t window_ms, size_t max_bytes);

/** key_finish() - free all bindings. */
void key_finish (struct key_table *t);

/**
 * key_bind() - bind @key to @sid unless it is bound already
 * @since_ms: wall time since which this agent has been a home of the key
 * @first_sent_ms: wall time of the caller's first attempt; 0 if unknown
 * @now_ms: current wall time
 * @bound: set to the id that the key is bound to, except on -ENOSPC
 *
 * Return: 0 if bound to @sid and no earlier binding can be missing; -EAGAIN if
 * bound to @sid but an earlier binding at another home is possible; -EEXIST if
 * bound to another id; -ENOSPC if @max_bytes is reached.
 */
int key_bind (struct key_table *t, struct lv_slice key,
              const struct sid_id *sid, uint64_t since_ms,
              uint64_t first_sent_ms, uint64_t now_ms, struct sid_id *bound);

/** key_expire() - remove bindings unused for @keep_ms. */
void key_expire (struct key_table *t, uint64_t now_ms);

#endif
