#include "request/passthrough/answer_admission.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/random.h"

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::ServiceName kService("llm");
const base::Time kNow = base::Time() + std::chrono::hours(1);

Engine MakeEngine(int slots) {
  Engine engine;
  engine.entry.slots = slots;
  return engine;
}

// One engine that generates, a millisecond a step. A step takes 0.72 ms and
// 0.025 ms more for each answer under way, as the users' engines' do.
class Generator {
 public:
  Generator(bool bounded, std::uint64_t seed)
      : bounded_(bounded), random_(base::SeededRandom(seed)) {
    engine_.in_flight = 0;
  }

  // Answers of 300 to 9,000 tokens, 15 s each at most.
  void Arrive() {
    const double tokens = 300 * std::exp(3.4 * base::UniformReal(random_));
    const bool refused = (bounded_ && IsFilled(engine_, kNow, {})) ||
                         engine_.in_flight >= engine_.entry.slots;
    (tokens > kLongTokens ? asked_long_ : asked_) += 1;
    if (!refused) {
      answers_.push_back({tokens, seconds(15), tokens > kLongTokens});
      ++engine_.in_flight;
    }
  }
  void Run(milliseconds time) {
    for (milliseconds t{0}; t < time; t += milliseconds(1)) {
      const double step_ms = 0.72 + 0.025 * engine_.in_flight;
      for (Answer& answer : answers_) {
        answer.tokens -= 1 / step_ms;
        answer.left -= milliseconds(1);
      }
      std::erase_if(answers_, [this](const Answer& it) { return Ended(it); });
    }
  }

  double served_long() const { return Part(served_long_, asked_long_); }
  double served_all() const {
    return Part(served_ + served_long_, asked_ + asked_long_);
  }

 private:
  static constexpr double kLongTokens = 6'500;
  struct Answer {
    double tokens;
    milliseconds left;
    bool is_long;
  };

  bool Ended(const Answer& answer) {
    const bool whole = answer.tokens <= 0;
    if (!whole && answer.left > milliseconds(0)) {
      return false;
    }
    (answer.is_long ? served_long_ : served_) += whole ? 1 : 0;
    --engine_.in_flight;
    return true;
  }
  static double Part(int n, int of) {
    return static_cast<double>(n) / std::max(of, 1);
  }

  const bool bounded_;
  const base::RandomSource random_;
  Engine engine_ = MakeEngine(64);
  std::vector<Answer> answers_;
  int asked_ = 0;
  int asked_long_ = 0;
  int served_ = 0;
  int served_long_ = 0;
};

// The pattern: a burst of answers of all lengths that fills every slot for
// longer than the longest may take. The load this answers: of the largest tenth
// of the answers 0.35 were served, of all 0.83; the others ran for 15 s in
// vain.
TEST(AnswerAdmission, LongAnswersEndUnderABurst) {
  Generator bounded(true, 5);
  Generator open(false, 5);
  for (int i = 0; i < 1'600; ++i) {
    for (Generator* generator : {&bounded, &open}) {
      generator->Arrive();
      generator->Run(milliseconds(50));
    }
  }
  EXPECT_LT(open.served_long(), 0.1);
  EXPECT_GT(bounded.served_long(), 0.5 * bounded.served_all());
  // No fewer are served for it.
  EXPECT_GT(bounded.served_all(), 0.9 * open.served_all());
}

TEST(AnswerAdmission, AnEngineIsFilledByWhatItReportsAndWhatItHasOfUs) {
  Engine engine = MakeEngine(64);
  EXPECT_FALSE(IsFilled(engine, kNow, {}));
  engine.in_flight = 39;
  EXPECT_TRUE(IsFilled(engine, kNow, {}));
  engine.in_flight = 2;
  engine.reported = {.running = 36, .waiting = 3, .slots = 64};
  engine.reported_at = kNow;
  EXPECT_TRUE(IsFilled(engine, kNow, {}));
  // An old report says nothing.
  EXPECT_FALSE(IsFilled(engine, kNow + seconds(2), {}));
}

// A verdict of two events is no long answer, a draft of ninety is.
TEST(AnswerAdmission, LongIsWhatTakesAPartOfItsTime) {
  EXPECT_FALSE(IsLongAnswer(milliseconds(140), seconds(2), {}));
  EXPECT_TRUE(IsLongAnswer(milliseconds(5'000), seconds(15), {}));
  const AnswerTimes times;
  EXPECT_FALSE(IsLongAnswer(times.Expected(kService, 0), seconds(1), {}));
}

// Estimates are off by a factor of two either way, and right in the middle.
RC_GTEST_PROP(AnswerTimes, FindsThePaceBehindBadEstimates, ()) {
  AnswerTimes times;
  const double ms_per_token = *rc::gen::inRange(5, 60) / 10.0;
  const auto random = base::SeededRandom(*rc::gen::inRange(1, 1'000'000));
  for (int i = 0; i < 200; ++i) {
    const double tokens = 200 + 4'000 * base::UniformReal(random);
    const double off = std::exp2(2 * base::UniformReal(random) - 1);
    times.Learn(kService, std::llround(tokens * off),
                base::FromFineMillis(tokens * ms_per_token));
  }
  const double found =
      base::ToFineMillis(times.Expected(kService, 1'000)) / 1'000;
  RC_ASSERT(found > 0.7 * ms_per_token);
  RC_ASSERT(found < 1.5 * ms_per_token);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
