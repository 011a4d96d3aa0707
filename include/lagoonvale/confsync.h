/**
 * DOC: confsync
 *
 * Transfer of a configuration between instances, in small pages and, where the
 * receiver holds a former version, as the difference to it.  Pages are small
 * and requested one at a time, so that other messages on the same link are not
 * delayed behind a large one (head-of-line blocking).  Their order is that of
 * the keys, so that a transfer that loses its peer goes on with another from
 * the same key.  The result is checked by version and digest.  Pure: the owner
 * does the I/O.
 */
#ifndef LV_CONFSYNC_H
#define LV_CONFSYNC_H

#include "lagoonvale/catalog.h"

/** Queues on one page. */
#define CFS_PAGE_QUEUES 64
/** Removed queues that are remembered; a receiver behind more than these gets
 * the whole configuration. */
#define CFS_REMOVED_MAX 256

/**
 * cfs_link() - record in @next what has changed since @former
 * @former: a lower version, or NULL
 */
void cfs_link (struct cat_config *next, const struct cat_config *former);

/**
 * struct cfs_request - what a receiver asks for
 * @have: version that it holds, 0 for none
 * @version: of the transfer under way, 0 to begin one
 * @after: key of the last queue received, "" for none
 */
struct cfs_request
{
  uint64_t have;
  uint64_t version;
  const char *after;
};

/**
 * struct cfs_page - part of a configuration, borrowed from it
 * @base: version that the difference is to, 0: all queues are sent
 * @more: further pages follow
 * @removed: keys of queues that @base had; all on the first page
 */
struct cfs_page
{
  uint64_t version;
  uint64_t base;
  uint64_t digest;
  uint64_t position;
  uint32_t body_max;
  uint32_t idle_ms;
  bool more;
  const char *removed[CFS_REMOVED_MAX];
  uint32_t removed_count;
  const struct cat_queue *queues[CFS_PAGE_QUEUES];
  uint32_t count;
};

/** cfs_make_page() - answer @request from @config. */
void cfs_make_page (const struct cat_config *config,
                    const struct cfs_request *request, struct cfs_page *page);

/**
 * struct cfs_transfer - the receiving side, caller-owned, zeroed at first
 * @whole: the next transfer is of all queues, since a difference did not apply
 * @staged: queues received so far, not indexed; NULL before the first page
 */
struct cfs_transfer
{
  void *mem_ctx;
  uint64_t base;
  uint64_t digest;
  bool whole;
  struct cat_config *staged;
};

/** cfs_reset() - drop what was received. */
void cfs_reset (struct cfs_transfer *t);

/** cfs_next_request() - what to ask for, given the configuration @current, or
 * NULL.  The text is valid until the next page. */
struct cfs_request cfs_next_request (const struct cfs_transfer *t,
                                     const struct cat_config *current);

/**
 * cfs_accept() - take over a page
 * @result: set to the received configuration with the last page, owned by the
 * caller; else to NULL
 *
 * Return: 0, -ESTALE if the page does not continue this transfer, which begins
 * anew, -EBADMSG if a page or the result is invalid: what was received is
 * dropped, and the next transfer is of all queues.
 */
int cfs_accept (struct cfs_transfer *t, const struct cat_config *current,
                const struct cfs_page *page, struct cat_config **result);

#endif
