/**
 * DOC: room
 *
 * The processors, memory and accelerators of a worker: what is reserved for
 * tasks by their declared sizes, and what they use beyond that.  The worker
 * reports use with a lag; a report is compared with what was reserved at the
 * time it speaks of, and what was used beyond is kept free of new tasks until
 * a later report says otherwise.  Pure.
 */
#ifndef LV_ROOM_H
#define LV_ROOM_H

#include <stdbool.h>
#include <stdint.h>

/** Changes of reservation that are remembered for late reports. */
#define ROM_HISTORY 512

/** struct rom_size - an amount of each resource */
struct rom_size
{
  uint32_t cores;
  uint32_t memory_mb;
  uint32_t accelerators;
};

/** struct rom_point - what was reserved from @at_ns on */
struct rom_point
{
  uint64_t at_ns;
  struct rom_size reserved;
};

/**
 * struct rom_room - caller-owned
 * @total: what the worker has
 * @reserved: declared by tasks that run
 * @excess: used beyond what was reserved, by the last report
 * @history: ring of changes, the newest at @newest
 */
struct rom_room
{
  struct rom_size total;
  struct rom_size reserved;
  struct rom_size excess;
  struct rom_point history[ROM_HISTORY];
  unsigned newest;
};

/** rom_none() - whether @s asks for nothing. */
bool rom_none (const struct rom_size *s);

/** rom_fits() - whether @need fits into @have. */
bool rom_fits (const struct rom_size *have, const struct rom_size *need);

/** rom_take() - subtract @need from @have, down to nothing. */
void rom_take (struct rom_size *have, const struct rom_size *need);

/** rom_init() - a worker of this size, empty at @now_ns. */
void rom_init (struct rom_room *r, const struct rom_size *total,
               uint64_t now_ns);

/** rom_free() - what new tasks may declare. */
struct rom_size rom_free (const struct rom_room *r);

/** rom_reserve() - a task started. Return: false if it does not fit. */
bool rom_reserve (struct rom_room *r, const struct rom_size *need,
                  uint64_t now_ns);

/** rom_release() - a task of this declared size ended. */
void rom_release (struct rom_room *r, const struct rom_size *need,
                  uint64_t now_ns);

/** rom_report() - the worker says that @used was in use at @as_of_ns. */
void rom_report (struct rom_room *r, const struct rom_size *used,
                 uint64_t as_of_ns);

#endif
