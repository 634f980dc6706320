// Compares ways to split a target's request limit among the instances, on the
// same seeds. Prints tab-separated values.
#include <algorithm>
#include <array>
#include <cstdio>

#include "bench/limits/limit_fleet.h"

namespace lynxglade::bench {
namespace {

constexpr std::uint64_t kSeeds = 10;

struct Way {
  const char* name;
  SelectShare* select;
};
constexpr std::array kWays{
    Way{"whole limit each", SelectWholeLimit},
    Way{"equal shares", SelectEqualShare},
    Way{"senders", request::passthrough::SelectLimitShare}};

void Measure(const Way& way, int instances, double limit) {
  int most = 0;
  int broken = 0;
  double used = 0;
  double slowest = 0;
  LimitFleetResult result;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    result = RunLimitFleet({.instances = instances,
                            .offered = std::max(20.0, 0.04 * instances),
                            .limit = base::PerSecond(limit),
                            .later_limit = base::PerSecond(limit),
                            .replaced = std::min(instances / 2, 4),
                            .select_share = way.select,
                            .seed = seed});
    most = std::max({most, result.most_in_window, result.most_in_later_window});
    broken += result.Holds() ? 0 : 1;
    used += result.used / kSeeds;
    slowest = std::max(
        slowest, result.recovery_seconds < 0 ? 60 : result.recovery_seconds);
  }
  std::printf("%s\t%d\t%.1f\t%d\t%.0f\t%d\t%.2f\t%.0f\n", way.name, instances,
              limit, most, result.allowed, broken, used, slowest);
}

}  // namespace
}  // namespace lynxglade::bench

int main() {
  std::printf(
      "way\tinstances\tlimit\tmost in 4 s\tallowed\tbroken of 10\tused"
      "\trecovery s\n");
  for (const int instances : {7, 60, 295, 985}) {
    for (const double limit : {0.5, 4.6, 20.0}) {
      for (const auto& way : lynxglade::bench::kWays) {
        lynxglade::bench::Measure(way, instances, limit);
      }
    }
  }
  return 0;
}
