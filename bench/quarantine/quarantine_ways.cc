// Compares ways to quarantine contents that crash their engines, on the same
// seeds: engines lost, and what harmless requests pay. Prints tab-separated
// values.
#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>

#include "bench/quarantine/quarantine_fleet.h"
#include "request/passthrough/quarantine_options.h"

namespace lynxglade::bench {
namespace {

constexpr std::uint64_t kSeeds = 5;

struct Way {
  const char* name;
  std::optional<request::QuarantineOptions> options;
  bool shares = true;
};

struct Place {
  const char* name;
  double other_crashes_per_second;
  int mass_crashes;
};
constexpr std::array kPlaces{Place{"none", 0, 0}, Place{"series", 0.5, 0},
                             Place{"half at once", 0, 3}};

void Measure(const Way& way, const Place& place, int instances, int engines) {
  QuarantineFleetResult sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto result = RunQuarantineFleet(
        {.instances = instances,
         .engines = engines,
         .options = way.options,
         .shares = way.shares,
         .other_crashes_per_second = place.other_crashes_per_second,
         .mass_crashes = place.mass_crashes,
         .streams_per_second = 5.0 * std::min(engines, 40),
         .seed = seed});
    sum.most_engines_lost =
        std::max(sum.most_engines_lost, result.most_engines_lost);
    sum.engines_lost += result.engines_lost;
    sum.harmless += result.harmless;
    sum.harmless_refused += result.harmless_refused;
    sum.harmless_quarantined += result.harmless_quarantined;
    sum.longest_refused_seconds =
        std::max(sum.longest_refused_seconds, result.longest_refused_seconds);
    sum.marks_received += result.marks_received / kSeeds;
  }
  std::printf("%s\t%s\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\t%.1f\t%.0f\n", way.name,
              place.name, instances, engines, sum.engines_lost / (3.0 * kSeeds),
              sum.most_engines_lost, sum.harmless, sum.harmless_refused,
              sum.harmless_quarantined, sum.longest_refused_seconds,
              sum.marks_received);
  std::fflush(stdout);
}

request::QuarantineOptions ObserverFirst() {
  request::QuarantineOptions options =
      request::passthrough::FleetQuarantineOptions();
  options.observer_reruns_first = true;
  options.rerun_lease = std::chrono::seconds(1);
  return options;
}

}  // namespace
}  // namespace lynxglade::bench

int main() {
  using lynxglade::request::QuarantineOptions;
  using lynxglade::request::passthrough::FleetQuarantineOptions;
  const std::array ways{
      lynxglade::bench::Way{"none", std::nullopt},
      lynxglade::bench::Way{"each for itself", FleetQuarantineOptions(), false},
      lynxglade::bench::Way{"reruns alone at once", QuarantineOptions()},
      lynxglade::bench::Way{"fleet, observer first",
                            lynxglade::bench::ObserverFirst()},
      lynxglade::bench::Way{"fleet", FleetQuarantineOptions()}};
  std::printf(
      "way\tother crashes\tinstances\tengines\tlost for each\tmost lost"
      "\tharmless\trefused\tquarantined\tlongest s\tmarks received\n");
  for (const auto& [instances, engines] :
       {std::pair(7, 12), std::pair(60, 60), std::pair(295, 160),
        std::pair(985, 2000)}) {
    for (const auto& place : lynxglade::bench::kPlaces) {
      for (const auto& way : ways) {
        lynxglade::bench::Measure(way, place, instances, engines);
      }
    }
  }
  return 0;
}
