/**
 * DOC: grant
 *
 * Credit-based flow control between an agent and its entries.  A credit is the
 * right to start one task; the sum of credits and running tasks never exceeds
 * the agent's slots plus the tasks it may queue ahead of a free slot.  Idle
 * credits are spread evenly.  Under demand, a freed slot goes to an entry with
 * waiting tasks of a team that is within its share, then to the entry that
 * uses the fewest slots (max-min fairness), then to the one with the most
 * urgent task.  Pure: no I/O, no clock.
 */
#ifndef LV_GRANT_H
#define LV_GRANT_H

#include <stdbool.h>
#include <stdint.h>

/** Maximum number of entries connected to one agent. */
#define GRT_SESSIONS_MAX 16

/**
 * struct grt_session - credits and demand of one entry
 * @used: an entry is connected; otherwise @running are tasks of a former entry
 * @credits: granted and not spent
 * @running: tasks started and not ended
 * @queued: waiting tasks, as reported by the entry
 * @entitled: those of @queued whose team is within its share
 * @urgency: of its most urgent waiting task, 0 is most urgent
 * @recalled: credits recalled and not yet returned
 * @change: credits granted (positive) or recalled (negative) since the last
 * message to the entry
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
 * struct grt_grants - credits of one agent, caller-owned
 * @capacity: number of slots, plus the tasks that may be queued ahead of a
 * free slot
 * @open: false while the agent is leaving: no credit is granted or recalled
 */
struct grt_grants
{
  uint32_t capacity;
  bool open;
  struct grt_session session[GRT_SESSIONS_MAX];
};

/** grt_init() - initialize without sessions. */
void grt_init (struct grt_grants *g, uint32_t capacity);

/** grt_join() - add an entry. Return: its index in @session, or -ENOSPC. */
int grt_join (struct grt_grants *g);

/** grt_leave() - remove an entry; its running tasks still occupy slots. */
void grt_leave (struct grt_grants *g, unsigned index);

/** grt_set_demand() - set an entry's waiting tasks, as it reported them. */
void grt_set_demand (struct grt_grants *g, unsigned index, uint32_t queued,
                     uint32_t entitled, uint32_t urgency);

/** grt_spend() - spend a credit on a start. Return: false if there is none. */
bool grt_spend (struct grt_grants *g, unsigned index);

/** grt_end() - record that a running task ended. */
void grt_end (struct grt_grants *g, unsigned index);

/** grt_return() - take back @n credits that an entry returned. */
void grt_return (struct grt_grants *g, unsigned index, uint32_t n);

/**
 * grt_balance() - grant free slots; recall idle credits for unmet demand
 *
 * Updates each session's @change; the caller sends it to the entry and resets
 * it to 0.
 */
void grt_balance (struct grt_grants *g);

/** grt_available() - capacity neither granted nor in use. */
uint32_t grt_available (const struct grt_grants *g);

#endif
