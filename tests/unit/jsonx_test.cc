#include <errno.h>
#include <gtest/gtest.h>
#include <string>
extern "C"
{
#include "jsonx.h"
}

namespace
{
/* A count of 4294967301 was once taken as 5.  */
TEST (Jsonx, NumbersKeepTheirSizeIn32Bits)
{
  const struct
  {
    const char *text;
    uint32_t value;
  } cases[] = {
    { "{\"n\":5}", 5 },
    { "{\"n\":4294967295}", UINT32_MAX },
    { "{\"n\":4294967301}", UINT32_MAX },
    { "{\"n\":99999999999999999999}", UINT32_MAX },
    { "{\"n\":-1}", 7 },
    { "{\"n\":\"5\"}", 7 },
    { "{\"n\":5.5}", 7 },
    { "{}", 7 },
    { "[5]", 7 },
  };
  for (const auto &c : cases)
    {
      struct json_object *json = jsx_parse (lv_slice_of (c.text));
      EXPECT_EQ (jsx_u32 (json, "n", 7), c.value) << c.text;
      json_object_put (json);
    }
}

TEST (Jsonx, NegativeNumbersBecomeZero)
{
  EXPECT_EQ (jsx_to_u32 (-1), 0u);
  EXPECT_EQ (jsx_to_u32 (INT64_MIN), 0u);
  EXPECT_EQ (jsx_to_u32 (UINT32_MAX), UINT32_MAX);
  EXPECT_EQ (jsx_to_u32 (1LL << 32), UINT32_MAX);
}

// Guards against a value that cannot be read being taken as zero or cut.
TEST (Jsonx, ValuesOutOfRangeAreToldApartFromZero)
{
  const struct
  {
    const char *text;
    bool is_u32;
    bool is_ms;
  } cases[] = {
    { "{\"n\":0}", true, true },
    { "{\"n\":4294967295}", true, true },
    { "{\"n\":4294967296}", false, true },
    { "{\"n\":1000000000000}", false, true },
    { "{\"n\":1000000000001}", false, false },
    { "{\"n\":99999999999999999999}", false, false },
    { "{\"n\":-1}", false, false },
    { "{\"n\":\"5\"}", false, false },
    { "{\"n\":1.5}", false, false },
    { "{}", false, false },
    { "5", false, false },
  };
  for (const auto &c : cases)
    {
      struct json_object *json = jsx_parse (lv_slice_of (c.text));
      uint32_t value = 7;
      uint64_t ns = 7;

      EXPECT_EQ (jsx_get_u32 (json, "n", &value), c.is_u32) << c.text;
      EXPECT_EQ (jsx_get_ms (json, "n", &ns), c.is_ms) << c.text;
      EXPECT_TRUE (c.is_u32 || value == 7) << c.text;
      EXPECT_TRUE (c.is_ms || ns == 7) << c.text;
      json_object_put (json);
    }
}

/* Reads TEXT as an object whose member "n" is an array: the elements' texts,
   each followed by a semicolon, or "bad".  */
std::string
read_all (const char *text)
{
  struct jsx_reader r;
  std::string out;
  int rc = -EBADMSG;
  EXPECT_EQ (jsx_reader_init (&r, lv_slice_of (text)), 0);
  struct json_object *value = nullptr;
  bool open = jsx_enter (&r, '{') && jsx_next (&r, '}') == 1;
  struct json_object *name = open ? jsx_read_name (&r) : nullptr;
  if (name != nullptr && jsx_enter (&r, '['))
    while ((rc = jsx_next (&r, ']')) > 0)
      {
        if ((rc = jsx_read_value (&r, &value)) != 0)
          break;
        out += std::string (json_object_to_json_string (value)) + ";";
        json_object_put (value);
      }
  if (rc == 0)
    rc = jsx_next (&r, '}');
  if (rc != 0 || !jsx_at_end (&r))
    out = "bad";
  json_object_put (name);
  jsx_reader_finish (&r);
  return out;
}

// Guards against a large array that must be in memory as a whole to be read,
// and against a cut or malformed one that passes for a whole one.
TEST (Jsonx, ArraysAreReadElementByElement)
{
  const struct
  {
    const char *text, *elements;
  } cases[] = {
    { "{\"n\":[]}", "" },
    { "{\"n\":[1]}", "1;" },
    { " { \"n\" : [ 1 , \"a,b]\" , null ] } ", "1;\"a,b]\";null;" },
    { "{\"n\":[[1],[]]}", "[ 1 ];[ ];" },
    { "{\"n\":[{\"m\":[2]}]}", "{ \"m\": [ 2 ] };" },
    { "{\"n\":[1,]}", "bad" },
    { "{\"n\":[1 2]}", "bad" },
    { "{\"n\":[1}", "bad" },
    { "{\"n\":[1", "bad" },
    { "{\"n\":[\"a", "bad" },
    { "{\"n\":[1]", "bad" },
    { "{\"n\":[1]}x", "bad" },
    { "{\"n\" [1]}", "bad" },
    { "{n:[1]}", "bad" },
    { "{}", "bad" },
    { "", "bad" },
  };
  for (const auto &c : cases)
    EXPECT_EQ (read_all (c.text), c.elements) << c.text;
}
/* A number that may be written as 6200.0 was read as 0, and tasks started
   without regard to the capacity.  Whatever is no amount must be an error.  */
TEST (Jsonx, AmountsMeanTheSameHoweverTheyAreWritten)
{
  const struct
  {
    const char *text;
    int down_rc, whole_rc;
    uint32_t down, up;
  } cases[] = {
    { "6200", 0, 0, 6200, 6200 },
    { "6200.0", 0, 0, 6200, 6200 },
    { "6.2e3", 0, 0, 6200, 6200 },
    { "62E2", 0, 0, 6200, 6200 },
    { "6200.25", 0, -EINVAL, 6200, 6201 },
    { "0.001", 0, -EINVAL, 0, 1 },
    { "0", 0, 0, 0, 0 },
    { "-0.0", 0, 0, 0, 0 },
    { "4294967295", 0, 0, UINT32_MAX, UINT32_MAX },
    { "4294967296", -ERANGE, -ERANGE, UINT32_MAX, UINT32_MAX },
    { "1e300", -ERANGE, -ERANGE, UINT32_MAX, UINT32_MAX },
    { "1e999", -ERANGE, -ERANGE, UINT32_MAX, UINT32_MAX },
    { "99999999999999999999", -ERANGE, -ERANGE, UINT32_MAX, UINT32_MAX },
    { "-1", -EINVAL, -EINVAL, 0, 0 },
    { "-6200.0", -EINVAL, -EINVAL, 0, 0 },
    { "-0.5", -EINVAL, -EINVAL, 0, 0 },
    { "-1e-9", -EINVAL, -EINVAL, 0, 0 },
    { "\"6200\"", -EINVAL, -EINVAL, 0, 0 },
    { "true", -EINVAL, -EINVAL, 0, 0 },
    { "null", -EINVAL, -EINVAL, 0, 0 },
    { "[6200]", -EINVAL, -EINVAL, 0, 0 },
  };

  for (const auto &c : cases)
    {
      std::string text = "{\"n\":" + std::string (c.text) + "}";
      struct json_object *json = jsx_parse (lv_slice_of (text.c_str ()));
      uint32_t value = 7;

      ASSERT_NE (json, nullptr) << c.text;
      EXPECT_EQ (jsx_get_amount (json, "n", JSX_DOWN, &value), c.down_rc)
          << c.text;
      EXPECT_EQ (value, c.down) << c.text;
      EXPECT_EQ (jsx_get_amount (json, "n", JSX_UP, &value), c.down_rc)
          << c.text;
      EXPECT_EQ (value, c.up) << c.text;
      EXPECT_EQ (jsx_get_amount (json, "n", JSX_WHOLE, &value), c.whole_rc)
          << c.text;
      EXPECT_EQ (jsx_get_amount (json, "m", JSX_DOWN, &value), -ENOENT);
      EXPECT_EQ (value, 0u);
      json_object_put (json);
    }
}

/* Counters and versions that rise are read alike; a fraction is none.  */
TEST (Jsonx, WholeNumbersMayHaveAPointOrAnExponent)
{
  const struct
  {
    const char *text;
    uint64_t value; /* 99: the fallback */
  } cases[] = {
    { "5", 5 },    { "5.0", 5 },       { "5e0", 5 },   { "0.5e1", 5 },
    { "5.5", 99 }, { "-5.0", 99 },     { "1e300", 99 }, { "1e999", 99 },
    { "1e15", 1000000000000000ULL }, { "1e17", 99 },
  };

  for (const auto &c : cases)
    {
      std::string text = "{\"n\":" + std::string (c.text) + "}";
      struct json_object *json = jsx_parse (lv_slice_of (text.c_str ()));

      EXPECT_EQ (jsx_uint (json, "n", 99), c.value) << c.text;
      json_object_put (json);
    }
}
}
