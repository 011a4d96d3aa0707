#include "settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net.h"
#include "jsonx.h"
#include "xtalloc.h"

/** Largest settings file, in bytes. */
#define FILE_MAX_BYTES 65536

static const char *const type_names[]
    = { "a string without control characters", "a whole number",
        "an address IP:PORT",
        "an array of strings without control characters" };

static struct json_object *
find_value (struct json_object *root, const char *name)
{
  struct json_object *node = root;
  char part[64];

  while (name != NULL && node != NULL)
    {
      const char *dot = strchr (name, '.');
      size_t len = dot != NULL ? (size_t)(dot - name) : strlen (name);
      snprintf (part, sizeof part, "%.*s", (int)len, name);
      if (!json_object_is_type (node, json_type_object)
          || !json_object_object_get_ex (node, part, &node))
        return NULL;
      name = dot != NULL ? dot + 1 : NULL;
    }
  return node;
}

static int
report_bad_value (const struct set_key *key, const char *path,
                  struct json_object *value, struct err_error *err)
{
  return err_set (err, -EINVAL, "settings", path,
                  "key %s: found %.60s, expected %s (%s)", key->name,
                  json_object_to_json_string (value), type_names[key->type],
                  key->help);
}

static int
store_strings (void *mem_ctx, struct set_strings *out,
               struct json_object *value)
{
  size_t n;

  if (!json_object_is_type (value, json_type_array))
    return -EINVAL;
  n = json_object_array_length (value);
  if (n > SET_STRINGS_MAX)
    return -E2BIG;
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *item = json_object_array_get_idx (value, i);
      if (!json_object_is_type (item, json_type_string))
        return -EINVAL;
      if (!jsx_is_name (item))
        return -EILSEQ;
      out->item[i] = xtalloc_strdup (mem_ctx, json_object_get_string (item));
    }
  out->count = (unsigned)n;
  return 0;
}

static int
store_string (void *mem_ctx, const struct set_key *key, char *field,
              struct json_object *value)
{
  const char *text = json_object_get_string (value);
  struct sockaddr_in address;

  if (json_object_get_string_len (value) > 0 && !jsx_is_name (value))
    return -EILSEQ;
  if (key->type == SET_STRING && key->max > 0 && strlen (text) > key->max)
    return -ENAMETOOLONG;
  if (key->type == SET_ADDRESS && net_parse (&address, text) != 0)
    return -EINVAL;
  *(char **)field = xtalloc_strdup (mem_ctx, text);
  return 0;
}

static int
store_value (void *mem_ctx, const struct set_key *key, void *out,
             struct json_object *value)
{
  char *field = (char *)out + key->offset;
  int64_t number;

  switch (key->type)
    {
    case SET_STRING:
    case SET_ADDRESS:
      if (!json_object_is_type (value, json_type_string))
        return -EINVAL;
      return store_string (mem_ctx, key, field, value);
    case SET_UINT:
      if (!json_object_is_type (value, json_type_int))
        return -EINVAL;
      number = json_object_get_int64 (value);
      if (number < 0 || (uint64_t)number < key->min
          || (uint64_t)number > key->max)
        return -ERANGE;
      *(uint64_t *)field = (uint64_t)number;
      return 0;
    case SET_STRINGS:
      return store_strings (mem_ctx, (struct set_strings *)field, value);
    }
  return -EINVAL;
}

static int
store_fallback (void *mem_ctx, const struct set_key *key, void *out)
{
  char *field = (char *)out + key->offset;

  if (key->type == SET_UINT)
    *(uint64_t *)field = strtoull (key->fallback, NULL, 10);
  else if (key->type == SET_STRINGS)
    memset (field, 0, sizeof (struct set_strings));
  else
    *(char **)field = key->fallback[0] != '\0'
                          ? xtalloc_strdup (mem_ctx, key->fallback)
                          : NULL;
  return 0;
}

/* Whether NAME is a key, or with OBJECT the parent object of one.  */
static bool
is_known_key (const struct set_key *keys, const char *name, bool object)
{
  size_t len = strlen (name);

  for (const struct set_key *k = keys; k->name != NULL; k++)
    {
      if (!object && strcmp (k->name, name) == 0)
        return true;
      if (object && strncmp (k->name, name, len) == 0 && k->name[len] == '.')
        return true;
    }
  return false;
}

static int
reject_unknown_keys (const struct set_key *keys, struct json_object *object,
                     const char *prefix, const char *path,
                     struct err_error *err)
{
  json_object_object_foreach (object, name, value)
  {
    char full[128];
    bool is_object = json_object_is_type (value, json_type_object);
    int rc;

    snprintf (full, sizeof full, "%s%s", prefix, name);
    if (!is_known_key (keys, full, is_object))
      return err_set (err, -EINVAL, "settings", path,
                      "key %s: unknown, see --help for the known keys", full);
    if (!is_object)
      continue;
    strncat (full, ".", sizeof full - strlen (full) - 1);
    rc = reject_unknown_keys (keys, value, full, path, err);
    if (rc != 0)
      return rc;
  }
  return 0;
}

/* Read the file PATH into TEXT of FILE_MAX_BYTES, with a final NUL.  */
static int
read_file (const char *path, char *text, struct err_error *err)
{
  FILE *file = fopen (path, "re");
  size_t len;

  if (file == NULL)
    return err_set (err, -errno, "settings", path, "cannot open: %s",
                    strerror (errno));
  len = fread (text, 1, FILE_MAX_BYTES - 1, file);
  fclose (file);
  text[len] = '\0';
  if (len == FILE_MAX_BYTES - 1)
    return err_set (err, -E2BIG, "settings", path,
                    "larger than %d bytes, expected less", FILE_MAX_BYTES);
  return 0;
}

static int
parse_object (const char *path, const char *text, struct json_object **root,
              struct err_error *err)
{
  struct json_tokener *tokener = xtalloc_check (json_tokener_new ());
  unsigned line = 1;

  *root = json_tokener_parse_ex (tokener, text, (int)strlen (text) + 1);
  if (json_object_is_type (*root, json_type_object))
    {
      json_tokener_free (tokener);
      return 0;
    }
  for (size_t i = 0; i < json_tokener_get_parse_end (tokener); i++)
    line += text[i] == '\n';
  err_set (err, -EINVAL, "settings", path,
           "line %u: found %s, expected a JSON object", line,
           *root != NULL
               ? "another value"
               : json_tokener_error_desc (json_tokener_get_error (tokener)));
  json_tokener_free (tokener);
  json_object_put (*root);
  *root = NULL;
  return -EINVAL;
}

int
set_parse (void *mem_ctx, const struct set_key *keys, void *out,
           const char *path, const char *text, struct err_error *err)
{
  struct json_object *root = NULL;
  int rc = parse_object (path, text, &root, err);

  if (rc != 0)
    return rc;
  rc = reject_unknown_keys (keys, root, "", path, err);
  for (const struct set_key *k = keys; rc == 0 && k->name != NULL; k++)
    {
      struct json_object *value = find_value (root, k->name);
      if (value != NULL && store_value (mem_ctx, k, out, value) != 0)
        rc = report_bad_value (k, path, value, err);
      else if (value == NULL && k->fallback == NULL)
        rc = err_set (err, -EINVAL, "settings", path,
                      "key %s: missing, expected %s (%s)", k->name,
                      type_names[k->type], k->help);
      else if (value == NULL)
        rc = store_fallback (mem_ctx, k, out);
    }
  json_object_put (root);
  return rc;
}

int
set_load (void *mem_ctx, const struct set_key *keys, void *out,
          const char *path, struct err_error *err)
{
  char text[FILE_MAX_BYTES] = "";
  int rc = read_file (path, text, err);

  return rc != 0 ? rc : set_parse (mem_ctx, keys, out, path, text, err);
}

void
set_print_keys (const struct set_key *keys)
{
  puts ("Settings (JSON with comments):");
  for (const struct set_key *k = keys; k->name != NULL; k++)
    printf ("  %-28s %s; %s%s\n", k->name, k->help,
            k->fallback != NULL ? "default " : "required",
            k->fallback != NULL ? k->fallback : "");
}
