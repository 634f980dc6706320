#include "process/usage/fleet_clock.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <utility>
#include <vector>

namespace lynxglade::process::usage {

namespace {

base::Duration OffsetOf(WallMillis time, base::Time now) {
  return std::chrono::milliseconds(time.value()) - now.time_since_epoch();
}

WallMillis TimeAt(base::Time time, base::Duration offset) {
  return WallMillis(base::ToMillis(time.time_since_epoch() + offset));
}

// `offsets` must not be empty.
base::Duration Median(std::vector<std::pair<base::Duration, int>> offsets) {
  std::ranges::sort(offsets);
  int rest =
      std::accumulate(offsets.begin(), offsets.end(), 0,
                      [](int sum, const auto& it) { return sum + it.second; }) /
      2;
  const auto it = std::ranges::find_if(offsets, [&rest](const auto& offset) {
    rest -= offset.second;
    return rest < 0;
  });
  return it == offsets.end() ? offsets.back().first : it->first;
}

}  // namespace

FleetClock::FleetClock(base::Clock boot_clock,
                       std::function<WallMillis()> wall_clock,
                       FleetClockOptions options)
    : boot_clock_(std::move(boot_clock)),
      wall_clock_(std::move(wall_clock)),
      options_(options),
      start_offset_(OffsetOf(wall_clock_(), boot_clock_())) {}

void FleetClock::AddClock(const base::InstanceId& sender, WallMillis time) {
  AddSample(direct_, sender, time, 1);
}

void FleetClock::AddEstimate(const base::InstanceId& sender,
                             WallMillis time,
                             int clocks) {
  AddSample(estimates_, sender, time, clocks);
}

void FleetClock::AddSample(Samples& samples,
                           const base::InstanceId& sender,
                           WallMillis time,
                           int clocks) {
  const base::Time now = boot_clock_();
  std::erase_if(samples,
                [this](const auto& it) { return !IsFresh(it.second); });
  Sample sample{OffsetOf(time, now), std::max(clocks, 1), now};
  const auto it = samples.find(sender);
  if (it != samples.end()) {
    const base::Duration moved = it->second.offset - sample.offset;
    if (moved > base::Duration::zero() && moved <= options_.max_drift) {
      sample.offset = it->second.offset;
    }
  }
  samples[sender] = sample;
}

WallMillis FleetClock::At(base::Time time) const {
  std::vector<WeightedOffset> offsets{{OwnOffset(), 1}};
  AppendFresh(direct_, &offsets);
  AppendFresh(estimates_, &offsets);
  return TimeAt(time, Median(std::move(offsets)));
}

WallMillis FleetClock::OwnNow() const {
  return TimeAt(boot_clock_(), OwnOffset());
}

WallMillis FleetClock::DirectNow() const {
  std::vector<WeightedOffset> offsets{{OwnOffset(), 1}};
  AppendFresh(direct_, &offsets);
  return TimeAt(boot_clock_(), Median(std::move(offsets)));
}

int FleetClock::DirectClocks() const {
  std::vector<WeightedOffset> offsets;
  AppendFresh(direct_, &offsets);
  return static_cast<int>(offsets.size()) + 1;
}

// A gradual correction of the clock is followed, a jump is not.
base::Duration FleetClock::OwnOffset() const {
  const base::Duration offset = OffsetOf(wall_clock_(), boot_clock_());
  return std::chrono::abs(offset - start_offset_) <= options_.max_drift
             ? offset
             : start_offset_;
}

void FleetClock::AppendFresh(const Samples& samples,
                             std::vector<WeightedOffset>* offsets) const {
  for (const auto& [sender, sample] : samples) {
    if (IsFresh(sample)) {
      offsets->emplace_back(sample.offset, sample.clocks);
    }
  }
}

bool FleetClock::IsFresh(const Sample& sample) const {
  return boot_clock_() - sample.received <= options_.sample_ttl;
}

}  // namespace lynxglade::process::usage
