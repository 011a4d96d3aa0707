/**
 * DOC: body
 *
 * Body of a request that arrives in parts.  It grows by doubling, as far as
 * the budget of its server grants.  What goes beyond the longest body is
 * dropped as it arrives, and read on for a while, so that the caller gets the
 * refusal: a connection that is closed with unread data is reset, and the
 * answer lost.  Not locked.
 */
#ifndef LV_BODY_H
#define LV_BODY_H

#include <stdbool.h>
#include <stddef.h>

/** First allocation for a body, bytes. */
#define BDY_STEP ((size_t)4096)
/** Bytes beyond the longest body that are read for the sake of the refusal. */
#define BDY_DISCARD_MAX ((size_t)4 << 20)

/**
 * struct bdy_body - caller-owned, zeroed at first
 * @data: what has arrived; NULL if nothing has, or it is too long
 * @len: bytes in @data
 * @allocated: bytes of @data that the budget has granted
 * @discarded: bytes of a body that is too long, dropped so far
 * @too_long: longer than the longest body
 */
struct bdy_body
{
  char *data;
  size_t len;
  size_t allocated;
  size_t discarded;
  bool too_long;
};

/**
 * struct bdy_budget - memory for the body
 * @len_max: of the longest body, bytes
 * @reserve: let the body take @bytes in all. Return: whether it may
 * @release: the body has been freed
 * @priv: for both
 */
struct bdy_budget
{
  size_t len_max;
  bool (*reserve) (size_t bytes, void *priv);
  void (*release) (void *priv);
  void *priv;
};

/**
 * bdy_append() - add the next @len bytes at @data
 *
 * Return: 0, also for a body that is too long; -ENOMEM if there is no memory
 * for them, -EFBIG if the sender goes on beyond BDY_DISCARD_MAX.  After an
 * error the sender is to be dropped.
 */
int bdy_append (struct bdy_body *body, const struct bdy_budget *budget,
                const char *data, size_t len);

/** bdy_free() - free what has arrived, and tell the budget. */
void bdy_free (struct bdy_body *body, const struct bdy_budget *budget);

/** bdy_announces_too_much() - whether the header Content-Length, NULL if there
 * is none, announces more than is read for the sake of a refusal. */
bool bdy_announces_too_much (const char *content_length, size_t len_max);

#endif
