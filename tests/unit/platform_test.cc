#include <cerrno>
#include <gtest/gtest.h>
#include <string>
#include <talloc.h>
extern "C"
{
#include "jsonx.h"
#include "pfm_config.h"
#include "pfm_job.h"
#include "pfm_listing.h"
#include "pfm_page.h"
}

namespace
{
#define RUN "[\"5c0e7a21d94b36f8.0.0.17\",2,\"\",41,500]"
#define END "[58,\"5c0e7a21d94b36f8.0.0.9\",1,\"done\",\"\"]"

// Guards against an answer of a minion that ends the process, or that passes
// for one that lists no runs: these would be started elsewhere meanwhile.
TEST (Listing, IsReadAsAWholeOrNotAtAll)
{
  const std::string longest (RTK_NAME_MAX - 1, 'a');
  const struct
  {
    std::string text;
    int rc;
    unsigned running, ends;
    uint64_t through;
  } cases[] = {
    { "{\"born\":9,\"running\":[],\"finished\":[]}", 0, 0, 0, 0 },
    { "{\"born\":9,\"running\":[" RUN "],\"finished\":[" END "]}", 0, 1, 1,
      58 },
    { "{\"born\":9,\"running\":[[\"" + longest + "\",1,\"\",5.5]],"
      "\"finished\":[]}", 0, 1, 0, 0 },
    { "{\"born\":9,\"running\":[[\"" + longest + "a\",1,\"\",5]],"
      "\"finished\":[]}", -EBADMSG },
    { "{\"born\":9,\"running\":[" RUN ",5],\"finished\":[]}", -EBADMSG },
    { "{\"born\":9,\"running\":[[\"x\"]],\"finished\":[]}", -EBADMSG },
    { "{\"born\":9,\"running\":[[\"x\",0,\"\",5]],\"finished\":[]}",
      -EBADMSG },
    { "{\"born\":9,\"running\":[[\"x\",4294967296,\"\",5]],"
      "\"finished\":[]}", -EBADMSG },
    { "{\"born\":9,\"running\":[[null,1,\"\",5]],\"finished\":[]}",
      -EBADMSG },
    { "{\"born\":9,\"running\":[],\"finished\":[[\"a\",\"x\",1,\"done\"]]}",
      -EBADMSG },
    { "{\"born\":9,\"running\":[],\"finished\":[[1,\"x\",1]]}", -EBADMSG },
    { "{\"born\":9,\"running\":[],\"finished\":[7]}", -EBADMSG },
    /* Numbers that are cut to the highest would acknowledge all later ends.  */
    { "{\"born\":9,\"running\":[],\"finished\":[[18446744073709551616,\"x\",1,"
      "\"done\"]]}",
      -EBADMSG },
    { "{\"born\":9,\"running\":[],\"finished\":[[1e300,\"x\",1,\"done\"]]}",
      -EBADMSG },
    { "{\"born\":9223372036854775808,\"running\":[],\"finished\":[]}",
      -EBADMSG },
    { "{\"born\":9,\"running\":[]}", -EBADMSG },
    { "{\"born\":9,\"finished\":[]}", -EBADMSG },
    { "{\"born\":9,\"running\":{},\"finished\":[]}", -EBADMSG },
    { "{\"born\":-9,\"running\":[],\"finished\":[]}", -EBADMSG },
    { "{\"running\":[],\"finished\":[]}", -EBADMSG },
    { "[]", -EBADMSG },
    { "5", -EBADMSG },
    { "", -EBADMSG },
  };
  for (const auto &c : cases)
    {
      void *mem_ctx = talloc_new (nullptr);
      struct json_object *json = jsx_parse (lv_slice_of (c.text.c_str ()));
      struct mnn_listing listing = {};
      EXPECT_EQ (pfm_listing_decode (mem_ctx, json, &listing), c.rc) << c.text;
      if (c.rc == 0)
        {
          EXPECT_EQ (listing.running_count, c.running) << c.text;
          EXPECT_EQ (listing.end_count, c.ends) << c.text;
          EXPECT_EQ (listing.ends_through, c.through) << c.text;
        }
      json_object_put (json);
      talloc_free (mem_ctx);
    }
}

// Guards against a start that is said not to have run, and is ordered
// elsewhere, after a status that proves nothing of the kind.
TEST (Result, OnlyAKnownStatusIsARefusal)
{
  const struct
  {
    int err;
    long status;
    const char *text;
    enum mnn_answer answer;
  } cases[] = {
    { 0, 200, "{\"clock_ms\":5}", MNN_OK },
    { 0, 200, "", MNN_OK },
    { 0, 400, "{}", MNN_REFUSED },
    { 0, 409, "{\"reason\":\"fence\"}", MNN_FENCED },
    { 0, 409, "{\"reason\":\"old\"}", MNN_OLD },
    { 0, 409, "{\"reason\":\"room\"}", MNN_REFUSED },
    { 0, 409, "", MNN_REFUSED },
    { 0, 421, "{}", MNN_REFUSED },
    { 0, 429, "{}", MNN_REFUSED },
    { 0, 503, "{}", MNN_REFUSED },
    { 0, 500, "{}", MNN_UNANSWERED },
    { 0, 502, "{}", MNN_UNANSWERED },
    { 0, 504, "", MNN_UNANSWERED },
    { 0, 204, "", MNN_UNANSWERED },
    { 0, 0, "", MNN_UNANSWERED },
    { -ECONNREFUSED, 0, "", MNN_ABSENT },
    { -ENOTCONN, 0, "", MNN_UNANSWERED },
    { -ETIMEDOUT, 0, "", MNN_UNANSWERED },
    { -EIO, 503, "", MNN_UNANSWERED },
  };
  for (const auto &c : cases)
    {
      struct json_object *json = jsx_parse (lv_slice_of (c.text));
      EXPECT_EQ (pfm_result_decode (c.err, c.status, json).answer, c.answer)
          << c.err << " " << c.status << " " << c.text;
      json_object_put (json);
    }
}

// Guards against a capacity, a state or a life that a minion has not reported,
// and starts that go by it.
TEST (Report, NamesAMinionToUseOrNone)
{
  const struct
  {
    const char *state, *room, *more;
    bool valid, leaving;
    uint32_t mcores;
  } cases[] = {
    { "\"ready\"", "{\"cpu\":8000,\"mem_mb\":64,\"gpu\":2}", "", true, false,
      8000 },
    { "\"ready\"", "{\"cpu\":8000,\"mem_mb\":64}", "", true, false, 8000 },
    { "\"draining\"", "{\"cpu\":1,\"mem_mb\":0}", ",\"remaining_ms\":5",
      true, true, 1 },
    { "\"ready\"", "{\"cpu\":4294967296,\"mem_mb\":64}", "", false },
    { "\"ready\"", "{\"cpu\":0,\"mem_mb\":64}", "", true, false, 0 },
    { "\"ready\"", "{\"cpu\":-1,\"mem_mb\":64}", "", false },
    { "\"ready\"", "{\"cpu\":8000}", "", false },
    { "\"ready\"", "{\"cpu\":8000,\"mem_mb\":64,\"gpu\":\"2\"}", "",
      false },
    { "\"ready\"", "[8000]", "", false },
    { "\"ready\"", "null", "", false },
    { "\"asleep\"", "{\"cpu\":8000,\"mem_mb\":64}", "", false },
    { "5", "{\"cpu\":8000,\"mem_mb\":64}", "", false },
    { "\"ready\"", "{\"cpu\":8000,\"mem_mb\":64}", ",\"born\":0", false },
  };
  for (const auto &c : cases)
    {
      const std::string text = "{\"service\":\"s\",\"seq\":3,\"born\":9,"
                               "\"state\":" + std::string (c.state)
                               + ",\"room\":" + c.room + c.more + "}";
      struct json_object *json = jsx_parse (lv_slice_of (text.c_str ()));
      struct mnn_report report = {};
      EXPECT_EQ (pfm_report_decode (json, &report), c.valid) << text;
      if (c.valid)
        {
          EXPECT_EQ (report.leaving, c.leaving) << text;
          EXPECT_EQ (report.total.mcores, c.mcores) << text;
        }
      json_object_put (json);
    }
}

// Guards against a job that is taken although it asks for more than is served,
// and against a malformed one that is said to be of that kind.
TEST (Job, IsServedRefusedOrMalformed)
{
  const struct
  {
    const char *text;
    int rc;
  } cases[] = {
    { "{\"best_effort\":true,\"steps\":[{\"count\":2}]}", 0 },
    { "{\"best_effort\":true,\"steps\":[{\"count\":990}]}", 0 },
    { "{\"steps\":[{\"count\":2}]}", -ENOTSUP },
    { "{\"best_effort\":true,\"steps\":[{\"count\":2},{\"count\":1}]}",
      -ENOTSUP },
    { "{\"best_effort\":true,\"repeats\":2,\"steps\":[{\"count\":2}]}",
      -ENOTSUP },
    { "{\"best_effort\":true,\"steps\":[{\"count\":2,\"gang\":true}]}",
      -ENOTSUP },
    { "{\"best_effort\":true,\"steps\":[{\"count\":2,"
      "\"required_label\":\"a\"}]}", -ENOTSUP },
    { "{\"best_effort\":true,\"steps\":[{\"count\":991}]}", -EINVAL },
    { "{\"best_effort\":true,\"steps\":[{\"count\":4294967297}]}", -EINVAL },
    { "{\"best_effort\":true,\"steps\":[5]}", -EINVAL },
    { "{\"best_effort\":true,\"steps\":[]}", -EINVAL },
    { "{\"best_effort\":true,\"steps\":{}}", -EINVAL },
    { "[]", -EINVAL },
    { "", -EINVAL },
  };
  for (const auto &c : cases)
    {
      struct json_object *json = jsx_parse (lv_slice_of (c.text));
      struct pfm_job job = {};
      const char *error = nullptr;
      EXPECT_EQ (pfm_job_decode (json, &job, &error), c.rc) << c.text;
      EXPECT_EQ (error != nullptr, c.rc != 0) << c.text;
      json_object_put (json);
    }
}

// Guards against a configuration that is cut or unreadable in its middle and
// takes effect in part.
TEST (Config, IsReadAsAWholeOrNotAtAll)
{
  const std::string route = "{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":"
                            "\"/a/\",\"service\":\"s\"}";
  const std::string other = "{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":"
                            "\"/b/\",\"service\":\"s\"}";
  const struct
  {
    std::string text;
    int queues; /* -1: refused */
  } cases[] = {
    { "{\"version\":7,\"routes\":[]}", 0 },
    { "{\"routes\":[" + route + "," + other + "],\"version\":7}", 2 },
    { "{\"version\":7,\"limits\":null,\"services\":[{}],\"routes\":[" + route
          + "]}", 1 },
    { "{\"version\":7,\"routes\":[" + route + "," + route + "]}", -1 },
    { "{\"version\":7,\"routes\":[" + route + ",{}]}", -1 },
    { "{\"version\":7,\"routes\":[" + route + ",5]}", -1 },
    { "{\"version\":7,\"routes\":[" + route + "\x01" + other + "]}", -1 },
    { "{\"version\":7,\"routes\":[" + route, -1 },
    { "{\"version\":7,\"routes\":[" + route + "]", -1 },
    { "{\"version\":7,\"routes\":[" + route + "]}}", -1 },
    { "{\"version\":7,\"routes\":[" + route + "],\"routes\":[]}", -1 },
    { "{\"version\":0,\"routes\":[" + route + "]}", -1 },
    { "{\"version\":-7,\"routes\":[" + route + "]}", -1 },
    /* Cut to the highest version, it would be the last one ever followed.  */
    { "{\"version\":18446744073709551616,\"routes\":[" + route + "]}", -1 },
    { "{\"version\":\"7\",\"routes\":[" + route + "]}", -1 },
    { "{\"version\":7}", -1 },
    { "[]", -1 },
    { "", -1 },
  };
  for (const auto &c : cases)
    {
      struct cat_config *config
          = pfm_config_decode (nullptr, lv_slice_of (c.text.c_str ()));
      EXPECT_EQ (config != nullptr ? (int)config->count : -1, c.queues)
          << c.text;
      talloc_free (config);
    }
}

// Guards against a text that breaks lines, or is none, which is taken over in
// another form: the configuration with it takes the place of a sound one.
TEST (Config, EachTextOfAQueueIsRefusedIfItIsBad)
{
  const char *keys[] = { "name", "host", "path_prefix", "service" };
  const struct
  {
    const char *value;
    bool valid;
  } cases[] = {
    { "\"/a/\"", true },
    { "\"\\u00e9\"", true },
    { "\"a\\nb\"", false },
    { "\"a\\u0000\"", false },
    { "\"a\\u0000b\"", false },
    { "\"\\u001b\"", false },
    { "\"\\u0085\"", false },
    { "\"\\u2028\"", false },
    { "\"\\u2029\"", false },
    { "\"\xff\"", false },
    { "\"\"", false },
    { "7", false },
    { "null", false },
    { "[\"/a/\"]", false },
  };

  for (const char *bad : keys)
    for (const auto &c : cases)
      {
        std::string text = "{\"version\":7,\"routes\":[{";

        for (const char *key : keys)
          text += std::string (key == keys[0] ? "" : ",") + "\"" + key + "\":"
                  + (key == bad ? c.value : "\"/a/\"");
        text += "}]}";
        struct cat_config *config
            = pfm_config_decode (nullptr, lv_slice_of (text.c_str ()));
        EXPECT_EQ (config != nullptr, c.valid) << text;
        talloc_free (config);
      }
}

// Guards against a warm-up that is lost on its way to the queues of a service,
// whichever comes first, and against odd numbers in its place.
TEST (Config, QueuesKnowHowTheirMinionsWarmUp)
{
  const std::string routes
      = "\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/a/\","
        "\"service\":\"s\"}]";
  const struct
  {
    const char *service;
    uint32_t warmup_ms, cold_per_ks;
  } cases[] = {
    { "\"name\":\"s\",\"warmup_s\":2.5,\"cold_per_s\":10", 2500, 10000 },
    { "\"name\":\"s\",\"warmup_s\":4,\"cold_per_s\":0.5", 4000, 500 },
    { "\"name\":\"t\",\"warmup_s\":4,\"cold_per_s\":1", 0, 0 },
    { "\"name\":\"s\",\"warmup_s\":4", 0, 0 },
    { "\"name\":\"s\",\"warmup_s\":0.0,\"cold_per_s\":0.0", 0, 0 },
    { "\"name\":\"s\",\"warmup_s\":-4,\"cold_per_s\":1", 0, 0 },
    { "\"name\":\"s\",\"warmup_s\":1e300,\"cold_per_s\":1", 0, 0 },
    { "\"name\":\"s\",\"warmup_s\":\"4\",\"cold_per_s\":1", 0, 0 },
  };

  for (const auto &c : cases)
    for (bool routes_first : { true, false })
      {
        std::string services
            = "\"services\":[{" + std::string (c.service) + "}]";
        std::string text = "{\"version\":7,"
                           + (routes_first ? routes : services) + ","
                           + (routes_first ? services : routes) + "}";
        struct cat_config *config
            = pfm_config_decode (nullptr, lv_slice_of (text.c_str ()));

        ASSERT_NE (config, nullptr) << text;
        EXPECT_EQ (config->queues[0].warmup.warmup_ms, c.warmup_ms) << text;
        EXPECT_EQ (config->queues[0].warmup.cold_per_ks, c.cold_per_ks)
            << text;
        talloc_free (config);
      }
}

TEST (Page, LeavesOutRecordsThatCannotBeRead)
{
  const struct
  {
    const char *text;
    int rc;
    unsigned items;
  } cases[] = {
    { "{\"items\":[],\"end_offset\":4}", 0, 0 },
    { "{\"items\":[{\"key\":\"k\",\"value\":\"YQ==\",\"offset\":3}]}", 0, 1 },
    { "{\"items\":[{\"key\":\"k\",\"value\":\"%\"},5,{\"value\":\"YQ==\"}]}",
      0, 2 },
    { "{\"items\":{}}", -EBADMSG },
    { "{}", -EBADMSG },
    { "[]", -EBADMSG },
    { "", -EBADMSG },
  };
  for (const auto &c : cases)
    {
      void *mem_ctx = talloc_new (nullptr);
      struct json_object *json = jsx_parse (lv_slice_of (c.text));
      struct pfm_page page = {};
      EXPECT_EQ (pfm_page_decode (mem_ctx, json, &page), c.rc) << c.text;
      EXPECT_EQ (page.count, c.items) << c.text;
      json_object_put (json);
      talloc_free (mem_ctx);
    }
}
}
