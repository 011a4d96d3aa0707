#include <errno.h>
#include <string.h>
#include <talloc.h>

#include "clock.h"
#include "entry_parts.h"
#include "logline.h"
#include "wire.h"
#include "tick.h"
#include "xtalloc.h"

#define RETRY_MS 50

/* State of binding a key at each of its homes in turn.  */
struct ent_binding
{
  struct ent_record *rec;
  unsigned bucket;
  uint64_t homes_digest; /* of the set of homes being bound */
  unsigned next_home;
  unsigned confirmed; /* homes that rule out an earlier binding */
  bool call_pending;
  uint64_t deadline_ns;
  struct tck_timer *timer;
};

struct bind_call
{
  struct ent_entry *entry;
  struct sid_id sid;
};

static void bind_next_home (struct ent_binding *b);

static void
fail_bind (struct ent_binding *b, const char *code, const char *detail)
{
  struct ent_record *rec = b->rec;
  struct req_refusal why;

  /* not_run is false: another submission with this key may have run.  */
  req_refuse (&why, 503, code, "bind", false, "%s", detail);
  why.retry_after_ms = 1000;
  rec->binding = NULL;
  talloc_free (b);
  if (rec->core.in_flight > 0)
    {
      /* An adopted submission that has started tasks continues without its
         key.  */
      ent_record_open (rec);
      return;
    }
  ent_record_refuse (rec, &why);
}

static void
on_retry_timer (void *priv)
{
  struct ent_binding *b = priv;

  b->timer = NULL;
  bind_next_home (b);
}

static void
retry_later (struct ent_binding *b, const char *code, const char *detail)
{
  b->call_pending = false;
  if (clk_boot () >= b->deadline_ns)
    {
      fail_bind (b, code, detail);
      return;
    }
  b->timer = tck_once (b, b->rec->entry->ev, RETRY_MS, on_retry_timer, b);
}

static void
submit_as_bound (struct ent_binding *b, const struct sid_id *sid)
{
  struct ent_record *rec = b->rec;
  struct ent_entry *e = rec->entry;
  struct sid_id other = *sid;
  struct req_request *r;

  rec->binding = NULL;
  talloc_free (b);
  if (rec->core.in_flight > 0)
    {
      ent_record_open (rec);
      return;
    }
  r = ent_record_drop (rec);
  r->known_not_run = false;
  e->events->submit_as (e, r, &other);
}

static void
finish_bind (struct ent_binding *b)
{
  struct ent_record *rec = b->rec;

  if (b->confirmed == 0)
    {
      fail_bind (b, "key_home_young",
                 "the key's homes do not know its past far enough back; send "
                 "first_sent_ms, or try again later");
      return;
    }
  ctr_add (&rec->entry->counters, ENT_KEYS_BOUND, 1);
  rec->binding = NULL;
  talloc_free (b);
  if (rec->core.in_flight > 0)
    {
      ent_record_open (rec);
      return;
    }
  rec->request->known_not_run
      = rec->ballot > 0 || !ent_maybe_adopted (rec->entry, &rec->sid);
  ent_open_or_refuse (rec);
}

static void
handle_bind_reply (struct ent_binding *b, const lvp_bind_res *res)
{
  const struct ros_home *home = &b->rec->entry->roster.homes[b->bucket];
  struct sid_id sid = wir_to_sid (&res->sid);

  switch (res->status)
    {
    case LVP_BIND_OTHER:
      submit_as_bound (b, &sid);
      return;
    case LVP_BIND_VIEW:
      b->next_home = 0;
      b->confirmed = 0;
      retry_later (b, "key_home_unsettled",
                   "the key's homes and this entry do not agree who they are");
      return;
    case LVP_BIND_FULL:
      fail_bind (b, "key_home_full", "the key's home can take no more keys");
      return;
    case LVP_BIND_OK:
      b->confirmed++;
      break;
    case LVP_BIND_FRESH:
      break;
    }
  b->next_home++;
  b->call_pending = false;
  if (ros_homes_digest (&b->rec->entry->roster, b->bucket) != b->homes_digest
      || (b->next_home < ROS_HOMES && home->member[b->next_home] != 0))
    bind_next_home (b);
  else
    finish_bind (b);
}

static void
on_bind_reply (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct bind_call *call = priv;
  struct ent_record *rec = ent_record_find (call->entry, &call->sid);
  struct ent_binding *b = rec != NULL ? rec->binding : NULL;
  lvp_bind_res answer;

  (void)conn;
  talloc_free (call);
  if (b == NULL || !b->call_pending)
    return;
  if (err != 0 || !WIR_DECODE (lvp_bind_res, res, &answer))
    retry_later (b, "key_home_unreachable",
                 "a home of the key cannot be reached");
  else
    handle_bind_reply (b, &answer);
}

static void
send_bind (struct ent_binding *b, struct ent_link *link)
{
  struct ent_record *rec = b->rec;
  struct ent_entry *e = rec->entry;
  struct bind_call *call = xtalloc_zero (e->ev, struct bind_call);
  lvp_bind msg;

  call->entry = e;
  call->sid = rec->sid;
  memset (&msg, 0, sizeof msg);
  msg.key = rec->request->key;
  msg.sid = wir_sid (&rec->sid);
  msg.homes = b->homes_digest;
  msg.first_sent_ms = rec->request->first_sent_ms;
  b->call_pending = true;
  if (onc_call (link->conn, LVP_BIND, (xdrproc_t)xdr_lvp_bind, &msg,
                on_bind_reply, call)
      != 0)
    {
      talloc_free (call);
      retry_later (b, "key_home_unreachable",
                   "a home of the key cannot be reached");
    }
}

static void
bind_next_home (struct ent_binding *b)
{
  struct ent_entry *e = b->rec->entry;
  uint64_t digest = ros_homes_digest (&e->roster, b->bucket);
  uint64_t home;
  struct ent_link *link;

  if (digest != b->homes_digest)
    {
      /* The homes have changed: restart with the first.  */
      b->homes_digest = digest;
      b->next_home = 0;
      b->confirmed = 0;
    }
  home = e->roster.homes[b->bucket].member[b->next_home];
  link = home != 0 ? ent_link_find (e, home) : NULL;
  if (link != NULL && ent_link_ready (link))
    send_bind (b, link);
  else
    retry_later (b, "key_home_unreachable",
                 "a home of the key cannot be reached");
}

void
ent_bind_key (struct ent_record *rec)
{
  struct ent_entry *e = rec->entry;
  struct ent_binding *b = xtalloc_zero (rec, struct ent_binding);

  b->rec = rec;
  b->bucket = ros_bucket (lv_slice_of (rec->request->key));
  b->deadline_ns = clk_boot () + e->set.silent_ms * CLK_MS;
  rec->phase = ENT_BINDING;
  rec->binding = b;
  bind_next_home (b);
}
