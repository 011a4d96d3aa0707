/**
 * DOC: lagoonvale
 *
 * The coordination modules of lagoonvale, for embedding.  None of them does
 * I/O, reads a clock or keeps global state (apart from the thread index of
 * counter): time and randomness are passed in, and memory comes from a talloc
 * context that the caller passes, except for what uthash, GSL and json-c
 * allocate.
 *
 * Identity:  sid (submission ids), roster (membership, home agents of keys)
 * Starting:  ledger, submission, adopt, keybind
 * Decisions: queue, usage, quota, estimate, grant, placement, health
 * Workers:   lease, capacity, turn
 * Clients:   budget
 * Rules:     rules, ruleversion
 * Metrics:   counter, histogram
 * Dispatch:  jobtable, candidate, backlog, retryafter, steplog, amount
 * Config:    catalog, confsync, pacer, textpool
 * Crashes:   crashlog, bulkhead, orderrate
 * Agents:    runtracker, minion, minionhealth, leasebounds, renewal,
 *            fencetoken
 * Discovery: directory, subset
 * Names:     name, nametable
 * Logs:      logfield, timeline, dayplot
 */
#ifndef LV_LAGOONVALE_H
#define LV_LAGOONVALE_H

#include "lagoonvale/adopt.h"
#include "lagoonvale/amount.h"
#include "lagoonvale/backlog.h"
#include "lagoonvale/budget.h"
#include "lagoonvale/bulkhead.h"
#include "lagoonvale/candidate.h"
#include "lagoonvale/capacity.h"
#include "lagoonvale/catalog.h"
#include "lagoonvale/confsync.h"
#include "lagoonvale/counter.h"
#include "lagoonvale/crashlog.h"
#include "lagoonvale/dayplot.h"
#include "lagoonvale/directory.h"
#include "lagoonvale/estimate.h"
#include "lagoonvale/fencetoken.h"
#include "lagoonvale/grant.h"
#include "lagoonvale/health.h"
#include "lagoonvale/histogram.h"
#include "lagoonvale/jobtable.h"
#include "lagoonvale/keybind.h"
#include "lagoonvale/lease.h"
#include "lagoonvale/leasebounds.h"
#include "lagoonvale/ledger.h"
#include "lagoonvale/logfield.h"
#include "lagoonvale/minion.h"
#include "lagoonvale/minionclock.h"
#include "lagoonvale/minionhealth.h"
#include "lagoonvale/name.h"
#include "lagoonvale/nametable.h"
#include "lagoonvale/orderrate.h"
#include "lagoonvale/pacer.h"
#include "lagoonvale/placement.h"
#include "lagoonvale/queue.h"
#include "lagoonvale/quota.h"
#include "lagoonvale/renewal.h"
#include "lagoonvale/retryafter.h"
#include "lagoonvale/roster.h"
#include "lagoonvale/rules.h"
#include "lagoonvale/ruleversion.h"
#include "lagoonvale/runtracker.h"
#include "lagoonvale/sid.h"
#include "lagoonvale/slice.h"
#include "lagoonvale/steplog.h"
#include "lagoonvale/submission.h"
#include "lagoonvale/subset.h"
#include "lagoonvale/textpool.h"
#include "lagoonvale/timeline.h"
#include "lagoonvale/turn.h"
#include "lagoonvale/usage.h"

#endif
