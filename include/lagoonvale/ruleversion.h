/**
 * DOC: ruleversion
 *
 * Current version of the rule file, determined from the records of the rules
 * stream.  A publish record names the version that it replaces (compare and
 * swap): the first one in log order that names the current version is
 * accepted, later ones conflict, so that all readers agree.  A "state" record
 * is a snapshot of the current version with the offset up to which its writer
 * had read; a reader whose log starts later begins from it and replays the
 * records after that offset.  Pure: no I/O, no clock.
 */
#ifndef LV_RULEVERSION_H
#define LV_RULEVERSION_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/slice.h"

/** Size of the id of a publish record, bytes, with NUL. */
#define RVS_ID_MAX 40

/** enum rvs_outcome - result of applying a record */
enum rvs_outcome
{
  RVS_ACCEPTED,  /* publish: now the current file; state: adopted */
  RVS_CONFLICT,  /* base is not the current version */
  RVS_PENDING,   /* kept until the state is known */
  RVS_UNCHANGED, /* already applied, or an outdated state record */
  RVS_INVALID,   /* damaged, of unknown type, or an invalid file */
};

struct rvs_pending;

/**
 * struct rvs_state - caller-owned
 * @mem_ctx: talloc parent
 * @synced: whether the state at @offset is known, so that records apply
 * @version: current version, 0 for none
 * @offset: stream offset of this state
 * @first: no record from this offset on is missing; used while not @synced
 * @accepted_ms: log time of the last publish record accepted, 0 for none;
 * rvs_adopt() does not reset it, so it may belong to an earlier version
 * @text: current rule file, talloc
 * @id: of its publish record
 * @pending: records kept while not @synced, at most 4096; beyond that the
 * oldest is dropped and @first moves past it
 * @pending_count: number of @pending
 */
struct rvs_state
{
  void *mem_ctx;
  bool synced;
  uint64_t version;
  uint64_t offset;
  uint64_t first;
  uint64_t accepted_ms;
  char *text;
  char id[RVS_ID_MAX];
  struct rvs_pending *pending;
  unsigned pending_count;
};

/** rvs_init() - initialize without a version. */
void rvs_init (struct rvs_state *s, void *mem_ctx);

/** rvs_finish() - free the rule file and pending records. */
void rvs_finish (struct rvs_state *s);

/**
 * rvs_start_at() - reading continues at @first, the oldest record in the log
 *
 * If records between @offset and @first are missing, further records stay
 * pending until a state record or a peer supplies the state; the current
 * version stays.
 */
void rvs_start_at (struct rvs_state *s, uint64_t first);

/** rvs_apply() - apply one record. */
enum rvs_outcome rvs_apply (struct rvs_state *s, uint64_t offset,
                            uint64_t log_ms, struct lv_slice record);

/**
 * rvs_adopt() - take the state from a peer or a state record
 * @as_of: offset up to which the sender had read
 *
 * Return: true if the state was adopted; false if already synced, if @version
 * is lower than the current one, or if records between @as_of and @first are
 * missing.
 */
bool rvs_adopt (struct rvs_state *s, uint64_t version, uint64_t as_of,
                const char *id, struct lv_slice text);

/** rvs_publish_record() - JSON text that proposes to replace version @base. */
char *rvs_publish_record (void *mem_ctx, uint64_t base, const char *id,
                          const char *by, struct lv_slice text);

/** rvs_state_record() - JSON text of a snapshot of the current version. */
char *rvs_state_record (void *mem_ctx, const struct rvs_state *s);

#endif
