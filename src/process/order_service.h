// Sends the orders that bring the engines of this instance's zone to their
// desired states.
//
// There is one lease per zone and shard in the key-value service; only its
// holder sends orders to the engines of the shard. Every instance runs an
// OrderService and competes for every shard of its zone. Without the key-value
// service no orders are sent and the engines keep their state.
//
// Each shard runs on a CAF actor. Calls to the key-value service and to engines
// run on the service's own threads.
#ifndef LYNXGLADE_PROCESS_ORDER_SERVICE_H_
#define LYNXGLADE_PROCESS_ORDER_SERVICE_H_

#include <memory>
#include <string>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "connection/api_call.h"
#include "connection/engine_admin.h"
#include "connection/key_value.h"
#include "process/control_system.h"
#include "process/order_hooks.h"
#include "process/view_item.h"

namespace lynxglade::process {

// Thread-safe. The constructor starts the actors and threads; Stop() or the
// destructor ends them.
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

  // Stores the published status of an engine of another shard or zone, for
  // FleetStatusJson(). Subscribe it to ViewKind::kTarget.
  void OnTargetView(const ViewItem& item);

  // Waits for the calls in flight, releases the leases and ends the threads.
  // Blocks for at most a few call timeouts. Further calls do nothing.
  void Stop();

  // Serves GET /v1/admin/fleet, POST /v1/admin/targets/<id>/drain and POST
  // /v1/admin/targets/<id>/undrain; 404 on any other path. The caller must have
  // checked the operator's role. Blocks on the key-value service.
  connection::ApiAnswer Handle(const connection::ApiCall& call);

  // Response body of GET /v1/admin/fleet: for every engine the intended,
  // ordered and observed state and why it is waiting, and for every shard the
  // holder and when its lease expires. Engines of other holders are shown as
  // last published.
  std::string FleetStatusJson() const;

 private:
  struct Details;
  std::unique_ptr<Details> details_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ORDER_SERVICE_H_
