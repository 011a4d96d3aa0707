/**
 * DOC: cli
 *
 * What the commands of lagoonvale share.
 */
#ifndef LV_CLI_H
#define LV_CLI_H

#include <stdbool.h>
#include <tevent.h>

#include "http_client.h"

/** struct cli_context - one run of the program. */
struct cli_context
{
  struct tevent_context *ev;
  struct hcl_client *client;
};

/** struct cli_reply - answer to a request made in the foreground. */
struct cli_reply
{
  int err;
  long status;
  char *body; /* talloc, ends in NUL */
};

/** cli_http() - send a request and wait for its end. */
struct cli_reply cli_http (struct cli_context *cli, const char *method,
                           const char *url, struct lv_slice body,
                           long timeout_ms);

/** cli_read_file() - whole file as talloc text; complains and returns NULL. */
char *cli_read_file (struct cli_context *cli, const char *path, size_t *len);

/** cli_post_file() - post a file to @path of an entry, once.
 * Return: whether the file could be read; then @reply is filled. */
bool cli_post_file (struct cli_context *cli, const char *entry,
                    const char *path, const char *file, long timeout_ms,
                    struct cli_reply *reply);

/** cli_parse() - run argtable over @table; handles --help. Return: -1 to go
 * on, or the exit code. */
int cli_parse (int argc, char **argv, void **table, int count,
               const char *command);

/** cli_print_reply() - print an answer. Return: its exit code. */
int cli_print_reply (const struct cli_reply *reply);

/** cli_exit_code() - exit code for an answer of an entry. */
int cli_exit_code (const struct cli_reply *reply);

/** Commands: each takes the arguments from its own name on. */
int cli_rules (struct cli_context *cli, int argc, char **argv);
int cli_status (struct cli_context *cli, int argc, char **argv);
int cli_settings (struct cli_context *cli, int argc, char **argv);
int cli_submit (struct cli_context *cli, int argc, char **argv);
int cli_explain (struct cli_context *cli, int argc, char **argv);
int cli_cancel (struct cli_context *cli, int argc, char **argv);

#endif
