#include "request/relay.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/random.h"

namespace lynxglade::request {
namespace {

using base::Outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

// How a fake attempt fails, in the order of the stages of an attempt.
enum class Fault {
  kNone,
  kConnectFailed,
  kDraining,
  kOverloaded,
  kHalfSent,
  kResetBeforeRun,
  kResetAfterRun,
  kTruncated,
  kTimeout,
  kCrossed,
  kOverlap,
  kGap,
  kShort,
};
constexpr int kFaults = static_cast<int>(Fault::kShort) + 1;

constexpr int kAnswerTokens = 6;

std::string TokenText(int n) {
  return "t" + std::to_string(n) + " ";
}

std::string WholeText() {
  std::string text;
  for (int n = 0; n < kAnswerTokens; ++n) {
    text += TokenText(n);
  }
  return text;
}

// Targets that follow a script of faults, one per attempt, and record what they
// ran.
class FakeFleet {
 public:
  explicit FakeFleet(std::vector<Fault> script) : script_(std::move(script)) {}

  AttemptReport Run(const AttemptSpec& spec, const TokenSink& sink) {
    const Fault fault =
        next_ < script_.size() ? script_[next_++] : Fault::kNone;
    now_ += milliseconds(10);
    attempts_.push_back(spec.target);
    switch (fault) {
      case Fault::kConnectFailed:
        return End(AttemptEnd::kConnectFailed, Outcome::kNotRun);
      case Fault::kDraining:
        return MakeRefusal(TargetRefusal::kDraining);
      case Fault::kOverloaded:
        return MakeRefusal(TargetRefusal::kOverloaded);
      case Fault::kHalfSent:
        return End(AttemptEnd::kSendFailed, Outcome::kUnknown);
      case Fault::kResetBeforeRun:
        return End(AttemptEnd::kReset, Outcome::kUnknown);
      default:
        break;
    }
    ++runs_;
    switch (fault) {
      case Fault::kResetAfterRun:
        return End(AttemptEnd::kReset, Outcome::kUnknown);
      case Fault::kTimeout:
        now_ += spec.idle_timeout;
        return End(AttemptEnd::kTimeout, Outcome::kUnknown);
      case Fault::kCrossed:
        return End(AttemptEnd::kCrossed, Outcome::kUnknown);
      default:
        return Stream(spec, sink, fault);
    }
  }

  base::Time now() const { return now_; }
  void Sleep(base::Duration d) { now_ += d; }
  int runs() const { return runs_; }
  int cancels() const { return cancels_; }
  void Cancel() { ++cancels_; }
  const std::vector<base::TargetId>& attempts() const { return attempts_; }

 private:
  static AttemptReport End(AttemptEnd end, Outcome outcome) {
    AttemptReport report;
    report.end = end;
    report.outcome = outcome;
    return report;
  }

  static AttemptReport MakeRefusal(TargetRefusal refusal) {
    AttemptReport report = End(AttemptEnd::kRefused, Outcome::kNotRun);
    report.refusal = refusal;
    return report;
  }

  AttemptReport Stream(const AttemptSpec& spec,
                       const TokenSink& sink,
                       Fault fault) {
    const int from = static_cast<int>(spec.resume_from.value());
    int first = from;
    if (fault == Fault::kOverlap) {
      first = std::max(0, from - 1);
    } else if (fault == Fault::kGap) {
      first = from + 1;
    }
    const bool truncated = fault == Fault::kTruncated || fault == Fault::kShort;
    const int last = truncated ? (from + kAnswerTokens) / 2 : kAnswerTokens;
    for (int n = first; n < last; ++n) {
      const std::string text = TokenText(n);
      if (!sink.on_token(TokenChunk{.text = text,
                                    .offset = base::Tokens(n),
                                    .count = base::Tokens(1)})) {
        return End(AttemptEnd::kCancelledByCaller, Outcome::kRan);
      }
    }
    if (fault == Fault::kTruncated) {
      return End(AttemptEnd::kTruncated, Outcome::kRan);
    }
    AttemptReport report = End(AttemptEnd::kWhole, Outcome::kRan);
    report.finish_reason = "stop";
    report.usage.completion = base::Tokens(kAnswerTokens);
    return report;
  }

  std::vector<Fault> script_;
  std::size_t next_ = 0;
  base::Time now_{seconds(1000)};
  int runs_ = 0;
  int cancels_ = 0;
  std::vector<base::TargetId> attempts_;
};

// A caller that checks the order of its tokens and may disconnect.
struct FakeCaller {
  std::string text;
  std::int64_t next = 0;
  bool in_sequence = true;
  std::int64_t disconnects_after = 1000;

  CallerSink Sink() {
    CallerSink sink;
    sink.on_token = [this](const TokenChunk& chunk) {
      if (next >= disconnects_after) {
        return false;
      }
      in_sequence = in_sequence && chunk.offset.value() == next;
      next = chunk.offset.value() + chunk.count.value();
      text += chunk.text;
      return true;
    };
    return sink;
  }
};

RelayHooks HooksFor(FakeFleet& fleet) {
  RelayHooks hooks;
  hooks.random = base::SeededRandom(1);
  hooks.now = [&fleet] { return fleet.now(); };
  hooks.pick = [](const PickQuery& query) {
    PickResult pick;
    Target target;
    target.id = base::TargetId("e" + std::to_string(query.avoid.size()));
    target.version = base::ModelVersion("v1");
    pick.target = target;
    return pick;
  };
  hooks.run = [&fleet](const AttemptSpec& spec, const TokenSink& sink) {
    return fleet.Run(spec, sink);
  };
  hooks.sleep = [&fleet](base::Duration d, const auto&) {
    fleet.Sleep(d);
    return true;
  };
  hooks.allow_retry = [](const RetryQuery&) {
    return RetryDecision{.allowed = true,
                         .backoff = milliseconds(5),
                         .reason = RefusalReason::kRetryBudget,
                         .retry_after = std::nullopt};
  };
  hooks.cancel = [&fleet](const AttemptSpec&) { fleet.Cancel(); };
  return hooks;
}

Request MakeRequest(const FakeFleet& fleet) {
  Request request;
  request.id = base::RequestId("r1");
  request.arrived = fleet.now();
  request.deadline = fleet.now() + seconds(60);
  request.stream = true;
  return request;
}

rc::Gen<std::vector<Fault>> Scripts() {
  return rc::gen::container<std::vector<Fault>>(rc::gen::map(
      rc::gen::inRange(0, kFaults), [](int n) { return Fault{n}; }));
}

// Under any sequence of faults, a delivered answer is complete, the caller gets
// each token once and in order, and an outcome of not-run is correct.
RC_GTEST_PROP(RelayProperty, AnswerIsCompleteOrCorrectlyRefused, ()) {
  FakeFleet fleet(*Scripts());
  FakeCaller caller;
  caller.disconnects_after = *rc::gen::element<std::int64_t>(1000, 1000, 0, 3);
  Request request = MakeRequest(fleet);
  request.stream = *rc::gen::arbitrary<bool>();
  const Relay relay(HooksFor(fleet), RelayLimits{});

  const RelayResult result = relay.Serve(request, caller.Sink());

  RC_ASSERT(caller.in_sequence);
  RC_ASSERT(result.attempts <= RelayLimits{}.max_attempts);
  if (!result.refusal) {
    const std::string& got = request.stream ? caller.text : result.answer.text;
    RC_ASSERT(got == WholeText());
    return;
  }
  RC_ASSERT(result.refusal->outcome != Outcome::kNotRun || fleet.runs() == 0);
  if (result.refusal->reason == RefusalReason::kCallerGone) {
    RC_ASSERT(fleet.cancels() > 0);
  }
}

TEST(RelayTest, ResumesOnAnotherTargetAtTheNextToken) {
  FakeFleet fleet({Fault::kTruncated});
  FakeCaller caller;
  const Relay relay(HooksFor(fleet), RelayLimits{});

  const RelayResult result = relay.Serve(MakeRequest(fleet), caller.Sink());

  EXPECT_FALSE(result.refusal);
  EXPECT_EQ(caller.text, WholeText());
  ASSERT_EQ(fleet.attempts().size(), 2u);
  EXPECT_NE(fleet.attempts()[0], fleet.attempts()[1]);
}

// An engine that resumes before the requested offset repeats tokens. They are
// dropped and do not fail the attempt.
TEST(RelayTest, RepeatedTokensAreDropped) {
  FakeFleet fleet({Fault::kTruncated, Fault::kOverlap});
  FakeCaller caller;
  const Relay relay(HooksFor(fleet), RelayLimits{});

  const RelayResult result = relay.Serve(MakeRequest(fleet), caller.Sink());

  EXPECT_FALSE(result.refusal);
  EXPECT_EQ(caller.text, WholeText());
  EXPECT_EQ(result.attempts, 2);
}

// A non-idempotent request runs to its end after its caller disconnected, and
// its answer is recorded with the claim.
TEST(RelayTest, NonIdempotentContinuesAfterCallerDisconnects) {
  FakeFleet fleet({});
  FakeCaller caller;
  caller.disconnects_after = 2;
  std::string recorded;
  RelayHooks hooks = HooksFor(fleet);
  hooks.claim_begin = [](const Request&) {
    ClaimDecision decision;
    decision.claim.emplace();
    return decision;
  };
  hooks.claim_finish = [&](const Claim&, Outcome, const Answer* answer) {
    recorded = answer ? answer->text : "";
  };
  Request request = MakeRequest(fleet);
  request.non_idempotent = true;
  const Relay relay(hooks, RelayLimits{});

  const RelayResult result = relay.Serve(request, caller.Sink());

  ASSERT_TRUE(result.refusal);
  EXPECT_EQ(result.refusal->reason, RefusalReason::kCallerGone);
  EXPECT_EQ(result.refusal->outcome, Outcome::kRan);
  EXPECT_EQ(recorded, WholeText());
  EXPECT_EQ(fleet.cancels(), 0);
}

// Prefill and decode run at separate engines. If decode fails, the whole
// request runs at one engine.
TEST(RelayTest, SplitTransfersKvCacheAndFallsBackToWholeRun) {
  for (const bool decode_fails : {false, true}) {
    FakeFleet fleet({});
    FakeCaller caller;
    std::vector<AttemptKind> kinds;
    RelayHooks hooks = HooksFor(fleet);
    hooks.wants_split = [](const Request&) { return true; };
    hooks.run = [&](const AttemptSpec& spec, const TokenSink& sink) {
      kinds.push_back(spec.kind);
      AttemptReport report;
      if (spec.kind == AttemptKind::kPrefill) {
        sink.on_token({.text = "t0 ",
                       .offset = base::Tokens(0),
                       .count = base::Tokens(1)});
        report.end = AttemptEnd::kWhole;
        report.outcome = Outcome::kRan;
        report.kv_transfer_params = "{\"remote_engine\":\"p\"}";
        return report;
      }
      if (spec.kind == AttemptKind::kDecode) {
        EXPECT_EQ(spec.kv_transfer_params, "{\"remote_engine\":\"p\"}");
        if (decode_fails) {
          report.end = AttemptEnd::kConnectFailed;
          report.outcome = Outcome::kNotRun;
          return report;
        }
      }
      return fleet.Run(spec, sink);
    };
    const Relay relay(hooks, RelayLimits{});

    const RelayResult result = relay.Serve(MakeRequest(fleet), caller.Sink());

    EXPECT_FALSE(result.refusal);
    EXPECT_EQ(caller.text, WholeText());
    std::vector<AttemptKind> expected = {AttemptKind::kPrefill,
                                         AttemptKind::kDecode};
    if (decode_fails) {
      expected.push_back(AttemptKind::kWhole);
    }
    EXPECT_EQ(kinds, expected);
  }
}

TEST(RelayTest, AnotherVersionDoesNotContinueAnAnswer) {
  FakeFleet fleet({Fault::kTruncated});
  FakeCaller caller;
  RelayHooks hooks = HooksFor(fleet);
  hooks.pick = [](const PickQuery& query) {
    PickResult pick;
    pick.target.emplace();
    pick.target->version =
        base::ModelVersion(query.avoid.empty() ? "v1" : "v2");
    return pick;
  };
  const Relay relay(hooks, RelayLimits{});

  const RelayResult result = relay.Serve(MakeRequest(fleet), caller.Sink());

  ASSERT_TRUE(result.refusal);
  EXPECT_EQ(result.refusal->reason, RefusalReason::kNoTarget);
  EXPECT_EQ(result.refusal->outcome, Outcome::kRan);
  EXPECT_EQ(fleet.attempts().size(), 1u);
}

TEST(RelayTest, ReroutesAfterStaleTargetStateWithoutRetryBudgetOnlyTwice) {
  FakeFleet fleet(
      {Fault::kDraining, Fault::kDraining, Fault::kDraining, Fault::kDraining});
  FakeCaller caller;
  RelayHooks hooks = HooksFor(fleet);
  hooks.allow_retry = [](const RetryQuery&) { return RetryDecision{}; };
  const Relay relay(hooks, RelayLimits{});

  const RelayResult result = relay.Serve(MakeRequest(fleet), caller.Sink());

  ASSERT_TRUE(result.refusal);
  EXPECT_EQ(result.refusal->reason, RefusalReason::kRetryBudget);
  EXPECT_EQ(result.refusal->outcome, Outcome::kNotRun);
  EXPECT_EQ(result.attempts, 3);
}

// Delivers `before` tokens, lets the deadline pass, and continues up to four
// tokens unless it is cancelled.
RunAttempt RunPastTheDeadline(base::Time* now, int before) {
  return [now, before](const AttemptSpec& spec, const TokenSink& sink) {
    AttemptReport report;
    report.outcome = Outcome::kRan;
    for (int i = 0; i < 4; ++i) {
      if (i == before) {
        *now = spec.request->deadline + seconds(1);
      }
      if (sink.cancelled()) {
        report.end = AttemptEnd::kCancelledByCaller;
        return report;
      }
      sink.on_token({"t", base::Tokens(i), base::Tokens(1)});
    }
    report.end = AttemptEnd::kWhole;
    report.usage.completion = base::Tokens(4);
    return report;
  };
}

TEST(RelayTest, AnswerStartedBeforeTheDeadlineIsFinishedLate) {
  FakeFleet fleet({});
  FakeCaller caller;
  RelayHooks hooks = HooksFor(fleet);
  const Request request = MakeRequest(fleet);
  base::Time now = request.arrived;
  hooks.now = [&now] { return now; };
  hooks.run = RunPastTheDeadline(&now, 1);
  const RelayResult result =
      Relay(hooks, RelayLimits{}).Serve(request, caller.Sink());
  EXPECT_FALSE(result.refusal);
  EXPECT_EQ(result.delivered, base::Tokens(4));
}

TEST(RelayTest, AnswerNotStartedByTheDeadlineIsRefused) {
  FakeFleet fleet({});
  FakeCaller caller;
  RelayHooks hooks = HooksFor(fleet);
  const Request request = MakeRequest(fleet);
  base::Time now = request.arrived;
  hooks.now = [&now] { return now; };
  hooks.run = RunPastTheDeadline(&now, 0);
  const RelayResult result =
      Relay(hooks, RelayLimits{}).Serve(request, caller.Sink());
  ASSERT_TRUE(result.refusal);
  EXPECT_EQ(result.refusal->reason, RefusalReason::kDeadlinePassed);
  EXPECT_EQ(result.delivered, base::Tokens(0));
}

TEST(RelayTest, RefusesAtOnceWhenBackoffExceedsTheDeadline) {
  FakeFleet fleet({Fault::kConnectFailed});
  FakeCaller caller;
  RelayHooks hooks = HooksFor(fleet);
  hooks.allow_retry = [](const RetryQuery&) {
    RetryDecision decision;
    decision.allowed = true;
    decision.backoff = seconds(61);
    return decision;
  };
  const Request request = MakeRequest(fleet);
  const Relay relay(hooks, RelayLimits{});

  const RelayResult result = relay.Serve(request, caller.Sink());

  ASSERT_TRUE(result.refusal);
  EXPECT_EQ(result.refusal->outcome, Outcome::kNotRun);
  EXPECT_LT(fleet.now() - request.arrived, seconds(1));
}

}  // namespace
}  // namespace lynxglade::request
