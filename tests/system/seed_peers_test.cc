// An instance that starts while its zone is cut off from the platform.
#include <gtest/gtest.h>

#include "system/deployment.h"

namespace lynxglade::system_test {
namespace {

using nlohmann::json;

class SeedPeersTest : public testing::Test {
 protected:
  void SetUp() override {
    deployment_.Start(2);
    // The instances of the zone share the list.
    for (const int n : {1, 3}) {
      ASSERT_TRUE(WaitFor([&] { return RowsHeldBy(n) == kTargets; },
                          std::chrono::seconds(60)))
          << deployment_.instance(n).Log();
    }
    deployment_.CutFromPlatform(1, true);
  }

  int RowsHeldBy(int n) const {
    const json body = deployment_.Admin(n, "GET", "/v1/admin/instances").body;
    return body.value(json::json_pointer("/views/listed/count"), -1);
  }

  static constexpr int kTargets = 6;
  Deployment deployment_{{.zones = 2, .engines = 4, .plain = 2}};
};

TEST_F(SeedPeersTest, NewInstanceOfACutOffZoneServesByItsPeersList) {
  // Not in the list, so that no instance of the other zone discovers it.
  deployment_.Unlist(4);
  deployment_.Unlist(5);
  const int alone = deployment_.AddInstance(1);
  const int fresh = deployment_.AddInstance(
      1, {"--seed-peers",
          deployment_.PeerEndpoint(1) + "," + deployment_.PeerEndpoint(3)});
  EXPECT_TRUE(deployment_.WaitReady(fresh))
      << deployment_.instance(fresh).Log();
  EXPECT_GT(deployment_.Metric(fresh, "lynxglade_instance_list_failures_total"),
            0);
  EXPECT_EQ(deployment_.Admin(alone, "GET", "/readyz").status, 503);
  // The platform and its list are reachable again.
  deployment_.CutFromPlatform(1, false);
  EXPECT_TRUE(deployment_.WaitReady(alone))
      << deployment_.instance(alone).Log();
  EXPECT_TRUE(deployment_.WaitReady(fresh));
}

}  // namespace
}  // namespace lynxglade::system_test
