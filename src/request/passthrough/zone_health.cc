#include "request/passthrough/zone_health.h"

namespace lynxglade::request::passthrough {

ZoneHealth::ZoneHealth(ZoneHealthOptions options) : options_(options) {}

void ZoneHealth::OnUnreachable(const base::ZoneId& zone,
                               const base::TargetId& target,
                               base::Time now) {
  Zone& it = zones_[zone];
  if (now - it.last_failure > options_.failure_ttl) {
    it.unreachable.clear();
  }
  it.unreachable.insert(target);
  it.last_failure = now;
  OnTry(zone, now);
}

void ZoneHealth::OnReached(const base::ZoneId& zone) {
  zones_.erase(zone);
}

void ZoneHealth::OnTry(const base::ZoneId& zone, base::Time now) {
  const auto it = zones_.find(zone);
  if (it != zones_.end() && IsSuspect(it->second)) {
    it->second.next_probe = now + options_.probe_interval;
  }
}

bool ZoneHealth::IsUnreachable(const base::ZoneId& zone, base::Time now) const {
  const auto it = zones_.find(zone);
  return it != zones_.end() && IsSuspect(it->second) &&
         now < it->second.next_probe;
}

}  // namespace lynxglade::request::passthrough
