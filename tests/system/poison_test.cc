// Requests that affect others: content that crashes targets, and a contract
// that floods the system.
#include <future>

#include <gtest/gtest.h>

#include "system/deployment.h"

namespace lynxglade::system_test {
namespace {

using nlohmann::json;

class PoisonTest : public testing::Test {
 protected:
  void SetUp() override {
    deployment_.Start(2);
    deployment_.FaultEngines({{"poison", "POISON"}, {"down_ms", 500}});
  }

  static Call Poison() {
    Call call;
    call.prompt = "an innocent beginning, POISON";
    return call;
  }

  static Call Innocent(int n) {
    Call call;
    call.prompt = "innocent " + std::to_string(n);
    call.max_tokens = 60;
    return call;
  }

  // Number of crashed runs of poison requests.
  int Crashes() {
    int crashes = 0;
    for (const json& run : deployment_.EngineRuns()) {
      crashes += run["phase"] == "crashed" &&
                 run.value("request_id", "").starts_with("poison");
    }
    return crashes;
  }

  // Repeats the poison request through the instances in turn until it is
  // rejected permanently.
  Reply SendUntilRefusedForGood(const std::string& name) {
    Reply reply;
    int n = 0;
    EXPECT_TRUE(WaitFor([&] {
      Call call = Poison();
      call.id = name + std::to_string(n);
      reply = Send(deployment_.caller_port(n++ % 2), call);
      return reply.status == 422;
    })) << reply;
    return reply;
  }

  Deployment deployment_{{.engines = 8}};
};

TEST_F(PoisonTest, AtMostTwoCrashesThenRefusedEverywhereInnocentsServed) {
  Load load(4, [this] { return deployment_.Entries(); }, Innocent);
  ASSERT_TRUE(WaitFor([&] { return load.ended() > 20; }));
  const Reply reply = SendUntilRefusedForGood("poison-");
  EXPECT_EQ(reply.code, "quarantined") << reply;
  // The other instance has received the quarantine too.
  EXPECT_TRUE(WaitFor([&] {
    Call call = Poison();
    call.id = "poison-last";
    return Send(deployment_.caller_port(0), call).status == 422 &&
           Send(deployment_.caller_port(1), call).status == 422;
  }));
  EXPECT_EQ(Crashes(), 2);
  const int before = load.ended();
  ASSERT_TRUE(WaitFor([&] { return load.ended() > before + 20; }));
  for (const Reply& innocent : load.Stop()) {
    EXPECT_EQ(innocent.verdict, Verdict::kWhole) << innocent;
  }
}

TEST_F(PoisonTest, AtMostThreeCrashesWhenTwoRunAtOnce) {
  auto other = std::async(std::launch::async, [this] {
    return SendUntilRefusedForGood("poison-other-");
  });
  const Reply reply = SendUntilRefusedForGood("poison-");
  EXPECT_EQ(reply.code, "quarantined") << reply;
  EXPECT_EQ(other.get().code, "quarantined");
  EXPECT_LE(Crashes(), 3);
  EXPECT_GE(Crashes(), 2);
}

// Each contract has a share of half of the engines. While one contract has 80
// callers, only a bounded number of its calls overtakes each call of the other.
TEST(FloodTest, OneContractsFloodDoesNotStarveAnother) {
  Deployment deployment(
      {.engines = 1,
       .engine_flags = {"--batch", "8", "--decode-rate", "2400"}});
  ASSERT_NO_FATAL_FAILURE(deployment.Start(1));
  const auto call_of = [](const char* contract) {
    return [contract](int n) {
      Call call;
      call.contract = contract;
      call.prompt = contract + std::to_string(n);
      call.max_tokens = 24;
      return call;
    };
  };
  const auto entries = [&] { return deployment.Entries(); };
  Load flood(80, entries, call_of(Deployment::kContract));
  ASSERT_TRUE(WaitFor([&] { return flood.ended() > 60; }));
  const int flood_before = flood.whole();
  Load small(2, entries, call_of(Deployment::kOtherContract));
  ASSERT_TRUE(
      WaitFor([&] { return small.ended() >= 40; }, std::chrono::seconds(40)));
  const int overtaken = flood.whole() - flood_before;
  const std::vector<Reply> replies = small.Stop();
  flood.Stop();
  EXPECT_EQ(Count(replies, Verdict::kWhole), std::ssize(replies));
  // In turn, 40 of the flood would pass each call of the two callers.
  EXPECT_LT(overtaken, 40 * 20) << "calls of the flood meanwhile";
}

}  // namespace
}  // namespace lynxglade::system_test
