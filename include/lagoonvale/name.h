/**
 * DOC: name
 *
 * Validation of the names of teams, task kinds, queues and instances.  Names
 * are untrusted input and appear in logs, metrics and HTTP answers.  Pure.
 */
#ifndef LV_NAME_H
#define LV_NAME_H

#include "lagoonvale/slice.h"

/** nam_valid() - whether @name is non-empty UTF-8 without control characters
 * or line separators. */
bool nam_valid (struct lv_slice name);

#endif
