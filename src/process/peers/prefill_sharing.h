// Exchanges reports of the prefill work that each instance has at engines.
//
// In a large fleet instances exchange reports only within their availability
// zone, and the result is scaled up to the whole fleet.
#ifndef LYNXGLADE_PROCESS_PEERS_PREFILL_SHARING_H_
#define LYNXGLADE_PROCESS_PEERS_PREFILL_SHARING_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "process/peers/instance_presence.h"
#include "process/peers/peer_datagrams.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/peer_prefills.h"

namespace lynxglade::process::peers {

struct PrefillSharingOptions {
  base::InstanceId instance;
  base::ZoneId zone;
  base::Duration period = std::chrono::milliseconds(100);
  // With more instances than this, reports stay within the zone: each would
  // receive over 160 reports a second, and traffic between zones is costly.
  std::size_t max_cross_zone_instances = 16;
};

// Encodes a report: a CBOR array of the version and, for each prefill,
// [engine, priority, tokens]. Prefills beyond the maximum are left out.
std::string EncodePrefills(
    const std::vector<request::passthrough::PeerPrefill>& prefills);
// Returns nullopt for malformed bytes.
std::optional<std::vector<request::passthrough::PeerPrefill>> DecodePrefills(
    std::string_view bytes);

// The peers that this instance exchanges reports with.
std::vector<InstancePeer> SharingPeers(const std::vector<InstancePeer>& all,
                                       const PrefillSharingOptions& options);

// Not thread-safe: runs on the event loop.
class PrefillSharing {
 public:
  PrefillSharing(const request::passthrough::EngineTable& engines,
                 const InstancePresence& presence,
                 request::passthrough::PeerPrefills& peer_prefills,
                 PeerDatagrams& datagrams,
                 PrefillSharingOptions options,
                 base::Clock clock);
  PrefillSharing(const PrefillSharing&) = delete;
  PrefillSharing& operator=(const PrefillSharing&) = delete;

  // Starts to send reports, while the socket is open, and to receive them.
  void Start();

 private:
  void SendReport();
  bool HandleReport(const InstancePeer& from, std::string_view bytes);

  const request::passthrough::EngineTable& engines_;
  const InstancePresence& presence_;
  request::passthrough::PeerPrefills& peer_prefills_;
  PeerDatagrams& datagrams_;
  const PrefillSharingOptions options_;
  const base::Clock clock_;
  // Whether the last report was not empty. If so an empty one is sent next, to
  // clear it.
  bool reported_any_ = false;
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_PREFILL_SHARING_H_
