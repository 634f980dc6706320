#include "version/operator_access.h"

#include <algorithm>
#include <map>
#include <utility>

#include "version/digest.h"

namespace lynxglade::version {
namespace {

bool HasFleetOperator(const Configuration& configuration) {
  return std::ranges::any_of(configuration.operators, [](const auto& it) {
    return it.second.role == OperatorRole::kFleet &&
           !it.second.key_hashes.empty();
  });
}

// Compares every hash, so that the time does not reveal which one matches.
bool HasKey(const Operator& op, const std::string& digest) {
  return std::ranges::count_if(op.key_hashes, [&](const std::string& it) {
           return EqualInConstantTime(it, digest);
         }) > 0;
}

std::map<base::ServiceName, double> SharesOf(const Contract& contract) {
  std::map<base::ServiceName, double> shares;
  for (const Intent& it : contract.intents) {
    shares[it.service] += it.share;
  }
  return shares;
}

bool RaisesShare(const Contract& before, const Contract& after) {
  const auto old_shares = SharesOf(before);
  return std::ranges::any_of(SharesOf(after), [&](const auto& it) {
    const auto old = old_shares.find(it.first);
    const double old_share = old == old_shares.end() ? 0 : old->second;
    return it.second > old_share + kShareTolerance;
  });
}

int MostUrgentPriority(const Contract& contract,
                       const base::ServiceName& service) {
  int most_urgent = kMaxPriority;
  for (const Intent& it : contract.intents) {
    if (it.service == service) {
      most_urgent = std::min(most_urgent, it.priority);
    }
  }
  return most_urgent;
}

bool RaisesPriority(const Contract& before, const Contract& after) {
  return std::ranges::any_of(after.intents, [&](const Intent& it) {
    return it.priority < MostUrgentPriority(before, it.service);
  });
}

bool MayEditContract(const Caller& caller,
                     const base::ContractId& id,
                     const Edit<Contract>& edit,
                     std::string* reason) {
  if (!caller.MaySee(id)) {
    *reason = "contract " + id.str() + " is not assigned to this operator";
    return false;
  }
  if (!edit.before || !edit.after) {
    *reason = "only a fleet operator may add or remove a contract";
    return false;
  }
  if (RaisesShare(*edit.before, *edit.after)) {
    *reason =
        "only a fleet operator may raise the share of contract " + id.str();
    return false;
  }
  if (RaisesPriority(*edit.before, *edit.after)) {
    *reason =
        "only a fleet operator may raise the priority of contract " + id.str();
    return false;
  }
  return true;
}

}  // namespace

bool Caller::MaySee(const base::ContractId& contract) const {
  return role != OperatorRole::kContract ||
         std::ranges::find(contracts, contract) != contracts.end();
}

OperatorAccess::OperatorAccess(CurrentConfiguration current,
                               const std::string& bootstrap_key)
    : current_(std::move(current)),
      bootstrap_digest_(bootstrap_key.empty() ? "" : Sha256Hex(bootstrap_key)) {
}

std::optional<Caller> OperatorAccess::Authenticate(
    const std::string& key) const {
  if (key.empty()) {
    return std::nullopt;
  }
  const std::string digest = Sha256Hex(key);
  const std::shared_ptr<const Configuration> configuration = current_();
  std::optional<Caller> found;
  for (const auto& [id, op] : configuration->operators) {
    if (HasKey(op, digest)) {
      found = Caller{id, op.role, op.contracts};
    }
  }
  const bool bootstrap = EqualInConstantTime(bootstrap_digest_, digest);
  if (!found && bootstrap && !HasFleetOperator(*configuration)) {
    found = Caller{base::OperatorId(std::string(kBootstrapOperator)),
                   OperatorRole::kFleet,
                   {}};
  }
  return found;
}

bool MayChange(const Caller& caller,
               const ConfigDelta& delta,
               std::string* reason) {
  if (caller.is_fleet()) {
    return true;
  }
  if (caller.role == OperatorRole::kReadOnly) {
    *reason = "this operator is read-only";
    return false;
  }
  if (!delta.services.empty() || !delta.operators.empty()) {
    *reason = "only a fleet operator may change services and operators";
    return false;
  }
  return std::ranges::all_of(delta.contracts, [&](const auto& it) {
    return MayEditContract(caller, it.first, it.second, reason);
  });
}

bool RemovesLastFleetOperator(const Configuration& before,
                              const Configuration& after) {
  return HasFleetOperator(before) && !HasFleetOperator(after);
}

}  // namespace lynxglade::version
