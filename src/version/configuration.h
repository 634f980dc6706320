// The configuration set by operators: services, contracts with their intents,
// and operators.
//
// A configuration is immutable once accepted and is identified by its revision.
#ifndef LYNXGLADE_VERSION_CONFIGURATION_H_
#define LYNXGLADE_VERSION_CONFIGURATION_H_

#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

namespace lynxglade::version {

// A service whose targets are model engines or plain back ends.
struct ServiceSpec {
  base::ServiceName name;
  // True for model engines, false for plain services.
  bool engines = true;
  // Cost of taking an engine out of service for a role change, in units of the
  // planner's benefit per change. Higher values mean fewer role changes.
  double role_change_price = 1.0;
  // Whether the planner may change roles automatically.
  bool planner_enabled = false;

  bool operator==(const ServiceSpec&) const = default;
};

// A contract's intent for one service and, on engines, one model.
struct Intent {
  base::ServiceName service;
  base::ModelName model;  // empty for plain services
  base::ModelVersion version;
  std::vector<std::string> adapters;
  // Share of the service's targets, 0 < share <= 1. The shares of all contracts
  // on a service sum to at most 1.
  double share = 0;
  // 0 is the most urgent, kMaxPriority the least.
  int priority = 5;

  bool operator==(const Intent&) const = default;
};

struct Contract {
  base::ContractId id;
  std::string display_name;
  std::vector<Intent> intents;
  base::Duration default_deadline = std::chrono::seconds(60);
  // Lower-case hexadecimal SHA-256 of each caller key; empty if the contract
  // needs no key.
  std::vector<std::string> key_hashes;

  bool operator==(const Contract&) const = default;
};

enum class OperatorRole { kReadOnly, kContract, kFleet };

struct Operator {
  base::OperatorId id;
  OperatorRole role = OperatorRole::kReadOnly;
  // For kContract operators: the contracts they may change.
  std::vector<base::ContractId> contracts;
  // Lower-case hexadecimal SHA-256 of each of the operator's keys.
  std::vector<std::string> key_hashes;

  bool operator==(const Operator&) const = default;
};

struct Configuration {
  // Revision of the accepted head; 0 if nothing was accepted yet.
  base::Revision revision{0};
  std::map<base::ServiceName, ServiceSpec> services;
  std::map<base::ContractId, Contract> contracts;
  std::map<base::OperatorId, Operator> operators;

  bool operator==(const Configuration&) const = default;
};

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_CONFIGURATION_H_
