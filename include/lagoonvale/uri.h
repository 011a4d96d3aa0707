/**
 * DOC: uri
 *
 * Normal form of hosts and paths, so that those of a request and of a queue
 * that mean the same are equal byte by byte (RFC 3986, 6.2.2): hosts in lower
 * case and without a port; in paths, letters, digits and "-._~" are not
 * percent-encoded, and the digits of other encodings are in upper case;
 * spaces, bytes beyond ASCII, and a "%" that begins no encoding are encoded.
 * An encoded "/" stays encoded, since it does not mean the same as one that is
 * not.  Pure.
 */
#ifndef LV_URI_H
#define LV_URI_H

#include "lagoonvale/slice.h"

/** uri_host() - normal form of @host; a talloc string. */
char *uri_host (void *mem_ctx, struct lv_slice host);

/** uri_path() - normal form of @path, which may be a prefix of one; a talloc
 * string. */
char *uri_path (void *mem_ctx, struct lv_slice path);

/** uri_encode() - @text as a segment of a path or in a query, with all bytes
 * encoded but letters, digits and "-._~"; a talloc string. */
char *uri_encode (void *mem_ctx, struct lv_slice text);

/** uri_decode() - bytes that the percent-encoded @segment of a path stands
 * for; the data is a talloc chunk and may contain any byte, also 0. */
struct lv_slice uri_decode (void *mem_ctx, struct lv_slice segment);

#endif
