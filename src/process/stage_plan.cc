#include "process/stage_plan.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>

namespace lynxglade::process {

namespace {

using request::passthrough::EngineHandle;
using request::passthrough::EngineStage;

// The engines of one zone that serve, by stage.
struct ZoneEngines {
  std::vector<EngineHandle> decode;
  std::vector<EngineHandle> prefill;

  int size() const noexcept {
    return static_cast<int>(decode.size() + prefill.size());
  }
};

std::map<base::ZoneId, ZoneEngines> ByZone(
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

// Each zone's engines that should generate. A zone gets its part of the
// service's, rounded up or down; of the ways to round, one that changes few
// engines.
std::map<base::ZoneId, int> DecodeByZone(
    const std::map<base::ZoneId, ZoneEngines>& zones,
    const StagePlanOptions& options,
    int asked_for) {
  int engines = 0;
  for (const auto& [name, zone] : zones) {
    engines += zone.size();
  }
  std::map<base::ZoneId, int> wanted;
  if (engines == 0) {
    return wanted;
  }
  const int total = std::max(DecodeEngineCount(engines, options),
                             std::min(asked_for, engines - 1));
  int given = 0;
  const auto low = [&](const ZoneEngines& zone) {
    return total * zone.size() / engines;
  };
  const auto high = [&](const ZoneEngines& zone) {
    return (total * zone.size() + engines - 1) / engines;
  };
  for (const auto& [name, zone] : zones) {
    const int now = static_cast<int>(zone.decode.size());
    wanted[name] = std::clamp(now, low(zone), high(zone));
    given += wanted[name];
  }
  for (const auto& [name, zone] : zones) {
    int& n = wanted[name];
    const int step = std::clamp(total - given, low(zone) - n, high(zone) - n);
    n += step;
    given += step;
  }
  return wanted;
}

// Engines whose speeds are not known keep their order.
std::vector<EngineHandle> SlowestFirst(std::vector<EngineHandle> generating) {
  std::ranges::stable_sort(
      generating, std::ranges::greater(),
      [](const EngineHandle& it) { return it->generation_slowness; });
  return generating;
}

std::vector<EngineHandle> FastestFirst(std::vector<EngineHandle> reading) {
  std::ranges::stable_sort(reading, {},
                           [](const EngineHandle& it) { return it->slowness; });
  return reading;
}

}  // namespace

int DecodeEngineCount(int engines, const StagePlanOptions& options) noexcept {
  if (engines <= 1) {
    return engines;
  }
  const int wanted =
      static_cast<int>(std::lround(options.decode_share * engines));
  return std::min(std::max(wanted, options.min_decode_engines), engines - 1);
}

std::vector<StageChange> PlanStages(const std::vector<EngineHandle>& engines,
                                    bool idle,
                                    const StagePlanOptions& options,
                                    int wanted) {
  std::vector<StageChange> changes;
  const auto zones = ByZone(engines);
  const auto by_zone = DecodeByZone(zones, options, wanted);
  for (const auto& [name, zone] : zones) {
    const int surplus = static_cast<int>(zone.decode.size()) - by_zone.at(name);
    const bool to_prefill = surplus > 0;
    const std::vector<EngineHandle> from =
        to_prefill ? SlowestFirst(zone.decode) : FastestFirst(zone.prefill);
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

}  // namespace lynxglade::process
