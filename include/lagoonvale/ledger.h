/**
 * DOC: ledger
 *
 * The start ledger of one agent: the ground truth of what started at its
 * target.  A task starts only through led_start(), which says yes at most once
 * per (submission, index).  Fences forbid starts under older ballots, and
 * resolving a task that never started plants a tombstone, so that "never
 * started" stays true.  Pure: time is passed in, nothing is sent.
 *
 * Bounds: at @max_bytes new starts are refused (-ENOSPC); nothing is forgotten
 * before @keep_ns have passed since a submission was last touched.  Outputs
 * are dropped earlier (@output_keep_ns); the fact that the task ran is not.
 */
#ifndef LV_LEDGER_H
#define LV_LEDGER_H

#include <stddef.h>
#include <stdint.h>

#include "lagoonvale/sid.h"

/** enum led_state - what is known of one task */
enum led_state
{
  LED_RUNNING,   /* started, not ended */
  LED_SUCCEEDED, /* ended, output held */
  LED_FAILED,    /* ended, the target reported a failure */
  LED_LOST,      /* may have run: output dropped, or target went silent */
  LED_TOMBSTONE, /* never started, never will */
};

/**
 * struct led_task - one task of a submission
 * @index: position in its job
 * @state: see enum led_state
 * @run_ns: run time, once ended
 * @ended_ns: time at which it ended
 * @output: talloc bytes, NULL if none or dropped
 * @output_len: count of bytes
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
 * struct led_holder - who may start tasks of a submission
 * @ballot: 0 for the minting owner; an adopter's is higher
 * @addr: IPv4 of the adopter
 * @port: its RPC port
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
 * @mem_ctx: talloc parent of everything within
 * @max_bytes: bound on memory
 * @keep_ns: least age at which a submission is forgotten
 * @output_keep_ns: age at which an output is dropped
 * @joined: log offset of the agent's announcement, 0 before it
 * @bytes: memory in use
 * @tasks: tasks on record
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

/** led_init() - empty ledger on memory of @mem_ctx. */
void led_init (struct led_ledger *l, void *mem_ctx, size_t max_bytes,
               uint64_t keep_ns, uint64_t output_keep_ns);

/** led_finish() - free everything within. */
void led_finish (struct led_ledger *l);

/**
 * led_start() - may this task start now?
 * @l: ledger
 * @sid: submission
 * @ballot: ballot of the owner that asks
 * @index: task
 * @now_ns: time
 * @out: the task on record, when it was started before
 *
 * Return: 0 if it starts (it is on record as running from here on);
 * -EALREADY if it started before; -EACCES under an older ballot than the
 * fence; -ECANCELED if tombstoned; -ESTALE if the id is older than this
 * agent's announcement; -ENOSPC at the bound.
 */
int led_start (struct led_ledger *l, const struct sid_id *sid, uint64_t ballot,
               uint32_t index, uint64_t now_ns, const struct led_task **out);

/**
 * led_end() - a started task ended
 * @output: copied
 */
void led_end (struct led_ledger *l, const struct sid_id *sid, uint32_t index,
              enum led_state state, struct lv_slice output, uint64_t run_ns,
              uint64_t now_ns);

/**
 * led_unstart() - take back a start that never reached the target
 *
 * The task becomes a tombstone.
 */
void led_unstart (struct led_ledger *l, const struct sid_id *sid,
                  uint32_t index);

/**
 * led_resolve() - what became of a task; tombstone it if it never started
 *
 * Return: the task; NULL with @err -EACCES under an older ballot than the
 * fence, or -ENOSPC at the bound.
 */
const struct led_task *led_resolve (struct led_ledger *l,
                                    const struct sid_id *sid, uint64_t ballot,
                                    uint32_t index, uint64_t now_ns, int *err);

/**
 * led_fence() - make @next the only owner that may start tasks of @sid
 * @polite: yield to an adopter that is there already
 * @current: the holder, when refused
 *
 * Return: 0; -EBUSY if a higher ballot holds it (or, politely, any adopter);
 * -ENOSPC at the bound.
 */
int led_fence (struct led_ledger *l, const struct sid_id *sid,
               const struct led_holder *next, bool polite, uint64_t now_ns,
               struct led_holder *current);

/**
 * led_list_started() - indices of all tasks of @sid that started here
 * @indices: room for @max
 *
 * Return: their count.
 */
unsigned led_list_started (const struct led_ledger *l,
                           const struct sid_id *sid, uint32_t *indices,
                           unsigned max);

/** led_expire() - drop what is old enough. */
void led_expire (struct led_ledger *l, uint64_t now_ns);

#endif
