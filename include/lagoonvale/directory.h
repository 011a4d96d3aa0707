/**
 * DOC: directory
 *
 * Service discovery: a list of entry addresses in a shared store, for
 * instances whose seeds do not answer.  An entry adds its own address, reads
 * until it finds it listed, and removes addresses that have not answered for
 * minutes.  An agent reads the list when it starts and while no entry answers
 * it.  Pure: the owner does the I/O.
 */
#ifndef LV_DIRECTORY_H
#define LV_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "lagoonvale/slice.h"

/** Bytes of a listed address, with NUL. */
#define DIR_ADDRESS_MAX 64
/** Time between two reads by an entry, ns. */
#define DIR_REFRESH_NS 30000000000ULL
/** Initial backoff after a failed read, a read by an agent, or a read that
 * does not list the reading entry, ns; it doubles up to DIR_RETRY_MAX_NS. */
#define DIR_RETRY_NS 250000000ULL
/** Longest backoff, ns. */
#define DIR_RETRY_MAX_NS 8000000000ULL
/** Consecutive reads without an answer after which an address is removed. */
#define DIR_FAILURES_MAX 6

/**
 * struct dir_ops - access to the stored list
 * @read: start a read; it ends in dir_read_done() or dir_read_failed()
 * @add: add an address
 * @remove: remove an address
 */
struct dir_ops
{
  void (*read) (void *priv);
  void (*add) (struct lv_slice address, void *priv);
  void (*remove) (struct lv_slice address, void *priv);
};

/**
 * struct dir_events - callbacks of the owner
 * @found: the list holds this address
 * @answers: whether the entry there answers; not used by a read-only owner
 */
struct dir_events
{
  void (*found) (struct lv_slice address, void *priv);
  bool (*answers) (struct lv_slice address, void *priv);
  void *priv;
};

struct dir_unresponsive;

/** struct dir_directory - caller-owned */
struct dir_directory
{
  void *mem_ctx;
  const struct dir_ops *ops;
  void *ops_priv;
  struct dir_events events;
  struct lv_slice self;
  struct dir_unresponsive *unresponsive;
  uint64_t next_read_ns;
  uint64_t backoff_ns;
  bool reading;
  bool ever_read;
};

/**
 * dir_init() - initialize
 * @self: own address to add to the list, borrowed; empty for read-only use
 */
void dir_init (struct dir_directory *d, void *mem_ctx,
               const struct dir_ops *ops, void *ops_priv,
               const struct dir_events *events, struct lv_slice self);

/** dir_finish() - free all memory. */
void dir_finish (struct dir_directory *d);

/**
 * dir_tick() - start a read if one is due
 * @isolated: no entry answers this instance
 */
void dir_tick (struct dir_directory *d, bool isolated, uint64_t now_ns);

/** dir_read_done() - a read has succeeded. */
void dir_read_done (struct dir_directory *d, const struct lv_slice *addresses,
                    unsigned count, uint64_t now_ns);

/** dir_read_failed() - a read has failed. */
void dir_read_failed (struct dir_directory *d, uint64_t now_ns);

#endif
