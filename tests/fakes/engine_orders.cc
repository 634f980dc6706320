#include "fakes/engine_orders.h"

#include <algorithm>
#include <utility>

namespace lynxglade::fakes {

std::string_view ToString(EnginePhase phase) noexcept {
  switch (phase) {
    case EnginePhase::kReady:
      return "ready";
    case EnginePhase::kChanging:
      return "changing";
    case EnginePhase::kHalfChanged:
      break;
  }
  return "half_changed";
}

std::string_view ToString(OrderVerdict verdict) noexcept {
  switch (verdict) {
    case OrderVerdict::kAccepted:
      return "accepted";
    case OrderVerdict::kStarted:
      return "started";
    case OrderVerdict::kStaleFence:
      return "stale_fence";
    case OrderVerdict::kStaleGeneration:
      return "stale_generation";
    case OrderVerdict::kBusy:
      return "busy";
    case OrderVerdict::kInFlight:
      break;
  }
  return "in_flight";
}

bool IsAccepted(OrderVerdict verdict) noexcept {
  return verdict == OrderVerdict::kAccepted ||
         verdict == OrderVerdict::kStarted;
}

EngineOrders::EngineOrders(Settings settings)
    : settings_(std::move(settings)),
      setup_(settings_.initial),
      desired_(settings_.initial) {}

OrderVerdict EngineOrders::Handle(const EngineOrder& order,
                                  int in_flight,
                                  base::Time now) {
  const OrderVerdict verdict = Evaluate(order, in_flight);
  // The fence counts as seen even if the order is rejected for another reason.
  highest_fence_ = std::max(highest_fence_, order.fence);
  const bool repeat = IsRepeat(order);
  OrderRecord record;
  record.order = order;
  record.verdict = verdict;
  record.incarnation = incarnation_;
  record.received = now;
  record.took_out_of_service = verdict == OrderVerdict::kStarted && !repeat;
  record.role_changed =
      record.took_out_of_service && order.target.role != setup_.role;
  records_.push_back(std::move(record));
  if (!IsAccepted(verdict)) {
    return verdict;
  }
  Accept(order);
  if (verdict == OrderVerdict::kAccepted) {
    setup_ = order.target;
    desired_ = order.target;
    records_.back().in_effect = now;
  } else if (!repeat) {
    phase_ = EnginePhase::kChanging;
    desired_ = order.target;
    change_ends_ = now + settings_.change_time;
    change_record_ = records_.size() - 1;
  }
  return verdict;
}

bool EngineOrders::Advance(base::Time now) {
  if (phase_ != EnginePhase::kChanging || now < change_ends_) {
    return false;
  }
  phase_ = EnginePhase::kReady;
  setup_ = desired_;
  ++seq_;
  records_[change_record_].in_effect = now;
  return true;
}

void EngineOrders::DelayUntil(base::Time until) noexcept {
  change_ends_ = std::max(change_ends_, until);
}

void EngineOrders::Crash(bool half_changed) {
  const bool interrupted = phase_ == EnginePhase::kChanging;
  if (interrupted) {
    records_[change_record_].interrupted = true;
  }
  ++incarnation_;
  seq_ = 1;
  draining_ = false;
  if (!settings_.keeps_fence) {
    highest_fence_ = base::FencingToken(0);
  }
  if (interrupted && half_changed) {
    phase_ = EnginePhase::kHalfChanged;
    setup_.role = desired_.role;
    desired_ = setup_;
    return;
  }
  phase_ = EnginePhase::kReady;
  setup_ = settings_.initial;
  desired_ = setup_;
  generation_ = base::Generation(0);
  fence_ = base::FencingToken(0);
  order_id_.clear();
}

OrderVerdict EngineOrders::Evaluate(const EngineOrder& order,
                                    int in_flight) const {
  if (settings_.fenced && order.fence < highest_fence_) {
    return OrderVerdict::kStaleFence;
  }
  if (IsRepeat(order)) {
    return phase_ == EnginePhase::kChanging ? OrderVerdict::kStarted
                                            : OrderVerdict::kAccepted;
  }
  // A half-changed engine accepts the interrupted order again.
  const bool again =
      phase_ == EnginePhase::kHalfChanged && order.generation == generation_;
  const bool stale = order.generation <= generation_ && !again;
  if (settings_.fenced && stale) {
    return OrderVerdict::kStaleGeneration;
  }
  if (phase_ == EnginePhase::kChanging) {
    return OrderVerdict::kBusy;
  }
  if (!NeedsOutage(order)) {
    return OrderVerdict::kAccepted;
  }
  return in_flight > 0 ? OrderVerdict::kInFlight : OrderVerdict::kStarted;
}

bool EngineOrders::IsRepeat(const EngineOrder& order) const {
  return phase_ != EnginePhase::kHalfChanged &&
         order.generation == generation_ && order.target == desired_ &&
         order.draining == draining_;
}

bool EngineOrders::NeedsOutage(const EngineOrder& order) const {
  return phase_ == EnginePhase::kHalfChanged ||
         order.target.role != setup_.role ||
         order.target.model != setup_.model ||
         order.target.version != setup_.version;
}

void EngineOrders::Accept(const EngineOrder& order) {
  ++seq_;
  draining_ = order.draining;
  generation_ = order.generation;
  fence_ = order.fence;
  order_id_ = order.order_id;
}

}  // namespace lynxglade::fakes
