#include "request/passthrough/zone_health.h"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;

const base::Time kNow = base::Time() + std::chrono::hours(1);
const base::ZoneId kZone("a");

base::TargetId Target(int n) {
  return base::TargetId("t" + std::to_string(n));
}

// Three different targets of the zone fail.
void FailThreeTargets(ZoneHealth& zones) {
  for (int i = 0; i < 3; ++i) {
    zones.OnUnreachable(kZone, Target(i), kNow);
  }
}

// Guards against each target of a partitioned zone having to fail on its own.
TEST(ZoneHealth, SeveralTargetsInARowMakeAZoneUnreachable) {
  ZoneHealth zones;
  zones.OnUnreachable(kZone, Target(0), kNow);
  zones.OnUnreachable(kZone, Target(1), kNow);
  EXPECT_FALSE(zones.IsUnreachable(kZone, kNow));
  zones.OnUnreachable(kZone, Target(2), kNow);
  EXPECT_TRUE(zones.IsUnreachable(kZone, kNow));
  EXPECT_FALSE(zones.IsUnreachable(base::ZoneId("b"), kNow));
}

TEST(ZoneHealth, RepeatedFailuresOfOneTargetDoNot) {
  ZoneHealth zones;
  for (int i = 0; i < 10; ++i) {
    zones.OnUnreachable(kZone, Target(0), kNow);
  }
  EXPECT_FALSE(zones.IsUnreachable(kZone, kNow));
}

TEST(ZoneHealth, TargetThatAnswersMakesItsZoneReachable) {
  ZoneHealth zones;
  FailThreeTargets(zones);
  zones.OnReached(kZone);
  EXPECT_FALSE(zones.IsUnreachable(kZone, kNow));
  zones.OnUnreachable(kZone, Target(3), kNow);
  EXPECT_FALSE(zones.IsUnreachable(kZone, kNow));
}

TEST(ZoneHealth, OldFailuresDoNotCount) {
  ZoneHealth zones;
  zones.OnUnreachable(kZone, Target(0), kNow);
  zones.OnUnreachable(kZone, Target(1), kNow);
  zones.OnUnreachable(kZone, Target(2), kNow + milliseconds(2001));
  EXPECT_FALSE(zones.IsUnreachable(kZone, kNow + milliseconds(2001)));
}

TEST(ZoneHealth, OneRequestAtATimeProbesTheZone) {
  ZoneHealth zones;
  FailThreeTargets(zones);
  const base::Time later = kNow + milliseconds(500);
  EXPECT_FALSE(zones.IsUnreachable(kZone, later));
  zones.OnTry(kZone, later);
  EXPECT_TRUE(zones.IsUnreachable(kZone, later));
  EXPECT_TRUE(zones.IsUnreachable(kZone, later + milliseconds(499)));
  EXPECT_FALSE(zones.IsUnreachable(kZone, later + milliseconds(500)));
}

// Random events: a zone is probed again within the probe interval.
RC_GTEST_PROP(ZoneHealth, UnreachableZoneIsProbedAgain, ()) {
  ZoneHealth zones;
  base::Time now = kNow;
  const int n = *rc::gen::inRange(1, 60);
  for (int i = 0; i < n; ++i) {
    now += milliseconds(*rc::gen::inRange(0, 400));
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        zones.OnReached(kZone);
        RC_ASSERT(!zones.IsUnreachable(kZone, now));
        break;
      case 1:
        zones.OnTry(kZone, now);
        break;
      default:
        zones.OnUnreachable(kZone, Target(*rc::gen::inRange(0, 5)), now);
    }
  }
  RC_ASSERT(
      !zones.IsUnreachable(kZone, now + ZoneHealthOptions().probe_interval));
}

}  // namespace
}  // namespace lynxglade::request::passthrough
