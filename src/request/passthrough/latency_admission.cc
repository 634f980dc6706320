#include "request/passthrough/latency_admission.h"

namespace lynxglade::request::passthrough {

bool MissesLatencyTarget(const LatencyForecast& forecast,
                         base::Duration latency_target,
                         const LatencyAdmissionOptions& options) noexcept {
  return latency_target > base::Duration::zero() &&
         forecast.wait > options.max_wait_per_target * latency_target;
}

bool ExceedsCallerTimeout(const LatencyForecast& forecast,
                          base::Duration time_left,
                          const LatencyAdmissionOptions& options,
                          double capacity_fraction) noexcept {
  return forecast.expected > time_left ||
         forecast.wait >
             capacity_fraction * options.max_wait_per_time_left * time_left;
}

}  // namespace lynxglade::request::passthrough
