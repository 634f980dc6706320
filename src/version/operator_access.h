// Authentication and authorisation of operators on the administration API.
//
// Operators are part of the configuration and are identified by the SHA-256 of
// their keys. While no fleet operator has a key, the bootstrap key from the
// settings acts as a fleet operator's, so that the first configuration can be
// made. Keys are compared in constant time and never logged or returned.
#ifndef LYNXGLADE_VERSION_OPERATOR_ACCESS_H_
#define LYNXGLADE_VERSION_OPERATOR_ACCESS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "version/config_delta.h"
#include "version/configuration.h"

namespace lynxglade::version {

// An authenticated operator.
struct Caller {
  base::OperatorId id;
  OperatorRole role = OperatorRole::kReadOnly;
  // Contracts of a kContract operator.
  std::vector<base::ContractId> contracts;

  // kContract operators see only their own contracts, others see all.
  bool MaySee(const base::ContractId& contract) const;
  bool is_fleet() const noexcept { return role == OperatorRole::kFleet; }
};

// Operator id of the bootstrap key.
inline constexpr std::string_view kBootstrapOperator = "bootstrap";

// Thread-safe.
class OperatorAccess {
 public:
  using CurrentConfiguration =
      std::function<std::shared_ptr<const Configuration>()>;

  // `bootstrap_key` is empty for none; only its digest is kept.
  OperatorAccess(CurrentConfiguration current,
                 const std::string& bootstrap_key);

  // Returns nullopt when no operator has the key.
  std::optional<Caller> Authenticate(const std::string& key) const;

 private:
  const CurrentConfiguration current_;
  const std::string bootstrap_digest_;
};

// Whether the caller may make this change; if not, `reason` says why.
// Fleet operators may make any change. A contract operator may change its own
// contracts, but neither add or remove a contract nor raise a share or
// priority, which would be at the expense of other contracts.
bool MayChange(const Caller& caller,
               const ConfigDelta& delta,
               std::string* reason);

// Whether a change removes the last fleet operator that has a key.
bool RemovesLastFleetOperator(const Configuration& before,
                              const Configuration& after);

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_OPERATOR_ACCESS_H_
