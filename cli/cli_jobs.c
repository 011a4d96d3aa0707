#include <argtable2.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "agent.h"
#include "cli.h"
#include "daemon.h"
#include "entry.h"

#define STATUS_TIMEOUT_MS 5000L

int
cli_settings (struct cli_context *cli, int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_str *what = arg_str1 (NULL, NULL, "check", "the only action");
  struct arg_str *role = arg_str1 ("r", "role", "ROLE", "entry or agent");
  struct arg_file *file = arg_file1 (NULL, NULL, "FILE", "settings file");
  struct arg_end *end = arg_end (4);
  void *table[] = { help, role, what, file, end };
  struct ent_settings entry;
  struct agt_settings agent;
  struct err_error err;
  int rc = cli_parse (argc, argv, table, 5, "settings");

  if (rc < 0 && strcmp (role->sval[0], "entry") != 0
      && strcmp (role->sval[0], "agent") != 0)
    {
      fprintf (stderr, "settings: role %s: expected entry or agent\n",
               role->sval[0]);
      rc = DMN_USAGE;
    }
  if (rc < 0)
    {
      bool is_entry = strcmp (role->sval[0], "entry") == 0;
      const struct set_key *keys = is_entry ? ent_keys : agt_keys;
      void *out = is_entry ? (void *)&entry : (void *)&agent;
      rc = set_load (cli->ev, keys, out, file->filename[0], &err) == 0
               ? DMN_OK
               : DMN_USAGE;
      if (rc == DMN_OK)
        printf ("%s: settings are valid\n", file->filename[0]);
      else
        dmn_report_error (&err);
    }
  arg_freetable (table, 5);
  return rc;
}

int
cli_cancel (struct cli_context *cli, int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_str *entry
      = arg_str1 ("e", "entry", "URL", "entry, http://IP:PORT");
  struct arg_str *id = arg_str1 (NULL, NULL, "ID", "submission id");
  struct arg_end *end = arg_end (4);
  void *table[] = { help, entry, id, end };
  struct lv_slice none = { NULL, 0 };
  int rc = cli_parse (argc, argv, table, 4, "cancel");

  if (rc < 0)
    {
      struct cli_reply reply;
      char *url = talloc_asprintf (cli->ev, "%s/v1/jobs/%s", entry->sval[0],
                                   id->sval[0]);
      reply = cli_http (cli, "DELETE", url, none, STATUS_TIMEOUT_MS);
      rc = cli_print_reply (&reply);
    }
  arg_freetable (table, 4);
  return rc;
}
