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
format_timeline (const char *id, const std::vector<std::string> &lines)
{
  void *ctx = talloc_new (nullptr);
  struct tml_timeline t;
  tml_init (&t, ctx, lv_slice_of (id));
  for (const std::string &l : lines)
    tml_add_line (&t, { l.data (), l.size () });
  std::string text = tml_format (&t);
  tml_finish (&t);
  talloc_free (ctx);
  return text;
}

const std::string arrival
    = line ("100.000", "entry", "e1", "job job=aa queue=q");
const std::string placement
    = line ("100.010", "entry", "e1", "place job=aa agent=s1 tasks=1");
const std::string run
    = line ("100.200", "agent", "s1", "run-end task=aa.0 how=done ran_ms=150");
const std::string answer
    = line ("100.210", "entry", "e1", "job-end job=aa outcome=complete");

TEST (Timeline, SortsLinesOfAllProcessesByTime)
{
  std::string text = format_timeline (
      "aa", { answer, run, placement, arrival,
              line ("100.1", "entry", "e2", "job job=bb"), "not a log line" });
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

// Guards against lines of a request whose id contains the one asked for.
TEST (Timeline, AnIdThatIsPartOfAnotherIsNotMatched)
{
  const char *const others[]
      = { "job job=aab", "job job=baa", "place job=x-aa", "place job=aa_1" };

  for (const char *other : others)
    EXPECT_EQ (format_timeline ("aa", { line ("100.1", "entry", "e1", other),
                                        arrival, run, answer }),
               format_timeline ("aa", { arrival, run, answer }))
        << other;
}

TEST (Timeline, IncludesStateEventsOfInvolvedInstances)
{
  const struct
  {
    std::string line;
    bool included;
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
      std::string text = format_timeline (
          "aa", { arrival, placement, c.line, run, answer });
      std::string event = c.line.substr (c.line.find ("event="));
      EXPECT_EQ (text.find (event) != std::string::npos, c.included) << c.line;
    }
}

TEST (Timeline, ShiftsClocksThatDiffer)
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
      std::string run_end = line (c.ended, "agent", "s1",
                                  "run-end task=aa.0 how=done ran_ms=150");
      std::string gone = line (c.ended, "agent", "s1", "minion-gone why=x");
      std::string text = format_timeline (
          "aa", { arrival, placement, gone, run_end, answer });
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

TEST (Timeline, ConclusionNamesMissingLines)
{
  const struct
  {
    std::vector<std::string> lines;
    const char *conclusion;
  } cases[] = {
    { { arrival, placement, line ("101", "entry", "e1", "started domain=d") },
      "= not answered: e1 restarted 1.000 s after the arrival" },
    { { arrival, placement }, "= no answer in these logs" },
    { { run }, "= no entry's log shows the arrival of the request" },
    { { line ("100", "entry", "e1", "request-refused path=/q/aa status=404") },
      "= event=request-refused path=/q/aa status=404" },
    { { line ("100", "entry", "e1", "job-refused job=aa why=leaving") },
      "= event=job-refused job=aa why=leaving" },
    { { arrival, line ("100.5", "entry", "e1", "job-withdrawn job=aa why=x") },
      "= event=job-withdrawn job=aa why=x" },
    { { placement, answer }, "= event=job-end" },
  };
  for (const auto &c : cases)
    EXPECT_NE (format_timeline ("aa", c.lines).find (c.conclusion),
               std::string::npos)
        << format_timeline ("aa", c.lines);
  EXPECT_EQ (format_timeline ("zz", { arrival, run, answer }), "");
}
} // namespace
