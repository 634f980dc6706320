#include "process/load_rate_limiter.h"

namespace lynxglade::process {

void LoadRateLimiter::SetRate(double loads_per_minute) noexcept {
  loads_per_minute_ = loads_per_minute;
}

bool LoadRateLimiter::Allows(base::Time now) const noexcept {
  if (loads_per_minute_ <= 0) {
    return false;
  }
  if (!any_load_) {
    return true;
  }
  const double elapsed_minutes =
      std::chrono::duration<double, std::ratio<60>>(now - last_).count();
  return elapsed_minutes * loads_per_minute_ >= 1.0;
}

void LoadRateLimiter::RecordLoad(base::Time now) noexcept {
  any_load_ = true;
  last_ = now;
}

}  // namespace lynxglade::process
