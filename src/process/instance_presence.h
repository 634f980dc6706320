// Says in the store that this instance is up, and counts the others.
//
// The key goes with its lease, so an instance that dies is uncounted when the
// lease runs out. The count shares what the fleet may spend together: while it
// is not known, or the store is away, more instances are assumed, not fewer.
#ifndef LYNXGLADE_PROCESS_INSTANCE_PRESENCE_H_
#define LYNXGLADE_PROCESS_INSTANCE_PRESENCE_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/ip/udp.hpp>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "process/endpoint.h"
#include "process/store_port.h"

namespace lynxglade::process {

struct InstancePresenceOptions {
  base::InstanceId instance;
  // For the other instances: this one's zone, and where it hears them.
  base::ZoneId zone = base::ZoneId("");
  std::optional<Endpoint> peer_endpoint = std::nullopt;
  std::string prefix = "lynxglade/instances/";
  // A dead instance is counted for this long at most.
  base::Duration lease_ttl = std::chrono::seconds(10);
  base::Duration renew_interval = std::chrono::seconds(3);
  // While there is no lease or no key.
  base::Duration retry_interval = std::chrono::milliseconds(500);
  // Assumed before the first list.
  int assumed_instances = 16;
  // A count that was higher so long ago still holds: instances that the store
  // lost sight of may be serving.
  base::Duration count_hold_time = std::chrono::seconds(15);
};

// Another instance, as its key in the store describes it.
struct InstancePeer {
  base::InstanceId instance;
  base::ZoneId zone;
  // Where it hears the other instances.
  connection::event::asio::ip::udp::endpoint endpoint;
};

// Not thread-safe: lives on the event loop.
class InstancePresence {
 public:
  InstancePresence(connection::event::asio::io_context& loop,
                   StorePort& store,
                   InstancePresenceOptions options,
                   base::Clock clock);
  InstancePresence(const InstancePresence&) = delete;
  InstancePresence& operator=(const InstancePresence&) = delete;

  // Keeps the lease and the key until Stop().
  connection::event::Awaitable<void> Run();
  // Gives the lease back; the key goes at once.
  connection::event::Awaitable<void> Leave();
  void Stop() noexcept { stopped_ = true; }

  // For a follower of the prefix.
  void OnList(const std::vector<StoreItem>& items);
  void OnChange(const StoreItem& item);

  // The lease of this instance, once it has one.
  const std::optional<LeaseId>& lease() const noexcept { return lease_; }
  const base::InstanceId& instance() const noexcept {
    return options_.instance;
  }
  // Those that said where they can be told something, this one included.
  const std::vector<InstancePeer>& Peers() const noexcept { return peers_; }
  // Instances that may be up, this one included; at least 1.
  int Count() const;

 private:
  connection::event::Awaitable<void> Renew();
  // One key, written or gone.
  void ApplyItem(const StoreItem& item);
  void UpdateCount();
  std::string SerializeSelf() const;
  std::optional<InstancePeer> ParsePeer(const StoreItem& item) const;

  connection::event::asio::io_context& loop_;
  StorePort& store_;
  const InstancePresenceOptions options_;
  const base::Clock clock_;
  bool stopped_ = false;
  std::optional<LeaseId> lease_;
  bool key_written_ = false;
  std::set<std::string> keys_;
  std::vector<InstancePeer> peers_;
  bool listed_ = false;
  // The highest count lately, and when it was last seen.
  int peak_count_ = 0;
  base::Time peak_seen_at_{};
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_INSTANCE_PRESENCE_H_
