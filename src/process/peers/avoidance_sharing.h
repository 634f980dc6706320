// Shares failing targets between instances (see peer_avoidance.h).
//
// An instance sends a target and the remaining time once, when it begins to
// avoid the target or extends that time; nothing is sent while no target fails.
#ifndef LYNXGLADE_PROCESS_PEERS_AVOIDANCE_SHARING_H_
#define LYNXGLADE_PROCESS_PEERS_AVOIDANCE_SHARING_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "process/peers/instance_presence.h"
#include "process/peers/peer_datagrams.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/peer_avoidance.h"

namespace lynxglade::process::peers {

struct AvoidanceSharingOptions {
  // Interval at which newly avoided targets are sent.
  base::Duration period = std::chrono::milliseconds(100);
  // With fewer peers nothing is sent: each instance sees a target often enough
  // itself, and a target that fails only some requests would be avoided by all
  // permanently.
  std::size_t min_peers = 8;
};

// Encodes a CBOR array of the version and, for each engine, [engine, remaining
// milliseconds]. Engines beyond the maximum are left out.
std::string EncodeAvoided(
    const std::vector<request::passthrough::AvoidedEngine>& avoided);
// Returns nullopt for malformed bytes.
std::optional<std::vector<request::passthrough::AvoidedEngine>> DecodeAvoided(
    std::string_view bytes);

// Not thread-safe: runs on the event loop.
class AvoidanceSharing {
 public:
  // `peers` returns the instances to send to.
  AvoidanceSharing(const request::passthrough::EngineTable& engines,
                   request::passthrough::PeerAvoidance& avoidance,
                   PeerDatagrams& datagrams,
                   std::function<std::vector<InstancePeer>()> peers,
                   AvoidanceSharingOptions options,
                   base::Clock clock);
  AvoidanceSharing(const AvoidanceSharing&) = delete;
  AvoidanceSharing& operator=(const AvoidanceSharing&) = delete;

  // Starts to send, while the socket is open, and to receive.
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
  // The end of avoidance last sent, by engine.
  std::map<request::passthrough::EngineKey, base::Time> sent_until_;
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_AVOIDANCE_SHARING_H_
