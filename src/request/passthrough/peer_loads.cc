#include "request/passthrough/peer_loads.h"

namespace lynxglade::request::passthrough {

std::vector<PeerLoad> OwnLoads(const EngineTable& engines,
                               base::Time since,
                               base::Time now) {
  std::vector<PeerLoad> loads;
  engines.ForEach([&](const Engine& engine) {
    if (engine.own_report_at > since) {
      loads.push_back({KeyOf(engine.entry.id), engine.own_report,
                       now - engine.own_report_at});
    }
  });
  return loads;
}

void ApplyPeerLoads(const EngineTable& engines,
                    const std::vector<PeerLoad>& loads,
                    base::Time now) {
  for (const PeerLoad& it : loads) {
    const EngineHandle engine = engines.FindUsed(it.engine);
    const base::Time reported_at = now - it.age;
    if (engine && reported_at > engine->reported_at) {
      engine->reported = it.load;
      engine->reported_at = reported_at;
    }
  }
}

}  // namespace lynxglade::request::passthrough
