// What each engine of a shard is to be, from the configuration, the planner's
// wishes and the operators' drains. Pure functions.
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

// One engine as far as it is known.
struct EngineContent {
  base::TargetId id;
  base::ServiceName service;
  bool leaving = false;
  // What it is, or is being changed to.
  connection::EngineTargetState current;
};

struct DesiredInputs {
  const version::Configuration* configuration = nullptr;
  const std::map<base::TargetId, request::EngineRole>* role_wishes = nullptr;
  const std::set<base::TargetId>* drains = nullptr;
};

// Desired states of a shard's engines. Each service's engines are shared out
// to its models in proportion to the contracts' shares, every model getting at
// least one while there are enough; engines that already run a wanted model
// keep it, so nothing moves without need. Engines of a service for which no
// model is intended keep what they run; roles and drains still apply. The
// result depends only on the inputs, so a successor comes to the same.
std::map<base::TargetId, connection::EngineTargetState> DesiredStates(
    const std::vector<EngineContent>& engines,
    const DesiredInputs& inputs);

// Engines of a service that must stay in service: the contracts' shares of
// `fleet_size`, rounded up, but never so many that `max_unavailable` could not
// be out.
int CapacityFloor(const version::Configuration& configuration,
                  const base::ServiceName& service,
                  int fleet_size,
                  int max_unavailable);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_DESIRED_STATE_H_
