// What to do next about one engine: a pure decision.
//
// It sees what is intended, what the journal says was ordered, what the engine
// last said of itself, and the authority at hand, and names one step. The
// owner takes the step, keeps its result and asks again. A change goes: permit,
// drain, empty engine on evidence, change, read back, return to service. Each
// of these is an order of its own, with its own generation, and the next one
// waits until the last one's outcome is observed or given up.
#ifndef LYNXGLADE_PROCESS_ORDER_EXECUTOR_H_
#define LYNXGLADE_PROCESS_ORDER_EXECUTOR_H_

#include <optional>
#include <string_view>

#include "base/time.h"
#include "base/units.h"
#include "connection/engine_admin.h"
#include "process/order_journal.h"

namespace lynxglade::process {

enum class OrderStep {
  // Nothing to do now; see the reason.
  kWait,
  // The engine is what it should be.
  kDone,
  kLoadJournal,
  kReadBack,
  // Take or give back the right to have an engine of the service out.
  kTakePermit,
  kReleasePermit,
  // Store OrderDecision::record.
  kWriteRecord,
  // Give the order that OrderDecision::record holds.
  kSend,
  // Repeat the last order under the new fencing token; it changes nothing but
  // the oldest token that the engine takes.
  kRaiseFence,
};
std::string_view ToString(OrderStep step) noexcept;

// Why nothing moves.
enum class WaitReason {
  kNone,
  kNoAuthority,
  kJournalUnreadable,
  // The service's revisions went back: the journal knows a greater token.
  kFenceBehind,
  kUnreachable,
  // The engine is in the middle of a change.
  kChanging,
  // Drained, requests still running.
  kInFlight,
  // An order of an earlier holder, or one without an answer, may still arrive
  // at an engine that would take it.
  kQuietTime,
  // The service's permits are taken by other engines.
  kPermit,
  // Taking the engine out would leave less than the contracts' shares.
  kCapacityFloor,
  kWeightStoreLimit,
  kRetryPause,
  // Given up after bounded attempts; an operator has to look.
  kIsolated,
  // No model is intended for it.
  kNothingIntended,
};
std::string_view ToString(WaitReason reason) noexcept;

// What an engine said, and when it was asked.
struct EngineEvidence {
  connection::EngineState state;
  base::Time requested_at{};
};

// The last order that this process sent to the engine.
struct SentOrder {
  base::Generation generation;
  base::FencingToken fence;
  int attempt = 0;
  // The engine said that it took it.
  bool accepted = false;
  // When the call came back.
  base::Time done_at{};
};

// Everything the decision depends on.
struct OrderSituation {
  base::Time now{};
  // The token orders may carry now.
  std::optional<base::FencingToken> authority;
  bool journal_loaded = false;
  bool journal_unreadable = false;
  std::optional<JournalRecord> record;
  std::optional<EngineEvidence> evidence;
  // The last try to read the engine gave nothing.
  std::optional<base::Time> unreachable_since;
  base::Time last_read_attempt{};
  std::optional<SentOrder> sent;
  std::optional<connection::EngineTargetState> desired;
  // The engine refuses old fencing tokens and generations.
  bool fenced = false;
  // Until then an earlier order may still arrive.
  base::Time quiet_until{};
  bool permit_held = false;
  bool permit_free = false;
  // The service can spare this engine.
  bool capacity_allows = false;
  // The weight store takes another load now.
  bool load_allowed = false;
};

struct ExecutorSettings {
  base::InstanceId holder;
  // Evidence older than this is renewed before an act.
  base::Duration evidence_max_age = std::chrono::seconds(1);
  // How often an engine that is waited for is read back.
  base::Duration busy_interval = std::chrono::milliseconds(500);
  // How often one that needs nothing is.
  base::Duration idle_interval = std::chrono::seconds(5);
  // Least time between copies of one order.
  base::Duration retry_pause = std::chrono::seconds(1);
  // Copies of one order, and failed changes to one content.
  int max_attempts = 3;
};

struct OrderDecision {
  OrderStep step = OrderStep::kWait;
  WaitReason reason = WaitReason::kNone;
  // kWriteRecord: what to store, less the mark. kSend, kRaiseFence: the order.
  std::optional<JournalRecord> record;
  // The step makes the engine load weights.
  bool loads_weights = false;
};

// Thread-safe.
OrderDecision Decide(const OrderSituation& situation,
                     const ExecutorSettings& settings);

// Whether an order may be written now, given what the engine says on the
// order's own connection: only an empty engine that takes no work is changed.
bool MayApply(const connection::EngineOrder& order,
              const connection::EngineState& state) noexcept;

// Whether going from `state` to `target` makes the engine load weights.
bool LoadsWeights(const connection::EngineState& state,
                  const connection::EngineTargetState& target) noexcept;

// Whether the engine is what `target` says, and not in between.
bool Matches(const connection::EngineState& state,
             const connection::EngineTargetState& target) noexcept;

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ORDER_EXECUTOR_H_
