// Control of the zone's engines: the order service with its authority over
// them, the role planner, and the data that both need.
#ifndef LYNXGLADE_MAIN_FLEET_CONTROL_H_
#define LYNXGLADE_MAIN_FLEET_CONTROL_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/random.h"
#include "connection/api_call.h"
#include "connection/key_value.h"
#include "connection/weight_store.h"
#include "process/control_system.h"
#include "process/order_service.h"
#include "process/periodic_task.h"
#include "process/role_planning.h"
#include "process/settings.h"
#include "process/target_registry.h"
#include "process/view_item.h"
#include "version/configuration.h"

namespace lynxglade {

// All hooks must be thread-safe and must not block.
struct FleetControlHooks {
  std::function<std::shared_ptr<const version::Configuration>()> configuration;
  // Demand of this instance's callers per service since its start.
  std::function<std::map<base::ServiceName, process::OfferedTotals>()> offered;
  std::function<std::size_t()> entry_instances;
  std::function<void(process::ViewItem)> publish;
};

// Thread-safe.
class FleetControl {
 public:
  // Starts the periodic tasks. All references must outlive this object.
  FleetControl(const process::Settings& settings,
               process::ControlSystem& control,
               const connection::KeyValue& key_value,
               const process::TargetRegistry& registry,
               FleetControlHooks hooks,
               base::RandomSource random,
               base::Metrics& metrics);
  FleetControl(const FleetControl&) = delete;
  FleetControl& operator=(const FleetControl&) = delete;

  // Releases the leases. Blocks for a few call timeouts at most.
  void Stop();

  // Handles a fact of kind kTarget from a peer.
  void OnTargetFact(const process::ViewItem& item);

  // GET /v1/admin/fleet, POST /v1/admin/targets/<id>/drain|undrain.
  connection::ApiAnswer HandleFleet(const connection::ApiCall& call);
  // GET /v1/admin/planner.
  connection::ApiAnswer HandlePlanner(const connection::ApiCall& call) const;

 private:
  process::RolePlanningHooks MakePlanningHooks();
  process::OrderHooks MakeOrderHooks();
  std::vector<process::EngineRow> EngineRows() const;
  void ReadWeightLimits();

  const FleetControlHooks hooks_;
  const process::TargetRegistry& registry_;
  base::Metrics& metrics_;
  connection::WeightStore weight_store_;
  std::atomic<int> loads_per_minute_{0};
  process::RolePlanning planning_;
  process::OrderService orders_;
  process::PeriodicTask planning_task_;
  process::PeriodicTask weight_task_;
};

}  // namespace lynxglade

#endif  // LYNXGLADE_MAIN_FLEET_CONTROL_H_
