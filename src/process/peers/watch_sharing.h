// Shares store watches between instances: one relay watches the store, further
// relays follow the first, and the other instances query the relays for
// changes.
//
// This reduces calls to the store, each of which has a cost, long polls
// included, and the bytes that the store sends. Relays are derived from the
// list of instances by hash, without an election. Only relays hold all entries;
// the others get those of the targets in use (see EngineSampling), so what they
// receive does not grow with the fleet. If the relays fail or are stale the
// instance queries the store within the same call. Either way the caller gets
// the newest state of each key in the order of revisions.
#ifndef LYNXGLADE_PROCESS_PEERS_WATCH_SHARING_H_
#define LYNXGLADE_PROCESS_PEERS_WATCH_SHARING_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "base/units.h"
#include "process/peers/change_messages.h"
#include "process/peers/instance_presence.h"
#include "process/peers/listing_turns.h"
#include "process/peers/relay_selection.h"
#include "process/peers/store_replica.h"
#include "process/store/store_port.h"
#include "request/passthrough/engine_sampling.h"
#include "request/passthrough/sample_demand.h"

namespace lynxglade::process::peers {

struct WatchSharingOptions {
  RelaySelectionOptions selection;
  // Prefix of the keys of instances, which are followed by their zone and '/'.
  // A starting instance lists those of its zone first, to learn which instances
  // relay.
  std::string instances_prefix = "lynxglade/instances/";
  // This instance needs the entries of all targets.
  bool follows_everything = false;
  request::passthrough::EngineSamplingOptions sampling;
  // Long-poll wait at the store and at a relay. Bounds how long a dead
  // connection goes undetected.
  base::Duration watch_timeout = std::chrono::milliseconds(1000);
  // A relay whose last successful store read is older does not serve changes.
  // Covers one `watch_timeout`, the pause between watches and a slow response;
  // changes must take effect within three seconds at every instance that
  // reaches the store.
  base::Duration max_staleness = std::chrono::milliseconds(1700);
  // A relay is waited for only until the view is this old, and no second one is
  // asked then, nor any for a listing, but the store: a relay that is lost, and
  // one that the store rejects, must not add up. Less than the time within
  // which changes must take effect.
  base::Duration max_view_age = std::chrono::milliseconds(1800);
  // Added to a query's wait for the round trip and a busy relay.
  base::Duration response_margin = std::chrono::milliseconds(400);
  // Shortest wait at a relay, and time that one gets for a response.
  base::Duration min_relay_wait = std::chrono::milliseconds(100);
  base::Duration min_response_time = std::chrono::milliseconds(250);
  // The same for a page of a snapshot; less than the store's history reaches
  // back.
  base::Duration max_snapshot_staleness = std::chrono::seconds(10);
  // A relay that failed is not queried for this long; doubled with each further
  // failure, up to the maximum.
  base::Duration relay_backoff = std::chrono::milliseconds(2000);
  base::Duration max_relay_backoff = std::chrono::milliseconds(8000);
  // Listings at the store while no relay serves this instance.
  ListingTurnsOptions turns;
  // Taken for the bytes of a listing until one was received.
  std::size_t assumed_listing_bytes = std::size_t{256} * 1024;
  // How long an instance follows all entries after it was asked to stand in for
  // the relays.
  base::Duration stand_in_time = std::chrono::seconds(10);
};

// Why a relay did not return changes.
enum class RelayFault {
  // It has no recent store read, is not a relay, or is behind the asker.
  kNotWatching,
  // The answer is too large; ask the store.
  kAskStore,
  // It could not be reached, or closed the connection.
  kUnreachable,
  // No response in time.
  kTimeout,
  // The response could not be decoded.
  kMalformed,
  // The changes since the revision are not known, or the asker lacks targets
  // that are now in use; ask for a snapshot.
  kResync,
};
std::string_view ToString(RelayFault fault) noexcept;

// Queries a relay for changes; the relay waits for the first. Returns nullopt
// and sets `*fault` on failure. `timeout`: for the response, the relay's wait
// included.
using QueryRelay =
    std::function<connection::event::Awaitable<std::optional<ChangesAnswer>>(
        InstancePeer relay,
        ChangesQuery query,
        base::Duration timeout,
        RelayFault* fault)>;

struct WatchSharingHooks {
  std::function<const std::vector<InstancePeer>&()> peers;
  QueryRelay query_relay;
  ClassifyItem classify;
  // Takes keys of instances in addition to those that are known.
  std::function<void(const std::vector<store::StoreItem>&)> on_instance_keys;
  // Takes the sample of targets to use when it changes.
  std::function<void(const request::passthrough::SamplingLevels&)> use_levels;
  // Requests placed by this instance since the last call.
  std::function<request::passthrough::PlacementCounts()> take_placements;
};

// Only watches of all keys (empty prefix) are shared; lists and watches of a
// prefix go to the store. Not thread-safe: runs on the event loop.
class WatchSharing : public store::ChangeSource {
 public:
  WatchSharing(connection::event::asio::io_context& loop,
               store::ChangeSource& store,
               WatchSharingOptions options,
               WatchSharingHooks hooks,
               base::Clock clock,
               base::RandomSource random,
               base::Metrics& metrics);
  WatchSharing(const WatchSharing&) = delete;
  WatchSharing& operator=(const WatchSharing&) = delete;

  // Serves the query of another instance. Returns nullopt and sets `*fault` if
  // that instance has to query elsewhere.
  connection::event::Awaitable<std::optional<ChangesAnswer>> ServeChanges(
      ChangesQuery query,
      RelayFault* fault);

  // What an instance does for the others.
  enum class Role {
    // Watches are not shared.
    kAlone,
    // Watches the store.
    kPrimary,
    // Follows the primary and serves others, too.
    kSecondary,
    kFollower,
  };
  Role CurrentRole() const;
  // Instances whose queries wait for a change.
  std::size_t waiting_queries() const noexcept {
    return waiting_timers_.size();
  }

  Result<store::StoreItems> List(std::string prefix,
                                 store::Freshness freshness,
                                 store::StoreFault* fault) override;
  // If watches are shared, `watch_timeout` of the options replaces `wait`.
  Result<store::StoreItems> Watch(std::string prefix,
                                  base::Revision after,
                                  base::Duration wait,
                                  store::StoreFault* fault) override;

 private:
  // A relay that failed.
  struct Backoff {
    base::Time until{};
    base::Duration delay{};
    // It did not answer at all.
    bool silent = false;
  };
  // How long a relay is waited for.
  struct RelayTimes {
    // Of the relay for a change.
    base::Duration wait{};
    // For the first response, `wait` included, and for further pages.
    base::Duration first_page{};
    base::Duration page{};
  };
  // Outcome of a query of several relays, each until no page is left.
  struct RelayRead {
    store::StoreItems items;
    std::optional<request::passthrough::SamplingLevels> levels;
  };

  Role RoleAmong(const std::vector<base::InstanceId>& relays) const;
  // Whether this instance receives the entries of all targets.
  bool NeedsEverything(Role role) const;
  // Follows all entries for a while if this instance is no relay and listings
  // are made in turns.
  void StandIn();
  connection::event::Awaitable<void> FillReplica();
  // All items, if they were read for others and are new enough.
  std::optional<store::StoreItems> OwnListing() const;
  bool IsStandingIn() const;
  // The relays to query, in an order that depends on this instance, which
  // spreads the instances over them. Leaves out those that are backed off; for
  // a snapshot only those of them that did not answer.
  std::vector<InstancePeer> RelaysToQuery(
      const std::vector<base::InstanceId>& relays,
      bool for_snapshot) const;
  // Reads from the first relay that answers; nullopt, with `*fault` set, if
  // none does. The query's wait and its timeout are no longer than the age of
  // the view allows.
  connection::event::Awaitable<std::optional<RelayRead>> QueryRelays(
      std::vector<InstancePeer> relays,
      ChangesQuery query,
      RelayFault* fault);
  connection::event::Awaitable<std::optional<RelayRead>> ReadPages(
      InstancePeer relay,
      ChangesQuery query,
      RelayTimes times,
      RelayFault* fault);
  // How long a relay may be asked now; nothing if the time for relays is over.
  // The wait of a query for a snapshot is the least that its relays get.
  std::optional<RelayTimes> TimesForRelay(const ChangesQuery& query,
                                          bool must_ask) const;
  // Whether a listing at this revision is of use: newer than a watch that
  // failed as its history was gone, and not older than what is known.
  bool IsNewEnough(base::Revision listed) const;
  // Watches through relays. nullopt if none answered.
  connection::event::Awaitable<std::optional<store::StoreItems>> WatchRelays(
      Role role,
      std::vector<base::InstanceId> relays,
      base::Revision after,
      RelayFault* fault);
  // Lists from the relays or, if none serves this instance, from those that
  // stand in for them. nullopt if its turn to list the store has come.
  connection::event::Awaitable<std::optional<store::StoreItems>> ListFromOthers(
      store::Freshness* freshness);
  connection::event::Awaitable<std::optional<store::StoreItems>> ListFromRelays(
      Role role,
      std::vector<InstancePeer> relays,
      base::Duration min_wait,
      RelayFault* fault);
  Result<store::StoreItems> WatchStore(base::Revision after,
                                       base::Duration wait,
                                       store::StoreFault* fault);
  Result<store::StoreItems> ListStore(store::Freshness freshness,
                                      store::StoreFault* fault);
  // Lists the instances of the own zone or, if these are too few to share, of
  // all zones.
  connection::event::Awaitable<void> ListInstanceKeys(
      store::Freshness freshness);
  // Whether the instances of the own zone are enough to share watches.
  bool SharesByZone() const;
  // The relays; empty while the instances are not known well enough.
  std::vector<base::InstanceId> Relays() const;
  // The relays while instances list; also before all instances are known.
  std::vector<base::InstanceId> RelaysForListing() const;
  // Notes that no relay serves a listing.
  void BeginRelayWait(RelayFault fault);
  // The turns of the instances that are no relays.
  ListingTurns Turns() const;
  // This instance's turn, from the first failure to list from a relay on.
  base::Duration OwnTurn() const;
  // How many instances, in the order of their ranks, are asked to stand in.
  std::size_t StandInCount() const;
  // Time until this instance may list the store; zero or less if it may.
  base::Duration TimeToTurn() const;
  // Instances whose turn has come, in random order, but for those that lately
  // could not serve.
  std::vector<InstancePeer> StandIns();
  // Estimates the bytes of a complete listing from a listing of the sample that
  // `levels` describe.
  void RecordListing(const store::StoreItems& listed,
                     const request::passthrough::SamplingLevels& levels);
  // Takes the age of a store read and wakes the queries that wait.
  void OnStoreRead(base::Duration age);
  // Waits until the store was read, or for this time.
  connection::event::Awaitable<void> WaitForRead(base::Duration time);
  // Recomputes the levels of an instance that holds all entries.
  void UpdateLevels();
  void UseLevels(request::passthrough::SamplingLevels levels);
  // Whether an instance with those levels knows all targets in use.
  bool KnowsSample(std::uint64_t levels_digest) const;
  // Counts the fault, and backs off from a relay that does not work.
  void RecordRelayFault(const InstancePeer& relay,
                        const ChangesQuery& query,
                        RelayFault fault);
  void LogRole(Role role, const std::vector<base::InstanceId>& relays);
  base::Time FreshUntil() const;
  // Until when the query is answered without another store read.
  base::Time ServableUntil(const ChangesQuery& query) const;
  void CountWatch(const char* source);

  connection::event::asio::io_context& loop_;
  store::ChangeSource& store_;
  const WatchSharingOptions options_;
  const WatchSharingHooks hooks_;
  const base::Clock clock_;
  const base::RandomSource random_;
  base::Metrics& metrics_;
  // Complete at relays only.
  StoreReplica replica_;
  request::passthrough::SampleDemand demand_;
  request::passthrough::SamplingLevels levels_;
  // Levels that were in force here, newest last.
  std::deque<request::passthrough::SamplingLevels> recent_levels_;
  // The newest revision that was returned by a list or watch of all keys.
  base::Revision returned_;
  // The revision of a watch that failed as its history was gone; a listing that
  // is not newer would lead to the same watch.
  std::optional<base::Revision> history_gone_at_;
  // The last call to the store failed.
  bool store_fails_ = false;
  // Bytes of a complete listing, as far as known.
  std::size_t listing_bytes_;
  // Whether the other instances are known: when many start at once, the first
  // listing shows few of them.
  bool instances_known_ = false;
  bool first_listing_ = true;
  // Revision of the newest key of an instance that was listed; a snapshot that
  // is older lacks instances that are known.
  base::Revision instances_seen_at_;
  // First failure to list from a relay since the last listing.
  std::optional<base::Time> relay_wait_began_;
  // Until when instances that could not stand in for the relays are not asked.
  std::map<base::InstanceId, base::Time> not_standing_in_;
  // All entries are followed until then.
  base::Time stand_in_until_{};
  // What was listed and watched lacks the targets that are not in use.
  bool knows_sample_only_ = false;
  // A listing of the store is under way.
  bool lists_store_ = false;
  // No listing for others is begun before.
  base::Time next_fill_{};
  // When the store was last read: by this instance or, at a secondary, by the
  // primary.
  std::optional<base::Time> last_store_read_;
  std::map<base::InstanceId, Backoff> backoffs_;
  // The role that was logged last.
  Role logged_role_ = Role::kAlone;
  // Timers of the peer queries that wait for a change.
  std::set<connection::event::asio::steady_timer*> waiting_timers_;
};

std::string_view ToString(WatchSharing::Role role) noexcept;

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_WATCH_SHARING_H_
