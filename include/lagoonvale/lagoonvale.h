/**
 * DOC: lagoonvale
 *
 * The coordination modules of lagoonvale, for embedding.  None of them does
 * I/O, reads a clock or keeps global state (apart from the thread index of
 * counter): time and randomness are passed in, and memory comes from a talloc
 * context that the caller passes.
 *
 * Identity:  sid (submission ids), roster (membership, home agents of keys)
 * Starting:  ledger, submission, adopt, keybind
 * Decisions: queue, share, estimate, grant, placement, health
 * Workers:   lease, room, turn
 * Clients:   budget
 * Rules:     rules, ruleversion
 * Metrics:   counter, histogram
 * Dispatch:  board, spot, drain, trail, amount, catalog
 * Agents:    runbook, minion, chain
 * Discovery:  directory, subset
 * Names:     name
 * Logs:      timeline
 */
#ifndef LV_LAGOONVALE_H
#define LV_LAGOONVALE_H

#include "lagoonvale/adopt.h"
#include "lagoonvale/amount.h"
#include "lagoonvale/board.h"
#include "lagoonvale/budget.h"
#include "lagoonvale/catalog.h"
#include "lagoonvale/chain.h"
#include "lagoonvale/counter.h"
#include "lagoonvale/directory.h"
#include "lagoonvale/drain.h"
#include "lagoonvale/estimate.h"
#include "lagoonvale/grant.h"
#include "lagoonvale/health.h"
#include "lagoonvale/histogram.h"
#include "lagoonvale/keybind.h"
#include "lagoonvale/lease.h"
#include "lagoonvale/ledger.h"
#include "lagoonvale/minion.h"
#include "lagoonvale/name.h"
#include "lagoonvale/placement.h"
#include "lagoonvale/queue.h"
#include "lagoonvale/capacity.h"
#include "lagoonvale/roster.h"
#include "lagoonvale/rules.h"
#include "lagoonvale/ruleversion.h"
#include "lagoonvale/runbook.h"
#include "lagoonvale/share.h"
#include "lagoonvale/sid.h"
#include "lagoonvale/slice.h"
#include "lagoonvale/spot.h"
#include "lagoonvale/timeline.h"
#include "lagoonvale/submission.h"
#include "lagoonvale/subset.h"
#include "lagoonvale/trail.h"
#include "lagoonvale/turn.h"

#endif
