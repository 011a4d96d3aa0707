/**
 * DOC: reload
 *
 * Reads a settings file again on SIGHUP and when it has changed.  A file that
 * is not valid is reported and changes nothing.
 */
#ifndef LV_RELOAD_H
#define LV_RELOAD_H

#include <tevent.h>

#include "settings.h"

/**
 * rld_watch() - follow a settings file
 * @mem_ctx: talloc parent
 * @path: of the file
 * @keys: as for set_load()
 * @size: of the settings structure, bytes
 * @changed: told valid settings; their strings live until the next change
 */
void rld_watch (void *mem_ctx, struct tevent_context *ev, const char *path,
                const struct set_key *keys, size_t size,
                void (*changed) (const void *settings, void *priv),
                void *priv);

#endif
