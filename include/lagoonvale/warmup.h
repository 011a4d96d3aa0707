/**
 * DOC: warmup
 *
 * How many starts a cold minion gets: one that has just started, or comes back
 * after a drain, is slow for a while and slower still under a burst.  Its
 * agent, which sees the starts of all entries, limits their rate.  The rate
 * begins at what the configuration allows a cold minion, rises in proportion
 * to the inverse of the warm-up time that is left, and has no limit at its end
 * (slow start).  Off for services without a warm-up.  Pure; times are by
 * clk_boot().
 */
#ifndef LV_WARMUP_H
#define LV_WARMUP_H

#include <stdbool.h>
#include <stdint.h>

/** No limit to the starts. */
#define WMP_UNLIMITED UINT32_MAX

/**
 * struct wmp_params - what the configuration says of a service
 * @warmup_ms: length of a whole warm-up, 0: none
 * @cold_per_ks: starts in 1000 s that a cold minion takes, 0: no limit
 */
struct wmp_params
{
  uint32_t warmup_ms;
  uint32_t cold_per_ks;
};

/**
 * struct wmp_limit - caller-owned
 * @burst: most starts at a time, at least 1
 * @warm_ns: when the minion is warm
 * @tokens: starts that are left at @updated_ns (token bucket)
 */
struct wmp_limit
{
  struct wmp_params params;
  unsigned burst;
  uint64_t warm_ns;
  double tokens;
  uint64_t updated_ns;
};

/** wmp_init() - initialize for a warm minion. */
void wmp_init (struct wmp_limit *l, unsigned burst);

/** wmp_set_params() - take over the configuration of the service. */
void wmp_set_params (struct wmp_limit *l, const struct wmp_params *params);

/** wmp_set_left() - the minion will be warm in @left_ms, as it says. */
void wmp_set_left (struct wmp_limit *l, uint64_t left_ms, uint64_t now_ns);

/** wmp_starts_left() - starts that may be ordered now, or WMP_UNLIMITED. */
uint32_t wmp_starts_left (struct wmp_limit *l, uint64_t now_ns);

/** wmp_take() - use one start. Return: whether there was one. */
bool wmp_take (struct wmp_limit *l, uint64_t now_ns);

#endif
