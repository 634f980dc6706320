#include "load/answer_check.h"

#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "load/trace.h"

namespace lynxglade::bench {
namespace {

using std::chrono::milliseconds;

std::string Content(int offset, int count) {
  return "data: {\"id\":\"chatcmpl-a\",\"token_offset\":" +
         std::to_string(offset) + ",\"token_count\":" + std::to_string(count) +
         ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},"
         "\"finish_reason\":null}]}\n\n";
}

std::string End(int tokens) {
  return "data: {\"id\":\"chatcmpl-a\",\"choices\":[{\"index\":0,\"delta\":{},"
         "\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":3,"
         "\"completion_tokens\":" +
         std::to_string(tokens) + "}}\n\n";
}

constexpr char kDone[] = "data: [DONE]\n\n";

bool IsWhole(const std::vector<std::string>& events) {
  StreamCheck check;
  base::Time now{};
  for (const std::string& event : events) {
    now += milliseconds(10);
    check.Feed(event, now);
  }
  return check.whole();
}

// However the network cuts the bytes, the verdict and the counts are the same.
RC_GTEST_PROP(StreamCheckTest, TakesBytesInAnyPieces, ()) {
  const std::string bytes = Content(0, 2) + Content(2, 1) + End(3) + kDone;
  StreamCheck check;
  std::size_t at = 0;
  while (at < bytes.size()) {
    const auto n = *rc::gen::inRange<std::size_t>(1, bytes.size() - at + 1);
    check.Feed(std::string_view(bytes).substr(at, n), base::Time{});
    at += n;
  }
  RC_ASSERT(check.whole());
  RC_ASSERT(!check.broken());
  RC_ASSERT(check.gaps().size() == 1u);
}

TEST(StreamCheckTest, AnythingMissingIsNotWhole) {
  EXPECT_TRUE(IsWhole({Content(0, 2), Content(2, 1), End(3), kDone}));
  EXPECT_FALSE(IsWhole({Content(0, 2), Content(2, 1), End(3)}));
  EXPECT_FALSE(IsWhole({Content(0, 2), Content(2, 1), kDone}));
  EXPECT_FALSE(IsWhole({Content(0, 2), End(3), kDone}));
  EXPECT_FALSE(IsWhole({Content(0, 2), Content(1, 1), End(3), kDone}));
  EXPECT_FALSE(IsWhole({Content(0, 2), Content(3, 1), End(3), kDone}));
  EXPECT_FALSE(IsWhole({Content(0, 3), End(3), kDone, Content(3, 1)}));
}

TEST(StreamCheckTest, AnErrorEventIsReadAndIsNotWhole) {
  StreamCheck check;
  check.Feed(Content(0, 2), base::Time{});
  check.Feed(
      "data: {\"error\":{\"code\":\"answer_incomplete\",\"outcome\":\"ran\","
      "\"message\":\"m\"}}\n\n",
      base::Time{});
  EXPECT_FALSE(check.whole());
  EXPECT_EQ(check.error_code(), "answer_incomplete");
  EXPECT_EQ(check.error_outcome(), "ran");
}

TEST(StreamCheckTest, SplitsAGapOverTheTokensOfAChunk) {
  StreamCheck check;
  check.Feed(Content(0, 1), base::Time{milliseconds(100)});
  check.Feed(Content(1, 4), base::Time{milliseconds(140)});
  ASSERT_EQ(check.gaps().size(), 4u);
  EXPECT_DOUBLE_EQ(check.gaps().front(), 0.010);
  EXPECT_EQ(check.first_token(), base::Time{milliseconds(100)});
}

Deployment SwingingDeployment() {
  Deployment deployment;
  deployment.contracts = {{base::ContractId("c"), 1, {1, 2}, {1000, 2000}, 5}};
  deployment.workload.requests_per_s = 100;
  return deployment;
}

TEST(TraceTest, IsTheSameForTheSameSeed) {
  const Deployment deployment = SwingingDeployment();
  const auto text = [&](std::uint64_t seed) {
    std::string all;
    for (const TraceItem& item :
         MakeTrace(deployment, std::chrono::seconds(5), 1000, seed)) {
      all += item.id.str() + std::to_string(item.at.count()) +
             MakeBody(deployment.workload, item);
    }
    return all;
  };
  EXPECT_EQ(text(1), text(1));
  EXPECT_NE(text(1), text(2));
}

TEST(TraceTest, MixSwingsFromOneExtremeToTheOther) {
  const Deployment deployment = SwingingDeployment();
  const auto trace =
      MakeTrace(deployment, std::chrono::seconds(240), 100000, 1);
  const auto ratio = [&](int from_s, int to_s) {
    double prompt = 0;
    double output = 0;
    for (const TraceItem& item : trace) {
      if (item.at >= std::chrono::seconds(from_s) &&
          item.at < std::chrono::seconds(to_s)) {
        prompt += static_cast<double>(item.prompt.value());
        output += static_cast<double>(item.output.value());
      }
    }
    return prompt / output;
  };
  EXPECT_NEAR(ratio(0, 15), 3.0, 0.5);
  EXPECT_NEAR(ratio(110, 130), 1.0 / 3, 0.06);
  EXPECT_NEAR(static_cast<double>(trace.size()), 24000, 800);
}

}  // namespace
}  // namespace lynxglade::bench
