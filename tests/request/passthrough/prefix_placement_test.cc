#include "request/passthrough/prefix_placement.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::seconds;

const base::Time kNow = base::Time() + std::chrono::hours(1);
constexpr base::Duration kSettleTime = seconds(15);

EngineHandle MakeEngine(int n) {
  auto engine = std::make_shared<Engine>();
  engine->entry.id = base::TargetId("p" + std::to_string(n));
  engine->entry.stage = EngineStage::kPrefill;
  return engine;
}

std::vector<EngineHandle> Engines(int n) {
  std::vector<EngineHandle> engines;
  for (int i = 0; i < n; ++i) {
    engines.push_back(MakeEngine(i));
  }
  return engines;
}

Prompt SharedPrompt(int n) {
  return Prompt{{{"album" + std::to_string(n), 13'300}, {"own", 3'720}}};
}

std::vector<EngineHandle> Usable(const std::vector<EngineHandle>& engines) {
  std::vector<EngineHandle> usable;
  std::ranges::copy_if(
      engines, std::back_inserter(usable), [](const EngineHandle& it) {
        return !it->entry.draining && !it->health.IsAvoided(kNow);
      });
  return usable;
}

PrefixPlacement Find(const std::vector<EngineHandle>& engines, int part) {
  return FindPrefixPlacement(Usable(engines), engines, SharedPrompt(part),
                             kSettleTime, kNow);
}

TEST(PrefixPlacement, HomeHoldsThePart) {
  const auto engines = Engines(5);
  const PrefixPlacement placement = Find(engines, 1);
  ASSERT_NE(placement.home, nullptr);
  EXPECT_EQ(placement.holder, placement.home);
}

TEST(PrefixPlacement, PromptWithoutSharedPartsHasNone) {
  const auto engines = Engines(5);
  const PrefixPlacement placement = FindPrefixPlacement(
      engines, engines, Prompt{{{"own", 3'720}}}, kSettleTime, kNow);
  EXPECT_EQ(placement.home, nullptr);
  EXPECT_EQ(placement.holder, nullptr);
}

// Guards against each replaced engine prefilling all shared parts of its home
// again while the previous home still holds them.
TEST(PrefixPlacement, NewHomeFetchesFromThePreviousOne) {
  auto engines = Engines(5);
  for (int part = 0; part < 50; ++part) {
    const EngineHandle before = Find(engines, part).home;
    auto joined = engines;
    joined.push_back(MakeEngine(9));
    joined.back()->stage_since = kNow - seconds(1);
    const PrefixPlacement placement = Find(joined, part);
    EXPECT_EQ(placement.holder, before);
    joined.back()->stage_since = kNow - kSettleTime;
    EXPECT_EQ(Find(joined, part).holder, Find(joined, part).home);
  }
}

// The cache of a draining engine is used while it still serves.
TEST(PrefixPlacement, DrainingEngineIsFetchedFrom) {
  const auto engines = Engines(5);
  const EngineHandle before = Find(engines, 1).home;
  before->entry.draining = true;
  const PrefixPlacement placement = Find(engines, 1);
  EXPECT_NE(placement.home, before);
  EXPECT_EQ(placement.holder, before);
}

TEST(PrefixPlacement, UnreachableEngineIsNotFetchedFrom) {
  const auto engines = Engines(5);
  const EngineHandle before = Find(engines, 1).home;
  before->health.OnFailure(kNow);
  const PrefixPlacement placement = Find(engines, 1);
  EXPECT_NE(placement.home, before);
  EXPECT_EQ(placement.holder, placement.home);
}

// Random engines: a home is usable, a holder has not just joined unless there
// is no other engine, and the order of engines does not matter.
RC_GTEST_PROP(PrefixPlacement, AllInstancesAgree, ()) {
  auto engines = Engines(*rc::gen::inRange(1, 12));
  for (const EngineHandle& engine : engines) {
    engine->entry.draining = *rc::gen::inRange(0, 4) == 0;
    if (*rc::gen::inRange(0, 4) == 0) {
      engine->stage_since = kNow - seconds(1);
    }
    if (*rc::gen::inRange(0, 6) == 0) {
      engine->health.OnFailure(kNow);
    }
  }
  const int part = *rc::gen::inRange(0, 1000);
  const PrefixPlacement placement = Find(engines, part);
  const auto usable = Usable(engines);
  RC_ASSERT((placement.home == nullptr) == usable.empty());
  RC_ASSERT((placement.holder == nullptr) == usable.empty());
  if (placement.home) {
    RC_ASSERT(std::ranges::count(usable, placement.home) == 1);
    RC_ASSERT((placement.holder == placement.home ||
               placement.holder->stage_since == base::Time()));
  }
  std::ranges::reverse(engines);
  const PrefixPlacement other = Find(engines, part);
  RC_ASSERT(other.home == placement.home);
  RC_ASSERT(other.holder == placement.holder);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
