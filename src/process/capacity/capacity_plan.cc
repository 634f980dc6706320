#include "process/capacity/capacity_plan.h"

#include <algorithm>
#include <cmath>

namespace lynxglade::process::capacity {

std::string_view ToString(EngineKind kind) noexcept {
  return kind == EngineKind::kRegular ? "regular" : "spot";
}

EngineCounts PlanZone(const ZoneCapacity& zone,
                      const request::passthrough::ScalingTerms& terms,
                      const CapacityPlanOptions& options) noexcept {
  const int total =
      std::clamp(zone.base, std::min(terms.min_engines, terms.max_engines),
                 terms.max_engines);
  const bool spot_pays =
      terms.spot_price > 0 && terms.spot_price <= options.max_spot_price;
  if (!spot_pays) {
    return {.regular = total, .spot = 0};
  }
  const int kept =
      std::clamp(static_cast<int>(std::ceil(options.regular_share * total)),
                 std::min(terms.min_engines, total), total);
  const int wanted =
      std::min(static_cast<int>(std::ceil(options.spot_headroom * total)),
               terms.max_engines);
  // Regular engines leave one for one as spot engines become ready, and do not
  // come back when those are reclaimed: more are to be had again sooner than
  // regular ones would be of use.
  const int regular =
      std::max(kept, std::min(zone.ordered.regular, total - zone.ready.spot));
  // Spot engines come before regular ones leave, and the limit holds meanwhile.
  const int free =
      std::max(terms.max_engines - std::max(regular, zone.ordered.regular), 0);
  return {.regular = regular, .spot = std::clamp(wanted - kept, 0, free)};
}

}  // namespace lynxglade::process::capacity
