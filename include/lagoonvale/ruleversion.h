/**
 * DOC: ruleversion
 *
 * Which version of the rule file is in force, from the records of the rules
 * stream.  A publish record names the version that it replaces; in log order,
 * the first one that names the current version is accepted and the others have
 * lost, so all readers agree.  A "state" record repeats the version in force,
 * with the offset up to which its writer had read; a reader that starts late
 * begins from it and replays what came after that offset.  Pure.
 */
#ifndef LV_RULEVERSION_H
#define LV_RULEVERSION_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/slice.h"

/** Bytes of the id of a publish record, with NUL. */
#define RVS_ID_MAX 40

/** enum rvs_outcome - what became of a record */
enum rvs_outcome
{
  RVS_ACCEPTED,  /* now in force */
  RVS_CONFLICT,  /* another publish came first */
  RVS_PENDING,   /* cannot be judged yet: no state known before it */
  RVS_UNCHANGED, /* a state record that changes nothing */
  RVS_INVALID,   /* not one of ours, or damaged */
};

struct rvs_pending;

/**
 * struct rvs_state - caller-owned
 * @mem_ctx: talloc parent
 * @synced: whether records can be judged
 * @version: version in force, 0 for none
 * @offset: stream offset up to which this is true
 * @first: oldest offset of which all later records have been seen
 * @accepted_ms: log time of the acceptance, 0 if not seen
 * @text: the rule file in force, talloc
 * @id: id of the publish record in force
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
  struct rvs_pending *held;
  unsigned held_count;
};

/** rvs_init() - nothing known. */
void rvs_init (struct rvs_state *s, void *mem_ctx);

/** rvs_finish() - free what is held. */
void rvs_finish (struct rvs_state *s);

/**
 * rvs_start_at() - reading begins at @first, the oldest record kept
 *
 * If records between @offset and @first are missing, what follows cannot be
 * judged until a state record tells more; the version in force stays.
 */
void rvs_start_at (struct rvs_state *s, uint64_t first);

/** rvs_apply() - judge one record. */
enum rvs_outcome rvs_apply (struct rvs_state *s, uint64_t offset,
                            uint64_t log_ms, struct lv_slice record);

/**
 * rvs_adopt() - take the state that a peer or a state record tells
 * @as_of: offset up to which the teller had read
 *
 * Return: whether it changed anything. Versions never go down.
 */
bool rvs_adopt (struct rvs_state *s, uint64_t version, uint64_t as_of,
                const char *id, struct lv_slice text);

/** rvs_publish_record() - JSON text that asks to replace version @base. */
char *rvs_publish_record (void *mem_ctx, uint64_t base, const char *id,
                          const char *by, struct lv_slice text);

/** rvs_state_record() - JSON text that repeats the version in force. */
char *rvs_state_record (void *mem_ctx, const struct rvs_state *s);

#endif
