#include "request/relay_run.h"

#include <algorithm>
#include <utility>

#include "base/units.h"
#include "request/in_flight.h"

namespace lynxglade::request {

namespace {

using base::Outcome;

// What of the request's cost falls on a target that does only a part.
Cost PartOf(const Cost& whole, AttemptKind kind) noexcept {
  Cost part = whole;
  if (kind == AttemptKind::kDecode) {
    part.prefill = base::Tokens(0);
  } else if (kind == AttemptKind::kPrefill) {
    part.decode = base::Tokens(0);
  }
  return part;
}

// Whether an attempt with that end may go on upstream, so that a cancel helps.
bool MayStillRun(AttemptEnd end) noexcept {
  return end == AttemptEnd::kTimeout || end == AttemptEnd::kCrossed ||
         end == AttemptEnd::kCancelledByCaller || end == AttemptEnd::kBadAnswer;
}

// Whether the target may have died of the request.
bool LooksLikeCrash(AttemptEnd end) noexcept {
  return end == AttemptEnd::kReset || end == AttemptEnd::kTruncated;
}

// Refusals that only say that our view of the target was old.
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

RelayResult RelayRun::Go() {
  if (Enter()) {
    while (!done_) {
      Step();
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

bool RelayRun::Enter() {
  if (StopBeforeAttempt()) {
    return false;
  }
  if (hooks_.admit) {
    admission_ = hooks_.admit(request_, [this] { return Cancelled(); });
    if (admission_.refusal) {
      result_.refusal = admission_.refusal;
      return false;
    }
  }
  if (request_.non_idempotent) {
    return BeginClaim();
  }
  // A split runs the request at two engines, which a claim does not cover.
  if (hooks_.wants_split && hooks_.wants_split(request_)) {
    kind_ = AttemptKind::kPrefill;
  }
  return true;
}

bool RelayRun::BeginClaim() {
  if (!hooks_.claim_begin || !hooks_.claim_finish) {
    GiveUp(RefusalReason::kClaimUnavailable, "no claim store is configured");
    return false;
  }
  ClaimVerdict verdict = hooks_.claim_begin(request_);
  if (verdict.claim) {
    claim_ = std::move(verdict.claim);
    return true;
  }
  if (verdict.recorded) {
    result_.answer = std::move(*verdict.recorded);
    result_.replayed = true;
    return false;
  }
  result_.refusal = verdict.refusal.value_or(
      Refusal{.reason = RefusalReason::kClaimUnavailable,
              .outcome = Outcome::kUnknown,
              .message = "the claim store gave no verdict",
              .retry_after = std::nullopt});
  return false;
}

void RelayRun::FinishClaim() {
  if (claim_) {
    const bool record = whole_ && delivery_.MayRecord(result_.answer);
    hooks_.claim_finish(*claim_, outcome_, record ? &result_.answer : nullptr);
  }
}

void RelayRun::Step() {
  if (StopBeforeAttempt()) {
    return;
  }
  const std::optional<Target> target = Pick();
  if (!target) {
    return;
  }
  const AttemptOrder order = MakeOrder(*target);
  AttemptReport report = RunOne(*target, order);
  TellPeers(*target, order, report);
  Judge(*target, std::move(report));
}

bool RelayRun::StopBeforeAttempt() {
  if (delivery_.CallerGone()) {
    GiveUp(RefusalReason::kCallerGone, "the caller has gone");
    return true;
  }
  if (Overdue()) {
    GiveUp(RefusalReason::kDeadlinePassed, "the deadline has passed");
    return true;
  }
  if (!hooks_.check_quarantine) {
    return false;
  }
  std::optional<Refusal> refusal = hooks_.check_quarantine(request_);
  if (!refusal) {
    return false;
  }
  GiveUp(refusal->reason, std::move(refusal->message), refusal->retry_after);
  return true;
}

std::optional<Target> RelayRun::Pick() {
  PickResult pick = hooks_.pick(PickQuery{.request = &request_,
                                          .kind = kind_,
                                          .avoid = avoid_,
                                          .version = version_});
  // Another version would tell a different story from the offset on.
  const bool fits =
      pick.target && (!version_ || pick.target->version == *version_);
  if (fits) {
    return std::move(pick.target);
  }
  if (kind_ != AttemptKind::kWhole) {
    kind_ = AttemptKind::kWhole;
    return std::nullopt;
  }
  GiveUp(pick.target ? RefusalReason::kNoTarget : pick.reason,
         "no target can take the request", pick.retry_after);
  return std::nullopt;
}

AttemptOrder RelayRun::MakeOrder(const Target& target) const {
  const base::Time now = hooks_.now();
  const base::Duration to_deadline = request_.deadline - now;
  const auto share = std::chrono::duration_cast<base::Duration>(
      to_deadline * limits_.idle_timeout_share);
  AttemptOrder order;
  order.request = &request_;
  order.id = base::AttemptId(base::RandomHexId(hooks_.random));
  order.kind = kind_;
  order.target = target.id;
  order.address = target.address;
  order.port = target.port;
  order.role = target.role;
  order.resume_from = delivery_.offset();
  order.timeout = to_deadline + limits_.late_grace;
  order.idle_timeout = std::max(request_.non_idempotent ? to_deadline : share,
                                limits_.min_idle_timeout);
  if (kind_ == AttemptKind::kDecode) {
    order.kv_transfer_params = kv_transfer_params_;
  }
  // Past the deadline only an answer that has begun goes on.
  order.start_timeout = request_.deadline - hooks_.now();
  return order;
}

AttemptReport RelayRun::RunOne(const Target& target,
                               const AttemptOrder& order) {
  ++result_.attempts;
  result_.last_target = target.id;
  misfit_ = false;
  InFlight in_flight(target, PartOf(EstimateCost(), order.kind), hooks_.now());
  if (hooks_.on_attempt_start) {
    hooks_.on_attempt_start(target, order);
  }
  TokenSink sink;
  // What cannot be run again is run to its end, caller or not: the answer is
  // recorded for the caller's next try.
  sink.cancelled = [this] {
    return Overdue() || (!request_.non_idempotent && delivery_.CallerGone());
  };
  sink.on_token = [&](const TokenChunk& chunk) {
    in_flight.PrefillDone();
    // A prefill engine's one token is produced again by the decode engine.
    if (order.kind == AttemptKind::kPrefill) {
      return true;
    }
    begun_ = true;
    const RelayDelivery::Verdict verdict = delivery_.Accept(chunk);
    misfit_ = verdict == RelayDelivery::Verdict::kMisfit;
    return verdict == RelayDelivery::Verdict::kTaken;
  };
  return Check(order, hooks_.run(order, sink));
}

AttemptReport RelayRun::Check(const AttemptOrder& order,
                              AttemptReport report) const {
  if (misfit_) {
    report.end = AttemptEnd::kBadAnswer;
    report.message = "tokens out of sequence";
    return report;
  }
  const bool overdue =
      report.end == AttemptEnd::kCancelledByCaller && !delivery_.CallerGone();
  if (overdue) {
    report.end = AttemptEnd::kTimeout;
    report.message = "no answer began by the deadline";
    return report;
  }
  const bool counts_tokens = report.end == AttemptEnd::kWhole &&
                             order.kind != AttemptKind::kPrefill &&
                             !report.plain;
  if (counts_tokens && delivery_.offset() != report.usage.completion) {
    report.end = AttemptEnd::kBadAnswer;
    report.message = "token count differs from usage";
  }
  return report;
}

void RelayRun::TellPeers(const Target& target,
                         const AttemptOrder& order,
                         const AttemptReport& report) {
  if (hooks_.on_attempt_end) {
    hooks_.on_attempt_end(target, order, report);
  }
  if (hooks_.cancel && MayStillRun(report.end) &&
      report.outcome != Outcome::kNotRun) {
    hooks_.cancel(order);
  }
  if (hooks_.on_crash_evidence && LooksLikeCrash(report.end)) {
    hooks_.on_crash_evidence(request_, target.id);
  }
  if (hooks_.on_clean_delivery && report.end == AttemptEnd::kWhole) {
    hooks_.on_clean_delivery(request_, target.id);
  }
}

void RelayRun::Judge(const Target& target, AttemptReport report) {
  outcome_ = MergeOutcomes(outcome_, report.outcome);
  if (delivery_.offset().value() > 0 && !version_) {
    version_ = target.version;
  }
  if (report.end == AttemptEnd::kWhole) {
    Complete(std::move(report));
    return;
  }
  if (report.end == AttemptEnd::kCancelledByCaller) {
    GiveUp(RefusalReason::kCallerGone, "the caller has gone");
    return;
  }
  if (report.refusal == TargetRefusal::kBadRequest) {
    GiveUp(RefusalReason::kTargetRejected,
           report.message.empty() ? "the target rejected the request"
                                  : std::move(report.message));
    result_.refusal->target_message = std::move(report.target_message);
    return;
  }
  if (request_.non_idempotent && report.outcome != Outcome::kNotRun) {
    GiveUp(RefusalReason::kOutcomeUnknown, DescribeFailure(report));
    return;
  }
  avoid_.push_back(target.id);
  // Whatever part of a split failed, the next try is a whole run.
  kind_ = AttemptKind::kWhole;
  RetryOrGiveUp(target, report);
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
  whole_ = true;
  done_ = true;
  if (request_.non_idempotent && delivery_.CallerGone()) {
    GiveUp(RefusalReason::kCallerGone, "the caller has gone");
  }
}

void RelayRun::RetryOrGiveUp(const Target& target,
                             const AttemptReport& report) {
  if (result_.attempts >= limits_.max_attempts) {
    GiveUp(RefusalReason::kAttemptsExhausted, DescribeFailure(report),
           report.retry_after);
    return;
  }
  if (FreeReroute(report)) {
    return;
  }
  const RetryVerdict verdict =
      hooks_.allow_retry(RetryQuery{.request = &request_,
                                    .failed_target = target.id,
                                    .report = &report,
                                    .attempts = result_.attempts,
                                    .deadline = Limit()});
  if (!verdict.allowed) {
    GiveUp(verdict.reason, DescribeFailure(report), verdict.retry_after);
    return;
  }
  // A wait that ends after the deadline would only delay the refusal.
  if (hooks_.now() + verdict.backoff >= Limit()) {
    GiveUp(RefusalReason::kDeadlinePassed, DescribeFailure(report));
    return;
  }
  if (verdict.backoff > base::Duration::zero()) {
    hooks_.sleep(verdict.backoff, [this] { return Cancelled(); });
  }
}

bool RelayRun::FreeReroute(const AttemptReport& report) {
  const bool free = report.end == AttemptEnd::kRefused &&
                    IsStaleView(report.refusal) &&
                    free_reroutes_ < limits_.max_free_reroutes;
  if (free) {
    ++free_reroutes_;
  }
  return free;
}

void RelayRun::GiveUp(RefusalReason reason,
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

bool RelayRun::Overdue() const {
  return hooks_.now() >= Limit();
}

base::Time RelayRun::Limit() const {
  return begun_ ? request_.deadline + limits_.late_grace : request_.deadline;
}

bool RelayRun::Cancelled() const {
  return delivery_.CallerGone();
}

}  // namespace lynxglade::request
