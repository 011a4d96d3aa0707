/**
 * DOC: turn
 *
 * Round-robin turns of the entries that wait for free room of one worker.  If
 * the worker advertised its room to all of them, they would send tasks for the
 * same room and all but one would be refused.  So while several wait, only the
 * holder of the turn learns of free room.  The turn passes on once it was
 * used, or after TRN_HOLD_NS.  Until then room can accumulate for a large task
 * of the holder.  Pure.
 */
#ifndef LV_TURN_H
#define LV_TURN_H

#include <stdbool.h>
#include <stdint.h>

/** Entries that can wait at the same time; must equal GRT_SESSIONS_MAX. */
#define TRN_ENTRIES_MAX 16
/** Longest time that an unused turn is held, ns. */
#define TRN_HOLD_NS 1000000000ULL

/**
 * struct trn_turns - caller-owned, zeroed at first
 * @waiting: by entry, whether it has tasks that wait for room
 * @holder: entry that has the turn while several wait
 * @used: the holder has started a task in this turn
 * @since_ns: when this turn began
 */
struct trn_turns
{
  bool waiting[TRN_ENTRIES_MAX];
  unsigned holder;
  bool used;
  uint64_t since_ns;
};

/** trn_set_waiting() - set whether @entry has tasks that wait for room. */
void trn_set_waiting (struct trn_turns *t, unsigned entry, bool waiting,
                      uint64_t now_ns);

/** trn_mark_used() - record that @entry started a task. */
void trn_mark_used (struct trn_turns *t, unsigned entry);

/** trn_tick() - pass the turn on if it was used or has timed out. */
void trn_tick (struct trn_turns *t, uint64_t now_ns);

/** trn_any_waiting() - whether any entry has tasks that wait. */
bool trn_any_waiting (const struct trn_turns *t);

/** trn_is_allowed() - whether free room may be advertised to @entry. */
bool trn_is_allowed (const struct trn_turns *t, unsigned entry);

#endif
