// Hands the usage counts of each instance to the instances that collect them.
//
// Collectors are the holder of the reporting duty and a few others, which keep
// the counts of instances that end before they are reported. An instance sends
// each collector the rows that changed since the last update which that
// collector acknowledged, so that a lost datagram costs one period. Rows of
// processes that are gone are passed on by those that have them. The holder
// requests updates from instances that it does not hear from: those that the
// store turns away do not learn of a new holder otherwise.
#ifndef LYNXGLADE_PROCESS_USAGE_USAGE_SHARING_H_
#define LYNXGLADE_PROCESS_USAGE_USAGE_SHARING_H_

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "process/peers/instance_presence.h"
#include "process/peers/peer_datagrams.h"
#include "process/usage/fleet_clock.h"
#include "process/usage/usage_table.h"

namespace lynxglade::process::usage {

struct UsageSharingOptions {
  base::InstanceId instance;
  // This process.
  OriginId origin;
  // Time between two updates: the larger of these, so that a collector receives
  // a bounded number of updates a second however many instances there are.
  base::Duration min_period = std::chrono::milliseconds(250);
  base::Duration period_per_instance = std::chrono::milliseconds(5);
  base::Duration max_period = std::chrono::milliseconds(1500);
  // Without news an update is sent only this often, for the clocks and to show
  // that nothing is missing.
  base::Duration idle_period = std::chrono::milliseconds(1000);
  std::size_t collectors = 3;
  // After this silence of an instance the holder requests an update, and then
  // again as often.
  base::Duration request_period = std::chrono::milliseconds(1000);
  // How long a request is followed.
  base::Duration request_ttl = std::chrono::seconds(5);
  // An instance that has left the presence list may still be serving, isolated
  // from the store, for this long.
  base::Duration isolated_time = std::chrono::seconds(20);
};

// The instances that collect: the holder, if any, then others in an order that
// all instances agree on, of other zones first.
std::vector<peers::InstancePeer> SelectCollectors(
    const std::vector<peers::InstancePeer>& instances,
    const base::InstanceId& holder,
    std::size_t count);

// Not thread-safe: runs on the event loop.
class UsageSharing {
 public:
  UsageSharing(UsageTable& table,
               FleetClock& fleet_clock,
               const peers::InstancePresence& presence,
               peers::PeerDatagrams& datagrams,
               // The holder of the reporting duty; empty while there is none.
               std::function<base::InstanceId()> holder,
               UsageSharingOptions options,
               base::Clock clock);
  UsageSharing(const UsageSharing&) = delete;
  UsageSharing& operator=(const UsageSharing&) = delete;

  // Starts to send, while the socket is open, and to receive.
  void Start();

  // The part of the instances' counts that is probably missing here for a
  // window of `length` that ended at `end`: of an instance that was last heard
  // `t` before the end, t / length of its counts.
  double MissingPart(base::Time end, base::Duration length) const;

 private:
  // What a collector has of this instance's table.
  struct Collector {
    OriginId origin;
    ChangeNumber acknowledged;
  };

  void SendUpdates();
  // Sends the next rows, or an empty update if `even_empty`. False if there was
  // nothing to send.
  bool SendUpdate(const peers::InstancePeer& to, bool even_empty);
  void RequestUpdates();
  // The holder and the others, and those that have requested updates.
  std::vector<peers::InstancePeer> Collectors() const;
  bool HandleUpdate(const peers::InstancePeer& from, std::string_view bytes);
  bool HandleRequest(const peers::InstancePeer& from);
  bool HandleAck(const peers::InstancePeer& from, std::string_view bytes);
  base::Duration Period() const;

  UsageTable& table_;
  FleetClock& fleet_clock_;
  const peers::InstancePresence& presence_;
  peers::PeerDatagrams& datagrams_;
  const std::function<base::InstanceId()> holder_;
  const UsageSharingOptions options_;
  const base::Clock clock_;
  base::Time send_at_{};
  base::Time sent_at_{};
  std::map<base::InstanceId, Collector> collectors_;
  // When each instance last requested updates.
  std::map<base::InstanceId, base::Time> requested_at_;
  base::Time request_at_{};
  // When each instance was last heard, and the process it was then.
  struct Sender {
    base::Time heard{};
    OriginId origin;
  };
  std::map<base::InstanceId, Sender> senders_;
};

}  // namespace lynxglade::process::usage

#endif  // LYNXGLADE_PROCESS_USAGE_USAGE_SHARING_H_
