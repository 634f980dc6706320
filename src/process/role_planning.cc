#include "process/role_planning.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <numeric>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

namespace lynxglade::process {

namespace {

using request::Target;

// Engines of a service, without plain and leaving targets.
std::vector<Target> EnginesOf(const std::vector<Target>& targets,
                              const base::ServiceName& service) {
  std::vector<Target> engines;
  std::ranges::copy_if(targets, std::back_inserter(engines),
                       [&](const Target& it) {
                         return it.service == service &&
                                it.role != request::EngineRole::kPlain &&
                                it.state != request::TargetState::kLeaving;
                       });
  return engines;
}

// Mean of the reported rates, or the defaults if no engine reports one.
EngineRates RatesOf(const std::vector<Target>& engines) {
  EngineRates rates;
  const auto mean = [&](double request::TargetLoad::* rate, double otherwise) {
    double sum = 0;
    int n = 0;
    for (const Target& it : engines) {
      if (it.load.*rate > 0) {
        sum += it.load.*rate;
        ++n;
      }
    }
    return n > 0 ? sum / n : otherwise;
  };
  rates.prefill_tokens_per_s = mean(&request::TargetLoad::prefill_tokens_per_s,
                                    rates.prefill_tokens_per_s);
  rates.decode_tokens_per_s = mean(&request::TargetLoad::decode_tokens_per_s,
                                   rates.decode_tokens_per_s);
  return rates;
}

std::vector<PlannedEngine> FleetOf(const std::vector<Target>& engines,
                                   const base::ZoneId& own_zone) {
  std::vector<PlannedEngine> fleet;
  std::ranges::transform(engines, std::back_inserter(fleet),
                         [&](const Target& it) {
                           PlannedEngine engine;
                           engine.id = it.id;
                           engine.zone = it.zone;
                           engine.role = it.role;
                           engine.state = it.state;
                           engine.fenced = it.fenced;
                           engine.running = it.load.running;
                           engine.movable = it.zone == own_zone;
                           return engine;
                         });
  return fleet;
}

// Estimated demand at all instances between two totals of this instance.
ContractDemand Offered(const OfferedTotals& before,
                       const OfferedTotals& now,
                       std::size_t instances) {
  const auto n = static_cast<std::int64_t>(std::max<std::size_t>(1, instances));
  ContractDemand demand;
  demand.prefill = base::Tokens((now.prefill - before.prefill).value() * n);
  demand.decode = base::Tokens((now.decode - before.decode).value() * n);
  demand.worth =
      base::Worth((now.worth - before.worth).value() * static_cast<double>(n));
  return demand;
}

nlohmann::json DecisionJson(const RoleDecision& decision) {
  nlohmann::json out = {{"reason", ToString(decision.reason)},
                        {"gain", decision.gain.value()},
                        {"cost", decision.cost.value()},
                        {"deviation", decision.deviation.value()}};
  if (decision.move) {
    out["move"] = {{"engine", decision.move->engine.str()},
                   {"from", request::ToString(decision.move->from)},
                   {"to", request::ToString(decision.move->to)}};
  }
  return out;
}

}  // namespace

RolePlanning::RolePlanning(RolePlanningOptions options, RolePlanningHooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)) {}

void RolePlanning::Tick() {
  const base::Time now = hooks_.clock();
  const base::Duration elapsed =
      last_tick_ ? now - *last_tick_ : base::Duration::zero();
  last_tick_ = now;
  const auto configuration = hooks_.configuration();
  if (!configuration) {
    return;
  }
  const auto offered = hooks_.offered();
  const auto targets = hooks_.targets();
  std::map<base::TargetId, request::EngineRole> requested_roles;
  {
    const std::lock_guard lock(planners_mutex_);
    std::erase_if(services_, [&](const auto& it) {
      const auto spec = configuration->services.find(it.first);
      return spec == configuration->services.end() ||
             !spec->second.planner_enabled;
    });
    for (const auto& [name, spec] : configuration->services) {
      if (!spec.engines || !spec.planner_enabled) {
        continue;
      }
      const auto it = offered.find(name);
      TickService(spec, it == offered.end() ? OfferedTotals{} : it->second,
                  targets, elapsed);
      const ServiceState& service_state = services_[name];
      if (service_state.planner) {
        requested_roles.insert(service_state.planner->requested_roles().begin(),
                               service_state.planner->requested_roles().end());
      }
    }
  }
  const std::lock_guard lock(requested_roles_mutex_);
  requested_roles_ = std::move(requested_roles);
}

std::map<base::TargetId, request::EngineRole> RolePlanning::RequestedRoles() {
  const std::lock_guard lock(requested_roles_mutex_);
  last_requested_ = hooks_.clock();
  return requested_roles_;
}

std::string RolePlanning::StatusJson() const {
  const bool is_holder = IsHolder();
  nlohmann::json services = nlohmann::json::object();
  const std::lock_guard lock(planners_mutex_);
  for (const auto& [name, service_state] : services_) {
    nlohmann::json status = DecisionJson(service_state.last);
    status["price"] = service_state.price;
    status["in_turn"] = service_state.in_turn;
    if (service_state.planner) {
      const auto now = base::Duration::zero();
      status["prefill_tokens_per_s"] =
          service_state.planner->PrefillAt(now).mean;
      status["decode_tokens_per_s"] = service_state.planner->DecodeAt(now).mean;
    }
    services[name.str()] = std::move(status);
  }
  return nlohmann::json{{"decides", is_holder},
                        {"services", std::move(services)}}
      .dump();
}

void RolePlanning::TickService(const version::ServiceSpec& spec,
                               const OfferedTotals& offered,
                               const std::vector<Target>& targets,
                               base::Duration elapsed) {
  ServiceState& service_state = services_[spec.name];
  if (!EnsurePlanner(spec, &service_state)) {
    return;
  }
  const std::vector<Target> engines = EnginesOf(targets, spec.name);
  const EngineRates rates = RatesOf(engines);
  if (elapsed > base::Duration::zero()) {
    service_state.planner->Observe(
        {Offered(service_state.before, offered, hooks_.entry_instances())},
        elapsed, rates, static_cast<int>(engines.size()));
  }
  service_state.before = offered;
  if (!IsHolder()) {
    service_state.planner->ClearRequestedRoles();
    service_state.in_turn = false;
    return;
  }
  service_state.in_turn = InTurn(engines);
  if (service_state.in_turn) {
    service_state.last =
        service_state.planner->Decide(rates, FleetOf(engines, options_.zone));
  }
}

bool RolePlanning::EnsurePlanner(const version::ServiceSpec& spec,
                                 ServiceState* service_state) {
  if (service_state->planner &&
      service_state->price == spec.role_change_price) {
    return true;
  }
  RolePlannerOptions options;
  options.price = base::Worth(spec.role_change_price);
  options.out_of_service = options_.out_of_service;
  options.horizon = std::max(options.horizon, 2 * options_.out_of_service);
  RolePlannerFault fault = RolePlannerFault::kNone;
  service_state->planner = RolePlanner::Create(options, hooks_.clock, &fault);
  service_state->price = spec.role_change_price;
  return service_state->planner.has_value();
}

bool RolePlanning::InTurn(const std::vector<Target>& engines) const {
  std::set<base::ZoneId> zones;
  std::ranges::transform(engines, std::inserter(zones, zones.end()),
                         &Target::zone);
  const auto own = zones.find(options_.zone);
  if (own == zones.end()) {
    return false;
  }
  const std::int64_t turn = base::ToMillis(options_.turn);
  const std::int64_t now = hooks_.wall_millis();
  const auto turns = static_cast<std::int64_t>(zones.size());
  return now / turn % turns == std::distance(zones.begin(), own) &&
         now % turn < turn - base::ToMillis(options_.turn_guard);
}

bool RolePlanning::IsHolder() const {
  const std::lock_guard lock(requested_roles_mutex_);
  return last_requested_ &&
         hooks_.clock() - *last_requested_ < options_.holder_timeout;
}

}  // namespace lynxglade::process
