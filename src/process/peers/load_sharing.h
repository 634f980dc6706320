// Exchanges the load reports of targets between instances.
#ifndef LYNXGLADE_PROCESS_PEERS_LOAD_SHARING_H_
#define LYNXGLADE_PROCESS_PEERS_LOAD_SHARING_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "process/peers/instance_presence.h"
#include "process/peers/peer_datagrams.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/peer_loads.h"

namespace lynxglade::process::peers {

struct LoadSharingOptions {
  base::Duration period = std::chrono::milliseconds(100);
  // With more peers than this nothing is exchanged: datagrams grow with the
  // square of the instances, and where they are so many, targets are lightly
  // used.
  std::size_t max_peers = 64;
};

// Encodes reports as a CBOR array of the version and, for each,
// [engine, running, waiting, slots, age in ms]. Reports beyond the maximum are
// left out.
std::string EncodeLoads(
    const std::vector<request::passthrough::PeerLoad>& loads);
// Returns nullopt for malformed bytes.
std::optional<std::vector<request::passthrough::PeerLoad>> DecodeLoads(
    std::string_view bytes);

// Not thread-safe: runs on the event loop.
class LoadSharing {
 public:
  LoadSharing(const request::passthrough::EngineTable& engines,
              PeerDatagrams& datagrams,
              std::function<std::vector<InstancePeer>()> peers,
              LoadSharingOptions options,
              base::Clock clock);
  LoadSharing(const LoadSharing&) = delete;
  LoadSharing& operator=(const LoadSharing&) = delete;

  // Starts to send reports, while the socket is open, and to receive them.
  void Start();

 private:
  void SendReports();
  bool HandleReports(std::string_view bytes);

  const request::passthrough::EngineTable& engines_;
  PeerDatagrams& datagrams_;
  const std::function<std::vector<InstancePeer>()> peers_;
  const LoadSharingOptions options_;
  const base::Clock clock_;
  base::Time sent_at_{};
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_LOAD_SHARING_H_
