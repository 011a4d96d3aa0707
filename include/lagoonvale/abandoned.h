/**
 * DOC: abandoned
 *
 * Runs of jobs that an entry has answered or withdrawn while they may still
 * be there: their stops are under way.  A job that is sent again with the same
 * id must not be placed before they have ended, or a task would run twice at a
 * time.  The end of a run is reported by its agent, follows from the list of
 * runs with which the agent joins again, or is certain at a time if the agent
 * is lost.  Pure; times are by clk_boot().
 */
#ifndef LV_ABANDONED_H
#define LV_ABANDONED_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "lagoonvale/slice.h"

/** No time is known by which a run has ended. */
#define ABD_UNTIL_REPORTED UINT64_MAX

struct abd_job;

/**
 * struct abd_run - one run
 * @number: run number, unique within the entry
 * @agent: where it is; opaque here
 * @ended_by_ns: when it has ended for certain, or ABD_UNTIL_REPORTED
 */
struct abd_run
{
  uint64_t number;
  const void *agent;
  uint64_t ended_by_ns;
  struct abd_job *job;
  UT_hash_handle hh;
};

/** struct abd_runs - caller-owned */
struct abd_runs
{
  void *mem_ctx;
  struct abd_run *runs;
  struct abd_job *jobs;
};

/** abd_init() - initialize without runs. */
void abd_init (struct abd_runs *t, void *mem_ctx);

/** abd_finish() - free all runs. */
void abd_finish (struct abd_runs *t);

/** abd_add() - add run @number of job @id; at most once each. */
void abd_add (struct abd_runs *t, struct lv_slice id, uint64_t number,
              const void *agent, uint64_t ended_by_ns);

/** abd_any() - whether a run of job @id may still be there. */
bool abd_any (const struct abd_runs *t, struct lv_slice id);

/** abd_ended() - run @number has ended. Return: whether it was known. */
bool abd_ended (struct abd_runs *t, uint64_t number);

/** abd_agent_lost() - the runs at @agent have ended by @ended_by_ns. */
void abd_agent_lost (struct abd_runs *t, const void *agent,
                     uint64_t ended_by_ns);

/**
 * abd_agent_listed() - @agent, which has joined, has listed the runs there
 * @numbers: the runs of this entry that it knows, whose ends it will report
 * @others_ended_by_ns: when its other runs have ended for certain, 0 if it
 * knows that they have
 */
void abd_agent_listed (struct abd_runs *t, const void *agent,
                       const uint64_t *numbers, unsigned count,
                       uint64_t others_ended_by_ns);

/** abd_expire() - drop the runs that have ended for certain by @now_ns.
 * Return: their number. */
unsigned abd_expire (struct abd_runs *t, uint64_t now_ns);

#endif
