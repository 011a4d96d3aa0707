/**
 * DOC: peers
 *
 * The other entries: where they are, and which configuration they have.  Each
 * entry dials all others; news of either spread within one exchange.
 */
#ifndef LV_PEERS_H
#define LV_PEERS_H

#include <tevent.h>

#include "lagoonvale/catalog.h"
#include "lvproto.h"
#include "onc.h"

/** Entries that are known at a time. */
#define PER_MAX LVP_ENTRIES_MAX

/**
 * struct per_events - what the peers tell
 * @config: a peer has a newer configuration; @config is the callee's
 * @version: of the configuration in force here
 */
struct per_events
{
  void (*config) (struct cat_config *config, const char *source, void *priv);
  uint64_t (*version) (void *priv);
  void *priv;
};

struct per_peer;

/** struct per_peers - caller-owned */
struct per_peers
{
  void *mem_ctx;
  struct tevent_context *ev;
  struct per_events events;
  lvp_endpoint self;
  uint64_t incarnation;
  struct per_peer *peers;
  unsigned count;
};

/** per_init() - @self: "IP:PORT" at which other entries reach this one. */
int per_init (struct per_peers *p, void *mem_ctx, struct tevent_context *ev,
              const char *self, uint64_t incarnation,
              const struct per_events *events);

/** per_add() - an entry may be at this address. */
void per_add (struct per_peers *p, const lvp_endpoint *at, uint64_t now_ns);

/** per_add_address() - the same, from "IP:PORT". */
void per_add_address (struct per_peers *p, struct lv_slice text,
                      uint64_t now_ns);

/** per_is_up() - whether the entry at this address, "IP:PORT", answers. */
bool per_is_up (const struct per_peers *p, struct lv_slice text);

/** per_tick() - dial, exchange, give up entries that are gone. */
void per_tick (struct per_peers *p, uint64_t now_ns);

/**
 * per_list() - this entry and all others that answer; borrowed from @room
 * @known: digest of the list that the reader has, or 0
 * @digest: set to that of the list
 *
 * Return: the list; empty if the reader has it already.
 */
lvp_endpoints per_list (const struct per_peers *p, uint64_t now_ns,
                        lvp_endpoint room[PER_MAX], u_quad_t known,
                        u_quad_t *digest);

/** per_on_peer() - answer the exchange that a peer has begun. */
void per_on_peer (struct per_peers *p, struct onc_conn *conn, uint32_t xid,
                  XDR *args, uint64_t now_ns);

/** per_on_config() - send a peer the configuration in force. */
void per_on_config (const struct cat_config *config, struct onc_conn *conn,
                    uint32_t xid);

#endif
