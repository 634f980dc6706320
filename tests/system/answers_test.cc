// Responses stay complete, with each token exactly once, and the reported
// outcome of rejected requests is correct while engines fail.
#include <random>

#include <gtest/gtest.h>

#include "system/deployment.h"

namespace lynxglade::system_test {
namespace {

using nlohmann::json;

class AnswersTest : public testing::Test {
 protected:
  void SetUp() override { deployment_.Start(2); }

  Reply SendTo(int instance, Call call = {}) {
    return Send(deployment_.caller_port(instance), std::move(call));
  }

  // Sends calls until one of them hits the fault of engine-1; every response
  // must be complete. The calls after it refill the retry budget of the
  // contract.
  void ExpectWholeThrough(const json& fault, const std::string& name) {
    const double before = Failures(name);
    json switches = fault;
    switches["id"] = "engine-1";
    deployment_.FaultEngines(switches);
    int more = 14;
    for (int i = 0; i < 100 && more > 0; ++i) {
      Call call;
      call.prompt = fault.dump() + std::to_string(i);
      call.max_tokens = 12;
      call.stream = i % 4 != 0;
      const Reply reply = SendTo(0, call);
      EXPECT_EQ(reply.verdict, Verdict::kWhole) << fault << reply;
      more -= Failures(name) > before ? 1 : 0;
    }
    EXPECT_EQ(Failures(name), before + 1) << fault;
  }

  // Number of attempts of instance 0 with this end.
  double Failures(const std::string& end) {
    return deployment_.Metric(0, "lynxglade_attempt_ends_total",
                              "\"" + end + "\"");
  }

  Deployment deployment_;
};

TEST_F(AnswersTest, StreamGoesOnElsewhereWhenItsEngineCrashes) {
  deployment_.FaultEngines({{"id", "engine-1"}, {"crash_after_tokens", 7}});
  int crashed = 0;
  for (int i = 0; i < 12; ++i) {
    Call call;
    call.prompt = "prompt " + std::to_string(i);
    const Reply reply = SendTo(i % 2, call);
    EXPECT_EQ(reply.verdict, Verdict::kWhole) << reply;
  }
  for (const json& run : deployment_.EngineRuns()) {
    crashed += run["phase"] == "crashed";
  }
  EXPECT_EQ(crashed, 1);
}

TEST_F(AnswersTest, AnswerIsWholeThroughEachFaultOfAnEngine) {
  ExpectWholeThrough({{"truncate", 1}, {"truncate_after", 5}}, "truncated");
  ExpectWholeThrough({{"truncate", 1}, {"truncate_after", 5}, {"unframed", -1}},
                     "truncated");
  ExpectWholeThrough({{"crossed", 1}}, "crossed");
  ExpectWholeThrough({{"reset_before", 1}}, "reset");
  ExpectWholeThrough({{"reset_after", 1}}, "truncated");
  ExpectWholeThrough({{"overloaded", 1}}, "refused");
  ExpectWholeThrough({{"refuse_draining", 1}}, "refused");
}

// A random fault of one engine or of all.
json RandomFault(std::mt19937* random) {
  static const std::vector<json> faults = {{{"reset_before", 2}},
                                           {{"reset_after", 2}},
                                           {{"overloaded", 3}},
                                           {{"refuse_draining", 2}},
                                           {{"truncate", 2}},
                                           {{"crossed", 1}},
                                           {{"never_answer", 1}},
                                           {{"crash", {{"down_ms", 300}}}},
                                           {{"refuse", true}},
                                           {{"clear", true}},
                                           {{"overloaded", 20}},
                                           {{"clear", true}},
                                           {{"reset_connections", true}}};
  json fault = faults[(*random)() % faults.size()];
  const unsigned engine = (*random)() % 6;
  if (engine > 0 && engine <= 4) {
    fault["id"] = "engine-" + std::to_string(engine);
  }
  return fault;
}

TEST_F(AnswersTest, RefusalThatSaysNotRunIsTrueUnderRandomFaults) {
  constexpr int kCalls = 600;
  Load load(
      12, [this] { return deployment_.Entries(); },
      [](int n) {
        Call call;
        call.prompt = "random " + std::to_string(n);
        call.max_tokens = 4 + n % 24;
        call.stream = n % 2 == 0;
        call.deadline = std::chrono::milliseconds(3000);
        call.key = n % 3 == 0 ? "key-" + std::to_string(n) : "";
        return call;
      });
  std::mt19937 random(20261202);
  ASSERT_TRUE(WaitFor(
      [&] {
        deployment_.FaultEngines(RandomFault(&random));
        return load.ended() >= kCalls;
      },
      std::chrono::seconds(60)));
  deployment_.FaultEngines({{"clear", true}});
  const std::vector<Reply> replies = load.Stop();
  const std::vector<json> runs = deployment_.EngineRuns();
  int not_run = 0;
  for (const Reply& reply : replies) {
    EXPECT_NE(reply.verdict, Verdict::kWrong) << reply;
    if (reply.outcome == "not_run") {
      ++not_run;
      EXPECT_EQ(RunsOf(runs, reply.id), 0) << reply;
    }
  }
  int receipts = 0;
  for (int n = 0; n < kCalls; n += 3) {
    const int ran = RunsOf(runs, "key-" + std::to_string(n));
    EXPECT_LE(ran, 1) << "key-" << n;
    receipts += ran;
  }
  // The random faults caused all three kinds of end.
  EXPECT_GT(not_run, 0);
  EXPECT_GT(Count(replies, Verdict::kWhole), 0);
  EXPECT_GT(receipts, 0);
}

}  // namespace
}  // namespace lynxglade::system_test
