#include "jsonx.h"

#include <errno.h>
#include <limits.h>
#include <math.h>

#include "lagoonvale/name.h"
#include "xtalloc.h"

#define NS_PER_MS 1000000ULL
/* Up to here a double holds each whole number.  */
#define EXACT_MAX 9007199254740992.0

struct json_object *
jsx_parse_verbose (struct lv_slice text, const char **why, size_t *at)
{
  struct json_tokener *tokener = json_tokener_new_ex (JSX_DEPTH_MAX);
  struct json_object *json;
  enum json_tokener_error error;

  *at = 0;
  *why = "out of memory";
  if (tokener == NULL)
    return NULL;
  json = json_tokener_parse_ex (tokener, text.data, (int)text.len);
  error = json_tokener_get_error (tokener);
  /* A bare number is complete only at the end of the input.  */
  *at = json_tokener_get_parse_end (tokener);
  if (error == json_tokener_continue && json == NULL)
    {
      json = json_tokener_parse_ex (tokener, "", 1);
      *at = text.len;
    }
  *why = json_tokener_error_desc (error);
  for (size_t i = *at; json != NULL && i < text.len; i++)
    if (strchr (" \t\r\n", text.data[i]) == NULL || text.data[i] == '\0')
      {
        json_object_put (json);
        json = NULL;
        *why = "text after the end of the JSON value";
      }
  json_tokener_free (tokener);
  return json;
}

struct json_object *
jsx_parse (struct lv_slice text)
{
  const char *why;
  size_t at;

  return jsx_parse_verbose (text, &why, &at);
}

int
jsx_reader_init (struct jsx_reader *r, struct lv_slice text)
{
  r->tokener = json_tokener_new_ex (JSX_DEPTH_MAX);
  r->rest = text;
  r->first = true;
  return r->tokener != NULL ? 0 : -ENOMEM;
}

void
jsx_reader_finish (struct jsx_reader *r)
{
  json_tokener_free (r->tokener);
}

static void
skip (struct jsx_reader *r, size_t len)
{
  r->rest.data += len;
  r->rest.len -= len;
}

static void
skip_space (struct jsx_reader *r)
{
  while (r->rest.len > 0 && *r->rest.data != '\0'
         && strchr (" \t\r\n", *r->rest.data) != NULL)
    skip (r, 1);
}

/* Read the character C if it comes next.  */
static bool
accept (struct jsx_reader *r, char c)
{
  skip_space (r);
  if (r->rest.len == 0 || *r->rest.data != c)
    return false;
  skip (r, 1);
  return true;
}

bool
jsx_enter (struct jsx_reader *r, char bracket)
{
  r->first = true;
  return accept (r, bracket);
}

int
jsx_next (struct jsx_reader *r, char bracket)
{
  bool first = r->first;

  r->first = false;
  if (accept (r, bracket))
    return 0;
  return first || accept (r, ',') ? 1 : -EBADMSG;
}

int
jsx_read_value (struct jsx_reader *r, struct json_object **value)
{
  int len;

  skip_space (r);
  len = r->rest.len < INT_MAX ? (int)r->rest.len : INT_MAX;
  json_tokener_reset (r->tokener);
  *value = json_tokener_parse_ex (r->tokener, r->rest.data, len);
  if (json_tokener_get_error (r->tokener) != json_tokener_success)
    return -EBADMSG;
  skip (r, json_tokener_get_parse_end (r->tokener));
  return 0;
}

struct json_object *
jsx_read_name (struct jsx_reader *r)
{
  struct json_object *name;

  if (jsx_read_value (r, &name) != 0)
    return NULL;
  if (json_object_is_type (name, json_type_string) && accept (r, ':'))
    return name;
  json_object_put (name);
  return NULL;
}

bool
jsx_at_end (struct jsx_reader *r)
{
  skip_space (r);
  return r->rest.len == 0;
}

const char *
jsx_string (struct json_object *object, const char *name, const char *fallback)
{
  struct json_object *value;

  if (!json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, name, &value)
      || !json_object_is_type (value, json_type_string))
    return fallback;
  /* A string with an embedded NUL would be read truncated.  */
  if (strlen (json_object_get_string (value))
      != (size_t)json_object_get_string_len (value))
    return fallback;
  return json_object_get_string (value);
}

bool
jsx_is_name (struct json_object *value)
{
  struct lv_slice text;

  if (!json_object_is_type (value, json_type_string))
    return false;
  text.data = json_object_get_string (value);
  text.len = (size_t)json_object_get_string_len (value);
  return nam_valid (text);
}

struct lv_slice
jsx_slice (struct json_object *object, const char *name)
{
  struct lv_slice text = { "", 0 };
  struct json_object *value;

  if (json_object_is_type (object, json_type_object)
      && json_object_object_get_ex (object, name, &value)
      && json_object_is_type (value, json_type_string))
    {
      text.data = json_object_get_string (value);
      text.len = (size_t)json_object_get_string_len (value);
    }
  return text;
}

/* Whether VALUE is written with a point or an exponent, and is whole.  */
static bool
is_whole_double (struct json_object *value)
{
  double number;

  if (!json_object_is_type (value, json_type_double))
    return false;
  number = json_object_get_double (value);
  return number >= 0 && number <= EXACT_MAX && number == floor (number);
}

bool
jsx_is_uint (struct json_object *value)
{
  if (is_whole_double (value))
    return true;
  return json_object_is_type (value, json_type_int)
         && json_object_get_int64 (value) >= 0
         && json_object_get_uint64 (value) <= INT64_MAX;
}

/* VALUE, which is a whole number.  */
static uint64_t
to_uint (struct json_object *value)
{
  if (json_object_is_type (value, json_type_double))
    return (uint64_t)json_object_get_double (value);
  return (uint64_t)json_object_get_int64 (value);
}

uint64_t
jsx_to_uint (struct json_object *value)
{
  return jsx_is_uint (value) ? to_uint (value) : 0;
}

bool
jsx_is_number (struct json_object *value)
{
  return json_object_is_type (value, json_type_int)
         || json_object_is_type (value, json_type_double);
}

double
jsx_number (struct json_object *object, const char *name, double fallback)
{
  struct json_object *value;

  if (!json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, name, &value)
      || !jsx_is_number (value))
    return fallback;
  return json_object_get_double (value);
}

int
jsx_get_amount (struct json_object *object, const char *name,
                enum jsx_rounding rounding, uint32_t *value)
{
  struct json_object *member;
  double number;

  *value = 0;
  if (!json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, name, &member))
    return -ENOENT;
  if (!jsx_is_number (member))
    return -EINVAL;
  number = json_object_get_double (member);
  /* Before it is rounded: upwards, -0.5 would be 0.  */
  if (!(number >= 0) || (rounding == JSX_WHOLE && number != floor (number)))
    return -EINVAL;
  number = rounding == JSX_UP ? ceil (number) : floor (number);
  *value = number > UINT32_MAX ? UINT32_MAX : (uint32_t)number;
  return number > UINT32_MAX ? -ERANGE : 0;
}

uint64_t
jsx_uint (struct json_object *object, const char *name, uint64_t fallback)
{
  struct json_object *value;

  if (!json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, name, &value)
      || (!is_whole_double (value)
          && (!json_object_is_type (value, json_type_int)
              || json_object_get_int64 (value) < 0)))
    return fallback;
  return to_uint (value);
}

uint32_t
jsx_to_u32 (int64_t value)
{
  if (value < 0)
    return 0;
  return value > UINT32_MAX ? UINT32_MAX : (uint32_t)value;
}

uint32_t
jsx_u32 (struct json_object *object, const char *name, uint32_t fallback)
{
  uint64_t value = jsx_uint (object, name, fallback);

  return jsx_to_u32 ((int64_t)value);
}

bool
jsx_get_u32 (struct json_object *object, const char *name, uint32_t *value)
{
  uint64_t n = jsx_uint (object, name, UINT64_MAX);

  if (n > UINT32_MAX)
    return false;
  *value = (uint32_t)n;
  return true;
}

bool
jsx_get_ms (struct json_object *object, const char *name, uint64_t *ns)
{
  uint64_t ms = jsx_uint (object, name, UINT64_MAX);

  if (ms > JSX_DURATION_MAX_MS)
    return false;
  *ns = ms * NS_PER_MS;
  return true;
}

void
jsx_add (struct json_object *object, const char *name,
         struct json_object *value)
{
  xtalloc_check (object);
  if (json_object_object_add (object, name, xtalloc_check (value)) != 0)
    xtalloc_check (NULL);
}

void
jsx_append (struct json_object *array, struct json_object *value)
{
  xtalloc_check (array);
  if (json_object_array_add (array, xtalloc_check (value)) != 0)
    xtalloc_check (NULL);
}
