#include <gtest/gtest.h>
#include <string>
#include <talloc.h>
extern "C"
{
#include "lagoonvale/catalog.h"
#include "lagoonvale/uri.h"
}

namespace
{
std::string
taken (char *text)
{
  std::string out (text);

  talloc_free (text);
  return out;
}

/* Guards against a host in another case, or with the port that it was called
   at, which is answered with 404.  */
TEST (Uri, HostsAreInLowerCaseWithoutAPort)
{
  const struct
  {
    const char *raw, *normal;
  } cases[] = {
    { "jobs.example", "jobs.example" },
    { "Jobs.EXAMPLE", "jobs.example" },
    { "jobs.example:8161", "jobs.example" },
    { "10.0.0.1:80", "10.0.0.1" },
    { "jobs2", "jobs2" },
    { ":80", "" },
    { "", "" },
  };

  for (const auto &c : cases)
    EXPECT_EQ (taken (uri_host (nullptr, lv_slice_of (c.raw))), c.normal)
        << c.raw;
  EXPECT_EQ (taken (uri_host (nullptr, lv_slice_of (nullptr))), "");
}

/* Guards against a path that means the same as a queue's prefix and is
   answered with 404, and against one that means another and is taken.  */
TEST (Uri, PathsHaveOneFormForEachMeaning)
{
  const struct
  {
    const char *raw, *normal;
  } cases[] = {
    { "/a/b", "/a/b" },
    { "/order%20desk/", "/order%20desk/" },
    { "/%7Ea%2Db%5F%2e/%41", "/~a-b_./A" },
    { "/a%2fb/", "/a%2Fb/" },
    { "/%c3%a9", "/%C3%A9" },
    { "/100%", "/100%25" },
    { "/100%25", "/100%25" },
    { "/100%2", "/100%252" },
    { "/%zz%4", "/%25zz%254" },
    { "/%%41", "/%25A" },
    { "/%4%31", "/%2541" },
    { "/order desk/", "/order%20desk/" },
    { "/\xc3\xa9", "/%C3%A9" },
    { "/%00", "/%00" },
    { "", "" },
  };

  for (const auto &c : cases)
    {
      std::string once = taken (uri_path (nullptr, lv_slice_of (c.raw)));
      EXPECT_EQ (once, c.normal) << c.raw;
      EXPECT_EQ (taken (uri_path (nullptr, lv_slice_of (once.c_str ()))), once);
    }
}

/* Bytes that a client encodes arrive as themselves, as in names of processes.  */
TEST (Uri, SegmentsAreDecoded)
{
  const struct
  {
    std::string segment, decoded;
  } cases[] = {
    { "", "" },       { "i-1", "i-1" },     { "i%2D1", "i-1" },
    { "a%2Fb", "a/b" }, { "a%0d%0A", "a\r\n" }, { "%ff", "\xff" },
    { "%00x", std::string ("\0x", 2) },     { "%", "%" },
    { "%4", "%4" },   { "%zz", "%zz" },     { "%2541", "%41" },
  };

  for (const auto &c : cases)
    {
      struct lv_slice out
          = uri_decode (nullptr, { c.segment.data (), c.segment.size () });

      EXPECT_EQ (std::string (out.data, out.len), c.decoded) << c.segment;
      talloc_free (const_cast<char *> (out.data));
    }
}

/* A key that reaches the store as another one would skip or repeat records.  */
TEST (Uri, EncodedTextsAreDecodedToThemselves)
{
  const struct
  {
    std::string text, encoded;
  } cases[] = {
    { "", "" },
    { "a-Z_0.9~", "a-Z_0.9~" },
    { "evacuate/zone 1", "evacuate%2Fzone%201" },
    { "a&b=c%20", "a%26b%3Dc%2520" },
    { "\xc3\xa9\xff\n", "%C3%A9%FF%0A" },
    { std::string ("\0x", 2), "%00x" },
  };

  for (const auto &c : cases)
    {
      char *encoded
          = uri_encode (nullptr, { c.text.data (), c.text.size () });
      struct lv_slice out = uri_decode (encoded, lv_slice_of (encoded));

      EXPECT_EQ (std::string (encoded), c.encoded);
      EXPECT_EQ (std::string (out.data, out.len), c.text);
      talloc_free (encoded);
    }
}

/* Queues and requests are brought to the same form, whichever of them has
   another spelling; long hosts and paths are found.  */
TEST (Uri, QueuesAreFoundByEachSpelling)
{
  const std::string host (300, 'h'), prefix = "/" + std::string (400, 'p') + "/";
  const struct
  {
    std::string host, prefix, asked_host, asked_path;
    bool found;
  } cases[] = {
    { "jobs.example", "/a/", "JOBS.example", "/a/1", true },
    { "Jobs.Example", "/a/", "jobs.example:80", "/a/1", true },
    { "h", "/order%20desk/", "h", "/order%20desk/1", true },
    { "h", "/%6frder/", "h", "/order/1", true },
    { "h", "/a/b/", "h", "/a%2Fb/1", false },
    { host, prefix, host, prefix + "0123456789abcdef", true },
    { "h", "/a/", "h", "/a/" + std::string (4000, 'x'), true },
    { "h", "/a/", "", "/a/1", false },
    { "h", "/a/", "h", "", false },
  };

  for (const auto &c : cases)
    {
      struct cat_config *config = cat_new (nullptr, 1, 0);
      struct cat_queue q = {};
      char *asked_host, *asked_path;

      q.name = "q";
      q.host = c.host.c_str ();
      q.prefix = c.prefix.c_str ();
      q.service = "s";
      ASSERT_NE (cat_add_queue (config, &q), nullptr);
      ASSERT_EQ (cat_build_index (config), 0);
      asked_host = uri_host (config, lv_slice_of (c.asked_host.c_str ()));
      asked_path = uri_path (config, lv_slice_of (c.asked_path.c_str ()));
      EXPECT_EQ (cat_find (config, lv_slice_of (asked_host),
                           lv_slice_of (asked_path))
                     != nullptr,
                 c.found)
          << c.host << c.prefix;
      talloc_free (config);
    }
}
}
