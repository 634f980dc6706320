#include "process/demand_estimator.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lynxglade::process {

namespace {

double Seconds(base::Duration d) {
  return std::chrono::duration<double>(d).count();
}

double Square(double x) {
  return x * x;
}

}  // namespace

DemandEstimator::DemandEstimator(base::Duration fast,
                                 base::Duration slow,
                                 base::Duration trend_decay)
    : fast_s_(Seconds(fast)),
      slow_s_(Seconds(slow)),
      trend_decay_s_(Seconds(trend_decay)) {}

void DemandEstimator::Add(double rate, base::Duration over) noexcept {
  const double dt = Seconds(over);
  if (observed_ == base::Duration::zero()) {
    fast_mean_ = rate;
    slow_mean_ = rate;
    observed_ = over;
    return;
  }
  const double error = rate - At(base::Duration::zero()).mean;
  observed_ += over;
  // Until a window has passed, all samples have about equal weight, so that the
  // first one does not dominate.
  const double age = Seconds(observed_);
  const auto step = [&](double window) {
    return 1 - std::exp(-dt / std::min(window, age));
  };
  fast_mean_ += step(fast_s_) * (rate - fast_mean_);
  slow_mean_ += step(slow_s_) * (rate - slow_mean_);
  noise_ += step(slow_s_) * (Square(error) * dt - noise_);
}

Estimate DemandEstimator::At(base::Duration ahead) const noexcept {
  const double trend_time =
      trend_decay_s_ * (1 - std::exp(-Seconds(ahead) / trend_decay_s_));
  const double reach = fast_s_ + trend_time;
  const double a = reach / (slow_s_ - fast_s_);
  // Variances and covariance of two averages of the same white noise.
  const double fast_var = noise_ / (2 * fast_s_);
  const double slow_var = noise_ / (2 * slow_s_);
  const double covariance = noise_ / (fast_s_ + slow_s_);
  const double variance = Square(1 + a) * fast_var + Square(a) * slow_var -
                          2 * a * (1 + a) * covariance;
  return {std::max(0.0, fast_mean_ + Trend() * reach),
          std::sqrt(std::max(0.0, variance))};
}

double DemandEstimator::Trend() const noexcept {
  const double lag = slow_s_ - fast_s_;
  const double trend = (fast_mean_ - slow_mean_) / lag;
  const double variance =
      noise_ *
      (1 / (2 * fast_s_) + 1 / (2 * slow_s_) - 2 / (fast_s_ + slow_s_)) /
      Square(lag);
  // Shrinks the trend by its variance; 0 if noise alone can explain it.
  const double square = Square(trend);
  return square <= variance ? 0 : trend * (1 - variance / square);
}

}  // namespace lynxglade::process
