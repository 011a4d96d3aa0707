/**
 * DOC: request
 *
 * A caller's request: parsed from JSON on the thread that took it, handed to
 * the dispatch thread, answered once.
 */
#ifndef LV_REQUEST_H
#define LV_REQUEST_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/wfcqueue.h>
#include <uthash.h>

#include "lagoonvale/queue.h"
#include "lagoonvale/sid.h"

/** Most tasks of a job. */
#define REQ_TASKS_MAX 990
/** Longest request body, bytes. */
#define REQ_BODY_MAX (2U << 20)
/** Longest caller-chosen key, bytes. */
#define REQ_KEY_MAX 100
/** Longest name of a team or kind, bytes. */
#define REQ_NAME_MAX 63

/** enum req_op - what the caller wants */
enum req_op
{
  REQ_SUBMIT,
  REQ_POLL,
  REQ_CANCEL,
  REQ_MINT,
  REQ_EXPLAIN,
  REQ_RULES,
  REQ_STATUS,
};

/** struct req_task - what one task asks for. */
struct req_task
{
  char *kind;
  char *payload;
  size_t payload_len;
  uint64_t declared_ms;
  uint32_t cores;
  uint32_t memory_mb;
  uint32_t accelerators;
};

/** struct req_answer - an HTTP answer that several requests may share. */
struct req_answer
{
  _Atomic unsigned refs;
  unsigned status;
  size_t len;
  char data[];
};

/**
 * struct req_refusal - why a request is refused, or has failed
 * @status: HTTP status
 * @code: for machines
 * @step: of the pipeline
 * @peer: other side, or empty
 * @detail: one line
 * @not_run: true only if nothing of it has run
 * @retry_after_ms: 0 for none
 */
struct req_refusal
{
  unsigned status;
  const char *code;
  const char *step;
  const char *peer;
  char detail[192];
  bool not_run;
  uint64_t retry_after_ms;
};

/** struct req_request - one request; a talloc context of its own. */
struct req_request
{
  struct cds_wfcq_node node;
  _Atomic bool
      published; /* between threads, in an order that sanitizers see */
  enum req_op op;
  bool has_sid;
  struct sid_id sid;
  char *key;
  char *team;
  enum que_urgency urgency;
  bool repeatable;
  uint64_t deadline_ms;
  uint64_t first_sent_ms;
  uint32_t count;
  struct req_task *tasks;
  uint64_t fingerprint;
  char *raw;
  size_t raw_len;
  bool known_not_run; /* it is certain that nothing of it has run before */
  bool wait;
  uint64_t wait_ms;
  uint64_t until_ns;
  unsigned hops;         /* times it was passed on */
  uint64_t rival_ballot; /* of the adopter that it is passed on to */
  void (*answer) (struct req_request *r, struct req_answer *a);
  void *origin;
  uint32_t xid;
  struct req_answer *reply;
  struct req_request *prev;
  struct req_request *next;
};

/** req_new() - an empty request of its own. */
struct req_request *req_new (enum req_op op);

/**
 * req_split_waiter() - move the caller of @r to a request of its own
 *
 * @r stays as the holder of its tasks and is answered no more.
 */
struct req_request *req_split_waiter (struct req_request *r);

/** req_reply() - answer @r, drop the caller's reference on @a, free @r. */
void req_reply (struct req_request *r, struct req_answer *a);

/**
 * req_parse() - read a submission's JSON body into @r
 * @r: @r->raw holds the body
 * @why: filled when it is refused
 *
 * Return: whether it is well formed.
 */
bool req_parse (struct req_request *r, struct req_refusal *why);

/** req_refuse() - fill @why; @detail is a printf format. */
void req_refuse (struct req_refusal *why, unsigned status, const char *code,
                 const char *step, bool not_run, const char *detail, ...)
    __attribute__ ((format (printf, 6, 7)));

/** req_answer_new() - answer with a copy of @text. */
struct req_answer *req_answer_new (unsigned status, struct lv_slice text);

/** req_answer_refusal() - answer for @why; @sid may be NULL. */
struct req_answer *req_answer_refusal (const struct req_refusal *why,
                                       const struct sid_id *sid);

/** req_answer_get() - another reference. */
struct req_answer *req_answer_get (struct req_answer *a);

/** req_answer_put() - drop a reference. */
void req_answer_put (struct req_answer *a);

/** req_urgency_name() - "urgent", "normal" or "bulk". */
const char *req_urgency_name (enum que_urgency u);

#endif
