#include "tick.h"

#include <errno.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "clock.h"
#include "logline.h"
#include "xtalloc.h"

#define MS_PER_S 1000
#define US_PER_MS 1000

struct tck_timer
{
  int fd;
  bool once;
  void (*expired) (void *priv);
  void *priv;
};

static void
fire (struct tck_timer *t)
{
  void (*expired) (void *priv) = t->expired;
  void *priv = t->priv;

  if (t->once)
    talloc_free (t);
  expired (priv);
}

static void
timer_cb (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
          void *priv)
{
  struct tck_timer *t = priv;
  uint64_t count;

  (void)ev;
  (void)fde;
  (void)flags;
  if (read (t->fd, &count, sizeof count) == (ssize_t)sizeof count)
    fire (t);
}

static void
fallback_cb (struct tevent_context *ev, struct tevent_timer *te,
             struct timeval now, void *priv)
{
  (void)ev;
  (void)te;
  (void)now;
  fire (priv);
}

static struct tck_timer *
new_timer (void *mem_ctx, void (*expired) (void *priv), void *priv)
{
  struct tck_timer *t = xtalloc_zero (mem_ctx, struct tck_timer);

  t->expired = expired;
  t->priv = priv;
  return t;
}

/* Let T expire after DELAY_MS, then each PERIOD_MS unless that is 0.  */
static int
arm (struct tck_timer *t, struct tevent_context *ev, uint32_t delay_ms,
     uint32_t period_ms)
{
  struct itimerspec at = { 0 };
  struct tevent_fd *fde;
  int fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);

  if (fd < 0)
    return -errno;
  at.it_value.tv_sec = delay_ms / MS_PER_S;
  at.it_value.tv_nsec = (long)(delay_ms % MS_PER_S * CLK_MS);
  at.it_interval.tv_sec = period_ms / MS_PER_S;
  at.it_interval.tv_nsec = (long)(period_ms % MS_PER_S * CLK_MS);
  if (timerfd_settime (fd, 0, &at, NULL) != 0)
    {
      int code = -errno;
      close (fd);
      return code;
    }
  t->fd = fd;
  fde = xtalloc_check (tevent_add_fd (ev, t, fd, TEVENT_FD_READ, timer_cb, t));
  tevent_fd_set_auto_close (fde);
  return 0;
}

int
tck_start (void *mem_ctx, struct tevent_context *ev, uint32_t period_ms,
           void (*tick) (void *priv), void *priv)
{
  struct tck_timer *t = new_timer (mem_ctx, tick, priv);
  int rc = arm (t, ev, period_ms, period_ms);

  if (rc != 0)
    talloc_free (t);
  return rc;
}

struct tck_timer *
tck_once (void *mem_ctx, struct tevent_context *ev, uint32_t delay_ms,
          void (*expired) (void *priv), void *priv)
{
  struct tck_timer *t = new_timer (mem_ctx, expired, priv);
  int rc = arm (t, ev, delay_ms, 0);

  t->once = true;
  if (rc == 0)
    return t;
  log_line (LOGL_WARN, "timer", "code=%d delay_ms=%u", rc, delay_ms);
  xtalloc_check (tevent_add_timer (
      ev, t,
      tevent_timeval_current_ofs (delay_ms / MS_PER_S,
                                  delay_ms % MS_PER_S * US_PER_MS),
      fallback_cb, t));
  return t;
}
