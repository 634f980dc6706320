#include "request/passthrough/prefix_placement.h"

#include <algorithm>
#include <iterator>

#include "base/hash.h"

namespace lynxglade::request::passthrough {

namespace {

// The engine with the highest rendezvous hash: a part's home stays the same
// when other engines join or leave. Null if there is no engine.
EngineHandle HighestScore(const std::vector<EngineHandle>& engines,
                          const PromptPart& part) {
  const auto it = std::ranges::max_element(
      engines, {}, [&part](const EngineHandle& engine) {
        return base::HashPair(engine->entry.id.str(), part.id);
      });
  return it == engines.end() ? nullptr : *it;
}

}  // namespace

PrefixPlacement FindPrefixPlacement(const std::vector<EngineHandle>& usable,
                                    const std::vector<EngineHandle>& engines,
                                    const Prompt& prompt,
                                    base::Duration settle_time,
                                    base::Time now) {
  const PromptPart* shared = prompt.Shared();
  if (!shared || usable.empty()) {
    return {};
  }
  PrefixPlacement placement;
  placement.home = HighestScore(usable, *shared);
  const EngineStage stage = placement.home->entry.stage;
  std::vector<EngineHandle> settled;
  std::ranges::copy_if(engines, std::back_inserter(settled),
                       [&](const EngineHandle& it) {
                         return it->entry.stage == stage &&
                                it->stage_since + settle_time <= now &&
                                !it->health.IsAvoided(now);
                       });
  placement.holder = HighestScore(settled, *shared);
  if (!placement.holder) {
    placement.holder = placement.home;
  }
  return placement;
}

}  // namespace lynxglade::request::passthrough
