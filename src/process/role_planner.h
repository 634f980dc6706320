// Decides which engine should change its role, if any.
//
// For one service. From the tokens that callers offer it estimates prefill and
// decode demand with their uncertainty, weighs every single change of role by
// the worth that it is expected to win over the horizon, and asks for one only
// when that beats what the change costs: the time out of service, its price,
// and the risk of having to change back. docs/notes/role-planner.md gives the
// reasons and the measurements.
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
  // Price of a change in units of worth, on top of what is lost while the
  // engine is out; 0 or more.
  base::Worth price{1};
  // Time that an engine gives no service for a change, its drain included.
  base::Duration out_of_service = std::chrono::seconds(10);
  // How far ahead a change has to pay for itself; longer than out_of_service.
  base::Duration horizon = std::chrono::seconds(60);
  // How much longer a change is expected to stand when demand goes on as it
  // was over `history`; what it would win or lose then counts as well.
  base::Duration tail = std::chrono::seconds(60);
  base::Duration history = std::chrono::minutes(8);
  // Least time from the end of a change to the next.
  base::Duration cool_down = std::chrono::seconds(0);
  // A wish that has not come true after this is withdrawn.
  base::Duration give_up_after = std::chrono::minutes(5);
  // Nothing is changed before demand has been observed for this long.
  base::Duration least_observed = std::chrono::seconds(20);
  base::Duration fast_window = std::chrono::seconds(10);
  base::Duration slow_window = std::chrono::seconds(40);
  base::Duration trend_life = std::chrono::seconds(20);
  // Engines that a change leaves in the role it takes from; 1 or more.
  int least_per_role = 1;
  // Standard deviations by which the expected net gain must exceed zero.
  double confidence = 2.0;
  // Part of an engine's rate that is counted on: queues grow without bound
  // when all of it is used. 0 < usable <= 1.
  double usable = 0.95;
};

enum class RolePlannerFault {
  kNone,
  kPrice,
  kHorizon,
  kWindows,
  kHistory,
  kLeastPerRole,
  kConfidence,
  kUsable,
};
std::string_view ToString(RolePlannerFault fault) noexcept;

// What one contract's callers offered in an interval, served or not.
struct ContractDemand {
  base::ContractId contract;
  // Its share of the service's fleet, 0 to 1.
  double share = 1;
  // Prompt tokens without those found in prefix caches, and output tokens.
  base::Tokens prefill{0};
  base::Tokens decode{0};
  base::Worth worth{0};
};

// One engine as the planner sees it.
struct PlannedEngine {
  base::TargetId id;
  base::ZoneId zone;
  request::EngineRole role = request::EngineRole::kMixed;
  request::TargetState state = request::TargetState::kServing;
  // Whether it refuses orders with an old fencing token.
  bool fenced = true;
  // Requests under way at it, as last known.
  int running = 0;
  // Whether this planner may change it; others count, but are left alone.
  bool movable = true;
};

struct RoleMove {
  base::TargetId engine;
  request::EngineRole from = request::EngineRole::kMixed;
  request::EngineRole to = request::EngineRole::kMixed;
};

enum class RoleReason {
  kChange,          // the change pays
  kTooFewSamples,   // demand has not been observed for long enough
  kChangeUnderWay,  // an engine is draining or changing
  kCoolDown,        // the last change ended a moment ago
  kGaveUp,          // the last wish did not come true in time: withdrawn
  kNoMove,          // no role can spare an engine
  kNoGain,          // no change would serve more
  kBelowCost,       // the best change would not pay for itself
  kUncertain,       // it might, but demand is too uncertain to say
};
std::string_view ToString(RoleReason reason) noexcept;

struct RoleDecision {
  RoleReason reason = RoleReason::kTooFewSamples;
  // The best change that was weighed: to be made with kChange, else for
  // operators to see.
  std::optional<RoleMove> move;
  // Of that change, in worth over the horizon: won by serving more, lost
  // otherwise, and the standard deviation of the difference.
  base::Worth gain{0};
  base::Worth cost{0};
  base::Worth deviation{0};
};

// Not thread-safe. Nothing blocks.
class RolePlanner {
 public:
  // Checks the options. On failure returns nothing and says what is wrong.
  static std::optional<RolePlanner> Create(const RolePlannerOptions& options,
                                           base::Clock clock,
                                           RolePlannerFault* last_fault);

  // Takes what was offered over the last `over` (positive). `rates` and
  // `engines` bound what a contract can count beyond its share.
  void Observe(const std::vector<ContractDemand>& contracts,
               base::Duration over,
               const EngineRates& rates,
               int engines);

  // Weighs all changes and, when one pays, adds it to the wishes. Call every
  // second or so.
  RoleDecision Decide(const EngineRates& rates,
                      const std::vector<PlannedEngine>& fleet);

  // Drops all wishes, as when others have come to decide; what was learnt of
  // demand stays.
  void ForgetWishes() noexcept;

  // The roles wished for; engines not named keep theirs.
  const std::map<base::TargetId, request::EngineRole>& wishes() const noexcept {
    return wishes_;
  }

  // Demand `ahead` from now as estimated; for operators and tests.
  Estimate PrefillAt(base::Duration ahead) const noexcept {
    return prefill_.At(ahead);
  }
  Estimate DecodeAt(base::Duration ahead) const noexcept {
    return decode_.At(ahead);
  }

 private:
  // One change of role by number of engines, and what it is worth.
  struct Valuation {
    request::EngineRole from;
    request::EngineRole to;
    double gain = 0;
    double cost = 0;
    double deviation = 0;

    double net() const noexcept { return gain - cost; }
  };

  // The same for one course of demand, in worth over the horizon.
  struct PointValue {
    double net = 0;
    // Lost while the engine is out; part of `net`.
    double out_loss = 0;
    // Served part with the change less without, at the horizon.
    double last_difference = 0;
  };

  // What a split would have changed over the history.
  struct HistoryValue {
    // Mean of the served part with the change less without.
    double mean_difference = 0;
    // Part of the time in which it would have served less.
    double worse_part = 0;
  };

  // Mean demand over a few seconds of the past.
  struct PastDemand {
    TokenDemand demand;
    base::Duration over{};
  };

  RolePlanner(const RolePlannerOptions& options, base::Clock clock);

  void Remember(const TokenDemand& demand, base::Duration over);
  HistoryValue ValueOverHistory(const EngineRates& rates,
                                const RoleCounts& before,
                                const RoleCounts& after) const;
  std::optional<RoleReason> Hold(const std::vector<PlannedEngine>& fleet);
  // Whether the last wish is still to come true.
  bool Pending(const std::vector<PlannedEngine>& fleet);
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
  std::map<base::TargetId, request::EngineRole> wishes_;
  std::optional<RoleMove> pending_;
  base::Time pending_since_{};
  std::optional<base::Time> last_change_;
};

// Demand that counts when contracts ask for more than the engines can do: each
// up to its share, and what others leave unused in proportion to the excess.
TokenDemand CountedDemand(const std::vector<ContractDemand>& contracts,
                          base::Duration over,
                          const EngineRates& rates,
                          int engines) noexcept;

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ROLE_PLANNER_H_
