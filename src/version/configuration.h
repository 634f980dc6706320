// The operators' configuration: what serves whom, and on which terms.
//
// One value, immutable once accepted, named by its revision. Held by every
// instance and read by every request through a base::Snapshot.
#ifndef LYNXGLADE_VERSION_CONFIGURATION_H_
#define LYNXGLADE_VERSION_CONFIGURATION_H_

#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

namespace lynxglade::version {

// A service whose targets run models or plain code.
struct ServiceSpec {
  base::ServiceName name;
  // True for model engines, false for plain services.
  bool engines = true;
  // Price of taking an engine out for a role change, in units of worth a
  // change; greater means fewer changes.
  double role_change_price = 1.0;
  // Whether the planner may change roles by itself.
  bool planner_enabled = false;

  bool operator==(const ServiceSpec&) const = default;
};

// One standing intent of a contract on one service.
struct Intent {
  base::ServiceName service;
  base::ModelName model;  // empty for plain services
  base::ModelVersion version;
  std::vector<std::string> adapters;
  // Share of the service's fleet, 0 < share <= 1. The shares of all contracts
  // on a service sum to at most 1.
  double share = 0;
  int priority = 5;

  bool operator==(const Intent&) const = default;
};

struct Contract {
  base::ContractId id;
  std::string display_name;
  std::vector<Intent> intents;
  base::Duration default_deadline = std::chrono::seconds(60);
  // Lower-case hexadecimal SHA-256 of each caller key; empty: no key needed.
  std::vector<std::string> key_hashes;

  bool operator==(const Contract&) const = default;
};

enum class OperatorRole { kReadOnly, kContract, kFleet };

struct Operator {
  base::OperatorId id;
  OperatorRole role = OperatorRole::kReadOnly;
  // kContract operators: the contracts they may change.
  std::vector<base::ContractId> contracts;
  // SHA-256 of the operator's key.
  std::vector<std::string> key_hashes;

  bool operator==(const Operator&) const = default;
};

struct Configuration {
  // Revision of the accepted head; 0: nothing accepted yet.
  base::Revision revision{0};
  std::map<base::ServiceName, ServiceSpec> services;
  std::map<base::ContractId, Contract> contracts;
  std::map<base::OperatorId, Operator> operators;

  bool operator==(const Configuration&) const = default;
};

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_CONFIGURATION_H_
