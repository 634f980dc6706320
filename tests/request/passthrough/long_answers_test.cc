// Share of long answers that finish in time at one simulated engine.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <numbers>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "base/random.h"
#include "request/passthrough/answer_admission.h"
#include "request/passthrough/served_shares.h"

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::ServiceName kService("llm");
const std::string kRoute = "drafts";
constexpr base::Duration kTimeout = seconds(15);
constexpr std::int64_t kMaxTokens = 8'946;
constexpr double kTokensPerEvent = 42;
constexpr int kSlots = 64;

struct Answer {
  double tokens = 0;
  // The caller's estimate.
  std::int64_t expected_tokens = 0;
  double generated = 0;
  milliseconds age{0};
  double event_start = 0;
};

// The admission decision as the relay makes it.
class Admission {
 public:
  bool Admit(const Engine& engine, const Answer& answer, base::Time now) {
    const ShareStanding standing = sizes_.Classify(
        kService, kRoute, RequestSize(0, answer.expected_tokens), now);
    return answers_.Admit(engine, kRoute,
                          {.expected_tokens = answer.expected_tokens,
                           .max_tokens = kMaxTokens,
                           .timeout = kTimeout,
                           .capacity_fraction = standing.capacity_fraction,
                           .deviations = standing.deviations},
                          now);
  }
  void OnEvent(Engine& engine, base::Duration took, base::Time now) {
    times_.RecordEvent(engine, KnownLoad(engine, now), took);
  }
  void OnEnd(const Answer& answer, bool served, base::Time now) {
    const std::int64_t generated = std::llround(answer.generated);
    const std::int64_t tokens =
        served ? generated : std::max(generated, answer.expected_tokens);
    sizes_.RecordEnd(kService, kRoute, RequestSize(0, tokens), served, now);
    if (!served) {
      return;
    }
    times_.RecordAnswerSize(
        kService, answer.expected_tokens,
        static_cast<int>(answer.generated / kTokensPerEvent));
  }

 private:
  GenerationTimes times_;
  AnswerAdmission answers_{times_, base::SeededRandom(1)};
  ServedShares sizes_{base::SeededRandom(1)};
};

// A step takes 0.723 ms plus 0.0252 ms per answer in flight, times `slowness`.
// Answer sizes are log-normal with a median of 2,646 tokens; the largest tenth
// has more than 7,700. Estimates are unbiased in the median.
class SimulatedEngine {
 public:
  SimulatedEngine(double slowness, std::uint64_t seed)
      : slowness_(slowness), random_(base::SeededRandom(seed)) {
    engine_.entry.service = kService;
    engine_.entry.slots = kSlots;
  }

  void Run(seconds time, double arrivals_per_s) {
    const base::Time end = now_ + time;
    while (now_ < end) {
      now_ += kTick;
      if (base::UniformReal(random_) < arrivals_per_s / kTicksPerSecond) {
        Arrive();
      }
      Generate();
    }
  }

  // Share of the largest tenth, and of all.
  double served_large() const { return Fraction(served_large_, asked_large_); }
  double served() const { return Fraction(served_, asked_); }

 private:
  static constexpr milliseconds kTick{1};
  static constexpr double kTicksPerSecond = 1'000;
  static constexpr double kLargeTokens = 7'700;

  static double Fraction(int n, int of) {
    return static_cast<double>(n) / std::max(of, 1);
  }

  double Normal() const {
    const double u = std::max(base::UniformReal(random_), 1e-12);
    return std::sqrt(-2 * std::log(u)) *
           std::cos(2 * std::numbers::pi * base::UniformReal(random_));
  }

  void Report() {
    engine_.in_flight = static_cast<int>(answers_.size());
    engine_.reported = {.running = engine_.in_flight, .slots = kSlots};
    engine_.reported_at = now_;
  }

  void Arrive() {
    Answer answer;
    answer.tokens = std::min(2'646 * std::exp(0.84 * Normal()),
                             static_cast<double>(kMaxTokens));
    answer.expected_tokens =
        std::llround(answer.tokens * std::exp(0.5 * Normal()));
    ++asked_;
    asked_large_ += answer.tokens > kLargeTokens ? 1 : 0;
    Report();
    if (engine_.in_flight < kSlots && admission_.Admit(engine_, answer, now_)) {
      answers_.push_back(answer);
    } else {
      admission_.OnEnd(answer, /*served=*/false, now_);
    }
  }

  void Generate() {
    Report();
    const double step_ms =
        slowness_ * (0.723 + 0.0252 * static_cast<double>(answers_.size()));
    for (Answer& it : answers_) {
      it.age += kTick;
      it.generated += 1 / step_ms;
      if (it.generated - it.event_start >= kTokensPerEvent) {
        it.event_start = it.generated;
        admission_.OnEvent(
            engine_, base::FromFineMillis(kTokensPerEvent * step_ms), now_);
      }
    }
    std::erase_if(answers_, [this](const Answer& it) { return Ended(it); });
  }

  bool Ended(const Answer& answer) {
    const bool whole = answer.generated >= answer.tokens;
    if (!whole && answer.age < kTimeout) {
      return false;
    }
    admission_.OnEnd(answer, whole, now_);
    if (!whole) {
      return true;
    }
    ++served_;
    served_large_ += answer.tokens > kLargeTokens ? 1 : 0;
    return true;
  }

  const double slowness_;
  const base::RandomSource random_;
  base::Time now_ = base::Time() + std::chrono::hours(1);
  Engine engine_;
  Admission admission_;
  std::vector<Answer> answers_;
  int asked_ = 0;
  int asked_large_ = 0;
  int served_ = 0;
  int served_large_ = 0;
};

// Guards against serving fewer than half as many of the largest answers as of
// all, under more load than a slow engine can handle.
TEST(LongAnswers, LargestAnswersAreServedAtLeastHalfAsOftenAsAll) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    for (const double slowness : {1.0, 1.3, 1.6}) {
      SimulatedEngine engine(slowness, seed);
      engine.Run(seconds(300), 6);
      EXPECT_GE(engine.served_large(), 0.5 * engine.served())
          << "seed " << seed << ", slowness " << slowness;
    }
  }
}

}  // namespace
}  // namespace lynxglade::request::passthrough
