#include "request/passthrough/engine_health.h"

#include <algorithm>

namespace lynxglade::request::passthrough {

EngineHealth::EngineHealth(EngineHealthOptions options) noexcept
    : options_(options) {}

void EngineHealth::OnTry(base::Time now) noexcept {
  if (failures_in_a_row_ > 0 && !IsAvoided(now)) {
    avoid_until_ = now + options_.initial_avoidance;
  }
}

void EngineHealth::OnFailure(base::Time now) noexcept {
  constexpr int kMaxDoublings = 8;
  const int doublings = std::min(failures_in_a_row_++, kMaxDoublings);
  avoid_until_ = now + std::min(options_.initial_avoidance * (1 << doublings),
                                options_.max_avoidance);
}

void EngineHealth::OnRejection(bool fetches, base::Time now) noexcept {
  ++rejections_in_a_row_;
  if (!fetches || RejectsAll()) {
    OnFailure(now);
  }
}

void EngineHealth::OnAccepted() noexcept {
  failures_in_a_row_ = 0;
  rejections_in_a_row_ = 0;
  avoid_until_ = {};
}

bool EngineHealth::RejectsAll() const noexcept {
  return rejections_in_a_row_ >= options_.max_rejected_fetches;
}

}  // namespace lynxglade::request::passthrough
