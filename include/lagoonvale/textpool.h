/**
 * DOC: textpool
 *
 * Texts that live as long as the pool, packed into large blocks: thousands of
 * short ones would otherwise each cost the overhead of an allocation.  A text
 * that was added shortly before is not stored again.  Pure.
 */
#ifndef LV_TEXTPOOL_H
#define LV_TEXTPOOL_H

#include "lagoonvale/slice.h"

/** Texts that are remembered in order not to store them again. */
#define TXP_RECENT 64

/**
 * struct txp_pool - caller-owned
 * @block: the block that is being filled
 * @used: bytes of it that are in use
 * @size: its size, bytes
 * @recent: texts added lately, by hash
 */
struct txp_pool
{
  void *mem_ctx;
  char *block;
  size_t used;
  size_t size;
  const char *recent[TXP_RECENT];
};

/** txp_init() - initialize an empty pool, whose blocks belong to @mem_ctx. */
void txp_init (struct txp_pool *p, void *mem_ctx);

/** txp_add() - add @text, which must not hold NUL bytes. Return: a copy that
 * ends in NUL, or NULL if out of memory. */
const char *txp_add (struct txp_pool *p, struct lv_slice text);

#endif
