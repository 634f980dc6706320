#include "fakes/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace lynxglade::fakes {

TokenBucket::TokenBucket(double per_second, double burst) noexcept
    : per_second_(per_second), burst_(burst), tokens_(burst) {}

bool TokenBucket::Take(base::Time now) noexcept {
  if (per_second_ <= 0) {
    return true;
  }
  Refill(now);
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

base::Duration TokenBucket::TimeToNext(base::Time now) noexcept {
  if (per_second_ <= 0) {
    return {};
  }
  Refill(now);
  const double seconds = std::max(0.0, 1 - tokens_) / per_second_;
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(seconds));
}

void TokenBucket::set_rate(double per_second, double burst) noexcept {
  per_second_ = per_second;
  burst_ = burst;
  tokens_ = std::min(tokens_, burst);
}

void TokenBucket::Refill(base::Time now) noexcept {
  const std::chrono::duration<double> passed = now - last_;
  last_ = now;
  tokens_ = std::min(burst_, tokens_ + passed.count() * per_second_);
}

}  // namespace lynxglade::fakes
