#include <errno.h>
#include <string.h>
#include <talloc.h>

#include "clock.h"
#include "entry.h"
#include "logline.h"
#include "wire.h"

#define RETRY_MS 50

/* Binding a key at its homes, one after the other.  */
struct ent_bind
{
  struct ent_record *rec;
  unsigned bucket;
  uint64_t homes;  /* digest of the homes that were asked */
  unsigned home;   /* the one to ask next */
  unsigned proven; /* homes that know the key's whole past */
  bool asked;
  uint64_t deadline_ns;
  struct tevent_timer *timer;
};

struct bind_call
{
  struct ent_entry *entry;
  struct sid_id sid;
};

static void ask (struct ent_bind *b);

static void
give_up (struct ent_bind *b, const char *code, const char *detail)
{
  struct ent_record *rec = b->rec;
  struct req_refusal why;

  /* Another submission of this key may have run.  */
  req_refuse (&why, 503, code, "bind", false, "%s", detail);
  why.retry_after_ms = 1000;
  rec->bind = NULL;
  talloc_free (b);
  if (rec->core.in_flight > 0)
    {
      /* An adopted submission that has started goes on without its key.  */
      ent_record_open (rec);
      return;
    }
  ent_record_refuse (rec, &why);
}

static void
retry (struct tevent_context *ev, struct tevent_timer *te, struct timeval at,
       void *priv)
{
  struct ent_bind *b = priv;

  (void)ev;
  (void)te;
  (void)at;
  b->timer = NULL;
  ask (b);
}

static void
ask_later (struct ent_bind *b, const char *code, const char *detail)
{
  b->asked = false;
  if (clk_now () >= b->deadline_ns)
    {
      give_up (b, code, detail);
      return;
    }
  b->timer = tevent_add_timer (b->rec->entry->ev, b,
                               tevent_timeval_current_ofs (0, RETRY_MS * 1000),
                               retry, b);
}

static void
bound_to_other (struct ent_bind *b, const struct sid_id *sid)
{
  struct ent_record *rec = b->rec;
  struct ent_entry *e = rec->entry;
  struct sid_id other = *sid;
  struct req_request *r;

  rec->bind = NULL;
  talloc_free (b);
  if (rec->core.in_flight > 0)
    {
      ent_record_open (rec);
      return;
    }
  r = ent_record_drop (rec);
  r->known_not_run = false;
  ent_submit_as (e, r, &other);
}

static void
bound_all (struct ent_bind *b)
{
  struct ent_record *rec = b->rec;

  if (b->proven == 0)
    {
      give_up (b, "key_home_young",
               "the key's homes do not know its past far enough back; send "
               "first_sent_ms, or try again later");
      return;
    }
  ctr_add (&rec->entry->counters, ENT_KEYS_BOUND, 1);
  rec->bind = NULL;
  talloc_free (b);
  if (rec->core.in_flight > 0)
    {
      ent_record_open (rec);
      return;
    }
  rec->body->known_not_run
      = rec->ballot > 0 || !ent_maybe_adopted (rec->entry, &rec->sid);
  ent_open_or_refuse (rec);
}

static void
take (struct ent_bind *b, const lvp_bind_res *res)
{
  const struct ros_home *home = &b->rec->entry->roster.homes[b->bucket];
  struct sid_id sid = wir_to_sid (&res->sid);

  switch (res->status)
    {
    case LVP_BIND_OTHER:
      bound_to_other (b, &sid);
      return;
    case LVP_BIND_VIEW:
      b->home = 0;
      b->proven = 0;
      ask_later (b, "key_home_unsettled",
                 "the key's homes and this entry do not agree who they are");
      return;
    case LVP_BIND_FULL:
      give_up (b, "key_home_full", "the key's home can take no more keys");
      return;
    case LVP_BIND_OK:
      b->proven++;
      break;
    case LVP_BIND_FRESH:
      break;
    }
  b->home++;
  b->asked = false;
  if (ros_homes_digest (&b->rec->entry->roster, b->bucket) != b->homes
      || (b->home < ROS_HOMES && home->member[b->home] != 0))
    ask (b);
  else
    bound_all (b);
}

static void
on_bound (struct onc_conn *conn, int err, XDR *res, void *priv)
{
  struct bind_call *call = priv;
  struct ent_record *rec = ent_record_find (call->entry, &call->sid);
  struct ent_bind *b = rec != NULL ? rec->bind : NULL;
  lvp_bind_res answer;

  (void)conn;
  talloc_free (call);
  if (b == NULL || !b->asked)
    return;
  if (err != 0 || !WIR_DECODE (lvp_bind_res, res, &answer))
    ask_later (b, "key_home_unreachable",
               "a home of the key cannot be reached");
  else
    take (b, &answer);
}

static void
send_bind (struct ent_bind *b, struct ent_link *link)
{
  struct ent_record *rec = b->rec;
  struct ent_entry *e = rec->entry;
  struct bind_call *call = talloc_zero (e->ev, struct bind_call);
  lvp_bind msg;

  call->entry = e;
  call->sid = rec->sid;
  memset (&msg, 0, sizeof msg);
  msg.key = rec->body->key;
  msg.sid = wir_sid (&rec->sid);
  msg.homes = b->homes;
  msg.first_sent_ms = rec->body->first_sent_ms;
  b->asked = true;
  if (onc_call (link->conn, LVP_BIND, (xdrproc_t)xdr_lvp_bind, &msg, on_bound,
                call)
      != 0)
    {
      talloc_free (call);
      ask_later (b, "key_home_unreachable",
                 "a home of the key cannot be reached");
    }
}

static void
ask (struct ent_bind *b)
{
  struct ent_entry *e = b->rec->entry;
  uint64_t digest = ros_homes_digest (&e->roster, b->bucket);
  uint64_t home;
  struct ent_link *link;

  if (digest != b->homes)
    {
      /* The homes have changed: begin again with the first.  */
      b->homes = digest;
      b->home = 0;
      b->proven = 0;
    }
  home = e->roster.homes[b->bucket].member[b->home];
  link = home != 0 ? ent_link_find (e, home) : NULL;
  if (link != NULL && ent_link_ready (link))
    send_bind (b, link);
  else
    ask_later (b, "key_home_unreachable",
               "a home of the key cannot be reached");
}

void
ent_bind (struct ent_record *rec)
{
  struct ent_entry *e = rec->entry;
  struct ent_bind *b = talloc_zero (rec, struct ent_bind);

  b->rec = rec;
  b->bucket = ros_bucket (lv_slice_of (rec->body->key));
  b->deadline_ns = clk_now () + e->set.silent_ms * CLK_MS;
  rec->phase = ENT_BINDING;
  rec->bind = b;
  ask (b);
}
