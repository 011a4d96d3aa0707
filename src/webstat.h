/**
 * DOC: webstat
 *
 * HTTP endpoints for metrics and probes: GET /metrics, /healthz and /readyz,
 * served from a thread of their own or, for /metrics alone, by a web server.
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
 * struct wst_server - server of all three endpoints; caller-owned
 * @counters: exported by /metrics
 * @ready: reported by /readyz
 * @daemon: HTTP server, with its own thread
 */
struct wst_server
{
  const struct ctr_set *counters;
  atomic_bool ready;
  struct MHD_Daemon *daemon;
};

/** wst_init() - start serving on "IP:PORT". Return: 0 or a negative error
 * number. */
int wst_init (struct wst_server *s, const char *listen,
              const struct ctr_set *counters);

/** wst_finish() - stop serving. */
void wst_finish (struct wst_server *s);

/** struct wst_metrics - metrics that wst_handle() exports; borrowed */
struct wst_metrics
{
  const struct ctr_set *counters;
  const struct hst_set *times;
};

/** wst_handle() - web_handler_fn for /metrics; answers 404 to other paths.
 * @priv is a struct wst_metrics. */
void wst_handle (struct web_request *r, const struct web_call *call,
                 void *priv);

#endif
