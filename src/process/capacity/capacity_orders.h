// Orders engines from the platform as the capacity plan says, as the holder of
// the duties.
//
// An order states a number, so it may be repeated. What was ordered last lies
// in the store; a new holder goes on from there. While it is not known, or the
// view of the engines is old, nothing is ordered and the fleet stays as it is.
#ifndef LYNXGLADE_PROCESS_CAPACITY_CAPACITY_ORDERS_H_
#define LYNXGLADE_PROCESS_CAPACITY_CAPACITY_ORDERS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/time.h"
#include "base/units.h"
#include "process/capacity/capacity_plan.h"
#include "process/capacity/capacity_record.h"
#include "process/duties/duty_call.h"
#include "process/duties/duty_holder.h"
#include "process/store/store_port.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/scaling_terms.h"

namespace lynxglade::process::capacity {

struct CapacityOrder {
  base::ServiceName service;
  base::ZoneId zone;
  EngineKind kind = EngineKind::kRegular;
  int count = 0;
};

// What the orders depend on.
struct CapacityOrdersHooks {
  // Services whose number of engines can be changed.
  std::function<
      std::map<base::ServiceName, request::passthrough::ScalingTerms>()>
      services;
  // Age of the view of the engines.
  std::function<base::Duration()> view_age;
  // Whether this instance has received no request for a while.
  std::function<bool()> idle;
  // The call to the platform, implemented by its adapter.
  std::function<connection::event::Awaitable<duties::CallResult>(
      const CapacityOrder& order,
      const duties::Credentials& credentials)>
      send;
};

struct CapacityOrdersOptions {
  std::string key = "lynxglade/capacity/orders";
  base::InstanceId instance;
  base::Duration period = std::chrono::milliseconds(500);
  // With an older view of the engines nothing is ordered.
  base::Duration max_view_age = std::chrono::seconds(5);
  // After the platform had no engines of a kind in a zone.
  base::Duration unavailable_time = std::chrono::seconds(2);
  // An order is repeated if its engines have not come this long after the time
  // that they take to boot.
  base::Duration repeat_margin = std::chrono::seconds(3);
  // Engines of a zone that boot, or leave, at a time. Every instance follows
  // each of them, so the number must not grow with the fleet.
  int max_changing = 60;
  // Regular engines that leave a zone at a time while requests are served: what
  // they have cached is lost.
  int max_leaving_under_load = 2;
  // Until the next engines of a zone leave.
  base::Duration leaving_period = std::chrono::seconds(3);
  CapacityPlanOptions plan;
};

// Not thread-safe: runs on the event loop.
class CapacityOrders {
 public:
  CapacityOrders(connection::event::asio::io_context& loop,
                 duties::DutyHolder& holder,
                 store::StorePort& store,
                 const request::passthrough::EngineTable& engines,
                 CapacityOrdersHooks hooks,
                 CapacityOrdersOptions options,
                 base::Clock clock,
                 base::Metrics& metrics);
  CapacityOrders(const CapacityOrders&) = delete;
  CapacityOrders& operator=(const CapacityOrders&) = delete;

  // Runs until Stop().
  connection::event::Awaitable<void> Run();
  // One step of Run().
  connection::event::Awaitable<void> Step();
  void Stop() noexcept { stopped_ = true; }

 private:
  using Subject = std::tuple<base::ServiceName, base::ZoneId, EngineKind>;
  using Terms = request::passthrough::ScalingTerms;

  connection::event::Awaitable<void> ReadRecord();
  connection::event::Awaitable<void> WriteRecord();
  connection::event::Awaitable<void> OrderService(base::ServiceName service,
                                                  Terms terms);
  // Sends the order unless it is in force or has to wait; true if accepted.
  connection::event::Awaitable<bool> SendIfDue(CapacityOrder order,
                                               int ready,
                                               Terms terms);
  // Ready engines by zone; draining ones do not count.
  CountsByZone ReadyEngines(const base::ServiceName& service) const;
  // Zones seen for the first time start with the engines that are there.
  void AddZones(const base::ServiceName& service, const CountsByZone& ready);
  // Limits the engines of the order that boot or leave at a time.
  void LimitChange(const Subject& subject, int ready, int* count);

  connection::event::asio::io_context& loop_;
  duties::DutyHolder& holder_;
  store::StorePort& store_;
  const request::passthrough::EngineTable& engines_;
  const CapacityOrdersHooks hooks_;
  const CapacityOrdersOptions options_;
  const base::Clock clock_;
  base::Metrics& metrics_;
  bool stopped_ = false;
  // Unset until read by this holder.
  std::optional<CapacityRecord> record_;
  base::Revision record_revision_;
  std::map<Subject, base::Time> sent_at_;
  std::map<Subject, base::Time> unavailable_until_;
  std::map<Subject, base::Time> leaving_until_;
};

}  // namespace lynxglade::process::capacity

#endif  // LYNXGLADE_PROCESS_CAPACITY_CAPACITY_ORDERS_H_
