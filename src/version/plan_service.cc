#include "version/plan_service.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/log.h"
#include "version/config_watcher.h"
#include "version/details/json_reader.h"

namespace lynxglade::version {
namespace {

using connection::KvEntry;
using connection::KvError;
using connection::KvRange;
using nlohmann::json;

constexpr std::string_view kPlanPrefix = "/lynxglade/plans/";
constexpr base::Revision kOne{1};
// Read and compare-and-swap rounds before the outcome is reported unknown.
constexpr int kCommitAttempts = 4;
constexpr int kRefreshAttempts = 2;
constexpr int kSaveAttempts = 4;
constexpr std::size_t kMaxAuditChanges = 50;
constexpr std::int64_t kMaxChangesSince = 20;

std::string PlanKey(const base::PlanId& id) {
  return std::string(kPlanPrefix) + id.str();
}

std::nullopt_t Reject(PlanFault* fault, PlanError error, std::string message) {
  *fault = {error, "", std::move(message)};
  return std::nullopt;
}

std::string PlanIdOfAudit(const std::string& audit) {
  const json value = json::parse(audit, nullptr, false);
  return value.is_object() ? value.value("plan", std::string()) : std::string();
}

ConfirmResult ConflictResult(std::vector<std::string> since) {
  return {ConfirmOutcome::kConflict, base::Revision(0),
          "another change was committed since the plan was made; make a new "
          "plan",
          std::move(since)};
}

ConfirmResult ServiceBehindResult() {
  return {
      ConfirmOutcome::kServiceBehind,
      base::Revision(0),
      "the key-value service holds an older or different configuration than "
      "this instance; see config restore",
      {}};
}

}  // namespace

PlanFault UnknownPlanFault(const base::PlanId& id) {
  return {PlanError::kUnknownPlan, "",
          "no plan " + id.str() + "; it may have expired"};
}

std::string_view ToString(ConfirmOutcome outcome) noexcept {
  switch (outcome) {
    case ConfirmOutcome::kInForce:
      return "in_force";
    case ConfirmOutcome::kAlreadyInForce:
      return "already_in_force";
    case ConfirmOutcome::kConflict:
      return "conflict";
    case ConfirmOutcome::kUnknownPlan:
      return "unknown_plan";
    case ConfirmOutcome::kNotPermitted:
      return "not_permitted";
    case ConfirmOutcome::kUnavailable:
      return "unavailable";
    case ConfirmOutcome::kUnknown:
      return "outcome_unknown";
    case ConfirmOutcome::kServiceBehind:
      break;
  }
  return "service_behind";
}

PlanService::PlanService(const connection::KeyValue& service,
                         const ConfigStore& store,
                         ConfigTracker& tracker,
                         PlanServiceHooks hooks)
    : service_(service),
      store_(store),
      tracker_(tracker),
      hooks_(std::move(hooks)) {}

bool PlanService::Refresh(PlanFault* fault) const {
  StoreError ec = StoreError::kNone;
  bool read = RefreshConfig(store_, &tracker_, &ec);
  // Retry when a change was committed during the read.
  for (int i = 0; i < kRefreshAttempts && (!read || tracker_.behind()); ++i) {
    read = RefreshConfig(store_, &tracker_, &ec);
  }
  if (!read) {
    *fault = {PlanError::kUnavailable, "",
              "the key-value service: " + std::string(ToString(ec))};
    return false;
  }
  if (!tracker_.ready() || tracker_.behind() || tracker_.service_is_behind() ||
      tracker_.forked()) {
    *fault = {PlanError::kNotReady, "",
              "this instance or the key-value service does not hold the newest "
              "known configuration"};
    return false;
  }
  return true;
}

std::optional<Configuration> PlanService::DesiredConfiguration(
    const ChangeRequest& request,
    PlanFault* fault) const {
  if (request.rollback_to) {
    return ConfigurationAt(*request.rollback_to, fault);
  }
  Configuration desired = *tracker_.Get();
  CodecFault violation;
  if (!ApplyChangeRequest(request, &desired, &violation)) {
    *fault = {PlanError::kInvalidRequest, violation.where, violation.message};
    return std::nullopt;
  }
  return desired;
}

std::optional<Plan> PlanService::Create(const ChangeRequest& request,
                                        const Caller& caller,
                                        PlanFault* fault) {
  if (!Refresh(fault)) {
    return std::nullopt;
  }
  const ConfigSnapshot current = tracker_.GetSnapshot();
  const std::optional<Configuration> desired =
      DesiredConfiguration(request, fault);
  if (!desired) {
    return std::nullopt;
  }
  std::optional<Plan> plan =
      MakePlan(current, *desired, request, caller.id, hooks_.fleet(), fault);
  if (!plan) {
    return std::nullopt;
  }
  std::string reason;
  if (!MayChange(caller, plan->delta, &reason)) {
    return Reject(fault, PlanError::kNotPermitted, reason);
  }
  if (!Save(*plan, fault)) {
    return std::nullopt;
  }
  return plan;
}

bool PlanService::Save(const Plan& plan, PlanFault* fault) const {
  // Both steps are safe to retry: a lease whose response was lost expires
  // unused, and the key is the digest of the value.
  KvError ec = KvError::kNone;
  std::optional<connection::KvLeaseId> lease;
  for (int i = 0; i < kSaveAttempts; ++i) {
    if (!lease) {
      lease = service_.GrantLease(hooks_.plan_ttl, &ec);
    }
    if (lease &&
        service_.Commit({{PlanKey(plan.id), base::Revision(0)}},
                        {{PlanKey(plan.id), plan.text, *lease}}, &ec)) {
      return true;
    }
    if (ec != KvError::kAmbiguous) {
      break;
    }
  }
  Reject(fault, PlanError::kUnavailable,
         "the key-value service: " + std::string(connection::ToString(ec)));
  return false;
}

std::optional<Plan> PlanService::Find(const base::PlanId& id,
                                      PlanFault* fault) const {
  KvError ec = KvError::kNone;
  const std::optional<KvRange> range = service_.Get(PlanKey(id), &ec);
  if (!range) {
    return Reject(
        fault, PlanError::kUnavailable,
        "the key-value service: " + std::string(connection::ToString(ec)));
  }
  std::optional<Plan> plan;
  if (!range->entries.empty()) {
    plan = DecodePlan(range->entries.front().value);
  }
  // The digest of an altered value does not match its key.
  if (!plan || plan->id != id) {
    *fault = UnknownPlanFault(id);
    return std::nullopt;
  }
  return plan;
}

std::optional<std::vector<Plan>> PlanService::List(PlanFault* fault) const {
  KvError ec = KvError::kNone;
  const std::optional<KvRange> range =
      service_.List(std::string(kPlanPrefix), kMaxListedPlans, &ec);
  if (!range) {
    return Reject(
        fault, PlanError::kUnavailable,
        "the key-value service: " + std::string(connection::ToString(ec)));
  }
  std::vector<Plan> plans;
  for (const KvEntry& it : range->entries) {
    if (std::optional<Plan> plan = DecodePlan(it.value)) {
      plans.push_back(std::move(*plan));
    }
  }
  return plans;
}

std::string PlanService::MakeAuditRecord(const Plan& plan,
                                         const Caller& caller) const {
  json changes = json::array();
  json contracts = json::array();
  for (const PlanChange& it : plan.changes) {
    if (changes.size() < kMaxAuditChanges) {
      changes.push_back(
          {{"kind", it.kind}, {"subject", it.subject}, {"reason", it.reason}});
    }
  }
  for (const auto& [id, edit] : plan.delta.contracts) {
    contracts.push_back(id.str());
  }
  const bool fleet =
      !plan.delta.services.empty() || !plan.delta.operators.empty();
  json audit = {{"revision", plan.delta.revision.value()},
                {"plan", plan.id.str()},
                {"confirmed_by", caller.id.str()},
                {"stated_by", plan.requested_by.str()},
                {"note", plan.note},
                {"at_ms", hooks_.wall_millis()},
                {"changes", std::move(changes)},
                {"changes_total", plan.changes.size()},
                {"contracts", std::move(contracts)},
                {"fleet", fleet}};
  if (plan.rollback_to) {
    audit["rollback_to"] = plan.rollback_to->value();
  }
  return details::Canonical(audit);
}

ConfirmResult PlanService::Confirm(const base::PlanId& id,
                                   const Caller& caller) {
  PlanFault fault;
  const std::optional<Plan> plan = Find(id, &fault);
  if (!plan) {
    const bool unknown = fault.error == PlanError::kUnknownPlan;
    return {
        unknown ? ConfirmOutcome::kUnknownPlan : ConfirmOutcome::kUnavailable,
        base::Revision(0),
        fault.message,
        {}};
  }
  std::string reason;
  if (!MayChange(caller, plan->delta, &reason)) {
    return {ConfirmOutcome::kNotPermitted, base::Revision(0), reason, {}};
  }
  return CommitPlan(*plan, caller);
}

std::optional<ConfirmResult> PlanService::CheckDecided(
    const Plan& plan,
    const StoredHead& stored,
    base::Revision known_before_read,
    StoreError* last_error) const {
  *last_error = StoreError::kNone;
  const base::Revision head = stored.head.revision;
  if (head < plan.base ||
      (head == plan.base && stored.head.digest != plan.base_digest)) {
    return ServiceBehindResult();
  }
  if (head < known_before_read) {
    return ServiceBehindResult();
  }
  if (head == plan.base) {
    return std::nullopt;
  }
  // The audit record of a revision names the plan that created it.
  const auto audit = store_.ReadAudit(plan.base + kOne, last_error);
  if (!audit) {
    return std::nullopt;
  }
  if (PlanIdOfAudit(*audit) == plan.id.str()) {
    return ConfirmResult{ConfirmOutcome::kAlreadyInForce,
                         plan.base + kOne,
                         "the plan is in force",
                         {}};
  }
  const base::Revision from(
      std::max(plan.base.value(), head.value() - kMaxChangesSince));
  auto since = store_.ReadAudits(from, head, last_error);
  *last_error = StoreError::kNone;
  return ConflictResult(since ? std::move(*since) : std::vector<std::string>());
}

ConfirmResult PlanService::CommitPlan(const Plan& plan, const Caller& caller) {
  const ChainedDelta delta = MakeChainedDelta(plan.delta, plan.base_digest);
  const std::string audit = MakeAuditRecord(plan, caller);
  StoreError ec = StoreError::kNone;
  // Whether a write may have taken effect; a later failure must then be
  // reported as unknown rather than unavailable.
  bool maybe_committed = false;
  for (int attempt = 0; attempt < kCommitAttempts; ++attempt) {
    // Taken before the read: a revision learned during the read may be newer
    // than the head it returns.
    const base::Revision known = tracker_.newest_known();
    const std::optional<StoredHead> stored = store_.ReadHead(&ec);
    if (!stored) {
      break;
    }
    std::optional<ConfirmResult> decided =
        CheckDecided(plan, *stored, known, &ec);
    if (decided) {
      // An earlier attempt of this call committed the plan but its response was
      // lost.
      if (decided->outcome == ConfirmOutcome::kAlreadyInForce &&
          maybe_committed) {
        return OnCommitted(plan);
      }
      return std::move(*decided);
    }
    if (ec != StoreError::kNone) {
      break;
    }
    if (store_.IsSnapshotRequired(stored->head)) {
      WriteSnapshotIfDue();
      ec = StoreError::kUnavailable;
      continue;
    }
    // A retry after a lost response compares against the same head revision, so
    // at most one attempt takes effect.
    if (store_.CommitDelta(*stored, plan.delta.revision, delta, audit, &ec)) {
      return OnCommitted(plan);
    }
    maybe_committed = maybe_committed || ec == StoreError::kAmbiguous;
    if (ec != StoreError::kAmbiguous && ec != StoreError::kConflict) {
      break;
    }
  }
  return {
      maybe_committed ? ConfirmOutcome::kUnknown : ConfirmOutcome::kUnavailable,
      base::Revision(0),
      maybe_committed
          ? "the response of the key-value service was lost; confirm "
            "again, the plan cannot take effect twice"
          : "the plan was not committed; the key-value service: " +
                std::string(ToString(ec)),
      {}};
}

ConfirmResult PlanService::OnCommitted(const Plan& plan) {
  const ChainedDelta delta = MakeChainedDelta(plan.delta, plan.base_digest);
  const OfferResult result = tracker_.OfferDelta(delta, ConfigSource::kLocal);
  base::Log(base::LogLevel::kInfo, "plan_in_force",
            {{"plan", plan.id.str()},
             {"revision", plan.delta.revision.value()},
             {"here", ToString(result)}});
  WriteSnapshotIfDue();
  return {ConfirmOutcome::kInForce,
          plan.delta.revision,
          "the plan is in force",
          {}};
}

void PlanService::WriteSnapshotIfDue() const {
  StoreError ec = StoreError::kNone;
  const std::optional<StoredHead> stored = store_.ReadHead(&ec);
  if (!stored || !store_.IsSnapshotDue(stored->head)) {
    return;
  }
  PlanFault fault;
  const bool refreshed = Refresh(&fault);
  const ConfigSnapshot current = tracker_.GetSnapshot();
  if (!refreshed || !store_.WriteSnapshot(current, &ec)) {
    // Retried after the next change.
    base::Log(base::LogLevel::kWarning, "config_snapshot_failed",
              {{"reason", ToString(ec)}});
    return;
  }
  if (hooks_.on_snapshot) {
    hooks_.on_snapshot(current);
  }
}

std::optional<Configuration> PlanService::ConfigurationAt(
    base::Revision revision,
    PlanFault* fault) const {
  const std::shared_ptr<const Configuration> current = tracker_.Get();
  if (revision > current->revision) {
    return Reject(
        fault, PlanError::kNoSuchRevision,
        "the newest revision is " + std::to_string(current->revision.value()));
  }
  StoreError ec = StoreError::kNone;
  const auto deltas = store_.ReadDeltas(revision, current->revision, &ec);
  if (!deltas && ec != StoreError::kCorrupt) {
    return Reject(fault, PlanError::kUnavailable,
                  "the key-value service: " + std::string(ToString(ec)));
  }
  std::optional<Configuration> old;
  if (deltas) {
    old = RollBack(*current, *deltas);
  }
  if (!old) {
    return Reject(fault, PlanError::kNoSuchRevision,
                  "the changes since revision " +
                      std::to_string(revision.value()) +
                      " are no longer retained");
  }
  return old;
}

ConfirmResult PlanService::Restore(const Caller& caller) {
  const ConfigSnapshot current = tracker_.GetSnapshot();
  const bool newest = tracker_.newest_known() <= current.revision();
  if (!newest || current.revision().value() == 0) {
    return {ConfirmOutcome::kConflict,
            base::Revision(0),
            "this instance does not hold the newest configuration",
            {}};
  }
  const std::string audit =
      details::Canonical({{"revision", current.revision().value()},
                          {"plan", ""},
                          {"confirmed_by", caller.id.str()},
                          {"note", "put back into a service that had lost it"},
                          {"at_ms", hooks_.wall_millis()},
                          {"changes", json::array()},
                          {"contracts", json::array()},
                          {"fleet", true}});
  StoreError ec = StoreError::kNone;
  if (store_.Restore(current, audit, &ec)) {
    base::Log(base::LogLevel::kWarning, "config_restored",
              {{"revision", current.revision().value()},
               {"operator", caller.id.str()}});
    PlanFault fault;
    Refresh(&fault);
    return {ConfirmOutcome::kInForce,
            current.revision(),
            "the configuration was written back to the key-value service",
            {}};
  }
  if (ec == StoreError::kConflict) {
    return {ConfirmOutcome::kConflict,
            base::Revision(0),
            "the key-value service does not hold an older configuration",
            {}};
  }
  return {ec == StoreError::kAmbiguous ? ConfirmOutcome::kUnknown
                                       : ConfirmOutcome::kUnavailable,
          base::Revision(0),
          "the key-value service: " + std::string(ToString(ec)),
          {}};
}

}  // namespace lynxglade::version
