#include "lagoonvale/health.h"

#include <string.h>

/* Blame at which a target is ejected.  */
#define EJECT_BLAME 3.0
/* Blame of a target that is readmitted: it may fail a part of its tasks only,
   so one more failure soon ejects it again.  */
#define PROBATION_BLAME 2.0
/* Share by which each success reduces the blame.  */
#define BLAME_DECAY 0.25

const char *
hlt_name (enum hlt_state state)
{
  static const char *const names[] = { "fit", "ejected", "probing" };

  return names[state];
}

static bool
may_eject (const struct hlt_fleet *f)
{
  return f == NULL || f->ejected + 1 <= HLT_EJECT_SHARE * f->targets;
}

static void
eject (struct hlt_target *t, uint64_t now_ns)
{
  t->state = HLT_EJECTED;
  t->probe_ns = t->probe_ns == 0 ? HLT_PROBE_NS : t->probe_ns * 2;
  if (t->probe_ns > HLT_PROBE_MAX_NS)
    t->probe_ns = HLT_PROBE_MAX_NS;
  t->probe_at_ns = now_ns + t->probe_ns;
}

static bool
observe_success (struct hlt_fleet *f, struct hlt_target *t)
{
  t->blame *= 1 - BLAME_DECAY;
  if (t->state == HLT_FIT)
    return false;
  if (f != NULL)
    f->ejected--;
  memset (t, 0, sizeof *t);
  t->blame = PROBATION_BLAME;
  return true;
}

bool
hlt_observe (struct hlt_fleet *f, struct hlt_target *t, bool succeeded,
             double kind_failure_rate, uint64_t now_ns)
{
  if (succeeded)
    return observe_success (f, t);
  t->blame += 1 - kind_failure_rate;
  if (t->state == HLT_PROBING)
    {
      eject (t, now_ns);
      return true;
    }
  if (t->state != HLT_FIT || t->blame < EJECT_BLAME || !may_eject (f))
    return false;
  if (f != NULL)
    f->ejected++;
  eject (t, now_ns);
  return true;
}

bool
hlt_usable (const struct hlt_target *t, uint64_t now_ns)
{
  return t->state == HLT_FIT || now_ns >= t->probe_at_ns;
}

void
hlt_probe (struct hlt_target *t, uint64_t now_ns)
{
  if (t->state == HLT_FIT)
    return;
  t->state = HLT_PROBING;
  t->probe_at_ns = now_ns + t->probe_ns;
}

void
hlt_remove (struct hlt_fleet *f, struct hlt_target *t)
{
  f->targets--;
  if (t->state != HLT_FIT)
    f->ejected--;
  memset (t, 0, sizeof *t);
}
