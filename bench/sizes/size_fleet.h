// A service of engines that prefill and engines that generate, in one process
// and on simulated time. Shows how often requests are served by their size when
// something is scarce: engines are slow or few, requests come in a burst, or
// answers are long.
//
// Admission and estimates are those of the daemon. Engines prefill the most
// urgent kind first, as those of the platform do.
#ifndef LYNXGLADE_BENCH_SIZES_SIZE_FLEET_H_
#define LYNXGLADE_BENCH_SIZES_SIZE_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "bench/sizes/served_count.h"

namespace lynxglade::bench {

// One kind of request. Sizes are log-normal.
struct SizedKind {
  std::string name;
  // 0 is the most urgent.
  int priority = 0;
  double per_second = 30;
  base::Duration timeout = std::chrono::seconds(5);
  double shared_tokens = 10'000;
  double own_tokens = 3'000;
  double own_spread = 1.1;
  double own_max = 50'000;
  double answer_tokens = 120;
  double answer_spread = 1.2;
  double answer_max = 480;
};

// The kinds of a deployment with albums, captions and notes, and of one with
// short verdicts and long drafts.
std::vector<SizedKind> AlbumKinds();
std::vector<SizedKind> DraftKinds();

struct SizeFleetSettings {
  std::vector<SizedKind> kinds = AlbumKinds();
  int instances = 7;
  int prefill_engines = 6;
  int decode_engines = 12;
  int slots = 64;
  double prefill_tokens_per_ms = 56.6;
  double step_ms = 3.79;
  double step_ms_per_request = 0.0893;
  // Whether callers state what they will generate at most, and not a limit that
  // is common to their kind.
  bool own_limits = false;
  // Of all engines: their times are multiplied by this.
  double slowness = 1;
  // Multiplies the rates of all kinds.
  double load = 1;
  // Whether admission holds the share that is served by size.
  bool by_size = true;
  base::Duration length = std::chrono::seconds(60);
  // Fraction of the shared parts that are not cached.
  double uncached = 0.05;
  std::uint64_t seed = 1;
};

struct KindResult {
  std::string name;
  ServedCount all;
  // The largest tenth, and the fifth below it.
  ServedCount largest;
  ServedCount large;
  // Fraction of all that was admitted and not served.
  double in_vain = 0;

  // The least served class against the whole kind.
  double WorstRatio() const noexcept;
  // The same, in standard deviations by which a class is served less often than
  // `ratio` of the whole kind; negative if none is.
  double Shortfall(double ratio) const noexcept;
};

struct SizeFleetResult {
  std::vector<KindResult> kinds;
  // Fraction of all requests.
  double served = 0;
  double refused = 0;
  // Admitted, and not finished in time.
  double in_vain = 0;

  double WorstRatio() const noexcept;
  // By how many standard deviations the least served kind is served less often
  // than `ratio` of all requests.
  double KindShortfall(double ratio) const noexcept;
};

SizeFleetResult RunSizeFleet(const SizeFleetSettings& settings);

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_SIZES_SIZE_FLEET_H_
