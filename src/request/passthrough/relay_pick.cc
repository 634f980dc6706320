// Which targets a request is sent to, and whether it is at all.
#include <algorithm>
#include <chrono>
#include <iterator>
#include <limits>
#include <utility>
#include <vector>

#include "connection/event/sleep.h"
#include "request/passthrough/relay_run.h"

namespace lynxglade::request::passthrough {

namespace {

using connection::event::Awaitable;
using connection::event::SleepFor;

constexpr int kMostUrgent = 0;

}  // namespace

EnginePick RelayRun::PickFirst() {
  EnginePick pick = Pick();
  if (late_ || standing_.guaranteed ||
      !MissesLatencyTarget({pick.wait, pick.expected}, route_->target_latency,
                           options_.admission)) {
    return pick;
  }
  late_ = true;
  deps_.metrics.GetCounter("lynxglade_late_requests_total").Add();
  return Pick();
}

std::optional<EndReason> RelayRun::CheckFirstAttempt(const EnginePick& pick) {
  const base::Duration time_limit = FirstByteTimeout();
  forecast_factor_ =
      deps_.forecast_errors.Factor(service_, Priority(), deps_.clock());
  const auto expected = std::chrono::duration_cast<base::Duration>(
      forecast_factor_ * pick.expected);
  if (ExceedsCallerTimeout({pick.wait, expected}, time_limit,
                           options_.admission, standing_.capacity_fraction)) {
    return EndReason::kWaitTooLong;
  }
  if (pick.prefill_engine && !WillBePermitted()) {
    return EndReason::kOverLimit;
  }
  const RequestedAnswer answer{.expected_tokens = terms_.expected_tokens,
                               .max_tokens = terms_.max_tokens,
                               .timeout = route_->timeout,
                               .capacity_fraction = standing_.capacity_fraction,
                               .arriving = ArrivingPerRunner(),
                               .deviations = standing_.deviations,
                               .yields_to = standing_.yields_to,
                               .yield = standing_.yield};
  if (!deps_.answers.Admit(*pick.runner, route_->name, answer, deps_.clock())) {
    return EndReason::kNoCapacity;
  }
  forecast_ = {Priority(), pick.expected, Elapsed(), time_limit};
  return std::nullopt;
}

bool RelayRun::WillBePermitted() const {
  std::vector<EngineHandle> runners;
  std::ranges::copy_if(deps_.engines.OfService(service_),
                       std::back_inserter(runners), [](const EngineHandle& it) {
                         return !it->entry.draining &&
                                it->entry.stage != EngineStage::kPrefill;
                       });
  return deps_.limits.MayClaim(service_, runners, options_.permit_horizon,
                               deps_.clock());
}

base::Duration RelayRun::FirstByteTimeout() const {
  if (route_->kind != RouteKind::kStream) {
    return TimeLeft();
  }
  return std::min(TimeLeft(), route_->EventTimeout() - Elapsed());
}

int RelayRun::Priority() const noexcept {
  if (standing_.guaranteed) {
    return kMostUrgent;
  }
  const int priority = organisation_ && organisation_->priority
                           ? *organisation_->priority
                           : route_->priority;
  return priority + (late_ ? kLatePriorityOffset : 0);
}

// A KV cache that is already held by an engine is kept for the next runner.
EnginePick RelayRun::Pick() {
  const auto& engines = deps_.engines.OfService(service_);
  const EnginePickQuery query{
      .prompt = terms_.prompt,
      .priority = Priority(),
      .tried = tried_,
      .max_in_flight = MaxInFlight(),
      .allow_separate_prefill = failed_prefills_ <= kMaxFailedPrefills &&
                                runs_ == 0 && !prefill_denied_,
      .now = deps_.clock()};
  EnginePick pick;
  if (source_) {
    pick = deps_.picker.PickDecodeEngine(engines, source_->engine, query);
  } else {
    pick = deps_.picker.Pick(engines, query);
  }
  over_limit_ = pick.over_limit;
  stopped_by_limits_ = !pick.runner && pick.over_limit > 0;
  return pick;
}

Awaitable<EnginePick> RelayRun::PickForSource() {
  const base::Time wait_until = deps_.clock() + options_.permit_timeout;
  EnginePick pick = Pick();
  while (!pick.runner && pick.over_limit > 0 && !IsStopped() &&
         deps_.clock() < wait_until) {
    co_await SleepFor(deps_.loop, options_.permit_poll_interval);
    pick = Pick();
  }
  co_return pick;
}

std::optional<base::Time> RelayRun::NextPermit() {
  const base::Time now = deps_.clock();
  std::optional<base::Time> next;
  for (const EngineHandle& engine : deps_.engines.OfService(service_)) {
    const base::Time permitted = deps_.limits.NextSend(*engine, now);
    if (permitted > now && !engine->entry.draining) {
      next = std::min(next.value_or(permitted), permitted);
    }
  }
  return next;
}

int RelayRun::MaxInFlight() const {
  // Idle connections count at the target too, and instance counts lag behind.
  constexpr int kMinInFlight = 4;
  const ServiceTerms* service = table_->FindService(service_);
  if (!service || service->max_connections == 0) {
    return std::numeric_limits<int>::max();
  }
  return std::max(service->max_connections / std::max(deps_.instances(), 1),
                  kMinInFlight);
}

}  // namespace lynxglade::request::passthrough
