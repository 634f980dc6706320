#include "process/usage/usage_messages.h"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::process::usage {
namespace {

UsageRow MakeRow(const std::string& origin, int window, int count) {
  return {OriginId(origin), WindowId(window), base::OrganisationId("o"), count};
}

TEST(UsageMessages, UpdatesSurviveTheEncoding) {
  const UsageUpdate update{
      OriginId("i1/abc"),
      ChangeNumber(77),
      WallMillis(1'700'000'000'123),
      {MakeRow("i1/abc", 340'000'000, 3), MakeRow("i1/abc", 340'000'001, 1),
       MakeRow("i2/def", 340'000'000, 2)}};
  const auto decoded = DecodeUsageUpdate(EncodeUsageUpdate(update));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->origin, update.origin);
  EXPECT_EQ(decoded->change, update.change);
  EXPECT_EQ(decoded->time, update.time);
  EXPECT_EQ(decoded->rows, update.rows);
}

TEST(UsageMessages, AcksSurviveTheEncoding) {
  const UsageAck ack{OriginId("i1/abc"), ChangeNumber(77),
                     WallMillis(1'700'000'000'123), 68};
  const auto decoded = DecodeUsageAck(EncodeUsageAck(ack));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->origin, ack.origin);
  EXPECT_EQ(decoded->change, ack.change);
  EXPECT_EQ(decoded->time, ack.time);
  EXPECT_EQ(decoded->clocks, ack.clocks);
}

TEST(UsageMessages, AFullUpdateWithUsualNamesFitsADatagram) {
  UsageUpdate update;
  for (std::size_t i = 0; i < kMaxUpdateRows; ++i) {
    update.rows.push_back({OriginId("edge-zone-a-12/0123456789abcdef"),
                           WindowId(354'445'314),
                           base::OrganisationId("customer-1234"), 1'000});
  }
  EXPECT_LE(EncodeUsageUpdate(update).size(), kMaxUpdateBytes);
}

RC_GTEST_PROP(UsageMessages, ArbitraryBytesNeverThrow, ()) {
  const auto bytes = *rc::gen::arbitrary<std::string>();
  DecodeUsageUpdate(bytes);
  DecodeUsageAck(bytes);
}

RC_GTEST_PROP(UsageMessages, DamagedUpdatesNeverThrow, ()) {
  std::string bytes = EncodeUsageUpdate(
      {OriginId("i1"), ChangeNumber(1), WallMillis(2), {MakeRow("i1", 3, 4)}});
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
  DecodeUsageUpdate(bytes);
  DecodeUsageUpdate(bytes.substr(0, at));
}

}  // namespace
}  // namespace lynxglade::process::usage
