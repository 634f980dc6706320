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
constexpr base::Duration kSettling = seconds(15);

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

Prompt Album(int n) {
  return Prompt{{{"album" + std::to_string(n), 13'300}, {"own", 3'720}}};
}

std::vector<EngineHandle> Usable(const std::vector<EngineHandle>& engines) {
  std::vector<EngineHandle> usable;
  std::ranges::copy_if(
      engines, std::back_inserter(usable), [](const EngineHandle& it) {
        return !it->entry.draining && !it->health.Avoided(kNow);
      });
  return usable;
}

PrefixPlacement Find(const std::vector<EngineHandle>& engines, int album) {
  return FindPrefixPlacement(Usable(engines), engines, Album(album), kSettling,
                             kNow);
}

TEST(PrefixPlacement, APartIsAtItsHome) {
  const auto engines = Engines(5);
  const PrefixPlacement places = Find(engines, 1);
  ASSERT_NE(places.home, nullptr);
  EXPECT_EQ(places.holder, places.home);
}

TEST(PrefixPlacement, APromptThatSharesNothingHasNone) {
  const auto engines = Engines(5);
  const PrefixPlacement places = FindPrefixPlacement(
      engines, engines, Prompt{{{"own", 3'720}}}, kSettling, kNow);
  EXPECT_EQ(places.home, nullptr);
  EXPECT_EQ(places.holder, nullptr);
}

// The load this answers: engines replaced one after the other. Each new one
// became home to an eighteenth of the albums and read all of them again, while
// those that had read them stood by: a fifth of all reading.
TEST(PrefixPlacement, ANewHomeFetchesFromTheOneBefore) {
  auto engines = Engines(5);
  for (int album = 0; album < 50; ++album) {
    const EngineHandle before = Find(engines, album).home;
    auto joined = engines;
    joined.push_back(MakeEngine(9));
    joined.back()->stage_since = kNow - seconds(1);
    const PrefixPlacement places = Find(joined, album);
    EXPECT_EQ(places.holder, before);
    joined.back()->stage_since = kNow - kSettling;
    EXPECT_EQ(Find(joined, album).holder, Find(joined, album).home);
  }
}

// What an engine that is leaving has read is fetched while it still serves.
TEST(PrefixPlacement, ALeavingEngineIsFetchedFrom) {
  const auto engines = Engines(5);
  const EngineHandle before = Find(engines, 1).home;
  before->entry.draining = true;
  const PrefixPlacement places = Find(engines, 1);
  EXPECT_NE(places.home, before);
  EXPECT_EQ(places.holder, before);
}

TEST(PrefixPlacement, AnEngineThatCannotBeReachedIsNotFetchedFrom) {
  const auto engines = Engines(5);
  const EngineHandle before = Find(engines, 1).home;
  before->health.OnFailure(kNow);
  const PrefixPlacement places = Find(engines, 1);
  EXPECT_NE(places.home, before);
  EXPECT_EQ(places.holder, places.home);
}

// Whoever comes, goes or fails: a home is usable, a holder is none that just
// joined unless nothing else is there, and instances that see the same engines
// in another order agree.
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
  const int album = *rc::gen::inRange(0, 1000);
  const PrefixPlacement places = Find(engines, album);
  const auto usable = Usable(engines);
  RC_ASSERT((places.home == nullptr) == usable.empty());
  RC_ASSERT((places.holder == nullptr) == usable.empty());
  if (places.home) {
    RC_ASSERT(std::ranges::count(usable, places.home) == 1);
    RC_ASSERT((places.holder == places.home ||
               places.holder->stage_since == base::Time()));
  }
  std::ranges::reverse(engines);
  const PrefixPlacement other = Find(engines, album);
  RC_ASSERT(other.home == places.home);
  RC_ASSERT(other.holder == places.holder);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
