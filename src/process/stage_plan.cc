#include "process/stage_plan.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace lynxglade::process {

namespace {

using request::passthrough::EngineHandle;
using request::passthrough::EngineStage;

// The engines of one zone that serve, by stage.
struct ZoneEngines {
  std::vector<EngineHandle> decode;
  std::vector<EngineHandle> prefill;
};

std::map<base::ZoneId, ZoneEngines> ByZone(
    const std::vector<EngineHandle>& engines) {
  std::map<base::ZoneId, ZoneEngines> zones;
  for (const EngineHandle& engine : engines) {
    if (engine->entry.draining) {
      continue;
    }
    ZoneEngines& zone = zones[engine->entry.zone];
    const bool decode = engine->entry.stage == EngineStage::kDecode;
    (decode ? zone.decode : zone.prefill).push_back(engine);
  }
  return zones;
}

}  // namespace

int DecodeEngines(int engines,
                  int zones,
                  const StagePlanOptions& options) noexcept {
  if (engines <= 1) {
    return engines;
  }
  const int least = std::max((options.least_decode + zones - 1) / zones, 1);
  const int wanted =
      static_cast<int>(std::lround(options.decode_share * engines));
  return std::min(std::max(wanted, least), engines - 1);
}

std::vector<StageChange> PlanStages(const std::vector<EngineHandle>& engines,
                                    bool idle,
                                    const StagePlanOptions& options) {
  std::vector<StageChange> changes;
  const auto zones = ByZone(engines);
  for (const auto& [name, zone] : zones) {
    const int decode = static_cast<int>(zone.decode.size());
    const int total = decode + static_cast<int>(zone.prefill.size());
    const int surplus =
        decode - DecodeEngines(total, static_cast<int>(zones.size()), options);
    const bool to_prefill = surplus > 0;
    const auto& from = to_prefill ? zone.decode : zone.prefill;
    std::ranges::transform(
        from.begin(), from.begin() + std::abs(surplus),
        std::back_inserter(changes), [to_prefill](const EngineHandle& it) {
          return StageChange{
              it, to_prefill ? EngineStage::kPrefill : EngineStage::kDecode};
        });
  }
  if (!idle && changes.size() > options.most_at_once) {
    changes.resize(options.most_at_once);
  }
  return changes;
}

}  // namespace lynxglade::process
