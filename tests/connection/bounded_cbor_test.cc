#include "connection/bounded_cbor.h"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <nlohmann/json.hpp>

namespace lynxglade::connection {
namespace {

CborError ErrorOf(const std::string& bytes, const CborLimits& limits = {}) {
  CborError error = CborError::kNone;
  const bool decoded = DecodeCbor(bytes, limits, &error).has_value();
  EXPECT_EQ(decoded, error == CborError::kNone);
  return error;
}

TEST(BoundedCbor, DecodesWhatWasEncoded) {
  const nlohmann::json value = {{"k", {1, -2, 3.5, true, nullptr, "text"}}};
  CborError error = CborError::kMalformed;
  EXPECT_EQ(DecodeCbor(EncodeCbor(value), {}, &error), value);
  EXPECT_EQ(error, CborError::kNone);
}

TEST(BoundedCbor, RejectsDeepNestingBeforeItRecurses) {
  // 0x81 is an array of one element; a megabyte of them would overflow the
  // stack.
  CborLimits limits;
  limits.max_bytes = 1u << 20;
  EXPECT_EQ(ErrorOf(std::string(1u << 20, '\x81'), limits),
            CborError::kTooDeep);
  EXPECT_EQ(ErrorOf(std::string(8, '\x80' + 1) + "\x01"), CborError::kNone);
  EXPECT_EQ(ErrorOf(std::string(9, '\x80' + 1) + "\x01"), CborError::kTooDeep);
}

TEST(BoundedCbor, RejectsDeclaredSizesLargerThanTheInput) {
  // An array and a map that declare 2^32 - 1 elements.
  EXPECT_EQ(ErrorOf("\x9a\xff\xff\xff\xff"), CborError::kTooManyElements);
  EXPECT_EQ(ErrorOf("\xba\xff\xff\xff\xff"), CborError::kTooManyElements);
  // A string that declares 2^32 - 1 bytes and has two.
  EXPECT_EQ(ErrorOf("\x7a\xff\xff\xff\xff"
                    "ab"),
            CborError::kMalformed);
}

TEST(BoundedCbor, RejectsTooManyBytesAndElements) {
  CborLimits limits;
  limits.max_bytes = 10;
  EXPECT_EQ(ErrorOf(std::string(11, '\x01'), limits), CborError::kTooLarge);
  limits = {};
  limits.max_elements = 3;
  EXPECT_EQ(ErrorOf("\x82\x01\x02", limits), CborError::kNone);
  EXPECT_EQ(ErrorOf("\x83\x01\x02\x03", limits), CborError::kTooManyElements);
}

TEST(BoundedCbor, RejectsTruncatedAndTrailingInput) {
  EXPECT_EQ(ErrorOf(""), CborError::kMalformed);
  EXPECT_EQ(ErrorOf("\x82\x01"), CborError::kMalformed);
  EXPECT_EQ(ErrorOf("\x01\x01"), CborError::kMalformed);
}

RC_GTEST_PROP(BoundedCborProperty, AnyBytesEndInAValueOrAnError, ()) {
  const auto bytes =
      *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  CborError error = CborError::kNone;
  const auto value = DecodeCbor(bytes, {}, &error);
  RC_ASSERT(value.has_value() == (error == CborError::kNone));
}

}  // namespace
}  // namespace lynxglade::connection
