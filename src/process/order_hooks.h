// Settings of the order service, and the callbacks by which it gets its inputs.
#ifndef LYNXGLADE_PROCESS_ORDER_HOOKS_H_
#define LYNXGLADE_PROCESS_ORDER_HOOKS_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "connection/engine_admin.h"
#include "process/view_item.h"
#include "request/target.h"
#include "version/configuration.h"

namespace lynxglade::process {

// One target as listed by the instance list and the views.
struct EngineRow {
  base::TargetId id;
  base::ServiceName service;
  base::ZoneId zone;
  connection::EngineEndpoint endpoint;
  // Whether the engine rejects orders with an old fencing token.
  bool fenced = false;
  // Accepts new work now; counts towards the capacity floor of its service.
  bool serving = true;
  // Listed as leaving: it gets no orders other than a drain.
  bool leaving = false;
  // False for a target of a plain service: it gets no orders, but an operator's
  // drain of it is published to the views.
  bool engine = true;
};

struct OrderSettings {
  base::Duration lease_ttl = std::chrono::seconds(30);
  // Longest time that an engine keeps a connection open on which no complete
  // order has arrived: its idle timeout plus its read timeout.
  base::Duration engine_connection_bound = std::chrono::seconds(10);
  // Margin added to each time bound for clock drift and scheduling delays.
  base::Duration guard = std::chrono::seconds(1);
  // Read-back interval while there is nothing to do for an engine.
  base::Duration read_back_interval = std::chrono::seconds(5);
  // Interval of OrderCoordinator::Tick(). Other intervals, such as the
  // read-back during a change, are multiples of it.
  base::Duration tick = std::chrono::milliseconds(250);
  // A drain or change that takes longer is reported as overdue; it is not
  // aborted.
  base::Duration overdue_after = std::chrono::minutes(2);
  // Attempts of one order, and failed changes before an engine is isolated.
  int max_attempts = 3;
  // Number of engines of one service that may be out of service for changes at
  // once, over all zones.
  int max_unavailable = 1;
  // Number of shards per zone, each with a lease and an actor; must be the same
  // on all instances.
  int shards = 1;
  // Threads for calls to engines, in addition to those for the key-value
  // service.
  int engine_threads = 4;
};

// Inputs and outputs of the order service. Called on any thread; must not
// block.
struct OrderHooks {
  // All known targets of all zones.
  std::function<std::vector<EngineRow>()> engines;
  std::function<std::shared_ptr<const version::Configuration>()> configuration;
  // Roles that the planner requests; engines not in the map keep theirs.
  std::function<std::map<base::TargetId, request::EngineRole>()>
      requested_roles;
  // Weight loads per minute that the weight store permits to the whole fleet; 0
  // if unknown, then no load is ordered.
  std::function<int()> weight_loads_per_minute;
  // Publishes the state of a target to the views (ViewKind::kTarget). The body
  // is {"state":"serving|draining|changing|leaving|ejected", ...} with the
  // members of an engine in FleetStatusJson(); the version is (fencing token,
  // count).
  std::function<void(ViewItem)> publish;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ORDER_HOOKS_H_
