/**
 * DOC: entry
 *
 * Instance that serves callers, behind a load balancer.  It starts tasks at
 * the agents of agent.h, which hold leases on workers, and follows the
 * membership and rules streams of a log; the dispatcher (dispatch.h) and its
 * runners are a separate system.  The steps of a submission: accept, admit,
 * queue, decide, send, collect, answer.
 *
 *   entry.c          startup, periodic work, shutdown
 *   entry_http.c     HTTP threads: accept, parse, answer
 *   entry_inbound.c  requests from other entries
 *   entry_adopt.c    takeover of submissions whose owner is gone
 *   entry_intake.c   handling of a request: submit, poll, cancel
 *   entry_bind.c     binding of caller-chosen keys at their homes
 *   entry_peer.c     connections to other entries: forwarding, heartbeats
 *   entry_dispatch.c choice of a target for the next task
 *   entry_worker.c   placement of tasks that need a worker
 *   entry_calls.c    start, resolve and cancel a task, collect its outcome
 *   entry_open.c     open a record, or refuse a request
 *   entry_record.c   submissions on record and their answers
 *   entry_admit.c    admission control
 *   entry_log.c      the membership and rules streams
 *   entry_link.c     connections to agents, credits, reconciliation
 *   entry_queue.c    the queues of tasks
 *   entry_view.c     rules and readiness as HTTP threads see them, and what
 *                    part of the fleet this entry is
 *
 * Each part calls those below it in this list, and tells those above it
 * through struct ent_events.
 *
 * HTTP threads parse requests and pass them to the dispatch thread through a
 * wait-free queue; they read the rules and readiness under RCU.  All other
 * state belongs to the dispatch thread.
 */
#ifndef LV_ENTRY_H
#define LV_ENTRY_H

#include "entry_parts.h"

extern const struct set_key ent_keys[];

/** ent_start() - start an entry. Return: 0 or a negative error number. */
int ent_start (struct ent_entry *e, struct tevent_context *ev,
               const struct ent_settings *settings, struct err_error *err);
/** ent_leave() - shut down gracefully: admit no more, finish the rest. */
void ent_leave (struct ent_entry *e);
/** ent_done() - whether a graceful shutdown is complete. */
bool ent_done (const struct ent_entry *e);
/** ent_finish() - stop the HTTP server. */
void ent_finish (struct ent_entry *e);

#endif
