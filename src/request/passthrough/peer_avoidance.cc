#include "request/passthrough/peer_avoidance.h"

#include <algorithm>

namespace lynxglade::request::passthrough {

std::vector<AvoidedEngine> OwnAvoided(const EngineTable& engines,
                                      base::Time now) {
  std::vector<AvoidedEngine> avoided;
  engines.ForEach([&](const Engine& engine) {
    if (engine.health.IsAvoided(now)) {
      avoided.push_back(
          {KeyOf(engine.entry.id), engine.health.avoid_until() - now});
    }
  });
  return avoided;
}

PeerAvoidance::PeerAvoidance(PeerAvoidanceOptions options)
    : options_(options) {}

void PeerAvoidance::Put(const base::InstanceId& peer,
                        const std::vector<AvoidedEngine>& avoided,
                        base::Time now) {
  for (const AvoidedEngine& it : avoided) {
    avoided_until_[it.engine][peer] =
        now + std::min(it.left, options_.max_duration);
  }
  for (auto& [engine, by_peer] : avoided_until_) {
    std::erase_if(by_peer, [now](const auto& it) { return it.second <= now; });
  }
  std::erase_if(avoided_until_,
                [](const auto& it) { return it.second.empty(); });
}

bool PeerAvoidance::IsAvoided(const base::TargetId& engine,
                              base::Time now) const {
  if (avoided_until_.empty()) {
    return false;
  }
  const auto it = avoided_until_.find(KeyOf(engine));
  if (it == avoided_until_.end()) {
    return false;
  }
  const auto observers = std::ranges::count_if(
      it->second, [now](const auto& peer) { return peer.second > now; });
  return static_cast<std::size_t>(observers) >= options_.min_observers;
}

}  // namespace lynxglade::request::passthrough
