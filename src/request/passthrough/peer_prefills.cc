#include "request/passthrough/peer_prefills.h"

#include <cmath>
#include <utility>

#include "base/hash.h"

namespace lynxglade::request::passthrough {

EngineKey KeyOf(const base::TargetId& id) noexcept {
  return static_cast<EngineKey>(base::Hash64(id.str()));
}

std::vector<PeerPrefill> OwnPrefills(const EngineTable& engines) {
  std::vector<PeerPrefill> prefills;
  engines.ForEach([&prefills](const Engine& engine) {
    for (const auto& [priority, queue] : engine.prefills) {
      if (queue.prefill_tokens > 0) {
        prefills.push_back(
            {KeyOf(engine.entry.id), priority, queue.prefill_tokens});
      }
    }
  });
  return prefills;
}

PeerPrefills::PeerPrefills(PeerPrefillsOptions options) : options_(options) {}

void PeerPrefills::Put(const base::InstanceId& peer,
                       const std::vector<PeerPrefill>& prefills,
                       base::Time now) {
  for (auto& [engine, by_peer] : prefills_) {
    by_peer.erase(peer);
  }
  for (const PeerPrefill& prefill : prefills) {
    prefills_[prefill.engine].emplace(
        peer, Entry{prefill.priority, prefill.prefill_tokens, now});
  }
  std::erase_if(prefills_, [](const auto& it) { return it.second.empty(); });
}

std::int64_t PeerPrefills::PrefillTokens(const base::TargetId& engine,
                                         int priority,
                                         base::Time now) const {
  const auto it = prefills_.find(KeyOf(engine));
  if (it == prefills_.end()) {
    return 0;
  }
  std::int64_t sum = 0;
  for (const auto& [peer, entry] : it->second) {
    if (entry.priority <= priority &&
        now - entry.received_at <= options_.report_ttl) {
      sum += entry.prefill_tokens;
    }
  }
  return std::llround(scale_ * static_cast<double>(sum));
}

}  // namespace lynxglade::request::passthrough
