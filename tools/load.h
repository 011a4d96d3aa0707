/**
 * DOC: load
 *
 * Open-loop load generator.  The arrival times are drawn from a seed before
 * the run, so that a stall counts in the response time of every request it
 * delays (no coordinated omission).
 */
#ifndef LV_LOAD_H
#define LV_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "error.h"
#include "lagoonvale/queue.h"
#include "lagoonvale/capacity.h"

/** Maximum task kinds per stream. */
#define LOAD_KINDS_MAX 16
/** Maximum streams per scenario. */
#define LOAD_STREAMS_MAX 16
/** Maximum entries to send to. */
#define LOAD_ENTRIES_MAX 16
/** Maximum duration of a run, in seconds, and maximum arrivals in one. */
#define LOAD_SECONDS_MAX 600
/** Maximum slots of the reference. */
#define LOAD_SLOTS_MAX 1000000
#define LOAD_ARRIVALS_MAX 2000000U

/**
 * struct load_kind - task kind
 * @share: relative frequency
 * @need: resources that each task declares, all 0 for a request
 * @min_ms: lower bound of the run time, which is log-uniform
 * @max_ms: upper bound of the run time
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
 * struct load_stream - jobs of one team with the same arrival process
 * @load: offered run time as a share of all slots, 0 when @rate is set
 * @rate: jobs per second, 0 when @load is set
 * @tasks_min: minimum tasks per job; the number is log-uniform
 * @tasks_max: maximum tasks per job
 * @declared_factor: ratio of the declared run time to the actual one
 * @entry: index of the only entry to send to, -1 for round robin
 * @start_s: start of arrivals, seconds into the run
 * @stop_s: end of arrivals, 0 for the end of the run
 * @deadline_ms: deadline of each job, 0 for none
 * @out_bytes: minimum size of each task's output
 * @retries: maximum resends of a refused job
 * @budget: whether a retry budget limits resends
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

/**
 * struct load_scenario - parameters of a run
 * @seconds: duration of arrivals
 * @warmup_s: initial period left out of the results
 * @slots: slots of the fleet
 * @network_ms: network delay, subtracted from each response time
 */
struct load_scenario
{
  char name[64];
  double seconds;
  double warmup_s;
  uint32_t seed;
  uint32_t slots;
  double network_ms;
  struct load_stream stream[LOAD_STREAMS_MAX];
  uint32_t streams;
};

/** enum load_outcome - outcome of a job */
enum load_outcome
{
  LOAD_PENDING,
  LOAD_COMPLETE,
  LOAD_REFUSED,
  LOAD_FAILED,
  LOAD_NO_ANSWER,
};

/**
 * struct load_job - one arrival
 * @due_ns: scheduled send time, from the start of the run
 * @first_task: index of its first task in load_plan.run_ms
 * @ideal_ms: lower bound of the response time with all slots free
 * @response_ms: from the scheduled send time to the response
 * @reference_ms: response time of a central FIFO queue
 * @sends: requests sent, resends included
 */
struct load_job
{
  uint64_t due_ns;
  uint32_t stream;
  uint32_t kind;
  uint32_t tasks;
  uint32_t first_task;
  double ideal_ms;
  double response_ms;
  double reference_ms;
  enum load_outcome outcome;
  uint32_t sends;
};

/** struct load_plan - all arrivals of a run, in order of time. */
struct load_plan
{
  struct load_job *job;
  uint32_t jobs;
  double *run_ms;
  uint32_t tasks;
};

/** load_read_scenario() - read a scenario file. Return: 0 or -EINVAL. */
int load_read_scenario (struct load_scenario *s, const char *path,
                        struct err_error *err);

/** load_generate_plan() - draw all arrivals, allocated on @mem_ctx. */
void load_generate_plan (void *mem_ctx, const struct load_scenario *s,
                         struct load_plan *plan);

/** load_simulate_reference() - set reference_ms of each job. */
void load_simulate_reference (const struct load_scenario *s,
                              struct load_plan *plan);

/** load_print_report() - print the results as a table or as JSON. */
void load_print_report (const struct load_scenario *s,
                        const struct load_plan *plan, bool json);

/**
 * load_write_percentiles() - write percentiles to a file, for a plot
 *
 * Each line holds a percentile, the measured ratio and the reference ratio.
 */
void load_write_percentiles (const struct load_scenario *s,
                             const struct load_plan *plan, const char *path);

#endif
