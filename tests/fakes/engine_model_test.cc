#include "fakes/engine_model.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fakes/token_text.h"

namespace lynxglade::fakes {
namespace {

constexpr base::Duration kTick = std::chrono::milliseconds(2);
constexpr double kTickSeconds = 0.002;

RunSpec Spec(std::int64_t prompt_tokens, std::int64_t max_tokens) {
  RunSpec spec;
  spec.prompt = std::string(static_cast<std::size_t>(prompt_tokens) * 4, 'x');
  spec.prompt_tokens = base::Tokens(prompt_tokens);
  spec.max_tokens = max_tokens;
  return spec;
}

// Advances until the run is done or has `tokens`; returns the seconds taken.
double AdvanceUntil(EngineModel& model, RunId id, std::int64_t tokens) {
  double seconds = 0;
  constexpr double kTooLong = 1000;
  while (seconds < kTooLong && model.Progress(id).generated < tokens) {
    model.Advance(kTick);
    seconds += kTickSeconds;
  }
  return seconds;
}

// Prefill takes tokens divided by the prefill rate, and a single stream decodes
// at the per-stream rate.
RC_GTEST_PROP(EngineModelTest, RatesAreKept, ()) {
  const auto prompt = *rc::gen::inRange<std::int64_t>(100, 20000);
  const auto tokens = *rc::gen::inRange<std::int64_t>(2, 100);
  const EngineRates rates;
  EngineModel model(rates, {});
  const RunId id = *model.Add(Spec(prompt, tokens));
  const double first = AdvanceUntil(model, id, 1);
  const double rest = AdvanceUntil(model, id, tokens);
  const double expected_first = static_cast<double>(prompt) / rates.prefill;
  const double expected_rest =
      static_cast<double>(tokens - 1) / rates.per_stream;
  RC_ASSERT(std::abs(first - expected_first) <= 2 * kTickSeconds);
  RC_ASSERT(std::abs(rest - expected_rest) <= 2 * kTickSeconds);
}

TEST(EngineModelTest, BatchSharesTheDecodeRate) {
  const EngineRates rates;
  EngineModel model(rates, {});
  std::vector<RunId> runs;
  for (int i = 0; i < 60; ++i) {
    runs.push_back(*model.Add(Spec(1, 100)));
  }
  AdvanceUntil(model, runs.back(), 1);
  const double seconds = AdvanceUntil(model, runs.back(), 100);
  EXPECT_NEAR(seconds, 99 * 60 / rates.decode, 0.1);
}

// The benefit of separate roles: prefill slows concurrent decode on a mixed
// engine, and a decode engine is slow at prefill.
TEST(EngineModelTest, PrefillSlowsDecodeBesideIt) {
  EngineModel alone({}, {});
  const RunId a = *alone.Add(Spec(1, 200));
  const double undisturbed = AdvanceUntil(alone, a, 200);
  EngineModel mixed({}, {});
  const RunId b = *mixed.Add(Spec(1, 200));
  AdvanceUntil(mixed, b, 1);
  const RunId long_prompt = *mixed.Add(Spec(200000, 1));
  EXPECT_GT(AdvanceUntil(mixed, b, 200), 3 * undisturbed);
  EXPECT_EQ(mixed.Progress(long_prompt).generated, 0);

  EngineModel decode({}, {});
  decode.set_role(request::EngineRole::kDecode);
  const RunId c = *decode.Add(Spec(12000, 1));
  EXPECT_NEAR(AdvanceUntil(decode, c, 1), 10.0, 0.1);
}

TEST(EngineModelTest, UrgentRunsAreScheduledFirstAndTheQueueIsBounded) {
  EngineLimits limits;
  limits.batch = 1;
  limits.queue = 2;
  EngineModel model({}, limits);
  const RunId running = *model.Add(Spec(1000, 10));
  RunSpec late = Spec(1000, 10);
  late.priority = 9;
  RunSpec urgent = Spec(1000, 10);
  urgent.priority = 0;
  const RunId second = *model.Add(late);
  const RunId first = *model.Add(urgent);
  EXPECT_FALSE(model.Add(Spec(1, 1)));
  AdvanceUntil(model, running, 10);
  AdvanceUntil(model, first, 10);
  EXPECT_EQ(model.Progress(second).generated, 0);
  AdvanceUntil(model, second, 10);
  EXPECT_EQ(model.Progress(second).phase, RunPhase::kDone);
}

TEST(EngineModelTest, CachedPrefixSavesItsPrefill) {
  EngineModel model({}, {});
  const std::string shared(32000, 's');
  const auto run = [&](const std::string& hint, const std::string& rest) {
    RunSpec spec = Spec(1, 1);
    spec.prompt = shared + rest;
    spec.prompt_tokens = CountPromptTokens(spec.prompt);
    spec.prefix_hint = hint;
    const RunId id = *model.Add(spec);
    const double seconds = AdvanceUntil(model, id, 1);
    return std::pair(seconds, model.Progress(id).cached.value());
  };
  EXPECT_EQ(run("h", std::string(4000, 'a')).second, 0);
  const auto [again, cached] = run("h", std::string(4000, 'b'));
  EXPECT_EQ(cached, 8000);
  EXPECT_LT(again, 0.1);
  EXPECT_EQ(run("other", "").second, 0);
}

// The cache stays within its capacity, and its events match its contents.
RC_GTEST_PROP(PrefixCacheTest, EventsMatchContents, ()) {
  const base::Tokens capacity(100);
  PrefixCache cache(capacity);
  const auto uses = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 500)));
  for (const auto& [hint, bytes] : uses) {
    cache.Store(std::to_string(hint),
                std::string(static_cast<std::size_t>(bytes), 'p'));
    RC_ASSERT(cache.used() <= capacity);
  }
  std::map<std::string, bool> stored_hints;
  std::int64_t last = 0;
  for (const CacheEvent& event : cache.events()) {
    RC_ASSERT(event.seq == ++last);
    RC_ASSERT(stored_hints[event.prefix] != event.stored);
    stored_hints[event.prefix] = event.stored;
  }
  for (const auto& [hint, stored] : stored_hints) {
    RC_ASSERT((cache.Lookup(hint, std::string(64, 'p')).value() > 0) == stored);
  }
}

TEST(EngineModelTest, ImportedCacheCostsOnlyItsTransfer) {
  const EngineRates rates;
  EngineModel model(rates, {});
  RunSpec spec = Spec(20000, 2);
  spec.imports_kv = true;
  const RunId id = *model.Add(spec);
  const double expected = 20000 / rates.kv_transfer + 1 / rates.per_stream;
  EXPECT_NEAR(AdvanceUntil(model, id, 1), expected, 2 * kTickSeconds);
}

}  // namespace
}  // namespace lynxglade::fakes
