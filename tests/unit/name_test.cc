#include <gtest/gtest.h>
#include <string>
extern "C"
{
#include "lagoonvale/name.h"
}

namespace
{
TEST (Name, AcceptsUtf8WithoutControlCharacters)
{
  const struct
  {
    std::string text;
    bool valid;
  } cases[] = {
    { "team-a", true },
    { "två lag", true },
    { "工場", true },
    { "", false },
    { "a\nlevel=error event=x team=b", false },
    { "a\tb", false },
    { "a\x7f", false },
    { std::string ("a\0b", 3), false },
    { "\x1b[2J", false },
    { "a\xc2\x85", false },     /* next line */
    { "a\xe2\x80\xa8", false }, /* line separator */
    { "a\xe2\x80\xa9", false }, /* paragraph separator */
    { "\xff", false },
    { "a\xc3", false },         /* truncated sequence */
    { "\xc0\xaf", false },      /* overlong encoding */
    { "\xed\xa0\x80", false },  /* surrogate */
  };
  for (const auto &c : cases)
    EXPECT_EQ (nam_valid ({ c.text.data (), c.text.size () }), c.valid)
        << c.text;
}
} // namespace
