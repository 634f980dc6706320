#include "process/peers/watch_sharing.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "process/peers/change_messages.h"
#include "process/peers/change_relay.h"
#include "process/peers/peer_server.h"
#include "process/store/fake_store_port.h"
#include "process/store/prefix_follower.h"

namespace lynxglade::process::peers {
namespace {

using connection::event::Awaitable;
namespace asio = connection::event::asio;

const base::ZoneId kZone("a");

InstancePeer Peer(const std::string& name, const base::ZoneId& zone = kZone) {
  return {
      base::InstanceId(name), zone, {asio::ip::make_address("127.0.0.1"), 1}};
}

std::vector<InstancePeer> Peers(int n) {
  std::vector<InstancePeer> peers;
  for (int i = 0; i < n; ++i) {
    peers.push_back(Peer("i" + std::to_string(i)));
  }
  return peers;
}

// --- A zone of instances on one loop

using request::passthrough::EngineGroup;
using request::passthrough::SamplingLevels;

const EngineGroup kGroup{base::ServiceName("llm"), kZone};

// Keys that begin with "t" are targets of one group.
std::optional<ItemTarget> Classify(const store::StoreItem& item) {
  if (!item.key.starts_with("t")) {
    return std::nullopt;
  }
  return ItemTarget{base::TargetId(item.key), kGroup};
}

bool IsUsed(const SamplingLevels& levels, const std::string& key) {
  return !key.starts_with("t") || levels.Contains(kGroup, base::TargetId(key));
}

WatchSharingOptions OptionsOf(std::string name) {
  WatchSharingOptions options;
  options.selection.instance = base::InstanceId(std::move(name));
  options.selection.zone = kZone;
  return options;
}

// The store as one instance sees it, which may reject it.
class StoreLink : public store::ChangeSource {
 public:
  explicit StoreLink(store::FakeStorePort& store) : store_(store) {}

  void Reject(bool rejects) { rejects_ = rejects; }

  Result<store::StoreItems> List(std::string prefix,
                                 store::Freshness freshness,
                                 store::StoreFault* fault) override {
    if (rejects_) {
      co_return Rejected(fault);
    }
    co_return co_await store_.List(std::move(prefix), freshness, fault);
  }
  Result<store::StoreItems> Watch(std::string prefix,
                                  base::Revision after,
                                  base::Duration wait,
                                  store::StoreFault* fault) override {
    if (rejects_) {
      co_return Rejected(fault);
    }
    co_return co_await store_.Watch(std::move(prefix), after, wait, fault);
  }

 private:
  static std::optional<store::StoreItems> Rejected(store::StoreFault* fault) {
    *fault = store::StoreFault::kBusy;
    return std::nullopt;
  }

  store::FakeStorePort& store_;
  bool rejects_ = false;
};

// One instance: a follower of the store through WatchSharing.
struct Instance {
  Instance(asio::io_context& loop,
           store::FakeStorePort& store,
           std::string name,
           const std::vector<InstancePeer>& peers,
           QueryRelay query,
           const base::Time& now)
      : link(store),
        watches(
            loop,
            link,
            OptionsOf(std::move(name)),
            {.peers = [&peers]() -> const std::vector<InstancePeer>& {
               return peers;
             },
             .query_relay = std::move(query),
             .classify = Classify,
             .on_instance_keys = [](const std::vector<store::StoreItem>&) {},
             .use_levels = [this](const SamplingLevels& it) { levels = it; },
             .take_placements =
                 [this] { return std::exchange(placements, {}); }},
            [&now] { return now; },
            base::SeededRandom(1),
            metrics),
        follower(
            loop,
            watches,
            {.batch_delay = [] { return base::Duration(0); },
             .min_retry_delay = std::chrono::milliseconds(1),
             .max_retry_delay = std::chrono::milliseconds(1)},
            {.on_list =
                 [this](const std::vector<store::StoreItem>& items) {
                   seen.clear();
                   std::ranges::for_each(
                       items,
                       [this](const store::StoreItem& it) { Apply(it); });
                 },
             .on_change =
                 [this](const store::StoreItem& it) { ApplyChange(it); },
             .on_recovered = [](base::Duration) {}},
            [&now] { return now; },
            base::SeededRandom(1),
            metrics) {}

  void ApplyChange(const store::StoreItem& it) {
    in_order = in_order && it.revision > last;
    last = it.revision;
    Apply(it);
  }

  void Apply(const store::StoreItem& it) {
    if (it.deleted) {
      seen.erase(it.key);
    } else {
      seen[it.key] = it.value;
    }
  }

  // Without targets that the levels leave out.
  std::map<std::string, std::string> Used() const {
    std::map<std::string, std::string> used = seen;
    std::erase_if(used,
                  [this](const auto& it) { return !IsUsed(levels, it.first); });
    return used;
  }

  std::uint64_t Watches(const char* source) const {
    return metrics.CounterValue("lynxglade_watches_total",
                                {{"source", source}});
  }

  base::Metrics metrics;
  request::passthrough::PlacementCounts placements;
  SamplingLevels levels;
  std::map<std::string, std::string> seen;
  base::Revision last;
  bool in_order = true;
  StoreLink link;
  WatchSharing watches;
  store::PrefixFollower follower;
};

class WatchSharingTest : public testing::Test {
 protected:
  // The clock advances only when a test moves it, so nothing becomes stale.
  void StartZone(int n) {
    peers_ = Peers(n);
    for (const InstancePeer& peer : peers_) {
      zone_.push_back(std::make_unique<Instance>(
          loop_, store_, peer.instance.str(), peers_, MakeFakeQuery(), now_));
      asio::co_spawn(loop_, zone_.back()->follower.Run(), asio::detached);
    }
    store::RunUntil(loop_, [this] {
      return std::ranges::all_of(
          zone_, [](const auto& it) { return it->follower.Age().has_value(); });
    });
    // The backoff from relays that had not started yet ends meanwhile; no step
    // is so long that a relay becomes stale.
    for (int i = 0; i < 12; ++i) {
      now_ += std::chrono::milliseconds(500);
      store_.Write("start", std::to_string(i));
      ExpectAllSee();
    }
  }

  void AddInstance(const std::string& name) {
    peers_.push_back(Peer(name));
    zone_.push_back(std::make_unique<Instance>(loop_, store_, name, peers_,
                                               MakeFakeQuery(), now_));
    asio::co_spawn(loop_, zone_.back()->follower.Run(), asio::detached);
  }

  QueryRelay MakeFakeQuery() {
    return [this](
               InstancePeer relay, ChangesQuery query, base::Duration timeout,
               RelayFault* fault) -> Awaitable<std::optional<ChangesAnswer>> {
      ++queries_[relay.instance];
      timeouts_.push_back(timeout);
      const auto silent = faults_.find(relay.instance);
      if (silent != faults_.end()) {
        *fault = silent->second;
        co_return std::nullopt;
      }
      const auto it =
          std::ranges::find(peers_, relay.instance, &InstancePeer::instance);
      auto& watches = zone_[it - peers_.begin()]->watches;
      const auto sent = DecodeQuery(EncodeQuery(query));
      EXPECT_TRUE(sent);
      const auto answer = co_await watches.ServeChanges(*sent, fault);
      if (!answer) {
        co_return std::nullopt;
      }
      const auto message = EncodeAnswer(*answer);
      if (!message) {
        *fault = RelayFault::kAskStore;
        co_return std::nullopt;
      }
      relayed_bytes_ += message->size();
      co_return DecodeAnswer(*message);
    };
  }

  Instance& At(const base::InstanceId& instance) {
    const auto it =
        std::ranges::find(peers_, instance, &InstancePeer::instance);
    return *zone_[it - peers_.begin()];
  }

  bool IsRelay(const Instance& instance) const {
    const auto at = std::ranges::find_if(
        zone_, [&](const auto& it) { return it.get() == &instance; });
    const auto relays = Relays();
    return std::ranges::find(relays, peers_[at - zone_.begin()].instance) !=
           relays.end();
  }

  std::vector<base::InstanceId> Relays() const {
    return SelectRelays(peers_, OptionsOf(peers_[0].instance.str()).selection);
  }

  // The store's contents, but for targets that the levels leave out.
  std::map<std::string, std::string> Stored(
      const SamplingLevels& levels = {}) const {
    std::map<std::string, std::string> items;
    for (const auto& [key, item] : store_.items()) {
      if (IsUsed(levels, key)) {
        items[key] = item.value;
      }
    }
    return items;
  }

  bool Sees(const Instance& instance) const {
    return instance.Used() == Stored(instance.levels);
  }

  // Compares one instance at a time, as each comparison reads all keys, and all
  // of them again at the end.
  void ExpectAllSee() {
    std::size_t seeing = 0;
    store::RunUntil(loop_, [&] {
      while (seeing < zone_.size() && Sees(*zone_[seeing])) {
        ++seeing;
      }
      return seeing == zone_.size() &&
             std::ranges::all_of(zone_,
                                 [this](const auto& it) { return Sees(*it); });
    });
    EXPECT_TRUE(std::ranges::all_of(
        zone_, [](const auto& it) { return it->in_order; }));
  }

  asio::io_context loop_;
  store::FakeStorePort store_{loop_};
  base::Time now_ = base::Time() + std::chrono::hours(1);
  std::vector<InstancePeer> peers_;
  std::vector<std::unique_ptr<Instance>> zone_;
  std::map<base::InstanceId, RelayFault> faults_;
  std::map<base::InstanceId, int> queries_;
  std::vector<base::Duration> timeouts_;
  std::size_t relayed_bytes_ = 0;
};

TEST_F(WatchSharingTest, OnlyThePrimaryWatchesTheStore) {
  StartZone(30);
  for (int i = 0; i < 40; ++i) {
    store_.Write("k" + std::to_string(i % 7), std::to_string(i));
    if (i % 5 == 0) {
      store_.Remove("k3");
    }
    ExpectAllSee();
  }
  // An instance whose relays have not started queries the store once or twice.
  for (const auto& it : zone_) {
    EXPECT_EQ(it->watches.CurrentRole() == WatchSharing::Role::kPrimary,
              it->Watches("store") > 5);
  }
}

// Each lists the keys of instances, and all keys only if no relay is ready yet,
// which may be stale but for the relays' own. An instance that had no relay
// lists the keys of instances again before its first watch.
TEST_F(WatchSharingTest, StartingInstancesAcceptAStaleListing) {
  StartZone(30);
  EXPECT_LE(store_.lists(), 90);
  EXPECT_LE(store_.lists() - store_.stale_lists(), 30);
  EXPECT_LE(store_.current_lists_of_all(), 2);
}

// An instance that starts in a zone that runs lists the store's keys of
// instances, and takes the rest from a relay.
TEST_F(WatchSharingTest, StartingInstanceListsFromARelay) {
  StartZone(30);
  const int before = store_.lists();
  AddInstance("late");
  ExpectAllSee();
  EXPECT_EQ(store_.lists(), before + 1);
  EXPECT_EQ(zone_.back()->Watches("store"), 0U);
}

// Hundreds of listings of all keys at once would saturate the store's link:
// while relays are not ready, the others wait for them.
TEST_F(WatchSharingTest, StartingInstancesOfALargeZoneWaitForARelay) {
  StartZone(100);
  EXPECT_LE(store_.lists(), 100 + 2);
}

// A fleet of 3,000 targets of which the load needs few: what the instances
// receive is bounded by the number of targets in use.
TEST_F(WatchSharingTest, FollowersReceiveTheTargetsInUse) {
  StartZone(20);
  const auto relayed = [this](int targets) {
    const std::size_t before = relayed_bytes_;
    for (int i = 0; i < targets; ++i) {
      store_.Write("t" + std::to_string(i), std::string(300, 'x'));
      if (i % 100 == 99) {
        ExpectAllSee();
      }
    }
    ExpectAllSee();
    return relayed_bytes_ - before;
  };
  relayed(3000);
  for (const auto& it : zone_) {
    EXPECT_LT(it->Used().size(), 200U);
    EXPECT_GT(it->levels.Of(kGroup), 0);
  }
  // Another instance takes a few hundred bytes for each target in use.
  const std::size_t before = relayed_bytes_;
  AddInstance("late");
  ExpectAllSee();
  EXPECT_LT(relayed_bytes_ - before, 200U * 400U);
  EXPECT_LT(zone_.back()->seen.size(), 200U);
  // A target in use that leaves is known to all, also to that one.
  const std::string used =
      std::ranges::find_if(zone_.back()->seen, [](const auto& it) {
        return it.first.starts_with("t");
      })->first;
  store_.Remove(used);
  ExpectAllSee();
}

// The load needs more targets than are in use: all instances take the larger
// sample, and none loses a target.
TEST_F(WatchSharingTest, CrowdedRequestsEnlargeTheSample) {
  StartZone(20);
  for (int i = 0; i < 1000; ++i) {
    store_.Write("t" + std::to_string(i), "x");
  }
  ExpectAllSee();
  for (int step = 0; step < 20; ++step) {
    for (const auto& it : zone_) {
      it->placements = {.placed = 10, .crowded = 8};
    }
    now_ += std::chrono::milliseconds(500);
    store_.Write("now", std::to_string(step));
    ExpectAllSee();
  }
  for (const auto& it : zone_) {
    EXPECT_EQ(it->levels.digest(), 0U);
    EXPECT_EQ(it->Used(), Stored());
  }
}

TEST_F(WatchSharingTest, BacksOffFromSilentRelaysAndQueriesTheStore) {
  StartZone(10);
  store_.Write("a", "1");
  ExpectAllSee();
  for (const base::InstanceId& it : Relays()) {
    faults_[it] = RelayFault::kTimeout;
  }
  queries_.clear();
  for (int i = 0; i < 10; ++i) {
    store_.Write("a", "x" + std::to_string(i));
    ExpectAllSee();
  }
  // At most once by each other instance, as the clock does not advance.
  for (const auto& [relay, n] : queries_) {
    EXPECT_LE(n, 9);
  }
}

TEST_F(WatchSharingTest, OneReachableRelayIsEnough) {
  StartZone(10);
  store_.Write("a", "1");
  ExpectAllSee();
  faults_[Relays()[0]] = RelayFault::kUnreachable;
  for (int i = 0; i < 10; ++i) {
    store_.Write("a", "x" + std::to_string(i));
    ExpectAllSee();
  }
}

// Guards against a relay without access to the store reporting "no changes".
TEST_F(WatchSharingTest, StaleRelayDoesNotServeChanges) {
  StartZone(10);
  store_.Write("a", "1");
  ExpectAllSee();
  now_ += std::chrono::seconds(2);
  const base::InstanceId relay = Relays()[0];
  const auto at = std::ranges::find(peers_, relay, &InstancePeer::instance);
  RelayFault fault{};
  bool answered = false;
  asio::co_spawn(
      loop_,
      [&]() -> Awaitable<void> {
        ChangesQuery query;
        query.after = base::Revision(1);
        query.wait = std::chrono::seconds(1);
        const auto changes =
            co_await zone_[at - peers_.begin()]->watches.ServeChanges(query,
                                                                      &fault);
        answered = changes.has_value();
      },
      asio::detached);
  store::RunReady(loop_);
  EXPECT_FALSE(answered);
  EXPECT_EQ(fault, RelayFault::kNotWatching);
}

// A relay that is busy with the snapshots of its zone reads the store late. It
// goes on to serve their pages, or none of the askers would ever get all.
TEST_F(WatchSharingTest, RelayThatReadsLateStillServesSnapshots) {
  StartZone(10);
  now_ += std::chrono::seconds(4);
  const base::InstanceId relay = Relays()[0];
  const auto at = std::ranges::find(peers_, relay, &InstancePeer::instance);
  ChangesQuery query;
  query.after = base::Revision(-1);
  query.snapshot_start = base::Revision(0);
  std::optional<ChangesAnswer> answer;
  RelayFault fault{};
  asio::co_spawn(
      loop_,
      [&]() -> Awaitable<void> {
        answer = co_await zone_[at - peers_.begin()]->watches.ServeChanges(
            query, &fault);
      },
      asio::detached);
  store::RunReady(loop_);
  ASSERT_TRUE(answer) << ToString(fault);
  EXPECT_FALSE(answer->changes.items.empty());
}

// Guards against CONFIG: while the store rejected the primary and had dropped
// its history, the others listed the primary's old snapshot in a circle.
class HistoryGoneTest : public WatchSharingTest,
                        public testing::WithParamInterface<int> {};

TEST_P(HistoryGoneTest, AListingIsNewerThanTheWatchThatFailed) {
  StartZone(GetParam());
  Instance& primary = At(Relays()[0]);
  primary.link.Reject(true);
  store_.CloseWatches();
  store::RunReady(loop_);
  // The primary is stale, its snapshot is not.
  now_ += std::chrono::milliseconds(1800);
  store_.Write("k", "new");
  store_.Compact();
  store::RunUntil(loop_, [&] {
    return std::ranges::all_of(zone_, [&](const auto& it) {
      return it.get() == &primary || Sees(*it);
    });
  });
  EXPECT_FALSE(Sees(primary));
}

INSTANTIATE_TEST_SUITE_P(Instances,
                         HistoryGoneTest,
                         testing::Values(9, 30, 100));

// Guards against CONFIG: an instance that listed again waited for a second at
// each relay that the store rejected.
TEST_F(WatchSharingTest, ARelayThatTheStoreRejectsAnswersListingsAtOnce) {
  StartZone(10);
  Instance& relay = At(Relays()[0]);
  relay.link.Reject(true);
  store_.CloseWatches();
  store::RunReady(loop_);
  now_ += std::chrono::seconds(11);
  ChangesQuery query;
  query.after = base::Revision(-1);
  query.snapshot_start = base::Revision(0);
  query.wait = std::chrono::hours(1);
  std::optional<ChangesAnswer> answer;
  std::optional<RelayFault> fault;
  asio::co_spawn(
      loop_,
      [&]() -> Awaitable<void> {
        RelayFault it{};
        answer = co_await relay.watches.ServeChanges(query, &it);
        fault = it;
      },
      asio::detached);
  store::RunReady(loop_);
  EXPECT_EQ(fault, RelayFault::kNotWatching);
  EXPECT_FALSE(answer);
}

// Guards against CONFIG: a relay that the store rejects and one that is lost
// were waited for one after the other, for longer than changes may take.
TEST_F(WatchSharingTest, RelaysAreAskedNoLongerThanTheViewMayAge) {
  constexpr auto kMost = std::chrono::milliseconds(2000);
  StartZone(10);
  const WatchSharingOptions options;
  for (const int age_ms : {0, 900, 1700, 1800}) {
    const base::Duration age = std::chrono::milliseconds(age_ms);
    now_ += std::chrono::seconds(20);
    store_.Write("k", std::to_string(age_ms));
    faults_.clear();
    ExpectAllSee();
    for (const base::InstanceId& it : Relays()) {
      faults_[it] = RelayFault::kUnreachable;
    }
    now_ += age;
    timeouts_.clear();
    store_.CloseWatches();
    store_.Write("l", std::to_string(age_ms));
    ExpectAllSee();
    for (const base::Duration it : timeouts_) {
      EXPECT_LE(age + it, kMost + options.min_response_time);
    }
  }
}

TEST_F(WatchSharingTest, TooLargeChangesComeFromTheStore) {
  StartZone(10);
  store_.Write("big", std::string(2 * kMaxRelayedBytes + 1, 'x'));
  ExpectAllSee();
  store_.Write("small", "y");
  ExpectAllSee();
}

// After any sequence of store faults, cut watches, dropped history, relay
// faults and clock advances, all instances converge to the store's contents and
// none has received changes out of order.
RC_GTEST_FIXTURE_PROP(WatchSharingTest, ConvergesAfterAnyFaults, ()) {
  StartZone(10);
#ifndef __SANITIZE_ADDRESS__
  // Enough for a sample; a sanitized run would take minutes with them.
  for (int i = 0; i < 400; ++i) {
    store_.Write("t" + std::to_string(i), "x");
  }
#endif
  const base::RandomSource random =
      base::SeededRandom(*rc::gen::arbitrary<std::uint64_t>());
  const auto draw = [&random](int n) {
    return static_cast<int>(base::UniformReal(random) * n);
  };
  for (int step = 0; step < 60; ++step) {
    const std::string key = draw(2) == 0 ? "k" + std::to_string(draw(5))
                                         : "t" + std::to_string(draw(400));
    const base::InstanceId relay = Relays()[draw(2)];
    switch (draw(11)) {
      case 0:
        if (store_.items().contains(key)) {
          store_.Remove(key);
        }
        break;
      case 9:
        zone_[draw(10)]->placements = {.placed = 30, .crowded = 20.0 * draw(2)};
        break;
      case 1:
        store_.Compact();
        break;
      case 2:
        store_.CloseWatches();
        break;
      case 3:
        store_.Fail(draw(2) == 0 ? store::StoreFault::kTimeout
                                 : store::StoreFault::kBusy);
        break;
      case 4:
      case 5:
        store_.Fail(std::nullopt);
        break;
      case 6:
        faults_[relay] = static_cast<RelayFault>(draw(6));
        break;
      case 7:
        faults_.erase(relay);
        break;
      case 8:
        now_ += std::chrono::milliseconds(draw(3000));
        break;
      default:
        store_.Write(key, std::to_string(step));
    }
    if (draw(3) != 0) {
      store::RunReady(loop_);
    }
  }
  store_.Fail(std::nullopt);
  faults_.clear();
  now_ += std::chrono::seconds(3);
  store_.Write("settled", "1");
  ExpectAllSee();
  RC_ASSERT(!HasFailure());
}

// --- Over TCP connections

class ChangeRelayTest : public WatchSharingTest {
 protected:
  ChangeRelayTest() {
    peers_ = Peers(10);
    instance_ = std::make_unique<Instance>(loop_, store_, Relays()[0].str(),
                                           peers_, MakeFakeQuery(), now_);
    relay_ = std::make_unique<PeerServer>(
        loop_,
        connection::event::Tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                                         0),
        instance_->watches, /*tunnels=*/nullptr, [this] { return now_; },
        metrics_);
    std::string reason;
    EXPECT_TRUE(relay_->Start(&reason)) << reason;
  }

  // Queries the relay over a connection. Returns nullopt and sets `*fault` on
  // failure.
  std::optional<ChangesAnswer> QueryOverConnection(std::int64_t after,
                                                   RelayFault* fault) {
    const QueryRelay query = MakeQueryRelay(loop_, channels_);
    InstancePeer peer = Peer("r");
    peer.endpoint.port(relay_->port());
    std::optional<ChangesAnswer> changes;
    bool done = false;
    asio::co_spawn(
        loop_,
        [&]() -> Awaitable<void> {
          ChangesQuery changes_query;
          changes_query.after = base::Revision(after);
          changes_query.wait = std::chrono::milliseconds(50);
          changes = co_await query(peer, changes_query,
                                   std::chrono::milliseconds(450), fault);
          done = true;
        },
        asio::detached);
    store::RunUntil(loop_, [&done] { return done; });
    return changes;
  }

  base::Metrics metrics_;
  connection::event::ChannelPool channels_{loop_, base::BootClock::now};
  std::unique_ptr<Instance> instance_;
  std::unique_ptr<PeerServer> relay_;
};

TEST_F(ChangeRelayTest, InstanceWithoutWatchReportsNotWatching) {
  RelayFault fault{};
  EXPECT_FALSE(QueryOverConnection(1, &fault));
  EXPECT_EQ(fault, RelayFault::kNotWatching);
}

TEST_F(ChangeRelayTest, ReturnsChanges) {
  asio::co_spawn(loop_, instance_->follower.Run(), asio::detached);
  store::RunUntil(loop_,
                  [this] { return instance_->follower.Age().has_value(); });
  const std::int64_t before = 1;
  store_.Write("a", "1");
  store_.Remove("a");
  store_.Write("b", "2");
  store::RunUntil(loop_,
                  [this] { return instance_->last > base::Revision(0); });
  RelayFault fault{};
  const auto changes = QueryOverConnection(before, &fault);
  ASSERT_TRUE(changes) << ToString(fault);
  const auto& items = changes->changes.items;
  ASSERT_EQ(items.size(), 2U);
  EXPECT_EQ(items[0].key, "a");
  EXPECT_TRUE(items[0].deleted);
  EXPECT_EQ(items[1].value, "2");
}

TEST_F(ChangeRelayTest, ClosedPortIsUnreachable) {
  const auto port = relay_->port();
  const QueryRelay query = MakeQueryRelay(loop_, channels_);
  InstancePeer peer = Peer("r");
  peer.endpoint.port(static_cast<std::uint16_t>(port == 1 ? 2 : 1));
  RelayFault fault{};
  bool done = false;
  asio::co_spawn(
      loop_,
      [&]() -> Awaitable<void> {
        ChangesQuery changes_query;
        changes_query.wait = std::chrono::milliseconds(50);
        co_await query(peer, changes_query, std::chrono::milliseconds(450),
                       &fault);
        done = true;
      },
      asio::detached);
  store::RunUntil(loop_, [&done] { return done; });
  EXPECT_EQ(fault, RelayFault::kUnreachable);
}

}  // namespace
}  // namespace lynxglade::process::peers
