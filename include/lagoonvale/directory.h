/**
 * DOC: directory
 *
 * Addresses of entries as a shared store lists them, for instances that find
 * nobody through their seeds.  An entry lists itself, and takes off the list
 * who has answered nobody for minutes.  An agent reads the list when it starts
 * and while it is alone.  Pure: what reads and writes is the owner's.
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
/** First pause after a read that failed or found nobody, ns; it doubles. */
#define DIR_RETRY_NS 250000000ULL
/** Longest such pause, ns. */
#define DIR_RETRY_MAX_NS 8000000000ULL
/** Reads in a row at which an address did not answer, until it is removed. */
#define DIR_FAILURES_MAX 6

/**
 * struct dir_ops - where the list is kept
 * @read: read the list; ends in dir_read_done() or dir_read_failed()
 * @add: put an address on the list
 * @remove: take one off
 */
struct dir_ops
{
  void (*read) (void *priv);
  void (*add) (struct lv_slice address, void *priv);
  void (*remove) (struct lv_slice address, void *priv);
};

/**
 * struct dir_events - whom the list is for
 * @found: an entry may be at this address
 * @answers: whether the entry there answers; not asked by who only reads
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

/** dir_init() - @self: address to be listed, borrowed; empty to only read. */
void dir_init (struct dir_directory *d, void *mem_ctx,
               const struct dir_ops *ops, void *ops_priv,
               const struct dir_events *events, struct lv_slice self);

/** dir_finish() - free what use has taken. */
void dir_finish (struct dir_directory *d);

/**
 * dir_tick() - read if it is time
 * @alone: whether no entry answers here
 */
void dir_tick (struct dir_directory *d, bool alone, uint64_t now_ns);

/** dir_read_done() - the list was read. */
void dir_read_done (struct dir_directory *d, const struct lv_slice *addresses,
                    unsigned count, uint64_t now_ns);

/** dir_read_failed() - the list could not be read. */
void dir_read_failed (struct dir_directory *d, uint64_t now_ns);

#endif
