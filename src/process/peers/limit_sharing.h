// Tells other instances when a target names, changes or ends its request limit.
//
// Most instances of a large fleet send a target with a limit no requests and so
// would not learn that the limit has changed or ended. An instance that learns
// it from an answer tells its sharing group and a few instances of each other
// zone, which tell their groups.
#ifndef LYNXGLADE_PROCESS_PEERS_LIMIT_SHARING_H_
#define LYNXGLADE_PROCESS_PEERS_LIMIT_SHARING_H_

#include <cstddef>
#include <map>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "process/peers/instance_presence.h"
#include "process/peers/limit_messages.h"
#include "process/peers/peer_datagrams.h"
#include "process/peers/prefill_sharing.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/send_limits.h"

namespace lynxglade::process::peers {

struct LimitSharingOptions {
  // The group that is told directly.
  PrefillSharingOptions group;
  base::Duration period = std::chrono::milliseconds(100);
  // Each change is sent so often, as datagrams may be lost.
  int repeats = 3;
  // Instances that are told of each zone outside the group.
  std::size_t instances_per_other_zone = 2;
};

// Not thread-safe: runs on the event loop.
class LimitSharing {
 public:
  LimitSharing(const request::passthrough::EngineTable& engines,
               request::passthrough::SendLimits& limits,
               const InstancePresence& presence,
               PeerDatagrams& datagrams,
               LimitSharingOptions options,
               base::Clock clock,
               base::RandomSource random);
  LimitSharing(const LimitSharing&) = delete;
  LimitSharing& operator=(const LimitSharing&) = delete;

  // Starts to send, while the socket is open, and to receive.
  void Start();
  // An answer with these times changed the target's limit.
  void OnOwnChange(const request::passthrough::Engine& engine,
                   const request::passthrough::AnswerTimes& times);

 private:
  // A change that is still to be sent.
  struct Pending {
    request::passthrough::AnswerTimes times;
    int repeats_left = 0;
    // Also to instances outside the group.
    bool to_other_zones = false;
  };

  void SendUpdates();
  std::vector<InstancePeer> PeersOfOtherZones(
      const std::vector<InstancePeer>& group) const;
  void Send(const std::vector<InstancePeer>& peers,
            const std::vector<LimitReport>& reports);
  bool HandleUpdate(const InstancePeer& from, std::string_view bytes);
  void Apply(const InstancePeer& from, const LimitReport& report);

  const request::passthrough::EngineTable& engines_;
  request::passthrough::SendLimits& limits_;
  const InstancePresence& presence_;
  PeerDatagrams& datagrams_;
  const LimitSharingOptions options_;
  const base::Clock clock_;
  const base::RandomSource random_;
  std::map<base::TargetId, Pending> pending_;
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_LIMIT_SHARING_H_
