// Derives the desired state of each engine of a shard from the configuration,
// the planner's requested roles and the operators' drains. Pure functions.
#ifndef LYNXGLADE_PROCESS_DESIRED_STATE_H_
#define LYNXGLADE_PROCESS_DESIRED_STATE_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "connection/engine_admin.h"
#include "request/target.h"
#include "version/configuration.h"

namespace lynxglade::process {

// Input about one engine.
struct EngineContent {
  base::TargetId id;
  base::ServiceName service;
  bool leaving = false;
  // State that the engine is in or is changing to.
  connection::EngineTargetState current;
};

struct DesiredInputs {
  const version::Configuration* configuration = nullptr;
  const std::map<base::TargetId, request::EngineRole>* requested_roles =
      nullptr;
  const std::set<base::TargetId>* drains = nullptr;
};

// Desired states of a shard's engines. The engines of a service are assigned to
// its models in proportion to the contracts' shares; each model gets at least
// one engine if there are enough. Engines that already run a requested model
// keep it, to avoid needless changes. Engines of a service without requested
// models keep what they run; roles and drains still apply. The result depends
// only on the inputs, so the next holder computes the same.
std::map<base::TargetId, connection::EngineTargetState> DesiredStates(
    const std::vector<EngineContent>& engines,
    const DesiredInputs& inputs);

// Number of engines of a service that must stay in service: the contracts'
// shares of `fleet_size`, rounded up, but at most `fleet_size` -
// `max_unavailable`.
int CapacityFloor(const version::Configuration& configuration,
                  const base::ServiceName& service,
                  int fleet_size,
                  int max_unavailable);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_DESIRED_STATE_H_
