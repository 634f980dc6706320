// Shares store watches within an availability zone: in a large zone a few
// relay instances watch the store, and the others query the relays for changes.
//
// This reduces calls to the store, each of which has a cost, long polls
// included. Relays are derived from the zone's instance list by hash, without
// an election. If the relays fail, are stale or lack the history, the instance
// queries the store within the same call. Either way the caller gets all
// changes in the order of their revisions.
#ifndef LYNXGLADE_PROCESS_PEERS_WATCH_SHARING_H_
#define LYNXGLADE_PROCESS_PEERS_WATCH_SHARING_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/time.h"
#include "base/units.h"
#include "process/peers/change_history.h"
#include "process/peers/instance_presence.h"
#include "process/store/store_port.h"

namespace lynxglade::process::peers {

struct WatchSharingOptions {
  base::InstanceId instance = base::InstanceId("");
  base::ZoneId zone = base::ZoneId("");
  // In a zone with fewer instances each watches the store itself: sharing would
  // save few calls.
  std::size_t min_instances = 8;
  // Relays per zone; the second covers for the loss of the first.
  std::size_t relay_count = 2;
  // Long-poll wait at the store and at a relay. Bounds how long a dead
  // connection goes undetected.
  base::Duration watch_timeout = std::chrono::milliseconds(1000);
  // A relay whose last successful store read is older does not serve changes.
  // Covers one `watch_timeout`, the pause between watches and a slow response;
  // changes must take effect within three seconds at every instance that
  // reaches the store.
  base::Duration max_staleness = std::chrono::milliseconds(1700);
  // A relay that failed is not queried for this long.
  base::Duration relay_backoff = std::chrono::milliseconds(2000);
};

// Why a relay did not return changes.
enum class RelayFault {
  // It has no recent store read, or is not a relay.
  kNotWatching,
  // Its history does not reach back to the revision, or the response is too
  // large.
  kAskStore,
  // It could not be reached, or closed the connection.
  kUnreachable,
  // No response in time.
  kTimeout,
  // The response could not be decoded.
  kMalformed,
};
std::string_view ToString(RelayFault fault) noexcept;

// Queries a relay for the changes after a revision; the relay waits up to
// `wait` for the first. Returns nullopt and sets `*fault` on failure.
using QueryRelay = std::function<connection::event::Awaitable<
    std::optional<store::StoreItems>>(InstancePeer relay,
                                      base::Revision after,
                                      base::Duration wait,
                                      RelayFault* fault)>;

// Selects the relays of the options' zone from `peers` and `self`; empty if the
// zone does not share watches. All instances with the same peers select the
// same relays, and a joining or leaving instance replaces at most one.
std::vector<base::InstanceId> SelectRelays(
    const std::vector<InstancePeer>& peers,
    const base::InstanceId& self,
    const WatchSharingOptions& options);

// Only watches of all keys (empty prefix) are shared; lists and watches of a
// prefix go to the store. Not thread-safe: runs on the event loop.
class WatchSharing : public store::ChangeSource {
 public:
  WatchSharing(connection::event::asio::io_context& loop,
               store::ChangeSource& store,
               WatchSharingOptions options,
               std::function<const std::vector<InstancePeer>&()> peers,
               QueryRelay query_relay,
               base::Clock clock,
               base::Metrics& metrics);
  WatchSharing(const WatchSharing&) = delete;
  WatchSharing& operator=(const WatchSharing&) = delete;

  // Serves the query of another instance. Returns nullopt and sets `*fault` if
  // that instance has to query elsewhere.
  connection::event::Awaitable<std::optional<store::StoreItems>>
  ServeChanges(base::Revision after, base::Duration wait, RelayFault* fault);

  // Whether watches are currently shared in this zone.
  bool IsSharing() const;

  Result<store::StoreItems> List(std::string prefix,
                                 store::Freshness freshness,
                                 store::StoreFault* fault) override;
  // If watches are shared, `watch_timeout` of the options replaces `wait`.
  Result<store::StoreItems> Watch(std::string prefix,
                                  base::Revision after,
                                  base::Duration wait,
                                  store::StoreFault* fault) override;

 private:
  std::vector<base::InstanceId> Relays() const;
  // The relays that are not backed off, in an order that depends on this
  // instance, which spreads the zone's instances over them.
  std::vector<InstancePeer> RelaysToQuery(
      const std::vector<base::InstanceId>& relays) const;
  connection::event::Awaitable<std::optional<store::StoreItems>> QueryRelays(
      const std::vector<InstancePeer>& relays,
      base::Revision after);
  Result<store::StoreItems> WatchStore(base::Revision after,
                                       store::StoreFault* fault);
  // Records changes after a revision that were read from the store itself.
  void RecordChanges(base::Revision after, const store::StoreItems& changes);
  void BackOffFromRelay(const InstancePeer& relay, RelayFault fault);
  base::Time FreshUntil() const;
  void CountWatch(const char* source);

  connection::event::asio::io_context& loop_;
  store::ChangeSource& store_;
  const WatchSharingOptions options_;
  const std::function<const std::vector<InstancePeer>&()> peers_;
  const QueryRelay query_relay_;
  const base::Clock clock_;
  base::Metrics& metrics_;
  ChangeHistory history_;
  // Last successful list or watch of all keys at the store itself.
  std::optional<base::Time> last_store_read_;
  std::map<base::InstanceId, base::Time> backoff_until_;
  // Timers of the peer queries that wait for a change.
  std::set<connection::event::asio::steady_timer*> waiting_timers_;
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_WATCH_SHARING_H_
