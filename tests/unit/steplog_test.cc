#include <cstdio>
#include <gtest/gtest.h>
#include <string>
#include <talloc.h>
extern "C"
{
#include "lagoonvale/steplog.h"
}

namespace
{
std::string
format_steps (unsigned steps)
{
  void *ctx = talloc_new (nullptr);
  struct slg_log log = {};
  for (unsigned i = 0; i < steps; i++)
    {
      struct slg_step s = { "order", i, i, i % 2 + 1, 1, {} };
      snprintf (s.instance, sizeof s.instance, "side-%u", i);
      slg_add (&log, ctx, &s);
    }
  std::string text = slg_format (ctx, &log);
  talloc_free (ctx);
  return text;
}

TEST (Steplog, KeepsTheFirstAndTheNewestSteps)
{
  const struct
  {
    unsigned steps;
    const char *first, *last, *gap;
  } cases[] = {
    { 1, "0ms order 0/1@side-0", "side-0", nullptr },
    { 2, "0ms order 0/1@side-0; 1ms order 1+1/1@side-1", "side-1", nullptr },
    { 16, "0ms", "15ms order 15+1/1@side-15", nullptr },
    { 17, "0ms", "16ms order 16/1@side-16",
      "7ms order 7+1/1@side-7; 1 left out; 9ms" },
    { 1000, "0ms", "999ms order 999+1/1@side-999",
      "7ms order 7+1/1@side-7; 984 left out; 992ms" },
  };
  for (const auto &c : cases)
    {
      std::string text = format_steps (c.steps);
      EXPECT_EQ (text.find (c.first), 0U) << text;
      EXPECT_EQ (text.rfind (c.last), text.size () - strlen (c.last)) << text;
      EXPECT_EQ (text.find ("left out") == std::string::npos,
                 c.gap == nullptr);
      if (c.gap != nullptr)
        {
          EXPECT_NE (text.find (c.gap), std::string::npos) << text;
        }
    }
  EXPECT_EQ (format_steps (0), "");
}
} // namespace
