#include "buildid.h"

/* Defined by the Makefile.  */
#ifndef LV_BUILD_ID
#define LV_BUILD_ID "unknown"
#endif

const char *
bld_id (void)
{
  return LV_BUILD_ID;
}
