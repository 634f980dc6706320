#include "process/stages/stage_plan.h"

#include <algorithm>
#include <map>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::process::stages {
namespace {

using request::passthrough::Engine;
using request::passthrough::EngineHandle;
using request::passthrough::EngineStage;

EngineHandle MakeEngine(int n, const std::string& zone, EngineStage stage) {
  auto engine = std::make_shared<Engine>();
  engine->entry.id = base::TargetId("e" + std::to_string(n));
  engine->entry.zone = base::ZoneId(zone);
  engine->entry.stage = stage;
  return engine;
}

std::vector<EngineHandle> Zone(const std::string& zone,
                               int prefill,
                               int decode) {
  std::vector<EngineHandle> engines;
  for (int i = 0; i < prefill + decode; ++i) {
    engines.push_back(MakeEngine(
        i, zone, i < prefill ? EngineStage::kPrefill : EngineStage::kDecode));
  }
  return engines;
}

void Apply(const std::vector<StageChange>& changes) {
  for (const StageChange& change : changes) {
    change.engine->entry.stage = change.to;
  }
}

int CountDecode(const std::vector<EngineHandle>& engines) {
  return static_cast<int>(
      std::ranges::count_if(engines, [](const EngineHandle& it) {
        return it->entry.stage == EngineStage::kDecode;
      }));
}

TEST(StagePlan, DecodeCountFollowsTheShare) {
  const StagePlanOptions options;
  EXPECT_EQ(DecodeEngineCount(18, options), 5);
  EXPECT_EQ(DecodeEngineCount(12, options), 3);
  EXPECT_EQ(DecodeEngineCount(90, options), 23);
}

// Guards against choosing decode engines by id order, which may pick slow
// engines and make long answers miss their time limit.
TEST(StagePlan, FastestPrefillEngineMovesToDecode) {
  auto engines = Zone("a", 9, 3);
  engines[0]->slowness = 1.2;
  engines[5]->slowness = 0.8;
  const auto changes = PlanStages(engines, false, {}, 4);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes.front().engine, engines[5]);
  EXPECT_EQ(changes.front().to, EngineStage::kDecode);
}

TEST(StagePlan, SlowestDecodeEngineMovesToPrefill) {
  auto engines = Zone("a", 7, 5);
  engines[10]->generation_slowness = 1.3;
  const auto changes = PlanStages(engines, false, {}, 3);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes.front().engine, engines[10]);
  EXPECT_EQ(changes.front().to, EngineStage::kPrefill);
}

TEST(StagePlan, KeepsAtLeastTwoDecodeEngines) {
  const StagePlanOptions options;
  EXPECT_EQ(DecodeEngineCount(6, options), 2);
  EXPECT_EQ(DecodeEngineCount(3, options), 2);
}

TEST(StagePlan, SingleEngineDecodes) {
  const StagePlanOptions options;
  EXPECT_EQ(DecodeEngineCount(1, options), 1);
  EXPECT_EQ(DecodeEngineCount(2, options), 1);
  EXPECT_EQ(DecodeEngineCount(0, options), 0);
}

// Guards against rounding per zone instead of per service: with one decode
// engine per zone, the loss of one leaves its zone without any.
TEST(StagePlan, SplitIsRoundedOverAllZonesTogether) {
  std::vector<EngineHandle> engines;
  for (const char* zone : {"a", "b", "c"}) {
    const auto more = Zone(zone, 0, 6);
    engines.insert(engines.end(), more.begin(), more.end());
  }
  Apply(PlanStages(engines, true, {}));
  EXPECT_EQ(CountDecode(engines), 5);
}

// Three decode engines over four zones: no zone gets two, and the zone without
// one is chosen so that no engine changes.
TEST(StagePlan, FewerDecodeEnginesThanZonesAreSpread) {
  std::vector<EngineHandle> engines = Zone("a", 3, 0);
  for (const char* zone : {"b", "c", "d"}) {
    const auto more = Zone(zone, 2, 1);
    engines.insert(engines.end(), more.begin(), more.end());
  }
  EXPECT_TRUE(PlanStages(engines, true, {}).empty());
}

TEST(StagePlan, IdleServiceChangesAllEnginesAtOnce) {
  const auto engines = Zone("a", 2, 4);
  const auto changes = PlanStages(engines, true, {});
  EXPECT_EQ(changes.size(), 2U);
  Apply(changes);
  EXPECT_TRUE(PlanStages(engines, true, {}).empty());
}

TEST(StagePlan, BusyServiceChangesOneEngineAtATime) {
  EXPECT_EQ(PlanStages(Zone("a", 0, 6), false, {}).size(), 1U);
}

TEST(StagePlan, DrainingEnginesDoNotCount) {
  auto engines = Zone("a", 4, 2);
  engines[4]->entry.draining = true;
  engines[5]->entry.draining = true;
  const auto changes = PlanStages(engines, true, {});
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0].to, EngineStage::kDecode);
  EXPECT_EQ(changes[1].to, EngineStage::kDecode);
}

// From any start the plan converges to its split, each engine changes at most
// once, and each zone gets its proportional part, rounded up or down.
RC_GTEST_PROP(StagePlan, ConvergesToTheSplit, ()) {
  std::vector<EngineHandle> engines;
  std::map<std::string, std::vector<EngineHandle>> zones;
  for (const char* zone : {"a", "b", "c"}) {
    zones[zone] =
        Zone(zone, *rc::gen::inRange(0, 10), *rc::gen::inRange(0, 10));
    engines.insert(engines.end(), zones[zone].begin(), zones[zone].end());
  }
  std::map<EngineHandle, int> changed;
  const StagePlanOptions options;
  auto changes = PlanStages(engines, false, options);
  while (!changes.empty()) {
    Apply(changes);
    for (const StageChange& change : changes) {
      RC_ASSERT(++changed[change.engine] == 1);
    }
    changes = PlanStages(engines, false, options);
  }
  const int n = static_cast<int>(engines.size());
  const int total = DecodeEngineCount(n, options);
  RC_ASSERT(CountDecode(engines) == total);
  for (const auto& [name, zone] : zones) {
    const int part = total * static_cast<int>(zone.size());
    RC_ASSERT(n == 0 || CountDecode(zone) * n > part - n);
    RC_ASSERT(n == 0 || CountDecode(zone) * n < part + n);
  }
}

// A sample of a large fleet: the spare engines are taken into use before any
// is ordered into another stage.
TEST(StagePlan, WithSpareEnginesOnlyAnExtremeSplitIsChanged) {
  const StagePlanOptions options;
  auto engines = Zone("a", 50, 70);
  auto other = Zone("b", 60, 60);
  engines.insert(engines.end(), other.begin(), other.end());
  EXPECT_FALSE(PlanStages(engines, /*idle=*/true, options).empty());
  EXPECT_TRUE(PlanStages(engines, /*idle=*/true, options, 0, true).empty());
  // One zone without prefill engines, one with hardly any decode engine.
  engines = Zone("a", 0, 40);
  other = Zone("b", 39, 1);
  engines.insert(engines.end(), other.begin(), other.end());
  const auto changes = PlanStages(engines, /*idle=*/true, options, 0, true);
  const auto to_prefill =
      std::ranges::count(changes, EngineStage::kPrefill, &StageChange::to);
  EXPECT_EQ(to_prefill, 10);
  EXPECT_EQ(static_cast<int>(changes.size()) - to_prefill, 9);
}

}  // namespace
}  // namespace lynxglade::process::stages
