#include "request/passthrough/latency_admission.h"

namespace lynxglade::request::passthrough {

bool MissesLatencyTarget(const LatencyForecast& outlook,
                         base::Duration goal,
                         const LatencyAdmissionOptions& options) noexcept {
  return goal > base::Duration::zero() &&
         outlook.wait > options.max_wait_per_target * goal;
}

bool ExceedsCallerTimeout(const LatencyForecast& outlook,
                          base::Duration left,
                          const LatencyAdmissionOptions& options) noexcept {
  return outlook.expected > left ||
         outlook.wait > options.max_wait_per_time_left * left;
}

}  // namespace lynxglade::request::passthrough
