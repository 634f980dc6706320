#include "process/desired_state.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>
#include <utility>

namespace lynxglade::process {

namespace {

using connection::EngineTargetState;

// Absorbs rounding errors: a share of 0.1 + 0.2 of 10 engines must not round up
// to 4.
constexpr double kShareTolerance = 1e-9;

struct ModelKey {
  base::ModelName model;
  base::ModelVersion version;
  auto operator<=>(const ModelKey&) const = default;
};

// A model of a service with all adapters that contracts request for it.
struct ModelGroup {
  ModelKey key;
  std::set<std::string> adapters;
  double share = 0;
  int quota = 0;
  double remainder = 0;
};

std::vector<ModelGroup> GroupsOf(const version::Configuration& configuration,
                                 const base::ServiceName& service) {
  std::map<ModelKey, ModelGroup> groups;
  for (const auto& [id, contract] : configuration.contracts) {
    for (const version::Intent& intent : contract.intents) {
      if (intent.service != service || intent.model.empty()) {
        continue;
      }
      ModelGroup& group = groups[{intent.model, intent.version}];
      group.key = {intent.model, intent.version};
      group.share += intent.share;
      group.adapters.insert(intent.adapters.begin(), intent.adapters.end());
    }
  }
  std::vector<ModelGroup> out;
  for (auto& [key, group] : groups) {
    out.push_back(std::move(group));
  }
  return out;
}

double TotalShare(const std::vector<ModelGroup>& groups) {
  return std::accumulate(
      groups.begin(), groups.end(), 0.0,
      [](double sum, const ModelGroup& g) { return sum + g.share; });
}

int TotalQuota(const std::vector<ModelGroup>& groups) {
  return std::accumulate(
      groups.begin(), groups.end(), 0,
      [](int sum, const ModelGroup& g) { return sum + g.quota; });
}

// Gives each model without an engine one from the model that has the most.
void EnsureOneEach(std::vector<ModelGroup>* groups) {
  for (ModelGroup& group : *groups) {
    const auto largest =
        std::ranges::max_element(*groups, {}, &ModelGroup::quota);
    if (group.quota == 0 && largest->quota > 1) {
      --largest->quota;
      ++group.quota;
    }
  }
}

// Largest-remainder method, then at least one engine per model if possible.
void SetQuotas(int engines, std::vector<ModelGroup>* groups) {
  const double total = TotalShare(*groups);
  for (ModelGroup& group : *groups) {
    const double exact = total > 0 ? group.share / total * engines
                                   : static_cast<double>(engines) /
                                         static_cast<double>(groups->size());
    group.quota = static_cast<int>(std::floor(exact + kShareTolerance));
    group.remainder = exact - group.quota;
  }
  while (TotalQuota(*groups) < engines) {
    const auto next =
        std::ranges::max_element(*groups, {}, &ModelGroup::remainder);
    ++next->quota;
    next->remainder -= 1;
  }
  EnsureOneEach(groups);
}

EngineTargetState Combine(const EngineContent& engine,
                          const ModelGroup& group,
                          const DesiredInputs& inputs) {
  EngineTargetState state;
  const auto requested = inputs.requested_roles->find(engine.id);
  state.role = requested == inputs.requested_roles->end() ? engine.current.role
                                                          : requested->second;
  state.model = group.key.model;
  state.version = group.key.version;
  state.adapters.assign(group.adapters.begin(), group.adapters.end());
  state.draining = inputs.drains->contains(engine.id);
  return state;
}

using DesiredMap = std::map<base::TargetId, EngineTargetState>;

void AssignService(std::vector<const EngineContent*> engines,
                   std::vector<ModelGroup> groups,
                   const DesiredInputs& inputs,
                   DesiredMap* desired) {
  SetQuotas(static_cast<int>(engines.size()), &groups);
  const auto assign = [&](const EngineContent* engine, ModelGroup& group) {
    --group.quota;
    desired->emplace(engine->id, Combine(*engine, group, inputs));
  };
  // An engine that runs a requested model keeps it, up to the model's quota.
  std::erase_if(engines, [&](const EngineContent* engine) {
    const ModelKey key{engine->current.model, engine->current.version};
    const auto group = std::ranges::find(groups, key, &ModelGroup::key);
    if (group == groups.end() || group->quota == 0) {
      return false;
    }
    assign(engine, *group);
    return true;
  });
  for (const EngineContent* engine : engines) {
    const auto group =
        std::ranges::find_if(groups, [](const auto& g) { return g.quota > 0; });
    if (group != groups.end()) {
      assign(engine, *group);
    }
  }
}

}  // namespace

DesiredMap DesiredStates(const std::vector<EngineContent>& engines,
                         const DesiredInputs& inputs) {
  std::map<base::ServiceName, std::vector<const EngineContent*>> by_service;
  DesiredMap desired;
  for (const EngineContent& engine : engines) {
    if (engine.leaving) {
      // A leaving engine is only drained.
      desired.emplace(engine.id, engine.current).first->second.draining = true;
    } else {
      by_service[engine.service].push_back(&engine);
    }
  }
  for (auto& [service, members] : by_service) {
    auto groups = GroupsOf(*inputs.configuration, service);
    if (!groups.empty()) {
      std::ranges::sort(members, {}, &EngineContent::id);
      AssignService(std::move(members), std::move(groups), inputs, &desired);
      continue;
    }
    // No model is requested: roles and drains still apply.
    for (const EngineContent* engine : members) {
      ModelGroup as_is;
      as_is.key = {engine->current.model, engine->current.version};
      as_is.adapters.insert(engine->current.adapters.begin(),
                            engine->current.adapters.end());
      desired.emplace(engine->id, Combine(*engine, as_is, inputs));
    }
  }
  return desired;
}

int CapacityFloor(const version::Configuration& configuration,
                  const base::ServiceName& service,
                  int fleet_size,
                  int max_unavailable) {
  const double share =
      std::min(1.0, TotalShare(GroupsOf(configuration, service)));
  const int wanted =
      static_cast<int>(std::ceil(share * fleet_size - kShareTolerance));
  return std::clamp(wanted, 0, std::max(0, fleet_size - max_unavailable));
}

}  // namespace lynxglade::process
