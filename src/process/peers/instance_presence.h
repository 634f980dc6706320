// Registers this instance in the store, and tracks the other instances.
//
// The key of an instance is bound to its lease and disappears when the lease
// expires. The instance count divides fleet-wide budgets, so it errs high: it
// starts at an assumed value and falls only after a delay.
#ifndef LYNXGLADE_PROCESS_PEERS_INSTANCE_PRESENCE_H_
#define LYNXGLADE_PROCESS_PEERS_INSTANCE_PRESENCE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/ip/udp.hpp>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "process/endpoint.h"
#include "process/store/store_port.h"

namespace lynxglade::process::peers {

struct InstancePresenceOptions {
  base::InstanceId instance;
  // Published to the other instances: this one's zone, and the endpoint where
  // it receives their messages.
  base::ZoneId zone = base::ZoneId("");
  std::optional<Endpoint> peer_endpoint = std::nullopt;
  // Rate of this instance's link, in Mbit/s; 0 if unknown.
  int link_mbps = 0;
  std::string prefix = "lynxglade/instances/";
  // A crashed instance keeps its key for at most this long.
  base::Duration lease_ttl = std::chrono::seconds(20);
  // The renewals of all instances are most of what the store is asked in a
  // large fleet.
  base::Duration renew_interval = std::chrono::seconds(6);
  // Used in place of `renew_interval` while the key is not written.
  base::Duration retry_interval = std::chrono::milliseconds(500);
  // A key that is not seen this long after it was written has been lost.
  base::Duration missing_delay = std::chrono::seconds(2);
  // Count before the first listing.
  int assumed_instances = 16;
  // A higher count is kept for this long: instances whose keys have vanished
  // from the store may still be serving.
  base::Duration count_hold_time = std::chrono::seconds(15);
};

// Another instance, as its key in the store describes it.
struct InstancePeer {
  base::InstanceId instance;
  base::ZoneId zone;
  // Receives datagrams (UDP) and change queries (TCP) of other instances.
  connection::event::asio::ip::udp::endpoint endpoint;
  // Rate of its link, in Mbit/s; 0 if unknown.
  int link_mbps = 0;
};

// Not thread-safe: runs on the event loop.
class InstancePresence {
 public:
  InstancePresence(connection::event::asio::io_context& loop,
                   store::StorePort& store,
                   InstancePresenceOptions options,
                   base::Clock clock);
  InstancePresence(const InstancePresence&) = delete;
  InstancePresence& operator=(const InstancePresence&) = delete;

  // Maintains the lease and the key until Stop().
  connection::event::Awaitable<void> Run();
  // Stops and revokes the lease, which removes the key at once.
  connection::event::Awaitable<void> Leave();
  void Stop() noexcept { stopped_ = true; }

  // Take a full listing, and single changes, of the prefix.
  void OnList(const std::vector<store::StoreItem>& items);
  void OnChange(const store::StoreItem& item);

  // The lease of this instance; empty until it is granted, and after it
  // expired.
  const std::optional<store::LeaseId>& lease() const noexcept { return lease_; }
  const base::InstanceId& instance() const noexcept {
    return options_.instance;
  }
  // Instances that published an endpoint, including this one.
  const std::vector<InstancePeer>& Peers() const noexcept { return peers_; }
  // Changes with Peers().
  std::uint64_t peers_version() const noexcept { return peers_version_; }
  // Number of instances that may be up, including this one; at least 1.
  int Count() const;

 private:
  connection::event::Awaitable<void> Renew();
  // `prefix`, the zone, '/' and the id, so that a zone's keys can be listed.
  std::string OwnKey() const;
  // Whether the store has lost the key, although the lease may be valid.
  bool IsKeyMissing() const;
  // Applies one written or deleted key.
  void ApplyItem(const store::StoreItem& item);
  // The keys are about to change: the highest count was true until now.
  void HoldCount();
  void UpdateCount();
  std::string SerializeSelf() const;
  std::optional<InstancePeer> ParsePeer(const store::StoreItem& item) const;

  connection::event::asio::io_context& loop_;
  store::StorePort& store_;
  const InstancePresenceOptions options_;
  const base::Clock clock_;
  bool stopped_ = false;
  std::optional<store::LeaseId> lease_;
  bool key_written_ = false;
  base::Time written_at_{};
  std::set<std::string> keys_;
  std::vector<InstancePeer> peers_;
  std::uint64_t peers_version_ = 0;
  bool listed_ = false;
  // The highest recent count, and when it was last observed.
  int peak_count_ = 0;
  base::Time peak_seen_at_{};
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_INSTANCE_PRESENCE_H_
