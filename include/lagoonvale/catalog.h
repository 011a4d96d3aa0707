/**
 * DOC: catalog
 *
 * The current configuration: queues, looked up by host and longest path
 * prefix.  A version is only replaced by a higher one.  Pure: no I/O, no
 * clock.
 */
#ifndef LV_CATALOG_H
#define LV_CATALOG_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "lagoonvale/slice.h"
#include "lagoonvale/textpool.h"
#include "lagoonvale/warmup.h"

/** Longest name, host, prefix or service of a queue, bytes. */
#define CAT_TEXT_MAX 512

/**
 * struct cat_queue - configuration of one queue of jobs
 * @name: name of the queue
 * @host: request host that selects the queue, in normal form (uri.h)
 * @prefix: path prefix that selects the queue, in normal form
 * @service: backend servers that run its tasks
 * @priority: 0 is the highest
 * @attempts: failed runs of one task after which the job fails
 * @timeout_ms: longest time from a request to its answer
 * @target_ms: fixed part of a job's latency target
 * @slack_permille: part of the target that grows with the job's expected run
 * time, in thousandths of that time
 * @warmup: how the minions of @service warm up
 * @key: @host followed by @prefix, which may be the end of it
 * @hash: of all fields above
 * @changed: version in which it last changed, as far as is known here
 */
struct cat_queue
{
  const char *name;
  const char *host;
  const char *prefix;
  const char *service;
  uint32_t priority;
  uint32_t attempts;
  uint32_t timeout_ms;
  uint32_t target_ms;
  uint32_t slack_permille;
  struct wmp_params warmup;
  const char *key;
  uint64_t hash;
  uint64_t changed;
  UT_hash_handle hh;
};

/** struct cat_removed - a queue that an earlier version had */
struct cat_removed
{
  char *key;
  uint64_t version; /* first one without it */
};

/**
 * struct cat_config - one version of the configuration; a talloc object
 * @version: 0 for none
 * @body_max: longest request body, bytes
 * @idle_ms: idle time after which a connection is closed
 * @count: number of @queues
 * @allocated: number of queues for which there is space
 * @queues: array of all queues, sorted by key once they are indexed
 * @texts: of the queues
 * @by_key: hash table of @queues
 * @digest: of all fields and queues; equal configurations have equal ones
 * @position: in the log that it was read from, behind it; 0 if unknown
 * @since: the changes after this version are known; see confsync.h
 * @removed: queues removed after @since, sorted by key
 */
struct cat_config
{
  uint64_t version;
  uint32_t body_max;
  uint32_t idle_ms;
  uint32_t count;
  uint32_t allocated;
  struct cat_queue *queues;
  struct txp_pool texts;
  struct cat_queue *by_key;
  uint64_t digest;
  uint64_t position;
  uint64_t since;
  struct cat_removed *removed;
  uint32_t removed_count;
};

/** cat_new() - allocate a configuration with @count zeroed queues. */
struct cat_config *cat_new (void *mem_ctx, uint64_t version, uint32_t count);

/**
 * cat_add_queue() - append a copy of all configured fields of @from
 *
 * Not after cat_build_index(), which moves the queues.
 *
 * Return: the copy, with its key; NULL if a text is missing or memory is out.
 */
struct cat_queue *cat_add_queue (struct cat_config *c,
                                 const struct cat_queue *from);

/**
 * cat_build_index() - sort and index the queues once all are filled in
 *
 * Return: 0, -ENOMEM, -EINVAL if the name, host, prefix or service of a queue
 * is not a valid name (see nam_valid()) or is too long, or -EEXIST if two
 * queues have the same host and prefix.
 */
int cat_build_index (struct cat_config *c);

/**
 * cat_find() - queue for a request's host and path, both in normal form
 *
 * Prefixes are compared bytewise: "/a" also matches "/ab".
 *
 * Return: the queue of this host with the longest matching prefix, or NULL.
 */
const struct cat_queue *cat_find (const struct cat_config *c,
                                  struct lv_slice host, struct lv_slice path);

/**
 * cat_adopt() - replace @current by @next if @next is newer
 * @current: may be NULL; freed if replaced
 * @next: freed if it is not newer
 *
 * Return: the one that was kept.
 */
struct cat_config *cat_adopt (struct cat_config *current,
                              struct cat_config *next);

#endif
