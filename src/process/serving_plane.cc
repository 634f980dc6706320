#include "process/serving_plane.h"

#include <algorithm>
#include <condition_variable>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/log.h"

namespace lynxglade::process {

namespace {

using request::AttemptEnd;
using request::AttemptReport;
using request::Refusal;
using request::RefusalReason;
using request::Request;
using request::Target;
using request::TargetRefusal;

constexpr char kQuarantinePath[] = "/v1/admin/quarantine";
// How often a retry that backs off checks whether its caller has disconnected.
constexpr base::Duration kCancelPollInterval = std::chrono::milliseconds(50);
// For denials that specify no retry time.
constexpr base::Duration kDefaultRetryAfter = std::chrono::seconds(1);

request::ContentHash ContentOf(const Request& request) {
  return request::ContentHash(request.content_hash);
}

// Sleeps for `wait`; returns false early if `cancelled` becomes true.
bool SleepUnlessCancelled(base::Duration wait,
                          const std::function<bool()>& cancelled) {
  const base::Time until = base::BootClock::now() + wait;
  while (!cancelled()) {
    const base::Duration left = until - base::BootClock::now();
    if (left <= base::Duration::zero()) {
      return true;
    }
    std::this_thread::sleep_for(std::min(left, kCancelPollInterval));
  }
  return false;
}

request::RequestedRole RoleOf(request::AttemptKind kind) noexcept {
  switch (kind) {
    case request::AttemptKind::kPrefill:
      return request::RequestedRole::kPrefill;
    case request::AttemptKind::kDecode:
      return request::RequestedRole::kDecode;
    case request::AttemptKind::kWhole:
      break;
  }
  return request::RequestedRole::kAny;
}

// Whether the end counts as a failure of the target for outlier ejection.
bool IsTargetFault(AttemptEnd end) noexcept {
  switch (end) {
    case AttemptEnd::kConnectFailed:
    case AttemptEnd::kSendFailed:
    case AttemptEnd::kReset:
    case AttemptEnd::kTruncated:
    case AttemptEnd::kTimeout:
    case AttemptEnd::kCrossed:
    case AttemptEnd::kBadAnswer:
      return true;
    case AttemptEnd::kWhole:
    case AttemptEnd::kRefused:
    case AttemptEnd::kCancelledByCaller:
      break;
  }
  return false;
}

RefusalReason ToRefusalReason(request::RetryDenial denial) noexcept {
  switch (denial) {
    case request::RetryDenial::kAttemptsUsed:
      return RefusalReason::kAttemptsExhausted;
    case request::RetryDenial::kDeadlineTooNear:
      return RefusalReason::kDeadlinePassed;
    case request::RetryDenial::kProcessBudget:
    case request::RetryDenial::kContractBudget:
    case request::RetryDenial::kTargetBudget:
      break;
  }
  return RefusalReason::kRetryBudget;
}

bool IsConnectionLost(AttemptEnd end) noexcept {
  return end == AttemptEnd::kReset || end == AttemptEnd::kTruncated ||
         end == AttemptEnd::kSendFailed;
}

nlohmann::json EntryJson(const request::QuarantineEntry& entry) {
  auto crashed = nlohmann::json::array();
  for (const base::TargetId& target : entry.crashed) {
    crashed.push_back(target.str());
  }
  return {{"content", request::ToHex(entry.content)},
          {"quarantined", entry.quarantined},
          {"crashed", std::move(crashed)},
          {"shared_with", entry.shared_with},
          {"expires_in_ms", base::ToMillis(entry.expires_in)}};
}

}  // namespace

// --- Construction -----------------------------------------------------------

ServingPlane::ServingPlane(ServingOptions options,
                           ServingHooks hooks,
                           TargetRegistry& registry,
                           base::Metrics& metrics)
    : options_(std::move(options)),
      clock_(hooks.clock),
      run_(hooks.run),
      entry_instances_(hooks.entry_instances),
      registry_(registry),
      metrics_(metrics),
      router_(options_.router, hooks.random),
      admission_({}, hooks.clock),
      retry_policy_(options_.retry, hooks.random),
      quarantine_({}, options_.instance, hooks.publish),
      relay_(MakeRelayHooks(hooks), options_.limits) {}

request::RelayHooks ServingPlane::MakeRelayHooks(const ServingHooks& hooks) {
  request::RelayHooks out;
  out.pick = [this](const request::PickQuery& query) { return Pick(query); };
  out.run = [this](const request::AttemptSpec& spec,
                   const request::TokenSink& sink) { return Run(spec, sink); };
  out.now = hooks.clock;
  out.random = hooks.random;
  out.sleep = SleepUnlessCancelled;
  out.allow_retry = [this](const request::RetryQuery& query) {
    return AllowRetry(query);
  };
  out.estimate_cost = [this](const Request& request) {
    return costs_.Estimate(request);
  };
  out.admit = [this](const Request& request,
                     const std::function<bool()>& caller_gone) {
    return Admit(request, caller_gone);
  };
  out.check_quarantine = [this](const Request& request) {
    return CheckQuarantine(request);
  };
  out.on_attempt_start = [this](const Target& target,
                                const request::AttemptSpec& spec) {
    OnAttemptStart(target, spec);
  };
  out.on_attempt_end = [this](const Target& target,
                              const request::AttemptSpec& spec,
                              const AttemptReport& report) {
    OnAttemptEnd(target, spec, report);
  };
  out.cancel = hooks.cancel;
  out.wants_split = [this](const Request& request) {
    return WantsSplit(request);
  };
  out.claim_begin = hooks.claim_begin;
  out.claim_finish = hooks.claim_finish;
  return out;
}

// --- Serving ----------------------------------------------------------------

request::RelayResult ServingPlane::Serve(const Request& request,
                                         const request::CallerSink& sink) {
  return relay_.Serve(request, sink);
}

std::optional<request::RouteChoice> ServingPlane::Route(
    const request::TargetIndex& index,
    const request::PickQuery& query,
    request::RequestedRole role,
    request::RouteError* error) {
  const Request& request = *query.request;
  request::RouteQuery route;
  route.service = request.service;
  route.model = request.model;
  route.version = query.version.value_or(base::ModelVersion());
  route.role = role;
  route.prefix_hash = request.prefix_hash;
  route.cost = costs_.Estimate(request);
  route.local_zone = options_.zone;
  route.excluded = query.avoid;
  route.now = clock_();
  return router_.Pick(index, route, error);
}

request::PickResult ServingPlane::Pick(const request::PickQuery& query) {
  const Request& request = *query.request;
  const auto index = registry_.Index();
  request::RouteError error{};
  auto choice = Route(*index, query, RoleOf(query.kind), &error);
  if (!choice && error == request::RouteError::kAllExcluded) {
    // Fall back to a target that was tried before.
    request::PickQuery unrestricted = query;
    unrestricted.avoid.clear();
    choice = Route(*index, unrestricted, RoleOf(query.kind), &error);
  }
  request::PickResult result;
  if (!choice) {
    result.reason = request::ToRefusalReason(error);
    result.retry_after = kDefaultRetryAfter;
    metrics_
        .GetCounter("lynxglade_route_failures_total",
                    {{"reason", std::string(request::ToString(error))}})
        .Add();
    return result;
  }
  metrics_
      .GetCounter("lynxglade_routes_total",
                  {{"reason", std::string(request::ToString(choice->reason))}})
      .Add();
  result.target = *choice->target;
  const bool first_attempt =
      query.avoid.empty() && query.kind != request::AttemptKind::kDecode;
  if (first_attempt) {
    retry_budget_.OnFirstAttempt(request.contract, choice->target->id,
                                 clock_());
  }
  return result;
}

bool ServingPlane::WantsSplit(const Request& request) {
  if (request.model.empty()) {
    return false;
  }
  const auto index = registry_.Index();
  const request::PickQuery query{
      &request, request::AttemptKind::kWhole, {}, std::nullopt};
  request::RouteError error{};
  const auto choice =
      Route(*index, query, request::RequestedRole::kAny, &error);
  return choice && choice->decode != nullptr;
}

request::AdmissionDecision ServingPlane::Admit(
    const Request& request,
    const std::function<bool()>& caller_gone) {
  const request::Cost cost = costs_.Estimate(request);
  RecordDemand(request, cost);
  request::AdmissionDecision decision;
  Refusal refusal;
  auto ticket = admission_.Admit(request, cost, &refusal, caller_gone);
  if (!ticket) {
    decision.refusal = refusal;
    return decision;
  }
  // std::function requires a copyable callable, and the ticket is move-only.
  auto shared =
      std::make_shared<std::optional<request::Ticket>>(std::move(*ticket));
  const bool is_model_request = !request.model.empty();
  decision.release = [this, shared, is_model_request,
                      &request](const request::Usage& usage) {
    const request::Cost actual{usage.prompt, usage.completion};
    if (is_model_request && usage.completion.value() > 0) {
      (*shared)->SetActual(actual);
      costs_.Observe(request, actual);
    }
    shared->reset();
  };
  return decision;
}

void ServingPlane::RecordDemand(const Request& request,
                                const request::Cost& cost) {
  std::lock_guard lock(demand_mutex_);
  Demand& demand = demand_[request.service];
  ++demand.requests;
  demand.prefill += cost.prefill;
  demand.decode += cost.decode;
  demand.worth += request.worth;
}

std::optional<Refusal> ServingPlane::CheckQuarantine(const Request& request) {
  if (!quarantine_.IsQuarantined(ContentOf(request), clock_())) {
    return std::nullopt;
  }
  return Refusal{RefusalReason::kQuarantined, base::Outcome::kNotRun,
                 "this content crashed its targets; an operator can lift it",
                 std::nullopt};
}

// --- Attempts ---------------------------------------------------------------

AttemptReport ServingPlane::Run(const request::AttemptSpec& spec,
                                const request::TokenSink& sink) {
  request::QuarantineDenial denial{};
  const bool started = quarantine_.TryStart(
      ContentOf(*spec.request), spec.target, spec.id, clock_(), &denial);
  if (started) {
    return run_(spec, sink);
  }
  metrics_
      .GetCounter("lynxglade_quarantine_denials_total",
                  {{"reason", std::string(request::ToString(denial))}})
      .Add();
  // Nothing was sent, so the relay can retry elsewhere or later.
  AttemptReport report;
  report.outcome = base::Outcome::kNotRun;
  report.end = AttemptEnd::kRefused;
  report.refusal = request::CanTryOtherTarget(denial)
                       ? TargetRefusal::kChanging
                       : TargetRefusal::kHeldBack;
  report.message = "attempt blocked by quarantine: ";
  report.message += request::ToString(denial);
  report.retry_after = kDefaultRetryAfter;
  return report;
}

void ServingPlane::OnAttemptStart(const Target& target,
                                  const request::AttemptSpec& spec) {
  metrics_.GetCounter("lynxglade_attempts_total").Add();
}

void ServingPlane::OnAttemptEnd(const Target& target,
                                const request::AttemptSpec& spec,
                                const AttemptReport& report) {
  const base::Time now = clock_();
  metrics_
      .GetCounter("lynxglade_attempt_ends_total",
                  {{"end", std::string(request::ToString(report.end))}})
      .Add();
  if (report.end == AttemptEnd::kWhole) {
    quarantine_.OnDelivered(spec.id, now);
  } else if (IsConnectionLost(report.end)) {
    quarantine_.OnLost(spec.id, now);
  } else {
    quarantine_.OnEnded(spec.id, now);
  }
  if (!report.load_json.empty()) {
    if (const auto load = connection::ParseLoadReport(report.load_json, now)) {
      OnLoad(*load);
    }
  }
  UpdateTargetHealth(target, report);
  RecordRefusal(target, report);
  if (report.end != AttemptEnd::kWhole) {
    base::Log(base::LogLevel::kInfo, "attempt_failed",
              {{"request", spec.request->id.str()},
               {"attempt", spec.id.str()},
               {"contract", spec.request->contract.str()},
               {"target", target.id.str()},
               {"end", request::ToString(report.end)},
               {"refusal", request::ToString(report.refusal)},
               {"outcome", base::ToString(report.outcome)},
               {"message", report.message}});
  }
}

void ServingPlane::UpdateTargetHealth(const Target& target,
                                      const AttemptReport& report) {
  const base::Time now = clock_();
  if (report.end == AttemptEnd::kConnectFailed) {
    quarantine_.OnTargetCrashed(target.id, now);
  }
  if (report.end == AttemptEnd::kWhole) {
    ejector_.OnSuccess(target, now);
    return;
  }
  if (!IsTargetFault(report.end)) {
    return;
  }
  const auto index = registry_.Index();
  request::EjectDenial denial{};
  const auto ejection =
      ejector_.OnFailure(index->table(), target, now, &denial);
  if (ejection) {
    metrics_.GetCounter("lynxglade_ejections_total").Add();
    base::Log(base::LogLevel::kWarning, "target_ejected",
              {{"target", target.id.str()},
               {"for_ms", base::ToMillis(ejection->length)}});
  }
}

void ServingPlane::RecordRefusal(const Target& target,
                                 const AttemptReport& report) {
  if (report.end != AttemptEnd::kRefused) {
    return;
  }
  metrics_
      .GetCounter("lynxglade_target_refusals_total",
                  {{"reason", std::string(request::ToString(report.refusal))}})
      .Add();
  if (report.refusal == TargetRefusal::kDraining) {
    registry_.OnTargetRefusal(target.id, request::TargetState::kDraining);
  }
}

request::RetryDecision ServingPlane::AllowRetry(
    const request::RetryQuery& query) {
  const base::Time now = clock_();
  request::RetryDecision decision;
  request::RetryDenial denial{};
  const auto delay = retry_policy_.NextDelay(query.attempts, now,
                                             query.request->deadline, &denial);
  const bool exempt = request::NothingWasSent(*query.report);
  const bool granted =
      delay &&
      (exempt || retry_budget_.TryTake(request::ExtraAttempt::kRetry,
                                       query.request->contract,
                                       query.failed_target, now, &denial));
  if (!granted) {
    metrics_
        .GetCounter("lynxglade_retry_denials_total",
                    {{"reason", std::string(request::ToString(denial))}})
        .Add();
    decision.reason = ToRefusalReason(denial);
    decision.retry_after =
        query.report->retry_after.value_or(kDefaultRetryAfter);
    return decision;
  }
  metrics_
      .GetCounter(
          "lynxglade_retries_total",
          {{"after", std::string(request::ToString(query.report->end))}})
      .Add();
  decision.allowed = true;
  // An overloaded target rejects cheaply, so another one is tried at once.
  decision.backoff = query.report->refusal == TargetRefusal::kOverloaded
                         ? base::Duration::zero()
                         : *delay;
  return decision;
}

// --- Updates ----------------------------------------------------------------

void ServingPlane::OnConfiguration(
    const version::Configuration& configuration) {
  for (const auto& [name, service] : configuration.services) {
    admission_.SetShares(name, request::SharesOf(configuration, name));
  }
}

void ServingPlane::Refresh() {
  registry_.Publish();
  const auto index = registry_.Index();
  ejector_.Reconcile(index->table(), clock_());
  quarantine_.Tick(clock_());
  const std::size_t instances = std::max<std::size_t>(entry_instances_(), 1);
  const base::ServiceName* last = nullptr;
  for (const Target& target : index->table().targets) {
    // The table is sorted by service.
    if (last != nullptr && *last == target.service) {
      continue;
    }
    last = &target.service;
    admission_.SetCapacity(
        target.service, request::CapacityOf(*index, target.service, instances,
                                            options_.capacity));
  }
}

void ServingPlane::OnLoad(const connection::LoadReport& report) {
  const bool restarted = registry_.OnLoad(report);
  if (restarted) {
    quarantine_.OnTargetCrashed(report.target, clock_());
  } else {
    quarantine_.OnTargetAlive(report.target, report.load.as_of);
  }
}

void ServingPlane::OnQuarantineView(const ViewItem& item) {
  quarantine_.Merge(item, clock_());
}

void ServingPlane::Stop() {
  admission_.Stop();
}

// --- Administration ---------------------------------------------------------

connection::ApiAnswer ServingPlane::HandleQuarantine(
    const connection::ApiCall& call) {
  const base::Time now = clock_();
  if (call.method == "GET" && call.path == kQuarantinePath) {
    auto rows = nlohmann::json::array();
    std::ranges::transform(quarantine_.List(now), std::back_inserter(rows),
                           EntryJson);
    return {200, nlohmann::json{{"quarantine", std::move(rows)}}.dump()};
  }
  const std::string prefix = std::string(kQuarantinePath) + "/";
  if (call.method == "DELETE" && call.path.starts_with(prefix)) {
    const auto content =
        request::ParseContentHash(call.path.substr(prefix.size()));
    if (content && quarantine_.Lift(*content, now)) {
      return {200, R"({"lifted":true})"};
    }
    return connection::ApiError(404, "not_found",
                                "no quarantine entry for this content");
  }
  return connection::ApiError(404, "not_found", "no such path");
}

std::map<base::ServiceName, Demand> ServingPlane::DemandByService() const {
  std::lock_guard lock(demand_mutex_);
  return demand_;
}

std::size_t ServingPlane::waiting() const {
  return admission_.waiting();
}

int ServingPlane::running() const {
  return admission_.running();
}

}  // namespace lynxglade::process
