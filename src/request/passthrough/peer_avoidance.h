// Targets that other instances avoid, as they last said.
//
// Where hundreds of instances share a service each sees a target once a minute:
// one that has crashed would have to fail each of them in turn, at 300 ms and a
// retry of the fleet's allowance a time. An instance leaves a target alone that
// several others avoid; one is not enough, as its own path may be broken.
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

// An engine that an instance avoids, and for how long more.
struct AvoidedEngine {
  EngineKey engine = 0;
  base::Duration left{};

  friend bool operator==(const AvoidedEngine&, const AvoidedEngine&) = default;
};

struct PeerAvoidanceOptions {
  // Other instances that must avoid a target.
  std::size_t min_observers = 2;
  // What one says counts for so long at most, as a target that is back is to be
  // used.
  base::Duration max_duration = std::chrono::milliseconds(1000);
};

// What this instance avoids by its own requests, for the others.
std::vector<AvoidedEngine> OwnAvoided(const EngineTable& engines,
                                      base::Time now);

// Not thread-safe: lives on the event loop.
class PeerAvoidance {
 public:
  explicit PeerAvoidance(PeerAvoidanceOptions options = {});
  PeerAvoidance(const PeerAvoidance&) = delete;
  PeerAvoidance& operator=(const PeerAvoidance&) = delete;

  // `peer` avoids these, beside those that it named before.
  void Put(const base::InstanceId& peer,
           const std::vector<AvoidedEngine>& avoided,
           base::Time now);
  // Whether enough of them avoid it now.
  bool Avoided(const base::TargetId& engine, base::Time now) const;

 private:
  const PeerAvoidanceOptions options_;
  // Until when, by engine and instance.
  std::map<EngineKey, std::map<base::InstanceId, base::Time>> avoided_until_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_PEER_AVOIDANCE_H_
