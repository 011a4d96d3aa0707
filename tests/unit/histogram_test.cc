#include <gtest/gtest.h>
#include <string>
#include <talloc.h>
extern "C"
{
#include "lagoonvale/histogram.h"
}

namespace
{
constexpr uint64_t kMs = 1000000;

class Histogram : public testing::Test
{
protected:
  void
  SetUp () override
  {
    static const struct hst_desc descs[]
        = { { "job_seconds", "time of a job", "queue", "outcome" },
            { "call_seconds", "time of a call", "call", nullptr } };
    hst_init (&set, nullptr, descs, 2);
  }
  void
  TearDown () override
  {
    hst_finish (&set);
  }
  std::string
  text ()
  {
    char *out = hst_append (talloc_strdup (nullptr, ""), &set);
    std::string copy = out;
    talloc_free (out);
    return copy;
  }
  struct hst_set set;
  const struct lv_slice none = lv_slice_of ("");
};

TEST_F (Histogram, CountsEachDurationInItsBucket)
{
  const struct
  {
    uint64_t ns;
    const char *line; /* of the first bucket that holds it */
  } cases[] = {
    { 0, "call_seconds_bucket{call=\"0\",le=\"0.001\"} 1\n" },
    { kMs - 1, "call_seconds_bucket{call=\"1\",le=\"0.001\"} 1\n" },
    { kMs, "call_seconds_bucket{call=\"2\",le=\"0.002\"} 1\n" },
    { 60 * kMs, "call_seconds_bucket{call=\"3\",le=\"0.1\"} 1\n" },
    { 9999 * kMs, "call_seconds_bucket{call=\"4\",le=\"10\"} 1\n" },
    { 10000 * kMs, "call_seconds_bucket{call=\"5\",le=\"+Inf\"} 1\n" },
  };
  unsigned i = 0;
  for (const auto &c : cases)
    {
      std::string label = std::to_string (i++);
      hst_observe (&set, 1, lv_slice_of (label.c_str ()), none, c.ns);
      EXPECT_NE (text ().find (c.line), std::string::npos) << c.line;
    }
  EXPECT_NE (text ().find ("call_seconds_bucket{call=\"5\",le=\"10\"} 0\n"),
             std::string::npos);
}

TEST_F (Histogram, BucketsAreCumulativeAndSeriesSeparate)
{
  struct lv_slice rush = lv_slice_of ("rush");
  struct lv_slice ok = lv_slice_of ("complete");
  for (uint64_t ms : { 3, 30, 300 })
    hst_observe (&set, 0, rush, ok, ms * kMs);
  hst_observe (&set, 0, rush, lv_slice_of ("refused"), 0);
  EXPECT_EQ (hst_count (&set, 0, rush, ok), 3U);
  EXPECT_EQ (hst_count (&set, 0, rush, none), 0U);
  for (const char *line :
       { "job_seconds_bucket{queue=\"rush\",outcome=\"complete\",le=\"0.05\"}"
         " 2\n",
         "job_seconds_sum{queue=\"rush\",outcome=\"complete\"} 0.333000\n",
         "job_seconds_count{queue=\"rush\",outcome=\"complete\"} 3\n",
         "# TYPE job_seconds histogram\n" })
    EXPECT_NE (text ().find (line), std::string::npos) << line;
}

TEST_F (Histogram, LabelsAreEscaped)
{
  hst_observe (&set, 1, lv_slice_of ("a\"b\\c\nd"), none, kMs);
  EXPECT_NE (text ().find ("{call=\"a\\\"b\\\\c\\nd\",le="), std::string::npos);
}

// Guards against durations counted under the labels of another series.
TEST_F (Histogram, SimilarLabelsAreDifferentSeries)
{
  const std::string one = std::string (250, 'x') + "1";
  const std::string two = std::string (250, 'x') + "2";
  const struct
  {
    std::string label;
    std::string label2;
  } cases[] = { { one, "" }, { two, "" }, { "a\nb", "c" }, { "a", "b\nc" } };

  for (const auto &c : cases)
    hst_observe (&set, 1, { c.label.data (), c.label.size () },
                 { c.label2.data (), c.label2.size () }, kMs);
  for (const auto &c : cases)
    EXPECT_EQ (hst_count (&set, 1, { c.label.data (), c.label.size () },
                          { c.label2.data (), c.label2.size () }),
               1u);
}

TEST_F (Histogram, SeriesBeyondTheLimitCountAsOther)
{
  for (unsigned i = 0; i < HST_SERIES_MAX + 50; i++)
    hst_observe (&set, 1, lv_slice_of (std::to_string (i).c_str ()), none, 0);
  EXPECT_EQ (hst_count (&set, 1, lv_slice_of ("other"), lv_slice_of ("other")),
             50U);
}
} // namespace
