// An operator's request to change the configuration, as JSON.
//
//   {"note": "...", "changes": [
//     {"upsert_contract": {contract}},   {"remove_contract": "id"},
//     {"upsert_intent": {"contract": "id", intent...}},
//     {"remove_intent": {"contract", "service", "model"}},
//     {"upsert_service": {service}},     {"remove_service": "name"},
//     {"set_planner": {"service", "role_change_price"?, "planner_enabled"?}},
//     {"upsert_operator": {operator}},   {"remove_operator": "id"}]}
// or {"rollback_to": revision}.
#ifndef LYNXGLADE_VERSION_CHANGE_REQUEST_H_
#define LYNXGLADE_VERSION_CHANGE_REQUEST_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "version/configuration.h"
#include "version/configuration_codec.h"

namespace lynxglade::version {

inline constexpr std::size_t kMaxChangeRequestBytes = 1u << 20;
inline constexpr std::size_t kMaxRequestedChanges = 2'000;
inline constexpr std::size_t kMaxNoteBytes = 1'000;

struct UpsertContract {
  Contract contract;
};
struct RemoveContract {
  base::ContractId contract;
};
// Adds the intent, or replaces the contract's intent for the same service and
// model.
struct UpsertIntent {
  base::ContractId contract;
  Intent intent;
};
struct RemoveIntent {
  base::ContractId contract;
  base::ServiceName service;
  base::ModelName model;
};
struct UpsertService {
  ServiceSpec service;
};
struct RemoveService {
  base::ServiceName service;
};
struct SetPlanner {
  base::ServiceName service;
  std::optional<double> role_change_price;
  std::optional<bool> planner_enabled;
};
struct UpsertOperator {
  Operator op;
};
struct RemoveOperator {
  base::OperatorId op;
};

using RequestedChange = std::variant<UpsertContract,
                                     RemoveContract,
                                     UpsertIntent,
                                     RemoveIntent,
                                     UpsertService,
                                     RemoveService,
                                     SetPlanner,
                                     UpsertOperator,
                                     RemoveOperator>;

struct ChangeRequest {
  std::vector<RequestedChange> changes;
  std::string note;
  // Set instead of `changes`: revision to roll back to.
  std::optional<base::Revision> rollback_to;
};

std::optional<ChangeRequest> ParseChangeRequest(std::string_view text,
                                                CodecFault* fault);

// Applies the changes in order. On failure returns false with the location of
// the failed change, and the configuration is left partially changed.
bool ApplyChangeRequest(const ChangeRequest& request,
                        Configuration* configuration,
                        CodecFault* fault);

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_CHANGE_REQUEST_H_
