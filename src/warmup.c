#include "lagoonvale/warmup.h"

#include <string.h>

#include "clock.h"

#define PER_KS 1000.0

void
wmp_init (struct wmp_limit *l, unsigned burst)
{
  memset (l, 0, sizeof *l);
  l->burst = burst > 0 ? burst : 1;
}

void
wmp_set_params (struct wmp_limit *l, const struct wmp_params *params)
{
  l->params = *params;
}

void
wmp_set_left (struct wmp_limit *l, uint64_t left_ms, uint64_t now_ns)
{
  bool was_warm = now_ns >= l->warm_ns;

  l->warm_ns = now_ns + left_ms * CLK_MS;
  if (!was_warm || left_ms == 0)
    return;
  l->tokens = 1;
  l->updated_ns = now_ns;
}

static bool
is_limited (const struct wmp_limit *l, uint64_t now_ns)
{
  return l->params.warmup_ms > 0 && l->params.cold_per_ks > 0
         && now_ns < l->warm_ns;
}

/* Starts a second at NOW_NS, while the minion is cold.  */
static double
rate_at (const struct wmp_limit *l, uint64_t now_ns)
{
  double whole = (double)(l->params.warmup_ms * CLK_MS);
  double left = (double)(l->warm_ns - now_ns);

  if (left > whole)
    left = whole;
  return l->params.cold_per_ks / PER_KS * whole / left;
}

static void
refill (struct wmp_limit *l, uint64_t now_ns)
{
  uint64_t since_ns = clk_since (now_ns, l->updated_ns);

  /* The rate at the beginning of the interval: never more than it allows.  */
  l->tokens += rate_at (l, l->updated_ns) * (double)since_ns / (double)CLK_S;
  if (l->tokens > l->burst)
    l->tokens = l->burst;
  l->updated_ns = now_ns;
}

uint32_t
wmp_starts_left (struct wmp_limit *l, uint64_t now_ns)
{
  if (!is_limited (l, now_ns))
    return WMP_UNLIMITED;
  refill (l, now_ns);
  return (uint32_t)l->tokens;
}

bool
wmp_take (struct wmp_limit *l, uint64_t now_ns)
{
  uint32_t left = wmp_starts_left (l, now_ns);

  if (left == WMP_UNLIMITED)
    return true;
  if (left == 0)
    return false;
  l->tokens -= 1;
  return true;
}
