/**
 * DOC: lagoonvale
 *
 * The coordination parts of lagoonvale, for embedding.  None of them does I/O,
 * reads a clock or keeps global state: time and randomness are passed in, and
 * memory comes from a talloc context that the caller hands in.
 *
 * Identity:  sid (submission ids), roster (members, homes of keys)
 * Starting:  ledger, submission, adopt, keybind
 * Deciding:  queue, share, estimate, grant, placement, health
 * Workers:   lease, room, turn
 * Clients:   budget
 * Rules:     rules, ruleversion
 * Metrics:   counter
 */
#ifndef LV_LAGOONVALE_H
#define LV_LAGOONVALE_H

#include "lagoonvale/adopt.h"
#include "lagoonvale/budget.h"
#include "lagoonvale/counter.h"
#include "lagoonvale/estimate.h"
#include "lagoonvale/grant.h"
#include "lagoonvale/health.h"
#include "lagoonvale/keybind.h"
#include "lagoonvale/lease.h"
#include "lagoonvale/ledger.h"
#include "lagoonvale/placement.h"
#include "lagoonvale/queue.h"
#include "lagoonvale/room.h"
#include "lagoonvale/roster.h"
#include "lagoonvale/rules.h"
#include "lagoonvale/ruleversion.h"
#include "lagoonvale/share.h"
#include "lagoonvale/sid.h"
#include "lagoonvale/slice.h"
#include "lagoonvale/submission.h"
#include "lagoonvale/turn.h"

#endif
