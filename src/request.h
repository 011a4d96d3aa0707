/**
 * DOC: request
 *
 * A caller's request.  It is parsed from JSON on the thread that received it,
 * passed to the dispatch thread and answered exactly once.
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

/** Maximum number of tasks of a job. */
#define REQ_TASKS_MAX 990
/** Maximum length of a request body, bytes. */
#define REQ_BODY_MAX (2U << 20)
/** Maximum length of a caller-chosen key, bytes. */
#define REQ_KEY_MAX 100
/** Maximum length of a team or kind name, bytes. */
#define REQ_NAME_MAX 63

/** enum req_op - the operation requested */
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

/** struct req_task - one task as submitted. */
struct req_task
{
  char *kind;
  char *payload; /* JSON text, NULL for none */
  size_t payload_len;
  uint64_t declared_ms;
  uint32_t cores;
  uint32_t memory_mb;
  uint32_t accelerators;
};

/** struct req_answer - reference-counted HTTP response. */
struct req_answer
{
  _Atomic unsigned refs;
  unsigned status;
  size_t len;
  char data[];
};

/**
 * struct req_refusal - error response: the request was refused or has failed
 * @status: HTTP status
 * @code: machine-readable error code
 * @step: pipeline step that refused or failed
 * @peer: name of the other party involved, or empty
 * @detail: one line for humans
 * @not_run: true only if no task has run
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

/**
 * struct req_request - one request; a top-level talloc context
 * @published: stored with release order before the request is queued; thread
 *             sanitizers do not see the ordering of the queue itself
 * @key: idempotency key, or NULL
 * @raw: unparsed body
 * @known_not_run: it is certain that no task has run under this id or key
 * @until_ns: when a wait of limited length ends, 0 for no limit
 * @hops: number of times that it was forwarded
 * @rival_ballot: ballot of the competing adopter that it is forwarded to
 * @answer: called once with the response; NULL if nobody waits
 * @origin: context for @answer
 * @xid: RPC transaction to reply to
 */
struct req_request
{
  struct cds_wfcq_node node;
  _Atomic bool published;
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
  bool known_not_run;
  bool wait;
  uint64_t wait_ms;
  uint64_t until_ns;
  unsigned hops;
  uint64_t rival_ballot;
  void (*answer) (struct req_request *r, struct req_answer *a);
  void *origin;
  uint32_t xid;
  struct req_answer *reply;
  struct req_request *prev;
  struct req_request *next;
};

/** req_new() - allocate an empty request. */
struct req_request *req_new (enum req_op op);

/**
 * req_split_waiter() - move the caller of @r to a new request
 *
 * @r keeps its tasks but is not answered any more.
 */
struct req_request *req_split_waiter (struct req_request *r);

/** req_reply() - answer @r with @a, release the reference to @a, free @r. */
void req_reply (struct req_request *r, struct req_answer *a);

/**
 * req_parse() - parse the JSON body of a submission, @r->raw, into @r
 * @why: set if the body is invalid
 *
 * Return: whether the body is valid.
 */
bool req_parse (struct req_request *r, struct req_refusal *why);

/** req_refuse() - set @why; @detail is a printf format. */
void req_refuse (struct req_refusal *why, unsigned status, const char *code,
                 const char *step, bool not_run, const char *detail, ...)
    __attribute__ ((format (printf, 6, 7)));

/** req_answer_new() - create a response with a copy of @text. */
struct req_answer *req_answer_new (unsigned status, struct lv_slice text);

/** req_answer_refusal() - create the response for @why; @sid may be NULL. */
struct req_answer *req_answer_refusal (const struct req_refusal *why,
                                       const struct sid_id *sid);

/** req_answer_get() - take a reference. */
struct req_answer *req_answer_get (struct req_answer *a);

/** req_answer_put() - release a reference; @a may be NULL. */
void req_answer_put (struct req_answer *a);

/** req_urgency_name() - "urgent", "normal" or "bulk". */
const char *req_urgency_name (enum que_urgency u);

#endif
