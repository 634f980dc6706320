// Compares ways in which an instance that starts again may use its share of the
// retry budget: the most that any window holds, against what is allowed, and
// what callers lose. Prints tab-separated values.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <vector>

#include "bench/retries/retry_fleet.h"

namespace lynxglade::bench {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeeds = 5;

struct Way {
  const char* name;
  double max_fraction;
  double max_marked_fraction;
  double max_retry_part;
  double max_start_fraction;
  double max_restart_fraction;
  bool remembers = false;
};
constexpr std::array kWays{
    Way{"memory of all lifetimes", 0.95, 0.95, 0.85, 0.95, 0.95, true},
    Way{"share accrues", 0.95, 0.95, 0.85, 0.95, 0.95},
    Way{"nothing after a start", 0.95, 0.95, 0.85, 0, 0},
    Way{"0.80, then 0.15", 0.8, 0.8, 0.6, 0.15, 0.15},
    Way{"0.40, then 0.30 and 0.25", 0.4, 0.4, 0.75, 0.3, 0.25},
    Way{"0.40 or marked 0.75, then 0.30 or 0.20", 0.4, 0.75, 0.7, 0.3, 0.2}};

struct Series {
  const char* name;
  std::vector<FleetKill> kills;
};

std::vector<FleetKill> Repeat(double share, int times) {
  std::vector<FleetKill> kills;
  for (int i = 0; i < times; ++i) {
    kills.push_back(
        {milliseconds(25'000 + 1'700 * i), share, milliseconds(300)});
  }
  return kills;
}

void Measure(const Way& way,
             const Series& series,
             int instances,
             double rejected) {
  double most = 0;
  double prefills = 0;
  double retries = 0;
  double by_runner = 0;
  double requests = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RetryFleetSettings settings;
    settings.instances = instances;
    settings.offered = 100 * std::max(1.0, instances / 60.0);
    settings.budget.ratio = 0.2;
    settings.budget.allowance = 54 * std::max(1.0, instances / 60.0);
    settings.budget.max_fraction = way.max_fraction;
    settings.budget.max_marked_fraction = way.max_marked_fraction;
    settings.budget.max_retry_part = way.max_retry_part;
    settings.budget.max_start_fraction = way.max_start_fraction;
    settings.budget.max_restart_fraction = way.max_restart_fraction;
    settings.remembers = way.remembers;
    settings.rejected = rejected;
    settings.kills = series.kills;
    settings.seed = seed;
    const RetryFleetResult result = RunRetryFleet(settings);
    most = std::max(most, result.most.Fraction());
    prefills += static_cast<double>(result.prefills_denied);
    retries += static_cast<double>(result.retries_denied);
    by_runner += static_cast<double>(result.runner_prefills);
    requests += static_cast<double>(result.requests);
  }
  std::printf("%.1f\t%d\t%s\t%s\t%.2f\t%.4f\t%.4f\t%.4f\n", rejected, instances,
              series.name, way.name, most, prefills / requests,
              retries / requests, by_runner / requests);
}

}  // namespace
}  // namespace lynxglade::bench

int main() {
  using lynxglade::bench::Repeat;
  const std::array series{
      lynxglade::bench::Series{"none", {}},
      lynxglade::bench::Series{"one", Repeat(0, 1)},
      lynxglade::bench::Series{"half", Repeat(0.5, 1)},
      lynxglade::bench::Series{"all", Repeat(1, 1)},
      lynxglade::bench::Series{"half, five times", Repeat(0.5, 5)},
      lynxglade::bench::Series{"all, five times", Repeat(1, 5)}};
  std::printf(
      "rejected\tinstances\tkilled\tway\tmost used\tprefills denied"
      "\tretries denied\tprefilled by runner\n");
  for (const int instances : {7, 60, 295, 985}) {
    for (const auto& it : series) {
      for (const auto& way : lynxglade::bench::kWays) {
        for (const double rejected : {0.0, 0.1, 0.5}) {
          lynxglade::bench::Measure(way, it, instances, rejected);
        }
      }
    }
  }
  return 0;
}
