/**
 * DOC: adopt
 *
 * Takes over a submission whose owner has failed: fences it at every agent
 * where it could have started, and proceeds only if all of them accepted.
 * Concurrent adopters are ordered by ballot.  Pure: sends nothing.
 */
#ifndef LV_ADOPT_H
#define LV_ADOPT_H

#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/ledger.h"

/** enum adp_state - fence state of one agent */
enum adp_state
{
  ADP_PENDING, /* fence not sent or not answered yet */
  ADP_FENCED,
  ADP_HELD,        /* fenced by another adopter */
  ADP_UNAVAILABLE, /* unreachable, or refuses the fence */
};

/** enum adp_action - next step of an adoption */
enum adp_action
{
  ADP_WAIT,      /* answers are pending */
  ADP_PREEMPT,   /* fence the held agents again, with @preempt set */
  ADP_YIELD,     /* another adopter proceeds: forward to it */
  ADP_PROCEED,   /* all agents fenced: start tasks */
  ADP_UNCERTAIN, /* an agent is unavailable: "may have run" */
};

/**
 * struct adp_agent - one agent where the submission could have started
 * @incarnation: of the agent process
 * @state: see enum adp_state
 */
struct adp_agent
{
  uint64_t incarnation;
  enum adp_state state;
};

/**
 * struct adp_adoption - one attempt to adopt a submission, caller-owned
 * @agent: @count agents, memory of the caller
 * @self: this adopter and its ballot
 * @rival: adopter with the highest ballot seen in answers
 * @preempt: fence even where another adopter holds a lower ballot
 */
struct adp_adoption
{
  struct adp_agent *agent;
  uint32_t count;
  struct led_holder self;
  struct led_holder rival;
  bool preempt;
};

/** adp_init() - start an adoption; the caller has filled in @agents. */
void adp_init (struct adp_adoption *a, struct adp_agent *agents,
               uint32_t count, const struct led_holder *self);

/** adp_set_fenced() - agent @i accepted the fence. */
void adp_set_fenced (struct adp_adoption *a, uint32_t i);

/** adp_set_held() - agent @i is fenced by @rival. */
void adp_set_held (struct adp_adoption *a, uint32_t i,
                   const struct led_holder *rival);

/** adp_set_unavailable() - agent @i cannot be fenced. */
void adp_set_unavailable (struct adp_adoption *a, uint32_t i);

/** adp_next() - next step; ADP_PREEMPT resets held agents to pending. */
enum adp_action adp_next (struct adp_adoption *a);

/**
 * adp_preempt() - the rival is unreachable: fence again with a higher ballot
 * @ballot: higher than the rival's
 */
void adp_preempt (struct adp_adoption *a, uint64_t ballot);

#endif
