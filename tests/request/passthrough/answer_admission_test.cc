#include "request/passthrough/answer_admission.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/random.h"
#include "request/passthrough/served_shares.h"

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::ServiceName kService("llm");
const std::string kRoute = "drafts";
const base::Time kNow = base::Time() + std::chrono::hours(1);

Engine MakeEngine(int slots) {
  Engine engine;
  engine.entry.slots = slots;
  engine.entry.service = kService;
  return engine;
}

// Simulates one engine in steps of 1 ms. The time per token grows with the
// number of answers in flight.
class Generator {
 public:
  Generator(bool limited, std::uint64_t seed)
      : limited_(limited), random_(base::SeededRandom(seed)) {
    engine_.in_flight = 0;
  }

  // Answers of 300 to 9,000 tokens with a timeout of 15 s.
  void Arrive() {
    const double tokens = 300 * std::exp(3.4 * base::UniformReal(random_));
    const RequestedAnswer asked{.expected_tokens = std::llround(tokens),
                                .max_tokens = 9'000,
                                .timeout = seconds(15)};
    const bool refused = (limited_ && !Admits(asked)) ||
                         engine_.in_flight >= engine_.entry.slots;
    if (refused) {
      RecordEnd(tokens, /*served=*/false);
    }
    (tokens > kLongTokens ? asked_long_ : asked_) += 1;
    if (!refused) {
      answers_.push_back({tokens, seconds(15), tokens, tokens > kLongTokens});
      ++engine_.in_flight;
    }
  }
  void Run(milliseconds time) {
    for (milliseconds t{0}; t < time; t += milliseconds(1)) {
      now_ += milliseconds(1);
      const double step_ms = 0.72 + 0.025 * engine_.in_flight;
      if (!answers_.empty() && t % kEvent == milliseconds(0)) {
        times_.RecordEvent(engine_, engine_.in_flight,
                           base::FromFineMillis(kTokensPerEvent * step_ms));
      }
      for (Answer& answer : answers_) {
        answer.tokens -= 1 / step_ms;
        answer.left -= milliseconds(1);
      }
      std::erase_if(answers_, [this](const Answer& it) { return Ended(it); });
    }
  }

  double served_long() const { return Fraction(served_long_, asked_long_); }
  double served_all() const {
    return Fraction(served_ + served_long_, asked_ + asked_long_);
  }

 private:
  static constexpr double kLongTokens = 6'500;
  static constexpr int kTokensPerEvent = 42;
  static constexpr int kSizedEvents = 50;
  static constexpr milliseconds kEvent{10};
  struct Answer {
    double tokens;
    milliseconds left;
    double size;
    bool is_long;
  };

  // As the relay decides.
  bool Admits(RequestedAnswer asked) {
    const ShareStanding standing = sizes_.Classify(
        kService, kRoute, RequestSize(0, asked.expected_tokens), now_);
    asked.capacity_fraction = standing.capacity_fraction;
    asked.deviations = standing.deviations;
    return admission_.Admit(engine_, kRoute, asked, now_);
  }
  void RecordEnd(double tokens, bool served) {
    sizes_.RecordEnd(kService, kRoute, RequestSize(0, std::llround(tokens)),
                     served, now_);
  }

  bool Ended(const Answer& answer) {
    const bool whole = answer.tokens <= 0;
    if (!whole && answer.left > milliseconds(0)) {
      return false;
    }
    (answer.is_long ? served_long_ : served_) += whole ? 1 : 0;
    RecordEnd(answer.size, whole);
    times_.RecordAnswerSize(kService, kTokensPerEvent * kSizedEvents,
                            kSizedEvents);
    --engine_.in_flight;
    return true;
  }
  static double Fraction(int n, int of) {
    return static_cast<double>(n) / std::max(of, 1);
  }

  base::Time now_ = kNow;
  const bool limited_;
  const base::RandomSource random_;
  Engine engine_ = MakeEngine(64);
  GenerationTimes times_;
  AnswerAdmission admission_{times_, base::SeededRandom(1)};
  ServedShares sizes_{base::SeededRandom(1)};
  std::vector<Answer> answers_;
  int asked_ = 0;
  int asked_long_ = 0;
  int served_ = 0;
  int served_long_ = 0;
};

// Guards against long answers that run into their timeout while a burst of
// answers of all lengths fills every slot.
TEST(AnswerAdmission, LongAnswersFinishDuringABurst) {
  Generator limited(true, 5);
  Generator open(false, 5);
  for (int i = 0; i < 1'600; ++i) {
    for (Generator* generator : {&limited, &open}) {
      generator->Arrive();
      generator->Run(milliseconds(50));
    }
  }
  EXPECT_LT(open.served_long(), 0.1);
  EXPECT_GT(limited.served_long(), 0.5 * limited.served_all());
  // The limit must not reduce the total.
  EXPECT_GT(limited.served_all(), 0.9 * open.served_all());
}

// Drafts of up to 9,000 tokens in 15 s, and verdicts of up to 250 in 2 s.
const RequestedAnswer kDraft{.expected_tokens = 2'600,
                             .max_tokens = 8'946,
                             .timeout = seconds(15)};
const RequestedAnswer kVerdict{.expected_tokens = 60,
                               .max_tokens = 252,
                               .timeout = seconds(2)};

// Estimates after a few answers of 42 tokens per event: 1.5 ms per token with
// 30 requests, 2.25 ms with 60.
struct PaceSamples {
  PaceSamples() {
    for (int i = 0; i < 2'000; ++i) {
      const int requests = i % 2 == 0 ? 30 : 60;
      times.RecordEvent(engine, requests,
                        base::FromFineMillis(42 * (0.75 + 0.025 * requests)));
    }
    for (int i = 0; i < 5; ++i) {
      times.RecordAnswerSize(kService, 42 * 50, 50);
    }
    answers.Admit(engine, "drafts", kDraft, kNow);
    answers.Admit(engine, "verdicts", kVerdict, kNow);
  }

  Engine engine = MakeEngine(64);
  GenerationTimes times;
  AnswerAdmission answers{times, base::SeededRandom(1)};
};

TEST(AnswerAdmission, AdmittedFractionFollowsRecentRequests) {
  GenerationTimes times;
  AnswerAdmission admission(times, base::SeededRandom(1));
  EXPECT_EQ(admission.AdmittedFraction(kService, kNow), 1);
  Engine engine = MakeEngine(64);
  const RequestedAnswer answer{
      .expected_tokens = 9'000, .max_tokens = 9'000, .timeout = seconds(15)};
  base::Time now = kNow;
  const auto offer = [&](int in_flight) {
    engine.in_flight = in_flight;
    for (int i = 0; i < 200; ++i) {
      now += milliseconds(100);
      admission.Admit(engine, kRoute, answer, now);
    }
  };
  offer(0);
  EXPECT_GT(admission.AdmittedFraction(kService, now), 0.99);
  offer(64);
  EXPECT_LT(admission.AdmittedFraction(kService, now), 0.05);
  EXPECT_EQ(admission.AdmittedFraction(kService, now + seconds(10)), 1);
}

TEST(AnswerAdmission, ReportedAndOwnRequestsCountTowardsCapacity) {
  PaceSamples samples;
  Engine& engine = samples.engine;
  const auto filled = [&](base::Time now) {
    return !samples.answers.Admit(engine, "drafts", kDraft, now);
  };
  EXPECT_FALSE(filled(kNow));
  engine.in_flight = 39;
  EXPECT_TRUE(filled(kNow));
  engine.in_flight = 2;
  engine.reported = {.running = 36, .waiting = 3, .slots = 64};
  engine.reported_at = kNow;
  EXPECT_TRUE(filled(kNow));
  // The load report has expired.
  EXPECT_FALSE(filled(kNow + seconds(2)));
}

// A verdict of two events finishes in time beside any number of drafts; a draft
// of ninety events does not.
TEST(AnswerAdmission, RefusesOnlyAnswersThatWouldFinishLate) {
  PaceSamples samples;
  samples.engine.in_flight = 60;
  EXPECT_TRUE(
      samples.answers.Admit(samples.engine, "verdicts", kVerdict, kNow));
  EXPECT_FALSE(samples.answers.Admit(samples.engine, "drafts", kDraft, kNow));
  // No size is stated.
  EXPECT_TRUE(samples.answers.Admit(samples.engine, "other", {}, kNow));
}

// 8,946 tokens in 0.9 of 15 s are 1.51 ms per token: 30 requests.
TEST(AnswerAdmission, CapacityIsThatOfTheStrictestRecentRoute) {
  PaceSamples samples;
  EXPECT_NEAR(samples.answers.Capacity(samples.engine, kNow), 30, 1);
  samples.answers.Admit(samples.engine, "verdicts", kVerdict,
                        kNow + seconds(30));
  EXPECT_EQ(samples.answers.Capacity(samples.engine, kNow + seconds(30)), 64);
}

// Guards against an instance that has just started and, without a known pace,
// fills engines up to their slots, so that the largest answers time out.
TEST(AnswerAdmission, WithoutSamplesEnginesAreNotFilledWithLongAnswers) {
  const GenerationTimes times;
  AnswerAdmission answers(times, base::SeededRandom(1));
  Engine engine = MakeEngine(64);
  engine.in_flight = 30;
  EXPECT_TRUE(answers.Admit(engine, "drafts", kDraft, kNow));
  engine.in_flight = 40;
  EXPECT_FALSE(answers.Admit(engine, "drafts", kDraft, kNow));
  // These finish in time at any likely pace.
  EXPECT_TRUE(answers.Admit(engine, "verdicts", kVerdict, kNow));
}

TEST(AnswerAdmission, WithoutSamplesAllSlotsTakeShortAnswers) {
  const GenerationTimes times;
  AnswerAdmission answers(times, base::SeededRandom(1));
  Engine engine = MakeEngine(64);
  engine.in_flight = 63;
  EXPECT_TRUE(answers.Admit(engine, "verdicts", kVerdict, kNow));
  EXPECT_EQ(answers.Capacity(engine, kNow), 64);
}

// Guards against short answers taking the whole capacity, so that fewer than
// half as many of the larger ones are served. An engine with a capacity of 30
// gets twice that load; an answer lasts for 10 to 110 further requests.
RC_GTEST_PROP(AnswerAdmission, LargerAnswersKeepTheirShareOfTheCapacity, ()) {
  PaceSamples samples;
  ServedShares served_shares(base::SeededRandom(1));
  const auto random = base::SeededRandom(*rc::gen::inRange(1, 1'000'000));
  std::multiset<int> ends;
  int seen[2] = {0, 0};
  int admitted[2] = {0, 0};
  for (int i = 0; i < 2'000; ++i) {
    ends.erase(ends.begin(), ends.lower_bound(i));
    samples.engine.in_flight = static_cast<int>(ends.size());
    const double tokens = 300 * std::exp(3.4 * base::UniformReal(random));
    const int large = tokens > 5'000 ? 1 : 0;
    ++seen[large];
    const ShareStanding standing =
        served_shares.Classify(kService, "drafts", std::llround(tokens), kNow);
    const bool admits =
        samples.answers.Admit(samples.engine, "drafts",
                              {.expected_tokens = std::llround(tokens),
                               .max_tokens = 9'000,
                               .timeout = seconds(15),
                               .capacity_fraction = standing.capacity_fraction},
                              kNow);
    served_shares.RecordEnd(kService, "drafts", std::llround(tokens), admits,
                            kNow);
    if (admits) {
      ++admitted[large];
      ends.insert(i + 10 + static_cast<int>(tokens / 90));
    }
  }
  const auto part = [&](int large) {
    return static_cast<double>(admitted[large]) / seen[large];
  };
  RC_ASSERT(part(0) < 0.9);
  RC_ASSERT(part(1) > 0.5 * part(0));
}

TEST(AnswerAdmission, RequestUsesOnlyItsPartOfTheCapacity) {
  PaceSamples samples;
  RequestedAnswer answer = kDraft;
  samples.engine.in_flight = 20;
  EXPECT_TRUE(samples.answers.Admit(samples.engine, "drafts", answer, kNow));
  answer.capacity_fraction = 0.5;
  EXPECT_FALSE(samples.answers.Admit(samples.engine, "drafts", answer, kNow));
  samples.engine.in_flight = 10;
  EXPECT_TRUE(samples.answers.Admit(samples.engine, "drafts", answer, kNow));
}

// The callers' limits are far above their estimates.
TEST(AnswerAdmission, LargeAnswerSizeFollowsCallersEstimates) {
  PaceSamples samples;
  for (int i = 0; i < 200; ++i) {
    samples.answers.Admit(samples.engine, "drafts",
                          {.expected_tokens = i % 2 == 0 ? 2'000 : 3'000,
                           .max_tokens = 1'000'000,
                           .timeout = seconds(15)},
                          kNow);
  }
  // At most 3,200 tokens.
  EXPECT_EQ(samples.answers.Capacity(samples.engine, kNow), 64);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
