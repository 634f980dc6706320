// Plans how many engines of each kind a service has in each zone.
//
// A platform may offer engines at a lower price that it can reclaim, all of a
// zone at once. Their caches and their share of the work are lost then, so each
// zone keeps some regular engines, and the rest is of the cheaper kind.
#ifndef LYNXGLADE_PROCESS_CAPACITY_CAPACITY_PLAN_H_
#define LYNXGLADE_PROCESS_CAPACITY_CAPACITY_PLAN_H_

#include <map>
#include <string_view>

#include "base/ids.h"
#include "request/passthrough/scaling_terms.h"

namespace lynxglade::process::capacity {

enum class EngineKind {
  kRegular,
  // Cheaper, and reclaimed at short notice.
  kSpot,
};
std::string_view ToString(EngineKind kind) noexcept;

// Numbers of engines of one zone.
struct EngineCounts {
  int regular = 0;
  int spot = 0;

  int Of(EngineKind kind) const noexcept {
    return kind == EngineKind::kRegular ? regular : spot;
  }
  int& Of(EngineKind kind) noexcept {
    return kind == EngineKind::kRegular ? regular : spot;
  }
  int total() const noexcept { return regular + spot; }

  bool operator==(const EngineCounts&) const = default;
};
using CountsByZone = std::map<base::ZoneId, EngineCounts>;

struct CapacityPlanOptions {
  // Part of a zone's engines that are regular while spot engines are cheaper:
  // what is left of the zone when all its spot engines are reclaimed.
  double regular_share = 0.2;
  // Engines of a zone relative to those that the operator started it with,
  // while spot engines are cheaper. Above 1, so that the other zones carry the
  // work of a zone whose spot engines were reclaimed.
  double spot_headroom = 2.0;
  // Spot engines have to be this much cheaper to be worth a reclaim.
  double max_spot_price = 0.7;
};

// One zone of a service, as the planner sees it.
struct ZoneCapacity {
  // Engines that the operator started the service with.
  int base = 0;
  // Engines that are ready.
  EngineCounts ready;
  // What was ordered last.
  EngineCounts ordered;
  // False for a while after the platform had none.
  bool spot_available = true;
};

// The engines to order. No regular engine is given up before a spot engine
// that replaces it is ready.
EngineCounts PlanZone(const ZoneCapacity& zone,
                      const request::passthrough::ScalingTerms& terms,
                      const CapacityPlanOptions& options) noexcept;

}  // namespace lynxglade::process::capacity

#endif  // LYNXGLADE_PROCESS_CAPACITY_CAPACITY_PLAN_H_
