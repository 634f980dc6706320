#include "process/role_planner.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <iterator>
#include <numeric>
#include <tuple>
#include <utility>

namespace lynxglade::process {

namespace {

using request::EngineRole;
using request::TargetState;

constexpr std::array kRoles = {EngineRole::kPrefill, EngineRole::kDecode,
                               EngineRole::kMixed};

constexpr base::Duration kHistoryStep = std::chrono::seconds(5);

// Number of points of the horizon at which a change is valued.
constexpr int kTimePoints = 8;

// Gauss-Hermite quadrature of a normal distribution with three nodes: exact
// for polynomials up to the fifth degree.
struct Node {
  double offset;  // in standard deviations
  double weight;
};
constexpr std::array kNodes = {Node{-1.7320508075688772, 1.0 / 6},
                               Node{0, 2.0 / 3},
                               Node{1.7320508075688772, 1.0 / 6}};

double Seconds(base::Duration d) {
  return std::chrono::duration<double>(d).count();
}

bool IsOut(const PlannedEngine& engine) {
  return engine.state == TargetState::kDraining ||
         engine.state == TargetState::kChanging;
}

RoleCounts CountServing(const std::vector<PlannedEngine>& fleet) {
  RoleCounts counts;
  std::ranges::for_each(fleet, [&](const PlannedEngine& engine) {
    if (engine.state == TargetState::kServing) {
      ++counts.Of(engine.role);
    }
  });
  return counts;
}

bool CanSpare(const std::vector<PlannedEngine>& fleet, EngineRole role) {
  return std::ranges::any_of(fleet, [&](const PlannedEngine& engine) {
    return engine.movable && engine.role == role &&
           engine.state == TargetState::kServing;
  });
}

// The engine whose change disturbs least: preferably one that checks fencing
// tokens, then in the zone with the most engines of the role, then with the
// fewest requests in flight.
base::TargetId PickEngine(const std::vector<PlannedEngine>& fleet,
                          EngineRole role) {
  const auto in_role = [&](const PlannedEngine& engine) {
    return engine.role == role && engine.state == TargetState::kServing;
  };
  std::map<base::ZoneId, int> by_zone;
  std::ranges::for_each(fleet, [&](const PlannedEngine& engine) {
    by_zone[engine.zone] += in_role(engine) ? 1 : 0;
  });
  const auto rank = [&](const PlannedEngine& engine) {
    return std::tuple(!in_role(engine) || !engine.movable, !engine.fenced,
                      -by_zone[engine.zone], engine.running, engine.id);
  };
  return std::ranges::min_element(fleet, {}, rank)->id;
}

RolePlannerFault Check(const RolePlannerOptions& options) {
  if (!(options.price.value() >= 0)) {
    return RolePlannerFault::kPrice;
  }
  if (options.horizon <= options.out_of_service) {
    return RolePlannerFault::kHorizon;
  }
  if (options.fast_window <= base::Duration::zero() ||
      options.slow_window <= options.fast_window ||
      options.trend_decay <= base::Duration::zero()) {
    return RolePlannerFault::kWindows;
  }
  if (options.tail < base::Duration::zero() || options.history < kHistoryStep) {
    return RolePlannerFault::kHistory;
  }
  if (options.min_per_role < 1) {
    return RolePlannerFault::kMinPerRole;
  }
  if (!(options.confidence >= 0)) {
    return RolePlannerFault::kConfidence;
  }
  if (!(options.usable > 0 && options.usable <= 1)) {
    return RolePlannerFault::kUsable;
  }
  return RolePlannerFault::kNone;
}

}  // namespace

std::string_view ToString(RolePlannerFault fault) noexcept {
  switch (fault) {
    case RolePlannerFault::kNone:
      return "none";
    case RolePlannerFault::kPrice:
      return "price: 0 or more";
    case RolePlannerFault::kHorizon:
      return "horizon: longer than out_of_service";
    case RolePlannerFault::kWindows:
      return "windows: 0 < fast_window < slow_window, 0 < trend_decay";
    case RolePlannerFault::kHistory:
      return "history: 0 <= tail, 5 s <= history";
    case RolePlannerFault::kMinPerRole:
      return "min_per_role: 1 or more";
    case RolePlannerFault::kConfidence:
      return "confidence: 0 or more";
    case RolePlannerFault::kUsable:
      break;
  }
  return "usable: more than 0, at most 1";
}

std::string_view ToString(RoleReason reason) noexcept {
  switch (reason) {
    case RoleReason::kChange:
      return "change";
    case RoleReason::kTooFewSamples:
      return "too_few_samples";
    case RoleReason::kChangeInProgress:
      return "change_under_way";
    case RoleReason::kCoolDown:
      return "cool_down";
    case RoleReason::kTimedOut:
      return "gave_up";
    case RoleReason::kNoMove:
      return "no_move";
    case RoleReason::kNoGain:
      return "no_gain";
    case RoleReason::kBelowCost:
      return "below_cost";
    case RoleReason::kUncertain:
      break;
  }
  return "uncertain";
}

TokenDemand CountedDemand(const std::vector<ContractDemand>& contracts,
                          base::Duration over,
                          const EngineRates& rates,
                          int engines) noexcept {
  const double seconds = Seconds(over);
  // Number of engines that a contract's demand needs, and its part within the
  // contract's share.
  const auto wanted = [&](const ContractDemand& it) {
    return (static_cast<double>(it.prefill.value()) /
                rates.prefill_tokens_per_s +
            static_cast<double>(it.decode.value()) /
                rates.decode_tokens_per_s) /
           seconds;
  };
  const auto entitled = [&](const ContractDemand& it) {
    return std::min(wanted(it), it.share * engines);
  };
  const auto sum = [&](const auto& of) {
    return std::accumulate(
        contracts.begin(), contracts.end(), 0.0,
        [&](double total, const ContractDemand& it) { return total + of(it); });
  };
  const double excess = sum(wanted) - sum(entitled);
  const double unused = std::max(0.0, engines - sum(entitled));
  const double excess_part = excess > 0 ? std::min(1.0, unused / excess) : 0;
  return std::accumulate(
      contracts.begin(), contracts.end(), TokenDemand{},
      [&](TokenDemand total, const ContractDemand& it) {
        const double all = wanted(it);
        const double own = entitled(it);
        const double part =
            all > 0 ? (own + (all - own) * excess_part) / all : 0;
        total.prefill +=
            part * static_cast<double>(it.prefill.value()) / seconds;
        total.decode += part * static_cast<double>(it.decode.value()) / seconds;
        return total;
      });
}

std::optional<RolePlanner> RolePlanner::Create(
    const RolePlannerOptions& options,
    base::Clock clock,
    RolePlannerFault* fault) {
  *fault = Check(options);
  if (*fault != RolePlannerFault::kNone) {
    return std::nullopt;
  }
  return RolePlanner(options, std::move(clock));
}

RolePlanner::RolePlanner(const RolePlannerOptions& options, base::Clock clock)
    : options_(options),
      clock_(std::move(clock)),
      prefill_(options.fast_window, options.slow_window, options.trend_decay),
      decode_(options.fast_window, options.slow_window, options.trend_decay),
      worth_(options.fast_window, options.slow_window, options.trend_decay) {}

void RolePlanner::Observe(const std::vector<ContractDemand>& contracts,
                          base::Duration over,
                          const EngineRates& rates,
                          int engines) {
  const TokenDemand demand = CountedDemand(contracts, over, rates, engines);
  const double worth =
      std::accumulate(contracts.begin(), contracts.end(), 0.0,
                      [](double sum, const ContractDemand& it) {
                        return sum + it.worth.value();
                      });
  prefill_.Add(demand.prefill, over);
  decode_.Add(demand.decode, over);
  worth_.Add(worth / Seconds(over), over);
  AddToHistory(demand, over);
}

RoleDecision RolePlanner::Decide(const EngineRates& rates,
                                 const std::vector<PlannedEngine>& fleet) {
  RoleDecision decision;
  if (const auto reason = BlockingReason(fleet)) {
    decision.reason = *reason;
    return decision;
  }
  EngineRates usable = rates;
  usable.prefill_tokens_per_s *= options_.usable;
  usable.decode_tokens_per_s *= options_.usable;
  const RoleCounts counts = CountServing(fleet);

  std::optional<Valuation> best;
  for (const EngineRole from : kRoles) {
    if (counts.Of(from) <= options_.min_per_role || !CanSpare(fleet, from)) {
      continue;
    }
    for (const EngineRole to : kRoles) {
      if (to == from) {
        continue;
      }
      const Valuation value = Value(usable, counts, from, to);
      if (!best || value.net() > best->net()) {
        best = value;
      }
    }
  }
  if (!best) {
    decision.reason = RoleReason::kNoMove;
    return decision;
  }
  decision.move = RoleMove{PickEngine(fleet, best->from), best->from, best->to};
  decision.gain = base::Worth(best->gain);
  decision.cost = base::Worth(best->cost);
  decision.deviation = base::Worth(best->deviation);
  if (best->gain <= 0) {
    decision.reason = RoleReason::kNoGain;
  } else if (best->net() <= 0) {
    decision.reason = RoleReason::kBelowCost;
  } else if (best->net() <= options_.confidence * best->deviation) {
    decision.reason = RoleReason::kUncertain;
  } else {
    decision.reason = RoleReason::kChange;
    requested_roles_[decision.move->engine] = best->to;
    pending_ = decision.move;
    pending_since_ = clock_();
  }
  return decision;
}

void RolePlanner::AddToHistory(const TokenDemand& demand, base::Duration over) {
  if (history_.empty() || history_.back().over >= kHistoryStep) {
    history_.emplace_back();
  }
  PastDemand& last = history_.back();
  const double weight = Seconds(over) / Seconds(last.over + over);
  last.demand.prefill += weight * (demand.prefill - last.demand.prefill);
  last.demand.decode += weight * (demand.decode - last.demand.decode);
  last.over += over;
  const auto most = static_cast<std::size_t>(options_.history / kHistoryStep);
  if (history_.size() > most) {
    history_.pop_front();
  }
}

RolePlanner::HistoryValue RolePlanner::ValueOverHistory(
    const EngineRates& rates,
    const RoleCounts& before,
    const RoleCounts& after) const {
  HistoryValue value;
  const auto n = static_cast<double>(history_.size());
  std::ranges::for_each(history_, [&](const PastDemand& past) {
    const double difference = ServedFraction(rates, after, past.demand) -
                              ServedFraction(rates, before, past.demand);
    value.mean_difference += difference / n;
    value.worse_fraction += difference < 0 ? 1 / n : 0;
  });
  return value;
}

void RolePlanner::ClearRequestedRoles() noexcept {
  requested_roles_.clear();
  pending_.reset();
}

std::optional<RoleReason> RolePlanner::BlockingReason(
    const std::vector<PlannedEngine>& fleet) {
  std::erase_if(requested_roles_, [&](const auto& requested) {
    return std::ranges::find(fleet, requested.first, &PlannedEngine::id) ==
           fleet.end();
  });
  if (UpdatePending(fleet)) {
    if (clock_() - pending_since_ < options_.change_timeout) {
      return RoleReason::kChangeInProgress;
    }
    requested_roles_.erase(pending_->engine);
    pending_.reset();
    last_change_ = clock_();
    return RoleReason::kTimedOut;
  }
  if (std::ranges::any_of(fleet, IsOut)) {
    return RoleReason::kChangeInProgress;
  }
  if (last_change_ && clock_() - *last_change_ < options_.cool_down) {
    return RoleReason::kCoolDown;
  }
  if (prefill_.observed() < options_.min_observed) {
    return RoleReason::kTooFewSamples;
  }
  return std::nullopt;
}

bool RolePlanner::UpdatePending(const std::vector<PlannedEngine>& fleet) {
  if (!pending_) {
    return false;
  }
  const auto it =
      std::ranges::find(fleet, pending_->engine, &PlannedEngine::id);
  if (it != fleet.end() && (it->role != pending_->to || IsOut(*it))) {
    return true;
  }
  pending_.reset();
  last_change_ = clock_();
  return false;
}

RolePlanner::Valuation RolePlanner::Value(const EngineRates& rates,
                                          const RoleCounts& counts,
                                          EngineRole from,
                                          EngineRole to) const {
  RoleCounts during = counts;
  --during.Of(from);
  RoleCounts after = during;
  ++after.Of(to);

  Valuation value{from, to};
  double mean = 0;
  double square = 0;
  double outage_loss = 0;
  double revert_probability = 0;
  for (const Node& prefill : kNodes) {
    for (const Node& decode : kNodes) {
      const PointValue point =
          ValueAt(rates, counts, during, after, prefill.offset, decode.offset);
      const double weight = prefill.weight * decode.weight;
      mean += weight * point.net;
      square += weight * point.net * point.net;
      outage_loss += weight * point.outage_loss;
      revert_probability += point.last_difference < 0 ? weight : 0;
    }
  }
  const HistoryValue past = ValueOverHistory(rates, counts, after);
  const double tail_worth =
      worth_.At(options_.horizon).mean * Seconds(options_.tail);
  value.gain = mean + past.mean_difference * tail_worth;
  value.deviation = std::sqrt(std::max(0.0, square - mean * mean));
  // Reverting costs the price and the time out of service again.
  value.cost = options_.price.value() +
               std::max(revert_probability, past.worse_fraction) *
                   (options_.price.value() + outage_loss);
  return value;
}

RolePlanner::PointValue RolePlanner::ValueAt(const EngineRates& rates,
                                             const RoleCounts& before,
                                             const RoleCounts& during,
                                             const RoleCounts& after,
                                             double prefill_offset,
                                             double decode_offset) const {
  const base::Duration step = options_.horizon / kTimePoints;
  const auto rate = [](Estimate estimate, double offset) {
    return std::max(0.0, estimate.mean + offset * estimate.deviation);
  };
  PointValue value;
  for (int i = 0; i < kTimePoints; ++i) {
    const base::Duration begin = step * i;
    const base::Duration at = begin + step / 2;
    const TokenDemand demand = {rate(prefill_.At(at), prefill_offset),
                                rate(decode_.At(at), decode_offset)};
    const double now = ServedFraction(rates, before, demand);
    const double out = ServedFraction(rates, during, demand);
    const double then = ServedFraction(rates, after, demand);
    const double out_part = std::clamp(
        Seconds(options_.out_of_service - begin) / Seconds(step), 0.0, 1.0);
    const double worth = rate(worth_.At(at), 0) * Seconds(step);
    value.net += (out_part * out + (1 - out_part) * then - now) * worth;
    value.outage_loss += out_part * (now - out) * worth;
    value.last_difference = then - now;
  }
  return value;
}

}  // namespace lynxglade::process
