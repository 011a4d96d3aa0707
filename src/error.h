/**
 * DOC: error
 *
 * Errors carry a negative error number, the step of the pipeline at which they
 * arose, the peer that was involved and one line of detail.
 */
#ifndef LV_ERROR_H
#define LV_ERROR_H

#include <stdbool.h>
#include <stddef.h>

/** Longest detail kept, in bytes. */
#define ERR_DETAIL_MAX 192
/** Longest peer name kept, in bytes. */
#define ERR_PEER_MAX 64

/**
 * struct err_error - what went wrong, where, and with whom
 * @code: negative error number (-errno)
 * @step: static name of the step, for example "rpc-read"
 * @peer: address or name of the other side, empty if none
 * @detail: one line for a person
 */
struct err_error
{
  int code;
  const char *step;
  char peer[ERR_PEER_MAX];
  char detail[ERR_DETAIL_MAX];
};

/**
 * err_set() - fill @err and return its code
 * @err: where to write; may be NULL
 * @code: negative error number
 * @step: static string
 * @peer: other side, or NULL
 * @format: printf format of the detail
 *
 * Return: @code.
 */
int err_set (struct err_error *err, int code, const char *step,
             const char *peer, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

#endif
