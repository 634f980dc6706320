#include "version/plan.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "version/details/json_reader.h"
#include "version/digest.h"
#include "version/operator_access.h"

namespace lynxglade::version {
namespace {

using details::json;

constexpr std::size_t kMaxPlanBytes = 950u << 10;
constexpr std::size_t kMaxReasonBytes = 64u << 10;
constexpr std::size_t kMaxChanges =
    kMaxServices + kMaxContracts + kMaxOperators;

std::nullopt_t Reject(PlanFault* fault,
                      PlanError error,
                      std::string where,
                      std::string message) {
  *fault = {error, std::move(where), std::move(message)};
  return std::nullopt;
}

std::set<base::ServiceName> ServicesOf(const Contract& contract) {
  std::set<base::ServiceName> services;
  std::ranges::transform(contract.intents,
                         std::inserter(services, services.end()),
                         &Intent::service);
  return services;
}

// Services whose shares the delta may affect.
std::set<base::ServiceName> AffectedServices(const ConfigDelta& delta) {
  std::set<base::ServiceName> services;
  for (const auto& [name, edit] : delta.services) {
    services.insert(name);
  }
  for (const auto& [id, edit] : delta.contracts) {
    if (edit.before) {
      services.merge(ServicesOf(*edit.before));
    }
    if (edit.after) {
      services.merge(ServicesOf(*edit.after));
    }
  }
  return services;
}

int CountTargets(const FleetFacts& fleet, const base::ServiceName& service) {
  return static_cast<int>(
      std::ranges::count(fleet.targets, service, &TargetFact::service));
}

// Lists the changed contracts and aggregates all others, so that the plan
// stays small on services shared by many contracts.
json SharesToJson(const ServiceShares& shares, const ConfigDelta& delta) {
  json lines = json::array();
  int others = 0;
  int other_engines = 0;
  double other_share = 0;
  for (const ShareLine& it : shares.lines) {
    if (!delta.contracts.contains(it.contract)) {
      ++others;
      other_engines += it.engines;
      other_share += it.share;
      continue;
    }
    lines.push_back({{"contract", it.contract.str()},
                     {"model", it.model.str()},
                     {"version", it.version.str()},
                     {"share", it.share},
                     {"engines", it.engines}});
  }
  return {{"service", shares.service.str()},
          {"engines", shares.engines},
          {"sum", shares.sum},
          {"free_engines", shares.free_engines},
          {"lines", std::move(lines)},
          {"others",
           {{"lines", others},
            {"share", other_share},
            {"engines", other_engines}}}};
}

json ReloadToJson(const EngineReload& it) {
  return {{"target", it.current.id.str()},
          {"from",
           {{"model", it.current.model.str()},
            {"version", it.current.version.str()}}},
          {"to", {{"model", it.model.str()}, {"version", it.version.str()}}}};
}

// Share arithmetic of all affected services, with warnings.
struct ShareReport {
  json shares = json::array();
  json reloads = json::array();
  json warnings = json::array();
};

void AddServiceShares(const Configuration& desired,
                      const ConfigDelta& delta,
                      const base::ServiceName& service,
                      const FleetFacts& fleet,
                      ShareReport* report) {
  const auto spec = desired.services.find(service);
  if (spec == desired.services.end()) {
    return;
  }
  const ServiceShares shares =
      ComputeShares(desired, service, CountTargets(fleet, service));
  report->shares.push_back(SharesToJson(shares, delta));
  if (shares.engines == 0) {
    report->warnings.push_back("no targets of " + service.str() +
                               " are in view now");
    return;
  }
  for (const ShareLine& it : shares.lines) {
    if (it.engines == 0 && delta.contracts.contains(it.contract)) {
      report->warnings.push_back("the share of " + it.contract.str() + " on " +
                                 service.str() + " is less than one engine");
    }
  }
  if (spec->second.engines) {
    std::ranges::transform(ComputeEngineReloads(shares, fleet.targets),
                           std::back_inserter(report->reloads), ReloadToJson);
  }
}

ShareReport ComputeShareReport(const Configuration& desired,
                               const ConfigDelta& delta,
                               const FleetFacts& fleet) {
  ShareReport report;
  for (const base::ServiceName& it : AffectedServices(delta)) {
    AddServiceShares(desired, delta, it, fleet, &report);
  }
  return report;
}

json ChangesToJson(const std::vector<PlanChange>& changes) {
  json array = json::array();
  for (const PlanChange& it : changes) {
    array.push_back(
        {{"kind", it.kind}, {"subject", it.subject}, {"reason", it.reason}});
  }
  return array;
}

void SetTextAndId(const Configuration& desired,
                  const FleetFacts& fleet,
                  Plan* plan) {
  ShareReport report = ComputeShareReport(desired, plan->delta, fleet);
  const double cost =
      static_cast<double>(report.reloads.size()) * fleet.seconds_per_reload;
  json text = {{"base", plan->base.value()},
               {"base_digest", plan->base_digest},
               {"delta", EncodeDelta(plan->delta)},
               {"changes", ChangesToJson(plan->changes)},
               {"shares", std::move(report.shares)},
               {"engines_touched", std::move(report.reloads)},
               {"cost_engine_seconds", cost},
               {"warnings", std::move(report.warnings)},
               {"stated_by", plan->requested_by.str()},
               {"note", plan->note}};
  if (plan->rollback_to) {
    text["rollback_to"] = plan->rollback_to->value();
  }
  plan->text = details::Canonical(text);
  plan->id = base::PlanId(Sha256Hex(plan->text));
}

bool DecodeChanges(details::JsonReader* reader,
                   std::vector<PlanChange>* changes,
                   CodecFault* fault) {
  reader->Each(
      "changes", json::value_t::array, kMaxChanges,
      [&](const std::string&, const json& it, const std::string& where) {
        details::JsonReader one(it, where, fault);
        PlanChange& change = changes->emplace_back();
        one.OptionalText("kind", kMaxIdBytes, &change.kind);
        one.OptionalText("subject", kMaxIdBytes, &change.subject);
        one.OptionalText("reason", kMaxReasonBytes, &change.reason);
        return one.Done();
      });
  return reader->ok();
}

}  // namespace

std::string_view ToString(PlanError error) noexcept {
  switch (error) {
    case PlanError::kNone:
      return "none";
    case PlanError::kInvalidRequest:
      return "bad_statement";
    case PlanError::kOverCommitted:
      return "over_committed";
    case PlanError::kNothingChanges:
      return "nothing_changes";
    case PlanError::kNoFleetOperator:
      return "locks_out";
    case PlanError::kTooLarge:
      return "too_large";
    case PlanError::kNoSuchRevision:
      return "no_such_revision";
    case PlanError::kNotPermitted:
      return "not_permitted";
    case PlanError::kUnknownPlan:
      return "unknown_plan";
    case PlanError::kUnavailable:
      return "unavailable";
    case PlanError::kNotReady:
      break;
  }
  return "not_ready";
}

std::optional<Plan> MakePlan(const ConfigSnapshot& current,
                             const Configuration& desired,
                             const ChangeRequest& request,
                             const base::OperatorId& requested_by,
                             const FleetFacts& fleet,
                             PlanFault* fault) {
  CodecFault violation;
  if (!CheckConfiguration(desired, &violation)) {
    const PlanError error = violation.error == CodecError::kOverCommitted
                                ? PlanError::kOverCommitted
                                : PlanError::kInvalidRequest;
    return Reject(fault, error, violation.where, violation.message);
  }
  if (RemovesLastFleetOperator(*current.configuration, desired)) {
    return Reject(
        fault, PlanError::kNoFleetOperator, "/operators",
        "the change would remove the last fleet operator that has a key");
  }
  Plan plan;
  plan.base = current.revision();
  plan.base_digest = current.digest;
  plan.delta = MakeDelta(*current.configuration, desired);
  if (plan.delta.empty()) {
    return Reject(fault, PlanError::kNothingChanges, "",
                  "the request does not change the current configuration");
  }
  plan.changes = DescribeDelta(plan.delta);
  plan.requested_by = requested_by;
  plan.note = request.note;
  plan.rollback_to = request.rollback_to;
  SetTextAndId(desired, fleet, &plan);
  if (plan.text.size() > kMaxPlanBytes ||
      EncodeChainedDelta(MakeChainedDelta(plan.delta, current.digest)).size() >
          kMaxDeltaBytes) {
    return Reject(
        fault, PlanError::kTooLarge, "",
        "the change is too large for one plan; split it into several");
  }
  return plan;
}

std::optional<Plan> DecodePlan(std::string_view text) {
  json value;
  CodecFault fault;
  if (!details::ParseObject(text, kMaxPlanBytes, &value, &fault)) {
    return std::nullopt;
  }
  Plan plan;
  std::int64_t base = 0;
  std::string delta_text;
  std::string requested_by;
  details::JsonReader reader(value, "", &fault);
  reader.Integer("base", 0, INT64_MAX, &base);
  reader.OptionalText("base_digest", kMaxIdBytes, &plan.base_digest);
  reader.OptionalText("delta", kMaxDeltaBytes, &delta_text);
  reader.Id("stated_by", &requested_by);
  reader.OptionalText("note", kMaxNoteBytes, &plan.note);
  if (reader.Any("rollback_to") != nullptr) {
    std::int64_t revision = 0;
    reader.Integer("rollback_to", 0, INT64_MAX, &revision);
    plan.rollback_to = base::Revision(revision);
  }
  if (!DecodeChanges(&reader, &plan.changes, &fault)) {
    return std::nullopt;
  }
  std::optional<ConfigDelta> delta = DecodeDelta(delta_text, &fault);
  if (!delta) {
    return std::nullopt;
  }
  plan.delta = std::move(*delta);
  plan.base = base::Revision(base);
  plan.requested_by = base::OperatorId(std::move(requested_by));
  plan.text = std::string(text);
  plan.id = base::PlanId(Sha256Hex(text));
  return plan;
}

std::optional<Configuration> RollBack(const Configuration& current,
                                      const std::vector<ChainedDelta>& deltas) {
  Configuration restored = current;
  CodecFault fault;
  const bool undone =
      std::all_of(deltas.rbegin(), deltas.rend(), [&](const ChainedDelta& it) {
        const std::optional<ConfigDelta> delta = DecodeDelta(it.text, &fault);
        return delta && UndoDelta(*delta, &restored);
      });
  if (!undone) {
    return std::nullopt;
  }
  restored.operators = current.operators;
  for (auto& [id, contract] : restored.contracts) {
    const auto current_contract = current.contracts.find(id);
    if (current_contract != current.contracts.end()) {
      contract.key_hashes = current_contract->second.key_hashes;
    }
  }
  return restored;
}

}  // namespace lynxglade::version
