#include "dispatch_parts.h"

#include <errno.h>

#include "logline.h"
#include "wire.h"

/* Send the cancels from FIRST on to the entry at CONN, or to all entries if
   that is NULL, in messages of at most LVP_CANCELS_MAX.  */
static void
send_from (struct dsp_dispatch *d, const struct cnl_cancel *first,
           struct onc_conn *conn)
{
  const struct cnl_cancel *cancel;
  lvp_name ids[LVP_CANCELS_MAX];
  lvp_cancels message = { .ids = { 0, ids } };

  for (cancel = first; cancel != NULL; cancel = cancel->next)
    {
      ids[message.ids.ids_len++] = cancel->id;
      if (message.ids.ids_len < LVP_CANCELS_MAX && cancel->next != NULL)
        continue;
      if (conn != NULL)
        onc_call (conn, LVP_CANCEL, (xdrproc_t)xdr_lvp_cancels, &message, NULL,
                  NULL);
      else
        per_call_all (&d->peers, LVP_CANCEL, (xdrproc_t)xdr_lvp_cancels,
                      &message);
      message.ids.ids_len = 0;
    }
}

void
dsp_send_cancels (struct dsp_dispatch *d)
{
  const struct cnl_cancel *oldest = d->cancels.list;
  const struct cnl_cancel *first;

  if (oldest == NULL || d->unsent_cancels == 0)
    return;
  /* In this list, the one before the head is the newest.  */
  for (first = oldest->prev; --d->unsent_cancels > 0 && first != oldest;)
    first = first->prev;
  d->unsent_cancels = 0;
  send_from (d, first, NULL);
}

void
dsp_send_all_cancels (struct dsp_dispatch *d, struct onc_conn *conn)
{
  send_from (d, d->cancels.list, conn);
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

bool
dsp_cancel (struct dsp_dispatch *d, struct lv_slice id)
{
  bool open = cancel_open_job (d, id, "caller");

  if (cnl_add (&d->cancels, id, clk_boot ()))
    d->unsent_cancels++;
  ctr_add (&d->counters, DSP_CANCELS, 1);
  return open;
}

void
dsp_on_cancel (struct dsp_dispatch *d, struct onc_conn *conn, XDR *args)
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
}
