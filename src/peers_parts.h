/**
 * DOC: peers_parts
 *
 * Functions that the source files of peers.h share.  Calls go down this list
 * only:
 *
 *   peers.c         connections to peers, exchange of addresses and versions
 *   peers_config.c  transfer of configurations
 */
#ifndef LV_PEERS_PARTS_H
#define LV_PEERS_PARTS_H

#include "net.h"
#include "peers.h"

/** struct per_peer - another entry, connected or not */
struct per_peer
{
  struct per_peers *peers;
  lvp_endpoint endpoint;
  char address[NET_TEXT_MAX];
  struct onc_conn *conn;
  uint64_t alive_ns;    /* when added or last answering */
  uint64_t answered_ns; /* last answered exchange, 0: not connected */
  uint64_t called_ns;   /* when added or last calling */
  uint64_t sent_ns;
  uint64_t dialed_ns;
  uint64_t full_list_ns;    /* when the whole list was last sent */
  u_quad_t sent_digest;     /* of the list last sent */
  u_quad_t received_digest; /* of the list last received */
  uint64_t config_version;  /* of the peer, 0: unknown */
  bool reading;             /* a newer one is arriving there from the store */
  bool exchange_pending;
  struct per_peer *prev;
  struct per_peer *next;
};

/** per_version() - version of the configuration in force here, or 0. */
uint64_t per_version (const struct per_peers *p);

/** per_tick_fetch() - request the next page of a newer configuration from a
 * peer, if one has it. */
void per_tick_fetch (struct per_peers *p, uint64_t now_ns);

#endif
