/**
 * DOC: error
 *
 * An error holds a negative error number, the step at which it occurred, the
 * peer involved and one line of detail.
 */
#ifndef LV_ERROR_H
#define LV_ERROR_H

#include <stdbool.h>
#include <stddef.h>

/** Size of the detail, bytes, with NUL; longer text is truncated. */
#define ERR_DETAIL_MAX 192
/** Size of the peer name, bytes, with NUL; longer text is truncated. */
#define ERR_PEER_MAX 64

/**
 * struct err_error - an error with its context
 * @code: negative error number (-errno)
 * @step: static name of the step, for example "rpc-read"
 * @peer: address or name of the peer, empty if none
 * @detail: one human-readable line
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
 * @err: error to fill; may be NULL
 * @code: negative error number
 * @step: static string
 * @peer: address or name of the peer, or NULL
 * @format: printf format of the detail
 *
 * Return: @code.
 */
int err_set (struct err_error *err, int code, const char *step,
             const char *peer, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

#endif
