/**
 * DOC: pacer
 *
 * Rate of bulk transfers to other instances, adapted to the delay of short
 * messages on the same links: it falls while they are delayed by a queue, so
 * that bulk data uses what the short messages leave.  Answers the pattern of
 * control messages that time out behind bulk data, and of many receivers that
 * ask one sender at once (thundering herd).  Pure: times are passed in.
 */
#ifndef LV_PACER_H
#define LV_PACER_H

#include <stdbool.h>
#include <stdint.h>

/** Initial and lowest rate, bytes/s: a large configuration still arrives
 * within the time in which it has to be in force. */
#define PAC_RATE_MIN 175000.0
/** Highest rate, bytes/s. */
#define PAC_RATE_MAX 32000000.0
/** Delay above the lowest one at which the rate falls, ns. */
#define PAC_DELAY_TARGET_NS 25000000ULL
/** Time between two changes of the rate, ns: a few round trips. */
#define PAC_INTERVAL_NS 50000000ULL

/**
 * struct pac_pacer - caller-owned
 * @rate: bytes/s
 * @used: bulk data was sent since the rate last changed
 * @base_ns: lowest delay; rises slowly, since the path may change
 * @credit: bytes that may be sent now; negative after a large message
 */
struct pac_pacer
{
  double rate;
  double credit;
  bool used;
  uint64_t base_ns;
  uint64_t changed_ns;
  uint64_t credited_ns;
};

/** pac_init() - start at the lowest rate. */
void pac_init (struct pac_pacer *p, uint64_t now_ns);

/** pac_observe() - a short message was answered after @delay_ns. The rate
 * rises only while it is used. */
void pac_observe (struct pac_pacer *p, uint64_t delay_ns, uint64_t now_ns);

/** pac_observe_waiting() - a short message has waited for its answer for
 * @age_ns. */
void pac_observe_waiting (struct pac_pacer *p, uint64_t age_ns,
                          uint64_t now_ns);

/** pac_may_send() - whether a bulk message may be sent now. */
bool pac_may_send (struct pac_pacer *p, uint64_t now_ns);

/** pac_sent() - a bulk message of @bytes was sent, or such bytes are arriving
 * at a rate set by the owner (0). */
void pac_sent (struct pac_pacer *p, uint64_t bytes);

#endif
