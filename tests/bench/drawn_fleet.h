// Simulated fleets drawn from a seed: mix, speeds, load, sizes, and numbers of
// engines and instances.
#ifndef LYNXGLADE_BENCH_DRAWN_FLEET_H_
#define LYNXGLADE_BENCH_DRAWN_FLEET_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>

#include "base/random.h"
#include "bench/sizes/size_fleet.h"

namespace lynxglade::bench {

inline double DrawReal(const base::RandomSource& random,
                       double from,
                       double to) {
  return from + (to - from) * base::UniformReal(random);
}

// Requests of a drawn fleet.
enum class DrawnMix {
  // Albums, captions and notes; of one fleet in four, few and fast engines with
  // verdicts and long drafts.
  kAny,
  kAlbums,
  kDrafts,
};

// The largest answers can end in time at an engine that runs nothing else, as
// otherwise no admission could serve them.
inline SizeFleetSettings DrawFleet(std::uint64_t seed,
                                   double max_slowness,
                                   double max_load,
                                   DrawnMix mix = DrawnMix::kAny) {
  constexpr std::array kInstances{6, 7, 60};
  const base::RandomSource random = base::SeededRandom(seed);
  SizeFleetSettings it;
  it.seed = seed;
  it.length = std::chrono::seconds(60);
  it.instances = kInstances[base::UniformBelow(random, kInstances.size())];
  it.own_limits = base::UniformReal(random) < 0.5;
  it.slowness = DrawReal(random, 1, max_slowness);
  it.load = DrawReal(random, 0.6, max_load);
  it.prefill_engines = static_cast<int>(DrawReal(random, 3, 9));
  it.decode_engines = static_cast<int>(DrawReal(random, 6, 15));
  it.uncached = DrawReal(random, 0, 0.15);
  const bool any_drafts = base::UniformReal(random) < 0.25;
  if (mix == DrawnMix::kDrafts || (mix == DrawnMix::kAny && any_drafts)) {
    it.kinds = DraftKinds();
    it.prefill_tokens_per_ms = 220;
    it.step_ms = 0.723;
    it.step_ms_per_request = 0.0252;
    it.prefill_engines = static_cast<int>(DrawReal(random, 3, 6));
    it.decode_engines = 12 - it.prefill_engines;
  }
  for (SizedKind& kind : it.kinds) {
    kind.per_second *= DrawReal(random, 0.5, 1.5);
    kind.own_tokens *= DrawReal(random, 0.5, 1.5);
    kind.answer_tokens *= DrawReal(random, 0.5, 1.5);
    const double ms = base::ToFineMillis(kind.timeout);
    // Half of the time is for all else.
    kind.answer_max =
        std::min(kind.answer_max, 0.5 * ms / (it.step_ms * it.slowness));
    kind.answer_tokens = std::min(kind.answer_tokens, 0.4 * kind.answer_max);
  }
  return it;
}

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_DRAWN_FLEET_H_
