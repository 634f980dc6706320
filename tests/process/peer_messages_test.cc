#include "process/peer_messages.h"

#include <chrono>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <nlohmann/json.hpp>

#include "connection/bounded_cbor.h"

namespace lynxglade::process {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr base::Time kNow{std::chrono::hours(1)};

PeerMessageError ErrorOf(const json& value) {
  PeerMessageError error = PeerMessageError::kNone;
  const bool decoded =
      DecodePeerMessage(connection::EncodeCbor(value), kNow, &error)
          .has_value();
  EXPECT_EQ(decoded, error == PeerMessageError::kNone);
  return error;
}

// Encodes and decodes the message.
PeerMessage RoundTrip(const PeerMessage& message) {
  PeerMessageError error = PeerMessageError::kNone;
  const auto got =
      DecodePeerMessage(EncodePeerMessage(message, kNow), kNow, &error);
  EXPECT_EQ(error, PeerMessageError::kNone);
  return got.value_or(CloseLinkMessage{});
}

TEST(PeerMessages, RoundTripPreservesEveryMessage) {
  const auto hello = std::get<HelloMessage>(RoundTrip(HelloMessage{
      1, base::InstanceId("i"), base::ZoneId("z"), "10.0.0.1", 65535}));
  EXPECT_EQ(hello.instance.str() + hello.zone.str() + hello.address,
            "iz10.0.0.1");
  EXPECT_EQ(hello.port, 65535);
  const auto beat =
      std::get<HeartbeatMessage>(RoundTrip(HeartbeatMessage{7, 9}));
  EXPECT_EQ(beat.sequence, 7u);
  EXPECT_EQ(beat.echo, 9u);
  const auto digest = std::get<DigestMessage>(RoundTrip(DigestMessage{{1, 2}}));
  EXPECT_EQ(digest.buckets.size(), 2u);
  const auto summary = std::get<SummaryMessage>(
      RoundTrip(SummaryMessage{{{3, {{11, {1, 2}, 5}}}, {4, {}}}}));
  EXPECT_EQ(summary.buckets[0].entries[0].version, (ViewVersion{1, 2}));
  EXPECT_EQ(summary.buckets[1].bucket, 4u);
  EXPECT_EQ(std::get<FetchMessage>(RoundTrip(FetchMessage{{8}})).key_hashes[0],
            8u);
  EXPECT_TRUE(
      std::holds_alternative<CloseLinkMessage>(RoundTrip(CloseLinkMessage{})));
}

TEST(PeerMessages, RejectsInputThatIsNotExactlyOneMessage) {
  EXPECT_EQ(ErrorOf("text"), PeerMessageError::kUnknownType);
  EXPECT_EQ(ErrorOf(json::object()), PeerMessageError::kUnknownType);
  EXPECT_EQ(ErrorOf({0}), PeerMessageError::kUnknownType);
  EXPECT_EQ(ErrorOf({99}), PeerMessageError::kUnknownType);
  EXPECT_EQ(ErrorOf({2, 1}), PeerMessageError::kBadField);
  EXPECT_EQ(ErrorOf({2, 1, 2, 3}), PeerMessageError::kBadField);
  EXPECT_EQ(ErrorOf({2, -1, 2}), PeerMessageError::kBadField);
  EXPECT_EQ(ErrorOf({2, 1.5, 2}), PeerMessageError::kBadField);
  EXPECT_EQ(ErrorOf({1, 1, "i", "z", "a", 65536}), PeerMessageError::kBadField);
  EXPECT_EQ(ErrorOf({1, 1, "", "z", "a", 1}), PeerMessageError::kBadField);
  const json item = {2, "key", 1, 0, "source", 5, "{}"};
  EXPECT_EQ(ErrorOf({3, item, item}), PeerMessageError::kNone);
  EXPECT_EQ(ErrorOf({3, item, 5}), PeerMessageError::kBadField);
  json bad_kind = item;
  bad_kind[0] = static_cast<int>(ViewKind::kListed) + 1;
  EXPECT_EQ(ErrorOf({3, bad_kind}), PeerMessageError::kBadField);
  json long_key = item;
  long_key[1] = std::string(kMaxViewKeyBytes + 1, 'k');
  EXPECT_EQ(ErrorOf({3, long_key}), PeerMessageError::kBadField);
  json huge_age = item;
  huge_age[5] = ~std::uint64_t{0};
  EXPECT_EQ(ErrorOf({3, huge_age}), PeerMessageError::kBadField);
  EXPECT_EQ(ErrorOf({5, {1, 2, 3}}), PeerMessageError::kBadField);
}

RC_GTEST_PROP(PeerMessagesProperty, FactsKeepTheirAgeAndContent, ()) {
  const auto age = milliseconds(*rc::gen::inRange(0, 1'000'000'000));
  const ViewItem item{
      static_cast<ViewKind>(*rc::gen::inRange(1, 8)),
      *rc::gen::container<std::string>(rc::gen::inRange('a', 'z')),
      {*rc::gen::arbitrary<std::uint64_t>(),
       *rc::gen::arbitrary<std::uint64_t>()},
      base::InstanceId("source"),
      kNow - age,
      *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'))};
  const std::string bytes = EncodePeerMessage(ViewBatchMessage{{item}}, kNow);
  // The receiver's clock differs; only the age is transmitted.
  const base::Time there{std::chrono::hours(900)};
  PeerMessageError error = PeerMessageError::kNone;
  const auto got = DecodePeerMessage(bytes, there, &error);
  RC_ASSERT(got.has_value());
  const ViewItem& back = std::get<ViewBatchMessage>(*got).items.at(0);
  RC_ASSERT(back.kind == item.kind);
  RC_ASSERT(back.key == item.key);
  RC_ASSERT(back.version == item.version);
  RC_ASSERT(back.body == item.body);
  RC_ASSERT(there - back.as_of == age);
}

RC_GTEST_PROP(PeerMessagesProperty,
              CorruptedBytesGiveMessageOrErrorAndTruncatedBytesFail,
              ()) {
  std::string bytes = EncodePeerMessage(
      SummaryMessage{{{3, {{11, {1, 2}, 5}, {12, {1, 2}, 5}}}}}, kNow);
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[at] = static_cast<char>(*rc::gen::arbitrary<std::uint8_t>());
  PeerMessageError error = PeerMessageError::kNone;
  const auto got = DecodePeerMessage(bytes, kNow, &error);
  RC_ASSERT(got.has_value() == (error == PeerMessageError::kNone));
  bytes.resize(*rc::gen::inRange<std::size_t>(0, at + 1));
  RC_ASSERT(!DecodePeerMessage(bytes, kNow, &error).has_value());
}

}  // namespace
}  // namespace lynxglade::process
