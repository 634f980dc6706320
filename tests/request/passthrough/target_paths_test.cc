#include "request/passthrough/target_paths.h"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;

const base::Time kNow = base::Time() + std::chrono::hours(1);

EngineEntry Target(int n, const std::string& zone = "a") {
  EngineEntry entry;
  entry.id = base::TargetId("t" + std::to_string(n));
  entry.service = base::ServiceName("s");
  entry.zone = base::ZoneId(zone);
  return entry;
}

class TargetPathsTest : public testing::Test {
 protected:
  // Two targets of zone a that only others reach.
  void CutZone(base::Time now) {
    paths_.OnOwnFailure(Target(0), /*others_reach=*/true, now, now);
    paths_.OnOwnFailure(Target(1), /*others_reach=*/true, now, now);
  }

  TargetPaths paths_;
};

TEST_F(TargetPathsTest, TargetsAreReachedDirectlyAtFirst) {
  EXPECT_EQ(paths_.Use(Target(0), kNow), TargetPath::kOwn);
  EXPECT_TRUE(paths_.empty());
  EXPECT_FALSE(paths_.CutSince(Target(0), kNow));
}

TEST_F(TargetPathsTest, OneTargetSaysNothingOfTheOthers) {
  paths_.OnOwnFailure(Target(0), true, kNow, kNow);
  EXPECT_EQ(paths_.Use(Target(0), kNow), TargetPath::kThroughOthers);
  EXPECT_EQ(paths_.Use(Target(1), kNow), TargetPath::kOwn);
}

// Guards against RECOVER: each target of a cut path has to fail on its own.
TEST_F(TargetPathsTest, TwoTargetsStandForTheirServiceAndZone) {
  CutZone(kNow);
  EXPECT_EQ(paths_.Use(Target(7), kNow), TargetPath::kThroughOthers);
  EXPECT_EQ(paths_.Use(Target(7, "b"), kNow), TargetPath::kOwn);
  EngineEntry other = Target(7);
  other.service = base::ServiceName("other");
  EXPECT_EQ(paths_.Use(other, kNow), TargetPath::kOwn);
  EXPECT_EQ(paths_.CountThroughOthers(kNow), 2U);
}

// A service that is down for all is not taken for a cut: its other targets are
// tried.
TEST_F(TargetPathsTest, TargetsThatNoneReachStandForNoOthers) {
  for (int i = 0; i < 5; ++i) {
    paths_.OnOwnFailure(Target(i), false, kNow, kNow);
    EXPECT_EQ(paths_.Use(Target(i), kNow), TargetPath::kNone);
  }
  EXPECT_EQ(paths_.Use(Target(9), kNow), TargetPath::kOwn);
}

TEST_F(TargetPathsTest, OwnConnectionEndsTheCut) {
  CutZone(kNow);
  paths_.OnOwnFailure(Target(2), false, kNow, kNow);
  paths_.OnOwnConnection(Target(1));
  EXPECT_EQ(paths_.Use(Target(0), kNow), TargetPath::kOwn);
  EXPECT_EQ(paths_.Use(Target(2), kNow), TargetPath::kNone);
  paths_.OnOwnConnection(Target(2));
  EXPECT_TRUE(paths_.empty());
}

TEST_F(TargetPathsTest, ObservationsExpire) {
  CutZone(kNow);
  EXPECT_EQ(paths_.Use(Target(0), kNow + milliseconds(2999)),
            TargetPath::kThroughOthers);
  EXPECT_EQ(paths_.Use(Target(0), kNow + milliseconds(3000)), TargetPath::kOwn);
}

// Connections that were last used before the cut may be dead.
TEST_F(TargetPathsTest, CutBeginsWithTheFirstFailure) {
  paths_.OnOwnFailure(Target(0), true, kNow, kNow + milliseconds(300));
  paths_.OnOwnFailure(Target(1), true, kNow + milliseconds(200),
                      kNow + milliseconds(500));
  const base::Time later = kNow + milliseconds(900);
  EXPECT_EQ(paths_.CutSince(Target(7), later), kNow);
  // Renewed, it is the same cut.
  paths_.OnOwnFailure(Target(0), true, later, later);
  EXPECT_EQ(paths_.CutSince(Target(7), later), kNow);
}

TEST_F(TargetPathsTest, OneProbeStandsForAGroupThatOthersReach) {
  CutZone(kNow);
  EXPECT_EQ(paths_.TakeProbes(kNow + milliseconds(500)).size(), 1U);
  EXPECT_TRUE(paths_.TakeProbes(kNow + milliseconds(900)).empty());
  EXPECT_EQ(paths_.TakeProbes(kNow + milliseconds(1000)).size(), 1U);
}

TEST_F(TargetPathsTest, UnusedObservationsAreNotRenewed) {
  CutZone(kNow);
  base::Time now = kNow;
  int probes = 0;
  while (!paths_.empty()) {
    now += milliseconds(100);
    for (const base::TargetId& id : paths_.TakeProbes(now)) {
      ++probes;
      EngineEntry target = Target(0);
      target.id = id;
      paths_.OnOwnFailure(target, true, now, now);
    }
    ASSERT_LT(now - kNow, std::chrono::seconds(60));
  }
  EXPECT_LE(probes, 100);
}

// Whatever is observed, probes stay below two a second for each group that
// others reach, and one in 500 ms for each target that none reaches.
RC_GTEST_PROP(TargetPathsProperty, ProbesAreBounded, ()) {
  TargetPaths paths;
  constexpr int kTargets = 6;
  constexpr int kSteps = 100;
  int probes = 0;
  bool none = false;
  for (int i = 0; i < kSteps; ++i) {
    const base::Time now = kNow + i * milliseconds(100);
    const int n = *rc::gen::inRange(0, kTargets);
    const bool reach = *rc::gen::arbitrary<bool>();
    none = none || !reach;
    paths.OnOwnFailure(Target(n), reach, now, now);
    paths.Use(Target(n), now);
    probes += static_cast<int>(paths.TakeProbes(now).size());
  }
  const int intervals = kSteps / 5 + 1;
  RC_ASSERT(probes <= intervals * (none ? kTargets + 1 : 1));
}

}  // namespace
}  // namespace lynxglade::request::passthrough
