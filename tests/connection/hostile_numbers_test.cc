// Decoding of invalid numbers and types: must not wrap around, overflow or
// throw.
#include <cmath>
#include <string>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
#include "connection/engine_admin_codec.h"
#include "connection/load_report.h"
#include "connection/target_client_stream.h"
#include "request/quarantine_mark.h"

namespace lynxglade::connection {
namespace {

using nlohmann::json;

json GoodState() {
  return {{"incarnation", "i"},
          {"fenced", true},
          {"phase", "ready"},
          {"draining", true},
          {"in_flight", 0},
          {"role", "mixed"},
          {"model", "m"},
          {"version", "1"},
          {"adapters", json::array()},
          {"generation", 1},
          {"fence", 2},
          {"order_id", "o"},
          {"seq", 3}};
}

TEST(HostileNumbersTest, WholeMemberAcceptsOnlyValuesInRange) {
  const json object = {{"low", 0},      {"high", 5},          {"above", 6},
                       {"real", 3.0},   {"text", "3"},        {"below", -1},
                       {"huge", 1e300}, {"wraps", UINT64_MAX}};
  EXPECT_EQ(base::WholeMember(object, "low", 0, 5), 0);
  EXPECT_EQ(base::WholeMember(object, "high", 0, 5), 5);
  for (const char* name :
       {"above", "real", "text", "below", "huge", "wraps", "missing"}) {
    EXPECT_EQ(base::WholeMember(object, name, 0, 5), std::nullopt) << name;
  }
  EXPECT_EQ(base::WholeMember(object, "wraps", INT64_MIN, INT64_MAX),
            std::nullopt);
}

TEST(HostileNumbersTest, LoadReportsStayInRange) {
  const base::Time now{std::chrono::hours(1)};
  const auto report = ParseLoadReport(
      R"({"engine":"e","running":1e300,"waiting":-5,"seq":-1,
          "generated_at_ms":-9223372036854775808,
          "queued_prefill_tokens":9223372036854775807,
          "running_decode_tokens":-1e300,
          "prefill_tokens_per_s":-1,"decode_tokens_per_s":1e300})",
      now);
  ASSERT_TRUE(report);
  EXPECT_GT(report->load.running, 0);
  EXPECT_EQ(report->load.waiting, 0);
  EXPECT_GT(report->load.queued_prefill.value(), 0);
  EXPECT_EQ(report->load.running_decode.value(), 0);
  EXPECT_EQ(report->load.prefill_tokens_per_s, 0);
  EXPECT_LE(report->load.decode_tokens_per_s, 1e12);
  EXPECT_LE(report->load.as_of, now);
}

// A report of an engine without a model must survive encoding and decoding.
TEST(HostileNumbersTest, LoadOfAnEngineWithoutModelIsPreserved) {
  const base::Time now{std::chrono::hours(1)};
  const auto report = ParseLoadReport(
      R"({"engine":"e","queued_prefill_tokens":7,"decode_tokens_per_s":2.5})",
      now);
  ASSERT_TRUE(report);
  const auto again = ParseLoadReport(EncodeLoadReport(*report), now);
  ASSERT_TRUE(again);
  EXPECT_EQ(again->load.queued_prefill, base::Tokens(7));
  EXPECT_EQ(again->load.decode_tokens_per_s, 2.5);
}

// A count of 4294967296 must not wrap around to 0, which would end a drain.
TEST(HostileNumbersTest, EngineStatesOutOfRangeAreRejected) {
  ASSERT_TRUE(DecodeEngineState(GoodState()));
  const json bad_values = {4294967296, -1, 1e300, UINT64_MAX, "0", nullptr};
  for (const char* name : {"in_flight", "generation", "fence", "seq"}) {
    for (const json& value : bad_values) {
      json state = GoodState();
      state[name] = value;
      const bool fits = value == 4294967296 && std::string(name) != "in_flight";
      EXPECT_EQ(DecodeEngineState(state).has_value(), fits)
          << name << " " << value;
    }
  }
  json state = GoodState();
  state["incarnation"] = json::array();
  EXPECT_FALSE(DecodeEngineState(state));
}

TEST(HostileNumbersTest, OrderAnswersOfWrongTypeAreRejected) {
  EXPECT_FALSE(DecodeOrderAnswer(200, R"({"accepted":1})"));
  EXPECT_FALSE(DecodeOrderAnswer(409, R"({"error":{"code":1}})"));
  const std::string deep(100'000, '[');
  EXPECT_FALSE(DecodeOrderAnswer(200, deep));
  EXPECT_TRUE(DecodeOrderAnswer(200, R"({"accepted":true})"));
}

TEST(HostileNumbersTest, TokenCountsOfAStreamDoNotOverflow) {
  request::TokenSink sink;
  sink.on_token = [](const request::TokenChunk&) { return true; };
  const auto feed = [&](const char* counts) {
    EngineStream stream(base::AttemptId("a"), base::Tokens(0), sink);
    const std::string event =
        std::string(R"(data: {"id":"chatcmpl-a",)") + counts +
        R"(,"choices":[{"delta":{"content":"x"}}]})" + "\n\n";
    while (stream.Feed(event) && stream.tokens().value() < 2'000'000'000) {
    }
    return stream.state();
  };
  EXPECT_EQ(feed(R"("token_offset":0,"token_count":9223372036854775807)"),
            EngineStream::State::kBad);
  EXPECT_EQ(feed(R"("token_offset":0,"token_count":900000000)"),
            EngineStream::State::kBad);
  EXPECT_EQ(feed(R"("token_offset":1e300,"token_count":1)"),
            EngineStream::State::kBad);
}

TEST(HostileNumbersTest, QuarantineMarksOfPeersStayInRange) {
  process::ViewItem item;
  item.kind = process::ViewKind::kQuarantine;
  item.key = "ff";
  item.as_of = base::Time{std::chrono::hours(1)};
  item.body =
      R"({"owned_ms":1e300,"expires_ms":9223372036854775807,
          "evidence":[{"event":"x","age_ms":-1e300,"shared":-7}]})";
  const auto decoded = request::DecodeMark(item);
  ASSERT_TRUE(decoded);
  EXPECT_GT(decoded->mark.owned_until, item.as_of);
  EXPECT_GT(decoded->mark.expires, item.as_of);
  ASSERT_EQ(decoded->mark.evidence.size(), 1u);
  EXPECT_EQ(decoded->mark.evidence.front().shared, 1);
  EXPECT_EQ(decoded->mark.evidence.front().at, item.as_of);
}

}  // namespace
}  // namespace lynxglade::connection
