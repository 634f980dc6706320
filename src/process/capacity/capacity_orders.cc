#include "process/capacity/capacity_orders.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "connection/event/sleep.h"

namespace lynxglade::process::capacity {

namespace {

using base::Log;
using base::LogLevel;
using connection::event::Awaitable;
using connection::event::SleepFor;
using duties::CallResult;
using request::passthrough::EngineHandle;
namespace asio = connection::event::asio;

constexpr store::LeaseId kNoLease(0);

}  // namespace

CapacityOrders::CapacityOrders(asio::io_context& loop,
                               duties::DutyHolder& holder,
                               store::StorePort& store,
                               const request::passthrough::EngineTable& engines,
                               CapacityOrdersHooks hooks,
                               CapacityOrdersOptions options,
                               base::Clock clock,
                               base::Metrics& metrics)
    : loop_(loop),
      holder_(holder),
      store_(store),
      engines_(engines),
      hooks_(std::move(hooks)),
      options_(std::move(options)),
      clock_(std::move(clock)),
      metrics_(metrics) {}

Awaitable<void> CapacityOrders::Run() {
  while (!stopped_) {
    co_await Step();
    co_await SleepFor(loop_, options_.period);
  }
}

Awaitable<void> CapacityOrders::Step() {
  if (!holder_.HeldToken()) {
    record_.reset();
    sent_at_.clear();
    co_return;
  }
  if (hooks_.view_age() > options_.max_view_age) {
    co_return;
  }
  const auto services = hooks_.services();
  if (services.empty()) {
    co_return;
  }
  if (!record_) {
    co_await ReadRecord();
  }
  for (const auto& [service, terms] : services) {
    if (record_ && !stopped_) {
      co_await OrderService(service, terms);
    }
  }
}

Awaitable<void> CapacityOrders::ReadRecord() {
  store::StoreFault fault{};
  const auto item = co_await store_.Get(options_.key, &fault);
  if (!item) {
    Log(LogLevel::kInfo, "capacity_record_not_read",
        {{"fault", ToString(fault)}});
    co_return;
  }
  record_revision_ = item->deleted ? base::Revision(0) : item->revision;
  auto record = item->deleted ? CapacityRecord() : DecodeRecord(item->value);
  if (!record) {
    Log(LogLevel::kError, "capacity_record_malformed",
        {{"revision", item->revision.value()}});
  }
  record_ = std::move(record).value_or(CapacityRecord());
}

Awaitable<void> CapacityOrders::WriteRecord() {
  store::StoreFault fault{};
  const auto written = co_await store_.Update(
      options_.key, EncodeRecord(*record_), kNoLease, record_revision_, &fault);
  if (written) {
    record_revision_ = *written;
    co_return;
  }
  Log(LogLevel::kInfo, "capacity_record_not_written",
      {{"fault", ToString(fault)}});
  // Read again: the write may have taken effect.
  record_.reset();
}

CountsByZone CapacityOrders::ReadyEngines(
    const base::ServiceName& service) const {
  CountsByZone ready;
  for (const EngineHandle& it : engines_.AllOfService(service)) {
    if (!it->entry.draining) {
      ++ready[it->entry.zone].Of(it->entry.is_spot ? EngineKind::kSpot
                                                   : EngineKind::kRegular);
    }
  }
  return ready;
}

void CapacityOrders::AddZones(const base::ServiceName& service,
                              const CountsByZone& ready) {
  OrderedZones& zones = (*record_)[service];
  for (const auto& [zone, counts] : ready) {
    zones.try_emplace(zone, OrderedZone{counts.total(), counts});
  }
}

Awaitable<void> CapacityOrders::OrderService(base::ServiceName service,
                                             Terms terms) {
  const CountsByZone ready = ReadyEngines(service);
  AddZones(service, ready);
  bool changed = false;
  // A copy: the record may be dropped while an order is sent.
  const OrderedZones zones = (*record_)[service];
  for (const auto& [zone, ordered] : zones) {
    const auto it = ready.find(zone);
    const EngineCounts there = it == ready.end() ? EngineCounts() : it->second;
    const EngineCounts plan = PlanZone(
        {.base = ordered.base, .ready = there, .ordered = ordered.ordered},
        terms, options_.plan);
    for (const EngineKind kind : {EngineKind::kSpot, EngineKind::kRegular}) {
      CapacityOrder order{service, zone, kind, plan.Of(kind)};
      LimitChange({service, zone, kind}, there.Of(kind), &order.count);
      const int count = order.count;
      const bool accepted =
          co_await SendIfDue(std::move(order), there.Of(kind), terms);
      if (accepted && record_) {
        int& last = (*record_)[service][zone].ordered.Of(kind);
        changed = changed || last != count;
        last = count;
      }
    }
  }
  if (changed && record_) {
    co_await WriteRecord();
  }
}

void CapacityOrders::LimitChange(const Subject& subject,
                                 int ready,
                                 int* count) {
  const auto& [service, zone, kind] = subject;
  const int last = (*record_)[service][zone].ordered.Of(kind);
  if (*count > last) {
    *count =
        std::clamp(*count, last, std::max(ready + options_.max_changing, last));
  }
  if (*count >= last) {
    return;
  }
  const base::Time now = clock_();
  if (now < leaving_until_[subject]) {
    *count = last;
    return;
  }
  const int most =
      hooks_.idle() ? options_.max_changing : options_.max_leaving_under_load;
  if (last - *count > most || !hooks_.idle()) {
    leaving_until_[subject] = now + options_.leaving_period;
  }
  *count = std::max(*count, last - most);
}

Awaitable<bool> CapacityOrders::SendIfDue(CapacityOrder order,
                                          int ready,
                                          Terms terms) {
  const Subject subject{order.service, order.zone, order.kind};
  const int last = (*record_)[order.service][order.zone].ordered.Of(order.kind);
  const base::Time now = clock_();
  const bool repeat =
      ready < order.count &&
      now - sent_at_[subject] >= terms.boot_time + options_.repeat_margin;
  if (now < unavailable_until_[subject] || (order.count == last && !repeat)) {
    co_return false;
  }
  base::Time until{};
  const auto token = co_await holder_.ConfirmHeld(&until);
  if (!token || clock_() >= until || stopped_) {
    co_return false;
  }
  sent_at_[subject] = clock_();
  const duties::Credentials credentials{options_.instance, *token};
  const CallResult result = co_await hooks_.send(order, credentials);
  if (result == CallResult::kUnavailable) {
    unavailable_until_[subject] = clock_() + options_.unavailable_time;
  }
  Log(LogLevel::kInfo, "capacity_order",
      {{"service", order.service.str()},
       {"zone", order.zone.str()},
       {"kind", ToString(order.kind)},
       {"count", order.count},
       {"last", last},
       {"ready", ready},
       {"token", token->value()},
       {"result", ToString(result)}});
  metrics_
      .GetCounter("lynxglade_capacity_orders_total",
                  {{"kind", std::string(ToString(order.kind))},
                   {"result", std::string(ToString(result))}})
      .Add();
  co_return result == CallResult::kAccepted;
}

}  // namespace lynxglade::process::capacity
