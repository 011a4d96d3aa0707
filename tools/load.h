/**
 * DOC: load
 *
 * The open-loop load tool: arrivals follow a schedule drawn from a seed before
 * the run, so that a stall is charged to every request that it delays.
 */
#ifndef LV_LOAD_H
#define LV_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "error.h"
#include "lagoonvale/queue.h"
#include "lagoonvale/capacity.h"

/** Kinds of task in one stream. */
#define LOAD_KINDS_MAX 16
/** Streams in one scenario. */
#define LOAD_STREAMS_MAX 16
/** Entries that load goes to. */
#define LOAD_ENTRIES_MAX 16
/** Longest run, seconds, and most arrivals in one: load is bounded. */
#define LOAD_SECONDS_MAX 600
#define LOAD_ARRIVALS_MAX 2000000U

/**
 * struct load_kind - run times of one kind, log-uniform between two bounds
 * @share: relative frequency
 * @need: resources that each task declares, none for a request
 */
struct load_kind
{
  char name[64];
  double share;
  struct capa_size need;
  double min_ms;
  double max_ms;
};

/**
 * struct load_stream - arrivals of one sort
 * @load: tasks' run time offered, as a share of the fleet's slots
 * @rate: jobs a second, when @load is 0
 * @tasks_min: least tasks of a job
 * @tasks_max: most tasks of a job, log-uniform between
 * @declared_factor: declared run time over the true one
 * @entry: the only entry it goes to, -1 for all in turn
 * @start_s: first arrival
 * @stop_s: last arrival, 0 for the end
 * @retries: how often a job that was refused is sent again
 * @budget: whether a retry budget bounds that
 */
struct load_stream
{
  char name[64];
  char team[64];
  enum que_urgency urgency;
  double load;
  double rate;
  uint32_t tasks_min;
  uint32_t tasks_max;
  double declared_factor;
  int entry;
  double start_s;
  double stop_s;
  uint32_t deadline_ms;
  uint32_t out_bytes;
  uint32_t retries;
  bool budget;
  struct load_kind kind[LOAD_KINDS_MAX];
  uint32_t kinds;
};

/** struct load_scenario - a whole run. */
struct load_scenario
{
  char name[64];
  double seconds;
  double warmup_s;
  uint32_t seed;
  uint32_t slots;
  double network_ms; /* taken off each response time */
  struct load_stream stream[LOAD_STREAMS_MAX];
  uint32_t streams;
};

/** enum load_end - what became of a job */
enum load_end
{
  LOAD_OPEN,
  LOAD_COMPLETE,
  LOAD_REFUSED,
  LOAD_FAILED,
  LOAD_NO_ANSWER,
};

/** struct load_job - one arrival. */
struct load_job
{
  uint64_t due_ns;
  uint32_t stream;
  uint32_t kind;
  uint32_t tasks;
  uint32_t first_task; /* in load_plan.run_ms */
  double ideal_ms;
  double response_ms;
  double reference_ms; /* waiting included, in a central queue by arrival */
  enum load_end end;
  uint32_t sends;
};

/** struct load_plan - all arrivals of a run. */
struct load_plan
{
  struct load_job *job;
  uint32_t jobs;
  double *run_ms;
  uint32_t tasks;
};

/** load_read() - read a scenario file. Return: 0 or a negative number. */
int load_read (struct load_scenario *s, const char *path,
               struct err_error *err);

/** load_draw() - draw all arrivals; in order of time, on talloc memory. */
void load_draw (void *mem_ctx, const struct load_scenario *s,
                struct load_plan *plan);

/** load_reference() - response times of one queue in arrival order. */
void load_reference (const struct load_scenario *s, struct load_plan *plan);

/** load_report() - print results as a table or as JSON. */
void load_report (const struct load_scenario *s, const struct load_plan *plan,
                  bool json);

/** load_percentiles() - print "percentile ratio" lines, for a plot. */
void load_percentiles (const struct load_scenario *s,
                       const struct load_plan *plan, const char *path);

#endif
