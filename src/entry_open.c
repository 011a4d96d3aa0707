#include "entry_parts.h"
#include "logline.h"

void
ent_refuse (struct ent_entry *e, struct req_request *r,
            struct req_refusal *why)
{
  why->not_run = why->not_run && r->known_not_run;
  ctr_add (&e->counters, ENT_REFUSALS, 1);
  if (log_enabled (LOGL_INFO))
    log_line (LOGL_INFO, "refuse",
              "team=%s code=%s step=%s peer=%s not_run=%d detail=\"%s\"",
              r->team != NULL ? r->team : "-", why->code, why->step, why->peer,
              why->not_run, why->detail);
  req_reply (r, req_answer_refusal (why, r->has_sid ? &r->sid : NULL));
}

bool
ent_maybe_adopted (const struct ent_entry *e, const struct sid_id *sid)
{
  return sid->minted_ms <= e->maybe_adopted_ms;
}

void
ent_open_or_refuse (struct ent_record *rec)
{
  struct ent_entry *e = rec->entry;
  struct req_refusal why;

  if (ent_admit (e, rec->request, &why))
    {
      ent_record_open (rec);
      return;
    }
  why.not_run = why.not_run && rec->request->known_not_run;
  ent_record_refuse (rec, &why);
}
