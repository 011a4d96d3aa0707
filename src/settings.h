/**
 * DOC: settings
 *
 * Settings files: JSON with comments, validated against a table of keys.
 * Nested keys are written with dots.  Unknown keys are rejected.
 */
#ifndef LV_SETTINGS_H
#define LV_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "error.h"

/** Value types of keys. */
enum set_type
{
  SET_STRING,
  SET_UINT,
  SET_ADDRESS, /* "IP:PORT" */
  SET_STRINGS, /* array of strings */
};

/** Most strings in a SET_STRINGS value. */
#define SET_STRINGS_MAX 64

/** struct set_strings - value of a SET_STRINGS key. */
struct set_strings
{
  unsigned count;
  char *item[SET_STRINGS_MAX];
};

/**
 * struct set_key - one key that a settings file may hold
 * @name: key, with dots for nesting
 * @type: value type
 * @offset: offset of the field in the settings structure
 * @fallback: default as text; NULL makes the key required.  "" stores NULL for
 * SET_STRING and SET_ADDRESS; the default of SET_STRINGS is always empty
 * @min: smallest value, for SET_UINT
 * @max: largest value, for SET_UINT
 * @help: unit and meaning, one line
 */
struct set_key
{
  const char *name;
  enum set_type type;
  size_t offset;
  const char *fallback;
  uint64_t min;
  uint64_t max;
  const char *help;
};

/**
 * set_load() - read and validate a settings file
 * @mem_ctx: talloc parent of strings
 * @keys: table of keys, terminated by a NULL name
 * @out: settings structure to fill
 * @path: file to read
 * @err: set on failure: file, key, value found, value expected
 *
 * Return: 0 or a negative error number.
 */
int set_load (void *mem_ctx, const struct set_key *keys, void *out,
              const char *path, struct err_error *err);

/** set_parse() - validate settings as set_load() does, from @text; @path is
 * named in errors only. */
int set_parse (void *mem_ctx, const struct set_key *keys, void *out,
               const char *path, const char *text, struct err_error *err);

/** set_print_keys() - print the table of keys to standard output. */
void set_print_keys (const struct set_key *keys);

#endif
