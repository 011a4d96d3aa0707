/**
 * DOC: board
 *
 * The jobs that an entry has taken and not answered yet, as tasks that wait,
 * run at an agent, or may still run at an agent that is out of touch.  Jobs
 * wait by priority, then in the order of their latest start that meets the
 * target ("least slack first"); those that have not begun and cannot meet it
 * any more wait behind all others.  Pure.
 */
#ifndef LV_BOARD_H
#define LV_BOARD_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "lagoonvale/amount.h"
#include "lagoonvale/slice.h"

/** Bytes of a job's id, with NUL. */
#define BRD_ID_MAX 64
/** An answer after so many times the target is of no use to most callers. */
#define BRD_LATE_FACTOR 3
/** An answer that is late is worth one part in this many. */
#define BRD_LATE_WORTH 5

/** enum brd_state - where a task stands */
enum brd_state
{
  BRD_WAITING,
  BRD_PLACED,
  BRD_DOUBTFUL, /* its agent is out of touch: it may run until @until_ns */
  BRD_DONE,
};

/** enum brd_verdict - what becomes of a job */
enum brd_verdict
{
  BRD_GOING,
  BRD_COMPLETE,
  BRD_FAILED,
};

struct brd_job;

/**
 * struct brd_task - one task of a job
 * @attempt: of the last order
 * @failures: runs that have ended as failed
 * @run: number of the last order
 * @host: agent of the last order, the caller's
 * @avoid: agent at which it ended badly last, the caller's
 */
struct brd_task
{
  struct brd_job *job;
  enum brd_state state;
  uint32_t index;
  uint32_t attempt;
  uint32_t failures;
  uint64_t run;
  uint64_t placed_ns;
  uint64_t until_ns;
  void *host;
  void *avoid;
  UT_hash_handle hh;
};

/**
 * struct brd_demand - what a job asks for
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
struct brd_demand
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
  uint64_t patience_ns;
};

/**
 * struct brd_job - a job that is not answered yet
 * @start_by_ns: latest start that meets the target
 * @deadline_ns: when the caller is gone
 * @waiting: tasks that wait
 * @open: tasks that have not ended as done
 * @orders: ever sent
 * @priv: the caller's
 */
struct brd_job
{
  char id[BRD_ID_MAX];
  char *spec;
  size_t spec_len;
  char *service;
  struct amt_amount need;
  uint32_t estimate_ms;
  uint32_t count;
  uint32_t priority;
  uint32_t attempts;
  uint64_t arrived_ns;
  uint64_t target_ns;
  uint64_t start_by_ns;
  uint64_t deadline_ns;
  uint32_t waiting;
  uint32_t open;
  uint32_t orders;
  bool late;
  void *priv;
  struct brd_task *tasks;
  struct brd_job *prev;
  struct brd_job *next;
  UT_hash_handle hh;
};

/**
 * struct brd_board - caller-owned
 * @jobs: by id
 * @queue: jobs with waiting tasks, in their order
 * @runs: placed and doubtful tasks, by their run number
 * @next_run: number of the next order
 * @work_mcore_ms: declared work of the tasks that wait
 */
struct brd_board
{
  void *mem_ctx;
  struct brd_job *jobs;
  struct brd_job *queue;
  struct brd_task *runs;
  uint64_t next_run;
  uint64_t work_mcore_ms;
};

/** brd_init() - empty board. */
void brd_init (struct brd_board *b, void *mem_ctx);

/** brd_finish() - free all jobs. */
void brd_finish (struct brd_board *b);

/** brd_add() - a job arrives. Return: it, or NULL if its id is on the board.
 */
struct brd_job *brd_add (struct brd_board *b, const struct brd_demand *d,
                         uint64_t now_ns);

/** brd_find() - job by id, or NULL. */
struct brd_job *brd_find (const struct brd_board *b, struct lv_slice id);

/** brd_remove() - the job is answered; its runs are no longer known. */
void brd_remove (struct brd_board *b, struct brd_job *job);

/** brd_useless() - whether an answer would come too late to be of use. */
bool brd_useless (const struct brd_job *job, uint64_t now_ns);

/**
 * brd_start_until() - the latest start whose answer is of use
 *
 * A job that has not begun by then is better refused.
 */
uint64_t brd_start_until (const struct brd_job *job);

/** brd_sort() - put jobs that became late behind those that are not. */
void brd_sort (struct brd_board *b, uint64_t now_ns);

/** brd_place() - @task is ordered at @host; its attempt and run are set. */
void brd_place (struct brd_board *b, struct brd_task *task, void *host,
                uint64_t now_ns);

/** brd_run() - the placed or doubtful task of this run, or NULL. */
struct brd_task *brd_run (const struct brd_board *b, uint64_t run);

/** brd_done() - the run of @task ended well. */
enum brd_verdict brd_done (struct brd_board *b, struct brd_task *task);

/**
 * brd_again() - the run of @task is over without success
 * @failed: by the task's or the backend server's fault: an attempt is spent
 */
enum brd_verdict brd_again (struct brd_board *b, struct brd_task *task,
                            bool failed);

/** brd_doubt() - all placed at @host may run until @until_ns. */
void brd_doubt (struct brd_board *b, const void *host, uint64_t until_ns);

/** brd_overdue() - a doubtful task whose time is over, to be given to
 * brd_again(); NULL if there is none. */
struct brd_task *brd_overdue (const struct brd_board *b, uint64_t now_ns);

#endif
