#include <gtest/gtest.h>
#include <map>
#include <random>
#include <vector>
extern "C"
{
#include "lagoonvale/clients.h"
}

namespace
{
constexpr unsigned kPlaces = 8;
constexpr size_t kBytes = 100000;

class Clients : public testing::Test
{
protected:
  Clients () : client (64) { clt_init (&clients, kPlaces, kBytes); }

  struct clt_client *
  join (unsigned i)
  {
    return clt_join (&clients, &client[i]);
  }
  /* Reserves for client I as a server does.  Return: whether it may, and in
     DROPPED who lost its place for it.  */
  bool
  reserve (unsigned i, size_t bytes, std::vector<unsigned> *dropped = nullptr)
  {
    static std::vector<struct clt_client *> victims;
    bool granted;

    victims.clear ();
    granted = clt_reserve (&clients, &client[i], bytes,
                           [] (struct clt_client *victim)
                             { victims.push_back (victim); });
    for (struct clt_client *victim : victims)
      if (dropped != nullptr)
        dropped->push_back (victim - &client[0]);
    return granted;
  }
  void
  serve (unsigned i)
  {
    clt_request_begun (&clients, &client[i]);
    clt_request_ended (&clients, &client[i]);
  }
  struct clt_clients clients;
  std::vector<struct clt_client> client;
};

/* A crowd that stops short of its end must not keep out those that come after
   it: the oldest of the crowd lose their places first.  */
TEST_F (Clients, TheOneWithoutARequestForLongestLosesItsPlace)
{
  for (unsigned i = 0; i < kPlaces; i++)
    EXPECT_EQ (join (i), nullptr) << i;
  serve (0);
  clt_request_begun (&clients, &client[1]);
  EXPECT_EQ (join (8), &client[2]);
  EXPECT_EQ (join (9), &client[3]);
  clt_leave (&clients, &client[4]);
  EXPECT_EQ (join (10), nullptr);
  EXPECT_EQ (clients.count, kPlaces);
  EXPECT_EQ (clients.dropped, 2u);
}

TEST_F (Clients, WhileAllAreBusyTheNewOneIsTurnedAway)
{
  for (unsigned i = 0; i < kPlaces; i++)
    {
      join (i);
      clt_request_begun (&clients, &client[i]);
    }
  EXPECT_EQ (join (8), &client[8]);
  EXPECT_TRUE (client[8].dropped);
  EXPECT_EQ (clients.count, kPlaces);
}

/* Bodies of one moment: who is granted its bytes, and who is dropped.  */
TEST_F (Clients, LargeBodiesShareOneBudget)
{
  const struct
  {
    const char *name;
    std::vector<size_t> held; /* by clients 0, 1, ..., in this order */
    std::vector<unsigned> busy;
    unsigned asker;
    size_t bytes;
    bool granted;
    std::vector<unsigned> dropped;
  } cases[] = {
    { "alone", {}, {}, 0, kBytes, true, {} },
    { "beyond the whole budget", {}, {}, 0, 2 * kBytes, false, {} },
    { "a small one beside a full budget",
      { kBytes / 2 + CLT_SMALL_BYTES, kBytes / 2 + CLT_SMALL_BYTES },
      { 0, 1 },
      5,
      CLT_SMALL_BYTES,
      true,
      {} },
    { "a large one beside the same",
      { kBytes / 2 + CLT_SMALL_BYTES, kBytes / 2 + CLT_SMALL_BYTES },
      { 0, 1 },
      5,
      CLT_SMALL_BYTES + 1,
      false,
      {} },
    { "the oldest goes first",
      { 50000, 50000 },
      {},
      5,
      50000,
      true,
      { 0 } },
    { "as many as it takes", { 50000, 50000 }, {}, 5, kBytes, true, { 0, 1 } },
    { "busy ones stay", { 50000, 50000 }, { 0 }, 5, 50000, true, { 1 } },
    { "one that holds nothing stays",
      { 100, 50000, 50000 },
      {},
      5,
      50000,
      true,
      { 1 } },
    { "the oldest asks itself", { 50000, 50000 }, {}, 0, 90000, false, {} },
  };

  for (const auto &c : cases)
    {
      std::vector<unsigned> dropped;

      clt_init (&clients, kPlaces, kBytes);
      client.assign (64, {});
      for (unsigned i = 0; i < kPlaces; i++)
        join (i);
      for (unsigned i = 0; i < c.held.size (); i++)
        EXPECT_TRUE (reserve (i, c.held[i])) << c.name;
      for (unsigned i : c.busy)
        clt_request_begun (&clients, &client[i]);
      EXPECT_EQ (reserve (c.asker, c.bytes, &dropped), c.granted) << c.name;
      EXPECT_EQ (dropped, c.dropped) << c.name;
      EXPECT_LE (clients.held, kBytes) << c.name;
    }
}

/* Whatever clients do, the budget and the places hold, no client that has sent
   a whole request is dropped, and nothing is left once all have gone.  */
TEST_F (Clients, LimitsHoldInAnyOrderOfEvents)
{
  for (unsigned seed = 0; seed < 500; seed++)
    {
      std::mt19937 random (seed);
      std::map<unsigned, bool> open; /* client, busy */

      clt_init (&clients, kPlaces, kBytes);
      client.assign (64, {});
      for (unsigned step = 0; step < 500; step++)
        {
          unsigned i = random () % 24;
          bool known = open.count (i) > 0;

          switch (random () % 5)
            {
            case 0:
              if (known)
                break;
              client[i] = {};
              join (i);
              open[i] = false;
              break;
            case 1:
            case 2:
              if (known && !open[i])
                reserve (i, random () % (2 * kBytes));
              break;
            case 3:
              if (!known || (!open[i] && client[i].dropped))
                break;
              if (open[i])
                clt_request_ended (&clients, &client[i]);
              else
                clt_request_begun (&clients, &client[i]);
              open[i] = !open[i];
              break;
            default:
              if (!known)
                break;
              clt_leave (&clients, &client[i]);
              open.erase (i);
            }
          ASSERT_LE (clients.held, kBytes) << seed;
          ASSERT_LE (clients.count, kPlaces) << seed;
          for (const auto &o : open)
            {
              ASSERT_FALSE (o.second && client[o.first].dropped) << seed;
            }
        }
      for (const auto &o : open)
        clt_leave (&clients, &client[o.first]);
      ASSERT_EQ (clients.held, 0u);
      ASSERT_EQ (clients.count, 0u);
      ASSERT_EQ (clients.list, nullptr);
    }
}
}
