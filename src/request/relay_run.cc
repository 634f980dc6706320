#include "request/relay_run.h"

#include <algorithm>
#include <utility>

#include "base/units.h"
#include "request/in_flight.h"

namespace lynxglade::request {

namespace {

using base::Outcome;

// The part of the request's cost that an attempt of that kind causes.
Cost CostOfPart(const Cost& total, AttemptKind kind) noexcept {
  Cost part = total;
  if (kind == AttemptKind::kDecode) {
    part.prefill = base::Tokens(0);
  } else if (kind == AttemptKind::kPrefill) {
    part.decode = base::Tokens(0);
  }
  return part;
}

// Whether the target may still run an attempt with that end, so that it should
// be cancelled.
bool MayStillRun(AttemptEnd end) noexcept {
  return end == AttemptEnd::kTimeout || end == AttemptEnd::kCrossed ||
         end == AttemptEnd::kCancelledByCaller || end == AttemptEnd::kBadAnswer;
}

// Whether the target may have crashed.
bool MayBeCrash(AttemptEnd end) noexcept {
  return end == AttemptEnd::kReset || end == AttemptEnd::kTruncated;
}

// Whether the refusal only shows that the target's state here was stale.
bool IsStaleView(TargetRefusal refusal) noexcept {
  return refusal == TargetRefusal::kDraining ||
         refusal == TargetRefusal::kChanging ||
         refusal == TargetRefusal::kNotLoaded;
}

std::string DescribeFailure(const AttemptReport& report) {
  std::string text = "last attempt: ";
  text += ToString(report.end);
  if (report.refusal != TargetRefusal::kNone) {
    text += " (";
    text += ToString(report.refusal);
    text += ")";
  } else if (!report.message.empty()) {
    text += " (" + report.message + ")";
  }
  return text;
}

}  // namespace

Outcome MergeOutcomes(Outcome a, Outcome b) noexcept {
  if (a == Outcome::kRan || b == Outcome::kRan) {
    return Outcome::kRan;
  }
  if (a == Outcome::kUnknown || b == Outcome::kUnknown) {
    return Outcome::kUnknown;
  }
  return Outcome::kNotRun;
}

RelayRun::RelayRun(const RelayHooks& hooks,
                   const RelayLimits& limits,
                   const Request& request,
                   const CallerSink& sink)
    : hooks_(hooks),
      limits_(limits),
      request_(request),
      delivery_(request, sink, hooks.now, limits.max_recorded_bytes) {}

RelayResult RelayRun::Run() {
  if (Start()) {
    while (!done_) {
      RunStep();
    }
    FinishClaim();
  }
  result_.delivered = delivery_.streamed();
  result_.first_token = delivery_.first_token();
  if (admission_.release) {
    admission_.release(result_.answer.usage);
  }
  return std::move(result_);
}

bool RelayRun::Start() {
  if (StopBeforeAttempt()) {
    return false;
  }
  if (hooks_.admit) {
    admission_ =
        hooks_.admit(request_, [this] { return CallerDisconnected(); });
    if (admission_.refusal) {
      result_.refusal = admission_.refusal;
      return false;
    }
  }
  if (request_.non_idempotent) {
    return BeginClaim();
  }
  // Non-idempotent requests are not split: a split runs at two engines, which
  // a claim does not cover.
  if (hooks_.wants_split && hooks_.wants_split(request_)) {
    kind_ = AttemptKind::kPrefill;
  }
  return true;
}

bool RelayRun::BeginClaim() {
  if (!hooks_.claim_begin || !hooks_.claim_finish) {
    Refuse(RefusalReason::kClaimUnavailable, "no claim store is configured");
    return false;
  }
  ClaimDecision decision = hooks_.claim_begin(request_);
  if (decision.claim) {
    claim_ = std::move(decision.claim);
    return true;
  }
  if (decision.recorded) {
    result_.answer = std::move(*decision.recorded);
    result_.replayed = true;
    return false;
  }
  result_.refusal = decision.refusal.value_or(
      Refusal{.reason = RefusalReason::kClaimUnavailable,
              .outcome = Outcome::kUnknown,
              .message = "the claim store returned no decision",
              .retry_after = std::nullopt});
  return false;
}

void RelayRun::FinishClaim() {
  if (claim_) {
    const bool record = answer_complete_ && delivery_.MayRecord(result_.answer);
    hooks_.claim_finish(*claim_, outcome_, record ? &result_.answer : nullptr);
  }
}

void RelayRun::RunStep() {
  if (StopBeforeAttempt()) {
    return;
  }
  const std::optional<Target> target = Pick();
  if (!target) {
    return;
  }
  const AttemptSpec spec = MakeSpec(*target);
  AttemptReport report = RunAttemptAt(*target, spec);
  NotifyHooks(*target, spec, report);
  HandleReport(*target, std::move(report));
}

bool RelayRun::StopBeforeAttempt() {
  if (delivery_.CallerDisconnected()) {
    Refuse(RefusalReason::kCallerGone, "the caller disconnected");
    return true;
  }
  if (IsOverdue()) {
    Refuse(RefusalReason::kDeadlinePassed, "the deadline has passed");
    return true;
  }
  if (!hooks_.check_quarantine) {
    return false;
  }
  std::optional<Refusal> refusal = hooks_.check_quarantine(request_);
  if (!refusal) {
    return false;
  }
  Refuse(refusal->reason, std::move(refusal->message), refusal->retry_after);
  return true;
}

std::optional<Target> RelayRun::Pick() {
  PickResult pick = hooks_.pick(PickQuery{.request = &request_,
                                          .kind = kind_,
                                          .avoid = avoid_,
                                          .version = version_});
  // Another model version would continue the answer inconsistently.
  const bool fits =
      pick.target && (!version_ || pick.target->version == *version_);
  if (fits) {
    return std::move(pick.target);
  }
  if (kind_ != AttemptKind::kWhole) {
    kind_ = AttemptKind::kWhole;
    return std::nullopt;
  }
  Refuse(pick.target ? RefusalReason::kNoTarget : pick.reason,
         "no target is available for the request", pick.retry_after);
  return std::nullopt;
}

AttemptSpec RelayRun::MakeSpec(const Target& target) const {
  const base::Time now = hooks_.now();
  const base::Duration to_deadline = request_.deadline - now;
  const auto share = std::chrono::duration_cast<base::Duration>(
      to_deadline * limits_.idle_timeout_share);
  AttemptSpec spec;
  spec.request = &request_;
  spec.id = base::AttemptId(base::RandomHexId(hooks_.random));
  spec.kind = kind_;
  spec.target = target.id;
  spec.address = target.address;
  spec.port = target.port;
  spec.role = target.role;
  spec.resume_from = delivery_.offset();
  spec.timeout = to_deadline + limits_.late_grace;
  spec.idle_timeout = std::max(request_.non_idempotent ? to_deadline : share,
                               limits_.min_idle_timeout);
  if (kind_ == AttemptKind::kDecode) {
    spec.kv_transfer_params = kv_transfer_params_;
  }
  // Past the deadline only an answer that has started may continue.
  spec.start_timeout = request_.deadline - hooks_.now();
  return spec;
}

AttemptReport RelayRun::RunAttemptAt(const Target& target,
                                     const AttemptSpec& spec) {
  ++result_.attempts;
  result_.last_target = target.id;
  out_of_sequence_ = false;
  InFlight in_flight(target, CostOfPart(EstimateCost(), spec.kind),
                     hooks_.now());
  if (hooks_.on_attempt_start) {
    hooks_.on_attempt_start(target, spec);
  }
  TokenSink sink;
  // A non-idempotent request runs to its end even if its caller disconnects:
  // the answer is recorded for a repeat by the caller.
  sink.cancelled = [this] {
    return IsOverdue() ||
           (!request_.non_idempotent && delivery_.CallerDisconnected());
  };
  sink.on_token = [&](const TokenChunk& chunk) {
    in_flight.OnPrefillDone();
    // The decode engine generates the prefill engine's token again.
    if (spec.kind == AttemptKind::kPrefill) {
      return true;
    }
    answer_started_ = true;
    const RelayDelivery::AcceptResult result = delivery_.Accept(chunk);
    out_of_sequence_ = result == RelayDelivery::AcceptResult::kOutOfSequence;
    return result == RelayDelivery::AcceptResult::kAccepted;
  };
  return VerifyReport(spec, hooks_.run(spec, sink));
}

AttemptReport RelayRun::VerifyReport(const AttemptSpec& spec,
                                     AttemptReport report) const {
  if (out_of_sequence_) {
    report.end = AttemptEnd::kBadAnswer;
    report.message = "received tokens out of sequence";
    return report;
  }
  const bool overdue = report.end == AttemptEnd::kCancelledByCaller &&
                       !delivery_.CallerDisconnected();
  if (overdue) {
    report.end = AttemptEnd::kTimeout;
    report.message = "the attempt exceeded the deadline";
    return report;
  }
  const bool counts_tokens = report.end == AttemptEnd::kWhole &&
                             spec.kind != AttemptKind::kPrefill &&
                             !report.plain;
  if (counts_tokens && delivery_.offset() != report.usage.completion) {
    report.end = AttemptEnd::kBadAnswer;
    report.message = "received " + std::to_string(delivery_.offset().value()) +
                     " tokens, but the reported usage is " +
                     std::to_string(report.usage.completion.value());
  }
  return report;
}

void RelayRun::NotifyHooks(const Target& target,
                           const AttemptSpec& spec,
                           const AttemptReport& report) {
  if (hooks_.on_attempt_end) {
    hooks_.on_attempt_end(target, spec, report);
  }
  if (hooks_.cancel && MayStillRun(report.end) &&
      report.outcome != Outcome::kNotRun) {
    hooks_.cancel(spec);
  }
  if (hooks_.on_connection_lost && MayBeCrash(report.end)) {
    hooks_.on_connection_lost(request_, target.id);
  }
  if (hooks_.on_delivered && report.end == AttemptEnd::kWhole) {
    hooks_.on_delivered(request_, target.id);
  }
}

void RelayRun::HandleReport(const Target& target, AttemptReport report) {
  outcome_ = MergeOutcomes(outcome_, report.outcome);
  if (delivery_.offset().value() > 0 && !version_) {
    version_ = target.version;
  }
  if (report.end == AttemptEnd::kWhole) {
    Complete(std::move(report));
    return;
  }
  if (report.end == AttemptEnd::kCancelledByCaller) {
    Refuse(RefusalReason::kCallerGone, "the caller disconnected");
    return;
  }
  if (report.refusal == TargetRefusal::kBadRequest) {
    Refuse(RefusalReason::kTargetRejected,
           report.message.empty() ? "the target rejected the request"
                                  : std::move(report.message));
    result_.refusal->target_message = std::move(report.target_message);
    return;
  }
  if (request_.non_idempotent && report.outcome != Outcome::kNotRun) {
    Refuse(RefusalReason::kOutcomeUnknown, DescribeFailure(report));
    return;
  }
  avoid_.push_back(target.id);
  // If a part of a split failed, the next attempt runs the whole request.
  kind_ = AttemptKind::kWhole;
  RetryOrRefuse(target, report);
}

void RelayRun::Complete(AttemptReport report) {
  if (kind_ == AttemptKind::kPrefill) {
    const bool exported = !report.kv_transfer_params.empty();
    kind_ = exported ? AttemptKind::kDecode : AttemptKind::kWhole;
    kv_transfer_params_ = std::move(report.kv_transfer_params);
    return;
  }
  result_.answer.text = delivery_.TakeText();
  result_.answer.finish_reason = std::move(report.finish_reason);
  result_.answer.usage = report.usage;
  result_.answer.plain = std::move(report.plain);
  answer_complete_ = true;
  done_ = true;
  if (request_.non_idempotent && delivery_.CallerDisconnected()) {
    Refuse(RefusalReason::kCallerGone, "the caller disconnected");
  }
}

void RelayRun::RetryOrRefuse(const Target& target,
                             const AttemptReport& report) {
  if (result_.attempts >= limits_.max_attempts) {
    Refuse(RefusalReason::kAttemptsExhausted, DescribeFailure(report),
           report.retry_after);
    return;
  }
  if (TryFreeReroute(report)) {
    return;
  }
  const RetryDecision decision =
      hooks_.allow_retry(RetryQuery{.request = &request_,
                                    .failed_target = target.id,
                                    .report = &report,
                                    .attempts = result_.attempts,
                                    .deadline = EffectiveDeadline()});
  if (!decision.allowed) {
    Refuse(decision.reason, DescribeFailure(report), decision.retry_after);
    return;
  }
  // Refuse now if the backoff would end after the deadline.
  if (hooks_.now() + decision.backoff >= EffectiveDeadline()) {
    Refuse(RefusalReason::kDeadlinePassed, DescribeFailure(report));
    return;
  }
  if (decision.backoff > base::Duration::zero()) {
    hooks_.sleep(decision.backoff, [this] { return CallerDisconnected(); });
  }
}

bool RelayRun::TryFreeReroute(const AttemptReport& report) {
  const bool free = report.end == AttemptEnd::kRefused &&
                    IsStaleView(report.refusal) &&
                    free_reroutes_ < limits_.max_free_reroutes;
  if (free) {
    ++free_reroutes_;
  }
  return free;
}

void RelayRun::Refuse(RefusalReason reason,
                      std::string message,
                      std::optional<base::Duration> retry_after) {
  result_.refusal = Refusal{.reason = reason,
                            .outcome = outcome_,
                            .message = std::move(message),
                            .retry_after = retry_after};
  done_ = true;
}

Cost RelayRun::EstimateCost() const {
  return hooks_.estimate_cost ? hooks_.estimate_cost(request_)
                              : Cost{.prefill = request_.prompt_tokens,
                                     .decode = request_.max_output_tokens};
}

bool RelayRun::IsOverdue() const {
  return hooks_.now() >= EffectiveDeadline();
}

base::Time RelayRun::EffectiveDeadline() const {
  return answer_started_ ? request_.deadline + limits_.late_grace
                         : request_.deadline;
}

bool RelayRun::CallerDisconnected() const {
  return delivery_.CallerDisconnected();
}

}  // namespace lynxglade::request
