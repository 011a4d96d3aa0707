/**
 * DOC: cancelbatch
 *
 * Cancels that an entry passes on to the others, and acknowledges, together.
 * A batch is confirmed once every other entry knows it, or is bound to read
 * it: each that answers has replied, and the log that all entries share holds
 * it if one has not.  An entry that cannot be reached by this one cannot reach
 * it either, and reads the log for as long as it misses another.  Pure: the
 * owner does the I/O; times are by clk_boot().
 */
#ifndef LV_CANCELBATCH_H
#define LV_CANCELBATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/slice.h"
#include "lvproto.h"

/** Time that other entries have to reply before the log is used, ns. */
#define CBT_REPLY_NS 300000000ULL

/** enum cbt_log - the batch in the log that all entries share */
enum cbt_log
{
  CBT_UNLOGGED,
  CBT_LOGGING,
  CBT_LOGGED,
  CBT_LOG_FAILED
};

/**
 * enum cbt_step - what the owner of a batch has to do
 * @CBT_WAIT: nothing
 * @CBT_WRITE: write it to the log, and call cbt_logged()
 * @CBT_DONE: free it: all calls are answered, and nothing is awaited
 */
enum cbt_step
{
  CBT_WAIT,
  CBT_WRITE,
  CBT_DONE
};

struct cbt_batch;

/**
 * struct cbt_call - one caller's request to cancel a job; caller-owned
 * @done: called once, unless cbt_leave() comes first; @confirmed: whether the
 * cancel counts at every entry
 * @batch: set while it waits
 */
struct cbt_call
{
  void (*done) (bool confirmed, void *priv);
  void *priv;
  struct cbt_batch *batch;
  struct cbt_call *prev;
  struct cbt_call *next;
};

/**
 * struct cbt_batch - caller-owned
 * @ids: of the cancelled jobs, freed with the batch
 * @unreplied: entries whose reply is awaited
 * @missed: whether an entry cannot be told, or has not replied in time
 */
struct cbt_batch
{
  void *mem_ctx;
  char *ids[LVP_CANCELS_MAX];
  unsigned count;
  struct cbt_call *calls;
  uint64_t sent_ns;
  unsigned unreplied;
  bool missed;
  enum cbt_log log;
};

/** cbt_init() - initialize without ids. */
void cbt_init (struct cbt_batch *b, void *mem_ctx);

/** cbt_finish() - free the ids; the calls that wait are not answered. */
void cbt_finish (struct cbt_batch *b);

/** cbt_is_full() - whether no more ids can be added. */
bool cbt_is_full (const struct cbt_batch *b);

/** cbt_add() - add the job @id, whose canceller waits with @call, to a batch
 * that has not been sent and is not full. */
void cbt_add (struct cbt_batch *b, struct lv_slice id, struct cbt_call *call);

/** cbt_leave() - the canceller does not wait for the answer any more. */
void cbt_leave (struct cbt_call *call);

/**
 * cbt_sent() - the batch was sent
 * @entries: whose replies will come, each with cbt_replied()
 * @missed: whether there are others
 */
void cbt_sent (struct cbt_batch *b, unsigned entries, bool missed,
               uint64_t now_ns);

/** cbt_replied() - an entry has replied; @ok: not if its connection ended. */
void cbt_replied (struct cbt_batch *b, bool ok);

/** cbt_logged() - the write to the log has ended; @ok: it holds the batch. */
void cbt_logged (struct cbt_batch *b, bool ok);

/** cbt_step() - answer the calls if their answer is known. */
enum cbt_step cbt_step (struct cbt_batch *b, uint64_t now_ns);

#endif
