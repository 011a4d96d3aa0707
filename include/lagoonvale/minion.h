/**
 * DOC: minion
 *
 * What an agent asks of its minion, as a table of functions, and what it is
 * told.  The protocol of a minion is translated behind this table.
 */
#ifndef LV_MINION_H
#define LV_MINION_H

#include <stdint.h>

#include "lagoonvale/amount.h"
#include "lagoonvale/runtracker.h"

/** enum mnn_answer - what became of an order */
enum mnn_answer
{
  MNN_OK,
  MNN_UNANSWERED, /* may have been carried out, or may be, later */
  MNN_ABSENT,     /* nothing listens at its address */
  MNN_FENCED,     /* a higher fencing token was seen: not carried out */
  MNN_OLD,        /* a higher attempt was seen: not carried out */
  MNN_REFUSED,    /* not carried out for another reason */
};

/**
 * struct mnn_result - answer to an order
 * @clock_ms: the minion's clock, 0 if it was not told
 */
struct mnn_result
{
  enum mnn_answer answer;
  uint64_t clock_ms;
};

/**
 * struct mnn_view - answer to a look
 * @incarnation: start of this life of the minion, ms since 1970
 * @ends_through: highest number of the ends listed, 0 if there are none
 */
struct mnn_view
{
  struct mnn_result result;
  uint64_t incarnation;
  uint64_t ends_through;
  unsigned running_count;
  unsigned end_count;
  const struct rtk_listed_run *running;
  const struct rtk_listed_run *ends;
};

/**
 * struct mnn_lease - authority that orders carry
 * @token: fencing token
 * @expires_ms: end of the lease by the minion's clock, 0 if that is unknown
 */
struct mnn_lease
{
  uint64_t token;
  uint64_t expires_ms;
};

/**
 * struct mnn_report - what a minion says of itself
 * @incarnation: as in struct mnn_view
 */
struct mnn_report
{
  struct lv_slice id;
  struct lv_slice service;
  uint64_t incarnation;
  uint64_t sequence;
  struct amt_amount room;
  bool leaving;
};

typedef void (*mnn_done_fn) (const struct mnn_result *result, void *arg);
typedef void (*mnn_view_fn) (const struct mnn_view *view, void *arg);

/**
 * struct mnn_ops - orders; each callback is called exactly once
 * @start: start @run with @spec
 * @stop: stop @run
 * @look: renew the lease; list what runs and what has ended after
 * @ends_through, at once if there are such ends, else within @wait_ms
 */
struct mnn_ops
{
  void (*start) (void *priv, const struct rtk_run *run, struct lv_slice spec,
                 const struct mnn_lease *lease, mnn_done_fn done, void *arg);
  void (*stop) (void *priv, const struct rtk_run *run, uint64_t token,
                mnn_done_fn done, void *arg);
  void (*look) (void *priv, const struct mnn_lease *lease,
                uint64_t ends_through, unsigned wait_ms, mnn_view_fn done,
                void *arg);
};

#endif
