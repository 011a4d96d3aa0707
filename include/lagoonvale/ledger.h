/**
 * DOC: ledger
 *
 * The start ledger of one agent: the authoritative record of the tasks started
 * at its targets.  A task starts only through led_start(), which succeeds at
 * most once per (submission, index).  A fence rejects starts under lower
 * ballots.  Resolving a task that never started inserts a tombstone, so that
 * it cannot start later.  Pure: no I/O, no clock.
 *
 * At @max_bytes new starts are refused (-ENOSPC).  A submission is removed
 * once it has been unused for @keep_ns and none of its tasks runs.  An output
 * is dropped once its task has ended, and its submission has been unused, for
 * @output_keep_ns; the record that the task ran is kept.
 */
#ifndef LV_LEDGER_H
#define LV_LEDGER_H

#include <stddef.h>
#include <stdint.h>

#include "lagoonvale/sid.h"

/** enum led_state - state of one task */
enum led_state
{
  LED_RUNNING,   /* started, not ended */
  LED_SUCCEEDED, /* ended, output kept */
  LED_FAILED,    /* ended, the target reported a failure */
  LED_LOST,      /* outcome unavailable: output dropped, or none received */
  LED_TOMBSTONE, /* never started and barred from starting */
};

/**
 * struct led_task - one task of a submission
 * @index: position in its submission
 * @state: see enum led_state
 * @run_ns: run time, once ended
 * @ended_ns: time at which it ended
 * @output: talloc bytes, NULL if none or dropped
 * @output_len: bytes of @output
 */
struct led_task
{
  uint32_t index;
  enum led_state state;
  uint64_t run_ns;
  uint64_t ended_ns;
  char *output;
  size_t output_len;
};

/**
 * struct led_holder - the entry that may start tasks of a submission
 * @ballot: 0 for the entry that minted the id; an adopter's is higher
 * @addr: IPv4 address of the adopter
 * @port: RPC port of the adopter
 */
struct led_holder
{
  uint64_t ballot;
  uint32_t addr;
  uint32_t port;
};

struct led_sub;

/**
 * struct led_ledger - caller-owned
 * @mem_ctx: talloc parent of all allocations
 * @max_bytes: limit of @bytes for new starts
 * @keep_ns: time since its last use after which a submission is removed
 * @output_keep_ns: time after which an output is dropped, both since the end
 * of its task and since the last use of its submission
 * @joined: log offset of the agent's announcement, 0 before it
 * @bytes: memory in use
 * @tasks: number of tasks recorded
 * @by_id: hash table of submissions by id
 * @oldest: list of submissions, least recently used first
 */
struct led_ledger
{
  void *mem_ctx;
  size_t max_bytes;
  uint64_t keep_ns;
  uint64_t output_keep_ns;
  uint64_t joined;
  size_t bytes;
  size_t tasks;
  struct led_sub *by_id;
  struct led_sub *oldest;
};

/** led_init() - initialize an empty ledger. */
void led_init (struct led_ledger *l, void *mem_ctx, size_t max_bytes,
               uint64_t keep_ns, uint64_t output_keep_ns);

/** led_finish() - free all submissions. */
void led_finish (struct led_ledger *l);

/**
 * led_start() - record the start of a task if it may start
 * @l: ledger
 * @sid: submission
 * @ballot: ballot of the requesting owner
 * @index: task
 * @now_ns: time
 * @out: set to the recorded task on -EALREADY and -ECANCELED
 *
 * Return: 0 if it may start (it is recorded as running); -EALREADY if it was
 * started before; -EACCES if @ballot is not the holder's; -ECANCELED if it is
 * a tombstone; -ESTALE if the id was minted before this agent's announcement;
 * -ENOSPC at the memory limit.
 */
int led_start (struct led_ledger *l, const struct sid_id *sid, uint64_t ballot,
               uint32_t index, uint64_t now_ns, const struct led_task **out);

/**
 * led_end() - record the end of a task, if it is running
 * @output: copied
 */
void led_end (struct led_ledger *l, const struct sid_id *sid, uint32_t index,
              enum led_state state, struct lv_slice output, uint64_t run_ns,
              uint64_t now_ns);

/**
 * led_revert_start() - revert a start that never reached the target
 *
 * The task becomes a tombstone.
 */
void led_revert_start (struct led_ledger *l, const struct sid_id *sid,
                       uint32_t index);

/**
 * led_resolve() - look up a task; insert a tombstone if it never started
 *
 * Return: the task; NULL with @err set to -EACCES if @ballot is lower than the
 * holder's, or to -ENOSPC at the memory limit.
 */
const struct led_task *led_resolve (struct led_ledger *l,
                                    const struct sid_id *sid, uint64_t ballot,
                                    uint32_t index, uint64_t now_ns, int *err);

/**
 * led_fence() - make @next the only owner that may start tasks of @sid
 * @no_preempt: also fail if any other adopter holds @sid
 * @current: set to the holder before this call
 *
 * Return: 0; -EBUSY if a higher ballot (with @no_preempt: any other adopter)
 * holds
 * @sid; -ENOSPC at the memory limit.
 */
int led_fence (struct led_ledger *l, const struct sid_id *sid,
               const struct led_holder *next, bool no_preempt, uint64_t now_ns,
               struct led_holder *current);

/**
 * led_list_started() - list the tasks of @sid that have started
 * @indices: space for @max indices, filled in ascending order
 *
 * Return: number of indices written.
 */
unsigned led_list_started (const struct led_ledger *l,
                           const struct sid_id *sid, uint32_t *indices,
                           unsigned max);

/** led_expire() - drop old outputs and unused submissions. */
void led_expire (struct led_ledger *l, uint64_t now_ns);

#endif
