/* Linked into the daemons for test_suspended.py: a clock_gettime() whose
   monotonic clock stands still while the process is stopped by SIGSTOP, as it
   does while an instance is suspended.  CLOCK_BOOTTIME goes on.  */
#include <pthread.h>
#include <stdint.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

/* The daemons' ticks read the clock far more often than this, ns: a longer gap
   is a stop.  */
#define STOPPED_NS 300000000ULL
#define NS_PER_S 1000000000ULL

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

int
clock_gettime (clockid_t id, struct timespec *t)
{
  int rc = (int)syscall (SYS_clock_gettime, id, t);
  uint64_t ns;

  if (rc != 0 || id != CLOCK_MONOTONIC)
    return rc;
  ns = without_stops ((uint64_t)t->tv_sec * NS_PER_S + (uint64_t)t->tv_nsec);
  t->tv_sec = (time_t)(ns / NS_PER_S);
  t->tv_nsec = (long)(ns % NS_PER_S);
  return 0;
}
