/**
 * DOC: peers
 *
 * The other entries: their addresses and the versions of their configuration.
 * Each entry connects to all others and exchanges both with them at intervals.
 */
#ifndef LV_PEERS_H
#define LV_PEERS_H

#include <tevent.h>

#include "lagoonvale/confsync.h"
#include "lagoonvale/drain.h"
#include "lagoonvale/pacer.h"
#include "lvproto.h"
#include "onc.h"

/** Most entries known at a time, this one included. */
#define PER_MAX LVP_ENTRIES_MAX

/**
 * struct per_events - callbacks
 * @config: a newer configuration arrived from a peer; takes over @config
 * @current: the configuration in force here, or NULL
 * @drains: a peer knows the drained failure domains @names at @position
 * @current_drains: those known here
 * @up: a peer answers for the first time on @conn, which leads to it
 */
struct per_events
{
  void (*config) (struct cat_config *config, const char *source, void *priv);
  const struct cat_config *(*current) (void *priv);
  void (*drains) (const struct lv_slice *names, unsigned count,
                  uint64_t position, const char *source, void *priv);
  const struct drn_domains *(*current_drains) (void *priv);
  void (*up) (struct onc_conn *conn, void *priv);
  void *priv;
};

struct per_peer;

/**
 * struct per_fetch - transfer of a newer configuration from a peer
 * @source: peer that was asked for a page, NULL if none is pending
 * @next_ns: earliest time of the next request
 * @page_ns: when the last page arrived
 * @turn: spreads the requests of several entries over their peers
 */
struct per_fetch
{
  struct cfs_transfer transfer;
  struct per_peer *source;
  uint64_t next_ns;
  uint64_t page_ns;
  uint64_t turn;
};

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
  uint64_t forgot_ns; /* when a peer was last forgotten, 0: never */
  struct per_fetch fetch;
  struct pac_pacer pacer; /* of the pages sent to peers */
  bool reading; /* set by the owner: a newer one is arriving from the store */
};

/**
 * per_init() - initialize without peers
 * @self: "IP:PORT" at which other entries reach this one
 *
 * Return: 0, or -EINVAL if @self cannot be parsed.
 */
int per_init (struct per_peers *p, void *mem_ctx, struct tevent_context *ev,
              const char *self, uint64_t incarnation,
              const struct per_events *events);

/** per_add() - add the address of an entry, unless it is known. */
void per_add (struct per_peers *p, const lvp_endpoint *at, uint64_t now_ns);

/** per_add_address() - per_add() for the text "IP:PORT". */
void per_add_address (struct per_peers *p, struct lv_slice text,
                      uint64_t now_ns);

/** per_is_up() - whether the entry at "IP:PORT" answers exchanges. */
bool per_is_up (const struct per_peers *p, struct lv_slice text);

/** per_tick() - dial, exchange, time out and forget peers. */
void per_tick (struct per_peers *p, uint64_t now_ns);

/**
 * per_list() - list this entry and all others that answer
 * @buf: holds the entries of the list
 * @known: digest of the list that the receiver has, or 0
 * @digest: set to the digest of the list
 *
 * Return: the list; empty if its digest is @known.
 */
lvp_endpoints per_list (const struct per_peers *p, uint64_t now_ns,
                        lvp_endpoint buf[PER_MAX], u_quad_t known,
                        u_quad_t *digest);

/**
 * per_call_all() - call @proc with @args at all peers that answer
 * @reply: called once for each of these calls, later
 * @calls: set to their number
 *
 * Return: whether these are all peers.
 */
bool per_call_all (const struct per_peers *p, uint32_t proc, xdrproc_t encode,
                   void *args, onc_reply_fn reply, void *priv,
                   unsigned *calls);

/** per_misses_any() - whether a peer does not answer or does not call, or was
 * forgotten so lately that the directory may still list it. */
bool per_misses_any (const struct per_peers *p, uint64_t now_ns);

/** per_on_peer() - handle and answer the exchange call of a peer. */
void per_on_peer (struct per_peers *p, struct onc_conn *conn, uint32_t xid,
                  XDR *args, uint64_t now_ns);

/** per_on_config() - answer a peer with a page of the configuration in force,
 * or without one if pages were sent too fast of late. */
void per_on_config (struct per_peers *p, struct onc_conn *conn, uint32_t xid,
                    XDR *args, uint64_t now_ns);

/** per_is_reader() - whether this entry is one of the few that watch the store
 * for the others; also while it knows few others. */
bool per_is_reader (const struct per_peers *p);

/** per_is_fetching() - whether a newer configuration is arriving from a peer,
 * or at a peer from the store. */
bool per_is_fetching (const struct per_peers *p, uint64_t now_ns);

#endif
