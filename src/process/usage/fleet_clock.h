// Estimates the time of day from the clocks of many instances.
//
// Any clock may be off, or jump, by seconds. The weighted median of the fleet's
// clocks is right as long as fewer than half of them are wrong; between samples
// it is carried on by the boot clock, which does not jump.
#ifndef LYNXGLADE_PROCESS_USAGE_FLEET_CLOCK_H_
#define LYNXGLADE_PROCESS_USAGE_FLEET_CLOCK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

namespace lynxglade::process::usage {

// Milliseconds since the Unix epoch.
using WallMillis = base::StrongNumber<struct WallMillisTag, std::int64_t>;

struct FleetClockOptions {
  // Samples older than this are ignored.
  base::Duration sample_ttl = std::chrono::seconds(20);
  // A clock that moves further than this against the boot clock has jumped. Two
  // samples of one sender that differ by less are one clock, and the higher one
  // was delayed less on its way.
  base::Duration max_drift = std::chrono::milliseconds(200);
};

// Not thread-safe: runs on the event loop.
class FleetClock {
 public:
  FleetClock(base::Clock boot_clock,
             std::function<WallMillis()> wall_clock,
             FleetClockOptions options = {});
  FleetClock(const FleetClock&) = delete;
  FleetClock& operator=(const FleetClock&) = delete;

  // Takes the time of day by another instance's own clock, received just now.
  void AddClock(const base::InstanceId& sender, WallMillis time);
  // Takes another instance's DirectNow(), received just now; `clocks` is the
  // number of clocks behind it.
  void AddEstimate(const base::InstanceId& sender, WallMillis time, int clocks);

  // The estimate for a point in time of the boot clock.
  WallMillis At(base::Time time) const;
  WallMillis Now() const { return At(boot_clock_()); }
  // This instance's own clock, without a jump since the process started.
  WallMillis OwnNow() const;
  // The estimate by clocks of which this instance has samples itself. Only this
  // one is told to others, so that no estimate confirms itself.
  WallMillis DirectNow() const;
  // Number of clocks behind DirectNow(), including this instance's.
  int DirectClocks() const;

 private:
  struct Sample {
    // Time of day minus boot clock.
    base::Duration offset{};
    int clocks = 1;
    base::Time received{};
  };

  using Samples = std::map<base::InstanceId, Sample>;
  // An offset and the number of clocks behind it.
  using WeightedOffset = std::pair<base::Duration, int>;

  void AddSample(Samples& samples,
                 const base::InstanceId& sender,
                 WallMillis time,
                 int clocks);
  base::Duration OwnOffset() const;
  void AppendFresh(const Samples& samples,
                   std::vector<WeightedOffset>* offsets) const;
  bool IsFresh(const Sample& sample) const;

  const base::Clock boot_clock_;
  const std::function<WallMillis()> wall_clock_;
  const FleetClockOptions options_;
  // Offset of the own clock when the process started.
  const base::Duration start_offset_;
  Samples direct_;
  Samples estimates_;
};

}  // namespace lynxglade::process::usage

#endif  // LYNXGLADE_PROCESS_USAGE_FLEET_CLOCK_H_
