#include <argtable2.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "clock.h"
#include "cli.h"
#include "daemon.h"
#include "entropy.h"
#include "jsonx.h"
#include "lagoonvale/rules.h"
#include "lagoonvale/ruleversion.h"

#define TIMEOUT_MS 5000L
#define FINDINGS_MAX 50
#define BATCH_RECORDS 1000
#define RETRY_US 200000
#define DEFAULT_WAIT_S 30

static const struct lv_slice no_body = { NULL, 0 };

static struct rul_set *
parse_rules (struct cli_context *cli, const char *path, struct lv_slice text)
{
  struct rul_error findings[FINDINGS_MAX];
  uint32_t count;
  struct rul_set *set
      = rul_parse (cli->ev, text, findings, FINDINGS_MAX, &count);

  for (uint32_t i = 0; i < count; i++)
    fprintf (stderr, "%s:%u:%u: found %s, expected %s\n", path,
             findings[i].line, findings[i].column, findings[i].found,
             findings[i].expected);
  return set;
}

static struct rul_set *
parse_rules_file (struct cli_context *cli, const char *path,
                  struct lv_slice *text)
{
  text->data = cli_read_file (cli, path, &text->len);
  return text->data != NULL ? parse_rules (cli, path, *text) : NULL;
}

static int
rules_check (struct cli_context *cli, int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_file *file = arg_file1 (NULL, NULL, "FILE", "rule file");
  struct arg_end *end = arg_end (4);
  void *table[] = { help, file, end };
  int rc = cli_parse (argc, argv, table, 3, "rules check");

  if (rc < 0)
    {
      struct lv_slice text;
      struct rul_set *set = parse_rules_file (cli, file->filename[0], &text);
      rc = set != NULL ? DMN_OK : DMN_USAGE;
      if (set != NULL)
        printf ("%s: %u rules, no errors\n", file->filename[0], set->count);
    }
  arg_freetable (table, 3);
  return rc;
}

/* The record that this command publishes.  */
struct publication
{
  const char *id;
  enum rvs_outcome outcome;
  uint64_t version; /* in force right after the record */
};

/* Read the rules stream from offset NEXT on into STATE, and set the outcome of
   OWN when its record is found.  Return: whether the end was reached.  */
static bool
read_stream (struct cli_context *cli, const char *log, struct rvs_state *state,
             uint64_t *next, struct publication *own)
{
  char *url = talloc_asprintf (
      cli->ev, "%s/streams/rules/records?from=%" PRIu64 "&max=%d", log, *next,
      BATCH_RECORDS);
  struct cli_reply reply = cli_http (cli, "GET", url, no_body, TIMEOUT_MS);
  struct json_object *json = NULL;
  struct json_object *records = NULL;
  size_t n;

  if (reply.err == 0 && reply.status == 200)
    json = jsx_parse (lv_slice_of (reply.body));
  if (!json_object_object_get_ex (json, "records", &records)
      || !json_object_is_type (records, json_type_array))
    {
      json_object_put (json);
      return false;
    }
  rvs_start_at (state, jsx_uint (json, "first", 1));
  n = json_object_array_length (records);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *record = json_object_array_get_idx (records, i);
      const char *data = jsx_string (record, "data", "");
      uint64_t offset = jsx_uint (record, "offset", 0);
      enum rvs_outcome f = rvs_apply (
          state, offset, jsx_uint (record, "ms", 0), lv_slice_of (data));
      *next = offset + 1;
      if (own->outcome == RVS_PENDING && strstr (data, own->id) != NULL
          && (f == RVS_ACCEPTED || f == RVS_CONFLICT))
        {
          own->outcome = f;
          own->version = state->version;
        }
    }
  json_object_put (json);
  return n < BATCH_RECORDS;
}

static void
print_difference (const char *mine, const char *theirs)
{
  while (*theirs != '\0')
    {
      size_t len = strcspn (theirs, "\n");
      char *line = talloc_strndup (NULL, theirs, len);
      if (len > 0 && strstr (mine, line) == NULL)
        printf ("+ %s\n", line);
      talloc_free (line);
      theirs += len + (theirs[len] == '\n');
    }
}

static int
report_outcome (const struct rvs_state *state, const struct publication *own,
                const char *text)
{
  if (own->outcome == RVS_ACCEPTED)
    {
      printf ("accepted: version %" PRIu64 "\n", own->version);
      return DMN_OK;
    }
  if (own->outcome == RVS_CONFLICT)
    {
      printf ("lost to version %" PRIu64 "; lines only in that version:\n",
              own->version);
      print_difference (text, state->text != NULL ? state->text : "");
      return DMN_REFUSED;
    }
  printf ("not known yet: the log does not answer; run \"rules show\" later "
          "before publishing again\n");
  return DMN_UNKNOWN;
}

static int
publish (struct cli_context *cli, const char *log, struct lv_slice text,
         int64_t base, unsigned wait_s)
{
  struct rvs_state state;
  struct publication own = { "", RVS_PENDING, 0 };
  uint64_t next = 1;
  uint64_t end_ns = clk_now () + wait_s * CLK_S;
  bool appended = false;
  char id[RVS_ID_MAX];
  char *record;
  char *url = talloc_asprintf (cli->ev, "%s/streams/rules/append", log);

  rvs_init (&state, cli->ev);
  snprintf (id, sizeof id, "%016" PRIx64 "%016" PRIx64, rnd_u64 (),
            rnd_u64 ());
  own.id = id;
  while (!read_stream (cli, log, &state, &next, &own) || !state.synced)
    {
      if (clk_now () > end_ns)
        {
          printf ("refused: the log does not answer or does not hold the "
                  "current version; nothing was published\n");
          return DMN_REFUSED;
        }
      usleep (RETRY_US);
    }
  record = rvs_publish_record (cli->ev,
                               base >= 0 ? (uint64_t)base : state.version, id,
                               "operator", text);
  while (own.outcome == RVS_PENDING && clk_now () < end_ns)
    {
      /* The record is sent again only after a reply that it was not appended.
         After a lost reply the outcome is read from the stream.  */
      if (!appended)
        {
          struct cli_reply reply
              = cli_http (cli, "ONCE", url, lv_slice_of (record), TIMEOUT_MS);
          appended = reply.err == 0 ? reply.status == 200
                                    : !hcl_never_sent (reply.err);
        }
      read_stream (cli, log, &state, &next, &own);
      if (own.outcome == RVS_PENDING)
        usleep (RETRY_US);
    }
  return report_outcome (&state, &own, text.data);
}

static int
rules_publish (struct cli_context *cli, int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_str *log
      = arg_str1 ("l", "log", "URL", "platform log, http://IP:PORT");
  struct arg_int *base
      = arg_int0 ("b", "base", "N", "version that the file was edited from");
  struct arg_int *wait
      = arg_int0 ("w", "wait", "SECONDS", "how long to wait for the outcome");
  struct arg_file *file = arg_file1 (NULL, NULL, "FILE", "rule file");
  struct arg_end *end = arg_end (4);
  void *table[] = { help, log, base, wait, file, end };
  int rc = cli_parse (argc, argv, table, 6, "rules publish");

  if (rc < 0 && wait->count > 0 && wait->ival[0] < 0)
    {
      fprintf (stderr, "rules publish: --wait %d: expected 0 or more\n",
               wait->ival[0]);
      rc = DMN_USAGE;
    }
  if (rc < 0)
    {
      struct lv_slice text;
      rc = DMN_USAGE;
      if (parse_rules_file (cli, file->filename[0], &text) != NULL)
        rc = publish (
            cli, log->sval[0], text, base->count > 0 ? base->ival[0] : -1,
            wait->count > 0 ? (unsigned)wait->ival[0] : DEFAULT_WAIT_S);
    }
  arg_freetable (table, 6);
  return rc;
}

static struct json_object *
fetch_rules (struct cli_context *cli, const char *entry)
{
  char *url = talloc_asprintf (cli->ev, "%s/v1/rules", entry);
  struct cli_reply reply = cli_http (cli, "GET", url, no_body, TIMEOUT_MS);
  struct json_object *json = NULL;

  if (reply.err == 0 && reply.status == 200)
    json = jsx_parse (lv_slice_of (reply.body));
  if (json == NULL)
    fprintf (stderr, "error: step=rules peer=%s: no valid answer\n", entry);
  return json;
}

static int
rules_show (struct cli_context *cli, int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_str *entry = arg_strn ("e", "entry", "URL", 1, 64,
                                    "entries, http://IP:PORT, repeatable");
  struct arg_end *end = arg_end (4);
  void *table[] = { help, entry, end };
  int rc = cli_parse (argc, argv, table, 3, "rules show");

  if (rc < 0)
    {
      rc = DMN_OK;
      for (int i = 0; i < entry->count; i++)
        {
          struct json_object *json = fetch_rules (cli, entry->sval[i]);
          if (json == NULL)
            {
              rc = DMN_FAILED;
              continue;
            }
          printf ("%s: version %" PRIu64 "\n",
                  jsx_string (json, "instance", "?"),
                  jsx_uint (json, "version", 0));
          if (i == 0)
            fputs (jsx_string (json, "text", ""), stdout);
          json_object_put (json);
        }
    }
  arg_freetable (table, 3);
  return rc;
}

static int
rules_diff (struct cli_context *cli, int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_str *entry
      = arg_str1 ("e", "entry", "URL", "entry, http://IP:PORT");
  struct arg_file *file = arg_file1 (NULL, NULL, "FILE", "rule file");
  struct arg_end *end = arg_end (4);
  void *table[] = { help, entry, file, end };
  int rc = cli_parse (argc, argv, table, 4, "rules diff");

  if (rc < 0)
    {
      struct lv_slice text;
      struct json_object *json;
      rc = DMN_USAGE;
      if (parse_rules_file (cli, file->filename[0], &text) != NULL)
        {
          json = fetch_rules (cli, entry->sval[0]);
          rc = json != NULL ? DMN_OK : DMN_FAILED;
          if (json != NULL)
            {
              printf ("in force in version %" PRIu64 " and not in %s:\n",
                      jsx_uint (json, "version", 0), file->filename[0]);
              print_difference (text.data, jsx_string (json, "text", ""));
              printf ("in %s and not in force:\n", file->filename[0]);
              print_difference (jsx_string (json, "text", ""), text.data);
            }
          json_object_put (json);
        }
    }
  arg_freetable (table, 4);
  return rc;
}

static int
rules_explain (struct cli_context *cli, int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_str *entry
      = arg_str1 ("e", "entry", "URL", "entry, http://IP:PORT");
  struct arg_file *file = arg_file1 (NULL, NULL, "FILE", "example request");
  struct arg_end *end = arg_end (4);
  void *table[] = { help, entry, file, end };
  int rc = cli_parse (argc, argv, table, 4, "rules explain");

  if (rc < 0)
    {
      struct cli_reply reply;
      rc = DMN_USAGE;
      if (cli_post_file (cli, entry->sval[0], "/v1/explain", file->filename[0],
                         TIMEOUT_MS, &reply))
        {
          rc = reply.err == 0 && reply.status == 200 ? DMN_OK : DMN_FAILED;
          puts (reply.body);
        }
    }
  arg_freetable (table, 4);
  return rc;
}

static const struct
{
  const char *name;
  int (*run) (struct cli_context *cli, int argc, char **argv);
} actions[] = {
  { "check", rules_check },     { "publish", rules_publish },
  { "show", rules_show },       { "diff", rules_diff },
  { "explain", rules_explain },
};

int
cli_rules (struct cli_context *cli, int argc, char **argv)
{
  for (size_t i = 0; argc > 1 && i < sizeof actions / sizeof actions[0]; i++)
    if (strcmp (argv[1], actions[i].name) == 0)
      return actions[i].run (cli, argc - 1, argv + 1);
  fputs ("Usage: lagoonvale rules check|publish|show|diff|explain [--help]\n",
         argc > 1 && strcmp (argv[1], "--help") == 0 ? stdout : stderr);
  return argc > 1 && strcmp (argv[1], "--help") == 0 ? DMN_OK : DMN_USAGE;
}
