#include "version/intent_api.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "version/details/configuration_json.h"
#include "version/details/json_reader.h"

namespace lynxglade::version {
namespace {

using connection::ApiAnswer;
using connection::ApiCall;
using connection::ApiError;
using details::json;

constexpr std::string_view kPlansPath = "/v1/admin/plans";
constexpr std::string_view kConfigPath = "/v1/admin/config";
constexpr std::string_view kContractsPath = "/v1/admin/contracts";
constexpr std::string_view kAuditPath = "/v1/admin/audit";
constexpr std::string_view kConfirmSuffix = "/confirm";
constexpr std::size_t kShownDigestDigits = 12;
constexpr std::int64_t kDefaultAudits = 50;
constexpr std::int64_t kMaxAudits = 1000;

ApiAnswer Ok(const json& body) {
  return {200, details::Canonical(body)};
}

ApiAnswer NoSuchPath() {
  return ApiError(404, "no_such_path", "no such path or method");
}

int StatusOf(PlanError error) {
  switch (error) {
    case PlanError::kNotPermitted:
      return 403;
    case PlanError::kUnknownPlan:
    case PlanError::kNoSuchRevision:
      return 404;
    case PlanError::kUnavailable:
    case PlanError::kNotReady:
      return 503;
    case PlanError::kTooLarge:
      return 413;
    case PlanError::kInvalidRequest:
    case PlanError::kOverCommitted:
    case PlanError::kNothingChanges:
    case PlanError::kNoFleetOperator:
    case PlanError::kNone:
      break;
  }
  return 422;
}

int StatusOf(ConfirmOutcome outcome) {
  switch (outcome) {
    case ConfirmOutcome::kInForce:
    case ConfirmOutcome::kAlreadyInForce:
      return 200;
    case ConfirmOutcome::kConflict:
    case ConfirmOutcome::kServiceBehind:
      return 409;
    case ConfirmOutcome::kUnknownPlan:
      return 404;
    case ConfirmOutcome::kNotPermitted:
      return 403;
    case ConfirmOutcome::kUnavailable:
    case ConfirmOutcome::kUnknown:
      break;
  }
  return 503;
}

ApiAnswer PlanErrorAnswer(const PlanFault& fault) {
  const json error = {{"code", ToString(fault.error)},
                      {"message", fault.message},
                      {"where", fault.where}};
  return {StatusOf(fault.error), details::Canonical({{"error", error}})};
}

json PlanToJson(const Plan& plan) {
  json body = json::parse(plan.text, nullptr, false);
  body["id"] = plan.id.str();
  // Internal encoding; clients read "changes" instead.
  body.erase("delta");
  return body;
}

// Contract operators see only plans limited to their own contracts.
bool MaySee(const Caller& caller, const ConfigDelta& delta) {
  if (caller.role != OperatorRole::kContract) {
    return true;
  }
  return delta.services.empty() && delta.operators.empty() &&
         std::ranges::all_of(delta.contracts, [&](const auto& it) {
           return caller.MaySee(it.first);
         });
}

bool MaySeeAudit(const Caller& caller, const json& audit) {
  if (caller.role != OperatorRole::kContract) {
    return true;
  }
  const json contracts = audit.value("contracts", json::array());
  return !audit.value("fleet", true) && !contracts.empty() &&
         std::ranges::all_of(contracts, [&](const json& it) {
           return it.is_string() &&
                  caller.MaySee(base::ContractId(it.get<std::string>()));
         });
}

json VisibleAudits(const Caller& caller,
                   const std::vector<std::string>& audits) {
  json shown = json::array();
  for (const std::string& it : audits) {
    json audit = json::parse(it, nullptr, false);
    if (audit.is_object() && MaySeeAudit(caller, audit)) {
      shown.push_back(std::move(audit));
    }
  }
  return shown;
}

// Shortens key digests: enough to identify a key, not enough to test guesses.
void ShortenDigests(json* part) {
  for (json& it : (*part)["key_hashes"]) {
    it = it.get<std::string>().substr(0, kShownDigestDigits);
  }
}

// Omits parts that the caller may not see.
json VisibleJson(const Configuration& configuration, const Caller& caller) {
  json body = details::ToJson(configuration);
  std::set<std::string> hidden;
  for (const auto& [id, contract] : configuration.contracts) {
    if (!caller.MaySee(id)) {
      hidden.insert(id.str());
    }
  }
  std::ranges::for_each(
      hidden, [&](const std::string& it) { body["contracts"].erase(it); });
  for (auto& it : body["contracts"]) {
    ShortenDigests(&it);
  }
  if (!caller.is_fleet()) {
    body.erase("operators");
    return body;
  }
  for (auto& it : body["operators"]) {
    ShortenDigests(&it);
  }
  return body;
}

std::optional<std::int64_t> QueryNumber(const ApiCall& call,
                                        const std::string& name,
                                        std::int64_t default_value) {
  const auto it = call.query.find(name);
  if (it == call.query.end()) {
    return default_value;
  }
  const std::string& text = it->second;
  std::int64_t n = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size() || n < 0) {
    return std::nullopt;
  }
  return n;
}

ApiAnswer BadNumber(const std::string& name) {
  return ApiError(
      400, "bad_query",
      "query parameter " + name + " must be an integer of at least 0");
}

}  // namespace

IntentApi::IntentApi(const OperatorAccess& access,
                     PlanService& plans,
                     const ConfigStore& store,
                     const ConfigTracker& tracker,
                     IntentApiHooks hooks,
                     base::Metrics& metrics)
    : access_(access),
      plans_(plans),
      store_(store),
      tracker_(tracker),
      hooks_(std::move(hooks)),
      metrics_(metrics) {}

ApiAnswer IntentApi::Handle(const ApiCall& call) const {
  const std::optional<Caller> caller = access_.Authenticate(call.operator_key);
  if (!caller) {
    return ApiError(401, "unauthenticated",
                    "the operator key is missing or unknown");
  }
  if (call.path.starts_with(kPlansPath)) {
    return HandlePlans(call, *caller);
  }
  if (call.path.starts_with(kConfigPath)) {
    return HandleConfig(call, *caller);
  }
  if (call.path == kContractsPath && call.method == "GET") {
    return ShowContracts(*caller);
  }
  if (call.path == kAuditPath && call.method == "GET") {
    return ShowAudit(call, *caller);
  }
  return NoSuchPath();
}

ApiAnswer IntentApi::HandlePlans(const ApiCall& call,
                                 const Caller& caller) const {
  const bool read = call.method == "GET";
  const bool write = call.method == "POST";
  if (call.path == kPlansPath) {
    if (read) {
      return ListPlans(caller);
    }
    return write ? CreatePlan(call, caller) : NoSuchPath();
  }
  std::string rest = call.path.substr(kPlansPath.size() + 1);
  if (write && rest.ends_with(kConfirmSuffix)) {
    rest.resize(rest.size() - kConfirmSuffix.size());
    return Confirm(base::PlanId(std::move(rest)), caller);
  }
  return read ? ShowPlan(base::PlanId(std::move(rest)), caller) : NoSuchPath();
}

ApiAnswer IntentApi::CreatePlan(const ApiCall& call,
                                const Caller& caller) const {
  CodecFault violation;
  PlanFault fault;
  const std::optional<ChangeRequest> request =
      ParseChangeRequest(call.body, &violation);
  std::optional<Plan> plan;
  if (request) {
    plan = plans_.Create(*request, caller, &fault);
  } else {
    fault = {PlanError::kInvalidRequest, violation.where, violation.message};
  }
  metrics_
      .GetCounter(
          "lynxglade_plans_total",
          {{"result", plan ? "made" : std::string(ToString(fault.error))}})
      .Add();
  if (!plan) {
    return PlanErrorAnswer(fault);
  }
  return {201, details::Canonical(PlanToJson(*plan))};
}

ApiAnswer IntentApi::ListPlans(const Caller& caller) const {
  PlanFault fault;
  const auto plans = plans_.List(&fault);
  if (!plans) {
    return PlanErrorAnswer(fault);
  }
  const base::Revision now = tracker_.Get()->revision;
  json list = json::array();
  for (const Plan& it : *plans) {
    if (MaySee(caller, it.delta)) {
      list.push_back({{"id", it.id.str()},
                      {"base", it.base.value()},
                      {"can_confirm", it.base == now},
                      {"stated_by", it.requested_by.str()},
                      {"note", it.note},
                      {"changes", it.changes.size()}});
    }
  }
  return Ok({{"plans", std::move(list)}, {"revision", now.value()}});
}

ApiAnswer IntentApi::ShowPlan(const base::PlanId& id,
                              const Caller& caller) const {
  PlanFault fault;
  const auto plan = plans_.Find(id, &fault);
  if (!plan) {
    return PlanErrorAnswer(fault);
  }
  if (!MaySee(caller, plan->delta)) {
    return PlanErrorAnswer(UnknownPlanFault(id));
  }
  return Ok(PlanToJson(*plan));
}

ApiAnswer IntentApi::Confirm(const base::PlanId& id,
                             const Caller& caller) const {
  const ConfirmResult result = plans_.Confirm(id, caller);
  metrics_
      .GetCounter("lynxglade_confirms_total",
                  {{"result", std::string(ToString(result.outcome))}})
      .Add();
  return ConfirmAnswer(result, caller);
}

ApiAnswer IntentApi::ConfirmAnswer(const ConfirmResult& result,
                                   const Caller& caller) const {
  const int status = StatusOf(result.outcome);
  if (status == 200) {
    return Ok({{"result", ToString(result.outcome)},
               {"revision", result.revision.value()}});
  }
  json body = {
      {"error",
       {{"code", ToString(result.outcome)}, {"message", result.message}}}};
  if (result.outcome == ConfirmOutcome::kConflict) {
    body["changed_since"] = VisibleAudits(caller, result.since);
  }
  return {status, details::Canonical(body)};
}

ApiAnswer IntentApi::HandleConfig(const ApiCall& call,
                                  const Caller& caller) const {
  const bool read = call.method == "GET";
  const std::string_view rest =
      std::string_view(call.path).substr(kConfigPath.size());
  if (read && rest.empty()) {
    return ShowConfig(call, caller);
  }
  if (read && rest == "/status") {
    return ShowStatus();
  }
  if (call.method == "POST" && rest == "/restore") {
    return Restore(caller);
  }
  return NoSuchPath();
}

ApiAnswer IntentApi::ShowConfig(const ApiCall& call,
                                const Caller& caller) const {
  const std::shared_ptr<const Configuration> now = tracker_.Get();
  const auto revision = QueryNumber(call, "revision", now->revision.value());
  if (!revision) {
    return BadNumber("revision");
  }
  if (*revision == now->revision.value()) {
    return Ok(VisibleJson(*now, caller));
  }
  PlanFault fault;
  const auto old = plans_.ConfigurationAt(base::Revision(*revision), &fault);
  if (!old) {
    return PlanErrorAnswer(fault);
  }
  json body = VisibleJson(*old, caller);
  body["revision"] = *revision;
  return Ok(body);
}

ApiAnswer IntentApi::ShowStatus() const {
  const ConfigSnapshot current = tracker_.GetSnapshot();
  json rows = json::array();
  for (const InstanceRevision& it : hooks_.instances()) {
    rows.push_back({{"instance", it.instance.str()},
                    {"revision", it.revision.value()},
                    {"age_ms", base::ToMillis(hooks_.clock() - it.as_of)},
                    {"forked", it.revision == current.revision() &&
                                   it.digest != current.digest}});
  }
  return Ok({{"revision", current.revision().value()},
             {"digest", current.digest},
             {"newest_heard", tracker_.newest_known().value()},
             {"ready", tracker_.ready()},
             {"service_is_behind", tracker_.service_is_behind()},
             {"forked", tracker_.forked()},
             {"instances", std::move(rows)}});
}

ApiAnswer IntentApi::Restore(const Caller& caller) const {
  if (!caller.is_fleet()) {
    return ApiError(403, "not_permitted",
                    "only a fleet operator may restore the configuration");
  }
  return ConfirmAnswer(plans_.Restore(caller), caller);
}

ApiAnswer IntentApi::ShowContracts(const Caller& caller) const {
  const std::shared_ptr<const Configuration> now = tracker_.Get();
  json rows = json::array();
  for (const auto& [id, contract] : now->contracts) {
    if (caller.MaySee(id)) {
      json row = details::ToJson(contract);
      ShortenDigests(&row);
      rows.push_back(std::move(row));
    }
  }
  return Ok(
      {{"revision", now->revision.value()}, {"contracts", std::move(rows)}});
}

ApiAnswer IntentApi::ShowAudit(const ApiCall& call,
                               const Caller& caller) const {
  const auto limit = QueryNumber(call, "limit", kDefaultAudits);
  const auto before =
      QueryNumber(call, "before", tracker_.Get()->revision.value() + 1);
  if (!limit || !before) {
    return BadNumber(limit ? "before" : "limit");
  }
  const std::int64_t to = std::max<std::int64_t>(0, *before - 1);
  const std::int64_t from =
      std::max<std::int64_t>(0, to - std::min(*limit, kMaxAudits));
  StoreError ec = StoreError::kNone;
  const auto audits =
      store_.ReadAudits(base::Revision(from), base::Revision(to), &ec);
  if (!audits) {
    return PlanErrorAnswer(
        {PlanError::kUnavailable, "",
         "the key-value service: " + std::string(ToString(ec))});
  }
  return Ok({{"audit", VisibleAudits(caller, *audits)}});
}

}  // namespace lynxglade::version
