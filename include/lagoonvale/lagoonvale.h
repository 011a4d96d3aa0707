/**
 * DOC: lagoonvale
 *
 * The coordination parts of lagoonvale, for embedding.  None of them does I/O,
 * reads a clock or keeps global state: time and randomness are passed in, and
 * memory comes from a talloc context that the caller hands in.
 *
 * Identity:  sid (submission ids), roster (members, homes of keys)
 * Starting:  ledger, submission, adopt, keybind
 * Deciding:  queue, usage, estimate, grant, placement, health
 * Workers:   lease, room, turn
 * Clients:   budget
 * Rules:     rules, ruleversion
 * Metrics:   counter, histogram
 * Dispatch:  jobtable, candidate, backlog, steplog, amount, catalog
 * Agents:    runtracker, minion, leasebounds
 * Finding:   directory, subset
 * Names:     name
 * Logs:      story
 */
#ifndef LV_LAGOONVALE_H
#define LV_LAGOONVALE_H

#include "lagoonvale/adopt.h"
#include "lagoonvale/amount.h"
#include "lagoonvale/backlog.h"
#include "lagoonvale/budget.h"
#include "lagoonvale/candidate.h"
#include "lagoonvale/catalog.h"
#include "lagoonvale/leasebounds.h"
#include "lagoonvale/counter.h"
#include "lagoonvale/directory.h"
#include "lagoonvale/estimate.h"
#include "lagoonvale/grant.h"
#include "lagoonvale/health.h"
#include "lagoonvale/histogram.h"
#include "lagoonvale/jobtable.h"
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
#include "lagoonvale/runtracker.h"
#include "lagoonvale/usage.h"
#include "lagoonvale/sid.h"
#include "lagoonvale/slice.h"
#include "lagoonvale/steplog.h"
#include "lagoonvale/story.h"
#include "lagoonvale/submission.h"
#include "lagoonvale/subset.h"
#include "lagoonvale/turn.h"

#endif
