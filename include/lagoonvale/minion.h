/**
 * DOC: minion
 *
 * Interface between an agent and its minion: a table of requests and the
 * types of their answers.  Implementations translate it to a minion's own
 * protocol.
 */
#ifndef LV_MINION_H
#define LV_MINION_H

#include <stdint.h>

#include "lagoonvale/amount.h"
#include "lagoonvale/runtracker.h"

/** enum mnn_answer - outcome of a request */
enum mnn_answer
{
  MNN_OK,
  MNN_UNANSWERED, /* may have been executed, or may be executed later */
  MNN_ABSENT,     /* not executed: connection refused */
  MNN_FENCED,     /* not executed: the minion has seen a higher token */
  MNN_OLD,        /* not executed: the minion has seen a higher attempt */
  MNN_REFUSED,    /* not executed for another reason */
};

/**
 * struct mnn_result - answer to a request
 * @clock_ms: the minion's clock, 0 if the answer does not hold it
 */
struct mnn_result
{
  enum mnn_answer answer;
  uint64_t clock_ms;
};

/**
 * struct mnn_listing - answer to a poll
 * @incarnation: start time of the minion process, ms since 1970
 * @ends_through: sequence number of the last end listed, 0 if there is none
 * @running: runs in progress
 * @ends: ended runs
 */
struct mnn_listing
{
  struct mnn_result result;
  uint64_t incarnation;
  uint64_t ends_through;
  unsigned running_count;
  unsigned end_count;
  const struct rtk_listed_run *running;
  const struct rtk_listed_run *ends;
};

/** Most unanswered stops at a time: with the other requests they stay below
 * the 64 connections that a minion accepts. */
#define MNN_STOPS_MAX 48

/** Longest id of a minion's process, with NUL. */
#define MNN_ID_MAX 256

/**
 * struct mnn_lease - lease that requests are sent under
 * @process: id of the process that a start is meant for, empty if it has none:
 * one that follows it at the same address does not execute the start
 * @token: fencing token
 * @expires_ms: expiry by the minion's clock, 0 if that is unknown
 */
struct mnn_lease
{
  const char *process;
  uint64_t token;
  uint64_t expires_ms;
};

/**
 * struct mnn_report - status report of a minion
 * @id: of its process, as its requests name it
 * @incarnation: as in struct mnn_listing
 * @sequence: sequence number of the report
 * @clock_ms: the minion's clock when it wrote the report, 0: not said
 * @total: resources of the minion that tasks may use
 * @cold_ms: how much longer the minion is slow after its start, 0: it is warm
 * @leaving: whether the minion is draining
 */
struct mnn_report
{
  struct lv_slice id;
  struct lv_slice service;
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t clock_ms;
  struct amt_amount total;
  uint32_t cold_ms;
  bool leaving;
};

typedef void (*mnn_done_fn) (const struct mnn_result *result, void *arg);
typedef void (*mnn_listing_fn) (const struct mnn_listing *listing, void *arg);

/**
 * struct mnn_ops - requests to a minion; each calls @done exactly once
 * @start: start @run with @spec
 * @stop: stop @run
 * @poll: renew the lease, and list the running runs and all ends after number
 * @ends_through; if there is no such end yet, the minion delays its answer by
 * up to @wait_ms until there is one (long poll)
 */
struct mnn_ops
{
  void (*start) (void *priv, const struct rtk_run *run, struct lv_slice spec,
                 const struct mnn_lease *lease, mnn_done_fn done, void *arg);
  void (*stop) (void *priv, const struct rtk_run *run, uint64_t token,
                mnn_done_fn done, void *arg);
  void (*poll) (void *priv, const struct mnn_lease *lease,
                uint64_t ends_through, unsigned wait_ms, mnn_listing_fn done,
                void *arg);
};

#endif
