#include "process/capacity/capacity_plan.h"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::process::capacity {
namespace {

using request::passthrough::ScalingTerms;

constexpr CapacityPlanOptions kOptions{.regular_share = 0.2,
                                       .spot_headroom = 1.5,
                                       .max_spot_price = 0.7};

ScalingTerms Terms(double spot_price) {
  ScalingTerms terms;
  terms.min_engines = 1;
  terms.max_engines = 60;
  terms.spot_price = spot_price;
  return terms;
}

TEST(CapacityPlan, WithoutCheaperEnginesTheOperatorsNumberStays) {
  const ZoneCapacity zone{.base = 30, .ready = {30, 0}, .ordered = {30, 0}};
  EXPECT_EQ(PlanZone(zone, Terms(0), kOptions), (EngineCounts{30, 0}));
  EXPECT_EQ(PlanZone(zone, Terms(0.9), kOptions), (EngineCounts{30, 0}));
}

// Regular engines serve until their replacements do.
TEST(CapacityPlan, RegularEnginesLeaveAsSpotEnginesBecomeReady) {
  ZoneCapacity zone{.base = 30, .ready = {30, 0}, .ordered = {30, 0}};
  EXPECT_EQ(PlanZone(zone, Terms(0.2), kOptions), (EngineCounts{30, 30}));
  zone.ordered = {30, 30};
  zone.ready = {30, 10};
  EXPECT_EQ(PlanZone(zone, Terms(0.2), kOptions).regular, 20);
  zone.ordered = {20, 39};
  zone.ready = {20, 30};
  EXPECT_EQ(PlanZone(zone, Terms(0.2), kOptions), (EngineCounts{6, 39}));
}

// The load pattern: a zone loses all its spot engines, and they are to be had
// again within seconds. Regular engines ordered meanwhile would boot into cold
// caches and leave again.
TEST(CapacityPlan, AReclaimDoesNotBringRegularEnginesBack) {
  const ZoneCapacity zone{.base = 30, .ready = {6, 0}, .ordered = {6, 39}};
  EXPECT_EQ(PlanZone(zone, Terms(0.2), kOptions), (EngineCounts{6, 39}));
}

RC_GTEST_PROP(CapacityPlan, KeepsTheLimitsOfTheZone, ()) {
  ScalingTerms terms;
  terms.min_engines = *rc::gen::inRange(0, 10);
  terms.max_engines = *rc::gen::inRange(1, 80);
  terms.spot_price = *rc::gen::element(0.0, 0.18, 0.5, 1.0);
  ZoneCapacity zone;
  zone.base = *rc::gen::inRange(0, 80);
  zone.ordered.regular = *rc::gen::inRange(0, 80);
  zone.ready.spot = *rc::gen::inRange(0, 80);
  const EngineCounts plan = PlanZone(zone, terms, kOptions);
  RC_ASSERT(plan.regular >= 0);
  RC_ASSERT(plan.spot >= 0);
  RC_ASSERT(plan.total() <= terms.max_engines);
  RC_ASSERT(plan.total() >= std::min(terms.min_engines, terms.max_engines));
}

// What is ready and what was ordered converge: once the plan is in force and
// its engines are there, it does not change.
RC_GTEST_PROP(CapacityPlan, IsStableOnceItIsInForce, ()) {
  ScalingTerms terms = Terms(*rc::gen::element(0.0, 0.18, 0.5));
  terms.max_engines = *rc::gen::inRange(1, 80);
  ZoneCapacity zone;
  zone.base = *rc::gen::inRange(1, 60);
  zone.ready = zone.ordered = {zone.base, 0};
  // Near the limit of the zone the engines are replaced one by one.
  for (int i = 0; i < 100; ++i) {
    zone.ordered = PlanZone(zone, terms, kOptions);
    zone.ready = zone.ordered;
  }
  RC_ASSERT(PlanZone(zone, terms, kOptions) == zone.ordered);
}

}  // namespace
}  // namespace lynxglade::process::capacity
