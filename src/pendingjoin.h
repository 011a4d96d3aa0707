/**
 * DOC: pendingjoin
 *
 * Joins of agents that an entry has answered, and that are not confirmed yet.
 * A join may arrive after a newer one: its connection was held up, and its
 * sender has given it up or has ended.  Such a sender does not answer, so a
 * join counts from the next message on its connection on (three-way
 * handshake).  An agent has one connection to an entry at a time; it sends
 * that message after it has read the answer to its join, so that a join which
 * arrived earlier than a confirmed one never counts.  Pure; times are by
 * clk_boot().
 */
#ifndef LV_PENDINGJOIN_H
#define LV_PENDINGJOIN_H

#include <stdint.h>

#include "lvproto.h"

/** A join that is not confirmed within this time is dropped, ns: an agent
 * gives its connection up by then. */
#define PJN_TIMEOUT_NS 3000000000ULL

/**
 * struct pjn_join - a join, in the order of arrival
 * @conn: its connection; opaque here
 * @at_ns: when it arrived
 * @message: decoded, freed with this
 */
struct pjn_join
{
  void *conn;
  uint64_t at_ns;
  lvp_join message;
  struct pjn_join *prev;
  struct pjn_join *next;
};

/** struct pjn_list - caller-owned */
struct pjn_list
{
  void *mem_ctx;
  struct pjn_join *joins;
};

/** pjn_init() - initialize without joins. */
void pjn_init (struct pjn_list *l, void *mem_ctx);

/** pjn_finish() - free all joins. */
void pjn_finish (struct pjn_list *l);

/** pjn_add() - add the join that has arrived on @conn, in place of a former
 * one there.  Takes @message over. */
void pjn_add (struct pjn_list *l, void *conn, const lvp_join *message,
              uint64_t now_ns);

/** pjn_find() - find the join on @conn, or NULL. */
struct pjn_join *pjn_find (const struct pjn_list *l, const void *conn);

/** pjn_find_superseded() - find a join of the same agent that arrived before
 * @confirmed, or NULL. */
struct pjn_join *pjn_find_superseded (const struct pjn_list *l,
                                      const struct pjn_join *confirmed);

/** pjn_find_expired() - find a join that has not been confirmed in time, or
 * NULL. */
struct pjn_join *pjn_find_expired (const struct pjn_list *l, uint64_t now_ns);

/** pjn_remove() - remove and free @join. */
void pjn_remove (struct pjn_list *l, struct pjn_join *join);

#endif
