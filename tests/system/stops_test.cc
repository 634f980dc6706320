// Planned changes interrupt no request: leaving targets and stopping instances.
#include <chrono>

#include <gtest/gtest.h>

#include "system/deployment.h"

namespace lynxglade::system_test {
namespace {

using nlohmann::json;

std::int64_t WallMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Call MixedCall(int n) {
  Call call;
  call.prompt = "mixed " + std::to_string(n);
  call.max_tokens = 20 + n % 100;
  call.stream = n % 3 != 0;
  call.key = n % 5 == 0 ? "mixed-" + std::to_string(n) : "";
  call.plain_service = n % 7 == 0 ? Deployment::kPlainService : "";
  return call;
}

int RunsAfter(const json& journal, std::int64_t at_ms) {
  return static_cast<int>(
      std::ranges::count_if(journal["runs"], [&](const json& run) {
        return run.value("queued_ms", std::int64_t{0}) > at_ms;
      }));
}

TEST(StopsTest, LeavingTargetGetsNoNewWorkAfterThreeSeconds) {
  Deployment deployment({.zones = 2});
  ASSERT_NO_FATAL_FAILURE(deployment.Start(1));
  Load load(8, [&] { return deployment.Entries(); }, MixedCall);
  ASSERT_TRUE(WaitFor([&] { return load.ended() > 100; }));
  deployment.SetListState("engine-1", "leaving");
  const std::int64_t bound = WallMillis() + 3000;
  const int before = load.ended();
  ASSERT_TRUE(WaitFor([&] {
    return WallMillis() > bound + 1500 && load.ended() > before + 300;
  }));
  const std::vector<Reply> replies = load.Stop();
  EXPECT_EQ(Count(replies, Verdict::kWhole), std::ssize(replies));
  for (const json& journal : deployment.EngineJournals()) {
    const bool leaving = journal["engine"] == "engine-1";
    const int after = RunsAfter(journal, bound);
    EXPECT_TRUE(leaving ? after == 0 : after > 0)
        << journal["engine"] << " took " << after;
    EXPECT_GT(std::ssize(journal["runs"]), after);
  }
}

// Replaces each instance by a new one and ends the old one by SIGTERM.
TEST(StopsTest, RollingReplacementUnderLoadLosesAndDoublesNothing) {
  Deployment deployment({.zones = 2});
  ASSERT_NO_FATAL_FAILURE(deployment.Start(2));
  Load load(10, [&] { return deployment.Entries(); }, MixedCall);
  ASSERT_TRUE(WaitFor([&] { return load.ended() > 50; }));
  for (int old = 0; old < 4; ++old) {
    const int replacement = deployment.AddInstance(old % 2);
    ASSERT_TRUE(deployment.WaitReady(replacement));
    EXPECT_EQ(deployment.instance(old).Terminate(), 0) << "instance " << old;
    deployment.Unlist(old);
    const int before = load.ended();
    ASSERT_TRUE(WaitFor([&] { return load.ended() > before + 30; }));
  }
  const std::vector<Reply> replies = load.Stop();
  std::vector<json> runs = deployment.EngineRuns();
  std::ranges::copy(deployment.PlainRuns(), std::back_inserter(runs));
  for (const Reply& reply : replies) {
    EXPECT_EQ(reply.verdict, Verdict::kWhole) << reply;
    EXPECT_EQ(RunsOf(runs, reply.id), 1) << reply;
  }
}

}  // namespace
}  // namespace lynxglade::system_test
