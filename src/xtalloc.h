/**
 * DOC: xtalloc
 *
 * Allocation that cannot fail: the process writes a line and ends if memory is
 * out, as after a kill, which its peers survive.  For state without which a
 * process cannot go on.  What a request brings in, and could be refused for,
 * is allocated with talloc itself, and its failure is an error.
 */
#ifndef LV_XTALLOC_H
#define LV_XTALLOC_H

#include <string.h>
#include <talloc.h>

/** Exit status of a process without memory, EX_OSERR of sysexits.h. */
#define XTALLOC_EXIT 71

/** xtalloc_check() - return @ptr, or end the process if it is NULL. */
void *xtalloc_check (void *ptr);

#define xtalloc(ctx, type) ((type *)xtalloc_check (talloc (ctx, type)))
#define xtalloc_zero(ctx, type)                                               \
  ((type *)xtalloc_check (talloc_zero (ctx, type)))
#define xtalloc_size(ctx, size) xtalloc_check (talloc_size (ctx, size))
#define xtalloc_array(ctx, type, n)                                           \
  ((type *)xtalloc_check (talloc_array (ctx, type, n)))
#define xtalloc_zero_array(ctx, type, n)                                      \
  ((type *)xtalloc_check (talloc_zero_array (ctx, type, n)))
/** @n is not 0. */
#define xtalloc_realloc(ctx, ptr, type, n)                                    \
  ((type *)xtalloc_check (talloc_realloc (ctx, ptr, type, n)))
#define xtalloc_memdup(ctx, ptr, size)                                        \
  xtalloc_check (talloc_memdup (ctx, ptr, size))
#define xtalloc_asprintf(ctx, ...)                                            \
  ((char *)xtalloc_check (talloc_asprintf (ctx, __VA_ARGS__)))
#define xtalloc_asprintf_append_buffer(text, ...)                             \
  ((char *)xtalloc_check (talloc_asprintf_append_buffer (text, __VA_ARGS__)))
#define xtalloc_strdup_append_buffer(text, more)                              \
  ((char *)xtalloc_check (talloc_strdup_append_buffer (text, more)))

/** xtalloc_strdup() - copy @text; NULL if it is NULL. */
char *xtalloc_strdup (const void *ctx, const char *text);

/** xtalloc_strndup() - copy at most @n bytes of @text; NULL if it is NULL. */
char *xtalloc_strndup (const void *ctx, const char *text, size_t n);

#endif
