// Plans changes of engine roles for one service.
//
// From the offered tokens it estimates prefill and decode demand with their
// uncertainty. It values every possible change of one engine's role by the
// worth gained over the horizon and requests one only if the gain exceeds the
// cost: the time out of service, the price of a change and the risk of having
// to revert it. See docs/design/role-planner.md for the model.
#ifndef LYNXGLADE_PROCESS_ROLE_PLANNER_H_
#define LYNXGLADE_PROCESS_ROLE_PLANNER_H_

#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "process/demand_estimator.h"
#include "process/role_model.h"
#include "request/target.h"

namespace lynxglade::process {

struct RolePlannerOptions {
  // Price of a change in units of worth, in addition to the loss while the
  // engine is out of service; 0 or more.
  base::Worth price{1};
  // Time that an engine is out of service for a change, including its drain.
  base::Duration out_of_service = std::chrono::seconds(10);
  // Time over which the gain of a change is compared with its cost; longer than
  // out_of_service.
  base::Duration horizon = std::chrono::seconds(60);
  // Time after the horizon for which a change is also valued, by its mean
  // effect on the demand of the past `history`.
  base::Duration tail = std::chrono::seconds(60);
  base::Duration history = std::chrono::minutes(8);
  // Minimum time from the end of a change to the next.
  base::Duration cool_down = std::chrono::seconds(0);
  // A requested change that is not complete after this is withdrawn.
  base::Duration change_timeout = std::chrono::minutes(5);
  // No change is requested before demand has been observed for this long.
  base::Duration min_observed = std::chrono::seconds(20);
  base::Duration fast_window = std::chrono::seconds(10);
  base::Duration slow_window = std::chrono::seconds(40);
  base::Duration trend_decay = std::chrono::seconds(20);
  // Minimum number of engines that a change leaves in the old role; 1 or more.
  int min_per_role = 1;
  // Standard deviations by which the expected net gain must exceed zero.
  double confidence = 2.0;
  // Fraction of an engine's rate that the plan uses; at full utilisation queues
  // would grow without bound. 0 < usable <= 1.
  double usable = 0.95;
};

enum class RolePlannerFault {
  kNone,
  kPrice,
  kHorizon,
  kWindows,
  kHistory,
  kMinPerRole,
  kConfidence,
  kUsable,
};
std::string_view ToString(RolePlannerFault fault) noexcept;

// Demand offered under one contract in an interval, whether served or not.
struct ContractDemand {
  base::ContractId contract;
  // The contract's share of the service's fleet, 0 to 1.
  double share = 1;
  // Prompt tokens without prefix cache hits, and output tokens.
  base::Tokens prefill{0};
  base::Tokens decode{0};
  base::Worth worth{0};
};

// Input about one engine.
struct PlannedEngine {
  base::TargetId id;
  base::ZoneId zone;
  request::EngineRole role = request::EngineRole::kMixed;
  request::TargetState state = request::TargetState::kServing;
  // Whether it rejects orders with an old fencing token.
  bool fenced = true;
  // Number of requests in flight, as last reported.
  int running = 0;
  // Whether this planner may change it. Engines that it may not change still
  // count towards capacity.
  bool movable = true;
};

struct RoleMove {
  base::TargetId engine;
  request::EngineRole from = request::EngineRole::kMixed;
  request::EngineRole to = request::EngineRole::kMixed;
};

enum class RoleReason {
  kChange,            // a change is requested
  kTooFewSamples,     // demand not observed for long enough
  kChangeInProgress,  // a change or a drain is in progress
  kCoolDown,          // less than cool_down since the last change
  kTimedOut,          // the last change timed out and was withdrawn
  kNoMove,            // no role has an engine to spare
  kNoGain,            // no change would serve more
  kBelowCost,         // the gain of the best change is below its cost
  kUncertain,         // the net gain is within the uncertainty
};
std::string_view ToString(RoleReason reason) noexcept;

struct RoleDecision {
  RoleReason reason = RoleReason::kTooFewSamples;
  // The best change found. It is requested only with RoleReason::kChange;
  // otherwise it is for information.
  std::optional<RoleMove> move;
  // Of that change, in worth: gain from serving more, cost, and standard
  // deviation of the gain.
  base::Worth gain{0};
  base::Worth cost{0};
  base::Worth deviation{0};
};

// Not thread-safe. Does not block.
class RolePlanner {
 public:
  // Validates the options. On failure returns nothing and sets `fault`.
  static std::optional<RolePlanner> Create(const RolePlannerOptions& options,
                                           base::Clock clock,
                                           RolePlannerFault* fault);

  // Adds the demand offered over the last `over` (positive). `rates` and
  // `engines` limit how much of a contract's demand above its share counts.
  void Observe(const std::vector<ContractDemand>& contracts,
               base::Duration over,
               const EngineRates& rates,
               int engines);

  // Values all possible changes and adds the best to requested_roles() if it
  // pays. Call about once a second.
  RoleDecision Decide(const EngineRates& rates,
                      const std::vector<PlannedEngine>& fleet);

  // Clears requested_roles(), for example when another instance plans. Demand
  // estimates are kept.
  void ClearRequestedRoles() noexcept;

  // Requested roles; engines not in the map keep theirs.
  const std::map<base::TargetId, request::EngineRole>& requested_roles()
      const noexcept {
    return requested_roles_;
  }

  // Estimated demand at `ahead` from now, in tokens per second.
  Estimate PrefillAt(base::Duration ahead) const noexcept {
    return prefill_.At(ahead);
  }
  Estimate DecodeAt(base::Duration ahead) const noexcept {
    return decode_.At(ahead);
  }

 private:
  // A change of one engine's role and its value in worth.
  struct Valuation {
    request::EngineRole from;
    request::EngineRole to;
    double gain = 0;
    double cost = 0;
    double deviation = 0;

    double net() const noexcept { return gain - cost; }
  };

  // Value of a change for one demand scenario, in worth over the horizon.
  struct PointValue {
    double net = 0;
    // Loss while the engine is out of service; included in `net`.
    double outage_loss = 0;
    // Served fraction with the change minus without it, at the end of the
    // horizon.
    double last_difference = 0;
  };

  // Effect that a change would have had on the demand in the history.
  struct HistoryValue {
    // Mean of the served fraction with the change minus without it.
    double mean_difference = 0;
    // Fraction of the time in which it would have served less.
    double worse_fraction = 0;
  };

  // Mean demand over one interval of the history.
  struct PastDemand {
    TokenDemand demand;
    base::Duration over{};
  };

  RolePlanner(const RolePlannerOptions& options, base::Clock clock);

  void AddToHistory(const TokenDemand& demand, base::Duration over);
  HistoryValue ValueOverHistory(const EngineRates& rates,
                                const RoleCounts& before,
                                const RoleCounts& after) const;
  std::optional<RoleReason> BlockingReason(
      const std::vector<PlannedEngine>& fleet);
  // Checks the last requested change against the fleet; returns whether it is
  // still in progress.
  bool UpdatePending(const std::vector<PlannedEngine>& fleet);
  Valuation Value(const EngineRates& rates,
                  const RoleCounts& counts,
                  request::EngineRole from,
                  request::EngineRole to) const;
  PointValue ValueAt(const EngineRates& rates,
                     const RoleCounts& before,
                     const RoleCounts& during,
                     const RoleCounts& after,
                     double prefill_offset,
                     double decode_offset) const;

  RolePlannerOptions options_;
  base::Clock clock_;
  DemandEstimator prefill_;
  DemandEstimator decode_;
  DemandEstimator worth_;
  std::deque<PastDemand> history_;
  std::map<base::TargetId, request::EngineRole> requested_roles_;
  std::optional<RoleMove> pending_;
  base::Time pending_since_{};
  std::optional<base::Time> last_change_;
};

// Demand to plan for when contracts ask for more than the engines can serve, in
// tokens per second: each contract up to its share, plus unused capacity in
// proportion to the excess.
TokenDemand CountedDemand(const std::vector<ContractDemand>& contracts,
                          base::Duration over,
                          const EngineRates& rates,
                          int engines) noexcept;

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ROLE_PLANNER_H_
