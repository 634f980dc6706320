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

// An engine as it really is.
struct TrueEngine {
  double base_ms = 0;
  double tokens_per_ms = 0;
  double slowness = 1;

  double Ms(double tokens) const {
    return slowness * (base_ms + tokens / tokens_per_ms);
  }
};

// Reads with sizes as the users' prompts have them (a long tail), 10% of noise,
// and one in twenty that met a read nobody knew of.
class Reads {
 public:
  explicit Reads(std::uint64_t seed) : random_(base::SeededRandom(seed)) {}

  void Read(PrefillTimes& times,
            Engine& engine,
            const TrueEngine& real,
            int n) {
    for (int i = 0; i < n; ++i) {
      const double tokens = 300 * std::exp(3.5 * base::UniformReal(random_));
      const double noise = 0.95 + 0.1 * base::UniformReal(random_);
      const bool met = base::UniformReal(random_) < 0.05;
      const double ms = real.Ms(tokens) * noise * (met ? 4 : 1);
      times.RecordPrefill(engine, std::llround(tokens),
                          base::FromFineMillis(ms));
    }
  }

 private:
  const base::RandomSource random_;
};

double WorstError(const PrefillTimes& times,
                  const Engine& engine,
                  const TrueEngine& real) {
  double worst = 0;
  for (const int tokens : {600, 2'000, 5'000, 10'000}) {
    const double expected = real.Ms(tokens);
    worst = std::max(
        worst, std::abs(times.PrefillMs(engine, tokens) - expected) / expected);
  }
  return worst;
}

TrueEngine DrawnEngine() {
  return {.base_ms = *rc::gen::inRange(0, 60) / 10.0,
          .tokens_per_ms = static_cast<double>(*rc::gen::inRange(20, 400)),
          .slowness = *rc::gen::inRange(80, 160) / 100.0};
}

// 150 reads are three seconds of a busy instance; the users' services read 38
// to 220 tokens in a millisecond.
RC_GTEST_PROP(PrefillTimes, FindsTheTimesOfEnginesNobodyTold, ()) {
  PrefillTimes times;
  Engine engine = MakeEngine("e");
  const TrueEngine real = DrawnEngine();
  Reads prefills(*rc::gen::inRange(1, 1'000'000));
  prefills.Read(times, engine, real, 150);
  RC_ASSERT(WorstError(times, engine, real) < 0.6);
  RC_ASSERT(times.TokensPerMs(engine) < 2 * real.tokens_per_ms);
}

RC_GTEST_PROP(PrefillTimes, FollowsAnEngineThatChangesItsSpeed, ()) {
  PrefillTimes times;
  Engine engine = MakeEngine("e");
  TrueEngine real = DrawnEngine();
  Reads prefills(*rc::gen::inRange(1, 1'000'000));
  prefills.Read(times, engine, real, 100);
  real.slowness *= *rc::gen::element(0.25, 4.0);
  prefills.Read(times, engine, real, 150);
  RC_ASSERT(WorstError(times, engine, real) < 0.7);
}

// Engines of one service that differ by 1.3: each is told apart, and the
// others' reads say what an engine without reads would take.
TEST(PrefillTimes, TellsSlowEnginesFromFastOnes) {
  PrefillTimes times;
  Engine fast = MakeEngine("fast");
  Engine slow = MakeEngine("slow");
  const TrueEngine real_fast{.base_ms = 3, .tokens_per_ms = 200};
  const TrueEngine real_slow{
      .base_ms = 3, .tokens_per_ms = 200, .slowness = 1.3};
  Reads prefills(7);
  for (int i = 0; i < 100; ++i) {
    prefills.Read(times, fast, real_fast, 1);
    prefills.Read(times, slow, real_slow, 1);
  }
  EXPECT_NEAR(slow.slowness / fast.slowness, 1.3, 0.15);
  const Engine unseen = MakeEngine("unseen");
  EXPECT_GT(times.PrefillMs(unseen, 3'000), 0.8 * real_fast.Ms(3'000));
  EXPECT_LT(times.PrefillMs(unseen, 3'000), 1.2 * real_slow.Ms(3'000));
}

TEST(PrefillTimes, PromptsOfOneSizeGiveAFiniteTime) {
  PrefillTimes times;
  Engine engine = MakeEngine("e");
  for (int i = 0; i < 500; ++i) {
    times.RecordPrefill(engine, 1'000, std::chrono::milliseconds(10));
  }
  EXPECT_NEAR(times.PrefillMs(engine, 1'000), 10, 1);
  EXPECT_GT(times.PrefillMs(engine, 4'000), 10);
  EXPECT_LT(times.PrefillMs(engine, 4'000), 60);
}

// The load this answers: links of 530 Gbit/s where 370 had been measured. Each
// fetch was taken to cost 12 ms and took three, so parts were waited for at
// home.
TEST(PrefillTimes, LearnsWhatMovesOfKvCacheCost) {
  PrefillTimes times;
  Engine engine = MakeEngine("e");
  const double read = times.PrefillMs(engine, 1'000);
  for (int i = 0; i < 100; ++i) {
    times.RecordPrefillAfterFetch(engine, 1'000,
                                  base::FromFineMillis(read + 3));
    times.RecordHandover(kService, std::chrono::milliseconds(9));
  }
  EXPECT_NEAR(times.FetchMs(kService), 3, 0.5);
  EXPECT_NEAR(times.HandoverMs(kService), 9, 0.5);
  const base::ServiceName other("other");
  EXPECT_EQ(times.HandoverMs(other), PrefillTimesOptions().initial_handover_ms);
}

// One read that hangs for seconds is no measure of the others.
TEST(PrefillTimes, OneSurpriseChangesLittle) {
  PrefillTimes times;
  Engine engine = MakeEngine("e");
  Reads prefills(3);
  const TrueEngine real{.base_ms = 2, .tokens_per_ms = 100};
  prefills.Read(times, engine, real, 100);
  const double before = times.PrefillMs(engine, 3'000);
  times.RecordPrefill(engine, 3'000, std::chrono::seconds(10));
  EXPECT_LT(times.PrefillMs(engine, 3'000), 1.5 * before);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
