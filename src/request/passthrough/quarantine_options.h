// Settings of the quarantine for a fleet of relays before opaque requests.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_QUARANTINE_OPTIONS_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_QUARANTINE_OPTIONS_H_

#include "request/quarantine.h"

namespace lynxglade::request::passthrough {

// Streams that a crash broke are resumed at once wherever there is room, by any
// instance: only a second crash makes a content wait for a target of its own.
// No crash is excused by an unstable target; a first quarantine is short
// instead.
inline QuarantineOptions FleetQuarantineOptions() {
  return {.suspect_ttl = std::chrono::minutes(10),
          .quarantine_ttl = std::chrono::minutes(10),
          .first_quarantine_ttl = std::chrono::minutes(1),
          .confirm_timeout = std::chrono::seconds(3),
          .alive_margin = std::chrono::milliseconds(200),
          .rerun_lease = std::chrono::seconds(3),
          .observer_reruns_first = false,
          .lone_rerun_after = 2,
          .crash_avoidance_time = std::chrono::seconds(3),
          .unstable_crash_count = 0,
          .answered_memory = std::chrono::seconds(30)};
}

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_QUARANTINE_OPTIONS_H_
