/**
 * DOC: reload
 *
 * Reloads a settings file on SIGHUP and when it changes.  An invalid file is
 * logged, and the previous settings stay in force.
 */
#ifndef LV_RELOAD_H
#define LV_RELOAD_H

#include <tevent.h>

#include "settings.h"

/**
 * rld_watch() - reload a settings file whenever it changes
 * @mem_ctx: talloc parent
 * @path: path of the file
 * @keys: as for set_load()
 * @size: size of the settings structure, bytes
 * @changed: called with valid settings, whose strings stay valid until the
 * next call
 */
void rld_watch (void *mem_ctx, struct tevent_context *ev, const char *path,
                const struct set_key *keys, size_t size,
                void (*changed) (const void *settings, void *priv),
                void *priv);

#endif
