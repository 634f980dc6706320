// Targets that other instances currently avoid.
//
// Where many instances share a service each one sends few requests to a target,
// so a crashed target would have to fail at each of them, with a connection
// timeout of 300 ms and a retry each time. An instance therefore also avoids
// targets that several others avoid; one report is not enough, as that
// instance's own network may be broken.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_PEER_AVOIDANCE_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_PEER_AVOIDANCE_H_

#include <cstddef>
#include <map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/peer_prefills.h"

namespace lynxglade::request::passthrough {

// An engine that an instance avoids, and for how long from now.
struct AvoidedEngine {
  EngineKey engine = 0;
  base::Duration left{};

  friend bool operator==(const AvoidedEngine&, const AvoidedEngine&) = default;
};

struct PeerAvoidanceOptions {
  // Number of other instances that must avoid a target.
  std::size_t min_observers = 2;
  // Limits how long one report counts, so that a recovered target is used
  // again.
  base::Duration max_duration = std::chrono::milliseconds(1000);
};

// The targets that this instance avoids because of its own requests, for its
// peers.
std::vector<AvoidedEngine> OwnAvoided(const EngineTable& engines,
                                      base::Time now);

// Not thread-safe: used on the event loop only.
class PeerAvoidance {
 public:
  explicit PeerAvoidance(PeerAvoidanceOptions options = {});
  PeerAvoidance(const PeerAvoidance&) = delete;
  PeerAvoidance& operator=(const PeerAvoidance&) = delete;

  // `peer` avoids these, in addition to its earlier reports.
  void Put(const base::InstanceId& peer,
           const std::vector<AvoidedEngine>& avoided,
           base::Time now);
  // Whether enough instances avoid the target now.
  bool IsAvoided(const base::TargetId& engine, base::Time now) const;

 private:
  const PeerAvoidanceOptions options_;
  // Until when, by engine and instance.
  std::map<EngineKey, std::map<base::InstanceId, base::Time>> avoided_until_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_PEER_AVOIDANCE_H_
