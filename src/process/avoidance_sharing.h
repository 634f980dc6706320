// Tells the other instances of a large availability zone which targets this one
// has found to fail, and hears them (peer_avoidance).
//
// A target is named when this instance begins to avoid it, once, with the time
// for which it does: nothing is told while nothing fails.
#ifndef LYNXGLADE_PROCESS_AVOIDANCE_SHARING_H_
#define LYNXGLADE_PROCESS_AVOIDANCE_SHARING_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "process/instance_presence.h"
#include "process/peer_datagrams.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/peer_avoidance.h"

namespace lynxglade::process {

struct AvoidanceSharingOptions {
  // What fails is told within so long.
  base::Duration period = std::chrono::milliseconds(100);
  // Fewer instances each see a target often enough themselves; and one that
  // fails a part of its requests would be avoided by all, all the time.
  std::size_t min_peers = 8;
};

// An array of the version and [engine, milliseconds] of each.
std::string EncodeAvoided(
    const std::vector<request::passthrough::AvoidedEngine>& avoided);
// Nothing if it is not that.
std::optional<std::vector<request::passthrough::AvoidedEngine>> DecodeAvoided(
    std::string_view bytes);

// Not thread-safe: lives on the event loop.
class AvoidanceSharing {
 public:
  // `peers`: the instances that are told.
  AvoidanceSharing(const request::passthrough::EngineTable& engines,
                   request::passthrough::PeerAvoidance& avoidance,
                   PeerDatagrams& datagrams,
                   std::function<std::vector<InstancePeer>()> peers,
                   AvoidanceSharingOptions options,
                   base::Clock clock);
  AvoidanceSharing(const AvoidanceSharing&) = delete;
  AvoidanceSharing& operator=(const AvoidanceSharing&) = delete;

  // Tells and hears while the socket is open.
  void Start();

 private:
  void SendUpdates();
  bool HandleUpdate(const InstancePeer& from, std::string_view bytes);

  const request::passthrough::EngineTable& engines_;
  request::passthrough::PeerAvoidance& avoidance_;
  PeerDatagrams& datagrams_;
  const std::function<std::vector<InstancePeer>()> peers_;
  const AvoidanceSharingOptions options_;
  const base::Clock clock_;
  // Until when the others know each to be avoided.
  std::map<request::passthrough::EngineKey, base::Time> sent_until_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_AVOIDANCE_SHARING_H_
