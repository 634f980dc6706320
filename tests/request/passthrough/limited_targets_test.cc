// How requests are placed while targets are at the limits that they named.
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "request/passthrough/engine_picker.h"

namespace lynxglade::request::passthrough {
namespace {

const base::Time kNow = base::Time() + std::chrono::hours(1);

std::vector<EngineHandle> Fleet(int prefill, int decode) {
  std::vector<EngineHandle> fleet;
  for (int i = 0; i < prefill + decode; ++i) {
    auto engine = std::make_shared<Engine>();
    engine->entry.id = base::TargetId("e" + std::to_string(i));
    engine->entry.zone = base::ZoneId("a");
    engine->entry.slots = 64;
    engine->entry.stage =
        i < prefill ? EngineStage::kPrefill : EngineStage::kDecode;
    fleet.push_back(std::move(engine));
  }
  return fleet;
}

const PrefillTimes prefill_times;

// Guards against requests to targets that are at the limits that they named,
// and against a herd on the next target.
TEST(LimitedTargets, TargetsAtTheirLimitsAreLeftOut) {
  const Prompt no_prompt;
  const std::vector<base::TargetId> none_tried;
  const auto fleet = Fleet(0, 4);
  const EnginePicker picker({.zone = base::ZoneId("a")}, prefill_times,
                            base::SeededRandom(1), {}, {}, {}, {},
                            [&fleet](Engine& engine, base::Time) {
                              return &engine != fleet[0].get();
                            });
  std::map<EngineHandle, int> picks;
  for (int i = 0; i < 300; ++i) {
    const EnginePick pick = picker.Pick(
        fleet, {.prompt = no_prompt, .tried = none_tried, .now = kNow});
    EXPECT_EQ(pick.over_limit, 1);
    ++picks[pick.runner];
  }
  EXPECT_EQ(picks.size(), 3u);
  EXPECT_FALSE(picks.contains(fleet[0]));
  for (const auto& [engine, n] : picks) {
    EXPECT_GT(n, 50);
  }
}

TEST(LimitedTargets, NoRunnerIfAllTargetsAreAtTheirLimits) {
  const std::vector<base::TargetId> none_tried;
  const auto fleet = Fleet(1, 2);
  const EnginePicker picker({.zone = base::ZoneId("a")}, prefill_times,
                            base::SeededRandom(1), {}, {}, {}, {},
                            [](Engine&, base::Time) { return false; });
  const Prompt prompt = Prompt{{{"shared", 13'300}, {"own", 3'720}}};
  const EnginePickQuery query{
      .prompt = prompt, .tried = none_tried, .now = kNow};
  const EnginePick pick = picker.Pick(fleet, query);
  EXPECT_EQ(pick.runner, nullptr);
  EXPECT_EQ(pick.over_limit, 3);
  const EnginePick decode = picker.PickDecodeEngine(fleet, fleet[0], query);
  EXPECT_EQ(decode.runner, nullptr);
  EXPECT_EQ(decode.over_limit, 3);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
