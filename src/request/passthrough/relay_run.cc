#include "request/passthrough/relay_run.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "base/scope_exit.h"
#include "request/passthrough/part_hashes.h"

namespace lynxglade::request::passthrough {

namespace {

using base::Log;
using base::LogLevel;
using connection::event::Awaitable;
using connection::event::ErrorCode;
using connection::event::View;
namespace http = connection::event::http;

// Never 0 for an organisation.
std::uint32_t HashOrganisation(std::string_view id) {
  return id.empty() ? 0 : static_cast<std::uint32_t>(base::Hash64(id)) | 1U;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

RelayRun::RelayRun(RelayDependencies& deps,
                   const RelayOptions& options,
                   std::shared_ptr<connection::event::CallerRequest> request,
                   connection::event::CallerReply& reply)
    : deps_(deps),
      options_(options),
      request_(std::move(request)),
      reply_(reply),
      timer_(deps.loop) {}

RelayRun::~RelayRun() {
  *alive_ = false;
  reply_.OnDisconnect({});
}

Awaitable<void> RelayRun::Run() {
  if (const auto reason = Admit()) {
    co_await Refuse(UnlessStale(*reason));
    LogEnd();
    co_return;
  }
  deps_.retry_budget.OnRequest(service_, deps_.clock());
  Classify();
  StartTimer();
  reply_.OnDisconnect([this] {
    if (current_) {
      current_->Cancel();
    }
  });
  co_await RunAttempts();
  RecordShare();
  LogEnd();
}

void RelayRun::End() {
  ended_ = true;
  expired_ = true;
  if (current_) {
    current_->Cancel();
  }
}

std::optional<EndReason> RelayRun::Admit() {
  if (!deps_.accepts()) {
    return EndReason::kStopping;
  }
  table_ = deps_.routes();
  if (!table_) {
    return EndReason::kNoConfiguration;
  }
  const auto& head = request_->head;
  route_ =
      table_->Find(View(head[http::field::host]), PathOf(View(head.target())));
  if (!route_) {
    return EndReason::kNoRoute;
  }
  std::string reason;
  auto terms = deps_.protocol.parse_terms(head, &reason);
  if (!terms) {
    Log(LogLevel::kWarning, "request_malformed", {{"reason", reason}});
    return EndReason::kMalformedTerms;
  }
  terms_ = std::move(*terms);
  // Otherwise instances could send a request to each other without end.
  if (deps_.engines.Find(terms_.expected_target)) {
    return EndReason::kMisdirected;
  }
  // Estimates are often far off, but no answer is longer than its limit.
  if (terms_.max_tokens > 0) {
    terms_.expected_tokens =
        std::min(terms_.expected_tokens, terms_.max_tokens);
  }
  if (const auto fault = Authenticate()) {
    return fault;
  }
  SetDeadline(terms_.timeout);
  const base::ServiceName* service =
      RouteTable::PickService(*route_, base::Hash64(terms_.request_id));
  if (!service) {
    return EndReason::kNoService;
  }
  service_ = *service;
  if (OutlastsStop()) {
    return EndReason::kStopping;
  }
  identity_ = Identity();
  return CheckQuarantine();
}

EndReason RelayRun::UnlessStale(EndReason reason) const {
  const bool denies = reason == EndReason::kNoRoute ||
                      reason == EndReason::kMissingKey ||
                      reason == EndReason::kUnknownKey;
  return denies && deps_.view_age() > options_.max_view_age
             ? EndReason::kStaleConfiguration
             : reason;
}

RunIdentity RelayRun::Identity() const {
  const auto& head = request_->head;
  const std::string_view organisation =
      organisation_ ? std::string_view(organisation_->id.str()) : "";
  return {.content = HashContent(
              {View(head.method_string()), View(head[http::field::host]),
               View(head.target()), organisation, request_->body}),
          .parts = HashSharedParts(terms_.prompt),
          .organisation = HashOrganisation(organisation)};
}

std::optional<EndReason> RelayRun::Authenticate() {
  if (!table_->keys()) {
    return std::nullopt;
  }
  organisation_ =
      terms_.api_key ? table_->keys()->Find(*terms_.api_key) : nullptr;
  if (organisation_ || route_->is_public) {
    return std::nullopt;
  }
  return terms_.api_key ? EndReason::kUnknownKey : EndReason::kMissingKey;
}

void RelayRun::SetDeadline(std::optional<base::Duration> timeout) {
  base::Duration wait = timeout.value_or(options_.default_timeout);
  if (route_->timeout > base::Duration::zero()) {
    wait = std::min(wait, route_->timeout);
  }
  deadline_ = request_->arrived + wait;
  if (const auto left = TimeToStop()) {
    deadline_ = std::min(deadline_, deps_.clock() + *left);
  }
}

std::optional<base::Duration> RelayRun::TimeToStop() const {
  return deps_.time_to_stop ? deps_.time_to_stop() : std::nullopt;
}

bool RelayRun::OutlastsStop() const {
  const auto left = TimeToStop();
  return left && *left < deps_.run_times.Average(service_);
}

void RelayRun::StartTimer() {
  timer_.expires_after(std::max(TimeLeft(), base::Duration::zero()));
  timer_.async_wait([this, alive = alive_](const ErrorCode& ec) {
    if (ec || !*alive) {
      return;
    }
    expired_ = true;
    if (current_) {
      current_->Cancel();
    }
  });
}

Awaitable<void> RelayRun::RunAttempts() {
  AttemptEnd end = AttemptEnd::kNotRun;
  while (true) {
    const bool first = runs_ == 0 && rejections_ == 0 && !source_;
    EnginePick pick;
    if (source_) {
      pick = co_await PickForSource();
    } else {
      pick = first ? PickFirst() : Pick();
    }
    if (!pick.runner) {
      RecordPlacement(pick, /*rejected=*/true);
      break;
    }
    if (prefill_denied_ && runs_ == 0 &&
        deps_.picker.PrefillStallsDecode(pick) && !MayStallDecode(pick)) {
      co_await Refuse(EndReason::kRetryBudget);
      co_return;
    }
    const auto reason = first ? CheckFirstAttempt(pick) : std::nullopt;
    if (first) {
      foreseen_ = Elapsed() + pick.expected;
      RecordPlacement(pick, reason.has_value());
    }
    if (reason) {
      LogNotAttempted(pick, *reason);
      co_await Refuse(*reason);
      co_return;
    }
    const auto paid = co_await ReserveRetry(pick, end);
    if (!paid) {
      break;
    }
    end = co_await AttemptPaid(pick, *paid);
    LogAttempt(pick, end);
    if (end == AttemptEnd::kFinished || !MayRetry(end)) {
      break;
    }
  }
  if (end != AttemptEnd::kFinished) {
    co_await Finish(end);
  }
  co_await ReleaseKvSource();
}

Awaitable<AttemptEnd> RelayRun::AttemptPaid(const EnginePick& pick,
                                            ReservedArrivals paid) {
  const base::ScopeExit settle([this, &paid, before = arrivals_] {
    if (arrivals_ > before) {
      deps_.retry_budget.Charge(service_, paid);
    } else {
      deps_.retry_budget.Release(service_, paid, deps_.clock());
    }
  });
  co_return co_await Attempt(pick);
}

Awaitable<AttemptEnd> RelayRun::Attempt(EnginePick pick) {
  answer_ = {};
  const bool may_run = co_await WaitForEvidence();
  if (!may_run) {
    co_return AttemptEnd::kNotRun;
  }
  if (pick.prefill_engine && !source_) {
    claim_.emplace(deps_.limits, service_);
    const bool prefilled = co_await PrefillPrompt(pick);
    if (IsStopped()) {
      co_return AttemptEnd::kStopped;
    }
    if (!prefilled) {
      co_return AttemptEnd::kNotRun;
    }
    // Loads have changed during the prefill.
    pick = co_await PickForSource();
    if (!pick.runner) {
      co_return AttemptEnd::kNotRun;
    }
  }
  const int rejections_before = rejections_;
  const AttemptEnd end = co_await SendRequest(pick);
  if (source_ && rejections_ > rejections_before) {
    co_await HandleRejectedFetch(*pick.runner);
  }
  if (end != AttemptEnd::kNotRun) {
    // Fetched, or bound to a run of unknown outcome.
    source_.reset();
  }
  co_return end;
}

bool RelayRun::MayRetry(AttemptEnd end) const {
  if (end == AttemptEnd::kStopped || IsStopped() || !deps_.accepts() ||
      TimeLeft() < options_.min_time_left) {
    return false;
  }
  if (denial_ && !CanTryOtherTarget(*denial_)) {
    return false;
  }
  if (end == AttemptEnd::kNotRun) {
    return held_back_ <= options_.max_held_back &&
           rejections_ <= options_.max_rejections &&
           failed_prefills_ <= kMaxFailedPrefills + 1 &&
           unreachable_ <= options_.max_unreachable;
  }
  if (end == AttemptEnd::kBroken &&
      !(route_->resumable && events_.can_resume())) {
    return false;
  }
  return route_->CanRetry() && runs_ < route_->max_attempts;
}

Awaitable<void> RelayRun::Finish(AttemptEnd end) {
  if (IsStopped() && !reply_.begun()) {
    RecordForecast();
  }
  if (reply_.disconnected()) {
    ended_by_ = "caller_left";
    co_return;
  }
  if (reply_.begun()) {
    ended_by_ = "broken_off";
    reply_.Abort();
    co_return;
  }
  if (saved_answer_) {
    co_await SendSavedAnswer();
    co_return;
  }
  if (outcome_unknown_) {
    co_await Refuse(expired_ ? EndReason::kTimeout
                             : EndReason::kUnknownOutcome);
    co_return;
  }
  if (ended_ || !deps_.accepts()) {
    co_await Refuse(EndReason::kStopping);
    co_return;
  }
  if (denial_) {
    co_await Refuse(DenialReason());
    co_return;
  }
  if (stopped_by_limits_) {
    co_await Refuse(EndReason::kOverLimit);
    co_return;
  }
  co_await Refuse(tried_.empty() ? EndReason::kNoTarget : EndReason::kRejected);
}

base::Duration RelayRun::Elapsed() const {
  return deps_.clock() - request_->arrived;
}

base::Duration RelayRun::TimeLeft() const {
  return deadline_ - deps_.clock();
}

bool RelayRun::IsStopped() const noexcept {
  return expired_ || reply_.disconnected();
}

}  // namespace lynxglade::request::passthrough
