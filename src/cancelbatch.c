#include "cancelbatch.h"

#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "clock.h"
#include "xtalloc.h"

void
cbt_init (struct cbt_batch *b, void *mem_ctx)
{
  memset (b, 0, sizeof *b);
  b->mem_ctx = mem_ctx;
}

static void
detach (struct cbt_batch *b, struct cbt_call *call)
{
  DL_DELETE (b->calls, call);
  call->batch = NULL;
}

void
cbt_finish (struct cbt_batch *b)
{
  while (b->calls != NULL)
    detach (b, b->calls);
  while (b->count > 0)
    talloc_free (b->ids[--b->count]);
}

bool
cbt_is_full (const struct cbt_batch *b)
{
  return b->count == LVP_CANCELS_MAX;
}

void
cbt_add (struct cbt_batch *b, struct lv_slice id, struct cbt_call *call)
{
  b->ids[b->count++] = xtalloc_strndup (b->mem_ctx, id.data, id.len);
  call->batch = b;
  DL_APPEND (b->calls, call);
}

void
cbt_leave (struct cbt_call *call)
{
  detach (call->batch, call);
}

void
cbt_sent (struct cbt_batch *b, unsigned entries, bool missed, uint64_t now_ns)
{
  b->sent_ns = now_ns;
  b->unreplied = entries;
  b->missed = missed;
}

void
cbt_replied (struct cbt_batch *b, bool ok)
{
  b->unreplied--;
  if (!ok)
    b->missed = true;
}

void
cbt_logged (struct cbt_batch *b, bool ok)
{
  b->log = ok ? CBT_LOGGED : CBT_LOG_FAILED;
}

static void
answer_calls (struct cbt_batch *b, bool confirmed)
{
  struct cbt_call *call;

  while ((call = b->calls) != NULL)
    {
      detach (b, call);
      call->done (confirmed, call->priv);
    }
}

enum cbt_step
cbt_step (struct cbt_batch *b, uint64_t now_ns)
{
  bool late
      = b->unreplied > 0 && clk_since (now_ns, b->sent_ns) >= CBT_REPLY_NS;

  if (late)
    b->missed = true;
  if (b->missed && b->log == CBT_UNLOGGED)
    {
      b->log = CBT_LOGGING;
      return CBT_WRITE;
    }
  if (b->log == CBT_LOG_FAILED)
    answer_calls (b, false);
  else if (b->log != CBT_LOGGING && (b->unreplied == 0 || late))
    answer_calls (b, true);
  return b->unreplied == 0 && b->log != CBT_LOGGING ? CBT_DONE : CBT_WAIT;
}
