/**
 * DOC: catalog
 *
 * The configuration in force: queues, found by host and longest path prefix.
 * Versions only rise.  Pure.
 */
#ifndef LV_CATALOG_H
#define LV_CATALOG_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "lagoonvale/slice.h"

/**
 * struct cat_queue - one queue that callers may hand jobs to
 * @host: of the request
 * @prefix: of the path
 * @service: backend servers that run its tasks
 * @priority: 0 comes first
 * @attempts: failed runs of one task that fail the job
 * @timeout_ms: longest time from a request to its answer
 * @target_ms: allowed beyond the work itself
 * @slack_permille: time allowed for the work over the time it takes, x 1000
 */
struct cat_queue
{
  char *name;
  char *host;
  char *prefix;
  char *service;
  uint32_t priority;
  uint32_t attempts;
  uint32_t timeout_ms;
  uint32_t target_ms;
  uint32_t slack_permille;
  char *key; /* host, then prefix */
  UT_hash_handle hh;
};

/**
 * struct cat_config - one version; a talloc object
 * @version: 0 for none
 * @body_max: longest body of a request, bytes
 * @idle_ms: after which an idle connection is closed
 */
struct cat_config
{
  uint64_t version;
  uint32_t body_max;
  uint32_t idle_ms;
  uint32_t count;
  struct cat_queue *queues;
  struct cat_queue *by_key;
};

/** cat_new() - a configuration with room for @count queues, all zero. */
struct cat_config *cat_new (void *mem_ctx, uint64_t version, uint32_t count);

/**
 * cat_build_index() - make the queues findable, once all are filled in
 * Return: 0, or -EINVAL if a queue lacks a name, host, prefix or service.
 */
int cat_build_index (struct cat_config *c);

/** cat_find() - queue for this host and path; NULL if there is none. */
const struct cat_queue *cat_find (const struct cat_config *c,
                                  struct lv_slice host, struct lv_slice path);

/**
 * cat_adopt() - put @next in force if it is newer than @current
 * @current: the configuration in force, or NULL; freed if replaced
 *
 * Return: the configuration in force; @next is freed if it is not.
 */
struct cat_config *cat_adopt (struct cat_config *current,
                              struct cat_config *next);

#endif
