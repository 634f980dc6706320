// Requests that callers send to a simulated fleet, and what became of them.
#ifndef LYNXGLADE_BENCH_SIZES_FLEET_TRAFFIC_H_
#define LYNXGLADE_BENCH_SIZES_FLEET_TRAFFIC_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "bench/sizes/size_fleet.h"

namespace lynxglade::bench {

// A request of a caller.
struct Job {
  std::size_t kind = 0;
  std::size_t instance = 0;
  int priority = 0;
  base::Time arrived{};
  double prefill_tokens = 0;
  double prompt_tokens = 0;
  double answer_tokens = 0;
  // As the caller states them.
  std::int64_t expected_tokens = 0;
  std::int64_t max_tokens = 0;
  // As the rule counts it.
  std::int64_t size = 0;
  double generated = 0;
  double event_from = 0;
  base::Time event_at{};
  bool has_bytes = false;
  bool served = false;
  bool admitted = false;
  // Time until the first byte, when it was admitted.
  base::Duration foreseen{};
};
using JobHandle = std::shared_ptr<Job>;

// Not thread-safe.
class FleetTraffic {
 public:
  // `settings` must outlive this object.
  explicit FleetTraffic(const SizeFleetSettings& settings);

  // Requests that arrive in the `length` before `now`.
  std::vector<JobHandle> Arrivals(base::Time now, base::Duration length);
  const std::vector<JobHandle>& jobs() const noexcept { return jobs_; }

 private:
  double Normal() const;
  int Poisson(double expected) const;
  double LogNormal(double mean, double spread, double max) const;
  JobHandle Draw(std::size_t kind, base::Time now) const;

  const SizeFleetSettings& settings_;
  const base::RandomSource random_;
  std::vector<JobHandle> jobs_;
};

// Of the jobs that have ended by `now`.
SizeFleetResult Summarise(const std::vector<SizedKind>& kinds,
                          const std::vector<JobHandle>& jobs,
                          base::Time now);

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_SIZES_FLEET_TRAFFIC_H_
