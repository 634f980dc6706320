#include "request/passthrough/peer_avoidance.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::Time kNow = base::Time() + std::chrono::hours(1);
const base::TargetId kEngine("e1");
const base::TargetId kOther("e2");

std::vector<AvoidedEngine> ReportOf(const base::TargetId& engine,
                                    base::Duration left) {
  return {{KeyOf(engine), left}};
}

base::InstanceId Peer(int i) {
  return base::InstanceId("i" + std::to_string(i));
}

// Guards against a crashed engine having to fail at each of many instances.
TEST(PeerAvoidance, AvoidsATargetThatSeveralInstancesAvoid) {
  PeerAvoidance peers;
  peers.Put(Peer(1), ReportOf(kEngine, milliseconds(500)), kNow);
  EXPECT_FALSE(peers.IsAvoided(kEngine, kNow));
  peers.Put(Peer(2), ReportOf(kEngine, milliseconds(500)), kNow);
  EXPECT_TRUE(peers.IsAvoided(kEngine, kNow));
  EXPECT_FALSE(peers.IsAvoided(kOther, kNow));
}

// An instance with a broken network avoids every target.
TEST(PeerAvoidance, OneInstanceIsNotEnough) {
  PeerAvoidance peers;
  for (int i = 0; i < 5; ++i) {
    peers.Put(Peer(1), ReportOf(kEngine, seconds(4)), kNow);
  }
  EXPECT_FALSE(peers.IsAvoided(kEngine, kNow));
}

TEST(PeerAvoidance, EndsWhenTheFirstReportEnds) {
  PeerAvoidance peers;
  peers.Put(Peer(1), ReportOf(kEngine, milliseconds(300)), kNow);
  peers.Put(Peer(2), ReportOf(kEngine, milliseconds(900)), kNow);
  EXPECT_TRUE(peers.IsAvoided(kEngine, kNow + milliseconds(299)));
  EXPECT_FALSE(peers.IsAvoided(kEngine, kNow + milliseconds(300)));
}

TEST(PeerAvoidance, ReportsCountForALimitedTime) {
  PeerAvoidance peers;
  peers.Put(Peer(1), ReportOf(kEngine, seconds(60)), kNow);
  peers.Put(Peer(2), ReportOf(kEngine, seconds(60)), kNow);
  EXPECT_TRUE(peers.IsAvoided(kEngine, kNow + milliseconds(999)));
  EXPECT_FALSE(peers.IsAvoided(kEngine, kNow + milliseconds(1000)));
}

// Random reports: a target is avoided exactly if at least two instances
// reported it within the last second.
RC_GTEST_PROP(PeerAvoidance, AvoidsTargetsWithTwoOrMoreRecentReports, ()) {
  struct Report {
    int peer = 0;
    base::Time until{};
  };
  PeerAvoidance peers;
  std::vector<Report> reports;
  base::Time now = kNow;
  const int steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    now += milliseconds(*rc::gen::inRange(0, 400));
    const int peer = *rc::gen::inRange(0, 4);
    const auto left = milliseconds(*rc::gen::inRange(1, 3000));
    peers.Put(Peer(peer), ReportOf(kEngine, left), now);
    std::erase_if(reports,
                  [peer](const Report& it) { return it.peer == peer; });
    reports.push_back({peer, now + std::min<base::Duration>(left, seconds(1))});
    const auto later = now + milliseconds(*rc::gen::inRange(0, 1200));
    const auto n = std::ranges::count_if(
        reports, [later](const Report& it) { return it.until > later; });
    RC_ASSERT(peers.IsAvoided(kEngine, later) == (n >= 2));
  }
}

TEST(PeerAvoidance, OwnFailuresAreReported) {
  EngineTable engines(base::Duration(0));
  EngineEntry entry;
  entry.id = kEngine;
  engines.Put(entry, base::Time());
  entry.id = kOther;
  engines.Put(entry, base::Time());
  EXPECT_TRUE(OwnAvoided(engines, kNow).empty());
  engines.Find(kEngine)->health.OnFailure(kNow);
  EXPECT_EQ(OwnAvoided(engines, kNow), ReportOf(kEngine, milliseconds(500)));
  engines.Find(kEngine)->health.OnAccepted();
  EXPECT_TRUE(OwnAvoided(engines, kNow).empty());
}

}  // namespace
}  // namespace lynxglade::request::passthrough
