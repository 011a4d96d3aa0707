/**
 * DOC: fuzz
 *
 * libFuzzer target for the parsers of untrusted input: rule files, settings,
 * ids, membership and rules records, submissions, what callers, minions and
 * the store of the platform send, amounts, paths, and RPC messages of both
 * directions.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "lagoonvale/lagoonvale.h"
#include "lagoonvale/uri.h"
#include "jsonx.h"
#include "pfm_config.h"
#include "pfm_job.h"
#include "pfm_listing.h"
#include "pfm_page.h"
#include "request.h"
#include "settings.h"
#include "wire.h"
#include "xtalloc.h"

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
  void *mem_ctx = xtalloc_check (talloc_new (NULL));
  struct ros_roster *roster = xtalloc (mem_ctx, struct ros_roster);
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
  r->raw = xtalloc_memdup (r, text.data, text.len);
  r->raw_len = text.len;
  if (req_parse (r, &why) && (r->count < 1 || r->count > REQ_TASKS_MAX))
    abort ();
  talloc_free (r);
}

static void
fuzz_config (struct lv_slice text)
{
  struct cat_config *config = pfm_config_decode (NULL, text);

  if (config != NULL)
    cat_find (config, lv_slice_of ("jobs.example"), text);
  talloc_free (config);
}

static void
fuzz_platform (struct lv_slice text)
{
  void *mem_ctx = xtalloc_check (talloc_new (NULL));
  struct json_object *json = jsx_parse (text);
  struct mnn_listing listing = { 0 };
  struct mnn_report report = { 0 };
  struct pfm_page page = { 0 };
  struct pfm_job job = { .count = 0 };
  const char *error;

  if (pfm_job_decode (json, &job, &error) == 0 && job.count == 0)
    abort ();
  if (pfm_listing_decode (mem_ctx, json, &listing) == 0
      && listing.incarnation == 0)
    abort ();
  pfm_report_decode (json, &report);
  pfm_page_decode (mem_ctx, json, &page);
  json_object_put (json);
  talloc_free (mem_ctx);
}

/* A number that is taken over is the one that is written, and the rounding
   goes its way.  */
static void
fuzz_amounts (struct lv_slice text)
{
  struct json_object *json = json_object_new_object ();
  struct json_object *number = jsx_parse (text);
  double written = json_object_get_double (number);
  uint32_t down;
  uint32_t up;
  uint32_t whole;

  json_object_object_add (json, "n", number);
  if (jsx_get_amount (json, "n", JSX_DOWN, &down) == 0
      && jsx_get_amount (json, "n", JSX_UP, &up) == 0
      && (down > written || up < written || up - down > 1))
    abort ();
  if (jsx_get_amount (json, "n", JSX_WHOLE, &whole) == 0 && whole != written)
    abort ();
  json_object_put (json);
}

/* The normal form of a path is its own normal form, and stands for the same
   bytes.  */
static void
fuzz_paths (struct lv_slice text)
{
  void *mem_ctx = xtalloc_check (talloc_new (NULL));
  struct lv_slice path = lv_slice_of (xtalloc_strndup (mem_ctx, text.data,
                                                       text.len));
  struct lv_slice normal = lv_slice_of (uri_path (mem_ctx, path));
  struct lv_slice again = lv_slice_of (uri_path (mem_ctx, normal));

  if (!lv_slice_eq (again, normal)
      || !lv_slice_eq (uri_decode (mem_ctx, normal),
                       uri_decode (mem_ctx, path)))
    abort ();
  talloc_free (mem_ctx);
}

static void
fuzz_store_records (struct lv_slice text)
{
  struct pfm_item item;

  while (pfm_next_record (&text, &item))
    if (item.key.len > UINT8_MAX)
      abort ();
}

static void
fuzz_settings (struct lv_slice text)
{
  struct values
  {
    char *name;
    char *listen;
    uint64_t slots;
    struct set_strings seeds;
  } out = { 0 };
  static const struct set_key keys[] = {
    { "name", SET_STRING, offsetof (struct values, name), NULL, 0, 0, "" },
    { "http.listen", SET_ADDRESS, offsetof (struct values, listen), "", 0, 0,
      "" },
    { "slots", SET_UINT, offsetof (struct values, slots), "8", 1, 100, "" },
    { "seeds", SET_STRINGS, offsetof (struct values, seeds), "", 0, 0, "" },
    { NULL, SET_STRING, 0, NULL, 0, 0, NULL },
  };
  void *mem_ctx = xtalloc_check (talloc_new (NULL));
  char *copy = xtalloc_strndup (mem_ctx, text.data, text.len);
  struct err_error err;

  if (set_parse (mem_ctx, keys, &out, "file", copy, &err) == 0
      && (out.name == NULL || out.slots < 1 || out.slots > 100))
    abort ();
  talloc_free (mem_ctx);
}

/* Decode TEXT as a message of TYPE, and free what was decoded.  */
#define FUZZ_MESSAGE(type, text)                                              \
  do                                                                          \
    {                                                                         \
      type message;                                                           \
      XDR xdr;                                                                \
                                                                              \
      xdrmem_create (&xdr, (char *)(text).data, (u_int)(text).len,            \
                     XDR_DECODE);                                             \
      if (WIR_DECODE (type, &xdr, &message))                                  \
        WIR_FREE (type, &message);                                            \
    }                                                                         \
  while (0)

static void
fuzz_messages (struct lv_slice text)
{
  FUZZ_MESSAGE (lvp_hello, text);
  FUZZ_MESSAGE (lvp_beat, text);
  FUZZ_MESSAGE (lvp_start, text);
  FUZZ_MESSAGE (lvp_outcome, text);
  FUZZ_MESSAGE (lvp_resolve, text);
  FUZZ_MESSAGE (lvp_fence, text);
  FUZZ_MESSAGE (lvp_fence_res, text);
  FUZZ_MESSAGE (lvp_forward, text);
  FUZZ_MESSAGE (lvp_forward_res, text);
  FUZZ_MESSAGE (lvp_sync_res, text);
  FUZZ_MESSAGE (lvp_join, text);
  FUZZ_MESSAGE (lvp_join_res, text);
  FUZZ_MESSAGE (lvp_report, text);
  FUZZ_MESSAGE (lvp_report_res, text);
  FUZZ_MESSAGE (lvp_ends, text);
  FUZZ_MESSAGE (lvp_loss, text);
  FUZZ_MESSAGE (lvp_order, text);
  FUZZ_MESSAGE (lvp_stop, text);
  FUZZ_MESSAGE (lvp_peer, text);
  FUZZ_MESSAGE (lvp_config_req, text);
  FUZZ_MESSAGE (lvp_config, text);
  FUZZ_MESSAGE (lvp_cancels, text);
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct lv_slice text = { (const char *)data, size };

  fuzz_rules (text);
  fuzz_records (text);
  fuzz_submission (text);
  fuzz_config (text);
  fuzz_platform (text);
  fuzz_amounts (text);
  fuzz_paths (text);
  fuzz_store_records (text);
  fuzz_settings (text);
  fuzz_messages (text);
  return 0;
}
