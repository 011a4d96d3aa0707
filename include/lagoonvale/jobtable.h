/**
 * DOC: board
 *
 * The jobs that an entry has taken and not answered yet, as tasks that wait,
 * run at an agent, or may still run at an agent that is out of touch.  Jobs
 * wait by priority, then in the order of their latest start that meets the
 * target ("least slack first"); those that have not begun and cannot meet it
 * any more wait behind all others.  Pure.
 */
#ifndef LV_JOBTABLE_H
#define LV_JOBTABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "lagoonvale/amount.h"
#include "lagoonvale/slice.h"

/** Bytes of a job's id, with NUL. */
#define JTB_ID_MAX 64
/** An answer after so many times the target is of no use to most callers. */
#define JTB_GRACE_FACTOR 3
/** An answer that is late is worth one part in this many. */
#define JTB_LATE_VALUE_DIVISOR 5

/** enum jtb_task_state - where a task stands */
enum jtb_task_state
{
  JTB_WAITING,
  JTB_PLACED,
  JTB_UNREACHABLE, /* its agent is out of touch: it may run until @until_ns */
  JTB_DONE,
};

/** enum jtb_job_status - what becomes of a job */
enum jtb_job_status
{
  JTB_OPEN,
  JTB_COMPLETE,
  JTB_FAILED,
};

struct jtb_job;

/**
 * struct jtb_task - one task of a job
 * @attempt: of the last order
 * @failures: runs that have ended as failed
 * @run: number of the last order
 * @host: agent of the last order, the caller's
 * @avoid: agent at which it ended badly last, the caller's
 */
struct jtb_task
{
  struct jtb_job *job;
  enum jtb_task_state state;
  uint32_t index;
  uint32_t attempt;
  uint32_t failures;
  uint64_t run;
  uint64_t placed_ns;
  uint64_t runs_until_ns;
  void *host;
  void *avoid;
  UT_hash_handle hh;
};

/**
 * struct jtb_params - what a job asks for
 * @id: of the job
 * @spec: handed to the tasks
 * @need: of each task
 * @estimate_ms: declared, of each task
 * @count: of tasks
 * @priority: 0 comes first among equals
 * @attempts: failed runs of one task that fail the job
 * @target_ns: from arrival to the answer
 * @patience_ns: from arrival; then the caller is gone
 */
struct jtb_params
{
  struct lv_slice id;
  struct lv_slice spec;
  struct lv_slice service;
  struct amt_amount need;
  uint32_t estimate_ms;
  uint32_t count;
  uint32_t priority;
  uint32_t attempts;
  uint64_t target_ns;
  uint64_t timeout_ns;
};

/**
 * struct jtb_job - a job that is not answered yet
 * @start_by_ns: latest start that meets the target
 * @deadline_ns: when the caller is gone
 * @waiting: tasks that wait
 * @open: tasks that have not ended as done
 * @orders: ever sent
 * @priv: the caller's
 */
struct jtb_job
{
  char id[JTB_ID_MAX];
  char *spec;
  size_t spec_len;
  char *service;
  struct amt_amount need;
  uint32_t estimate_ms;
  uint32_t count;
  uint32_t priority;
  uint32_t attempts;
  uint64_t arrived_ns;
  uint64_t due_ns;
  uint64_t start_by_ns;
  uint64_t deadline_ns;
  uint32_t waiting;
  uint32_t open;
  uint32_t orders;
  bool late;
  void *priv;
  struct jtb_task *tasks;
  struct jtb_job *prev;
  struct jtb_job *next;
  UT_hash_handle hh;
};

/**
 * struct jtb_table - caller-owned
 * @jobs: by id
 * @queue: jobs with waiting tasks, in their order
 * @runs: placed and doubtful tasks, by their run number
 * @next_run: number of the next order
 * @work_mcore_ms: declared work of the tasks that wait
 */
struct jtb_table
{
  void *mem_ctx;
  struct jtb_job *jobs;
  struct jtb_job *queue;
  struct jtb_task *runs;
  uint64_t next_run;
  uint64_t waiting_mcore_ms;
};

/** jtb_init() - empty board. */
void jtb_init (struct jtb_table *b, void *mem_ctx);

/** jtb_finish() - free all jobs. */
void jtb_finish (struct jtb_table *b);

/** jtb_add() - a job arrives. Return: it, or NULL if its id is on the board.
 */
struct jtb_job *jtb_add (struct jtb_table *b, const struct jtb_params *d,
                         uint64_t now_ns);

/** jtb_find() - job by id, or NULL. */
struct jtb_job *jtb_find (const struct jtb_table *b, struct lv_slice id);

/** jtb_remove() - the job is answered; its runs are no longer known. */
void jtb_remove (struct jtb_table *b, struct jtb_job *job);

/** jtb_past_grace() - whether an answer would come too late to be of use. */
bool jtb_past_grace (const struct jtb_job *job, uint64_t now_ns);

/**
 * jtb_latest_start() - the latest start whose answer is of use
 *
 * A job that has not begun by then is better refused.
 */
uint64_t jtb_latest_start (const struct jtb_job *job);

/** jtb_demote_late() - put jobs that became late behind those that are not. */
void jtb_demote_late (struct jtb_table *b, uint64_t now_ns);

/** jtb_place() - @task is ordered at @host; its attempt and run are set. */
void jtb_place (struct jtb_table *b, struct jtb_task *task, void *host,
                uint64_t now_ns);

/** jtb_find_run() - the placed or doubtful task of this run, or NULL. */
struct jtb_task *jtb_find_run (const struct jtb_table *b, uint64_t run);

/** jtb_mark_done() - the run of @task ended well. */
enum jtb_job_status jtb_mark_done (struct jtb_table *b, struct jtb_task *task);

/**
 * jtb_requeue() - the run of @task is over without success
 * @failed: by the task's or the backend server's fault: an attempt is spent
 */
enum jtb_job_status jtb_requeue (struct jtb_table *b, struct jtb_task *task,
                                 bool failed);

/** jtb_mark_unreachable() - all placed at @host may run until @until_ns. */
void jtb_mark_unreachable (struct jtb_table *b, const void *host,
                           uint64_t until_ns);

/** jtb_find_lapsed() - a doubtful task whose time is over, to be given to
 * jtb_requeue(); NULL if there is none. */
struct jtb_task *jtb_find_lapsed (const struct jtb_table *b, uint64_t now_ns);

#endif
