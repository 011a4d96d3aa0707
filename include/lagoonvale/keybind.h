/**
 * DOC: keybind
 *
 * Caller-chosen keys at their home agent: each key is bound, once, to the id
 * of the submission that first used it.  A home that cannot show that it has
 * served the key's bucket since before the key could first have been sent says
 * so, and its word alone does not let a task start.  Pure.
 */
#ifndef LV_KEYBIND_H
#define LV_KEYBIND_H

#include <stddef.h>
#include <stdint.h>

#include "lagoonvale/sid.h"

struct key_binding;

/**
 * struct key_table - caller-owned
 * @mem_ctx: talloc parent
 * @keep_ms: age at which a binding is forgotten
 * @window_ms: age up to which callers may send a key again
 * @max_bytes: bound on memory
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

/** key_init() - empty table. */
void key_init (struct key_table *t, void *mem_ctx, uint64_t keep_ms,
               uint64_t window_ms, size_t max_bytes);

/** key_finish() - free all bindings. */
void key_finish (struct key_table *t);

/**
 * key_bind() - bind @key to @sid, if it is not bound yet
 * @since_ms: time since which this agent has been a home of the key
 * @first_sent_ms: when the caller first sent the key; 0 if it does not say
 * @now_ms: time
 * @bound: the id that the key is bound to
 *
 * Return: 0 if bound to @sid and the home knows the key's whole past; -EAGAIN
 * if bound to @sid but the home is too young to know; -EEXIST if bound to
 * another id; -ENOSPC at the bound.
 */
int key_bind (struct key_table *t, struct lv_slice key,
              const struct sid_id *sid, uint64_t since_ms,
              uint64_t first_sent_ms, uint64_t now_ms, struct sid_id *bound);

/** key_expire() - forget bindings that are old enough. */
void key_expire (struct key_table *t, uint64_t now_ms);

#endif
