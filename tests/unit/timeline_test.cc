#include <gtest/gtest.h>
#include <string>
#include <talloc.h>
#include <vector>
extern "C"
{
#include "lagoonvale/timeline.h"
}

namespace
{
std::string
line (const char *time, const char *role, const char *name, const char *rest)
{
  return std::string ("time=") + time + " level=info role=" + role
         + " name=" + name + " event=" + rest;
}

std::string
tell (const char *id, const std::vector<std::string> &lines)
{
  void *ctx = talloc_new (nullptr);
  struct tml_timeline s;
  tml_init (&s, ctx, lv_slice_of (id));
  for (const std::string &l : lines)
    tml_add_line (&s, { l.data (), l.size () });
  std::string text = tml_format (&s);
  tml_finish (&s);
  talloc_free (ctx);
  return text;
}

const std::string took = line ("100.000", "entry", "e1", "job job=aa queue=q");
const std::string order
    = line ("100.010", "entry", "e1", "place job=aa agent=s1 tasks=1");
const std::string run
    = line ("100.200", "agent", "s1", "run-end task=aa.0 how=done ran_ms=150");
const std::string answer
    = line ("100.210", "entry", "e1", "job-end job=aa outcome=complete");

TEST (Story, LinesOfAllProcessesInTheOrderOfTime)
{
  std::string text = tell ("aa", { answer, run, order, took,
                                   line ("100.1", "entry", "e2", "job job=bb"),
                                   "not a line of ours" });
  EXPECT_EQ (text,
             "*    +0.000 s  e1                   event=job job=aa queue=q\n"
             "*    +0.010 s  e1                   event=place job=aa agent=s1 "
             "tasks=1\n"
             "*    +0.200 s  s1                   event=run-end task=aa.0 "
             "how=done ran_ms=150\n"
             "*    +0.210 s  e1                   event=job-end job=aa "
             "outcome=complete\n"
             "= event=job-end job=aa outcome=complete\n");
}

TEST (Story, WhatHappenedToThoseInvolvedIsTold)
{
  const struct
  {
    std::string line;
    bool told;
  } cases[] = {
    { line ("100.1", "entry", "e1", "agent-lost agent=s1 why=x"), true },
    { line ("100.1", "agent", "s1", "minion-gone why=silent"), true },
    { line ("100.9", "entry", "e1", "config version=7"), true },
    { line ("100.1", "entry", "e1", "agent-lost agent=s2 why=x"), false },
    { line ("100.1", "agent", "s2", "minion-gone why=silent"), false },
    { line ("100.1", "entry", "e2", "config version=7"), false },
    { line ("98.9", "entry", "e1", "config version=7"), false },
    { line ("102.0", "entry", "e1", "config version=7"), false },
  };
  for (const auto &c : cases)
    {
      std::string text = tell ("aa", { took, order, c.line, run, answer });
      std::string event = c.line.substr (c.line.find ("event="));
      EXPECT_EQ (text.find (event) != std::string::npos, c.told) << c.line;
    }
}

TEST (Story, ClocksThatDifferAreShifted)
{
  const struct
  {
    const char *ended;
    const char *shift; /* of the agent's clock; nullptr: none */
  } cases[] = {
    { "100.200", nullptr },
    { "100.155", nullptr },
    { "100.225", nullptr },
    { "97.500", "(its clock -2.650 s)" },
    { "161.210", "(its clock +61.000 s)" },
  };
  for (const auto &c : cases)
    {
      std::string run_end
          = line (c.ended, "agent", "s1", "run-end task=aa.0 how=done ran_ms=150");
      std::string gone = line (c.ended, "agent", "s1", "minion-gone why=x");
      std::string text = tell ("aa", { took, order, gone, run_end, answer });
      EXPECT_EQ (text.find ("its clock") != std::string::npos,
                 c.shift != nullptr)
          << text;
      if (c.shift != nullptr)
        {
          EXPECT_NE (text.find (c.shift), std::string::npos) << text;
          EXPECT_NE (text.find ("minion-gone why=x (its"), std::string::npos);
        }
    }
}

TEST (Story, MissingLinesAreNamed)
{
  const struct
  {
    std::vector<std::string> lines;
    const char *conclusion;
  } cases[] = {
    { { took, order, line ("101", "entry", "e1", "started domain=d") },
      "= not answered: e1 started anew 1.000 s after it took it" },
    { { took, order }, "= no answer in these logs" },
    { { run }, "= no entry's log says that it took the request" },
    { { line ("100", "entry", "e1", "request-refused path=/q/aa status=404") },
      "= event=request-refused path=/q/aa status=404" },
    { { line ("100", "entry", "e1", "job-refused job=aa why=leaving") },
      "= event=job-refused job=aa why=leaving" },
    { { took, line ("100.5", "entry", "e1", "job-withdrawn job=aa why=x") },
      "= event=job-withdrawn job=aa why=x" },
    { { order, answer }, "= event=job-end" },
  };
  for (const auto &c : cases)
    EXPECT_NE (tell ("aa", c.lines).find (c.conclusion), std::string::npos)
        << tell ("aa", c.lines);
  EXPECT_EQ (tell ("zz", { took, run, answer }), "");
}
} // namespace
