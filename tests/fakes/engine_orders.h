// The order side of a stand-in engine: its state, its fence, its changes.
//
// Pure: time is handed in, and what happened to each order is kept for the
// journal, over simulated crashes too.
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

// What an engine serves.
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
  // In effect at once.
  kAccepted,
  // Accepted; takes the engine out of service first.
  kStarted,
  kStaleFence,
  kStaleGeneration,
  // Another change is under way.
  kBusy,
  // Requests are running.
  kInFlight,
};
std::string_view ToString(OrderVerdict verdict) noexcept;
bool IsAccepted(OrderVerdict verdict) noexcept;

// One order as it came, and what became of it.
struct OrderRecord {
  EngineOrder order;
  OrderVerdict verdict = OrderVerdict::kAccepted;
  std::int64_t incarnation = 0;
  base::Time received{};
  // When the ordered state held; never set for a refused or interrupted one.
  std::optional<base::Time> in_effect;
  // A crash interrupted the change.
  bool interrupted = false;
  // What it did to the engine, when it was accepted and no repeat.
  bool took_out_of_service = false;
  bool role_changed = false;
};

// Not thread-safe.
class EngineOrders {
 public:
  struct Settings {
    EngineSetup initial;
    // Refuses fences below the highest seen; otherwise takes any order.
    bool fenced = true;
    // The highest fence outlives a crash.
    bool keeps_fence = true;
    base::Duration change_time{};
  };

  explicit EngineOrders(Settings settings);

  // `in_flight` is the number of requests that run or wait.
  OrderVerdict Handle(const EngineOrder& order, int in_flight, base::Time now);
  // Ends a change whose time is over. Returns true when one took effect.
  bool Advance(base::Time now);
  // Puts off the end of the change under way, as when weights come late.
  void DelayUntil(base::Time until) noexcept;
  // Loses the state. With `half_changed`, a change under way leaves the new
  // role beside the old model and version.
  void Crash(bool half_changed);

  EnginePhase phase() const noexcept { return phase_; }
  bool draining() const noexcept { return draining_; }
  bool fenced() const noexcept { return settings_.fenced; }
  const EngineSetup& setup() const noexcept { return setup_; }
  // What a change under way leads to; the setup when there is none.
  const EngineSetup& goal() const noexcept { return goal_; }
  base::Generation generation() const noexcept { return generation_; }
  base::FencingToken fence() const noexcept { return fence_; }
  const std::string& order_id() const noexcept { return order_id_; }
  std::int64_t incarnation() const noexcept { return incarnation_; }
  // Rises with every change of the state.
  std::int64_t seq() const noexcept { return seq_; }
  const std::vector<OrderRecord>& records() const noexcept { return records_; }

 private:
  OrderVerdict Judge(const EngineOrder& order, int in_flight) const;
  bool IsRepeat(const EngineOrder& order) const;
  bool NeedsOutage(const EngineOrder& order) const;
  void Accept(const EngineOrder& order);

  Settings settings_;
  EnginePhase phase_ = EnginePhase::kReady;
  bool draining_ = false;
  EngineSetup setup_;
  EngineSetup goal_;
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
