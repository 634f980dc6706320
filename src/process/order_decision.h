// Chooses the next step of an engine's state change: a pure function, no I/O.
//
// The inputs are the desired state, the last journal record, the last observed
// engine state and the current authority. The caller executes the returned
// step, records its result and calls Decide() again. A change that takes the
// engine out of service runs as: take a permit, drain, wait until no request is
// in flight, change, read back, return to service, release the permit. Drain,
// change and return to service are separate orders with their own generations.
// An order is written only after the previous one is observed or failed.
#ifndef LYNXGLADE_PROCESS_ORDER_DECISION_H_
#define LYNXGLADE_PROCESS_ORDER_DECISION_H_

#include <optional>
#include <string_view>

#include "base/time.h"
#include "base/units.h"
#include "connection/engine_admin.h"
#include "process/order_journal.h"

namespace lynxglade::process {

enum class OrderStep {
  // Nothing can be done now; OrderDecision::reason says why.
  kWait,
  // The engine is in its desired state.
  kDone,
  kLoadJournal,
  kReadBack,
  // Acquire or release the permit to take an engine of the service out of
  // service.
  kTakePermit,
  kReleasePermit,
  // Store OrderDecision::record in the journal.
  kWriteRecord,
  // Send the order in OrderDecision::record.
  kSend,
  // Resend the last order under the new fencing token. The engine's state stays
  // the same, but it then rejects orders with an older token.
  kRaiseFence,
};
std::string_view ToString(OrderStep step) noexcept;

// Why a step is OrderStep::kWait.
enum class WaitReason {
  kNone,
  kNoAuthority,
  kJournalUnreadable,
  // The journal or the engine has a greater fencing token than this holder, for
  // example because the revisions of the key-value service went back.
  kFenceBehind,
  kUnreachable,
  // The engine is applying a change.
  kChanging,
  // The engine has to be idle for the next order, and requests are still in
  // flight.
  kInFlight,
  // An order from an earlier holder, or one that was not answered, may still
  // arrive, and the engine would accept it.
  kLateOrder,
  // Other engines hold all permits of the service.
  kPermit,
  // Without this engine, fewer engines would serve than the contracts' shares
  // require.
  kCapacityFloor,
  kWeightStoreLimit,
  kRetryPause,
  // The change failed max_attempts times; an operator has to intervene.
  kIsolated,
  // There is no desired state for the engine.
  kNoDesiredState,
};
std::string_view ToString(WaitReason reason) noexcept;

// State that an engine reported, and when the request for it was sent.
struct EngineObservation {
  connection::EngineState state;
  base::Time requested_at{};
};

// The last order that this process sent to the engine.
struct SentOrder {
  base::Generation generation;
  base::FencingToken fence;
  int attempt = 0;
  // The engine accepted the order.
  bool accepted = false;
  // When the call returned.
  base::Time returned_at{};
};

// Inputs of Decide().
struct DecisionInputs {
  base::Time now{};
  // Fencing token for orders; empty while this instance must not send any.
  std::optional<base::FencingToken> authority;
  bool journal_loaded = false;
  bool journal_unreadable = false;
  std::optional<JournalRecord> record;
  std::optional<EngineObservation> observation;
  // Set while reads of the engine's state fail: when the first of them was
  // sent.
  std::optional<base::Time> unreachable_since;
  base::Time last_read_attempt{};
  std::optional<SentOrder> sent;
  std::optional<connection::EngineTargetState> desired;
  // The engine rejects orders with an older fencing token or generation.
  bool fenced = false;
  // An earlier order may still arrive at the engine before this time.
  base::Time late_orders_until{};
  bool permit_held = false;
  bool permit_free = false;
  // The service keeps its capacity floor without this engine.
  bool capacity_allows = false;
  // The rate limit of the weight store permits another load now.
  bool load_allowed = false;
};

struct DecisionSettings {
  base::InstanceId holder;
  // An observation older than this is refreshed before a step with side
  // effects.
  base::Duration observation_max_age = std::chrono::seconds(1);
  // Read-back interval while a change is in progress.
  base::Duration busy_interval = std::chrono::milliseconds(500);
  // Read-back interval while there is nothing to do for the engine.
  base::Duration idle_interval = std::chrono::seconds(5);
  // Minimum time between two attempts of one order.
  base::Duration retry_pause = std::chrono::seconds(1);
  // Maximum attempts of one order, and of failed changes to the same content
  // before the engine is isolated.
  int max_attempts = 3;
};

struct OrderDecision {
  OrderStep step = OrderStep::kWait;
  WaitReason reason = WaitReason::kNone;
  // kWriteRecord: the record to store; its write id is not set yet. kSend,
  // kRaiseFence: the order to send.
  std::optional<JournalRecord> record;
  // Whether the step makes the engine load weights.
  bool loads_weights = false;
};

// Thread-safe.
OrderDecision Decide(const DecisionInputs& inputs,
                     const DecisionSettings& settings);

// Whether `order` may be sent, given the state that the engine reported on the
// same connection. A change that needs the engine out of service is allowed
// only while the engine is idle and either drained or left half changed.
bool MayApply(const connection::EngineOrder& order,
              const connection::EngineState& state) noexcept;

// Whether a change from `state` to `target` makes the engine load weights.
bool LoadsWeights(const connection::EngineState& state,
                  const connection::EngineTargetState& target) noexcept;

// Whether the engine is ready and in the state `target`.
bool Matches(const connection::EngineState& state,
             const connection::EngineTargetState& target) noexcept;

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ORDER_DECISION_H_
