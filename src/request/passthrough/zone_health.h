// Whether the targets of an availability zone can be reached at all.
//
// When zones are cut off from each other every target there would have to fail
// for itself, at 300 ms a request and target. Several different targets of a
// zone that cannot be reached, and none that could in between, say it for all.
// One request at a time then finds out whether the zone is back.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ZONE_HEALTH_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ZONE_HEALTH_H_

#include <cstddef>
#include <map>
#include <set>

#include "base/ids.h"
#include "base/time.h"

namespace lynxglade::request::passthrough {

struct ZoneHealthOptions {
  // Different targets in a row. Fewer would take a few crashed engines for a
  // cut: of 90, the users lose up to 23 at once.
  std::size_t min_unreachable_targets = 3;
  // Failures longer ago say nothing any more.
  base::Duration failure_ttl = std::chrono::milliseconds(2000);
  // Between requests that try a zone that is cut off.
  base::Duration probe_interval = std::chrono::milliseconds(500);
};

// Not thread-safe: lives on the event loop.
class ZoneHealth {
 public:
  explicit ZoneHealth(ZoneHealthOptions options = {});
  ZoneHealth(const ZoneHealth&) = delete;
  ZoneHealth& operator=(const ZoneHealth&) = delete;

  // A connection to a target could not be made.
  void OnUnreachable(const base::ZoneId& zone,
                     const base::TargetId& target,
                     base::Time now);
  // A target answered.
  void OnReached(const base::ZoneId& zone);
  // A request is sent there.
  void OnTry(const base::ZoneId& zone, base::Time now);

  // Whether targets of other zones are to be preferred.
  bool IsUnreachable(const base::ZoneId& zone, base::Time now) const;

 private:
  struct Zone {
    // Targets that could not be reached since one could.
    std::set<base::TargetId> unreachable;
    base::Time last_failure{};
    // No request before then.
    base::Time next_probe{};
  };

  // Whether enough targets in a row speak against the zone.
  bool IsSuspect(const Zone& zone) const noexcept {
    return zone.unreachable.size() >= options_.min_unreachable_targets;
  }

  const ZoneHealthOptions options_;
  std::map<base::ZoneId, Zone> zones_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ZONE_HEALTH_H_
