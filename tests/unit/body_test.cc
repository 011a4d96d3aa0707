#include <gtest/gtest.h>
#include <cerrno>
#include <string>
extern "C"
{
#include "body.h"
}

namespace
{
struct Budget
{
  size_t most;       /* what it grants */
  size_t granted = 0;
  unsigned releases = 0;
  struct bdy_budget budget;

  Budget (size_t len_max, size_t most)
      : most (most), budget{ len_max, reserve, release, this }
  {
  }
  static bool
  reserve (size_t bytes, void *priv)
  {
    auto *b = static_cast<Budget *> (priv);

    if (bytes > b->most)
      return false;
    b->granted = bytes;
    return true;
  }
  static void
  release (void *priv)
  {
    auto *b = static_cast<Budget *> (priv);

    b->granted = 0;
    b->releases++;
  }
};

/* Guards against bodies that take memory which their server's budget has not
   granted, and against legal ones that are cut or refused.  */
TEST (Body, TakesWhatItsBudgetGrants)
{
  const size_t any = SIZE_MAX;
  const struct
  {
    const char *load;
    size_t len_max, most, part;
    unsigned parts;
    int rc;
    bool too_long;
    size_t len, granted;
  } cases[] = {
    { "nothing", 100, any, 0, 3, 0, false, 0, 4096 },
    { "one byte at a time", 10000, any, 1, 9000, 0, false, 9000, 16384 },
    { "one part, as long as allowed", 10000, any, 10000, 1, 0, false, 10000,
      16384 },
    { "one part, a byte too long", 10000, any, 10001, 1, 0, true, 0, 0 },
    { "a byte too long after the longest", 10000, any, 73, 137, 0, true, 0, 0 },
    { "no body allowed", 0, any, 1, 1, 0, true, 0, 0 },
    { "a part longer than any number", 10, any, any, 1, -EFBIG, true, 0, 0 },
    { "first step not granted", 10000, 4095, 1, 1, -ENOMEM, false, 0, 0 },
    { "second step not granted", 10000, 4096, 4096, 2, -ENOMEM, false, 4096,
      4096 },
    { "too long, read on", 10, any, 1 << 20, 4, 0, true, 0, 0 },
    { "too long, without end", 10, any, 1 << 20, 5, -EFBIG, true, 0, 0 },
  };

  for (const auto &c : cases)
    {
      Budget b (c.len_max, c.most);
      struct bdy_body body = {};
      std::string part (c.part == any ? 1 : c.part, 'x');
      int rc = 0;

      for (unsigned i = 0; i < c.parts && rc == 0; i++)
        rc = bdy_append (&body, &b.budget, part.data (), c.part);
      EXPECT_EQ (rc, c.rc) << c.load;
      EXPECT_EQ (body.too_long, c.too_long) << c.load;
      EXPECT_EQ (body.len, c.len) << c.load;
      EXPECT_EQ (b.granted, c.granted) << c.load;
      EXPECT_EQ (std::string (body.data != nullptr ? body.data : "", body.len),
                 std::string (c.len, 'x'))
          << c.load;
      EXPECT_EQ (b.releases, c.too_long ? 1U : 0U) << c.load;
      bdy_free (&body, &b.budget);
      EXPECT_EQ (b.granted, 0U) << c.load;
      EXPECT_EQ (body.data, nullptr) << c.load;
    }
}

/* Guards against reading gigabytes for the sake of a refusal, and against a
   refusal that is lost since the body was not read.  */
TEST (Body, OnlyLongAnnouncementsAreRefusedUnread)
{
  const struct
  {
    const char *length;
    bool too_much;
  } cases[] = {
    { nullptr, false },     { "", false },
    { "100", false },       { "101", false },
    { "4194404", false },   { "4194405", true },
    { "99999999999999999999999", true }, { "x", false },
  };

  for (const auto &c : cases)
    EXPECT_EQ (bdy_announces_too_much (c.length, 100), c.too_much)
        << (c.length != nullptr ? c.length : "none");
}
}
