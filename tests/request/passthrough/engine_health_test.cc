#include "request/passthrough/engine_health.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;

const base::Time kNow = base::Time() + std::chrono::hours(1);

TEST(EngineHealth, AvoidancePeriodGrowsWithEachFailure) {
  EngineHealth health;
  EXPECT_FALSE(health.IsAvoided(kNow));
  health.OnFailure(kNow);
  EXPECT_TRUE(health.IsAvoided(kNow + milliseconds(499)));
  EXPECT_FALSE(health.IsAvoided(kNow + milliseconds(500)));
  health.OnFailure(kNow);
  EXPECT_TRUE(health.IsAvoided(kNow + milliseconds(999)));
  health.OnAccepted();
  EXPECT_FALSE(health.IsAvoided(kNow));
}

// Guards against all waiting requests going to an unresponsive engine at once
// whenever its avoidance ends.
TEST(EngineHealth, OneRequestProbesATargetThatFailed) {
  EngineHealth health;
  health.OnFailure(kNow);
  const base::Time later = kNow + milliseconds(600);
  EXPECT_FALSE(health.IsAvoided(later));
  health.OnTry(later);
  EXPECT_TRUE(health.IsAvoided(later));
  health.OnAccepted();
  EXPECT_FALSE(health.IsAvoided(later));
}

TEST(EngineHealth, RequestsToAHealthyTargetAreNotProbes) {
  EngineHealth health;
  health.OnTry(kNow);
  EXPECT_FALSE(health.IsAvoided(kNow));
}

TEST(EngineHealth, OneRejectedFetchDoesNotAvoidTheTarget) {
  EngineHealth health;
  health.OnRejection(true, kNow);
  EXPECT_FALSE(health.IsAvoided(kNow));
  EXPECT_FALSE(health.RejectsAll());
  health.OnRejection(true, kNow);
  EXPECT_TRUE(health.IsAvoided(kNow));
  EXPECT_TRUE(health.RejectsAll());
  health.OnAccepted();
  EXPECT_FALSE(health.RejectsAll());
}

TEST(EngineHealth, ARejectionWithoutAFetchAvoidsTheTarget) {
  EngineHealth health;
  health.OnRejection(false, kNow);
  EXPECT_TRUE(health.IsAvoided(kNow));
}

// Random events: a target is avoided for the longest period at most, and not at
// all once it accepts.
RC_GTEST_PROP(EngineHealth, AvoidanceEnds, ()) {
  EngineHealth health;
  base::Time now = kNow;
  const int n = *rc::gen::inRange(1, 40);
  for (int i = 0; i < n; ++i) {
    now += milliseconds(*rc::gen::inRange(0, 3000));
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        health.OnTry(now);
        break;
      case 1:
        health.OnFailure(now);
        break;
      case 2:
        health.OnRejection(*rc::gen::arbitrary<bool>(), now);
        break;
      default:
        health.OnAccepted();
        RC_ASSERT(!health.IsAvoided(now));
    }
  }
  RC_ASSERT(!health.IsAvoided(now + EngineHealthOptions().max_avoidance));
}

}  // namespace
}  // namespace lynxglade::request::passthrough
