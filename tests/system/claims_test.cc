// A non-idempotent request runs at most once, regardless of failures of the
// instance or the key-value service and of repeats by the caller.
#include <future>

#include <gtest/gtest.h>
#include <signal.h>

#include "system/deployment.h"

namespace lynxglade::system_test {
namespace {

using nlohmann::json;

class ClaimsTest : public testing::Test {
 protected:
  void SetUp() override { deployment_.Start(2); }

  static Call Receipt(const std::string& key, int tokens = 16) {
    Call call;
    call.key = key;
    call.prompt = "receipt " + key;
    call.max_tokens = tokens;
    return call;
  }

  Reply SendTo(int instance, const Call& call) {
    return Send(deployment_.caller_port(instance), call);
  }

  std::future<Reply> StartAt(int instance, const Call& call) {
    return std::async(std::launch::async, [this, instance, call] {
      return SendTo(instance, call);
    });
  }

  int EngineRunsOf(const std::string& key) {
    return RunsOf(deployment_.EngineRuns(), key);
  }
  int PlainRunsOf(const std::string& key) {
    return RunsOf(deployment_.PlainRuns(), key);
  }

  // Repeats through the given instance until the response is final.
  Reply RepeatAt(int instance, const Call& call) {
    Reply reply;
    WaitFor([&] {
      reply = SendTo(instance, call);
      return reply.verdict == Verdict::kWhole || reply.outcome == "unknown" ||
             reply.outcome == "ran";
    });
    return reply;
  }

  Deployment deployment_;
};

TEST_F(ClaimsTest, RepeatAfterTheInstanceWasKilledInMidRun) {
  const Call call = Receipt("killed-mid-run", 300);
  auto first = StartAt(0, call);
  ASSERT_TRUE(WaitFor([&] { return EngineRunsOf(call.key) == 1; }));
  deployment_.instance(0).Kill();
  EXPECT_NE(first.get().verdict, Verdict::kWhole);
  for (int i = 0; i < 3; ++i) {
    const Reply reply = SendTo(1, call);
    EXPECT_EQ(reply.verdict, Verdict::kRefused) << reply;
    EXPECT_NE(reply.outcome, "not_run") << reply;
  }
  EXPECT_EQ(EngineRunsOf(call.key), 1);
}

TEST_F(ClaimsTest, RepeatAfterTheInstanceWasKilledBetweenClaimAndRun) {
  const double before = deployment_.Metric(0, "lynxglade_attempts_total");
  deployment_.FaultEngines({{"hang", -1}});
  const Call call = Receipt("killed-before-run");
  auto first = StartAt(0, call);
  ASSERT_TRUE(WaitFor([&] {
    return deployment_.Metric(0, "lynxglade_attempts_total") > before;
  }));
  deployment_.instance(0).Kill();
  first.get();
  deployment_.FaultEngines({{"clear", true}});
  for (int i = 0; i < 3; ++i) {
    const Reply reply = SendTo(1, call);
    EXPECT_EQ(reply.verdict, Verdict::kRefused) << reply;
    EXPECT_NE(reply.outcome, "not_run") << reply;
  }
  EXPECT_LE(EngineRunsOf(call.key), 1);
}

TEST_F(ClaimsTest, RepeatWhileTheInstanceIsPausedAndAfterItWakes) {
  const Call call = Receipt("paused", 300);
  auto first = StartAt(0, call);
  ASSERT_TRUE(WaitFor([&] { return EngineRunsOf(call.key) == 1; }));
  deployment_.instance(0).Send(SIGSTOP);
  const Reply meanwhile = SendTo(1, call);
  EXPECT_EQ(meanwhile.verdict, Verdict::kRefused) << meanwhile;
  EXPECT_NE(meanwhile.outcome, "not_run") << meanwhile;
  deployment_.instance(0).Send(SIGCONT);
  const Reply reply = first.get();
  EXPECT_EQ(reply.verdict, Verdict::kWhole) << reply;
  // Afterwards any instance returns the recorded response.
  const Reply later = RepeatAt(1, call);
  EXPECT_EQ(later.verdict, Verdict::kWhole) << later;
  EXPECT_EQ(EngineRunsOf(call.key), 1);
}

TEST_F(ClaimsTest, AnswersOfTheServiceLostAfterTheWrite) {
  // The first call makes the instance acquire the lease of its claims.
  ASSERT_EQ(SendTo(0, Receipt("before")).verdict, Verdict::kWhole);
  // One lost response: the instance recognises its claim by the write id, and
  // the request runs.
  deployment_.FaultPlatform({{"id", "kv"}, {"lose_answer", 1}});
  const Call once = Receipt("lost-once");
  EXPECT_EQ(SendTo(0, once).verdict, Verdict::kWhole);
  EXPECT_EQ(RepeatAt(1, once).verdict, Verdict::kWhole);
  EXPECT_EQ(EngineRunsOf(once.key), 1);

  // Many lost responses, including those of lookups and of result records.
  deployment_.FaultPlatform({{"id", "kv"}, {"lose_probability", 0.4}});
  int ran = 0;
  for (int i = 0; i < 12; ++i) {
    const Call call = Receipt("lost-often-" + std::to_string(i));
    const Reply replies[] = {SendTo(i % 2, call), SendTo((i + 1) % 2, call)};
    const int runs = EngineRunsOf(call.key);
    EXPECT_LE(runs, 1);
    ran += runs;
    for (const Reply& reply : replies) {
      EXPECT_TRUE(reply.verdict == Verdict::kWhole ||
                  reply.verdict == Verdict::kRefused)
          << reply;
      EXPECT_TRUE(reply.verdict != Verdict::kWhole || runs == 1) << reply;
    }
  }
  EXPECT_GT(ran, 0);
}

TEST_F(ClaimsTest, ServiceDownRefusesAsNotRunAndServesTheRest) {
  deployment_.FaultPlatform({{"id", "kv"}, {"unavailable", -1}});
  const Call call = Receipt("service-down");
  const Reply refused = SendTo(0, call);
  EXPECT_EQ(refused.verdict, Verdict::kRefused) << refused;
  EXPECT_EQ(refused.outcome, "not_run") << refused;
  EXPECT_EQ(refused.code, "claim_unavailable") << refused;
  EXPECT_EQ(EngineRunsOf(call.key), 0);
  EXPECT_EQ(SendTo(0, {}).verdict, Verdict::kWhole);
  deployment_.FaultPlatform({{"id", "kv"}, {"clear", true}});
  EXPECT_EQ(RepeatAt(1, call).verdict, Verdict::kWhole);
  EXPECT_EQ(EngineRunsOf(call.key), 1);
}

TEST_F(ClaimsTest, PlainServiceCalledByManyAtOnceAndWithItsAnswerLost) {
  Call call = Receipt("plain-race");
  call.plain_service = Deployment::kPlainService;
  std::vector<std::future<Reply>> replies;
  for (int i = 0; i < 8; ++i) {
    replies.push_back(StartAt(i % 2, call));
  }
  for (auto& reply : replies) {
    reply.wait();
  }
  EXPECT_EQ(RepeatAt(1, call).verdict, Verdict::kWhole);
  EXPECT_EQ(PlainRunsOf(call.key), 1);

  deployment_.FaultPlain({{"reset_after", 1}});
  call.key = "plain-reset";
  const Reply reset = SendTo(0, call);
  EXPECT_EQ(reset.verdict, Verdict::kRefused) << reset;
  EXPECT_NE(reset.outcome, "not_run") << reset;
  EXPECT_NE(SendTo(1, call).verdict, Verdict::kWhole);
  EXPECT_EQ(PlainRunsOf(call.key), 1);
}

}  // namespace
}  // namespace lynxglade::system_test
