/**
 * DOC: dispatch_where
 *
 * Explains where a job would go now, and why, without accepting it: the
 * candidates with what they lack and what they cost, and what the dispatcher
 * would do.  Changes nothing.
 */
#ifndef LV_DISPATCH_WHERE_H
#define LV_DISPATCH_WHERE_H

#include "web.h"

/**
 * dsp_where_handle() - answer POST /where
 * @priv: struct dsp_dispatch
 *
 * The body is an object with queue, tasks, mcores, memory_mb, accelerators and
 * estimate_ms; all but queue may be left out.  400 with an error if it cannot
 * be read, 404 if the queue is unknown.
 */
void dsp_where_handle (struct web_request *r, const struct web_call *call,
                       void *priv);

#endif
