#include "request/content_hash.h"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::request {
namespace {

TEST(ContentHashTest, IsTheShortenedDigestOfPartsAndLengths) {
  EXPECT_EQ(ToHex(HashContent({})), "e3b0c44298fc1c149afbf4c8996fb924");
}

// Bytes moved from one part to the next are another content.
RC_GTEST_PROP(ContentHashTest,
              DependsOnEveryPart,
              (const std::string& a, const std::string& b)) {
  RC_PRE(!b.empty());
  const ContentHash content = HashContent({a, b});
  RC_ASSERT(content == HashContent({a, b}));
  RC_ASSERT(content != HashContent({a + b, ""}));
  RC_ASSERT(content != HashContent({a, b, ""}));
  RC_ASSERT(content != HashContent({a + b}));
}

RC_GTEST_PROP(ContentHashTest,
              TextRoundTrip,
              (std::uint64_t high, std::uint64_t low)) {
  const ContentHash content(high, low);
  RC_ASSERT(ParseContentHash(ToHex(content)) == content);
}

TEST(ContentHashTest, MalformedTextIsRejected) {
  EXPECT_EQ(ParseContentHash("a"), ContentHash(10));
  for (const char* it : {"", "zz00000000000000", "0x00000000000000",
                         "00000000000000000", "-000000000000001"}) {
    EXPECT_FALSE(ParseContentHash(it)) << it;
  }
}

}  // namespace
}  // namespace lynxglade::request
