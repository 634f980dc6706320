// A partitioned availability zone continues to serve: without the platform,
// without the targets of other zones, without both, and without peers.
#include <gtest/gtest.h>

#include "system/deployment.h"

namespace lynxglade::system_test {
namespace {

using nlohmann::json;

class PartitionsTest : public testing::Test {
 protected:
  void SetUp() override { deployment_.Start(2); }

  static Call Chat(int n) {
    Call call;
    call.prompt = "cut " + std::to_string(n);
    call.max_tokens = 10 + n % 50;
    call.stream = n % 2 == 0;
    return call;
  }

  // All calls of a load over all instances succeed during and after the fault.
  void ExpectNothingLost(const std::function<void(bool on)>& fault) {
    Load load(8, [this] { return deployment_.Entries(); }, Chat);
    ASSERT_TRUE(WaitFor([&] { return load.ended() > 60; }));
    for (const bool on : {true, false}) {
      fault(on);
      const int before = load.ended();
      ASSERT_TRUE(WaitFor([&] { return load.ended() > before + 250; },
                          std::chrono::seconds(30)));
    }
    const std::vector<Reply> replies = load.Stop();
    for (const Reply& reply : replies) {
      EXPECT_EQ(reply.verdict, Verdict::kWhole) << reply;
    }
  }

  // Calls to each instance of the zone succeed.
  void ExpectZoneServes(int zone, const std::string& name) {
    for (int i = 0; i < 6; ++i) {
      Call call = Chat(i);
      call.id = name + std::to_string(i);
      const Reply reply =
          Send(deployment_.caller_port(zone + 2 * (i % 2)), call);
      EXPECT_EQ(reply.verdict, Verdict::kWhole) << reply;
    }
  }

  Deployment deployment_{{.zones = 2, .engines = 4, .plain = 2}};
};

TEST_F(PartitionsTest, ZoneCutOffFromThePlatformLosesNothing) {
  ExpectNothingLost([this](bool on) { deployment_.CutFromPlatform(1, on); });
  // A request that needs the key-value service is rejected there as not run.
  deployment_.CutFromPlatform(1, true);
  Call receipt = Chat(1);
  receipt.key = "cut-receipt";
  const Reply reply = Send(deployment_.caller_port(1), receipt);
  EXPECT_EQ(reply.verdict, Verdict::kRefused) << reply;
  EXPECT_EQ(reply.outcome, "not_run") << reply;
  EXPECT_EQ(RunsOf(deployment_.EngineRuns(), receipt.key), 0);
}

TEST_F(PartitionsTest, SlowServiceLosesNothing) {
  ExpectNothingLost([this](bool on) {
    for (const char* port : {"kv-1", "kv-2"}) {
      deployment_.FaultPlatform({{"id", port}, {"slow_ms", on ? 700 : 0}});
    }
  });
}

TEST_F(PartitionsTest, ZoneCutOffFromAllServesByItsOwnTargets) {
  deployment_.CutFromPlatform(1, true);
  deployment_.CutFromZones(1, true);
  ExpectZoneServes(1, "cut-off-");
  ExpectZoneServes(0, "rest-");
  deployment_.CutFromZones(1, false);
  deployment_.CutFromPlatform(1, false);
  for (const json& journal : deployment_.EngineJournals()) {
    // engine-1 and engine-3 are in zone a, the others in zone b.
    const std::string engine = journal["engine"];
    const bool zone_b = engine == "engine-2" || engine == "engine-4";
    for (const json& run : journal["runs"]) {
      const std::string id = run.value("request_id", "");
      const bool whole = run["phase"] == "finished";
      EXPECT_FALSE(whole && id.starts_with("cut-off-") && !zone_b) << run;
    }
  }
  ExpectZoneServes(1, "healed-");
}

TEST_F(PartitionsTest, InstanceWithoutPeersAndPlatformGoesOnServing) {
  deployment_.CutFromPlatform(0, true);
  deployment_.CutFromPlatform(1, true);
  for (int n = 1; n < 4; ++n) {
    deployment_.instance(n).Kill();
  }
  for (int i = 0; i < 6; ++i) {
    const Reply reply = Send(deployment_.caller_port(0), Chat(i));
    EXPECT_EQ(reply.verdict, Verdict::kWhole) << reply;
  }
  EXPECT_EQ(deployment_.Admin(0, "GET", "/readyz").status, 200);
}

}  // namespace
}  // namespace lynxglade::system_test
