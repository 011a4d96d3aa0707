/**
 * DOC: name
 *
 * Validation of names (teams, task kinds, queues, instances, failure domains)
 * and of other short strings, such as keys and settings.  They are untrusted
 * input and appear in logs, metrics and HTTP answers.  Pure.
 */
#ifndef LV_NAME_H
#define LV_NAME_H

#include "lagoonvale/slice.h"

/** nam_valid() - whether @name is non-empty UTF-8 without control characters
 * or line separators. */
bool nam_valid (struct lv_slice name);

#endif
