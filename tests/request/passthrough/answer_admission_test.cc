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
    const RequestedAnswer asked{.expected_tokens = std::llround(tokens),
                                .max_tokens = 9'000,
                                .timeout = seconds(15)};
    const bool refused =
        (bounded_ && !admission_.Admit(engine_, kRoute, asked, kNow)) ||
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

  double served_long() const { return Part(served_long_, asked_long_); }
  double served_all() const {
    return Part(served_ + served_long_, asked_ + asked_long_);
  }

 private:
  static constexpr double kLongTokens = 6'500;
  static constexpr int kTokensPerEvent = 42;
  static constexpr int kSizedEvents = 50;
  static constexpr milliseconds kEvent{10};
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
    times_.RecordAnswerSize(kService, kTokensPerEvent * kSizedEvents,
                            kSizedEvents);
    --engine_.in_flight;
    return true;
  }
  static double Part(int n, int of) {
    return static_cast<double>(n) / std::max(of, 1);
  }

  const bool bounded_;
  const base::RandomSource random_;
  Engine engine_ = MakeEngine(64);
  GenerationTimes times_;
  AnswerAdmission admission_{times_};
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

// Drafts of up to 9,000 tokens in 15 s, and verdicts of up to 250 in 2 s.
const RequestedAnswer kDraft{.expected_tokens = 2'600,
                             .max_tokens = 8'946,
                             .timeout = seconds(15)};
const RequestedAnswer kVerdict{.expected_tokens = 60,
                               .max_tokens = 252,
                               .timeout = seconds(2)};

// What an instance knows once it has seen a few answers of 42 tokens an event,
// 1.5 ms a token with 30 requests and 2.25 ms with 60.
struct KnownPace {
  KnownPace() {
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
  AnswerAdmission answers{times};
};

TEST(AnswerAdmission, AnEngineIsFilledByWhatItReportsAndWhatItHasOfUs) {
  KnownPace known;
  Engine& engine = known.engine;
  const auto filled = [&](base::Time now) {
    return !known.answers.Admit(engine, "drafts", kDraft, now);
  };
  EXPECT_FALSE(filled(kNow));
  engine.in_flight = 39;
  EXPECT_TRUE(filled(kNow));
  engine.in_flight = 2;
  engine.reported = {.running = 36, .waiting = 3, .slots = 64};
  engine.reported_at = kNow;
  EXPECT_TRUE(filled(kNow));
  // An old report says nothing.
  EXPECT_FALSE(filled(kNow + seconds(2)));
}

// A verdict of two events ends in time beside any number of drafts; a draft of
// ninety does not.
TEST(AnswerAdmission, OnlyAnswersThatWouldEndLateFillAnEngine) {
  KnownPace known;
  known.engine.in_flight = 60;
  EXPECT_TRUE(known.answers.Admit(known.engine, "verdicts", kVerdict, kNow));
  EXPECT_FALSE(known.answers.Admit(known.engine, "drafts", kDraft, kNow));
  // Nothing is said of its size.
  EXPECT_TRUE(known.answers.Admit(known.engine, "other", {}, kNow));
}

// 8,946 tokens in 0.9 of 15 s are 1.51 ms a token: 30 requests.
TEST(AnswerAdmission, TheRoomIsThatOfTheStrictestRouteOfLate) {
  KnownPace known;
  EXPECT_NEAR(known.answers.Capacity(known.engine, kNow), 30, 1);
  known.answers.Admit(known.engine, "verdicts", kVerdict, kNow + seconds(30));
  EXPECT_EQ(known.answers.Capacity(known.engine, kNow + seconds(30)), 64);
}

// Guards against: an instance that has just started fills engines up to their
// slots, since it has not seen their pace, and the largest answers end late.
TEST(AnswerAdmission, AnInstanceThatHasJustStartedDoesNotFillEngines) {
  const GenerationTimes times;
  AnswerAdmission answers(times);
  Engine engine = MakeEngine(64);
  engine.in_flight = 30;
  EXPECT_TRUE(answers.Admit(engine, "drafts", kDraft, kNow));
  engine.in_flight = 40;
  EXPECT_FALSE(answers.Admit(engine, "drafts", kDraft, kNow));
  // These end in time at any pace that engines have.
  EXPECT_TRUE(answers.Admit(engine, "verdicts", kVerdict, kNow));
}

TEST(AnswerAdmission, WithoutKnowledgeEnginesHaveRoomForShortAnswers) {
  const GenerationTimes times;
  AnswerAdmission answers(times);
  Engine engine = MakeEngine(64);
  engine.in_flight = 63;
  EXPECT_TRUE(answers.Admit(engine, "verdicts", kVerdict, kNow));
  EXPECT_EQ(answers.Capacity(engine, kNow), 64);
}

// Guards against: short answers taking all the room, so that fewer than half as
// many of the larger ones are admitted. An engine with room for 30 is asked for
// twice as much; answers last for 10 to 110 further requests.
RC_GTEST_PROP(AnswerAdmission, LargerAnswersKeepTheirShareOfTheRoom, ()) {
  KnownPace known;
  const auto random = base::SeededRandom(*rc::gen::inRange(1, 1'000'000));
  std::multiset<int> ends;
  int seen[2] = {0, 0};
  int admitted[2] = {0, 0};
  for (int i = 0; i < 2'000; ++i) {
    ends.erase(ends.begin(), ends.lower_bound(i));
    known.engine.in_flight = static_cast<int>(ends.size());
    const double tokens = 300 * std::exp(3.4 * base::UniformReal(random));
    const int large = tokens > 5'000 ? 1 : 0;
    ++seen[large];
    if (known.answers.Admit(known.engine, "drafts",
                            {.expected_tokens = std::llround(tokens),
                             .max_tokens = 9'000,
                             .timeout = seconds(15)},
                            kNow)) {
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

// Where callers take far more than they expect, their limit says little.
TEST(AnswerAdmission, ALargeAnswerIsLearntFromWhatCallersExpect) {
  KnownPace known;
  for (int i = 0; i < 200; ++i) {
    known.answers.Admit(known.engine, "drafts",
                        {.expected_tokens = i % 2 == 0 ? 2'000 : 3'000,
                         .max_tokens = 1'000'000,
                         .timeout = seconds(15)},
                        kNow);
  }
  // 3,200 tokens at most.
  EXPECT_EQ(known.answers.Capacity(known.engine, kNow), 64);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
