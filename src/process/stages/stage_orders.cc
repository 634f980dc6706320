#include "process/stages/stage_orders.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "connection/event/sleep.h"

namespace lynxglade::process::stages {

namespace {

using base::Log;
using base::LogLevel;
using connection::event::Awaitable;
using connection::event::SleepFor;
using request::passthrough::EngineHandle;
namespace asio = connection::event::asio;

}  // namespace

std::string_view ToString(OrderResult result) noexcept {
  switch (result) {
    case OrderResult::kAccepted:
      return "taken";
    case OrderResult::kConflict:
      return "conflict";
    case OrderResult::kFenced:
      return "fenced";
    case OrderResult::kRejected:
      return "refused";
    case OrderResult::kUnknown:
      break;
  }
  return "unknown";
}

StageOrders::StageOrders(
    asio::io_context& loop,
    const request::passthrough::EngineTable& engines,
    duties::DutyHolder& authority,
    StageOrderHooks hooks,
    StageOrdersOptions options,
    std::function<std::vector<base::ServiceName>()> services,
    std::function<bool()> idle,
    std::function<base::Duration(const base::ServiceName&)> backlog,
    std::function<double(const base::ServiceName&)> admitted_fraction,
    request::passthrough::EngineCapacity capacity,
    base::Clock clock,
    base::Metrics& metrics)
    : loop_(loop),
      engines_(engines),
      authority_(authority),
      hooks_(std::move(hooks)),
      options_(std::move(options)),
      services_(std::move(services)),
      idle_(std::move(idle)),
      backlog_(std::move(backlog)),
      admitted_fraction_(std::move(admitted_fraction)),
      capacity_(std::move(capacity)),
      clock_(std::move(clock)),
      metrics_(metrics) {}

Awaitable<void> StageOrders::Run() {
  while (!stopped_) {
    // Tracked without the authority too, so that a new holder can plan at once.
    UpdateDemand();
    if (IsCutOff()) {
      co_await authority_.Resign(options_.back_off);
    }
    co_await ReconcileOnce();
    co_await SleepFor(loop_, options_.period);
  }
}

bool StageOrders::IsCutOff() {
  const auto services = services_();
  const bool cut =
      hooks_.cut_off && std::ranges::any_of(services, hooks_.cut_off);
  const base::Time now = clock_();
  cut_since_ = cut ? cut_since_.value_or(now) : std::optional<base::Time>();
  return cut && now - *cut_since_ >= options_.max_cut;
}

Awaitable<void> StageOrders::ReconcileOnce() {
  if (!authority_.HeldToken()) {
    co_return;
  }
  const base::Time now = clock_();
  std::erase_if(settling_until_,
                [now](const auto& it) { return it.second <= now; });
  for (const base::ServiceName& service : services_()) {
    for (const StageChange& change : DueChanges(service)) {
      if (stopped_) {
        co_return;
      }
      co_await SendOrder(change);
    }
  }
}

GenerationDemand& StageOrders::DemandOf(const base::ServiceName& service) {
  return demand_.try_emplace(service, GenerationDemandOptions(), capacity_)
      .first->second;
}

void StageOrders::UpdateDemand() {
  for (const base::ServiceName& service : services_()) {
    DemandOf(service).Observe(engines_.OfService(service), backlog_(service),
                              admitted_fraction_(service), clock_());
  }
}

// Under load no order is sent while any engine is settling, as the plan would
// otherwise replace engines that are still changing.
std::vector<StageChange> StageOrders::DueChanges(
    const base::ServiceName& service) {
  const bool idle = idle_();
  if (!idle && !settling_until_.empty()) {
    return {};
  }
  // Without requests no answers are in flight that need decode engines.
  const int demanded = idle ? 0 : DemandOf(service).DesiredEngines();
  std::vector<StageChange> changes =
      PlanStages(engines_.OfService(service), idle, options_.plan, demanded,
                 engines_.HasSpare(service));
  std::erase_if(changes, [this](const StageChange& it) {
    return settling_until_.contains(it.engine->entry.id);
  });
  return changes;
}

Awaitable<void> StageOrders::SendOrder(StageChange change) {
  const EngineHandle engine = change.engine;
  const auto report = co_await hooks_.report(engine);
  if (!report || report->changing || report->stage == change.to) {
    co_return;
  }
  // The engine has restarted since the plan was made.
  if (report->start_time != engine->entry.start_time) {
    Log(LogLevel::kInfo, "stage_order_withheld",
        {{"target", engine->entry.id.str()},
         {"reason", "target restarted after the order was planned"}});
    co_return;
  }
  base::Time until{};
  const auto token = co_await authority_.ConfirmHeld(&until);
  if (!token || clock_() >= until) {
    co_return;
  }
  settling_until_[engine->entry.id] = clock_() + options_.settle_time_unknown;
  // A named object, as GCC 12 destroys an aggregate temporary in a co_await
  // expression twice.
  StageOrder order;
  order.stage = change.to;
  order.holder = options_.instance.str();
  order.token = *token;
  order.expected_orders = report->accepted_orders;
  const OrderResult result = co_await hooks_.order(engine, std::move(order));
  if (result != OrderResult::kUnknown) {
    settling_until_[engine->entry.id] = clock_() + options_.settle_time;
  }
  metrics_
      .GetCounter("lynxglade_stage_orders_total",
                  {{"result", std::string(ToString(result))}})
      .Add();
  // Looked up again: the engine's service may have changed during the co_await.
  const GenerationDemand& demand = DemandOf(engine->entry.service);
  Log(LogLevel::kInfo, "stage_order",
      {{"target", engine->entry.id.str()},
       {"stage", ToString(change.to)},
       {"token", token->value()},
       {"if_orders", report->accepted_orders},
       {"answers", demand.answers()},
       {"backlog_ms", base::ToMillis(demand.backlog())},
       {"result", ToString(result)}});
}

}  // namespace lynxglade::process::stages
