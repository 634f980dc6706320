#include "planner/policies.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <numeric>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace lynxglade::bench {

namespace {

using process::RoleCounts;
using process::ServedFraction;
using process::TokenDemand;
using request::EngineRole;

constexpr std::array kRoles = {EngineRole::kPrefill, EngineRole::kDecode,
                               EngineRole::kMixed};
constexpr double kFollowedSeconds = 60;
// Usable fraction of the rates that the baselines assume, as the planner does.
constexpr double kUsable = 0.95;
// Minimum gain for which the oracle makes a change, so that ties keep the
// split.
constexpr double kMinGain = 1e-6;

base::Duration FromSeconds(double s) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(s));
}

process::EngineRates Usable(process::EngineRates rates,
                            double usable = kUsable) {
  rates.prefill_tokens_per_s *= usable;
  rates.decode_tokens_per_s *= usable;
  return rates;
}

std::vector<RoleCounts> AllSplits(int engines) {
  std::vector<RoleCounts> splits;
  for (int prefill = 0; prefill <= engines; ++prefill) {
    for (int decode = 0; decode + prefill <= engines; ++decode) {
      splits.push_back({prefill, decode, engines - prefill - decode});
    }
  }
  return splits;
}

int Distance(const RoleCounts& a, const RoleCounts& b) {
  return (std::abs(a.prefill - b.prefill) + std::abs(a.decode - b.decode) +
          std::abs(a.mixed - b.mixed)) /
         2;
}

// Returns a change that leads from one split towards another.
std::optional<Change> ChangeTowards(const RoleCounts& from,
                                    const RoleCounts& to) {
  const auto surplus = [&](EngineRole role) {
    return from.Of(role) - to.Of(role);
  };
  const EngineRole giver = *std::ranges::max_element(kRoles, {}, surplus);
  const EngineRole taker = *std::ranges::min_element(kRoles, {}, surplus);
  if (surplus(giver) <= 0) {
    return std::nullopt;
  }
  return Change{giver, taker};
}

// The mean mix that the trace is drawn from.
TokenDemand MeanDemand(const Workload& workload, double at_s) {
  const double ratio = RatioAt(workload, FromSeconds(at_s));
  const double tokens = workload.requests_per_s * (1 - workload.plain_share) *
                        workload.tokens_mean;
  return {tokens * ratio / (1 + ratio), tokens / (1 + ratio)};
}

// The engines as input of the planner.
std::vector<process::PlannedEngine> MakeFleet(const RoleCounts& counts) {
  std::vector<process::PlannedEngine> fleet;
  for (const EngineRole role : kRoles) {
    for (int i = 0; i < counts.Of(role); ++i) {
      process::PlannedEngine engine;
      engine.id = base::TargetId("engine-" + std::to_string(fleet.size()));
      engine.role = role;
      fleet.push_back(engine);
    }
  }
  return fleet;
}

// Best sequences of changes from every split at every step of a run.
class ChangePlan {
 public:
  ChangePlan(const FluidOptions& fluid,
             const Workload& workload,
             double length_s,
             const OracleOptions& options)
      : step_s_(fluid.out_of_service_s),
        price_(options.price_s / step_s_ + kMinGain),
        splits_(AllSplits(fluid.initial.total())) {
    const auto steps = static_cast<std::size_t>(std::ceil(length_s / step_s_));
    plan_.resize(steps);
    std::map<std::pair<int, int>, double> later;
    for (std::size_t i = steps; i-- > 0;) {
      const double middle_s = (static_cast<double>(i) + 0.5) * step_s_;
      later = Solve(Usable(fluid.rates, options.usable),
                    MeanDemand(workload, middle_s), later, &plan_[i]);
    }
  }

  std::optional<Change> At(double now_s, const RoleCounts& counts) const {
    const auto step = static_cast<std::size_t>(now_s / step_s_);
    if (step >= plan_.size()) {
      return std::nullopt;
    }
    const auto it = plan_[step].find(Key(counts));
    return it == plan_[step].end() ? std::nullopt : it->second;
  }

  double step_s() const noexcept { return step_s_; }

 private:
  using Values = std::map<std::pair<int, int>, double>;
  using Choices = std::map<std::pair<int, int>, std::optional<Change>>;

  static std::pair<int, int> Key(const RoleCounts& counts) {
    return {counts.prefill, counts.decode};
  }

  Values Solve(const process::EngineRates& rates,
               const TokenDemand& demand,
               const Values& later,
               Choices* choices) const {
    const auto value_after = [&](const RoleCounts& counts) {
      const auto it = later.find(Key(counts));
      return it == later.end() ? 0.0 : it->second;
    };
    Values values;
    for (const RoleCounts& split : splits_) {
      double best = ServedFraction(rates, split, demand) + value_after(split);
      std::optional<Change> choice;
      for (const EngineRole from : kRoles) {
        if (split.Of(from) == 0) {
          continue;
        }
        RoleCounts during = split;
        --during.Of(from);
        const double served = ServedFraction(rates, during, demand);
        for (const EngineRole to : kRoles) {
          RoleCounts after = during;
          ++after.Of(to);
          const double value = served + value_after(after) - price_;
          if (to != from && value > best) {
            best = value;
            choice = Change{from, to};
          }
        }
      }
      values[Key(split)] = best;
      (*choices)[Key(split)] = choice;
    }
    return values;
  }

  double step_s_;
  double price_;
  std::vector<RoleCounts> splits_;
  std::vector<Choices> plan_;
};

}  // namespace

Policy NeverChange() {
  return [](const FluidService&, const Offered&,
            double) -> std::optional<Change> { return std::nullopt; };
}

Policy Planner(const FluidOptions& fluid,
               const process::RolePlannerOptions& options) {
  struct State {
    base::Time now{};
    std::optional<process::RolePlanner> planner;
    std::vector<process::PlannedEngine> fleet;
  };
  auto state = std::make_shared<State>();
  state->fleet = MakeFleet(fluid.initial);
  process::RolePlannerFault fault = process::RolePlannerFault::kNone;
  state->planner = process::RolePlanner::Create(
      options, [weak = std::weak_ptr(state)] { return weak.lock()->now; },
      &fault);
  return [state, fluid](const FluidService& service, const Offered& offered,
                        double step_s) -> std::optional<Change> {
    state->now += FromSeconds(step_s);
    process::ContractDemand demand;
    demand.prefill = base::Tokens(std::llround(offered.prefill_tokens));
    demand.decode = base::Tokens(std::llround(offered.decode_tokens));
    demand.worth = base::Worth(offered.worth);
    state->planner->Observe({demand}, FromSeconds(step_s), fluid.rates,
                            fluid.initial.total());
    if (!service.changing()) {
      // The engine that was changing is back, in its new role.
      std::ranges::for_each(state->fleet, [&](process::PlannedEngine& it) {
        if (it.state == request::TargetState::kChanging) {
          it.state = request::TargetState::kServing;
          it.role = state->planner->requested_roles().at(it.id);
        }
      });
    }
    const process::RoleDecision decision =
        state->planner->Decide(fluid.rates, state->fleet);
    if (decision.reason != process::RoleReason::kChange) {
      return std::nullopt;
    }
    std::ranges::find(state->fleet, decision.move->engine,
                      &process::PlannedEngine::id)
        ->state = request::TargetState::kChanging;
    return Change{decision.move->from, decision.move->to};
  };
}

Policy FollowLastMinute(const FluidOptions& fluid) {
  struct State {
    std::deque<std::pair<Offered, double>> samples;
    double seconds = 0;
  };
  auto state = std::make_shared<State>();
  return [state, fluid, splits = AllSplits(fluid.initial.total())](
             const FluidService& service, const Offered& offered,
             double step_s) -> std::optional<Change> {
    state->samples.emplace_back(offered, step_s);
    state->seconds += step_s;
    while (state->seconds > kFollowedSeconds) {
      state->seconds -= state->samples.front().second;
      state->samples.pop_front();
    }
    if (service.changing()) {
      return std::nullopt;
    }
    const TokenDemand demand = std::accumulate(
        state->samples.begin(), state->samples.end(), TokenDemand{},
        [&](TokenDemand sum, const auto& it) {
          sum.prefill += it.first.prefill_tokens / state->seconds;
          sum.decode += it.first.decode_tokens / state->seconds;
          return sum;
        });
    const auto rank = [&](const RoleCounts& split) {
      return std::pair(ServedFraction(Usable(fluid.rates), split, demand),
                       -Distance(service.counts(), split));
    };
    return ChangeTowards(service.counts(),
                         *std::ranges::max_element(splits, {}, rank));
  };
}

Policy Oracle(const FluidOptions& fluid,
              const Workload& workload,
              double length_s,
              const OracleOptions& options) {
  auto plan =
      std::make_shared<const ChangePlan>(fluid, workload, length_s, options);
  auto next_s = std::make_shared<double>(0);
  return [plan, next_s](const FluidService& service, const Offered&,
                        double) -> std::optional<Change> {
    if (service.changing() || service.now_s() < *next_s) {
      return std::nullopt;
    }
    *next_s = service.now_s() + plan->step_s();
    return plan->At(service.now_s(), service.counts());
  };
}

RoleCounts BestFixedSplit(const FluidOptions& fluid,
                          const Workload& workload,
                          double length_s) {
  const auto served = [&](const RoleCounts& split) {
    double sum = 0;
    for (double at_s = 0; at_s < length_s; at_s += 1) {
      sum += ServedFraction(Usable(fluid.rates), split,
                            MeanDemand(workload, at_s));
    }
    return sum;
  };
  const std::vector<RoleCounts> splits = AllSplits(fluid.initial.total());
  return *std::ranges::max_element(splits, {}, served);
}

}  // namespace lynxglade::bench
