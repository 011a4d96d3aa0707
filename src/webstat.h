/**
 * DOC: webstat
 *
 * GET /metrics, /healthz and /readyz of a daemon that has no other HTTP
 * interface.
 */
#ifndef LV_WEBSTAT_H
#define LV_WEBSTAT_H

#include <stdatomic.h>
#include <stdbool.h>

#include "lagoonvale/counter.h"
#include "lagoonvale/histogram.h"
#include "web.h"

struct MHD_Daemon;

/**
 * struct wst_server - caller-owned
 * @counters: what /metrics shows
 * @ready: what /readyz tells
 */
struct wst_server
{
  const struct ctr_set *counters;
  atomic_bool ready;
  struct MHD_Daemon *daemon;
};

/** wst_init() - serve on "IP:PORT". Return: 0 or a negative error number. */
int wst_init (struct wst_server *s, const char *listen,
              const struct ctr_set *counters);

/** wst_finish() - stop serving. */
void wst_finish (struct wst_server *s);

/** struct wst_metrics - what wst_handle() shows; borrowed */
struct wst_metrics
{
  const struct ctr_set *counters;
  const struct hst_set *times;
};

/** wst_handle() - GET /metrics on a web server; @priv is a wst_metrics. */
void wst_handle (struct web_request *r, const struct web_call *call,
                 void *priv);

#endif
