// Orders to engines: changes interrupt no response, and no order of a holder
// that has lost the authority takes effect.
#include <algorithm>
#include <map>

#include <gtest/gtest.h>
#include <signal.h>

#include "system/deployment.h"

namespace lynxglade::system_test {
namespace {

using nlohmann::json;
using std::chrono::seconds;

DeploymentOptions QuickChanges(bool fenced) {
  return {.engines = 4,
          .engine_flags = {"--change-ms", "500", "--idle-timeout-ms", "1000",
                           "--fenced", fenced ? "true" : "false"},
          .platform_flags = {"--loads-per-minute", "600", "--load-burst", "10"},
          .daemon_flags = {"--lease-ttl", "7", "--engine-idle-timeout", "1",
                           "--role-change-time", "1"}};
}

Call Chat(int n) {
  Call call;
  call.prompt = "change " + std::to_string(n);
  call.max_tokens = 10 + n % 60;
  call.stream = n % 2 == 0;
  return call;
}

class OrdersTest : public testing::TestWithParam<bool> {
 protected:
  void SetUp() override {
    deployment_.Start(2);
    ASSERT_TRUE(WaitFor([this] { return Holder() >= 0; }));
  }

  // The instance that reports to hold the authority; -1: none.
  int Holder(int except = -1) {
    for (int n = 0; n < 2; ++n) {
      if (n == except) {
        continue;
      }
      const json fleet = deployment_.Admin(n, "GET", "/v1/admin/fleet").body;
      for (const json& it : fleet.value("authority", json::array())) {
        if (it.value("lease", "") == "held") {
          return n;
        }
      }
    }
    return -1;
  }

  // Requests this version for both contracts.
  void WantVersion(int instance, const std::string& version) {
    json changes = json::array();
    for (const char* contract :
         {Deployment::kContract, Deployment::kOtherContract}) {
      changes.push_back({{"upsert_intent",
                          {{"contract", contract},
                           {"service", Deployment::kEngineService},
                           {"model", "model-a"},
                           {"version", version},
                           {"share", 0.5},
                           {"priority", 5}}}});
    }
    ASSERT_TRUE(deployment_.Change(instance, changes));
  }

  int EnginesAt(const std::string& version) {
    int n = 0;
    for (int i = 0; i < 4; ++i) {
      const json state = deployment_.EngineState(i);
      n += state.value("version", "") == version &&
           state.value("phase", "") == "ready" &&
           !state.value("draining", true);
    }
    return n;
  }

  // No engine applied an order with a fence lower than an earlier one, except
  // orders without effect.
  void ExpectNoOrderOfALostAuthority() {
    for (const json& journal : deployment_.EngineJournals()) {
      std::int64_t highest = 0;
      json in_effect;
      for (const json& order : journal["orders"]) {
        if (!order.value("accepted", false)) {
          continue;
        }
        const std::int64_t fence = order["fence"];
        EXPECT_TRUE(fence >= highest || order["target"] == in_effect)
            << journal["engine"] << order;
        highest = std::max(highest, fence);
        in_effect = order["target"];
      }
      EXPECT_FALSE(journal["orders"].empty());
    }
  }

  Deployment deployment_{QuickChanges(GetParam())};
};

class ChangesTest : public OrdersTest {};

TEST_P(ChangesTest, VersionChangeOfAllEnginesUnderLoadCutsNothing) {
  Load load(6, [this] { return deployment_.Entries(); }, Chat);
  ASSERT_TRUE(WaitFor([&] { return load.ended() > 40; }));
  WantVersion(0, "v2");
  EXPECT_TRUE(WaitFor([&] { return EnginesAt("v2") == 4; }, seconds(60)))
      << deployment_.Admin(Holder(), "GET", "/v1/admin/fleet").body.dump(1);
  const int before = load.ended();
  ASSERT_TRUE(WaitFor([&] { return load.ended() > before + 40; }));
  for (const Reply& reply : load.Stop()) {
    EXPECT_EQ(reply.verdict, Verdict::kWhole) << reply;
  }
  ExpectNoOrderOfALostAuthority();
}

TEST_P(ChangesTest, EngineThatCrashesInTheMiddleOfAChangeIsRepaired) {
  deployment_.FaultEngines(
      {{"id", "engine-2"},
       {"crash_on_order",
        {{"after_ms", 100}, {"down_ms", 500}, {"half_changed", true}}}});
  WantVersion(0, "v2");
  EXPECT_TRUE(WaitFor([&] { return EnginesAt("v2") == 4; }, seconds(60)))
      << deployment_.Admin(Holder(), "GET", "/v1/admin/fleet").body.dump(1);
  ExpectNoOrderOfALostAuthority();
}

TEST_P(OrdersTest, HolderPausedPastItsLeaseGivesNoOrderWhenItWakes) {
  const int old = Holder();
  const int other = 1 - old;
  WantVersion(other, "v2");
  // Pauses the holder during the changes.
  ASSERT_TRUE(WaitFor([&] { return EnginesAt("v1") < 4; }, seconds(20)));
  deployment_.instance(old).Send(SIGSTOP);
  ASSERT_TRUE(WaitFor([&] { return Holder(old) == other; }, seconds(30)));
  WantVersion(other, "v3");
  EXPECT_TRUE(WaitFor([&] { return EnginesAt("v3") == 4; }, seconds(60)))
      << deployment_.Admin(other, "GET", "/v1/admin/fleet").body.dump(1);
  deployment_.instance(old).Send(SIGCONT);
  // The paused holder has resumed once it knows the revision accepted
  // meanwhile.
  ASSERT_TRUE(WaitFor([&] {
    return deployment_.RevisionAt(old) == deployment_.RevisionAt(other);
  }));
  ASSERT_TRUE(WaitFor([&] { return Holder(other) < 0; }));
  WantVersion(old, "v4");
  EXPECT_TRUE(WaitFor([&] { return EnginesAt("v4") == 4; }, seconds(60)));
  ExpectNoOrderOfALostAuthority();
}

std::string NameOf(const testing::TestParamInfo<bool>& info) {
  return info.param ? "Fenced" : "Unfenced";
}

INSTANTIATE_TEST_SUITE_P(Engines, OrdersTest, testing::Bool(), NameOf);
INSTANTIATE_TEST_SUITE_P(Engines, ChangesTest, testing::Values(true), NameOf);

}  // namespace
}  // namespace lynxglade::system_test
