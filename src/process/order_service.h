// Authority over the engines of this instance's zone, and their changes.
//
// One lease per zone and shard in the key-value service; its holder alone
// gives orders to the shard's engines. Every instance runs an OrderService
// and competes for every shard of its zone. Without the key-value service no
// order is given and the engines stay as they are.
//
// The work runs on a CAF actor a shard; calls to the key-value service and to
// engines run on a few threads of the service's own.
#ifndef LYNXGLADE_PROCESS_ORDER_SERVICE_H_
#define LYNXGLADE_PROCESS_ORDER_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/snapshot.h"
#include "base/time.h"
#include "connection/api_call.h"
#include "connection/engine_admin.h"
#include "connection/key_value.h"
#include "process/control_system.h"
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
  // Threads for blocking calls.
  int io_threads = 3;
};

// Where the service learns of the world. All are called on actor threads and
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
  // Tells the views what an engine is (ViewKind::kTarget). The body is
  // {"state":"serving|draining|changing|ejected","role","model","version",
  // "draining","phase","generation"}; the version is (fencing token,
  // engine seq).
  std::function<void(ViewItem)> publish;
};

// Thread-safe. The constructor starts the work; Stop() or the destructor ends
// it.
class OrderService {
 public:
  // `control`, `key_value` and `metrics` must outlive this object.
  OrderService(ControlSystem& control,
               const connection::KeyValue& key_value,
               connection::EngineAdmin engine_admin,
               base::Clock clock,
               base::RandomSource random,
               base::InstanceId instance,
               base::ZoneId zone,
               OrderSettings settings,
               OrderHooks hooks,
               base::Metrics& metrics);
  ~OrderService();
  OrderService(const OrderService&) = delete;
  OrderService& operator=(const OrderService&) = delete;

  // Lets the order that is being sent come to its end, gives the leases back
  // and ends the threads. Blocks for at most a few calls' time-outs. A second
  // call does nothing.
  void Stop();

  // Serves GET /v1/admin/fleet, POST /v1/admin/targets/<id>/drain and
  // POST /v1/admin/targets/<id>/undrain; 404 on any other path. The caller
  // has checked the operator's role. Blocks on the key-value service.
  connection::ApiAnswer Handle(const connection::ApiCall& call);

  // The answer of GET /v1/admin/fleet: for every engine of this zone what is
  // intended, ordered and observed, who holds authority and until when, and
  // why nothing moves.
  std::string FleetStatusJson() const;

 private:
  struct Details;
  std::unique_ptr<Details> details_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ORDER_SERVICE_H_
