// Orders engines to change stage (prefill or decode) as the stage plan says.
//
// Each engine has at most one order in flight. An order carries the number of
// orders that the engine had accepted, so that a delayed duplicate has no
// effect. It is withheld if the engine has restarted since the plan was made.
// After an order without a response the engine gets no other one until the
// first can no longer take effect.
#ifndef LYNXGLADE_PROCESS_STAGES_STAGE_ORDERS_H_
#define LYNXGLADE_PROCESS_STAGES_STAGE_ORDERS_H_

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
#include "process/duties/duty_holder.h"
#include "process/stages/generation_demand.h"
#include "process/stages/stage_plan.h"
#include "request/passthrough/engine_table.h"

namespace lynxglade::process::stages {

// The state that an engine reports; may be a few hundred milliseconds old.
struct EngineReport {
  request::passthrough::EngineStage stage =
      request::passthrough::EngineStage::kDecode;
  // A stage change is in progress.
  bool changing = false;
  // Number of orders accepted since the engine started.
  std::int64_t accepted_orders = 0;
  // Start time of the engine process, as in its table entry.
  std::optional<base::StartMillis> start_time;
};

struct StageOrder {
  request::passthrough::EngineStage stage =
      request::passthrough::EngineStage::kDecode;
  std::string holder;
  base::FencingToken token;
  // The engine accepts the order only if it has accepted this many so far.
  std::int64_t expected_orders = 0;
};

enum class OrderResult {
  // In progress, or the engine is in that stage already.
  kAccepted,
  // Another order was accepted first, or is in progress.
  kConflict,
  // The engine has seen a higher fencing token: another instance now holds the
  // authority.
  kFenced,
  // The engine is another one, or does not support the order.
  kRejected,
  // No response; the engine may have accepted the order or may do so later.
  kUnknown,
};
std::string_view ToString(OrderResult result) noexcept;

// Calls to one engine, implemented by the platform adapter.
struct StageOrderHooks {
  std::function<connection::event::Awaitable<std::optional<EngineReport>>(
      request::passthrough::EngineHandle)>
      report;
  std::function<connection::event::Awaitable<OrderResult>(
      request::passthrough::EngineHandle,
      StageOrder)>
      order;
  // Whether this instance reaches fewer than half of the service's engines
  // while others reach them. May be empty.
  std::function<bool(const base::ServiceName&)> cut_off;
};

struct StageOrdersOptions {
  base::InstanceId instance;
  base::Duration period = std::chrono::milliseconds(500);
  // Time after an order in which the engine gets no other. A change takes about
  // three seconds once the running requests have ended.
  base::Duration settle_time = std::chrono::seconds(6);
  // The same after an order without a response, which an engine may carry out
  // up to twelve seconds late.
  base::Duration settle_time_unknown = std::chrono::seconds(15);
  // An instance that is cut off from the engines for this long gives the
  // authority up, and does not acquire it for the second time.
  base::Duration max_cut = std::chrono::seconds(1);
  base::Duration back_off = std::chrono::seconds(10);
  StagePlanOptions plan;
};

// Not thread-safe: runs on the event loop.
class StageOrders {
 public:
  StageOrders(
      connection::event::asio::io_context& loop,
      const request::passthrough::EngineTable& engines,
      duties::DutyHolder& authority,
      StageOrderHooks hooks,
      StageOrdersOptions options,
      // The configured services whose engines have stages.
      std::function<std::vector<base::ServiceName>()> services,
      // Whether this instance has received no request for a while.
      std::function<bool()> idle,
      // The current average wait of a prompt for prefill.
      std::function<base::Duration(const base::ServiceName&)> backlog,
      // The fraction of a service's answers that admission lets through.
      std::function<double(const base::ServiceName&)> admitted_fraction,
      request::passthrough::EngineCapacity capacity,
      base::Clock clock,
      base::Metrics& metrics);
  StageOrders(const StageOrders&) = delete;
  StageOrders& operator=(const StageOrders&) = delete;

  // Runs until Stop().
  connection::event::Awaitable<void> Run();
  void Stop() noexcept { stopped_ = true; }

 private:
  connection::event::Awaitable<void> ReconcileOnce();
  connection::event::Awaitable<void> SendOrder(StageChange change);
  std::vector<StageChange> DueChanges(const base::ServiceName& service);
  void UpdateDemand();
  // Whether this instance has been cut off from engines for too long.
  bool IsCutOff();
  GenerationDemand& DemandOf(const base::ServiceName& service);

  connection::event::asio::io_context& loop_;
  const request::passthrough::EngineTable& engines_;
  duties::DutyHolder& authority_;
  const StageOrderHooks hooks_;
  const StageOrdersOptions options_;
  const std::function<std::vector<base::ServiceName>()> services_;
  const std::function<bool()> idle_;
  const std::function<base::Duration(const base::ServiceName&)> backlog_;
  const std::function<double(const base::ServiceName&)> admitted_fraction_;
  const request::passthrough::EngineCapacity capacity_;
  const base::Clock clock_;
  base::Metrics& metrics_;
  bool stopped_ = false;
  std::optional<base::Time> cut_since_;
  std::map<base::ServiceName, GenerationDemand> demand_;
  // Engines that get no order before the given time.
  std::map<base::TargetId, base::Time> settling_until_;
};

}  // namespace lynxglade::process::stages

#endif  // LYNXGLADE_PROCESS_STAGES_STAGE_ORDERS_H_
