/**
 * DOC: name
 *
 * What may be a name: of a team, a kind of task, a queue, an instance.  Names
 * come from outside and stand in logs, metrics and pages.  Pure.
 */
#ifndef LV_NAME_H
#define LV_NAME_H

#include "lagoonvale/slice.h"

/** nam_valid() - UTF-8, not empty, no control characters. */
bool nam_valid (struct lv_slice name);

#endif
