// Estimates a rate, its trend and the uncertainty of both.
//
// Uses a fast and a slow exponential average. On a ramp the slow average lags
// behind the fast one by a known time, so their difference gives the trend. The
// noise of the samples gives the variance of both.
#ifndef LYNXGLADE_PROCESS_DEMAND_ESTIMATOR_H_
#define LYNXGLADE_PROCESS_DEMAND_ESTIMATOR_H_

#include "base/time.h"

namespace lynxglade::process {

// A forecast value with its standard deviation.
struct Estimate {
  double mean = 0;
  double deviation = 0;
};

// Not thread-safe.
class DemandEstimator {
 public:
  // Time constants of the averages; `fast` must be less than `slow`. A trend is
  // assumed to decay with the time constant `trend_decay`.
  DemandEstimator(base::Duration fast,
                  base::Duration slow,
                  base::Duration trend_decay);

  // Adds the mean rate over the last `over`, which must be positive.
  void Add(double rate, base::Duration over) noexcept;

  // Estimated rate at `ahead` from now; 0 with deviation 0 before the first
  // sample.
  Estimate At(base::Duration ahead) const noexcept;
  // Total duration of the samples.
  base::Duration observed() const noexcept { return observed_; }

 private:
  double Trend() const noexcept;

  double fast_s_;
  double slow_s_;
  double trend_decay_s_;
  base::Duration observed_{};
  double fast_mean_ = 0;
  double slow_mean_ = 0;
  // Variance of a sample's error times the sample's duration.
  double noise_ = 0;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_DEMAND_ESTIMATOR_H_
