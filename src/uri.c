#include "lagoonvale/uri.h"

#include <ctype.h>
#include <stdbool.h>
#include <string.h>

#include "xtalloc.h"

/* Length of a percent-encoded byte.  */
#define ENCODED_BYTES 3

static size_t
length_without_port (struct lv_slice host)
{
  size_t n = host.len;

  while (n > 0 && isdigit ((unsigned char)host.data[n - 1]))
    n--;
  return n > 0 && host.data[n - 1] == ':' ? n - 1 : host.len;
}

char *
uri_host (void *mem_ctx, struct lv_slice host)
{
  size_t len = length_without_port (host);
  char *out = xtalloc_size (mem_ctx, len + 1);
  size_t i;

  for (i = 0; i < len; i++)
    out[i] = (char)tolower ((unsigned char)host.data[i]);
  out[len] = '\0';
  return out;
}

static int
hex_value (char c)
{
  if (isdigit ((unsigned char)c))
    return c - '0';
  return isxdigit ((unsigned char)c) ? tolower ((unsigned char)c) - 'a' + 10
                                     : -1;
}

static bool
is_unreserved (int c)
{
  return c > 0 && c < 0x80 && (isalnum (c) || strchr ("-._~", c) != NULL);
}

/* The byte that is encoded at AT of PATH, -1 if there is none.  */
static int
encoded_byte (struct lv_slice path, size_t at)
{
  int high;
  int low;

  if (path.data[at] != '%' || at + 2 >= path.len)
    return -1;
  high = hex_value (path.data[at + 1]);
  low = hex_value (path.data[at + 2]);
  return high >= 0 && low >= 0 ? high * 16 + low : -1;
}

/* Whether C, which is not part of an encoding, must be encoded in a path.  */
static bool
needs_encoding (char c)
{
  return c == '%' || c == ' ' || (unsigned char)c >= 0x80;
}

/* Encode BYTE at OUT.  Return: bytes written.  */
static size_t
encode (char *out, int byte)
{
  static const char digits[] = "0123456789ABCDEF";

  out[0] = '%';
  out[1] = digits[byte >> 4];
  out[2] = digits[byte & 0xf];
  return ENCODED_BYTES;
}

char *
uri_path (void *mem_ctx, struct lv_slice path)
{
  char *out = xtalloc_size (mem_ctx, ENCODED_BYTES * path.len + 1);
  size_t n = 0;
  size_t i = 0;

  while (i < path.len)
    {
      int encoded = encoded_byte (path, i);
      int byte = encoded < 0 ? (unsigned char)path.data[i] : encoded;
      bool plain
          = encoded < 0 ? !needs_encoding ((char)byte) : is_unreserved (byte);

      if (plain)
        out[n++] = (char)byte;
      else
        n += encode (out + n, byte);
      i += encoded < 0 ? 1 : ENCODED_BYTES;
    }
  out[n] = '\0';
  return out;
}

char *
uri_encode (void *mem_ctx, struct lv_slice text)
{
  char *out = xtalloc_size (mem_ctx, ENCODED_BYTES * text.len + 1);
  size_t n = 0;
  size_t i;

  for (i = 0; i < text.len; i++)
    {
      int byte = (unsigned char)text.data[i];

      if (is_unreserved (byte))
        out[n++] = text.data[i];
      else
        n += encode (out + n, byte);
    }
  out[n] = '\0';
  return out;
}

struct lv_slice
uri_decode (void *mem_ctx, struct lv_slice segment)
{
  char *out = xtalloc_size (mem_ctx, segment.len + 1);
  size_t n = 0;
  size_t i = 0;

  while (i < segment.len)
    {
      int byte = encoded_byte (segment, i);

      out[n++] = byte < 0 ? segment.data[i] : (char)byte;
      i += byte < 0 ? 1 : ENCODED_BYTES;
    }
  out[n] = '\0';
  return (struct lv_slice){ out, n };
}
