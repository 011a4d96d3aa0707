/**
 * DOC: logfield
 *
 * Reads the fields KEY=VALUE of a log line.  Pure.
 */
#ifndef LV_LOGFIELD_H
#define LV_LOGFIELD_H

#include <stddef.h>

/** Size of the buffer for the name of a process, an event or a number. */
#define LGF_TEXT_MAX 64

/** lgf_text() - copy the value of @key in @line to @out, truncated to @size;
 * empty if absent.  A quoted value ends at its first blank. */
void lgf_text (const char *line, const char *key, char *out, size_t size);

/** lgf_number() - value of @key in @line, 0 if it is absent or no number. */
double lgf_number (const char *line, const char *key);

#endif
