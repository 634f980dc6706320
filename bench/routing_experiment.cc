// Compares routing policies, and the default with each mechanism disabled, on
// one seeded trace of the fleet model. Prints one JSON line per run.
//
// Usage: routing_experiment [repetitions, default 5]

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "request/fleet_model.h"

namespace lynxglade::request {
namespace {

struct Variant {
  std::string name;
  RouterOptions options;
};

std::vector<Variant> Variants() {
  std::vector<Variant> all;
  for (const RoutePolicy policy :
       {RoutePolicy::kDefault, RoutePolicy::kNoAffinity, RoutePolicy::kRandom,
        RoutePolicy::kRoundRobin, RoutePolicy::kLeastReported}) {
    RouterOptions options;
    options.policy = policy;
    all.push_back({std::string(ToString(policy)), options});
  }
  RouterOptions options;
  options.decay_reports = false;
  all.push_back({"without_aging", options});
  options = {};
  options.add_unreported_sends = false;
  all.push_back({"without_own_sends", options});
  options = {};
  options.decay_reports = false;
  options.add_unreported_sends = false;
  all.push_back({"without_both", options});
  options = {};
  options.prefer_local_zone = false;
  all.push_back({"without_zone_local", options});
  options = {};
  options.affinity_across_zones = true;
  all.push_back({"affinity_across_zones", options});
  return all;
}

struct Scene {
  std::string name;
  FleetModelOptions options;
};

std::vector<Scene> Scenes() {
  FleetModelOptions small;
  FleetModelOptions prompt_reports = small;
  prompt_reports.report_lag = std::chrono::milliseconds(100);
  FleetModelOptions late_reports = small;
  late_reports.report_lag = std::chrono::seconds(5);
  FleetModelOptions prefixes = small;
  prefixes.prefixes = 300;
  FleetModelOptions slow = small;
  slow.slow_targets = 2;
  slow.utilization = 0.75;
  FleetModelOptions lost = prefixes;
  lost.utilization = 0.6;
  lost.zone_lost_at = std::chrono::seconds(120);
  FleetModelOptions large = prefixes;
  large.targets = 198;
  large.routers = 22;
  large.zones = 11;
  large.prefixes = 3300;
  large.run_for = std::chrono::seconds(60);
  return {{"18_targets", small},
          {"18_targets_lag_100ms", prompt_reports},
          {"18_targets_lag_5s", late_reports},
          {"18_targets_prefixes", prefixes},
          {"18_targets_2_slow", slow},
          {"18_targets_zone_lost", lost},
          {"198_targets_prefixes", large}};
}

void Run(const Scene& scene, const Variant& variant, std::uint64_t seed) {
  FleetModelOptions options = scene.options;
  options.router = variant.options;
  options.seed = seed;
  const FleetModelResult it = RunFleetModel(options);
  const nlohmann::json line = {{"scene", scene.name},
                               {"variant", variant.name},
                               {"seed", seed},
                               {"requests", it.requests},
                               {"unrouted", it.unrouted},
                               {"mean_first_token_s", it.mean_first_token},
                               {"p95_first_token_s", it.p95_first_token},
                               {"max_first_token_s", it.max_first_token},
                               {"max_backlog_s", it.max_backlog},
                               {"cache_hits", it.cache_hits},
                               {"left_zone", it.left_zone}};
  std::cout << line.dump() << '\n';
}

}  // namespace
}  // namespace lynxglade::request

int main(int argc, char** argv) {
  const int repetitions = argc > 1 ? std::atoi(argv[1]) : 5;
  for (const auto& scene : lynxglade::request::Scenes()) {
    for (int i = 1; i <= repetitions; ++i) {
      for (const auto& variant : lynxglade::request::Variants()) {
        lynxglade::request::Run(scene, variant, static_cast<std::uint64_t>(i));
      }
    }
  }
  return 0;
}
