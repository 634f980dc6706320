#include "request/passthrough/generation_times.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/random.h"

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::seconds;

const base::ServiceName kService("llm");

Engine MakeEngine(const char* id) {
  Engine engine;
  engine.entry.id = base::TargetId(id);
  engine.entry.service = kService;
  engine.entry.slots = 64;
  return engine;
}

// A simulated service with 40 tokens per event. Events have 10% of noise, and
// one in twenty is delayed by a prefill.
struct SimulatedService {
  double base_ms = 0;
  double slope_ms = 0;
  base::RandomSource random;

  void Generate(GenerationTimes& times,
                Engine& engine,
                double slowness,
                int events) const {
    for (int i = 0; i < events; ++i) {
      const int requests = 1 + static_cast<int>(59 * base::UniformReal(random));
      const double noise = 0.95 + 0.1 * base::UniformReal(random);
      const bool delayed = base::UniformReal(random) < 0.05;
      const double ms = slowness * (base_ms + slope_ms * requests) * noise;
      times.RecordEvent(engine, requests,
                        base::FromFineMillis(delayed ? 4 * ms : ms));
    }
  }
  // Callers' estimates are off by up to a factor of two, unbiased in the
  // median.
  void End(GenerationTimes& times, int answers) const {
    for (int i = 0; i < answers; ++i) {
      const int events = 10 + static_cast<int>(90 * base::UniformReal(random));
      const double error = std::exp2(2 * base::UniformReal(random) - 1);
      times.RecordAnswerSize(kService, std::llround(40 * events * error),
                             events);
    }
  }
};

TEST(GenerationTimes, NoEstimateWithoutSamples) {
  GenerationTimes times;
  Engine engine = MakeEngine("a");
  const SimulatedService real{30, 1, base::SeededRandom(1)};
  EXPECT_FALSE(times.MaxRequests(engine, 4'000, seconds(15)));
  real.Generate(times, engine, 1, 500);
  EXPECT_FALSE(times.MaxRequests(engine, 4'000, seconds(15)));
  real.End(times, 5);
  EXPECT_TRUE(times.MaxRequests(engine, 4'000, seconds(15)));
}

// Too few events to estimate the tokens per event.
TEST(GenerationTimes, ShortAnswersDoNotCountForTokensPerEvent) {
  GenerationTimes times;
  Engine engine = MakeEngine("a");
  const SimulatedService real{30, 1, base::SeededRandom(1)};
  real.Generate(times, engine, 1, 500);
  for (int i = 0; i < 100; ++i) {
    times.RecordAnswerSize(kService, 200, 1);
  }
  EXPECT_FALSE(times.MaxRequests(engine, 4'000, seconds(15)));
}

// At any pace, the answer takes about `within` with the number of requests
// found.
RC_GTEST_PROP(GenerationTimes, FindsThePaceDespiteNoiseAndBadEstimates, ()) {
  GenerationTimes times;
  Engine engine = MakeEngine("a");
  const SimulatedService real{
      *rc::gen::inRange(10, 200) / 1.0, *rc::gen::inRange(5, 50) / 10.0,
      base::SeededRandom(*rc::gen::inRange(1, 1'000'000))};
  real.Generate(times, engine, 1, 3'000);
  real.End(times, 200);
  const int requests = *rc::gen::inRange(10, 50);
  const double answer_ms = 100 * (real.base_ms + real.slope_ms * requests);
  const auto found =
      times.MaxRequests(engine, 100 * 40, base::FromFineMillis(answer_ms));
  RC_ASSERT(found.has_value());
  const double found_ms = 100 * (real.base_ms + real.slope_ms * *found);
  RC_ASSERT(found_ms > 0.7 * answer_ms);
  RC_ASSERT(found_ms < 1.4 * answer_ms);
}

// Guards against slow engines filled as far as fast ones, so that their largest
// answers time out.
TEST(GenerationTimes, SlowEnginesGetFewerRequests) {
  GenerationTimes times;
  Engine fast = MakeEngine("a");
  Engine slow = MakeEngine("b");
  const SimulatedService real{30, 1, base::SeededRandom(1)};
  for (int i = 0; i < 50; ++i) {
    real.Generate(times, fast, 1, 20);
    real.Generate(times, slow, 1.3, 20);
  }
  real.End(times, 50);
  // 65 ms per event: 35 requests at the fast engine, 20 at the slow one.
  const auto within = base::FromFineMillis(100 * 65);
  const int at_fast = times.MaxRequests(fast, 4'000, within).value_or(0);
  const int at_slow = times.MaxRequests(slow, 4'000, within).value_or(0);
  EXPECT_NEAR(at_fast, 35, 8);
  EXPECT_NEAR(at_slow, 20, 8);
  EXPECT_GT(at_fast, at_slow + 7);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
