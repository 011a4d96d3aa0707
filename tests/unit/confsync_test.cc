#include <algorithm>
#include <cerrno>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <string>
#include <talloc.h>
#include <vector>
extern "C"
{
#include "lagoonvale/confsync.h"
#include "lagoonvale/pacer.h"
#include "lagoonvale/textpool.h"
}

namespace
{
constexpr uint64_t kMs = 1000000;

/* Path prefix to priority.  */
using Queues = std::map<std::string, uint32_t>;

Queues
numbered (unsigned count)
{
  Queues out;
  for (unsigned i = 0; i < count; i++)
    out["/q" + std::to_string (i) + "/"] = i % 3;
  return out;
}

struct cat_config *
make_config (uint64_t version, const Queues &queues,
             const struct cat_config *former = nullptr)
{
  struct cat_config *c = cat_new (nullptr, version, queues.size ());
  uint32_t i = 0;
  for (const auto &q : queues)
    {
      struct cat_queue *to = &c->queues[i++];
      to->name = talloc_strdup (c, q.first.c_str ());
      to->host = talloc_strdup (c, "h.example");
      to->prefix = talloc_strdup (c, q.first.c_str ());
      to->service = talloc_strdup (c, "svc");
      to->priority = q.second;
    }
  EXPECT_EQ (cat_build_index (c), 0);
  cfs_link (c, former);
  return c;
}

/* Receives TARGET from SENDER until the transfer ends.  */
struct Receiver
{
  struct cfs_transfer transfer = {};
  struct cat_config *result = nullptr;
  unsigned pages = 0;
  unsigned queues = 0;
  ~Receiver ()
  {
    cfs_reset (&transfer);
    talloc_free (result);
  }
  int
  step (const struct cat_config *sender, const struct cat_config *current)
  {
    const struct cfs_request request = cfs_next_request (&transfer, current);
    struct cfs_page page;
    cfs_make_page (sender, &request, &page);
    pages++;
    queues += page.count;
    return cfs_accept (&transfer, current, &page, &result);
  }
  int
  run (const struct cat_config *sender, const struct cat_config *current)
  {
    int rc = 0;
    while (rc == 0 && result == nullptr)
      rc = step (sender, current);
    return rc;
  }
};

TEST (Confsync, SendsOnlyWhatChanged)
{
  Queues grown = numbered (1650);
  Queues one_more = grown;
  one_more["/new/"] = 1;
  Queues one_less = grown;
  one_less.erase ("/q7/");
  Queues changed = grown;
  changed["/q7/"] = 9;
  const struct
  {
    Queues before, after;
    bool sender_has_before;
    unsigned queues;
  } cases[] = {
    { {}, numbered (25), false, 25 },      { grown, one_more, true, 1 },
    { grown, one_less, true, 0 },          { grown, changed, true, 1 },
    { numbered (25), grown, true, 1625 },  { grown, changed, false, 1650 },
    { grown, numbered (25), true, 25 },    { grown, grown, true, 0 },
  };
  for (const auto &c : cases)
    {
      struct cat_config *before = make_config (4, c.before);
      struct cat_config *after
          = make_config (9, c.after, c.sender_has_before ? before : nullptr);
      Receiver r;
      EXPECT_EQ (r.run (after, c.before.empty () ? nullptr : before), 0);
      ASSERT_NE (r.result, nullptr);
      EXPECT_EQ (r.queues, c.queues);
      EXPECT_EQ (r.result->digest, after->digest);
      EXPECT_EQ (r.result->version, 9u);
      EXPECT_EQ (r.result->count, c.after.size ());
      talloc_free (before);
      talloc_free (after);
    }
}

TEST (Confsync, ReceiverThatIsSeveralVersionsBehindGetsAllChanges)
{
  struct cat_config *v1 = make_config (1, { { "/a/", 1 }, { "/b/", 1 } });
  struct cat_config *v2 = make_config (2, { { "/a/", 2 } }, v1);
  struct cat_config *v3 = make_config (3, { { "/a/", 2 }, { "/c/", 1 } }, v2);
  Receiver r;
  EXPECT_EQ (r.run (v3, v1), 0);
  ASSERT_NE (r.result, nullptr);
  EXPECT_EQ (r.result->digest, v3->digest);
  EXPECT_EQ (r.queues, 2u);
  for (auto *c : { v1, v2, v3 })
    talloc_free (c);
}

/* The sender dies in the middle of a transfer.  */
TEST (Confsync, GoesOnWithAnotherSenderAtTheSameQueue)
{
  struct cat_config *one = make_config (5, numbered (300));
  struct cat_config *other = make_config (5, numbered (300));
  Receiver r;
  EXPECT_EQ (r.step (one, nullptr), 0);
  EXPECT_EQ (r.step (one, nullptr), 0);
  EXPECT_EQ (r.run (other, nullptr), 0);
  ASSERT_NE (r.result, nullptr);
  EXPECT_EQ (r.queues, 300u);
  talloc_free (one);
  talloc_free (other);
}

TEST (Confsync, ANewerVersionAtTheSenderBeginsAnew)
{
  struct cat_config *v5 = make_config (5, numbered (300));
  struct cat_config *v6 = make_config (6, numbered (301));
  Receiver r;
  EXPECT_EQ (r.step (v5, nullptr), 0);
  EXPECT_EQ (r.step (v6, nullptr), -ESTALE);
  EXPECT_EQ (r.run (v6, nullptr), 0);
  ASSERT_NE (r.result, nullptr);
  EXPECT_EQ (r.result->version, 6u);
  talloc_free (v5);
  talloc_free (v6);
}

TEST (Confsync, BadPagesChangeNothingAndAreFetchedWhole)
{
  struct cat_config *before = make_config (4, numbered (200));
  Queues changed = numbered (200);
  for (int i = 0; i < 150; i++)
    changed["/q" + std::to_string (i) + "/"] = 7;
  struct cat_config *after = make_config (9, changed, before);
  const struct
  {
    const char *what;
    void (*spoil) (struct cfs_page *page);
    int rc;
    bool whole;
  } cases[] = {
    { "older version", [] (struct cfs_page *p) { p->version = 3; }, -ESTALE,
      false },
    { "base not held here", [] (struct cfs_page *p) { p->base = 2; }, -ESTALE,
      false },
    { "out of order",
      [] (struct cfs_page *p) { std::swap (p->queues[0], p->queues[1]); },
      -EBADMSG, true },
    { "empty, with more to come",
      [] (struct cfs_page *p) { p->count = 0; }, -EBADMSG, true },
    { "truncated", [] (struct cfs_page *p) { p->more = false; }, -EBADMSG,
      true },
    { "wrong digest",
      [] (struct cfs_page *p) {
        p->digest++;
        p->more = false;
      },
      -EBADMSG, true },
  };
  for (const auto &c : cases)
    {
      Receiver r;
      const struct cfs_request request
          = cfs_next_request (&r.transfer, before);
      struct cfs_page page;
      cfs_make_page (after, &request, &page);
      c.spoil (&page);
      EXPECT_EQ (cfs_accept (&r.transfer, before, &page, &r.result), c.rc)
          << c.what;
      EXPECT_EQ (r.result, nullptr) << c.what;
      EXPECT_EQ (cfs_next_request (&r.transfer, before).have,
                 c.whole ? 0u : 4u)
          << c.what;
      EXPECT_EQ (r.run (after, before), 0) << c.what;
      ASSERT_NE (r.result, nullptr) << c.what;
      EXPECT_EQ (r.result->digest, after->digest) << c.what;
    }
  talloc_free (before);
  talloc_free (after);
}

/* The versions that an operator publishes; each adds a queue, every third
   withdraws one.  */
struct Published
{
  std::vector<struct cat_config *> versions;
  std::vector<std::string> withdrawn; /* by version, "" for none */

  explicit Published (unsigned count)
  {
    Queues queues = numbered (100);
    for (unsigned v = 0; v < count; v++)
      {
        std::string gone = v % 3 == 2 ? "/q" + std::to_string (v) + "/" : "";
        queues["/new" + std::to_string (v) + "/"] = v;
        queues.erase (gone);
        versions.push_back (make_config (
            v + 1, queues, versions.empty () ? nullptr : versions.back ()));
        withdrawn.push_back (gone);
      }
  }
  ~Published ()
  {
    for (auto *c : versions)
      talloc_free (c);
  }
  /* Whether CONFIG is its version to the letter, without what was withdrawn. */
  bool
  has (const struct cat_config *config) const
  {
    bool known = config->version <= versions.size ()
                 && versions[config->version - 1]->digest == config->digest;
    for (unsigned v = 0; known && v < config->version; v++)
      known = withdrawn[v].empty ()
              || cat_find (config, lv_slice_of ("h.example"),
                           lv_slice_of (withdrawn[v].c_str ()))
                     == nullptr;
    return known;
  }
};

/* One of many entries that fetch configurations from each other.  */
struct SpreadEntry
{
  struct cat_config *config = nullptr;
  struct cfs_transfer transfer = {};
  unsigned sender = 0;
  unsigned regressions = 0;

  ~SpreadEntry () { restart (); }
  void
  restart ()
  {
    cfs_reset (&transfer);
    TALLOC_FREE (config);
  }
  void
  adopt (struct cat_config *next)
  {
    uint64_t before = config != nullptr ? config->version : 0;
    struct cat_config *former = config;
    cfs_link (next, former);
    config = cat_adopt (config, next);
    regressions += config->version < before;
  }
  void
  fetch_page (const struct cat_config *from)
  {
    const struct cfs_request request = cfs_next_request (&transfer, config);
    struct cfs_page page;
    struct cat_config *result = nullptr;
    cfs_make_page (from, &request, &page);
    cfs_accept (&transfer, config, &page, &result);
    if (result != nullptr)
      adopt (result);
  }
};

struct cat_config *
copy_config (const struct cat_config *c)
{
  Queues queues;
  for (uint32_t i = 0; i < c->count; i++)
    queues[c->queues[i].prefix] = c->queues[i].priority;
  return make_config (c->version, queues);
}

// Guards against a key that was withdrawn and is in use again, at the size of
// 55 entries: they restart at any time, two of them read the store, which is
// away for a while, all others fetch pages from peers that may be behind, be
// lost between two pages, or restart.
TEST (Confsync, WithdrawnQueuesStayWithdrawnWhileManyEntriesRestart)
{
  constexpr unsigned kEntries = 55, kReaders = 2, kVersions = 12;
  constexpr unsigned kVersionEvery = 60, kCalm = kVersionEvery * kVersions;
  for (unsigned seed = 1; seed <= 5; seed++)
    {
      std::mt19937 random (seed);
      Published published (kVersions);
      std::vector<SpreadEntry> entries (kEntries);
      unsigned wrong = 0, restarts = 0, regressions = 0;
      for (unsigned step = 0; step < kCalm + 200; step++)
        {
          unsigned newest = std::min (step / kVersionEvery, kVersions - 1);
          bool away = step > kCalm / 3 && step < kCalm / 2;
          for (unsigned i = 0; i < kEntries; i++)
            {
              SpreadEntry &e = entries[i];
              if (step < kCalm && random () % 400 == 0)
                {
                  e.restart ();
                  restarts++;
                }
              if (random () % 20 == 0)
                e.sender = random () % kEntries;
              const struct cat_config *from = entries[e.sender].config;
              /* An answer of the store may be late, and so of old.  */
              unsigned late = step < kCalm && random () % 4 == 0 ? newest / 2 : 0;
              if (i < kReaders && !away)
                e.adopt (copy_config (published.versions[newest - late]));
              else if (from != nullptr && random () % 10 != 0
                       && (e.config == nullptr
                           || from->version > e.config->version))
                e.fetch_page (from);
              wrong += e.config != nullptr && !published.has (e.config);
            }
        }
      for (const SpreadEntry &e : entries)
        {
          regressions += e.regressions;
          ASSERT_NE (e.config, nullptr);
          EXPECT_EQ (e.config->version, kVersions);
        }
      EXPECT_EQ (wrong, 0u);
      EXPECT_EQ (regressions, 0u);
      EXPECT_GT (restarts, 50u);
    }
}

TEST (Confsync, RemembersABoundedNumberOfRemovedQueues)
{
  for (unsigned removed : { CFS_REMOVED_MAX, CFS_REMOVED_MAX + 1 })
    {
      struct cat_config *before = make_config (1, numbered (removed + 1));
      struct cat_config *after = make_config (2, numbered (1), before);
      EXPECT_EQ (after->since, removed <= CFS_REMOVED_MAX ? 1u : 2u);
      Receiver r;
      EXPECT_EQ (r.run (after, before), 0);
      ASSERT_NE (r.result, nullptr);
      EXPECT_EQ (r.result->digest, after->digest);
      talloc_free (before);
      talloc_free (after);
    }
}

// Guards against texts of a configuration that share storage though they
// differ, and against each one costing an allocation of its own.
TEST (Textpool, KeepsEachTextAndStoresRepeatedOnesOnce)
{
  void *mem_ctx = talloc_new (nullptr);
  struct txp_pool pool;
  std::vector<const char *> kept;
  std::string large (100000, 'x');
  txp_init (&pool, mem_ctx);
  for (unsigned i = 0; i < 10000; i++)
    kept.push_back (txp_add (&pool, lv_slice_of (std::to_string (i).c_str ())));
  EXPECT_EQ (std::string (txp_add (&pool, lv_slice_of (large.c_str ()))), large);
  for (unsigned i = 0; i < 10000; i++)
    ASSERT_EQ (kept[i], std::to_string (i));
  EXPECT_STREQ (txp_add (&pool, lv_slice_of ("")), "");
  const char *once = txp_add (&pool, lv_slice_of ("svc"));
  EXPECT_EQ (txp_add (&pool, lv_slice_of ("svc")), once);
  EXPECT_LT (talloc_total_size (mem_ctx), 200000u);
  EXPECT_LT (talloc_total_blocks (mem_ctx), 10u);
  talloc_free (mem_ctx);
}

TEST (Catalog, RefusesTwoQueuesOfOneHostAndPrefix)
{
  struct cat_config *c = cat_new (nullptr, 1, 0);
  const struct cat_queue from = { "n", "h", "/p", "s" };
  for (uint32_t i = 0; i < 2; i++)
    EXPECT_NE (cat_add_queue (c, &from), nullptr);
  EXPECT_EQ (cat_build_index (c), -EEXIST);
  talloc_free (c);
}

/* Bulk data over a link of LINK bytes/s that short messages share: they are
   delayed by what is queued.  Returns the share of the link that is used, and
   the longest delay after the first half second.  */
std::pair<double, double>
run_link (double link, double seconds)
{
  struct pac_pacer p;
  double queued = 0, sent = 0, worst_ms = 0;
  pac_init (&p, 1);
  for (uint64_t ms = 1; ms < seconds * 1000; ms++)
    {
      while (pac_may_send (&p, ms * kMs))
        {
          pac_sent (&p, 8000);
          queued += 8000;
          sent += 8000;
        }
      queued = std::max (0.0, queued - link / 1000);
      const double delay_ms = 1 + queued / link * 1000;
      if (ms % 20 == 0)
        pac_observe (&p, (uint64_t)(delay_ms * kMs), ms * kMs);
      if (ms > 500)
        worst_ms = std::max (worst_ms, delay_ms);
    }
  return { sent / (link * seconds), worst_ms };
}

TEST (Pacer, UsesTheLinkWithoutDelayingShortMessages)
{
  const struct
  {
    double mbit;
    double least_share;
  } cases[] = { { 2, 0.6 }, { 25, 0.4 }, { 200, 0.4 } };
  for (const auto &c : cases)
    {
      const auto result = run_link (c.mbit * 125000, 10);
      EXPECT_GE (result.first, c.least_share) << c.mbit;
      EXPECT_LT (result.second, 125) << c.mbit; /* one report interval */
    }
}

TEST (Pacer, FallsWhileAnAnswerIsOutstandingAndDoesNotRiseUnused)
{
  struct pac_pacer p;
  pac_init (&p, 0);
  pac_observe (&p, kMs, 100 * kMs);
  EXPECT_EQ (p.rate, PAC_RATE_MIN);
  for (uint64_t t = 200; t < 2000; t += 100)
    {
      pac_sent (&p, 0);
      pac_observe (&p, kMs, t * kMs);
    }
  const double risen = p.rate;
  EXPECT_GT (risen, 4 * PAC_RATE_MIN);
  pac_observe_waiting (&p, 20 * kMs, 2100 * kMs);
  EXPECT_EQ (p.rate, risen);
  pac_observe_waiting (&p, 60 * kMs, 2200 * kMs);
  EXPECT_LT (p.rate, risen);
}
}
