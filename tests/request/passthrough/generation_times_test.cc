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

// A service as it really is, of 40 tokens an event; events have 10% of noise,
// and one in twenty waited for a prompt that was read meanwhile.
struct TrueService {
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
      const bool last_wait = base::UniformReal(random) < 0.05;
      const double ms = slowness * (base_ms + slope_ms * requests) * noise;
      times.RecordEvent(engine, requests,
                        base::FromFineMillis(last_wait ? 4 * ms : ms));
    }
  }
  // Estimates are off by a factor of two either way, and right in the middle.
  void End(GenerationTimes& times, int answers) const {
    for (int i = 0; i < answers; ++i) {
      const int events = 10 + static_cast<int>(90 * base::UniformReal(random));
      const double off = std::exp2(2 * base::UniformReal(random) - 1);
      times.RecordAnswerSize(kService, std::llround(40 * events * off), events);
    }
  }
};

TEST(GenerationTimes, ForeseesNothingBeforeItHasSeenAnything) {
  GenerationTimes times;
  Engine engine = MakeEngine("a");
  const TrueService real{30, 1, base::SeededRandom(1)};
  EXPECT_FALSE(times.MaxRequests(engine, 4'000, seconds(15)));
  real.Generate(times, engine, 1, 500);
  EXPECT_FALSE(times.MaxRequests(engine, 4'000, seconds(15)));
  real.End(times, 5);
  EXPECT_TRUE(times.MaxRequests(engine, 4'000, seconds(15)));
}

// Answers of a few events say too little of their tokens.
TEST(GenerationTimes, ShortAnswersSayNothingOfAnEventsSize) {
  GenerationTimes times;
  Engine engine = MakeEngine("a");
  const TrueService real{30, 1, base::SeededRandom(1)};
  real.Generate(times, engine, 1, 500);
  for (int i = 0; i < 100; ++i) {
    times.RecordAnswerSize(kService, 200, 1);
  }
  EXPECT_FALSE(times.MaxRequests(engine, 4'000, seconds(15)));
}

// Whatever the pace, the requests found are about those with which the answer
// would just end in time.
RC_GTEST_PROP(GenerationTimes, FindsThePaceBehindNoiseAndBadEstimates, ()) {
  GenerationTimes times;
  Engine engine = MakeEngine("a");
  const TrueService real{*rc::gen::inRange(10, 200) / 1.0,
                         *rc::gen::inRange(5, 50) / 10.0,
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

// Guards against: slow engines filled as far as fast ones, where their largest
// answers cannot end in time.
TEST(GenerationTimes, SlowEnginesAreToHaveFewerRequests) {
  GenerationTimes times;
  Engine fast = MakeEngine("a");
  Engine slow = MakeEngine("b");
  const TrueService real{30, 1, base::SeededRandom(1)};
  for (int i = 0; i < 50; ++i) {
    real.Generate(times, fast, 1, 20);
    real.Generate(times, slow, 1.3, 20);
  }
  real.End(times, 50);
  // An event may take 65 ms: with 35 requests at the fast one, 20 at the other.
  const auto within = base::FromFineMillis(100 * 65);
  const int at_fast = times.MaxRequests(fast, 4'000, within).value_or(0);
  const int at_slow = times.MaxRequests(slow, 4'000, within).value_or(0);
  EXPECT_NEAR(at_fast, 35, 8);
  EXPECT_NEAR(at_slow, 20, 8);
  EXPECT_GT(at_fast, at_slow + 7);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
