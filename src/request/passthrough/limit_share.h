// Splits the request rate that a target accepts among the instances.
//
// The rate bounds the requests of all instances together, so it is a matter of
// the sum. Equal shares do not work in a large fleet: with a burst of one
// request each, as many requests as there are instances may come at once, and
// without a burst no share is ever large enough for one. Only a few instances
// therefore send regularly: the senders, selected by rendezvous hashing among
// the instances, those of the target's availability zone first. If the requests
// of each of k senders in a window exceed its part by one at most, those of all
// exceed the rate by k.
//
// The other instances only probe, each in its own short slots of a long cycle,
// so that each learns in the end that the limit is over even if it is never
// told.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_LIMIT_SHARE_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_LIMIT_SHARE_H_

#include <chrono>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

namespace lynxglade::request::passthrough {

// An instance that may send to targets.
struct FleetMember {
  base::InstanceId instance;
  base::ZoneId zone;
};

// What an instance knows of the fleet when it computes its share.
struct FleetView {
  // Known instances, this one included.
  std::vector<FleetMember> members;
  // Number of instances that may be up; may exceed `members`.
  int instance_count = 1;
};

// This instance's share of one target's limit.
struct LimitShare {
  // May send at `rate`; other instances only probe.
  bool is_sender = false;
  // Number of senders, and of instances.
  int senders = 0;
  int instances = 0;
  base::PerSecond rate;
  // Probing: one request in each slot of this cycle, whose first slot begins
  // `probe_offset` after the limit was named. Valid unless `is_sender`.
  base::Duration probe_cycle{};
  base::Duration probe_offset{};
};

// Length of a probe slot. An instance without a request in it skips the slot,
// so that the probes of idle instances do not pile up.
inline constexpr base::Duration kProbeSlot = std::chrono::seconds(4);

// The share of `self` of a target in `zone` that accepts `limit`.
LimitShare SelectLimitShare(base::PerSecond limit,
                            const base::TargetId& target,
                            const base::ZoneId& zone,
                            const base::InstanceId& self,
                            const FleetView& fleet);

// Time between requests at the rate.
base::Duration SendInterval(base::PerSecond rate) noexcept;

// The begin of the current probe slot, or of the next one if there is none now.
base::Time ProbeSlotBegin(const LimitShare& share,
                          base::Time named_at,
                          base::Time now) noexcept;

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_LIMIT_SHARE_H_
