/**
 * DOC: entropy
 *
 * Random numbers from the operating system, for ids and incarnations.
 */
#ifndef LV_ENTROPY_H
#define LV_ENTROPY_H

#include <stdint.h>
#include <stdlib.h>
#include <sys/random.h>

/** rnd_u64() - a random number other than 0. */
static inline uint64_t
rnd_u64 (void)
{
  uint64_t value = 0;

  while (value == 0)
    if (getrandom (&value, sizeof value, 0) != sizeof value)
      value = 0;
  return value;
}

#endif
