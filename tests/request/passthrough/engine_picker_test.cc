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

// An album of the users' sheet: a long shared part and a part of its own.
Prompt Album(const std::string& shared) {
  return Prompt{{{shared, 13'300}, {"own", 3'720}}};
}

// The least urgent of the users' routes.
constexpr int kPriority = 2;

EnginePick Ask(EnginePicker& choice,
               const std::vector<EngineHandle>& fleet,
               const Prompt& prompt,
               base::Time now = kNow,
               const std::vector<base::TargetId>& tried = {},
               int priority = kPriority) {
  return choice.Pick(
      fleet,
      {.prompt = prompt, .priority = priority, .tried = tried, .now = now});
}

// Nothing is learnt in these tests: engines read 45 tokens in a millisecond.
PrefillTimes prefill_times;

EnginePicker MakeChoice(std::uint64_t seed = 1) {
  EnginePickerOptions options;
  options.zone = base::ZoneId("a");
  return EnginePicker(options, prefill_times, base::SeededRandom(seed));
}

TEST(EnginePicker, LongPromptsAreReadAtPrefillEngines) {
  EnginePicker choice = MakeChoice();
  const auto fleet = Fleet(4, 2);
  const EnginePick pick = Ask(choice, fleet, Album("x"));
  ASSERT_NE(pick.prefill_engine, nullptr);
  EXPECT_EQ(pick.prefill_engine->entry.stage, EngineStage::kPrefill);
  EXPECT_EQ(pick.runner->entry.stage, EngineStage::kDecode);
}

// The load this answers: albums whose shared parts were taken to be cached at
// decode engines, where reading one held up each stream for 400 ms a piece.
TEST(EnginePicker, ADecodeEngineNeverReadsALongPromptWhileAnotherCan) {
  EnginePicker choice = MakeChoice();
  const auto fleet = Fleet(2, 6);
  for (const EngineHandle& engine : fleet) {
    if (engine->entry.stage == EngineStage::kPrefill) {
      engine->prefills[kPriority].prefill_tokens = 400'000;
    }
  }
  for (int i = 0; i < 200; ++i) {
    const EnginePick pick = Ask(choice, fleet, Album(std::to_string(i)));
    EXPECT_NE(pick.prefill_engine, nullptr);
  }
}

// Guards against: long answers spread evenly over engines of two speeds, so
// that those at the slow ones end late.
TEST(EnginePicker, EnginesAreFilledByTheirRoom) {
  const auto fleet = Fleet(2, 2);
  EnginePicker choice({.zone = base::ZoneId("a")}, prefill_times,
                      base::SeededRandom(1), {}, {}, {},
                      [](const Engine& engine, base::Time) {
                        return engine.entry.id.str() == "d0" ? 16.0 : 48.0;
                      });
  const Prompt draft{{{"shared", 80}, {"own", 140}}};
  for (int i = 0; i < 40; ++i) {
    ++Ask(choice, fleet, draft).runner->in_flight;
  }
  EXPECT_NEAR(fleet[2]->in_flight, 10, 2);
  EXPECT_NEAR(fleet[3]->in_flight, 30, 2);
}

// The load this answers: a fleet of 295 instances whose prompts may not be read
// apart. They all took the first of the engines that looked alike, which got
// 6.1 times the mean of arrivals.
TEST(EnginePicker, OfEnginesThatLookAlikeEachInstanceTakesAnother) {
  constexpr int kInstances = 200;
  constexpr int kEngines = 20;
  const auto fleet = Fleet(4, kEngines);
  std::map<base::TargetId, int> taken;
  for (std::uint64_t i = 0; i < kInstances; ++i) {
    const EnginePicker choice = MakeChoice(i + 1);
    const EnginePick pick = choice.Pick(fleet, {.prompt = Album("x"),
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

// The load this answers: seven instances, each of which sees one read in seven.
// Where the home is busy with what others sent, an instance took it for idle:
// waits of 150 to 300 ms were foreseen and 500 ms met.
TEST(EnginePicker, WhatPeersHaveReadCounts) {
  const auto fleet = Fleet(4, 2);
  EnginePicker blind = MakeChoice();
  const EngineHandle home = Ask(blind, fleet, Album("x")).prefill_engine;
  EnginePicker choice({.zone = base::ZoneId("a")}, prefill_times,
                      base::SeededRandom(1),
                      [&home](const Engine& engine, int, base::Time) {
                        return &engine == home.get() ? 100'000 : 0;
                      });
  const EnginePick pick = Ask(choice, fleet, Album("x"));
  EXPECT_NE(pick.prefill_engine, home);
  EXPECT_EQ(pick.fetch_from, home);
  EXPECT_LT(pick.wait, milliseconds(1));
}

// The load this answers: quick questions sent to engines that had begun to
// read a job of 20,000 tokens; one in ten waited for 470 ms.
TEST(EnginePicker, AQuickPromptAvoidsAnEngineThatReadsALongOne) {
  EnginePicker choice = MakeChoice();
  const auto fleet = Fleet(2, 1);
  const Prompt question{{{"shop", 350}, {"own", 1'110}}};
  const EngineHandle home =
      Ask(choice, fleet, question, kNow, {}, /*priority=*/0).prefill_engine;
  ASSERT_NE(home, nullptr);
  home->prefills[kPriority].prefill_tokens = 20'000;
  EXPECT_NE(
      Ask(choice, fleet, question, kNow, {}, /*priority=*/0).prefill_engine,
      home);
}

TEST(EnginePicker, AZoneThatIsCutOffIsLeftWhileOthersRemain) {
  std::vector<EngineHandle> fleet = Fleet(2, 2);
  fleet[0]->entry.zone = base::ZoneId("b");
  fleet[2]->entry.zone = base::ZoneId("b");
  EnginePicker choice({.zone = base::ZoneId("a")}, prefill_times,
                      base::SeededRandom(1), {},
                      [](const base::ZoneId& zone, base::Time) {
                        return zone == base::ZoneId("b");
                      });
  for (int i = 0; i < 50; ++i) {
    const EnginePick pick = Ask(choice, fleet, Album(std::to_string(i)));
    EXPECT_EQ(pick.prefill_engine, fleet[1]);
    EXPECT_EQ(pick.runner, fleet[3]);
  }
  // Better than nothing.
  fleet.pop_back();
  fleet.erase(fleet.begin() + 1);
  EXPECT_NE(Ask(choice, fleet, Album("x")).runner, nullptr);
}

TEST(EnginePicker, WithoutPrefillEnginesADecodeEngineReads) {
  EnginePicker choice = MakeChoice();
  const auto fleet = Fleet(0, 3);
  const EnginePick pick = Ask(choice, fleet, Album("x"));
  ASSERT_NE(pick.runner, nullptr);
  EXPECT_EQ(pick.prefill_engine, nullptr);
}

TEST(EnginePicker, WithoutDecodeEnginesNothingRuns) {
  EnginePicker choice = MakeChoice();
  EXPECT_EQ(Ask(choice, Fleet(3, 0), Album("x")).runner, nullptr);
}

TEST(EnginePicker, DrainingAndTriedEnginesAreLeftOut) {
  EnginePicker choice = MakeChoice();
  auto fleet = Fleet(0, 3);
  fleet[0]->entry.draining = true;
  const EnginePick pick =
      Ask(choice, fleet, Prompt{}, kNow, {fleet[1]->entry.id});
  EXPECT_EQ(pick.runner, fleet[2]);
}

TEST(EnginePicker, AnEngineThatFailedIsUsedOnlyIfAllDid) {
  EnginePicker choice = MakeChoice();
  auto fleet = Fleet(0, 2);
  fleet[0]->health.OnFailure(kNow);
  EXPECT_EQ(Ask(choice, fleet, Prompt{}).runner, fleet[1]);
  fleet[1]->health.OnFailure(kNow);
  EXPECT_NE(Ask(choice, fleet, Prompt{}).runner, nullptr);
}

// All instances agree on a part's home without a message.
RC_GTEST_PROP(EnginePicker, IdleInstancesSendAPartToTheSameEngine, ()) {
  const auto fleet = Fleet(*rc::gen::inRange(1, 12), 2);
  const auto part = *rc::gen::nonEmpty<std::string>();
  EnginePicker one = MakeChoice(1);
  EnginePicker two = MakeChoice(2);
  RC_ASSERT(Ask(one, fleet, Album(part)).prefill_engine ==
            Ask(two, fleet, Album(part)).prefill_engine);
}

// The loss of an engine moves only the parts that lived there.
RC_GTEST_PROP(EnginePicker, PartsOfOtherEnginesStayWhenOneLeaves, ()) {
  auto fleet = Fleet(*rc::gen::inRange(2, 12), 2);
  const auto part = *rc::gen::nonEmpty<std::string>();
  EnginePicker choice = MakeChoice();
  const EngineHandle before = Ask(choice, fleet, Album(part)).prefill_engine;
  const auto left = *rc::gen::inRange<std::size_t>(0, fleet.size() - 2);
  RC_PRE(fleet[left] != before);
  fleet[left]->entry.draining = true;
  RC_ASSERT(Ask(choice, fleet, Album(part)).prefill_engine == before);
}

TEST(EnginePicker, WhatOthersFindToFailIsLeftWhileOthersRemain) {
  const auto fleet = Fleet(2, 1);
  std::set<std::string> avoided{"p0"};
  EnginePicker choice({.zone = base::ZoneId("a")}, prefill_times,
                      base::SeededRandom(1), {}, {},
                      [&avoided](const Engine& engine, base::Time) {
                        return avoided.contains(engine.entry.id.str());
                      });
  for (int i = 0; i < 20; ++i) {
    const EnginePick pick = Ask(choice, fleet, Album(std::to_string(i)));
    ASSERT_NE(pick.prefill_engine, nullptr);
    EXPECT_EQ(pick.prefill_engine->entry.id.str(), "p1");
  }
  // The only one that can run it is used all the same.
  avoided.insert("d0");
  EXPECT_NE(Ask(choice, fleet, Album("x")).runner, nullptr);
}

TEST(EnginePicker, SharedPartsSpreadOverTheReaders) {
  EnginePicker choice = MakeChoice();
  const auto fleet = Fleet(12, 6);
  std::map<EngineHandle, int> parts;
  constexpr int kParts = 164;
  for (int i = 0; i < kParts; ++i) {
    ++parts[Ask(choice, fleet, Album("part" + std::to_string(i)))
                .prefill_engine];
  }
  EXPECT_EQ(parts.size(), 12U);
  const auto most = std::ranges::max_element(
      parts, {}, [](const auto& row) { return row.second; });
  EXPECT_LT(most->second, 3 * kParts / 12);
}

// A home with work for two seconds is passed over, and the shared part is
// fetched from it.
TEST(EnginePicker, ABusyHomeIsPassedOverAndFetchedFrom) {
  EnginePicker choice = MakeChoice();
  const auto fleet = Fleet(4, 2);
  const EnginePick calm = Ask(choice, fleet, Album("x"));
  EXPECT_EQ(calm.fetch_from, nullptr);
  EXPECT_EQ(calm.prefill_tokens, 3'720);
  calm.prefill_engine->prefills[kPriority].prefill_tokens = 90'000;
  const EnginePick busy = Ask(choice, fleet, Album("x"));
  EXPECT_NE(busy.prefill_engine, calm.prefill_engine);
  EXPECT_EQ(busy.fetch_from, calm.prefill_engine);
}

// The load this answers: a retry, or a request whose cache was lost, is read by
// the engine that runs it; it read the whole album there, at half speed.
TEST(EnginePicker, ARunnerThatReadsFetchesTheSharedPart) {
  EnginePicker choice = MakeChoice();
  const auto fleet = Fleet(4, 2);
  const EngineHandle home = Ask(choice, fleet, Album("x")).prefill_engine;
  const Prompt album = Album("x");
  const EnginePick pick = choice.Pick(fleet, {.prompt = album,
                                              .tried = {},
                                              .allow_separate_prefill = false,
                                              .now = kNow});
  EXPECT_EQ(pick.prefill_engine, nullptr);
  EXPECT_EQ(pick.fetch_from, home);
  EXPECT_EQ(pick.prefill_tokens, 3'720);
}

// The load this answers: albums whose requests spread as soon as their home
// had a little to do, so that 7.1 million tokens of shared parts were read
// again in 34 s, and each read waited for these.
TEST(EnginePicker, AHomeThatIsALittleBusierKeepsItsParts) {
  EnginePicker choice = MakeChoice();
  const auto fleet = Fleet(4, 2);
  const EngineHandle home = Ask(choice, fleet, Album("x")).prefill_engine;
  home->prefills[kPriority].prefill_tokens = 13'300;
  EXPECT_EQ(Ask(choice, fleet, Album("x")).prefill_engine, home);
}

// Reads of other instances show in the wait that this instance's own met, for
// a moment, and in its reads that are overdue.
TEST(EnginePicker, WaitsThatReadsMetCountForAMoment) {
  EnginePicker choice = MakeChoice();
  const auto fleet = Fleet(4, 2);
  const EngineHandle home = Ask(choice, fleet, Album("x")).prefill_engine;
  home->prefills[kPriority].last_wait = std::chrono::seconds(2);
  home->prefills[kPriority].last_wait_at = kNow;
  EXPECT_NE(Ask(choice, fleet, Album("x")).prefill_engine, home);
  EXPECT_EQ(Ask(choice, fleet, Album("x"), kNow + std::chrono::seconds(2))
                .prefill_engine,
            home);
}

TEST(EnginePicker, AnOverdueReadSaysThatItsEngineIsBusy) {
  EnginePicker choice = MakeChoice();
  const auto fleet = Fleet(4, 2);
  const EngineHandle home = Ask(choice, fleet, Album("x")).prefill_engine;
  home->prefills[kPriority].due.insert(kNow - std::chrono::seconds(2));
  EXPECT_NE(Ask(choice, fleet, Album("x")).prefill_engine, home);
}

// An engine reads urgent prompts first: what waits behind a request does not
// hold it up, and what goes before it does.
TEST(EnginePicker, OnlyPromptsAsUrgentCountAsAhead) {
  EnginePicker choice = MakeChoice();
  const auto fleet = Fleet(1, 1);
  PrefillQueue& queue = fleet[0]->prefills[1];
  queue.last_wait = milliseconds(700);
  queue.last_wait_at = kNow;
  EXPECT_EQ(Ask(choice, fleet, Album("x"), kNow, {}, 0).wait,
            base::Duration(0));
  EXPECT_EQ(Ask(choice, fleet, Album("x"), kNow, {}, 1).wait,
            milliseconds(700));
  EXPECT_EQ(Ask(choice, fleet, Album("x"), kNow, {}, 2).wait,
            milliseconds(700));
}

TEST(EnginePicker, ATargetInUseIsCountedAndItsWaitLearnt) {
  const EngineHandle engine = MakeEngine("p", EngineStage::kPrefill);
  {
    InFlightRequest use(engine, kPriority, 1'000, milliseconds(20), kNow);
    EXPECT_EQ(engine->in_flight, 1);
    EXPECT_EQ(engine->prefills[kPriority].prefill_tokens, 1'000);
    EXPECT_EQ(engine->prefills[kPriority].due.size(), 1U);
    use.OnPrefillDone(kNow + milliseconds(50));
    EXPECT_EQ(engine->prefills[kPriority].prefill_tokens, 0);
    EXPECT_EQ(engine->prefills[kPriority].last_wait, milliseconds(30));
  }
  EXPECT_EQ(engine->in_flight, 0);
  EXPECT_TRUE(engine->prefills[kPriority].due.empty());
}

// The engine that generates what the first of the fleet has read.
EngineHandle Decoder(const EnginePicker& choice,
                     const std::vector<EngineHandle>& fleet,
                     const std::vector<base::TargetId>& tried) {
  const Prompt prompt = Album("x");
  return choice.PickDecoder(fleet, *fleet[0],
                            {.prompt = prompt, .tried = tried, .now = kNow});
}

// A target takes so many connections from all instances, and resets those
// beyond: a request that was sent on one has an unknown outcome.
TEST(EnginePicker, ATargetWithItsPartOfConnectionsIsLeftOut) {
  EnginePicker choice = MakeChoice();
  const auto fleet = Fleet(0, 2);
  const Prompt plain;
  fleet[0]->in_flight = 4;
  const EnginePickQuery query{
      .prompt = plain, .tried = {}, .max_in_flight = 4, .now = kNow};
  EXPECT_EQ(choice.Pick(fleet, query).runner, fleet[1]);
  fleet[1]->in_flight = 4;
  EXPECT_EQ(choice.Pick(fleet, query).runner, nullptr);
}

TEST(EnginePicker, AnotherEngineOfTheReadersZoneGenerates) {
  EnginePicker choice = MakeChoice();
  const std::vector<EngineHandle> fleet = {
      MakeEngine("p", EngineStage::kPrefill, "b"),
      MakeEngine("d0", EngineStage::kDecode, "a"),
      MakeEngine("d1", EngineStage::kDecode, "b")};
  EXPECT_EQ(Decoder(choice, fleet, {}), fleet[2]);
  EXPECT_EQ(Decoder(choice, fleet, {fleet[2]->entry.id}), fleet[1]);
}

// Requests of a plain service go where the fewest are, reports included.
TEST(EnginePicker, PlainRequestsGoToTheLeastLoaded) {
  EnginePicker choice = MakeChoice();
  const auto fleet = Fleet(0, 3);
  fleet[0]->in_flight = 5;
  fleet[1]->reported = {6, 2, 6};
  fleet[1]->reported_at = kNow;
  EXPECT_EQ(Ask(choice, fleet, Prompt{}).runner, fleet[2]);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
