// One watch for many instances: in a large availability zone a few instances
// watch the store, and the others ask these what changed.
//
// Each call to the store is paid for, a waiting watch too: with 295 instances
// that each watch for themselves a calm day takes 9,400 calls, a tenth of what
// it earns. Which instances relay follows from what all know of the zone's
// instances, so nobody is elected and nothing waits for anybody: an instance
// whose relays fail, fall behind or do not reach back asks the store itself, in
// the same call. What is learnt is what the store would have said: changes in
// the order of their revisions, without gaps.
#ifndef LYNXGLADE_PROCESS_WATCH_SHARING_H_
#define LYNXGLADE_PROCESS_WATCH_SHARING_H_

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
#include "process/change_history.h"
#include "process/instance_presence.h"
#include "process/store_port.h"

namespace lynxglade::process {

struct WatchSharingOptions {
  base::InstanceId instance = base::InstanceId("");
  base::ZoneId zone = base::ZoneId("");
  // In a zone of fewer instances each watches for itself: with two relays
  // there is little left to share.
  std::size_t min_instances = 8;
  // A zone's relays: the loss of one costs nobody more than a time-out.
  std::size_t relay_count = 2;
  // Of a watch, at the store and at a relay. Bounds how long a silent
  // connection goes unnoticed.
  base::Duration watch_timeout = std::chrono::milliseconds(1000);
  // A relay that has not heard the store for longer does not answer for it:
  // a wait, the pause between watches and a slow answer. Changes have to be in
  // force within three seconds at an instance that still reaches the store.
  base::Duration max_staleness = std::chrono::milliseconds(1700);
  // A relay that failed is not asked for so long.
  base::Duration relay_backoff = std::chrono::milliseconds(2000);
};

// Why a relay did not say what changed.
enum class RelayFault {
  // It does not hear the store, or does not relay.
  kNotWatching,
  // Its history does not reach back so far, or the answer is too large.
  kAskStore,
  // It could not be reached, or broke off.
  kUnreachable,
  // No answer in time.
  kTimeout,
  // An answer that cannot be read.
  kMalformed,
};
std::string_view ToString(RelayFault fault) noexcept;

// Asks a relay for the changes after a revision; waits up to `wait` for the
// first.
using QueryRelay =
    std::function<connection::event::Awaitable<std::optional<StoreItems>>(
        InstancePeer relay,
        base::Revision after,
        base::Duration wait,
        RelayFault* fault)>;

// The instances of `zone` that relay, of `peers` and this one (`self`); empty
// where each watches for itself. The same at all instances that know the same
// peers, and little changed when one comes or goes.
std::vector<base::InstanceId> SelectRelays(
    const std::vector<InstancePeer>& peers,
    const base::InstanceId& self,
    const WatchSharingOptions& options);

// Watches of all keys are shared; lists, and watches of some keys, are the
// store's. Not thread-safe: lives on the event loop.
class WatchSharing : public ChangeSource {
 public:
  WatchSharing(connection::event::asio::io_context& loop,
               ChangeSource& store,
               WatchSharingOptions options,
               std::function<const std::vector<InstancePeer>&()> peers,
               QueryRelay ask,
               base::Clock clock,
               base::Metrics& metrics);
  WatchSharing(const WatchSharing&) = delete;
  WatchSharing& operator=(const WatchSharing&) = delete;

  // For an instance that asks this one. Nothing, and why, if it has to ask
  // another.
  connection::event::Awaitable<std::optional<StoreItems>>
  Answer(base::Revision after, base::Duration wait, RelayFault* fault);

  // Whether watches are shared in this zone now.
  bool Shares() const;

  Result<StoreItems> List(std::string prefix,
                          Freshness freshness,
                          StoreFault* fault) override;
  // Where watches are shared the options' wait holds in place of `wait`.
  Result<StoreItems> Watch(std::string prefix,
                           base::Revision after,
                           base::Duration wait,
                           StoreFault* fault) override;

 private:
  std::vector<base::InstanceId> Relays() const;
  // The relays to ask now, half of the zone's instances the one first and half
  // the other.
  std::vector<InstancePeer> RelaysToQuery(
      const std::vector<base::InstanceId>& relays) const;
  connection::event::Awaitable<std::optional<StoreItems>> QueryRelays(
      const std::vector<InstancePeer>& relays,
      base::Revision after);
  Result<StoreItems> WatchStore(base::Revision after, StoreFault* fault);
  // The store itself said what changed after a revision.
  void RecordChanges(base::Revision after, const StoreItems& changes);
  void BackOffFromRelay(const InstancePeer& relay, RelayFault fault);
  base::Time FreshUntil() const;
  void CountWatch(const char* source);

  connection::event::asio::io_context& loop_;
  ChangeSource& store_;
  const WatchSharingOptions options_;
  const std::function<const std::vector<InstancePeer>&()> peers_;
  const QueryRelay query_relay_;
  const base::Clock clock_;
  base::Metrics& metrics_;
  ChangeHistory history_;
  // The store itself was last heard, by a list or watch of this instance.
  std::optional<base::Time> last_store_read_;
  std::map<base::InstanceId, base::Time> backoff_until_;
  // Of instances that wait for a change here.
  std::set<connection::event::asio::steady_timer*> waiting_timers_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_WATCH_SHARING_H_
