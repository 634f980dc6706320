#include "process/stages/stage_plan.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>

namespace lynxglade::process::stages {

namespace {

using request::passthrough::EngineHandle;
using request::passthrough::EngineStage;

// The staged engines of one zone that are not draining.
struct ZoneEngines {
  std::vector<EngineHandle> decode;
  std::vector<EngineHandle> prefill;

  int size() const noexcept {
    return static_cast<int>(decode.size() + prefill.size());
  }
};

std::map<base::ZoneId, ZoneEngines> GroupByZone(
    const std::vector<EngineHandle>& engines) {
  std::map<base::ZoneId, ZoneEngines> zones;
  for (const EngineHandle& engine : engines) {
    if (engine->entry.draining || engine->entry.stage == EngineStage::kPlain) {
      continue;
    }
    ZoneEngines& zone = zones[engine->entry.zone];
    const bool decode = engine->entry.stage == EngineStage::kDecode;
    (decode ? zone.decode : zone.prefill).push_back(engine);
  }
  return zones;
}

// The number of decode engines per zone that changes fewest engines while each
// zone's fraction of decode engines is within the bounds.
std::map<base::ZoneId, int> DecodeCountWithSpare(
    const std::map<base::ZoneId, ZoneEngines>& zones,
    const StagePlanOptions& options) {
  std::map<base::ZoneId, int> by_zone;
  for (const auto& [name, zone] : zones) {
    const int least = DecodeEngineCount(zone.size(), options);
    const int most = static_cast<int>(
        std::ceil(options.max_decode_share_with_spare * zone.size()));
    by_zone[name] = std::clamp(static_cast<int>(zone.decode.size()), least,
                               std::max(least, most));
  }
  return by_zone;
}

// The number of decode engines per zone. Each zone gets its proportional part
// of the service's total, rounded up or down so that few engines change.
std::map<base::ZoneId, int> DecodeCountByZone(
    const std::map<base::ZoneId, ZoneEngines>& zones,
    const StagePlanOptions& options,
    int demanded) {
  int engines = 0;
  for (const auto& [name, zone] : zones) {
    engines += zone.size();
  }
  std::map<base::ZoneId, int> by_zone;
  if (engines == 0) {
    return by_zone;
  }
  const int total = std::max(DecodeEngineCount(engines, options),
                             std::min(demanded, engines - 1));
  int assigned = 0;
  const auto min_count = [&](const ZoneEngines& zone) {
    return total * zone.size() / engines;
  };
  const auto max_count = [&](const ZoneEngines& zone) {
    return (total * zone.size() + engines - 1) / engines;
  };
  for (const auto& [name, zone] : zones) {
    const int current = static_cast<int>(zone.decode.size());
    by_zone[name] = std::clamp(current, min_count(zone), max_count(zone));
    assigned += by_zone[name];
  }
  for (const auto& [name, zone] : zones) {
    int& n = by_zone[name];
    const int step =
        std::clamp(total - assigned, min_count(zone) - n, max_count(zone) - n);
    n += step;
    assigned += step;
  }
  return by_zone;
}

// Both sorts are stable: engines of unknown speed keep their order.
std::vector<EngineHandle> SortSlowestFirst(std::vector<EngineHandle> decode) {
  std::ranges::stable_sort(
      decode, std::ranges::greater(),
      [](const EngineHandle& it) { return it->generation_slowness; });
  return decode;
}

std::vector<EngineHandle> SortFastestFirst(std::vector<EngineHandle> prefill) {
  std::ranges::stable_sort(prefill, {},
                           [](const EngineHandle& it) { return it->slowness; });
  return prefill;
}

}  // namespace

int DecodeEngineCount(int engines, const StagePlanOptions& options) noexcept {
  if (engines <= 1) {
    return engines;
  }
  const int by_share =
      static_cast<int>(std::lround(options.decode_share * engines));
  return std::min(std::max(by_share, options.min_decode_engines), engines - 1);
}

std::vector<StageChange> PlanStages(const std::vector<EngineHandle>& engines,
                                    bool idle,
                                    const StagePlanOptions& options,
                                    int demanded,
                                    bool has_spare) {
  std::vector<StageChange> changes;
  const auto zones = GroupByZone(engines);
  const auto by_zone = has_spare ? DecodeCountWithSpare(zones, options)
                                 : DecodeCountByZone(zones, options, demanded);
  for (const auto& [name, zone] : zones) {
    const int surplus = static_cast<int>(zone.decode.size()) - by_zone.at(name);
    const bool to_prefill = surplus > 0;
    const std::vector<EngineHandle> from = to_prefill
                                               ? SortSlowestFirst(zone.decode)
                                               : SortFastestFirst(zone.prefill);
    std::ranges::transform(
        from.begin(), from.begin() + std::abs(surplus),
        std::back_inserter(changes), [to_prefill](const EngineHandle& it) {
          return StageChange{
              it, to_prefill ? EngineStage::kPrefill : EngineStage::kDecode};
        });
  }
  if (!idle && changes.size() > options.max_concurrent_changes) {
    changes.resize(options.max_concurrent_changes);
  }
  return changes;
}

}  // namespace lynxglade::process::stages
