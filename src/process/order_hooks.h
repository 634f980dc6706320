// Settings of the order service, and what it learns of the world.
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

// One engine as the instance list and the views have it.
struct EngineRow {
  base::TargetId id;
  base::ServiceName service;
  base::ZoneId zone;
  connection::EngineEndpoint endpoint;
  // Whether the engine refuses orders that carry an old fencing token.
  bool fenced = false;
  // Takes new work now; counts towards the capacity floor of its service.
  bool serving = true;
  // Listed as leaving: it gets no more orders but a drain.
  bool leaving = false;
  // False for a plain service's target: it is given no orders, but an
  // operator's drain is told to the views.
  bool engine = true;
};

struct OrderSettings {
  base::Duration lease_ttl = std::chrono::seconds(30);
  // Longest time an engine keeps a connection on which no whole order has
  // come: its idle time-out plus its read time-out.
  base::Duration engine_connection_bound = std::chrono::seconds(10);
  // Slack for clock rates and scheduling on top of each bound.
  base::Duration guard = std::chrono::seconds(1);
  // How often an engine that needs nothing is read back.
  base::Duration read_back_interval = std::chrono::seconds(5);
  // How often an engine in the middle of a change is read back, and the pace
  // of the actor.
  base::Duration tick = std::chrono::milliseconds(250);
  // A drain or a change that lasts longer is shown as overdue; it is never
  // cut short.
  base::Duration overdue_after = std::chrono::minutes(2);
  // Copies of one order that an engine is sent before it is isolated.
  int max_attempts = 3;
  // Engines of one service that may be out for changes at once, over all
  // zones.
  int max_unavailable = 1;
  // Leases (and actors) a zone; must be the same on all instances.
  int shards = 1;
  // Threads for calls to engines; two more call the key-value service.
  int engine_threads = 4;
};

// Where the service learns of the world. All may be called on any thread and
// must not block.
struct OrderHooks {
  // Every engine in view, of all zones.
  std::function<std::vector<EngineRow>()> engines;
  std::function<std::shared_ptr<const version::Configuration>()> configuration;
  // Roles that the planner wants; engines not named keep theirs.
  std::function<std::map<base::TargetId, request::EngineRole>()> role_wishes;
  // Loads a minute that the weight store takes from the whole fleet; 0 when
  // not known: no load is ordered.
  std::function<int()> weight_loads_per_minute;
  // Tells the views what a target is (ViewKind::kTarget). The body is
  // {"state":"serving|draining|changing|leaving|ejected", ...} with the members
  // of an engine in FleetStatusJson(); the version is (fencing token, count).
  std::function<void(ViewItem)> publish;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ORDER_HOOKS_H_
