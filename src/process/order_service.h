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

  // Takes what the holder of another shard or zone says of an engine, for
  // FleetStatusJson(). Subscribe it to ViewKind::kTarget.
  void OnTargetView(const ViewItem& item);

  // Lets the order that is being sent come to its end, gives the leases back
  // and ends the threads. Blocks for at most a few calls' time-outs. A second
  // call does nothing.
  void Stop();

  // Serves GET /v1/admin/fleet, POST /v1/admin/targets/<id>/drain and
  // POST /v1/admin/targets/<id>/undrain; 404 on any other path. The caller
  // has checked the operator's role. Blocks on the key-value service.
  connection::ApiAnswer Handle(const connection::ApiCall& call);

  // The answer of GET /v1/admin/fleet: for every engine what is intended,
  // ordered and observed, who holds authority and until when, and why nothing
  // moves. Engines of other holders are shown as the views have them.
  std::string FleetStatusJson() const;

 private:
  struct Details;
  std::unique_ptr<Details> details_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ORDER_SERVICE_H_
