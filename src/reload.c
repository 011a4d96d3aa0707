#include "reload.h"

#include <signal.h>
#include <sys/stat.h>
#include <talloc.h>

#include "logline.h"
#include "tick.h"
#include "xtalloc.h"

#define STAT_PERIOD_MS 1000

struct watch
{
  char *path;
  const struct set_key *keys;
  size_t size;
  struct stat last_stat;
  void *settings; /* last valid settings */
  void (*changed) (const void *settings, void *priv);
  void *priv;
};

static void
reload (struct watch *w, const char *why)
{
  struct err_error err;
  void *settings = talloc_zero_size (w, w->size);

  if (set_load (settings, w->keys, settings, w->path, &err) != 0)
    {
      log_line (LOGL_WARN, "reload", "outcome=kept-old why=%s detail=\"%s\"",
                why, err.detail);
      talloc_free (settings);
      return;
    }
  log_line (LOGL_INFO, "reload", "outcome=read why=%s", why);
  w->changed (settings, w->priv);
  talloc_free (w->settings);
  w->settings = settings;
}

static bool
same_file (const struct stat *a, const struct stat *b)
{
  return a->st_ino == b->st_ino && a->st_size == b->st_size
         && a->st_mtim.tv_sec == b->st_mtim.tv_sec
         && a->st_mtim.tv_nsec == b->st_mtim.tv_nsec;
}

static void
check_file (void *priv)
{
  struct watch *w = priv;
  struct stat now;

  if (stat (w->path, &now) != 0 || same_file (&now, &w->last_stat))
    return;
  w->last_stat = now;
  reload (w, "changed");
}

static void
on_hup (struct tevent_context *ev, struct tevent_signal *se, int number,
        int count, void *info, void *priv)
{
  struct watch *w = priv;

  (void)ev;
  (void)se;
  (void)number;
  (void)count;
  (void)info;
  stat (w->path, &w->last_stat);
  reload (w, "signal");
}

void
rld_watch (void *mem_ctx, struct tevent_context *ev, const char *path,
           const struct set_key *keys, size_t size,
           void (*changed) (const void *settings, void *priv), void *priv)
{
  struct watch *w = xtalloc_zero (mem_ctx, struct watch);

  w->path = xtalloc_strdup (w, path);
  w->keys = keys;
  w->size = size;
  w->changed = changed;
  w->priv = priv;
  stat (path, &w->last_stat);
  xtalloc_check (tevent_add_signal (ev, w, SIGHUP, 0, on_hup, w));
  tck_start (w, ev, STAT_PERIOD_MS, check_file, w);
}
