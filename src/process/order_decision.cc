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

OrderDecision Take(OrderStep step) {
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
  Decider(const DecisionInputs& situation, const DecisionSettings& settings)
      : in_(situation),
        settings_(settings),
        state_(situation.observation->state) {}

  OrderDecision Run() const {
    if (state_.fence > *in_.authority) {
      return Wait(WaitReason::kFenceBehind);
    }
    if (state_.phase == EnginePhase::kChanging) {
      return Wait(WaitReason::kChanging);
    }
    if (in_.record && IsOpen(in_.record->phase)) {
      return Open();
    }
    return Closed();
  }

 private:
  // An order is in progress, sent by this process or an earlier holder.
  OrderDecision Open() const {
    const JournalRecord& record = *in_.record;
    if (Matches(state_, record.target) && Judgeable()) {
      return Close(OrderPhase::kObserved);
    }
    if (SentByUs() && in_.sent->accepted &&
        record.phase == OrderPhase::kIntended) {
      JournalRecord next = Stamped(record);
      next.phase = OrderPhase::kSent;
      return WriteRecord(std::move(next));
    }
    if (NeedsDrainFirst(state_, record.target)) {
      // A restart cleared the drain, so the change has to start again with one.
      return Judgeable() ? Close(OrderPhase::kFailed)
                         : Take(OrderStep::kReadBack);
    }
    if (NeedsOutage(state_, record.target) && state_.in_flight > 0) {
      return Wait(WaitReason::kInFlight);
    }
    if (StoredButNotSent()) {
      return SendRecord();
    }
    return Judgeable() ? Repeat() : Take(OrderStep::kReadBack);
  }

  // Whether the observation was requested after the last call to send an order
  // returned, so that it can show the order's effect.
  bool Judgeable() const {
    return !in_.sent || in_.observation->requested_at >= in_.sent->done_at;
  }

  bool SentByUs() const {
    const JournalRecord& record = *in_.record;
    return in_.sent && in_.sent->fence == record.fence &&
           in_.sent->generation == record.generation &&
           in_.sent->attempt == record.attempts;
  }

  bool StoredButNotSent() const {
    const JournalRecord& record = *in_.record;
    return record.fence == *in_.authority &&
           record.phase == OrderPhase::kIntended && !SentByUs();
  }

  OrderDecision SendRecord() const {
    OrderDecision decision = Take(OrderStep::kSend);
    decision.record = in_.record;
    decision.loads_weights = LoadsWeights(state_, in_.record->target);
    if (decision.loads_weights && !in_.load_allowed) {
      return Wait(WaitReason::kWeightStoreLimit);
    }
    return decision;
  }

  OrderDecision Repeat() const {
    const JournalRecord& record = *in_.record;
    if (record.attempts >= settings_.max_attempts) {
      return Close(OrderPhase::kFailed);
    }
    if (in_.sent && in_.now < in_.sent->done_at + settings_.retry_pause) {
      return Wait(WaitReason::kRetryPause);
    }
    JournalRecord next = Stamped(record);
    next.phase = OrderPhase::kIntended;
    ++next.attempts;
    return WriteRecord(std::move(next));
  }

  OrderDecision Close(OrderPhase phase) const {
    JournalRecord next = Stamped(*in_.record);
    const bool taken = next.phase == OrderPhase::kSent;
    const bool same_content =
        next.failed_target && SameContent(*next.failed_target, next.target);
    next.phase = phase;
    if (phase == OrderPhase::kObserved && same_content) {
      next.failures = 0;
      next.failed_target.reset();
    }
    // An order that the engine did not accept says nothing about the engine.
    if (phase == OrderPhase::kFailed && taken) {
      next.failures = same_content ? next.failures + 1 : 1;
      next.failed_target = next.target;
      next.failed_incarnation = state_.incarnation;
    }
    return WriteRecord(std::move(next));
  }

  // No order is in progress.
  OrderDecision Closed() const {
    if (!in_.desired) {
      return Wait(WaitReason::kNothingIntended);
    }
    if (CanRaiseFence()) {
      OrderDecision decision = Take(OrderStep::kRaiseFence);
      decision.record = in_.record;
      return decision;
    }
    const EngineTargetState next = NextTarget();
    if (Matches(state_, next)) {
      return Settled();
    }
    if (Isolated(next)) {
      return Wait(WaitReason::kIsolated);
    }
    const bool replaces = NeedsOutage(state_, *in_.desired);
    if (replaces && !in_.permit_held) {
      return ClaimPermit();
    }
    if (MustStayQuiet(next)) {
      return Wait(WaitReason::kQuietTime);
    }
    if (NeedsOutage(state_, next) && state_.in_flight > 0) {
      return Wait(WaitReason::kInFlight);
    }
    return WriteRecord(NewRecord(next));
  }

  OrderDecision Settled() const {
    if (!in_.permit_held) {
      return Take(OrderStep::kDone);
    }
    // A drain order recorded as failed may still arrive and take the engine out
    // of service.
    return MustStayQuiet(state_.current) ? Wait(WaitReason::kQuietTime)
                                         : Take(OrderStep::kReleasePermit);
  }

  // Resending the order in effect under the new token makes the engine reject
  // late orders of earlier holders.
  bool CanRaiseFence() const {
    return in_.fenced && in_.record &&
           in_.record->phase == OrderPhase::kObserved &&
           state_.fence < *in_.authority &&
           Matches(state_, in_.record->target) && !JustSent();
  }

  bool JustSent() const {
    return in_.sent && in_.now < in_.sent->done_at + settings_.retry_pause;
  }

  // The next complete target state on the way to the desired one.
  EngineTargetState NextTarget() const {
    if (!NeedsOutage(state_, *in_.desired)) {
      return *in_.desired;
    }
    if (NeedsDrainFirst(state_, *in_.desired)) {
      EngineTargetState drain = state_.current;
      drain.draining = true;
      return drain;
    }
    EngineTargetState change = *in_.desired;
    change.draining = true;
    return change;
  }

  // The change failed too often. Cleared when the engine restarts or a
  // different target is desired.
  bool Isolated(const EngineTargetState& next) const {
    if (!in_.record || !in_.record->failed_target) {
      return false;
    }
    const JournalRecord& record = *in_.record;
    const EngineTargetState& failed = *record.failed_target;
    const bool again = failed == next || SameContent(failed, *in_.desired);
    return again && record.failures >= settings_.max_attempts &&
           record.failed_incarnation == state_.incarnation;
  }

  OrderDecision ClaimPermit() const {
    const bool in_service =
        state_.phase == EnginePhase::kReady && !state_.current.draining;
    if (in_service && !in_.capacity_allows) {
      return Wait(WaitReason::kCapacityFloor);
    }
    if (LoadsWeights(state_, *in_.desired) && !in_.load_allowed) {
      return Wait(WaitReason::kWeightStoreLimit);
    }
    if (!in_.permit_free) {
      return Wait(WaitReason::kPermit);
    }
    return Take(OrderStep::kTakePermit);
  }

  // The last order, or a copy of it, may still arrive after `next` is sent and
  // undo it.
  bool MustStayQuiet(const EngineTargetState& next) const {
    if (!in_.record || in_.record->target == next || RefusesLateCopies()) {
      return false;
    }
    return in_.now < in_.quiet_until ||
           in_.observation->requested_at < in_.quiet_until;
  }

  // The engine has recorded the current token and the last generation, so it
  // rejects every order older than the next one. A restart can lose both.
  bool RefusesLateCopies() const {
    return in_.fenced && state_.fence == *in_.authority &&
           state_.generation >= in_.record->generation;
  }

  JournalRecord NewRecord(const EngineTargetState& target) const {
    JournalRecord next = in_.record.value_or(JournalRecord());
    const base::Generation last = std::max(next.generation, state_.generation);
    next = Stamped(next);
    next.generation = last + base::Generation(1);
    next.target = target;
    next.phase = OrderPhase::kIntended;
    next.attempts = 1;
    return next;
  }

  JournalRecord Stamped(JournalRecord record) const {
    record.fence = *in_.authority;
    record.holder = settings_.holder;
    return record;
  }

  const DecisionInputs& in_;
  const DecisionSettings& settings_;
  const EngineState& state_;
};

bool IsAct(OrderStep step) {
  return step == OrderStep::kWriteRecord || step == OrderStep::kSend ||
         step == OrderStep::kTakePermit || step == OrderStep::kReleasePermit ||
         step == OrderStep::kRaiseFence;
}

// Maximum age of the observation for a decision to be used.
base::Duration MaxObservationAge(const OrderDecision& decision,
                                 const DecisionSettings& settings) {
  if (IsAct(decision.step)) {
    return settings.observation_max_age;
  }
  const bool idle = decision.step == OrderStep::kDone ||
                    decision.reason == WaitReason::kNothingIntended ||
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
    case WaitReason::kQuietTime:
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
    case WaitReason::kNothingIntended:
      break;
  }
  return "nothing_intended";
}

OrderDecision Decide(const DecisionInputs& situation,
                     const DecisionSettings& settings) {
  if (!situation.authority) {
    return Wait(WaitReason::kNoAuthority);
  }
  if (!situation.journal_loaded) {
    return situation.journal_unreadable ? Wait(WaitReason::kJournalUnreadable)
                                        : Take(OrderStep::kLoadJournal);
  }
  if (situation.record && situation.record->fence > *situation.authority) {
    return Wait(WaitReason::kFenceBehind);
  }
  if (situation.unreachable_since) {
    const bool due =
        situation.now >= situation.last_read_attempt + settings.idle_interval;
    return due ? Take(OrderStep::kReadBack) : Wait(WaitReason::kUnreachable);
  }
  if (!situation.observation) {
    return Take(OrderStep::kReadBack);
  }
  OrderDecision decision = Decider(situation, settings).Run();
  const base::Duration age =
      situation.now - situation.observation->requested_at;
  const bool too_old = age > MaxObservationAge(decision, settings);
  return too_old ? Take(OrderStep::kReadBack) : decision;
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
