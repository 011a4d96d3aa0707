/**
 * DOC: turn
 *
 * Which of several entries may use the free room of one worker.  Were all told
 * of it, all but one would send in vain; so while more than one waits, one has
 * the turn.  It passes on when it was used, or after TRN_HOLD_NS, so that room
 * can gather for a large task of the holder, but not for ever.  Pure.
 */
#ifndef LV_TURN_H
#define LV_TURN_H

#include <stdbool.h>
#include <stdint.h>

/** Entries that can wait at a time. */
#define TRN_ENTRIES_MAX 16
/** Longest time that a turn lasts unused, ns. */
#define TRN_HOLD_NS 1000000000ULL

/**
 * struct trn_turns - caller-owned, zeroed at first
 * @waits: by place, whether that entry has tasks that wait for room
 * @holder: place that has the turn while more than one waits
 * @used: it has started something in its turn
 * @since_ns: when its turn began
 */
struct trn_turns
{
  bool waiting[TRN_ENTRIES_MAX];
  unsigned holder;
  bool used;
  uint64_t since_ns;
};

/** trn_set_waiting() - the entry at @place has tasks that wait, or has none.
 */
void trn_set_waiting (struct trn_turns *t, unsigned place, bool waits,
                      uint64_t now_ns);

/** trn_mark_used() - the entry at @place started a task. */
void trn_mark_used (struct trn_turns *t, unsigned place);

/** trn_tick() - pass the turn on if it was used or held for too long. */
void trn_tick (struct trn_turns *t, uint64_t now_ns);

/** trn_any_waiting() - whether any entry has tasks that wait for room. */
bool trn_any_waiting (const struct trn_turns *t);

/** trn_is_allowed() - may the entry at @place be told of free room? */
bool trn_is_allowed (const struct trn_turns *t, unsigned place);

#endif
