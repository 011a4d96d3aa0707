/**
 * DOC: jobtable
 *
 * The jobs that an entry has accepted and not answered yet.  Each task waits,
 * is placed at an agent, or may still run at an agent that is unreachable.
 * Jobs with waiting tasks are queued by priority, then by the latest start
 * that meets their target (least slack first).  Late jobs are queued behind
 * all others.  Pure; times are by clk_boot().
 */
#ifndef LV_JOBTABLE_H
#define LV_JOBTABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "lagoonvale/amount.h"
#include "lagoonvale/slice.h"
#include "lagoonvale/warmup.h"

/** Most tasks of a job. */
#define JTB_TASKS_MAX 990
/** Bytes of a job's id, with NUL. */
#define JTB_ID_MAX 64
/** An answer is useless to most callers after this multiple of the target. */
#define JTB_GRACE_FACTOR 3
/** A late answer is worth this fraction of a timely one: 1 / divisor. */
#define JTB_LATE_VALUE_DIVISOR 5
/** Time after its latest start for which a job keeps its place while resources
 * are kept free for it, ns: enough for most short runs to end. */
#define JTB_RESERVATION_NS 100000000ULL

/** enum jtb_task_state - state of a task */
enum jtb_task_state
{
  JTB_WAITING,
  JTB_PLACED,
  JTB_UNREACHABLE, /* agent lost: may run until @runs_until_ns */
  JTB_DONE,
};

/** enum jtb_job_status - whether a job has ended, and how */
enum jtb_job_status
{
  JTB_OPEN,
  JTB_COMPLETE,
  JTB_FAILED,
};

struct jtb_job;

/**
 * struct jtb_task - one task of a job
 * @attempt: number of times it was ordered
 * @failures: runs that ended as failed
 * @run: run number of the last order, unique in the table
 * @runs_until_ns: when its run has ended for certain, by clk_boot(); only used
 * in JTB_UNREACHABLE
 * @suspect: suspected of crashing its minion; set by the caller
 * @agent: agent of the last order; opaque here
 * @avoid: agent of the last run that did not succeed; opaque here
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
  bool suspect;
  void *agent;
  void *avoid;
  UT_hash_handle hh;
};

/**
 * struct jtb_params - parameters of a new job
 * @id: unique among open jobs, at most JTB_ID_MAX - 1 bytes
 * @spec: opaque payload of every task
 * @service: that agents must provide
 * @need: resources of each task
 * @estimate_ms: declared run time of each task
 * @count: number of tasks
 * @priority: lower values go first
 * @attempts: failed runs of one task that fail the job
 * @target_ns: target time from arrival to the answer
 * @timeout_ns: time from arrival after which the caller stops waiting
 * @warmup: how the minions of @service warm up
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
  struct wmp_params warmup;
};

/**
 * struct jtb_job - a job that is not answered yet
 * @due_ns: arrival plus the target time
 * @start_by_ns: latest start that meets @due_ns
 * @deadline_ns: when the caller stops waiting
 * @waiting: tasks in JTB_WAITING
 * @open: tasks that are not in JTB_DONE
 * @orders: sent, less those that the owner found never started
 * @late: queued behind all jobs that are not late
 * @reserving: first of its service, and large: the jobs behind it are not
 * placed until most runs of an agent have ended; set by the caller
 * @held_until_ns: when its tasks were expected to fit where room is held for
 * them, 0 if none is; set by the caller
 * @priv: owned by the caller
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
  struct wmp_params warmup;
  uint64_t arrived_ns;
  uint64_t due_ns;
  uint64_t start_by_ns;
  uint64_t deadline_ns;
  uint32_t waiting;
  uint32_t open;
  uint32_t orders;
  bool late;
  bool reserving;
  uint64_t held_until_ns;
  void *priv;
  struct jtb_task *tasks;
  struct jtb_job *prev;
  struct jtb_job *next;
  UT_hash_handle hh;
};

/**
 * struct jtb_table - caller-owned
 * @jobs: all jobs, by id
 * @queue: jobs with waiting tasks, in order of placement
 * @runs: tasks in JTB_PLACED and JTB_UNREACHABLE, by run number
 * @next_run: run number of the next order
 * @waiting_mcore_ms: declared work of all waiting tasks
 * @tasks: number of tasks of all jobs
 */
struct jtb_table
{
  void *mem_ctx;
  struct jtb_job *jobs;
  struct jtb_job *queue;
  struct jtb_task *runs;
  uint64_t next_run;
  uint64_t waiting_mcore_ms;
  uint64_t tasks;
};

/** jtb_init() - initialize an empty table. */
void jtb_init (struct jtb_table *t, void *mem_ctx);

/** jtb_finish() - free all jobs. */
void jtb_finish (struct jtb_table *t);

/**
 * jtb_add() - add a job, all tasks waiting
 * Return: the job, or NULL if its id is too long or in use.
 */
struct jtb_job *jtb_add (struct jtb_table *t, const struct jtb_params *p,
                         uint64_t now_ns);

/** jtb_find() - find a job by id. Return: the job, or NULL. */
struct jtb_job *jtb_find (const struct jtb_table *t, struct lv_slice id);

/** jtb_remove() - remove @job, its tasks and its runs, and free it. */
void jtb_remove (struct jtb_table *t, struct jtb_job *job);

/** jtb_past_grace() - whether an answer at @now_ns would be useless. */
bool jtb_past_grace (const struct jtb_job *job, uint64_t now_ns);

/**
 * jtb_latest_start() - latest start whose answer is still useful
 *
 * A job that has not started by then should be refused.
 */
uint64_t jtb_latest_start (const struct jtb_job *job);

/** jtb_demote_late() - move jobs that became late behind all others. */
void jtb_demote_late (struct jtb_table *t, uint64_t now_ns);

/** jtb_place() - place a waiting @task at @agent under a new run number. */
void jtb_place (struct jtb_table *t, struct jtb_task *task, void *agent,
                uint64_t now_ns);

/** jtb_find_run() - find a task by its current run number, or NULL. */
struct jtb_task *jtb_find_run (const struct jtb_table *t, uint64_t run);

/** jtb_mark_done() - record that the run of @task succeeded. */
enum jtb_job_status jtb_mark_done (struct jtb_table *t, struct jtb_task *task);

/**
 * jtb_requeue() - put @task back into the queue after an unsuccessful run
 * @failed: count the run in @failures; when these reach the job's @attempts,
 * the job fails
 */
enum jtb_job_status jtb_requeue (struct jtb_table *t, struct jtb_task *task,
                                 bool failed);

/**
 * jtb_mark_unreachable() - mark the placed tasks of a lost agent
 * @agent: the agent
 * @until_ns: when its runs have ended for certain, by clk_boot()
 */
void jtb_mark_unreachable (struct jtb_table *t, const void *agent,
                           uint64_t until_ns);

/**
 * jtb_find_lapsed() - find an unreachable task whose run has ended for certain
 * @now_ns: by clk_boot()
 *
 * Return: a task to pass to jtb_requeue(), or NULL.
 */
struct jtb_task *jtb_find_lapsed (const struct jtb_table *t, uint64_t now_ns);

#endif
