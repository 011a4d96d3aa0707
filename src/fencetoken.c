#include "lagoonvale/fencetoken.h"

void
ftk_init (struct ftk_token *t, uint64_t wall_ms)
{
  t->value = wall_ms < FTK_MAX ? wall_ms : FTK_MAX;
  t->step = FTK_STEP_MS;
}

void
ftk_refuse (struct ftk_token *t)
{
  uint64_t left = FTK_MAX - t->value;

  t->value += t->step < left ? t->step : left;
  if (t->step <= FTK_MAX / 2)
    t->step *= 2;
}

void
ftk_raise (struct ftk_token *t)
{
  if (t->value < FTK_MAX)
    t->value++;
}

void
ftk_accept (struct ftk_token *t)
{
  t->step = FTK_STEP_MS;
}
