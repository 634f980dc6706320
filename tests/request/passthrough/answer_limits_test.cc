// How many answers an engine may have does not depend on who asks.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <string>

#include <gtest/gtest.h>

#include "base/random.h"
#include "request/passthrough/answer_admission.h"

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::seconds;

const base::ServiceName kService("llm");
const std::string kRoute = "notes";
const base::Time kNow = base::Time() + std::chrono::hours(1);
constexpr int kSlots = 64;
constexpr int kTokensPerEvent = 9;

// An engine whose pace is known: 11 ms a token and 0.25 ms for each answer.
class AnswerLimitsTest : public testing::Test {
 protected:
  AnswerLimitsTest() {
    engine_.entry.service = kService;
    engine_.entry.slots = kSlots;
    for (int i = 0; i < 4'000; ++i) {
      const int n = 1 + i % kSlots;
      times_.RecordEvent(
          engine_, n, base::FromFineMillis(kTokensPerEvent * (11 + 0.25 * n)));
    }
    for (int i = 0; i < 20; ++i) {
      times_.RecordAnswerSize(kService, 180, 180 / kTokensPerEvent);
    }
  }
  // Whether the engine, which has `load` requests, may be given an answer of
  // which its caller states the size as its limit.
  bool Admits(std::int64_t tokens, int load) {
    engine_.reported = {.running = load, .waiting = 0, .slots = kSlots};
    engine_.reported_at = kNow;
    return answers_.Admit(engine_, kRoute,
                          {.expected_tokens = tokens,
                           .max_tokens = tokens,
                           .timeout = seconds(6)},
                          kNow);
  }

  GenerationTimes times_;
  AnswerAdmission answers_{times_, base::SeededRandom(1)};
  Engine engine_;
};

// Guards against SIZES: requests that state a small limit are admitted at a
// load at which those with a larger one are refused.
TEST_F(AnswerLimitsTest, RoomIsTheSameForSmallAndLargeRequests) {
  const base::RandomSource random = base::SeededRandom(1);
  for (int i = 0; i < 400; ++i) {
    Admits(std::llround(40 * std::exp(2.0 * base::UniformReal(random))), 0);
  }
  for (int load = 0; load < kSlots; ++load) {
    EXPECT_EQ(Admits(60, load), Admits(290, load)) << "load " << load;
  }
}

// Guards against STARVED: short answers leave no engine empty enough for long
// ones.
TEST_F(AnswerLimitsTest, RouteGivesWayToOneThatNeedsEmptierEngines) {
  for (int i = 0; i < 100; ++i) {
    Admits(240, 0);
    answers_.Admit(
        engine_, "verdicts",
        {.expected_tokens = 20, .max_tokens = 20, .timeout = seconds(6)}, kNow);
  }
  const auto admits_verdict = [&](int load, double yield) {
    engine_.reported = {.running = load, .waiting = 0, .slots = kSlots};
    return answers_.Admit(engine_, "verdicts",
                          {.expected_tokens = 20,
                           .max_tokens = 20,
                           .timeout = seconds(6),
                           .yields_to = kRoute,
                           .yield = yield},
                          kNow);
  };
  EXPECT_FALSE(Admits(240, 50));
  EXPECT_TRUE(admits_verdict(50, 0));
  EXPECT_FALSE(admits_verdict(50, 1));
  EXPECT_TRUE(admits_verdict(10, 1));
}

// An answer that no engine can generate in time must not keep others out.
TEST_F(AnswerLimitsTest, InfeasibleAnswersLimitNothing) {
  for (int i = 0; i < 400; ++i) {
    Admits(i % 2 == 0 ? 60 : 5'000, 0);
  }
  EXPECT_TRUE(Admits(60, 15));
  EXPECT_FALSE(Admits(60, 16));
}

// Part of a single place is granted by chance.
TEST_F(AnswerLimitsTest, PartOfASmallRoomIsServedAsOften) {
  constexpr int kTries = 2'000;
  int admitted = 0;
  for (int i = 0; i < kTries; ++i) {
    // The whole room is one answer.
    const bool admits = answers_.Admit(engine_, kRoute,
                                       {.expected_tokens = 480,
                                        .max_tokens = 480,
                                        .timeout = seconds(6),
                                        .capacity_fraction = 0.6},
                                       kNow);
    admitted += admits ? 1 : 0;
  }
  EXPECT_NEAR(admitted, 0.6 * kTries, 0.05 * kTries);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
