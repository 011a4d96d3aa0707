#include <algorithm>
#include <cerrno>
#include <gtest/gtest.h>
#include <map>
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
