#include "lagoonvale/leasebounds.h"

bool
lbd_is_fresh (uint64_t at_ns, uint64_t now_ns)
{
  return now_ns < at_ns + LBD_CONFIRM_TIMEOUT_NS;
}

bool
lbd_order_is_fresh (uint64_t stamp_ns, uint64_t process_ns, uint64_t now_ns)
{
  return stamp_ns >= process_ns && lbd_is_fresh (stamp_ns, now_ns);
}

bool
lbd_report_due (uint64_t reported_ns, bool busy, uint64_t now_ns)
{
  uint64_t interval_ns = busy ? LBD_REPORT_INTERVAL_NS : LBD_IDLE_INTERVAL_NS;

  return now_ns >= reported_ns + interval_ns;
}

bool
lbd_may_order (uint32_t confirmed_ms)
{
  return confirmed_ms < LBD_LATE_MS;
}

uint64_t
lbd_lease_expiry (uint64_t sent_ns, uint64_t lease_ns)
{
  return sent_ns + lease_ns + lease_ns / LBD_DRIFT_PARTS;
}

uint64_t
lbd_runs_ended_by (uint64_t heard_ns)
{
  uint64_t stop_ns = heard_ns + LBD_CONFIRM_TIMEOUT_NS + LBD_REACTION_NS;

  return lbd_lease_expiry (stop_ns, LBD_LEASE_NS);
}

bool
lbd_covers_lease (uint64_t expires_ns, uint64_t now_ns)
{
  return expires_ns <= lbd_runs_ended_by (now_ns);
}
