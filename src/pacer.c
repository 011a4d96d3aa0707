#include "lagoonvale/pacer.h"

/* Factors by which the rate falls and rises.  */
#define DECREASE 0.6
#define INCREASE 1.25
/* Share of a higher delay that the lowest one takes over at each sample.  */
#define BASE_RISE 0.005
/* Longest time for which unused rate is saved up, ns.  */
#define BURST_NS 50000000ULL
#define NS_PER_S 1e9

void
pac_init (struct pac_pacer *p, uint64_t now_ns)
{
  p->rate = PAC_RATE_MIN;
  p->used = false;
  p->credit = 0;
  p->base_ns = 0;
  p->changed_ns = now_ns;
  p->credited_ns = now_ns;
}

static void
update_base (struct pac_pacer *p, uint64_t delay_ns)
{
  if (p->base_ns == 0 || delay_ns < p->base_ns)
    p->base_ns = delay_ns;
  else
    p->base_ns += (uint64_t)((double)(delay_ns - p->base_ns) * BASE_RISE);
}

static double
bounded (double rate)
{
  if (rate < PAC_RATE_MIN)
    return PAC_RATE_MIN;
  return rate > PAC_RATE_MAX ? PAC_RATE_MAX : rate;
}

static bool
is_delayed (const struct pac_pacer *p, uint64_t delay_ns)
{
  return p->base_ns != 0 && delay_ns > p->base_ns + PAC_DELAY_TARGET_NS;
}

static void
change_rate (struct pac_pacer *p, double factor, uint64_t now_ns)
{
  p->rate = bounded (p->rate * factor);
  p->used = false;
  p->changed_ns = now_ns;
}

void
pac_observe (struct pac_pacer *p, uint64_t delay_ns, uint64_t now_ns)
{
  update_base (p, delay_ns);
  if (now_ns < p->changed_ns + PAC_INTERVAL_NS)
    return;
  if (is_delayed (p, delay_ns))
    change_rate (p, DECREASE, now_ns);
  else if (p->used)
    change_rate (p, INCREASE, now_ns);
}

void
pac_observe_waiting (struct pac_pacer *p, uint64_t age_ns, uint64_t now_ns)
{
  if (now_ns >= p->changed_ns + PAC_INTERVAL_NS && is_delayed (p, age_ns))
    change_rate (p, DECREASE, now_ns);
}

bool
pac_may_send (struct pac_pacer *p, uint64_t now_ns)
{
  double most = p->rate * BURST_NS / NS_PER_S;

  if (now_ns > p->credited_ns)
    p->credit += p->rate * (double)(now_ns - p->credited_ns) / NS_PER_S;
  p->credited_ns = now_ns;
  if (p->credit > most)
    p->credit = most;
  return p->credit > 0;
}

void
pac_sent (struct pac_pacer *p, uint64_t bytes)
{
  p->credit -= (double)bytes;
  p->used = true;
}
