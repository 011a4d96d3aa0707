#include "dispatch_parts.h"

#include <errno.h>
#include <talloc.h>
#include <utlist.h>

#include "logline.h"
#include "wire.h"
#include "xtalloc.h"

/* Least time between two batches that are not full, ns.  */
#define BATCH_INTERVAL_NS (25 * CLK_MS)

/** struct dsp_cancel_batch - a batch of an entry */
struct dsp_cancel_batch
{
  struct dsp_dispatch *dispatch;
  struct cbt_batch batch;
  struct dsp_cancel_batch *prev;
  struct dsp_cancel_batch *next;
};

static struct dsp_cancel_batch *
new_batch (struct dsp_dispatch *d)
{
  struct dsp_cancel_batch *b
      = xtalloc_zero (d->mem_ctx, struct dsp_cancel_batch);

  b->dispatch = d;
  cbt_init (&b->batch, b);
  return b;
}

static void
free_batch (struct dsp_cancel_batch *b)
{
  cbt_finish (&b->batch);
  talloc_free (b);
}

static void step (struct dsp_cancel_batch *b, uint64_t now_ns);

static void
logged (bool ok, void *priv)
{
  struct dsp_cancel_batch *b = priv;

  if (!ok)
    {
      log_line (LOGL_WARN, "cancels-unconfirmed", "jobs=%u unreplied=%u",
                b->batch.count, b->batch.unreplied);
      ctr_add (&b->dispatch->counters, DSP_CANCELS_UNCONFIRMED,
               b->batch.count);
    }
  cbt_logged (&b->batch, ok);
  step (b, clk_boot ());
}

static void
write_to_log (struct dsp_cancel_batch *b)
{
  const struct dsp_cancel_log *log = &b->dispatch->cancel_log;

  if (log->append == NULL)
    {
      logged (false, b);
      return;
    }
  log_line (LOGL_INFO, "cancels-logged", "jobs=%u unreplied=%u",
            b->batch.count, b->batch.unreplied);
  ctr_add (&b->dispatch->counters, DSP_CANCELS_LOGGED, b->batch.count);
  log->append ((const char *const *)b->batch.ids, b->batch.count, logged, b,
               log->priv);
}

static void
step (struct dsp_cancel_batch *b, uint64_t now_ns)
{
  switch (cbt_step (&b->batch, now_ns))
    {
    case CBT_WAIT:
      break;
    case CBT_WRITE:
      write_to_log (b);
      break;
    case CBT_DONE:
      DL_DELETE (b->dispatch->batches, b);
      free_batch (b);
      break;
    }
}

static void
replied (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct dsp_cancel_batch *b = priv;

  (void)conn;
  (void)res;
  cbt_replied (&b->batch, err == 0);
  step (b, clk_boot ());
}

/* Send the batch that is being filled to all entries that answer.  */
static void
send_unsent (struct dsp_dispatch *d, uint64_t now_ns)
{
  struct dsp_cancel_batch *b = d->unsent;
  lvp_cancels message = { .ids = { b->batch.count, b->batch.ids } };
  unsigned entries;
  bool missed;

  d->unsent = NULL;
  d->batch_sent_ns = now_ns;
  DL_APPEND (d->batches, b);
  missed = !per_call_all (&d->peers, LVP_CANCEL, (xdrproc_t)xdr_lvp_cancels,
                          &message, replied, b, &entries)
           || per_misses_any (&d->peers, now_ns);
  cbt_sent (&b->batch, entries, missed, now_ns);
}

void
dsp_send_cancels (struct dsp_dispatch *d, uint64_t now_ns)
{
  struct dsp_cancel_batch *b;
  struct dsp_cancel_batch *next;

  if (d->unsent != NULL)
    send_unsent (d, now_ns);
  DL_FOREACH_SAFE (d->batches, b, next)
  step (b, now_ns);
}

void
dsp_finish_cancels (struct dsp_dispatch *d)
{
  struct dsp_cancel_batch *b;

  if (d->unsent != NULL)
    free_batch (d->unsent);
  while ((b = d->batches) != NULL)
    {
      DL_DELETE (d->batches, b);
      free_batch (b);
    }
}

/* Who waits for these cancels has been told of the log meanwhile: the replies
   are of no use.  */
void
dsp_send_all_cancels (struct dsp_dispatch *d, struct onc_conn *conn)
{
  const struct cnl_cancel *cancel;
  lvp_name ids[LVP_CANCELS_MAX];
  lvp_cancels message = { .ids = { 0, ids } };

  DL_FOREACH (d->cancels.list, cancel)
  {
    ids[message.ids.ids_len++] = cancel->id;
    if (message.ids.ids_len < LVP_CANCELS_MAX && cancel->next != NULL)
      continue;
    onc_call (conn, LVP_CANCEL, (xdrproc_t)xdr_lvp_cancels, &message, NULL,
              NULL);
    message.ids.ids_len = 0;
  }
}

/* Answer the caller of a job that is cancelled, and stop its runs.  */
static bool
cancel_open_job (struct dsp_dispatch *d, struct lv_slice id,
                 const char *source)
{
  struct jtb_job *job = jtb_find (&d->jobs, id);

  if (job == NULL)
    return false;
  log_line (LOGL_INFO, "job-cancelled", "job=%s from=%s open=%u orders=%u",
            job->id, source, job->open, job->orders);
  dsp_answer_cancelled (d, job);
  return true;
}

void
dsp_set_cancel_log (struct dsp_dispatch *d, const struct dsp_cancel_log *log)
{
  d->cancel_log = *log;
}

bool
dsp_cancel (struct dsp_dispatch *d, struct lv_slice id, struct cbt_call *call)
{
  bool open = cancel_open_job (d, id, "caller");
  uint64_t now_ns = clk_boot ();

  cnl_add (&d->cancels, id, now_ns);
  ctr_add (&d->counters, DSP_CANCELS, 1);
  if (d->unsent == NULL)
    d->unsent = new_batch (d);
  cbt_add (&d->unsent->batch, id, call);
  if (cbt_is_full (&d->unsent->batch)
      || clk_since (now_ns, d->batch_sent_ns) >= BATCH_INTERVAL_NS)
    send_unsent (d, now_ns);
  return open;
}

void
dsp_on_logged_cancel (struct dsp_dispatch *d, struct lv_slice id)
{
  cnl_add (&d->cancels, id, clk_boot ());
  ctr_add (&d->counters, DSP_CANCELS_READ, 1);
  cancel_open_job (d, id, "store");
}

void
dsp_on_cancel (struct dsp_dispatch *d, struct onc_conn *conn, uint32_t xid,
               XDR *args)
{
  lvp_cancels in;
  u_int i;

  if (!WIR_DECODE (lvp_cancels, args, &in))
    {
      onc_close (conn, -EBADMSG, "cancels cannot be decoded");
      return;
    }
  for (i = 0; i < in.ids.ids_len; i++)
    {
      struct lv_slice id = lv_slice_of (in.ids.ids_val[i]);

      cnl_add (&d->cancels, id, clk_boot ());
      if (cancel_open_job (d, id, "entry"))
        ctr_add (&d->counters, DSP_CANCELS_TOLD, 1);
    }
  WIR_FREE (lvp_cancels, &in);
  onc_reply (conn, xid, (xdrproc_t)(void *)xdr_void, NULL);
}
