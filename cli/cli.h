/**
 * DOC: cli
 *
 * Code shared by the commands of the program lagoonvale.
 */
#ifndef LV_CLI_H
#define LV_CLI_H

#include <stdbool.h>
#include <tevent.h>

#include "http_client.h"

/** struct cli_context - event loop and HTTP client of the program. */
struct cli_context
{
  struct tevent_context *ev;
  struct hcl_client *client;
};

/** struct cli_reply - answer to a synchronous request. */
struct cli_reply
{
  int err;
  long status;
  char *body; /* talloc string */
};

/** cli_http() - send a request and wait for the answer. */
struct cli_reply cli_http (struct cli_context *cli, const char *method,
                           const char *url, struct lv_slice body,
                           long timeout_ms);

/** cli_read_file() - read a file into a talloc string; prints an error and
 * returns NULL on failure.  */
char *cli_read_file (struct cli_context *cli, const char *path, size_t *len);

/** cli_post_file() - POST a file to @path of an entry, without retry.
 * Return: true with @reply set, or false if the file could not be read. */
bool cli_post_file (struct cli_context *cli, const char *entry,
                    const char *path, const char *file, long timeout_ms,
                    struct cli_reply *reply);

/** cli_read_log() - pass each line of the file @path, "-" for standard input,
 * to @add; prints an error if it cannot be opened. Return: whether it was. */
bool cli_read_log (const char *path,
                   void (*add) (void *priv, struct lv_slice line), void *priv);

/** cli_parse() - parse the arguments by @table and handle --help. Return: -1
 * to continue, or the exit code. */
int cli_parse (int argc, char **argv, void **table, int count,
               const char *command);

/** cli_print_reply() - print an answer or its error. Return: the exit code. */
int cli_print_reply (const struct cli_reply *reply);

/** cli_exit_code() - exit code for an answer of an entry. */
int cli_exit_code (const struct cli_reply *reply);

/** Commands; argv[0] is the name of the command. */
int cli_rules (struct cli_context *cli, int argc, char **argv);
int cli_status (struct cli_context *cli, int argc, char **argv);
int cli_where (struct cli_context *cli, int argc, char **argv);
int cli_settings (struct cli_context *cli, int argc, char **argv);
int cli_submit (struct cli_context *cli, int argc, char **argv);
int cli_explain (struct cli_context *cli, int argc, char **argv);
int cli_report (struct cli_context *cli, int argc, char **argv);
int cli_cancel (struct cli_context *cli, int argc, char **argv);

#endif
