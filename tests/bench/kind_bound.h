// The bound on the service of kinds of requests in simulated fleets.
#ifndef LYNXGLADE_BENCH_KIND_BOUND_H_
#define LYNXGLADE_BENCH_KIND_BOUND_H_

#include <string>

#include "bench/sizes/size_fleet.h"

namespace lynxglade::bench {

// The least that a kind is served, against all requests.
constexpr double kMinRatio = 0.25;
// A kind is judged beyond what chance does to its count, in standard
// deviations: once in 740 fleets at the bound.
constexpr double kMaxDeviations = 3;

inline std::string Describe(const SizeFleetSettings& settings,
                            const SizeFleetResult& result) {
  std::string text = "seed " + std::to_string(settings.seed) + ", " +
                     std::to_string(settings.instances) +
                     " instances, slowness " +
                     std::to_string(settings.slowness) + ", load " +
                     std::to_string(settings.load) + ", served " +
                     std::to_string(result.served) + ":";
  for (const KindResult& it : result.kinds) {
    text += " " + it.name + " " + std::to_string(it.all.Rate()) + " (in vain " +
            std::to_string(it.in_vain) + ")";
  }
  return text;
}

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_KIND_BOUND_H_
