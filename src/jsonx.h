/**
 * DOC: jsonx
 *
 * Helpers over json-c: bounded parsing and typed member access with defaults.
 */
#ifndef LV_JSONX_H
#define LV_JSONX_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "lagoonvale/slice.h"

/** Greatest nesting depth accepted. */
#define JSX_DEPTH_MAX 16

/** jsx_parse() - parse @text; NULL unless it is exactly one JSON value. */
struct json_object *jsx_parse (struct lv_slice text);

/**
 * jsx_parse_verbose() - like jsx_parse(), with a diagnosis
 * @why: set to a static description of the error
 * @at: set to the byte offset of the error
 */
struct json_object *jsx_parse_verbose (struct lv_slice text, const char **why,
                                       size_t *at);

/**
 * struct jsx_reader - reads an object or an array value by value, so that a
 * large one is never in memory as a whole; caller-owned
 * @rest: text that has not been read
 * @first: no value has been read
 */
struct jsx_reader
{
  struct json_tokener *tokener;
  struct lv_slice rest;
  bool first;
};

/** jsx_reader_init() - initialize for @text, which is borrowed.  Return: 0 or
 * -ENOMEM. */
int jsx_reader_init (struct jsx_reader *r, struct lv_slice text);

/** jsx_reader_finish() - free what the reader has allocated. */
void jsx_reader_finish (struct jsx_reader *r);

/** jsx_enter() - begin to read an object ('{') or an array ('[').  Return:
 * false if @bracket is not what comes next. */
bool jsx_enter (struct jsx_reader *r, char bracket);

/** jsx_next() - whether another member or element follows: 1, 0 at the end,
 * which is @bracket ('}' or ']') and is read, or -EBADMSG. */
int jsx_next (struct jsx_reader *r, char bracket);

/** jsx_read_name() - read the name of a member and the colon.  Return: a
 * string to be put, or NULL. */
struct json_object *jsx_read_name (struct jsx_reader *r);

/**
 * jsx_read_value() - read one value
 * @value: set to the value, to be put; NULL is a JSON null
 *
 * Return: 0 or -EBADMSG.
 */
int jsx_read_value (struct jsx_reader *r, struct json_object **value);

/** jsx_at_end() - whether nothing but white space is left. */
bool jsx_at_end (struct jsx_reader *r);

/** jsx_is_name() - whether @value is a string that is a valid name. */
bool jsx_is_name (struct json_object *value);

/** jsx_slice() - member @name if it is a string, else nothing; may hold NUL.
 */
struct lv_slice jsx_slice (struct json_object *object, const char *name);

/** jsx_string() - member @name if it is a string without NUL, else
 * @fallback. */
const char *jsx_string (struct json_object *object, const char *name,
                        const char *fallback);

/** jsx_is_uint() - whether @value is a whole number from 0 to INT64_MAX, also
 * one that is written with a point or an exponent (6200.0, 6.2e3), up to 2^53;
 * json-c cuts what is beyond to the nearest number that it can hold. */
bool jsx_is_uint (struct json_object *value);

/** jsx_to_uint() - the number @value, 0 if jsx_is_uint() does not hold. */
uint64_t jsx_to_uint (struct json_object *value);

/** jsx_is_number() - whether @value is a number of any kind. */
bool jsx_is_number (struct json_object *value);

/** jsx_number() - member @name if it is a number, else @fallback. */
double jsx_number (struct json_object *object, const char *name,
                   double fallback);

/** enum jsx_rounding - what becomes of the fraction of an amount */
enum jsx_rounding
{
  JSX_DOWN,  /* of what there is */
  JSX_UP,    /* of what is needed */
  JSX_WHOLE, /* there must be none */
};

/**
 * jsx_get_amount() - read member @name, an amount of something
 * @value: set to it; to 0 on -ENOENT and -EINVAL, to UINT32_MAX on -ERANGE
 *
 * Return: 0, -ENOENT if it is missing, -EINVAL if it is no number or negative,
 * -ERANGE if it is beyond 32 bits.
 */
int jsx_get_amount (struct json_object *object, const char *name,
                    enum jsx_rounding rounding, uint32_t *value);

/** jsx_uint() - member @name if it is a whole number >= 0, else @fallback;
 * what is beyond INT64_MAX becomes that, see jsx_is_uint(). */
uint64_t jsx_uint (struct json_object *object, const char *name,
                   uint64_t fallback);

/** jsx_u32() - like jsx_uint(); greater values become UINT32_MAX, which every
 * bound on them refuses, rather than losing their upper bits. */
uint32_t jsx_u32 (struct json_object *object, const char *name,
                  uint32_t fallback);

/** jsx_get_u32() - read member @name into @value. Return: false, and no
 * change, unless it is a whole number of 32 bits. */
bool jsx_get_u32 (struct json_object *object, const char *name,
                  uint32_t *value);

/** Longest duration that is read, ms. */
#define JSX_DURATION_MAX_MS 1000000000000ULL

/** jsx_get_ms() - read member @name, milliseconds, into @ns. Return: false,
 * and no change, unless it is a whole number of at most JSX_DURATION_MAX_MS.
 */
bool jsx_get_ms (struct json_object *object, const char *name, uint64_t *ns);

/** jsx_to_u32() - @value in 32 bits: 0 if negative, at most UINT32_MAX. */
uint32_t jsx_to_u32 (int64_t value);

/** jsx_add() - set member @name to @value and take ownership of it.  Ends the
 * process if either is NULL: memory is out. */
void jsx_add (struct json_object *object, const char *name,
              struct json_object *value);

/** jsx_append() - append @value to @array, as jsx_add() does. */
void jsx_append (struct json_object *array, struct json_object *value);

#endif
