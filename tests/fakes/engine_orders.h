// Order handling of a fake engine: its state, fencing and changes of setup.
//
// Has no clock: time is passed in. The outcome of each order is recorded for
// the journal, which survives simulated crashes.
#ifndef LYNXGLADE_FAKES_ENGINE_ORDERS_H_
#define LYNXGLADE_FAKES_ENGINE_ORDERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "base/units.h"
#include "request/target.h"

namespace lynxglade::fakes {

// Role and model that an engine serves.
struct EngineSetup {
  request::EngineRole role = request::EngineRole::kMixed;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;

  bool operator==(const EngineSetup&) const = default;
};

struct EngineOrder {
  std::string order_id;
  base::FencingToken fence;
  base::Generation generation;
  std::string holder;
  bool draining = false;
  EngineSetup target;
};

enum class EnginePhase { kReady, kChanging, kHalfChanged };
std::string_view ToString(EnginePhase phase) noexcept;

enum class OrderVerdict {
  // Accepted; in effect immediately.
  kAccepted,
  // Accepted; takes the engine out of service first.
  kStarted,
  kStaleFence,
  kStaleGeneration,
  // Another change is in progress.
  kBusy,
  // Requests are running.
  kInFlight,
};
std::string_view ToString(OrderVerdict verdict) noexcept;
bool IsAccepted(OrderVerdict verdict) noexcept;

// A received order and its outcome.
struct OrderRecord {
  EngineOrder order;
  OrderVerdict verdict = OrderVerdict::kAccepted;
  std::int64_t incarnation = 0;
  base::Time received{};
  // When the order took effect; unset for a rejected or interrupted order.
  std::optional<base::Time> in_effect;
  // A crash interrupted the change.
  bool interrupted = false;
  // Effects on the engine; set only for an accepted order that is not a repeat.
  bool took_out_of_service = false;
  bool role_changed = false;
};

// Not thread-safe.
class EngineOrders {
 public:
  struct Settings {
    EngineSetup initial;
    // Rejects orders with a fence below the highest seen.
    bool fenced = true;
    // The highest fence seen survives a crash.
    bool keeps_fence = true;
    base::Duration change_time{};
  };

  explicit EngineOrders(Settings settings);

  // `in_flight` is the number of running and waiting requests.
  OrderVerdict Handle(const EngineOrder& order, int in_flight, base::Time now);
  // Completes a change whose time is over. Returns true when one took effect.
  bool Advance(base::Time now);
  // Postpones the end of the change in progress, e.g. while weights are
  // loading.
  void DelayUntil(base::Time until) noexcept;
  // Resets the state. With `half_changed`, a change in progress leaves the new
  // role with the old model and version.
  void Crash(bool half_changed);

  EnginePhase phase() const noexcept { return phase_; }
  bool draining() const noexcept { return draining_; }
  bool fenced() const noexcept { return settings_.fenced; }
  const EngineSetup& setup() const noexcept { return setup_; }
  // The setup that the change in progress leads to; setup() when there is none.
  const EngineSetup& desired() const noexcept { return desired_; }
  base::Generation generation() const noexcept { return generation_; }
  base::FencingToken fence() const noexcept { return fence_; }
  const std::string& order_id() const noexcept { return order_id_; }
  std::int64_t incarnation() const noexcept { return incarnation_; }
  // Incremented on every change of state.
  std::int64_t seq() const noexcept { return seq_; }
  const std::vector<OrderRecord>& records() const noexcept { return records_; }

 private:
  OrderVerdict Evaluate(const EngineOrder& order, int in_flight) const;
  bool IsRepeat(const EngineOrder& order) const;
  bool NeedsOutage(const EngineOrder& order) const;
  void Accept(const EngineOrder& order);

  Settings settings_;
  EnginePhase phase_ = EnginePhase::kReady;
  bool draining_ = false;
  EngineSetup setup_;
  EngineSetup desired_;
  base::Time change_ends_{};
  std::size_t change_record_ = 0;
  base::Generation generation_;
  base::FencingToken fence_;
  base::FencingToken highest_fence_;
  std::string order_id_;
  std::int64_t incarnation_ = 1;
  std::int64_t seq_ = 1;
  std::vector<OrderRecord> records_;
};

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_ENGINE_ORDERS_H_
