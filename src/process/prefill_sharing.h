// Tells the other instances what this one has engines read, and hears them.
//
// Ten reports a second to each. Where there are many instances only those of
// one availability zone tell each other; the rest is taken to be like them.
#ifndef LYNXGLADE_PROCESS_PREFILL_SHARING_H_
#define LYNXGLADE_PROCESS_PREFILL_SHARING_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "process/instance_presence.h"
#include "process/peer_datagrams.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/peer_prefills.h"

namespace lynxglade::process {

struct PrefillSharingOptions {
  base::InstanceId instance;
  base::ZoneId zone;
  base::Duration period = std::chrono::milliseconds(100);
  // With more instances than this, those of other zones are not told: each
  // would hear over 160 reports a second, and bytes between zones are dear.
  std::size_t max_cross_zone_instances = 16;
};

// The form of a report: a CBOR array of its version and one [engine, priority,
// tokens] a read.
std::string EncodePrefills(
    const std::vector<request::passthrough::PeerPrefill>& prefills);
// Nothing if it is not that.
std::optional<std::vector<request::passthrough::PeerPrefill>> DecodePrefills(
    std::string_view bytes);

// The instances that this one tells and hears.
std::vector<InstancePeer> SharingPeers(const std::vector<InstancePeer>& all,
                                       const PrefillSharingOptions& options);

// Not thread-safe: lives on the event loop.
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

  // Tells and hears while the socket is open.
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
  // Whether the last report named a read; the next then says that none is left.
  bool reported_any_ = false;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_PREFILL_SHARING_H_
