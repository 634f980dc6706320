// Exchanges counts of the requests that each instance has served, by route and
// size, so that shares are held as a sum over all instances.
//
// Each instance tells a few others, drawn anew each time, so that what it sends
// and receives does not grow with their number. Shares are ratios, so that a
// sample of the instances is enough.
#ifndef LYNXGLADE_PROCESS_PEERS_SHARE_SHARING_H_
#define LYNXGLADE_PROCESS_PEERS_SHARE_SHARING_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "process/peers/peer_datagrams.h"
#include "request/passthrough/served_shares.h"

namespace lynxglade::process::peers {

struct ShareSharingOptions {
  base::Duration period = std::chrono::seconds(1);
  // Instances that are told in each period.
  std::size_t max_receivers = 16;
};

// Encodes a report: a CBOR array of the version and, for each route, its key
// and for each class of sizes the requests seen and served, in hundredths.
// Routes beyond the maximum are left out.
std::string EncodeShares(
    const std::vector<request::passthrough::RouteShares>& shares);
// Returns nullopt for malformed bytes.
std::optional<std::vector<request::passthrough::RouteShares>> DecodeShares(
    std::string_view bytes);

// Not thread-safe: runs on the event loop.
class ShareSharing {
 public:
  // `peers` returns all other instances.
  ShareSharing(request::passthrough::ServedShares& shares,
               PeerDatagrams& datagrams,
               std::function<std::vector<InstancePeer>()> peers,
               ShareSharingOptions options,
               base::Clock clock,
               base::RandomSource random);
  ShareSharing(const ShareSharing&) = delete;
  ShareSharing& operator=(const ShareSharing&) = delete;

  // Starts to send reports, while the socket is open, and to receive them.
  void Start();

 private:
  void SendReport();
  bool HandleReport(const InstancePeer& from, std::string_view bytes);

  request::passthrough::ServedShares& shares_;
  PeerDatagrams& datagrams_;
  const std::function<std::vector<InstancePeer>()> peers_;
  const ShareSharingOptions options_;
  const base::Clock clock_;
  const base::RandomSource random_;
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_SHARE_SHARING_H_
