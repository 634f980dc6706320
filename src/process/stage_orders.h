// Gives the engines the orders that bring about the stage plan.
//
// One order at a time and engine, each tied to the engine's life and to the
// count of orders it has accepted, so that a copy that arrives late does
// nothing. An order whose answer was lost is not repeated before the engine
// would have carried out the lost one.
#ifndef LYNXGLADE_PROCESS_STAGE_ORDERS_H_
#define LYNXGLADE_PROCESS_STAGE_ORDERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/time.h"
#include "base/units.h"
#include "process/generation_demand.h"
#include "process/order_authority.h"
#include "process/stage_plan.h"
#include "request/passthrough/engine_table.h"

namespace lynxglade::process {

// An engine as it reports itself, some hundred milliseconds old.
struct EngineReport {
  request::passthrough::EngineStage stage =
      request::passthrough::EngineStage::kDecode;
  // An order is being carried out.
  bool changing = false;
  // Orders accepted since the engine's start.
  std::int64_t orders = 0;
  // As in the engine's entry.
  std::optional<base::BornMillis> born;
};

struct StageOrder {
  request::passthrough::EngineStage stage =
      request::passthrough::EngineStage::kDecode;
  std::string holder;
  base::FencingToken token;
  // The order is void once the engine has accepted another.
  std::int64_t if_orders = 0;
};

enum class OrderResult {
  // Being carried out, or already so.
  kTaken,
  // Another order came first, or is under way.
  kConflict,
  // The engine has seen a higher token: this holder is no longer it.
  kFenced,
  // Not that engine, or not an order it knows.
  kRefused,
  // No answer; it may have been taken, or be taken later.
  kUnknown,
};
std::string_view ToString(OrderResult result) noexcept;

// Calls to one engine, spelled by the platform's adapter.
struct OrderHooks {
  std::function<connection::event::Awaitable<std::optional<EngineReport>>(
      request::passthrough::EngineHandle)>
      report;
  std::function<connection::event::Awaitable<OrderResult>(
      request::passthrough::EngineHandle,
      StageOrder)>
      order;
};

struct StageOrdersOptions {
  base::InstanceId instance;
  base::Duration period = std::chrono::milliseconds(500);
  // After an order, before the engine is judged again: a change takes about
  // three seconds once running requests have ended.
  base::Duration settle_time = std::chrono::seconds(6);
  // After an order without an answer: engines have been seen to carry one out
  // twelve seconds late.
  base::Duration settle_time_unknown = std::chrono::seconds(15);
  StagePlanOptions plan;
};

// Not thread-safe: lives on the event loop.
class StageOrders {
 public:
  StageOrders(connection::event::asio::io_context& loop,
              const request::passthrough::EngineTable& engines,
              OrderAuthority& authority,
              OrderHooks hooks,
              StageOrdersOptions options,
              // Language model services in force, and whether this instance
              // has seen no request for a while.
              std::function<std::vector<base::ServiceName>()> services,
              std::function<bool()> idle,
              // How long a prompt would wait to be read now, on average.
              std::function<base::Duration(const base::ServiceName&)> backlog,
              request::passthrough::EngineCapacity room,
              base::Clock clock,
              base::Metrics& metrics);
  StageOrders(const StageOrders&) = delete;
  StageOrders& operator=(const StageOrders&) = delete;

  // Until Stop().
  connection::event::Awaitable<void> Run();
  void Stop() noexcept { stopped_ = true; }

 private:
  connection::event::Awaitable<void> ReconcileOnce();
  connection::event::Awaitable<void> SendOrder(StageChange change);
  std::vector<StageChange> DueChanges(const base::ServiceName& service);
  void UpdateDemand();
  GenerationDemand& DemandOf(const base::ServiceName& service);

  connection::event::asio::io_context& loop_;
  const request::passthrough::EngineTable& engines_;
  OrderAuthority& authority_;
  const OrderHooks hooks_;
  const StageOrdersOptions options_;
  const std::function<std::vector<base::ServiceName>()> services_;
  const std::function<bool()> idle_;
  const std::function<base::Duration(const base::ServiceName&)> backlog_;
  const request::passthrough::EngineCapacity room_;
  const base::Clock clock_;
  base::Metrics& metrics_;
  bool stopped_ = false;
  std::map<base::ServiceName, GenerationDemand> demand_;
  // Engines that are left alone until then.
  std::map<base::TargetId, base::Time> settling_until_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_STAGE_ORDERS_H_
