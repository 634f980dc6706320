// A fleet of instances before one target that names a request limit, in one
// process and on simulated time. Shows how much the target gets in a window,
// and how much of its limit is used, for different ways to split the limit.
//
// The parts that decide are those of the daemon. Calls come at random to
// instances of uneven load; what a call may not send goes to other targets.
#ifndef LYNXGLADE_BENCH_LIMITS_LIMIT_FLEET_H_
#define LYNXGLADE_BENCH_LIMITS_LIMIT_FLEET_H_

#include <cstdint>

#include "base/time.h"
#include "base/units.h"
#include "request/passthrough/limit_share.h"

namespace lynxglade::bench {

using SelectShare = decltype(request::passthrough::SelectLimitShare);

// Every instance keeps to the whole limit by itself.
SelectShare SelectWholeLimit;
// Every instance has an equal share, and a burst of one request.
SelectShare SelectEqualShare;

struct LimitFleetSettings {
  int instances = 7;
  int zones = 3;
  // Calls a second of all instances that would go to the target without limit.
  double offered = 20;
  base::PerSecond limit{4.6};
  // The limit is lowered to this halfway; equal to `limit` if it is not.
  base::PerSecond later_limit{4.6};
  // Instances that join, and as many that leave, while the limit is in force.
  int replaced = 0;
  SelectShare* select_share = request::passthrough::SelectLimitShare;
  std::uint64_t seed = 1;
};

struct LimitFleetResult {
  // Most requests in a window of 4 s that begins 3 s after the limit was named
  // or later and lies within the time of one limit, and how many are allowed.
  int most_in_window = 0;
  double allowed = 0;
  // The same for the time of the later limit.
  int most_in_later_window = 0;
  double later_allowed = 0;
  // Requests while the limit was in force, as a fraction of the limit.
  double used = 0;
  // From the end of the limit until half of the offered calls are sent again;
  // negative if that does not happen within a minute.
  double recovery_seconds = -1;

  bool Holds() const noexcept {
    return most_in_window <= allowed && most_in_later_window <= later_allowed;
  }
};

// Runs one fleet: the limit is in force for 40 s, then it ends.
LimitFleetResult RunLimitFleet(const LimitFleetSettings& settings);

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_LIMITS_LIMIT_FLEET_H_
