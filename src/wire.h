/**
 * DOC: wire
 *
 * Conversions between the library's types and the generated message types.
 */
#ifndef LV_WIRE_H
#define LV_WIRE_H

#include <errno.h>

#include "lagoonvale/amount.h"
#include "lagoonvale/capacity.h"
#include "lagoonvale/sid.h"
#include "lagoonvale/slice.h"
#include "lvproto.h"
#include "net.h"

/** wir_sid() - message form of @id. */
static inline lvp_sid
wir_sid (const struct sid_id *id)
{
  lvp_sid out = { .owner = id->owner,
                  .roster = id->roster,
                  .minted_ms = id->minted_ms,
                  .seq = id->seq,
                  .addr = id->addr,
                  .port = id->port };
  return out;
}

/** wir_to_sid() - library form of @in. */
static inline struct sid_id
wir_to_sid (const lvp_sid *in)
{
  struct sid_id id = { .owner = in->owner,
                       .roster = in->roster,
                       .minted_ms = in->minted_ms,
                       .seq = in->seq,
                       .addr = in->addr,
                       .port = in->port };
  return id;
}

/** wir_size() - message form of @s. */
static inline lvp_size
wir_size (const struct capa_size *s)
{
  lvp_size out = { s->cores, s->memory_mb, s->accelerators };
  return out;
}

/** wir_to_size() - library form of @in. */
static inline struct capa_size
wir_to_size (const lvp_size *in)
{
  struct capa_size s = { in->cores, in->memory_mb, in->accelerators };
  return s;
}

/** wir_amount() - message form of @a. */
static inline lvp_amount
wir_amount (const struct amt_amount *a)
{
  lvp_amount out = { a->mcores, a->memory_mb, a->accelerators };
  return out;
}

/** wir_to_amount() - library form of @in. */
static inline struct amt_amount
wir_to_amount (const lvp_amount *in)
{
  struct amt_amount a = { in->mcores, in->memory_mb, in->accelerators };
  return a;
}

/** wir_parse_endpoint() - parse "IP:PORT". Return: 0 or -EINVAL. */
static inline int
wir_parse_endpoint (lvp_endpoint *at, struct lv_slice text)
{
  char copy[NET_TEXT_MAX] = "";

  if (text.len >= sizeof copy)
    return -EINVAL;
  memcpy (copy, text.data, text.len);
  return net_parse_host_order (&at->addr, &at->port, copy);
}

/** wir_same_endpoint() - whether @a and @b are equal. */
static inline bool
wir_same_endpoint (const lvp_endpoint *a, const lvp_endpoint *b)
{
  return a->addr == b->addr && a->port == b->port;
}

/** wir_bytes() - message form of @s, which stays borrowed. */
static inline lvp_bytes
wir_bytes (struct lv_slice s)
{
  lvp_bytes b = { (u_int)s.len, (char *)s.data };
  return b;
}

/** wir_slice() - borrowed view of message bytes. */
static inline struct lv_slice
wir_slice (const lvp_bytes *b)
{
  struct lv_slice s = { b->lvp_bytes_val, b->lvp_bytes_len };
  return s;
}

/** WIR_FREE() - free the memory that a decoder allocated in @value. */
#define WIR_FREE(type, value) xdr_free ((xdrproc_t)xdr_##type, (char *)(value))

/** WIR_RESET() - free as WIR_FREE() does, and zero @value.  Always false. */
#define WIR_RESET(type, value)                                                \
  (WIR_FREE (type, value), memset ((value), 0, sizeof *(value)), false)

/** WIR_DECODE() - zero @value, then decode into it; after a failure nothing
 * that was decoded is left. */
#define WIR_DECODE(type, xdr, value)                                          \
  (memset ((value), 0, sizeof *(value)),                                      \
   xdr_##type ((xdr), (value)) || WIR_RESET (type, value))

#endif
