#include "main/fleet_control.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/time.h"
#include "connection/engine_admin.h"
#include "connection/platform_fetch.h"
#include "request/target.h"

namespace lynxglade {

namespace {

constexpr base::Duration kEngineTimeout = std::chrono::seconds(2);
constexpr base::Duration kPlatformTimeout = std::chrono::seconds(1);
constexpr base::Duration kPlanningInterval = std::chrono::seconds(1);
constexpr base::Duration kWeightInterval = std::chrono::seconds(30);
// A role change consists of a drain and the change itself, which take about the
// same time.
constexpr int kRoleChangePhases = 2;

process::OrderSettings OrderSettingsOf(const process::Settings& settings) {
  process::OrderSettings out;
  out.lease_ttl = settings.lease_ttl;
  out.engine_connection_bound = settings.engine_idle_timeout;
  return out;
}

process::RolePlanningOptions PlanningOptionsOf(
    const process::Settings& settings) {
  process::RolePlanningOptions out;
  out.zone = settings.zone;
  out.out_of_service = settings.role_change_time * kRoleChangePhases;
  return out;
}

}  // namespace

FleetControl::FleetControl(const process::Settings& settings,
                           process::ControlSystem& control,
                           const connection::KeyValue& key_value,
                           const process::TargetRegistry& registry,
                           FleetControlHooks hooks,
                           base::RandomSource random,
                           base::Metrics& metrics)
    : hooks_(std::move(hooks)),
      registry_(registry),
      metrics_(metrics),
      weight_store_(connection::MakeHttpPlatformFetch(settings.weight_store_url,
                                                      kPlatformTimeout)),
      planning_(PlanningOptionsOf(settings), MakePlanningHooks()),
      orders_(control,
              key_value,
              connection::MakeHttpEngineAdmin(kEngineTimeout),
              base::BootClock::now,
              std::move(random),
              settings.instance,
              settings.zone,
              OrderSettingsOf(settings),
              MakeOrderHooks(),
              metrics),
      planning_task_(kPlanningInterval, [this] { planning_.Tick(); }),
      weight_task_(kWeightInterval, [this] { ReadWeightLimits(); }) {}

void FleetControl::Stop() {
  planning_task_.Stop();
  weight_task_.Stop();
  orders_.Stop();
}

void FleetControl::OnTargetFact(const process::ViewItem& item) {
  orders_.OnTargetView(item);
}

connection::ApiAnswer FleetControl::HandleFleet(
    const connection::ApiCall& call) {
  return orders_.Handle(call);
}

connection::ApiAnswer FleetControl::HandlePlanner(
    const connection::ApiCall&) const {
  return {200, planning_.StatusJson()};
}

process::RolePlanningHooks FleetControl::MakePlanningHooks() {
  process::RolePlanningHooks out;
  out.clock = base::BootClock::now;
  out.wall_millis = base::WallMillis;
  out.offered = hooks_.offered;
  out.entry_instances = hooks_.entry_instances;
  out.targets = [this] { return registry_.Index()->table().targets; };
  out.configuration = hooks_.configuration;
  return out;
}

process::OrderHooks FleetControl::MakeOrderHooks() {
  process::OrderHooks out;
  out.engines = [this] { return EngineRows(); };
  out.configuration = hooks_.configuration;
  out.requested_roles = [this] { return planning_.RequestedRoles(); };
  out.weight_loads_per_minute = [this] { return loads_per_minute_.load(); };
  out.publish = hooks_.publish;
  return out;
}

std::vector<process::EngineRow> FleetControl::EngineRows() const {
  std::map<base::TargetId, request::TargetState> states;
  const auto index = registry_.Index();
  for (const request::Target& target : index->table().targets) {
    states[target.id] = target.state;
  }
  std::vector<process::EngineRow> out;
  std::ranges::transform(registry_.Rows(), std::back_inserter(out),
                         [&](const process::ListedTarget& listed) {
                           const auto state = states.find(listed.row.id);
                           process::EngineRow row;
                           row.id = listed.row.id;
                           row.service = listed.row.service;
                           row.zone = listed.row.zone;
                           row.endpoint = {listed.row.address, listed.row.port};
                           row.fenced = listed.row.fenced;
                           row.serving =
                               state != states.end() &&
                               state->second == request::TargetState::kServing;
                           row.leaving = listed.row.leaving;
                           row.engine = listed.engine;
                           return row;
                         });
  return out;
}

void FleetControl::ReadWeightLimits() {
  connection::PlatformError error{};
  if (const auto limits = weight_store_.ReadLimits(&error)) {
    loads_per_minute_ = limits->loads_per_minute;
    return;
  }
  metrics_
      .GetCounter("lynxglade_weight_store_failures_total",
                  {{"reason", std::string(connection::ToString(error))}})
      .Add();
}

}  // namespace lynxglade
