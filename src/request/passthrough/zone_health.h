// Detects that the targets of an availability zone cannot be reached.
//
// When zones are partitioned every target there would have to fail
// individually, at a connection timeout of 300 ms for each request. A zone
// counts as unreachable when several different targets of it could not be
// reached and none was reached in between. A single request at a time then
// probes it.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ZONE_HEALTH_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ZONE_HEALTH_H_

#include <cstddef>
#include <map>
#include <set>

#include "base/ids.h"
#include "base/time.h"

namespace lynxglade::request::passthrough {

struct ZoneHealthOptions {
  // Different targets in a row. Fewer could be a few crashed engines.
  std::size_t min_unreachable_targets = 3;
  // Earlier failures are ignored.
  base::Duration failure_ttl = std::chrono::milliseconds(2000);
  // Between probe requests to an unreachable zone.
  base::Duration probe_interval = std::chrono::milliseconds(500);
};

// Not thread-safe: used on the event loop only.
class ZoneHealth {
 public:
  explicit ZoneHealth(ZoneHealthOptions options = {});
  ZoneHealth(const ZoneHealth&) = delete;
  ZoneHealth& operator=(const ZoneHealth&) = delete;

  // A connection to a target failed.
  void OnUnreachable(const base::ZoneId& zone,
                     const base::TargetId& target,
                     base::Time now);
  // A target answered.
  void OnReached(const base::ZoneId& zone);
  // A request is being sent to the zone.
  void OnTry(const base::ZoneId& zone, base::Time now);

  // Whether targets of other zones should be preferred; false when a probe is
  // due.
  bool IsUnreachable(const base::ZoneId& zone, base::Time now) const;

 private:
  struct Zone {
    // Targets that could not be reached since the last one that was.
    std::set<base::TargetId> unreachable;
    base::Time last_failure{};
    // When the next request may be sent there.
    base::Time next_probe{};
  };

  // Whether enough different targets failed in a row.
  bool IsSuspect(const Zone& zone) const noexcept {
    return zone.unreachable.size() >= options_.min_unreachable_targets;
  }

  const ZoneHealthOptions options_;
  std::map<base::ZoneId, Zone> zones_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ZONE_HEALTH_H_
