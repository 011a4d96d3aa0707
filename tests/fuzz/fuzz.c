/**
 * DOC: fuzz
 *
 * libFuzzer target for the parsers of untrusted input: rule files, ids,
 * membership and rules records, submissions and RPC messages.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "lagoonvale/lagoonvale.h"
#include "request.h"
#include "wire.h"

#define FINDINGS_MAX 4

static void
fuzz_rules (struct lv_slice text)
{
  struct rul_error findings[FINDINGS_MAX];
  uint32_t count;
  struct rul_set *set = rul_parse (NULL, text, findings, FINDINGS_MAX, &count);

  if ((set == NULL) != (count > 0))
    abort ();
  talloc_free (set);
}

static void
fuzz_records (struct lv_slice text)
{
  void *mem_ctx = talloc_new (NULL);
  struct ros_roster *roster = talloc (mem_ctx, struct ros_roster);
  struct rvs_state state;

  ros_init (roster, mem_ctx);
  ros_apply (roster, 1, 1, text);
  ros_load (roster, 2, 2, text);
  ros_finish (roster);
  rvs_init (&state, mem_ctx);
  rvs_start_at (&state, 1);
  rvs_apply (&state, 1, 1, text);
  rvs_finish (&state);
  talloc_free (mem_ctx);
}

static void
fuzz_submission (struct lv_slice text)
{
  struct req_request *r = req_new (REQ_SUBMIT);
  struct req_refusal why;
  struct sid_id sid;

  sid_parse (&sid, text);
  r->raw = talloc_memdup (r, text.data, text.len);
  r->raw_len = text.len;
  if (req_parse (r, &why) && (r->count < 1 || r->count > REQ_TASKS_MAX))
    abort ();
  talloc_free (r);
}

static void
fuzz_message (struct lv_slice text)
{
  XDR xdr;
  lvp_start start;
  lvp_outcome outcome;
  lvp_fence_res fence;

  xdrmem_create (&xdr, (char *)text.data, (u_int)text.len, XDR_DECODE);
  WIR_DECODE (lvp_start, &xdr, &start);
  WIR_FREE (lvp_start, &start);
  xdrmem_create (&xdr, (char *)text.data, (u_int)text.len, XDR_DECODE);
  WIR_DECODE (lvp_outcome, &xdr, &outcome);
  WIR_FREE (lvp_outcome, &outcome);
  xdrmem_create (&xdr, (char *)text.data, (u_int)text.len, XDR_DECODE);
  WIR_DECODE (lvp_fence_res, &xdr, &fence);
  WIR_FREE (lvp_fence_res, &fence);
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct lv_slice text = { (const char *)data, size };

  fuzz_rules (text);
  fuzz_records (text);
  fuzz_submission (text);
  fuzz_message (text);
  return 0;
}
