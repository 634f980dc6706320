// By how much forecasts of the time until the first byte were too short lately.
//
// A forecast adds up what is known to wait at an engine. More urgent requests
// that arrive later come first, those of other instances are known late, and
// the speed of engines that have just become slow is not known yet. Forecasts
// of a service and priority are therefore multiplied by how much longer recent
// requests took, before they decide whether a request is rejected.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_FORECAST_ERRORS_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_FORECAST_ERRORS_H_

#include <map>
#include <utility>

#include "base/ids.h"
#include "base/time.h"

namespace lynxglade::request::passthrough {

struct ForecastErrorsOptions {
  // Shorter forecasts, as a fraction of the time limit, say nothing of those
  // that decide.
  double min_forecast_fraction = 0.2;
  // Part of the difference to the current estimate by which a request changes
  // it.
  double learning_rate = 0.1;
  // A caller that gave up would have waited this many times as long.
  double given_up_factor = 2;
  // Bound of the factor.
  double max_factor = 4;
  // Time constant with which an estimate without new samples returns to 1.
  base::Duration decay_time = std::chrono::seconds(10);
};

// What became of a forecast of the first byte.
struct ForecastOutcome {
  base::Duration foreseen{};
  // Until the first byte, or until the caller gave up.
  base::Duration took{};
  bool given_up = false;
  // How long the caller would wait.
  base::Duration time_limit{};
};

// Not thread-safe: used on the event loop only.
class ForecastErrors {
 public:
  explicit ForecastErrors(ForecastErrorsOptions options = {});
  ForecastErrors(const ForecastErrors&) = delete;
  ForecastErrors& operator=(const ForecastErrors&) = delete;

  void Record(const base::ServiceName& service,
              int priority,
              const ForecastOutcome& outcome,
              base::Time now);
  // At least 1.
  double Factor(const base::ServiceName& service,
                int priority,
                base::Time now) const;

 private:
  struct Estimate {
    // Mean of the logarithm of the time that it took over the forecast.
    double log_ratio = 0;
    base::Time last_at{};
  };

  double Decayed(const Estimate& estimate, base::Time now) const;

  const ForecastErrorsOptions options_;
  std::map<std::pair<base::ServiceName, int>, Estimate> estimates_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_FORECAST_ERRORS_H_
