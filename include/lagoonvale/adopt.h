/**
 * DOC: adopt
 *
 * Taking over a submission whose owner is gone: fence it at every agent where
 * it could have started, and go on only if all of them answered.  Two adopters
 * at once are ordered by ballot.  Pure.
 */
#ifndef LV_ADOPT_H
#define LV_ADOPT_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/ledger.h"

/** enum adp_state - one agent, during an adoption */
enum adp_state
{
  ADP_PENDING, /* fence to be sent, or sent */
  ADP_FENCED,
  ADP_HELD,        /* another adopter was there first */
  ADP_UNAVAILABLE, /* cannot answer */
};

/** enum adp_action - what to do */
enum adp_action
{
  ADP_WAIT,      /* answers are to come */
  ADP_PREEMPT,   /* fence the held agents again, not politely */
  ADP_YIELD,     /* another adopter goes on: forward to it */
  ADP_PROCEED,   /* all fenced: the submission is ours */
  ADP_UNCERTAIN, /* an agent cannot answer: "may have run" */
};

/**
 * struct adp_agent - one agent where the submission could have started
 * @incarnation: of the agent
 * @state: see enum adp_state
 */
struct adp_agent
{
  uint64_t incarnation;
  enum adp_state state;
};

/**
 * struct adp_adoption - caller-owned
 * @agent: @count agents, memory of the caller
 * @self: who adopts, and under which ballot
 * @rival: highest other adopter seen
 */
struct adp_adoption
{
  struct adp_agent *agent;
  uint32_t count;
  struct led_holder self;
  struct led_holder rival;
  bool preempt;
};

/** adp_init() - begin; @agents are filled in by the caller. */
void adp_init (struct adp_adoption *a, struct adp_agent *agents,
               uint32_t count, const struct led_holder *self);

/** adp_set_fenced() - agent @i accepted the fence. */
void adp_set_fenced (struct adp_adoption *a, uint32_t i);

/** adp_set_held() - agent @i names another adopter. */
void adp_set_held (struct adp_adoption *a, uint32_t i,
                   const struct led_holder *rival);

/** adp_set_unavailable() - agent @i cannot answer. */
void adp_set_unavailable (struct adp_adoption *a, uint32_t i);

/** adp_next() - what follows; ADP_PREEMPT resets held agents to pending. */
enum adp_action adp_next (struct adp_adoption *a);

/**
 * adp_preempt() - the rival cannot be reached: go on above its ballot
 * @ballot: higher than the rival's
 */
void adp_preempt (struct adp_adoption *a, uint64_t ballot);

#endif
