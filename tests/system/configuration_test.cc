// An accepted configuration is applied by every reachable instance within three
// seconds and never reverts.
#include <future>

#include <gtest/gtest.h>

#include "system/deployment.h"

namespace lynxglade::system_test {
namespace {

using nlohmann::json;
using std::chrono::seconds;

constexpr seconds kInForceWithin{3};

class ConfigurationTest : public testing::Test {
 protected:
  void SetUp() override { deployment_.Start(2); }

  static json NewContract(const std::string& id) {
    return {{{"upsert_contract",
              {{"id", id},
               {"default_deadline_ms", 1000},
               {"intents", json::array()}}}}};
  }

  bool InForce(int instance, long revision) {
    return deployment_.RevisionAt(instance) >= revision;
  }

  void ExpectInForceEverywhere(long revision, int instances = 4) {
    EXPECT_TRUE(WaitFor(
        [&] {
          int held = 0;
          for (int n = 0; n < instances; ++n) {
            held += InForce(n, revision) ? 1 : 0;
          }
          return held == instances;
        },
        kInForceWithin));
  }

  void FaultService(json switches) {
    switches["id"] = "kv";
    deployment_.FaultPlatform(switches);
  }

  // Zones a (instances 0, 2) and b (1, 3).
  Deployment deployment_{{.zones = 2, .engines = 2, .plain = 2}};
};

TEST_F(ConfigurationTest, InForceEverywhereWithinThreeSeconds) {
  for (int i = 0; i < 8; ++i) {
    const auto revision =
        deployment_.Change(i % 4, NewContract("new-" + std::to_string(i)));
    ASSERT_TRUE(revision);
    ExpectInForceEverywhere(*revision);
  }
}

TEST_F(ConfigurationTest, PeersTellAZoneThatIsCutOffFromTheService) {
  deployment_.CutFromPlatform(1, true);
  for (int i = 0; i < 4; ++i) {
    const auto revision =
        deployment_.Change(0, NewContract("cut-" + std::to_string(i)));
    ASSERT_TRUE(revision);
    ExpectInForceEverywhere(*revision);
  }
}

TEST_F(ConfigurationTest, NeverRevertsWhenTheServiceGoesBackToAnOlderCopy) {
  FaultService({{"save_copy", true}});
  const auto revision = deployment_.Change(0, NewContract("after-the-copy"));
  ASSERT_TRUE(revision);
  ExpectInForceEverywhere(*revision);
  FaultService({{"load_copy", true}});
  // The instances have read the older head and keep the newer configuration.
  EXPECT_TRUE(WaitFor([&] {
    for (int n = 0; n < 4; ++n) {
      const HttpReply status =
          deployment_.Admin(n, "GET", "/v1/admin/config/status");
      EXPECT_EQ(status.body.value("revision", -1L), *revision) << n;
      if (status.body.value("service_is_behind", false)) {
        return true;
      }
    }
    return false;
  }));
  // A new instance gets the newer revision from its peers.
  const int fresh = deployment_.AddInstance(0);
  ASSERT_TRUE(deployment_.WaitReady(fresh))
      << deployment_.instance(fresh).Log();
  EXPECT_TRUE(
      WaitFor([&] { return InForce(fresh, *revision); }, kInForceWithin));
  ExpectInForceEverywhere(*revision, fresh + 1);
}

TEST_F(ConfigurationTest, RacingOperatorsOneWinsTheOtherIsToldWhatChanged) {
  for (int round = 0; round < 6; ++round) {
    const long before = deployment_.RevisionAt(0);
    ExpectInForceEverywhere(before);
    std::vector<std::string> plans;
    for (int n = 0; n < 4; ++n) {
      const HttpReply plan = deployment_.Admin(
          n, "POST", "/v1/admin/plans",
          {{"note", "race"},
           {"changes", NewContract("race-" + std::to_string(round) + "-" +
                                   std::to_string(n))}});
      ASSERT_EQ(plan.status, 201) << plan.body;
      plans.push_back(plan.body.value("id", ""));
    }
    std::vector<std::future<HttpReply>> confirms;
    for (int n = 0; n < 4; ++n) {
      confirms.push_back(
          std::async(std::launch::async, [this, n, id = plans[n]] {
            return deployment_.Admin((n + 1) % 4, "POST",
                                     "/v1/admin/plans/" + id + "/confirm",
                                     json::object());
          }));
    }
    int won = 0;
    for (auto& confirm : confirms) {
      const HttpReply reply = confirm.get();
      won += reply.status == 200 ? 1 : 0;
      EXPECT_TRUE(reply.status == 200 ||
                  (reply.status == 409 && reply.body.contains("changed_since")))
          << reply.status << reply.body;
    }
    EXPECT_EQ(won, 1);
    ExpectInForceEverywhere(before + 1);
  }
}

TEST_F(ConfigurationTest, ConfirmationWhoseAnswerIsLostEndsInTheTruth) {
  const long before = deployment_.RevisionAt(0);
  const HttpReply plan = deployment_.Admin(
      0, "POST", "/v1/admin/plans",
      {{"note", "lost"}, {"changes", NewContract("lost-answer")}});
  ASSERT_EQ(plan.status, 201);
  FaultService({{"lose_answer", 1}});
  const std::string path =
      "/v1/admin/plans/" + plan.body.value("id", "") + "/confirm";
  const HttpReply reply = deployment_.Admin(0, "POST", path, json::object());
  EXPECT_EQ(reply.status, 200) << reply.body;
  // A repeated confirmation refers to the same change and does not add another.
  deployment_.Admin(1, "POST", path, json::object());
  ExpectInForceEverywhere(before + 1);
  EXPECT_EQ(deployment_.RevisionAt(1), before + 1);
}

TEST_F(ConfigurationTest, InstanceThatStartsDuringTheOutageServesFromPeers) {
  FaultService({{"unavailable", -1}});
  const int fresh = deployment_.AddInstance(0);
  ASSERT_TRUE(deployment_.WaitReady(fresh))
      << deployment_.instance(fresh).Log();
  EXPECT_EQ(deployment_.RevisionAt(fresh), deployment_.RevisionAt(0));
}

TEST(FreshInstanceTest, IsNotReadyWithoutServiceAndPeers) {
  Deployment deployment;
  deployment.FaultPlatform({{"id", "kv"}, {"unavailable", -1}});
  const int fresh = deployment.AddInstance();
  ASSERT_TRUE(WaitFor([&] {
    return deployment.Admin(fresh, "GET", "/healthz").status == 200 &&
           deployment.Metric(fresh, "lynxglade_kv_calls_total") > 3;
  }));
  EXPECT_EQ(deployment.Admin(fresh, "GET", "/readyz").status, 503);
  const Reply reply = Send(deployment.caller_port(fresh), {});
  EXPECT_EQ(reply.verdict, Verdict::kRefused) << reply;
  EXPECT_EQ(reply.outcome, "not_run") << reply;
}

}  // namespace
}  // namespace lynxglade::system_test
