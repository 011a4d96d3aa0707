#include <cstring>
#include <gtest/gtest.h>
#include <string>
#include <talloc.h>
extern "C"
{
#include "lagoonvale/dayplot.h"
}

namespace
{
class DayPlot : public ::testing::Test
{
protected:
  void SetUp () override { dpl_init (&plot, nullptr); }
  void TearDown () override { dpl_finish (&plot); }
  void
  add (const std::string &line)
  {
    dpl_add_line (&plot, { line.data (), line.size () });
  }
  void
  add (const char *time, const char *name, const char *rest,
       const char *role = "entry")
  {
    add (std::string ("x time=") + time + " level=info role=" + role
         + " name=" + name + " " + rest);
  }
  struct dpl_plot plot;
};

TEST_F (DayPlot, AddsUpTheProcessesSecondBySecond)
{
  const struct
  {
    const char *time, *name, *rest;
  } lines[] = {
    { "10.2", "a", "event=config version=3 before=0" },
    { "10.3", "b", "event=config version=5 before=0" },
    { "10.9", "a", "event=load accepting=4 waiting_mcore_ms=2000000 complete=7" },
    { "10.9", "b", "event=load accepting=3 waiting_mcore_ms=500000 complete=2" },
    { "11.1", "a", "event=job id=1 outcome=refused why=overload" },
    { "11.2", "a", "event=job id=2 outcome=complete why=done" },
    { "11.5", "a", "event=agent-lost agent=x" },
    { "11.9", "a", "event=load accepting=4 waiting_mcore_ms=0 complete=10" },
    { "12.1", "a", "event=started domain=d" },
    { "12.9", "a", "event=load accepting=1 waiting_mcore_ms=0 complete=4" },
    { "9.9", "c", "event=load accepting=1 waiting_mcore_ms=0 complete=1" },
  };
  for (const auto &l : lines)
    add (l.time, l.name, l.rest);
  const struct dpl_second want[] = {
    { 1, 0, 0, 1, 0, 0, 0 },
    { 9, 0, 2.5, 4, 0, 3, 5 },
    { 3, 1, 0, 4, 1, 3, 3 },
    { 4, 0, 0, 1, 0, 0, 0 }, /* counts of a new process begin anew */
  };
  ASSERT_EQ (plot.count, 4u);
  EXPECT_EQ (plot.began_s, 9);
  for (unsigned i = 0; i < 4; i++)
    EXPECT_EQ (memcmp (&plot.seconds[i], &want[i], sizeof want[i]), 0) << i;
  std::string image = dpl_format (&plot);
  EXPECT_NE (image.find ("<svg"), std::string::npos);
  EXPECT_EQ (image.find ("nan"), std::string::npos);
}

TEST_F (DayPlot, OtherLinesChangeNothing)
{
  add ("");
  add ("time=");
  add ("no log line at all");
  add ("1.0", "a", "event=load complete=5", "agent");
  add ("1.0", "a", "");
  EXPECT_EQ (plot.count, 0u);
  add ("5.0", "a", "event=load complete=x");
  add ("999999.0", "a", "event=load complete=5");
  add ("nan", "a", "event=load complete=5");
  add ("-1e300", "a", "event=load complete=5");
  EXPECT_EQ (plot.count, 1u);
  EXPECT_EQ (plot.left_out, 3u);
  EXPECT_EQ (plot.seconds[0].served, 0);
  add ("5.0", "a", "event=load complete=inf waiting_mcore_ms=nan");
  EXPECT_EQ (std::string (dpl_format (&plot)).find ("nan"), std::string::npos);
}
}
