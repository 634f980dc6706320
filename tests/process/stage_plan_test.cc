#include "process/stage_plan.h"

#include <algorithm>
#include <map>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::process {
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

// Services as the users have them: 18 engines in three zones, 12 in four, 90 in
// three and in five. Prompts there are long and answers short.
TEST(StagePlan, SplitsOfTheUsersZones) {
  const StagePlanOptions options;
  EXPECT_EQ(DecodeEngines(6, 3, options), 1);
  EXPECT_EQ(DecodeEngines(3, 4, options), 1);
  EXPECT_EQ(DecodeEngines(30, 3, options), 7);
  EXPECT_EQ(DecodeEngines(18, 5, options), 4);
}

TEST(StagePlan, AServiceKeepsTwoThatGenerate) {
  const StagePlanOptions options;
  EXPECT_EQ(DecodeEngines(6, 1, options), 2);
  EXPECT_EQ(DecodeEngines(3, 1, options), 2);
}

TEST(StagePlan, AnEngineAloneGenerates) {
  const StagePlanOptions options;
  EXPECT_EQ(DecodeEngines(1, 1, options), 1);
  EXPECT_EQ(DecodeEngines(2, 1, options), 1);
  EXPECT_EQ(DecodeEngines(0, 1, options), 0);
}

TEST(StagePlan, WithoutRequestsAllChangeAtOnce) {
  const auto engines = Zone("a", 2, 4);
  const auto changes = PlanStages(engines, true, {});
  EXPECT_EQ(changes.size(), 2U);
  Apply(changes);
  EXPECT_TRUE(PlanStages(engines, true, {}).empty());
}

TEST(StagePlan, UnderLoadOneChangesAtATime) {
  EXPECT_EQ(PlanStages(Zone("a", 0, 6), false, {}).size(), 1U);
}

TEST(StagePlan, EnginesThatLeaveDoNotCount) {
  auto engines = Zone("a", 4, 2);
  engines[4]->entry.draining = true;
  engines[5]->entry.draining = true;
  const auto changes = PlanStages(engines, true, {});
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0].to, EngineStage::kDecode);
  EXPECT_EQ(changes[1].to, EngineStage::kDecode);
}

// Whatever the start, the plan ends at its split in every zone, each engine
// changes at most once, and no zone is left without one that generates.
RC_GTEST_PROP(StagePlan, EndsAtTheSplitAndStaysThere, ()) {
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
  const int filled = static_cast<int>(std::ranges::count_if(
      zones, [](const auto& row) { return !row.second.empty(); }));
  for (const auto& [name, zone] : zones) {
    const int n = static_cast<int>(zone.size());
    RC_ASSERT(CountDecode(zone) == DecodeEngines(n, filled, options));
    RC_ASSERT(n == 0 || CountDecode(zone) > 0);
  }
}

}  // namespace
}  // namespace lynxglade::process
