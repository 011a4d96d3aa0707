/* Linked into the daemons for test_suspended.py: the clocks of an instance
   that can be suspended, and whose time of day can be set.  The monotonic
   clock stands still while the process is stopped by SIGSTOP; CLOCK_BOOTTIME
   goes on. SIGUSR2 sets the time of day back by an hour.  */
#include <pthread.h>
#include <signal.h>
#include <stdint.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

/* The daemons' ticks read the clock far more often than this, ns: a longer gap
   is a stop.  */
#define STOPPED_NS 300000000ULL
#define NS_PER_S 1000000000ULL
#define SET_BACK_S 3600

static volatile sig_atomic_t set_back_s;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t newest_ns;
static uint64_t stopped_ns;

/* REAL_NS without the time in which the process was stopped.  */
static uint64_t
without_stops (uint64_t real_ns)
{
  uint64_t result;

  pthread_mutex_lock (&lock);
  if (newest_ns != 0 && real_ns > newest_ns + STOPPED_NS)
    stopped_ns += real_ns - newest_ns;
  if (real_ns > newest_ns)
    newest_ns = real_ns;
  result = real_ns - stopped_ns;
  pthread_mutex_unlock (&lock);
  return result;
}

static void
set_back (int number)
{
  (void)number;
  set_back_s = SET_BACK_S;
}

__attribute__ ((constructor)) static void
install (void)
{
  signal (SIGUSR2, set_back);
}

int
clock_gettime (clockid_t id, struct timespec *t)
{
  int rc = (int)syscall (SYS_clock_gettime, id, t);
  uint64_t ns;

  if (rc == 0 && id == CLOCK_REALTIME)
    t->tv_sec -= set_back_s;
  if (rc != 0 || id != CLOCK_MONOTONIC)
    return rc;
  ns = without_stops ((uint64_t)t->tv_sec * NS_PER_S + (uint64_t)t->tv_nsec);
  t->tv_sec = (time_t)(ns / NS_PER_S);
  t->tv_nsec = (long)(ns % NS_PER_S);
  return 0;
}

int
gettimeofday (struct timeval *t, void *zone)
{
  int rc = (int)syscall (SYS_gettimeofday, t, zone);

  if (rc == 0)
    t->tv_sec -= set_back_s;
  return rc;
}
