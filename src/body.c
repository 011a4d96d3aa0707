#include "body.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

void
bdy_free (struct bdy_body *body, const struct bdy_budget *budget)
{
  free (body->data);
  body->data = NULL;
  body->len = 0;
  body->allocated = 0;
  budget->release (budget->priv);
}

static int
grow (struct bdy_body *body, const struct bdy_budget *budget, size_t len)
{
  size_t allocated = body->allocated > 0 ? body->allocated : BDY_STEP;
  char *grown;

  while (allocated < len)
    allocated *= 2;
  if (allocated == body->allocated)
    return 0;
  if (!budget->reserve (allocated, budget->priv))
    return -ENOMEM;
  grown = realloc (body->data, allocated);
  if (grown == NULL)
    return -ENOMEM;
  body->data = grown;
  body->allocated = allocated;
  return 0;
}

static int
discard (struct bdy_body *body, const struct bdy_budget *budget, size_t len)
{
  if (!body->too_long)
    bdy_free (body, budget);
  body->too_long = true;
  body->discarded += len;
  return body->discarded > BDY_DISCARD_MAX ? -EFBIG : 0;
}

int
bdy_append (struct bdy_body *body, const struct bdy_budget *budget,
            const char *data, size_t len)
{
  int rc;

  if (body->too_long || len > budget->len_max
      || body->len > budget->len_max - len)
    return discard (body, budget, len);
  rc = grow (body, budget, body->len + len);
  if (rc != 0)
    return rc;
  memcpy (body->data + body->len, data, len);
  body->len += len;
  return 0;
}

bool
bdy_announces_too_much (const char *content_length, size_t len_max)
{
  return content_length != NULL
         && strtoull (content_length, NULL, 10) > len_max + BDY_DISCARD_MAX;
}
