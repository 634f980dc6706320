#include "request/passthrough/sample_demand.h"

#include <algorithm>
#include <cmath>

namespace lynxglade::request::passthrough {

SampleDemand::SampleDemand(SampleDemandOptions options) : options_(options) {}

void SampleDemand::Add(const PlacementCounts& counts, base::Time now) {
  Fade(now);
  recent_.placed += counts.placed;
  recent_.crowded += counts.crowded;
}

int SampleDemand::Doublings(base::Time now) {
  Fade(now);
  const double crowded =
      recent_.placed > 0 ? recent_.crowded / recent_.placed : 0;
  if (crowded > options_.min_crowded) {
    busy_at_ = now;
  }
  if (crowded > options_.max_crowded && recent_.placed >= options_.min_placed) {
    if (now - changed_at_ >= options_.doubling_period) {
      const int step = crowded > options_.max_crowded_urgent ? 2 : 1;
      doublings_ = std::min(doublings_ + step, options_.max_doublings);
      changed_at_ = now;
    }
  } else if (doublings_ > 0 && now - busy_at_ >= options_.halving_period &&
             now - changed_at_ >= options_.halving_period) {
    --doublings_;
    changed_at_ = now;
  }
  return doublings_;
}

void SampleDemand::Fade(base::Time now) {
  const double factor = std::exp(-base::ToFineMillis(now - faded_at_) /
                                 base::ToFineMillis(options_.averaging_time));
  recent_.placed *= factor;
  recent_.crowded *= factor;
  faded_at_ = now;
}

}  // namespace lynxglade::request::passthrough
