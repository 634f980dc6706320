#include "request/passthrough/engine_picker.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "request/passthrough/in_flight_request.h"

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;

const base::Time kNow = base::Time() + std::chrono::hours(1);

EngineHandle MakeEngine(const std::string& id,
                        EngineStage stage,
                        const std::string& zone = "a") {
  auto engine = std::make_shared<Engine>();
  engine->entry.id = base::TargetId(id);
  engine->entry.zone = base::ZoneId(zone);
  engine->entry.slots = 64;
  engine->entry.stage = stage;
  return engine;
}

std::vector<EngineHandle> Fleet(int prefill, int decode) {
  std::vector<EngineHandle> fleet;
  for (int i = 0; i < prefill; ++i) {
    fleet.push_back(MakeEngine("p" + std::to_string(i), EngineStage::kPrefill));
  }
  for (int i = 0; i < decode; ++i) {
    fleet.push_back(MakeEngine("d" + std::to_string(i), EngineStage::kDecode));
  }
  return fleet;
}

// A long shared part and a part of its own.
Prompt SharedPrompt(const std::string& shared) {
  return Prompt{{{shared, 13'300}, {"own", 3'720}}};
}

constexpr int kPriority = 2;

EnginePick Pick(EnginePicker& picker,
                const std::vector<EngineHandle>& fleet,
                const Prompt& prompt,
                base::Time now = kNow,
                const std::vector<base::TargetId>& tried = {},
                int priority = kPriority) {
  return picker.Pick(
      fleet,
      {.prompt = prompt, .priority = priority, .tried = tried, .now = now});
}

// Without samples: the estimate is 45 tokens per millisecond.
PrefillTimes prefill_times;

EnginePicker MakePicker(std::uint64_t seed = 1) {
  EnginePickerOptions options;
  options.zone = base::ZoneId("a");
  return EnginePicker(options, prefill_times, base::SeededRandom(seed));
}

TEST(EnginePicker, LongPromptsArePrefilledAtPrefillEngines) {
  EnginePicker picker = MakePicker();
  const auto fleet = Fleet(4, 2);
  const EnginePick pick = Pick(picker, fleet, SharedPrompt("x"));
  ASSERT_NE(pick.prefill_engine, nullptr);
  EXPECT_EQ(pick.prefill_engine->entry.stage, EngineStage::kPrefill);
  EXPECT_EQ(pick.runner->entry.stage, EngineStage::kDecode);
}

// Guards against long prompts prefilled at decode engines, which stalls the
// streams there.
TEST(EnginePicker, DecodeEnginesDoNotPrefillLongPromptsWhilePrefillEnginesCan) {
  EnginePicker picker = MakePicker();
  const auto fleet = Fleet(2, 6);
  for (const EngineHandle& engine : fleet) {
    if (engine->entry.stage == EngineStage::kPrefill) {
      engine->prefills[kPriority].prefill_tokens = 400'000;
    }
  }
  for (int i = 0; i < 200; ++i) {
    const EnginePick pick =
        Pick(picker, fleet, SharedPrompt(std::to_string(i)));
    EXPECT_NE(pick.prefill_engine, nullptr);
  }
}

// Guards against long answers spread evenly over engines of two speeds, so that
// those at the slow one time out.
TEST(EnginePicker, RequestsAreSpreadByCapacity) {
  const auto fleet = Fleet(2, 2);
  EnginePicker picker({.zone = base::ZoneId("a")}, prefill_times,
                      base::SeededRandom(1), {}, {}, {},
                      [](const Engine& engine, base::Time) {
                        return engine.entry.id.str() == "d0" ? 16.0 : 48.0;
                      });
  const Prompt draft{{{"shared", 80}, {"own", 140}}};
  for (int i = 0; i < 40; ++i) {
    ++Pick(picker, fleet, draft).runner->in_flight;
  }
  EXPECT_NEAR(fleet[2]->in_flight, 10, 2);
  EXPECT_NEAR(fleet[3]->in_flight, 30, 2);
}

// Guards against many instances with the same view all choosing the first of
// several equal engines.
TEST(EnginePicker, InstancesSpreadOverEqualEngines) {
  constexpr int kInstances = 200;
  constexpr int kEngines = 20;
  const auto fleet = Fleet(4, kEngines);
  std::map<base::TargetId, int> taken;
  for (std::uint64_t i = 0; i < kInstances; ++i) {
    const EnginePicker picker = MakePicker(i + 1);
    const EnginePick pick = picker.Pick(fleet, {.prompt = SharedPrompt("x"),
                                                .priority = kPriority,
                                                .tried = {},
                                                .allow_separate_prefill = false,
                                                .now = kNow});
    ++taken[pick.runner->entry.id];
  }
  for (const auto& [engine, n] : taken) {
    EXPECT_LE(n, 3 * kInstances / kEngines) << engine;
  }
}

// Guards against an instance taking a busy home for idle because it sees only
// its own prefills.
TEST(EnginePicker, PendingPrefillsOfPeersCount) {
  const auto fleet = Fleet(4, 2);
  EnginePicker without_peers = MakePicker();
  const EngineHandle home =
      Pick(without_peers, fleet, SharedPrompt("x")).prefill_engine;
  EnginePicker picker({.zone = base::ZoneId("a")}, prefill_times,
                      base::SeededRandom(1),
                      [&home](const Engine& engine, int, base::Time) {
                        return &engine == home.get() ? 100'000 : 0;
                      });
  const EnginePick pick = Pick(picker, fleet, SharedPrompt("x"));
  EXPECT_NE(pick.prefill_engine, home);
  EXPECT_EQ(pick.fetch_from, home);
  EXPECT_LT(pick.wait, milliseconds(1));
}

// Guards against short prompts queued behind a long one that an engine has
// started to prefill.
TEST(EnginePicker, ShortPromptAvoidsAnEngineThatPrefillsALongOne) {
  EnginePicker picker = MakePicker();
  const auto fleet = Fleet(2, 1);
  const Prompt question{{{"shop", 350}, {"own", 1'110}}};
  const EngineHandle home =
      Pick(picker, fleet, question, kNow, {}, /*priority=*/0).prefill_engine;
  ASSERT_NE(home, nullptr);
  home->prefills[kPriority].prefill_tokens = 20'000;
  EXPECT_NE(
      Pick(picker, fleet, question, kNow, {}, /*priority=*/0).prefill_engine,
      home);
}

TEST(EnginePicker, UnreachableZoneIsAvoidedWhileOthersRemain) {
  std::vector<EngineHandle> fleet = Fleet(2, 2);
  fleet[0]->entry.zone = base::ZoneId("b");
  fleet[2]->entry.zone = base::ZoneId("b");
  EnginePicker picker({.zone = base::ZoneId("a")}, prefill_times,
                      base::SeededRandom(1), {},
                      [](const base::ZoneId& zone, base::Time) {
                        return zone == base::ZoneId("b");
                      });
  for (int i = 0; i < 50; ++i) {
    const EnginePick pick =
        Pick(picker, fleet, SharedPrompt(std::to_string(i)));
    EXPECT_EQ(pick.prefill_engine, fleet[1]);
    EXPECT_EQ(pick.runner, fleet[3]);
  }
  // Engines of the unreachable zone are still used if there are no others.
  fleet.pop_back();
  fleet.erase(fleet.begin() + 1);
  EXPECT_NE(Pick(picker, fleet, SharedPrompt("x")).runner, nullptr);
}

TEST(EnginePicker, DecodeEnginePrefillsIfThereIsNoPrefillEngine) {
  EnginePicker picker = MakePicker();
  const auto fleet = Fleet(0, 3);
  const EnginePick pick = Pick(picker, fleet, SharedPrompt("x"));
  ASSERT_NE(pick.runner, nullptr);
  EXPECT_EQ(pick.prefill_engine, nullptr);
}

TEST(EnginePicker, NoPickWithoutDecodeEngines) {
  EnginePicker picker = MakePicker();
  EXPECT_EQ(Pick(picker, Fleet(3, 0), SharedPrompt("x")).runner, nullptr);
}

TEST(EnginePicker, DrainingAndTriedEnginesAreLeftOut) {
  EnginePicker picker = MakePicker();
  auto fleet = Fleet(0, 3);
  fleet[0]->entry.draining = true;
  const EnginePick pick =
      Pick(picker, fleet, Prompt{}, kNow, {fleet[1]->entry.id});
  EXPECT_EQ(pick.runner, fleet[2]);
}

TEST(EnginePicker, FailedEngineIsUsedOnlyIfAllFailed) {
  EnginePicker picker = MakePicker();
  auto fleet = Fleet(0, 2);
  fleet[0]->health.OnFailure(kNow);
  EXPECT_EQ(Pick(picker, fleet, Prompt{}).runner, fleet[1]);
  fleet[1]->health.OnFailure(kNow);
  EXPECT_NE(Pick(picker, fleet, Prompt{}).runner, nullptr);
}

RC_GTEST_PROP(EnginePicker, InstancesAgreeOnThePrefillEngineOfAPart, ()) {
  const auto fleet = Fleet(*rc::gen::inRange(1, 12), 2);
  const auto part = *rc::gen::nonEmpty<std::string>();
  EnginePicker one = MakePicker(1);
  EnginePicker two = MakePicker(2);
  RC_ASSERT(Pick(one, fleet, SharedPrompt(part)).prefill_engine ==
            Pick(two, fleet, SharedPrompt(part)).prefill_engine);
}

// Only the parts of the engine that left move.
RC_GTEST_PROP(EnginePicker, OtherPartsKeepTheirHomeWhenAnEngineLeaves, ()) {
  auto fleet = Fleet(*rc::gen::inRange(2, 12), 2);
  const auto part = *rc::gen::nonEmpty<std::string>();
  EnginePicker picker = MakePicker();
  const EngineHandle before =
      Pick(picker, fleet, SharedPrompt(part)).prefill_engine;
  const auto left = *rc::gen::inRange<std::size_t>(0, fleet.size() - 2);
  RC_PRE(fleet[left] != before);
  fleet[left]->entry.draining = true;
  RC_ASSERT(Pick(picker, fleet, SharedPrompt(part)).prefill_engine == before);
}

TEST(EnginePicker, EnginesThatPeersAvoidAreLeftOutWhileOthersRemain) {
  const auto fleet = Fleet(2, 1);
  std::set<std::string> avoided{"p0"};
  EnginePicker picker({.zone = base::ZoneId("a")}, prefill_times,
                      base::SeededRandom(1), {}, {},
                      [&avoided](const Engine& engine, base::Time) {
                        return avoided.contains(engine.entry.id.str());
                      });
  for (int i = 0; i < 20; ++i) {
    const EnginePick pick =
        Pick(picker, fleet, SharedPrompt(std::to_string(i)));
    ASSERT_NE(pick.prefill_engine, nullptr);
    EXPECT_EQ(pick.prefill_engine->entry.id.str(), "p1");
  }
  // The only engine that can run it is still used.
  avoided.insert("d0");
  EXPECT_NE(Pick(picker, fleet, SharedPrompt("x")).runner, nullptr);
}

TEST(EnginePicker, SharedPartsSpreadOverThePrefillEngines) {
  EnginePicker picker = MakePicker();
  const auto fleet = Fleet(12, 6);
  std::map<EngineHandle, int> parts;
  constexpr int kParts = 164;
  for (int i = 0; i < kParts; ++i) {
    ++parts[Pick(picker, fleet, SharedPrompt("part" + std::to_string(i)))
                .prefill_engine];
  }
  EXPECT_EQ(parts.size(), 12U);
  const auto most = std::ranges::max_element(
      parts, {}, [](const auto& row) { return row.second; });
  EXPECT_LT(most->second, 3 * kParts / 12);
}

// A home with two seconds of pending prefills is avoided, and the shared part
// is fetched from it.
TEST(EnginePicker, BusyHomeIsAvoidedAndFetchedFrom) {
  EnginePicker picker = MakePicker();
  const auto fleet = Fleet(4, 2);
  const EnginePick calm = Pick(picker, fleet, SharedPrompt("x"));
  EXPECT_EQ(calm.fetch_from, nullptr);
  EXPECT_EQ(calm.prefill_tokens, 3'720);
  calm.prefill_engine->prefills[kPriority].prefill_tokens = 90'000;
  const EnginePick busy = Pick(picker, fleet, SharedPrompt("x"));
  EXPECT_NE(busy.prefill_engine, calm.prefill_engine);
  EXPECT_EQ(busy.fetch_from, calm.prefill_engine);
}

// Guards against a runner that prefills the whole prompt, shared part included,
// at half speed.
TEST(EnginePicker, RunnerThatPrefillsFetchesTheSharedPart) {
  EnginePicker picker = MakePicker();
  const auto fleet = Fleet(4, 2);
  const EngineHandle home =
      Pick(picker, fleet, SharedPrompt("x")).prefill_engine;
  const Prompt prompt = SharedPrompt("x");
  const EnginePick pick = picker.Pick(fleet, {.prompt = prompt,
                                              .tried = {},
                                              .allow_separate_prefill = false,
                                              .now = kNow});
  EXPECT_EQ(pick.prefill_engine, nullptr);
  EXPECT_EQ(pick.fetch_from, home);
  EXPECT_EQ(pick.prefill_tokens, 3'720);
}

// Guards against requests spreading over engines as soon as their home is
// slightly busy, which prefills the shared parts again at each engine.
TEST(EnginePicker, SlightlyBusyHomeKeepsItsParts) {
  EnginePicker picker = MakePicker();
  const auto fleet = Fleet(4, 2);
  const EngineHandle home =
      Pick(picker, fleet, SharedPrompt("x")).prefill_engine;
  home->prefills[kPriority].prefill_tokens = 13'300;
  EXPECT_EQ(Pick(picker, fleet, SharedPrompt("x")).prefill_engine, home);
}

// Prefills of other instances show in the wait that this instance's own last
// one met, and in its overdue ones.
TEST(EnginePicker, ObservedWaitCountsForAShortTime) {
  EnginePicker picker = MakePicker();
  const auto fleet = Fleet(4, 2);
  const EngineHandle home =
      Pick(picker, fleet, SharedPrompt("x")).prefill_engine;
  home->prefills[kPriority].last_wait = std::chrono::seconds(2);
  home->prefills[kPriority].last_wait_at = kNow;
  EXPECT_NE(Pick(picker, fleet, SharedPrompt("x")).prefill_engine, home);
  EXPECT_EQ(
      Pick(picker, fleet, SharedPrompt("x"), kNow + std::chrono::seconds(2))
          .prefill_engine,
      home);
}

TEST(EnginePicker, OverduePrefillMarksItsEngineAsBusy) {
  EnginePicker picker = MakePicker();
  const auto fleet = Fleet(4, 2);
  const EngineHandle home =
      Pick(picker, fleet, SharedPrompt("x")).prefill_engine;
  home->prefills[kPriority].due.insert(kNow - std::chrono::seconds(2));
  EXPECT_NE(Pick(picker, fleet, SharedPrompt("x")).prefill_engine, home);
}

// Engines prefill urgent prompts first: less urgent ones do not delay a
// request, more urgent ones do.
TEST(EnginePicker, OnlyPromptsAtLeastAsUrgentCountAsAhead) {
  EnginePicker picker = MakePicker();
  const auto fleet = Fleet(1, 1);
  PrefillQueue& queue = fleet[0]->prefills[1];
  queue.last_wait = milliseconds(700);
  queue.last_wait_at = kNow;
  EXPECT_EQ(Pick(picker, fleet, SharedPrompt("x"), kNow, {}, 0).wait,
            base::Duration(0));
  EXPECT_EQ(Pick(picker, fleet, SharedPrompt("x"), kNow, {}, 1).wait,
            milliseconds(700));
  EXPECT_EQ(Pick(picker, fleet, SharedPrompt("x"), kNow, {}, 2).wait,
            milliseconds(700));
}

TEST(EnginePicker, InFlightRequestIsCountedAndItsWaitRecorded) {
  const EngineHandle engine = MakeEngine("p", EngineStage::kPrefill);
  {
    InFlightRequest in_flight(engine, kPriority, 1'000, milliseconds(20), kNow);
    EXPECT_EQ(engine->in_flight, 1);
    EXPECT_EQ(engine->prefills[kPriority].prefill_tokens, 1'000);
    EXPECT_EQ(engine->prefills[kPriority].due.size(), 1U);
    in_flight.OnPrefillDone(kNow + milliseconds(50));
    EXPECT_EQ(engine->prefills[kPriority].prefill_tokens, 0);
    EXPECT_EQ(engine->prefills[kPriority].last_wait, milliseconds(30));
  }
  EXPECT_EQ(engine->in_flight, 0);
  EXPECT_TRUE(engine->prefills[kPriority].due.empty());
}

// The engine to decode what the first engine of the fleet has prefilled.
EngineHandle PickDecodeEngine(const EnginePicker& picker,
                              const std::vector<EngineHandle>& fleet,
                              const std::vector<base::TargetId>& tried) {
  const Prompt prompt = SharedPrompt("x");
  return picker
      .PickDecodeEngine(fleet, fleet[0],
                        {.prompt = prompt, .tried = tried, .now = kNow})
      .runner;
}

// A target accepts a limited number of connections from all instances and
// resets those beyond, which leaves requests with unknown outcome.
TEST(EnginePicker, TargetAtItsConnectionLimitIsLeftOut) {
  EnginePicker picker = MakePicker();
  const auto fleet = Fleet(0, 2);
  const Prompt plain;
  fleet[0]->in_flight = 4;
  const EnginePickQuery query{
      .prompt = plain, .tried = {}, .max_in_flight = 4, .now = kNow};
  EXPECT_EQ(picker.Pick(fleet, query).runner, fleet[1]);
  fleet[1]->in_flight = 4;
  EXPECT_EQ(picker.Pick(fleet, query).runner, nullptr);
}

TEST(EnginePicker, DecodeEngineIsInThePrefillEnginesZone) {
  EnginePicker picker = MakePicker();
  const std::vector<EngineHandle> fleet = {
      MakeEngine("p", EngineStage::kPrefill, "b"),
      MakeEngine("d0", EngineStage::kDecode, "a"),
      MakeEngine("d1", EngineStage::kDecode, "b")};
  EXPECT_EQ(PickDecodeEngine(picker, fleet, {}), fleet[2]);
  EXPECT_EQ(PickDecodeEngine(picker, fleet, {fleet[2]->entry.id}), fleet[1]);
}

// Load reports count, too.
TEST(EnginePicker, PlainRequestsGoToTheLeastLoaded) {
  EnginePicker picker = MakePicker();
  const auto fleet = Fleet(0, 3);
  fleet[0]->in_flight = 5;
  fleet[1]->reported = {6, 2, 6};
  fleet[1]->reported_at = kNow;
  EXPECT_EQ(Pick(picker, fleet, Prompt{}).runner, fleet[2]);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
