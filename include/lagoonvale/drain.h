/**
 * DOC: drain
 *
 * Which agents take no new work, and why: the one place that decides it for
 * agents that leave, backend servers that leave, and failure domains that
 * operators have drained.  Work under way goes on.
 *
 * Operators drain a failure domain by a record in a log, and end that by
 * deleting it.  Each instance keeps the set of drained domains together with
 * its position: the place in the log up to which the set holds.  Of two
 * positions the higher one is newer, whoever read it, so the set can be passed
 * on between instances without a coordinator.  A log that was set back (it
 * ends before a place that was read) has lost records, perhaps also those that
 * drained a domain: the set is kept then, and later positions count as newer
 * than all before.  Pure: no I/O, no clock.
 */
#ifndef LV_DRAIN_H
#define LV_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/slice.h"

/** Most drained domains at a time; further ones are ignored. */
#define DRN_DOMAINS_MAX 256

/** enum drn_cause - why an agent takes no new work; the first that applies */
enum drn_cause
{
  DRN_NONE,
  DRN_AGENT,  /* the agent itself leaves */
  DRN_SERVER, /* its backend server leaves */
  DRN_ENTRY,  /* it no longer serves the entry that asks */
  DRN_DOMAIN, /* operators have drained its failure domain */
};

/** struct drn_facts - what is known of an agent; each is false if unknown */
struct drn_facts
{
  bool agent_leaving;
  bool server_leaving;
  bool entry_retired;
  bool domain_drained;
};

/** drn_cause_of() - why an agent takes no new work, or DRN_NONE. */
enum drn_cause drn_cause_of (const struct drn_facts *facts);

/** drn_cause_name() - name of @cause for logs, a static string. */
const char *drn_cause_name (enum drn_cause cause);

/**
 * struct drn_domains - the drained failure domains; caller-owned
 * @position: up to which the set holds, see drn_position(); 0: nothing is
 * known yet
 * @names: talloc array
 */
struct drn_domains
{
  void *mem_ctx;
  uint64_t position;
  char **names;
  unsigned count;
};

/** drn_init() - initialize an empty set of which nothing is known. */
void drn_init (struct drn_domains *d, void *mem_ctx);

/** drn_finish() - free the names. */
void drn_finish (struct drn_domains *d);

/** drn_known() - whether the operators' records have been read by anyone. */
static inline bool
drn_known (const struct drn_domains *d)
{
  return d->position != 0;
}

/** drn_position() - position behind the records before @offset, in a log that
 * was set back as often as the one that @base is a position of. */
uint64_t drn_position (uint64_t base, uint64_t offset);

/** drn_offset() - offset in the log of a position that is not 0. */
uint64_t drn_offset (uint64_t position);

/** drn_same_log() - whether the log was not set back between two positions. */
bool drn_same_log (uint64_t a, uint64_t b);

/** drn_contains() - whether @domain is drained. */
bool drn_contains (const struct drn_domains *d, struct lv_slice domain);

/**
 * drn_replace() - take over the whole set, as it is at @position
 *
 * Return: whether it was newer than what is known.
 */
bool drn_replace (struct drn_domains *d, const struct lv_slice *names,
                  unsigned count, uint64_t position);

/**
 * drn_record() - apply one record, which ends at @position
 * @drained: whether it drains @domain, or ends that
 *
 * Return: whether the set has changed.
 */
bool drn_record (struct drn_domains *d, struct lv_slice domain, bool drained,
                 uint64_t position);

/** drn_advance() - the records up to @position have all been applied. */
void drn_advance (struct drn_domains *d, uint64_t position);

/**
 * drn_set_back() - the log ends at @offset, before a place that was read
 * @known: position that was known when the log was asked
 *
 * The set is kept.  Without effect if another instance has told it meanwhile.
 */
void drn_set_back (struct drn_domains *d, uint64_t known, uint64_t offset);

#endif
