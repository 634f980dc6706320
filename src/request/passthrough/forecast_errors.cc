#include "request/passthrough/forecast_errors.h"

#include <algorithm>
#include <cmath>

namespace lynxglade::request::passthrough {

ForecastErrors::ForecastErrors(ForecastErrorsOptions options)
    : options_(options) {}

void ForecastErrors::Record(const base::ServiceName& service,
                            int priority,
                            const ForecastOutcome& outcome,
                            base::Time now) {
  const double foreseen_ms = base::ToFineMillis(outcome.foreseen);
  if (foreseen_ms <= 0 ||
      foreseen_ms < options_.min_forecast_fraction *
                        base::ToFineMillis(outcome.time_limit)) {
    return;
  }
  const double took_ms = std::max(base::ToFineMillis(outcome.took), 1.0) *
                         (outcome.given_up ? options_.given_up_factor : 1);
  const double bound = std::log(options_.max_factor);
  const double ratio =
      std::clamp(std::log(took_ms / foreseen_ms), -bound, bound);
  Estimate& estimate = estimates_[{service, priority}];
  const double before = Decayed(estimate, now);
  estimate.log_ratio = before + options_.learning_rate * (ratio - before);
  estimate.last_at = now;
}

double ForecastErrors::Factor(const base::ServiceName& service,
                              int priority,
                              base::Time now) const {
  const auto it = estimates_.find({service, priority});
  return it == estimates_.end()
             ? 1
             : std::exp(std::max(Decayed(it->second, now), 0.0));
}

double ForecastErrors::Decayed(const Estimate& estimate, base::Time now) const {
  return estimate.log_ratio *
         std::exp(-base::ToFineMillis(now - estimate.last_at) /
                  base::ToFineMillis(options_.decay_time));
}

}  // namespace lynxglade::request::passthrough
