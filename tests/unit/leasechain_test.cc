/* Simulation of the chain of leases from entries to minions, at the size of 55
   entries and 240 agents: each pair lives through pauses of both processes,
   cuts of the link between them and of the agent from its minion, and stops
   that take long.  */
#include <algorithm>
#include <cstdint>
#include <deque>
#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>
extern "C"
{
#include "lagoonvale/leasebounds.h"
#include "lagoonvale/renewal.h"
#include "lagoonvale/subset.h"
}

namespace
{
constexpr uint64_t kMs = 1000000;
constexpr uint64_t kStep = 5 * kMs;
constexpr uint64_t kTick = 25 * kMs;
constexpr uint64_t kPoll = 50 * kMs;
/* Times that the stops of an entry's runs take at their minion.  Each run takes
   50 ms at most, but there may be many.  */
constexpr uint64_t kStops[] = { 10 * kMs, 50 * kMs, 200 * kMs, 810 * kMs,
                                3000 * kMs };
constexpr uint64_t kNever = UINT64_MAX;
constexpr uint64_t kEnd = 12000 * kMs;
constexpr unsigned kEntries = 55, kAgents = 240, kServed = 12;

/* A span of time in which something is paused or cut.  */
struct Outage
{
  uint64_t begin, end;
  bool at (uint64_t now) const { return now >= begin && now < end; }
};

Outage
draw (std::mt19937 &random)
{
  static const uint64_t lengths[] = { 0, 200, 450, 550, 900, 1300, 3000 };
  uint64_t begin = 1000 + random () % 7000;
  return { begin * kMs, (begin + lengths[random () % 7]) * kMs };
}

/* Messages of one direction: they arrive in order, after a delay, and wait
   while the link is cut or the receiver paused.  */
struct Link
{
  struct Message
  {
    uint64_t at, value;
  };
  std::deque<Message> messages;
  void
  send (uint64_t now, uint64_t delay, uint64_t value)
  {
    messages.push_back ({ now + delay, value });
  }
  bool
  receive (uint64_t now, bool open, uint64_t *value)
  {
    if (!open || messages.empty () || messages.front ().at > now)
      return false;
    *value = messages.front ().value;
    messages.pop_front ();
    return true;
  }
};

/* One entry, one of its agents, and one run at a time on the minion there.  */
struct Pair
{
  std::mt19937 random;
  Outage entry_paused, agent_paused, cut, minion_cut;
  Link reports, answers, orders;
  /* What the entry believes.  */
  uint64_t stamp = 0, heard = 0;
  bool ordered = false, lost = false;
  uint64_t ordered_at = 0;
  /* What the agent believes; the connection begins confirmed.  */
  uint64_t confirmed = kMs, reported = 0, polled = 0;
  bool run = false;
  uint64_t given_up = 0;
  /* What the minion does: a run goes on until the lease or a stop ends it.  The
     lease is renewed for the runs of other entries, too.  */
  uint64_t lease_until = 0, stopped_at = kNever, stop_takes;
  unsigned starts = 0, stale = 0, overlaps = 0, requeued = 0, slow_stops = 0;

  explicit Pair (unsigned seed) : random (seed)
  {
    stop_takes = kStops[random () % (sizeof kStops / sizeof kStops[0])];
    for (Outage *o : { &entry_paused, &agent_paused, &cut, &minion_cut })
      *o = random () % 3 == 0 ? draw (random) : Outage{ 0, 0 };
  }

  uint64_t delay () { return (1 + random () % 30) * kMs; }

  uint64_t run_until () const { return std::min (lease_until, stopped_at); }

  bool
  may_renew (uint64_t now) const
  {
    return run || now >= run_until () || now < given_up + LBD_STOP_GRACE_NS;
  }

  void
  renew (uint64_t now)
  {
    polled = now;
    if (now >= run_until ())
      stopped_at = now; /* a run that has ended does not go on */
    lease_until = lbd_lease_expiry (now, LBD_LEASE_NS);
  }

  void
  step_agent (uint64_t now)
  {
    uint64_t value;
    while (answers.receive (now, !cut.at (now), &value))
      if (value > confirmed)
        confirmed = value;
    while (orders.receive (now, !cut.at (now), &value))
      if (lbd_is_fresh (value, now) && lbd_is_fresh (confirmed, now)
          && !minion_cut.at (now) && now >= run_until ())
        {
          run = true;
          starts++;
          renew (now);
          stopped_at = kNever;
        }
      else
        stale++;
    if (now % kTick != 0)
      return;
    if (lbd_report_due (reported, run || ordered, now))
      {
        reported = now;
        reports.send (now, delay (), now);
      }
    if (run && !lbd_is_fresh (confirmed, now))
      {
        run = false;
        given_up = now;
        if (!minion_cut.at (now))
          stopped_at = now + stop_takes;
        slow_stops += stop_takes > LBD_STOP_GRACE_NS;
      }
    if (!minion_cut.at (now) && now >= polled + kPoll && may_renew (now))
      renew (now);
  }

  void
  step_entry (uint64_t now)
  {
    uint64_t value;
    while (reports.receive (now, !cut.at (now), &value))
      {
        stamp = value;
        heard = now;
        lost = false;
        answers.send (now, delay (), value);
      }
    if (heard == 0 || now % kTick != 0)
      return;
    lost = lost || !lbd_is_fresh (heard, now);
    if (ordered && lost && now >= lbd_runs_ended_by (heard))
      {
        /* The entry orders the task elsewhere from now on.  */
        requeued++;
        overlaps += run_until () > now;
        ordered = false;
      }
    if (!ordered && !lost && now >= ordered_at + 100 * kMs)
      {
        ordered = true;
        ordered_at = now;
        orders.send (now, delay (), stamp);
      }
  }

  void
  simulate ()
  {
    for (uint64_t now = kStep; now < kEnd; now += kStep)
      {
        if (!agent_paused.at (now))
          step_agent (now);
        if (!entry_paused.at (now))
          step_entry (now);
      }
  }
};

std::vector<unsigned>
entries_of (const std::string &agent)
{
  std::vector<struct sst_member> members (kEntries);
  std::vector<unsigned> numbers (kEntries), chosen;
  for (unsigned i = 0; i < kEntries; i++)
    {
      const std::string name = "entry-" + std::to_string (i);
      numbers[i] = i;
      members[i] = { sst_rank (lv_slice_of (agent.c_str ()),
                               lv_slice_of (name.c_str ())),
                     true, false, &numbers[i] };
    }
  sst_select (members.data (), kEntries, kServed);
  for (const auto &m : members)
    if (m.selected)
      chosen.push_back (*(unsigned *)m.priv);
  return chosen;
}

// Guards against a silent, paused or cut off process whose work is started
// elsewhere while it goes on, and against orders under a permission that has
// run out, among 2,880 pairs at once.
TEST (LeaseChain, NoRunOutlivesWhatItsEntryWaitsFor)
{
  unsigned starts = 0, stale = 0, overlaps = 0, requeued = 0, slow_stops = 0;
  for (unsigned a = 0; a < kAgents; a++)
    for (unsigned e : entries_of ("agent-" + std::to_string (a)))
      {
        Pair pair (a * kEntries + e);
        pair.simulate ();
        starts += pair.starts;
        stale += pair.stale;
        overlaps += pair.overlaps;
        requeued += pair.requeued;
        slow_stops += pair.slow_stops;
      }
  EXPECT_EQ (overlaps, 0u);
  /* The outages bring about what the bounds are for.  */
  EXPECT_GT (starts, kAgents * kServed);
  EXPECT_GT (stale, 0u);
  EXPECT_GT (requeued, 0u);
  EXPECT_GT (slow_stops, 0u);
  RecordProperty ("requeued", requeued);
}
}
