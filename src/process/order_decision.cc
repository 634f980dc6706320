#include "process/order_decision.h"

#include <algorithm>
#include <utility>

namespace lynxglade::process {

namespace {

using connection::EnginePhase;
using connection::EngineState;
using connection::EngineTargetState;
using connection::SameContent;

OrderDecision Wait(WaitReason reason) {
  OrderDecision decision;
  decision.reason = reason;
  return decision;
}

OrderDecision MakeDecision(OrderStep step) {
  OrderDecision decision;
  decision.step = step;
  return decision;
}

OrderDecision WriteRecord(JournalRecord record) {
  OrderDecision decision;
  decision.step = OrderStep::kWriteRecord;
  decision.record = std::move(record);
  return decision;
}

// Adapters can change while requests run; any other change needs the engine out
// of service.
bool NeedsOutage(const EngineState& state,
                 const EngineTargetState& target) noexcept {
  const EngineTargetState& current = state.current;
  return state.phase != EnginePhase::kReady || current.role != target.role ||
         current.model != target.model || current.version != target.version;
}

// Whether the engine has to be drained before `target` can be applied.
bool NeedsDrainFirst(const EngineState& state,
                     const EngineTargetState& target) noexcept {
  return NeedsOutage(state, target) && !state.current.draining &&
         state.phase != EnginePhase::kHalfChanged;
}

// Makes the decision from an observation whose age is checked by the caller.
class Decider {
 public:
  Decider(const DecisionInputs& inputs, const DecisionSettings& settings)
      : inputs_(inputs),
        settings_(settings),
        state_(inputs.observation->state) {}

  OrderDecision Run() const {
    if (state_.fence > *inputs_.authority) {
      return Wait(WaitReason::kFenceBehind);
    }
    if (state_.phase == EnginePhase::kChanging) {
      return Wait(WaitReason::kChanging);
    }
    if (inputs_.record && IsOpen(inputs_.record->phase)) {
      return DecideOpenOrder();
    }
    return DecideNewOrder();
  }

 private:
  // An order is in progress, sent by this process or an earlier holder.
  OrderDecision DecideOpenOrder() const {
    const JournalRecord& record = *inputs_.record;
    if (Matches(state_, record.target) && ObservationFollowsSend()) {
      return CloseOrder(OrderPhase::kObserved);
    }
    if (SentByThisProcess() && inputs_.sent->accepted &&
        record.phase == OrderPhase::kIntended) {
      JournalRecord next = WithAuthority(record);
      next.phase = OrderPhase::kSent;
      return WriteRecord(std::move(next));
    }
    if (NeedsDrainFirst(state_, record.target)) {
      // A restart cleared the drain, so the change has to start again with one.
      return ObservationFollowsSend() ? CloseOrder(OrderPhase::kFailed)
                                      : MakeDecision(OrderStep::kReadBack);
    }
    if (NeedsOutage(state_, record.target) && state_.in_flight > 0) {
      return Wait(WaitReason::kInFlight);
    }
    if (StoredButNotSent()) {
      return SendRecord();
    }
    return ObservationFollowsSend() ? Retry()
                                    : MakeDecision(OrderStep::kReadBack);
  }

  // Whether the observation was requested after the last call to send an order
  // returned, so that it can show the order's effect.
  bool ObservationFollowsSend() const {
    return !inputs_.sent ||
           inputs_.observation->requested_at >= inputs_.sent->returned_at;
  }

  bool SentByThisProcess() const {
    const JournalRecord& record = *inputs_.record;
    return inputs_.sent && inputs_.sent->fence == record.fence &&
           inputs_.sent->generation == record.generation &&
           inputs_.sent->attempt == record.attempts;
  }

  bool StoredButNotSent() const {
    const JournalRecord& record = *inputs_.record;
    return record.fence == *inputs_.authority &&
           record.phase == OrderPhase::kIntended && !SentByThisProcess();
  }

  OrderDecision SendRecord() const {
    OrderDecision decision = MakeDecision(OrderStep::kSend);
    decision.record = inputs_.record;
    decision.loads_weights = LoadsWeights(state_, inputs_.record->target);
    if (decision.loads_weights && !inputs_.load_allowed) {
      return Wait(WaitReason::kWeightStoreLimit);
    }
    return decision;
  }

  OrderDecision Retry() const {
    const JournalRecord& record = *inputs_.record;
    if (record.attempts >= settings_.max_attempts) {
      return CloseOrder(OrderPhase::kFailed);
    }
    if (inputs_.sent &&
        inputs_.now < inputs_.sent->returned_at + settings_.retry_pause) {
      return Wait(WaitReason::kRetryPause);
    }
    JournalRecord next = WithAuthority(record);
    next.phase = OrderPhase::kIntended;
    ++next.attempts;
    return WriteRecord(std::move(next));
  }

  OrderDecision CloseOrder(OrderPhase phase) const {
    JournalRecord next = WithAuthority(*inputs_.record);
    const bool engine_accepted = next.phase == OrderPhase::kSent;
    const bool same_content =
        next.failed_target && SameContent(*next.failed_target, next.target);
    next.phase = phase;
    if (phase == OrderPhase::kObserved && same_content) {
      next.failures = 0;
      next.failed_target.reset();
    }
    // An order that the engine did not accept says nothing about the engine.
    if (phase == OrderPhase::kFailed && engine_accepted) {
      next.failures = same_content ? next.failures + 1 : 1;
      next.failed_target = next.target;
      next.failed_incarnation = state_.incarnation;
    }
    return WriteRecord(std::move(next));
  }

  // No order is in progress.
  OrderDecision DecideNewOrder() const {
    if (!inputs_.desired) {
      return Wait(WaitReason::kNoDesiredState);
    }
    if (CanRaiseFence()) {
      OrderDecision decision = MakeDecision(OrderStep::kRaiseFence);
      decision.record = inputs_.record;
      return decision;
    }
    const EngineTargetState next = NextTarget();
    if (Matches(state_, next)) {
      return DecideAtTarget();
    }
    if (IsIsolated(next)) {
      return Wait(WaitReason::kIsolated);
    }
    const bool needs_outage = NeedsOutage(state_, *inputs_.desired);
    if (needs_outage && !inputs_.permit_held) {
      return DecidePermit();
    }
    if (LateOrderPossible(next)) {
      return Wait(WaitReason::kLateOrder);
    }
    if (NeedsOutage(state_, next) && state_.in_flight > 0) {
      return Wait(WaitReason::kInFlight);
    }
    return WriteRecord(NewRecord(next));
  }

  OrderDecision DecideAtTarget() const {
    if (!inputs_.permit_held) {
      return MakeDecision(OrderStep::kDone);
    }
    // A drain order recorded as failed may still arrive and take the engine out
    // of service.
    return LateOrderPossible(state_.current)
               ? Wait(WaitReason::kLateOrder)
               : MakeDecision(OrderStep::kReleasePermit);
  }

  // Resending the order in effect under the new token makes the engine reject
  // late orders of earlier holders.
  bool CanRaiseFence() const {
    return inputs_.fenced && inputs_.record &&
           inputs_.record->phase == OrderPhase::kObserved &&
           state_.fence < *inputs_.authority &&
           Matches(state_, inputs_.record->target) && !SentRecently();
  }

  bool SentRecently() const {
    return inputs_.sent &&
           inputs_.now < inputs_.sent->returned_at + settings_.retry_pause;
  }

  // The next complete target state on the way to the desired one.
  EngineTargetState NextTarget() const {
    if (!NeedsOutage(state_, *inputs_.desired)) {
      return *inputs_.desired;
    }
    if (NeedsDrainFirst(state_, *inputs_.desired)) {
      EngineTargetState drain = state_.current;
      drain.draining = true;
      return drain;
    }
    EngineTargetState change = *inputs_.desired;
    change.draining = true;
    return change;
  }

  // The change failed too often. Cleared when the engine restarts or a
  // different target is desired.
  bool IsIsolated(const EngineTargetState& next) const {
    if (!inputs_.record || !inputs_.record->failed_target) {
      return false;
    }
    const JournalRecord& record = *inputs_.record;
    const EngineTargetState& failed = *record.failed_target;
    const bool again = failed == next || SameContent(failed, *inputs_.desired);
    return again && record.failures >= settings_.max_attempts &&
           record.failed_incarnation == state_.incarnation;
  }

  OrderDecision DecidePermit() const {
    const bool in_service =
        state_.phase == EnginePhase::kReady && !state_.current.draining;
    if (in_service && !inputs_.capacity_allows) {
      return Wait(WaitReason::kCapacityFloor);
    }
    if (LoadsWeights(state_, *inputs_.desired) && !inputs_.load_allowed) {
      return Wait(WaitReason::kWeightStoreLimit);
    }
    if (!inputs_.permit_free) {
      return Wait(WaitReason::kPermit);
    }
    return MakeDecision(OrderStep::kTakePermit);
  }

  // The last order, or a copy of it, may still arrive after `next` is sent and
  // undo it.
  bool LateOrderPossible(const EngineTargetState& next) const {
    if (!inputs_.record || inputs_.record->target == next ||
        RejectsLateOrders()) {
      return false;
    }
    return inputs_.now < inputs_.late_orders_until ||
           inputs_.observation->requested_at < inputs_.late_orders_until;
  }

  // The engine has recorded the current token and the last generation, so it
  // rejects every order older than the next one. A restart can lose both.
  bool RejectsLateOrders() const {
    return inputs_.fenced && state_.fence == *inputs_.authority &&
           state_.generation >= inputs_.record->generation;
  }

  JournalRecord NewRecord(const EngineTargetState& target) const {
    JournalRecord next = inputs_.record.value_or(JournalRecord());
    const base::Generation last = std::max(next.generation, state_.generation);
    next = WithAuthority(next);
    next.generation = last + base::Generation(1);
    next.target = target;
    next.phase = OrderPhase::kIntended;
    next.attempts = 1;
    return next;
  }

  JournalRecord WithAuthority(JournalRecord record) const {
    record.fence = *inputs_.authority;
    record.holder = settings_.holder;
    return record;
  }

  const DecisionInputs& inputs_;
  const DecisionSettings& settings_;
  const EngineState& state_;
};

bool HasSideEffects(OrderStep step) {
  return step == OrderStep::kWriteRecord || step == OrderStep::kSend ||
         step == OrderStep::kTakePermit || step == OrderStep::kReleasePermit ||
         step == OrderStep::kRaiseFence;
}

// Maximum age of the observation for a decision to be used.
base::Duration MaxObservationAge(const OrderDecision& decision,
                                 const DecisionSettings& settings) {
  if (HasSideEffects(decision.step)) {
    return settings.observation_max_age;
  }
  const bool idle = decision.step == OrderStep::kDone ||
                    decision.reason == WaitReason::kNoDesiredState ||
                    decision.reason == WaitReason::kIsolated ||
                    decision.reason == WaitReason::kPermit ||
                    decision.reason == WaitReason::kCapacityFloor ||
                    decision.reason == WaitReason::kWeightStoreLimit;
  return idle ? settings.idle_interval : settings.busy_interval;
}

}  // namespace

std::string_view ToString(OrderStep step) noexcept {
  switch (step) {
    case OrderStep::kWait:
      return "wait";
    case OrderStep::kDone:
      return "done";
    case OrderStep::kLoadJournal:
      return "load_journal";
    case OrderStep::kReadBack:
      return "read_back";
    case OrderStep::kTakePermit:
      return "take_permit";
    case OrderStep::kReleasePermit:
      return "release_permit";
    case OrderStep::kWriteRecord:
      return "write_record";
    case OrderStep::kSend:
      return "send";
    case OrderStep::kRaiseFence:
      break;
  }
  return "raise_fence";
}

std::string_view ToString(WaitReason reason) noexcept {
  switch (reason) {
    case WaitReason::kNone:
      return "none";
    case WaitReason::kNoAuthority:
      return "no_authority";
    case WaitReason::kJournalUnreadable:
      return "journal_unreadable";
    case WaitReason::kFenceBehind:
      return "fence_behind";
    case WaitReason::kUnreachable:
      return "unreachable";
    case WaitReason::kChanging:
      return "changing";
    case WaitReason::kInFlight:
      return "in_flight";
    case WaitReason::kLateOrder:
      return "quiet_time";
    case WaitReason::kPermit:
      return "permit";
    case WaitReason::kCapacityFloor:
      return "capacity_floor";
    case WaitReason::kWeightStoreLimit:
      return "weight_store_limit";
    case WaitReason::kRetryPause:
      return "retry_pause";
    case WaitReason::kIsolated:
      return "isolated";
    case WaitReason::kNoDesiredState:
      break;
  }
  return "nothing_intended";
}

OrderDecision Decide(const DecisionInputs& inputs,
                     const DecisionSettings& settings) {
  if (!inputs.authority) {
    return Wait(WaitReason::kNoAuthority);
  }
  if (!inputs.journal_loaded) {
    return inputs.journal_unreadable ? Wait(WaitReason::kJournalUnreadable)
                                     : MakeDecision(OrderStep::kLoadJournal);
  }
  if (inputs.record && inputs.record->fence > *inputs.authority) {
    return Wait(WaitReason::kFenceBehind);
  }
  if (inputs.unreachable_since) {
    const bool due =
        inputs.now >= inputs.last_read_attempt + settings.idle_interval;
    return due ? MakeDecision(OrderStep::kReadBack)
               : Wait(WaitReason::kUnreachable);
  }
  if (!inputs.observation) {
    return MakeDecision(OrderStep::kReadBack);
  }
  OrderDecision decision = Decider(inputs, settings).Run();
  const base::Duration age = inputs.now - inputs.observation->requested_at;
  const bool too_old = age > MaxObservationAge(decision, settings);
  return too_old ? MakeDecision(OrderStep::kReadBack) : decision;
}

bool MayApply(const connection::EngineOrder& order,
              const EngineState& state) noexcept {
  if (state.phase == EnginePhase::kChanging || state.fence > order.fence) {
    return false;
  }
  if (!NeedsOutage(state, order.target)) {
    return true;
  }
  return state.in_flight == 0 && !NeedsDrainFirst(state, order.target);
}

bool LoadsWeights(const EngineState& state,
                  const EngineTargetState& target) noexcept {
  const EngineTargetState& current = state.current;
  return state.phase != EnginePhase::kReady || current.model != target.model ||
         current.version != target.version ||
         current.adapters != target.adapters;
}

bool Matches(const EngineState& state,
             const EngineTargetState& target) noexcept {
  return state.phase == EnginePhase::kReady && state.current == target;
}

}  // namespace lynxglade::process
