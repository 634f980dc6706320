#include "request/passthrough/prefill_times.h"

#include <algorithm>
#include <cmath>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/random.h"

namespace lynxglade::request::passthrough {
namespace {

const base::ServiceName kService("llm");

Engine MakeEngine(const char* id) {
  Engine engine;
  engine.entry.id = base::TargetId(id);
  engine.entry.service = kService;
  return engine;
}

// Actual speed of a simulated engine.
struct SimulatedEngine {
  double base_ms = 0;
  double tokens_per_ms = 0;
  double slowness = 1;

  double Ms(double tokens) const {
    return slowness * (base_ms + tokens / tokens_per_ms);
  }
};

// Samples with long-tailed prompt sizes and 10% of noise; one in twenty met
// an unknown prefill.
class PrefillSamples {
 public:
  explicit PrefillSamples(std::uint64_t seed)
      : random_(base::SeededRandom(seed)) {}

  void Record(PrefillTimes& times,
              Engine& engine,
              const SimulatedEngine& real,
              int n) {
    for (int i = 0; i < n; ++i) {
      const double tokens = 300 * std::exp(3.5 * base::UniformReal(random_));
      const double noise = 0.95 + 0.1 * base::UniformReal(random_);
      const bool delayed = base::UniformReal(random_) < 0.05;
      const double ms = real.Ms(tokens) * noise * (delayed ? 4 : 1);
      times.RecordPrefill(engine, std::llround(tokens),
                          base::FromFineMillis(ms));
    }
  }

 private:
  const base::RandomSource random_;
};

double WorstError(const PrefillTimes& times,
                  const Engine& engine,
                  const SimulatedEngine& real) {
  double worst = 0;
  for (const int tokens : {600, 2'000, 5'000, 10'000}) {
    const double expected = real.Ms(tokens);
    worst = std::max(
        worst, std::abs(times.PrefillMs(engine, tokens) - expected) / expected);
  }
  return worst;
}

SimulatedEngine ArbitraryEngine() {
  return {.base_ms = *rc::gen::inRange(0, 60) / 10.0,
          .tokens_per_ms = static_cast<double>(*rc::gen::inRange(20, 400)),
          .slowness = *rc::gen::inRange(80, 160) / 100.0};
}

RC_GTEST_PROP(PrefillTimes, FindsTheTimesOfUnknownEngines, ()) {
  PrefillTimes times;
  Engine engine = MakeEngine("e");
  const SimulatedEngine real = ArbitraryEngine();
  PrefillSamples prefills(*rc::gen::inRange(1, 1'000'000));
  prefills.Record(times, engine, real, 150);
  RC_ASSERT(WorstError(times, engine, real) < 0.6);
  RC_ASSERT(times.TokensPerMs(engine) < 2 * real.tokens_per_ms);
}

RC_GTEST_PROP(PrefillTimes, FollowsAChangeOfSpeed, ()) {
  PrefillTimes times;
  Engine engine = MakeEngine("e");
  SimulatedEngine real = ArbitraryEngine();
  PrefillSamples prefills(*rc::gen::inRange(1, 1'000'000));
  prefills.Record(times, engine, real, 100);
  real.slowness *= *rc::gen::element(0.25, 4.0);
  prefills.Record(times, engine, real, 150);
  RC_ASSERT(WorstError(times, engine, real) < 0.7);
}

// Two engines of one service that differ by 1.3; an engine without samples gets
// an estimate between them.
TEST(PrefillTimes, DistinguishesSlowAndFastEngines) {
  PrefillTimes times;
  Engine fast = MakeEngine("fast");
  Engine slow = MakeEngine("slow");
  const SimulatedEngine real_fast{.base_ms = 3, .tokens_per_ms = 200};
  const SimulatedEngine real_slow{
      .base_ms = 3, .tokens_per_ms = 200, .slowness = 1.3};
  PrefillSamples prefills(7);
  for (int i = 0; i < 100; ++i) {
    prefills.Record(times, fast, real_fast, 1);
    prefills.Record(times, slow, real_slow, 1);
  }
  EXPECT_NEAR(slow.slowness / fast.slowness, 1.3, 0.15);
  const Engine unknown = MakeEngine("unseen");
  EXPECT_GT(times.PrefillMs(unknown, 3'000), 0.8 * real_fast.Ms(3'000));
  EXPECT_LT(times.PrefillMs(unknown, 3'000), 1.2 * real_slow.Ms(3'000));
}

TEST(PrefillTimes, PromptsOfOneSizeGiveAUsableEstimate) {
  PrefillTimes times;
  Engine engine = MakeEngine("e");
  for (int i = 0; i < 500; ++i) {
    times.RecordPrefill(engine, 1'000, std::chrono::milliseconds(10));
  }
  EXPECT_NEAR(times.PrefillMs(engine, 1'000), 10, 1);
  EXPECT_GT(times.PrefillMs(engine, 4'000), 10);
  EXPECT_LT(times.PrefillMs(engine, 4'000), 60);
}

// Guards against fetch times that stay at their initial value although the
// links are faster.
TEST(PrefillTimes, FollowsKvCacheTransferTimes) {
  PrefillTimes times;
  Engine engine = MakeEngine("e");
  const double prefill_ms = times.PrefillMs(engine, 1'000);
  for (int i = 0; i < 100; ++i) {
    times.RecordPrefillAfterFetch(engine, 1'000,
                                  base::FromFineMillis(prefill_ms + 3));
    times.RecordHandover(kService, std::chrono::milliseconds(9));
  }
  EXPECT_NEAR(times.FetchMs(kService), 3, 0.5);
  EXPECT_NEAR(times.HandoverMs(kService), 9, 0.5);
  const base::ServiceName other("other");
  EXPECT_EQ(times.HandoverMs(other), PrefillTimesOptions().initial_handover_ms);
}

// A single prefill that hangs must not change the estimate much.
TEST(PrefillTimes, OneOutlierChangesLittle) {
  PrefillTimes times;
  Engine engine = MakeEngine("e");
  PrefillSamples prefills(3);
  const SimulatedEngine real{.base_ms = 2, .tokens_per_ms = 100};
  prefills.Record(times, engine, real, 100);
  const double before = times.PrefillMs(engine, 3'000);
  times.RecordPrefill(engine, 3'000, std::chrono::seconds(10));
  EXPECT_LT(times.PrefillMs(engine, 3'000), 1.5 * before);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
