/**
 * DOC: grant
 *
 * How an agent divides its slots among entries.  A credit is the right to
 * start one task; the sum of credits and running tasks never exceeds the slots
 * plus the tasks that may be held ahead of a slot.  Idle credits are spread
 * evenly; under demand, a freed slot goes to an entry where work of a team
 * within its share waits, then to the one that uses the fewest slots
 * (max-min), then to the one with the most urgent work.  Pure.
 */
#ifndef LV_GRANT_H
#define LV_GRANT_H

#include <stdbool.h>
#include <stdint.h>

/** Entries that one agent serves at a time. */
#define GRT_SESSIONS_MAX 16

/**
 * struct grt_session - one entry
 * @used: whether this place is taken
 * @credits: granted, not spent
 * @running: started and not ended
 * @queued: tasks that the entry reports as waiting
 * @entitled: of these, tasks of teams that are within their share
 * @urgency: of its most urgent waiting task, 0 is most urgent
 * @recalled: credits asked back, not yet returned
 * @change: credits to tell the entry about (negative: asked back)
 */
struct grt_session
{
  bool used;
  uint32_t credits;
  uint32_t running;
  uint32_t queued;
  uint32_t entitled;
  uint32_t urgency;
  uint32_t recalled;
  int32_t change;
};

/**
 * struct grt_grants - caller-owned
 * @capacity: slots and tasks held ahead
 * @open: false while leaving: nothing is granted
 */
struct grt_grants
{
  uint32_t capacity;
  bool open;
  struct grt_session session[GRT_SESSIONS_MAX];
};

/** grt_init() - no sessions, all slots free. */
void grt_init (struct grt_grants *g, uint32_t capacity);

/** grt_join() - add an entry. Return: its place, or -ENOSPC. */
int grt_join (struct grt_grants *g);

/** grt_leave() - an entry is gone; its running tasks still count. */
void grt_leave (struct grt_grants *g, unsigned place);

/** grt_set_demand() - an entry reports what waits there. */
void grt_set_demand (struct grt_grants *g, unsigned place, uint32_t queued,
                     uint32_t entitled, uint32_t urgency);

/** grt_spend() - a start came in. Return: whether a credit covered it. */
bool grt_spend (struct grt_grants *g, unsigned place);

/** grt_end() - a task of @place ended. */
void grt_end (struct grt_grants *g, unsigned place);

/** grt_return() - an entry gave back @n credits. */
void grt_return (struct grt_grants *g, unsigned place, uint32_t n);

/**
 * grt_balance() - grant what is free and recall what is needed elsewhere
 *
 * Afterwards each session's @change says what to tell its entry; the caller
 * sends it and clears it.
 */
void grt_balance (struct grt_grants *g);

/** grt_free() - slots neither granted nor in use. */
uint32_t grt_free (const struct grt_grants *g);

#endif
