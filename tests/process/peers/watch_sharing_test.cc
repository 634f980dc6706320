#include "process/peers/watch_sharing.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "process/peers/change_messages.h"
#include "process/peers/change_relay.h"
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

// --- Relay selection

TEST(SelectRelays, SmallZoneHasNoRelays) {
  const WatchSharingOptions options{.zone = kZone};
  EXPECT_TRUE(SelectRelays(Peers(7), base::InstanceId("i0"), options).empty());
  EXPECT_EQ(SelectRelays(Peers(8), base::InstanceId("i0"), options).size(), 2U);
}

TEST(SelectRelays, SelectsOnlyInstancesOfTheZone) {
  const WatchSharingOptions options{.zone = kZone};
  std::vector<InstancePeer> peers = Peers(8);
  for (int i = 0; i < 50; ++i) {
    peers.push_back(Peer("o" + std::to_string(i), base::ZoneId("b")));
  }
  for (const auto& it : SelectRelays(peers, base::InstanceId("i0"), options)) {
    EXPECT_TRUE(it.str().starts_with("i"));
  }
}

// All instances select the same relays, and when an instance leaves, the other
// relays stay.
RC_GTEST_PROP(SelectRelays, IsConsistentAndStable, ()) {
  const WatchSharingOptions options{.zone = kZone};
  const int n = *rc::gen::inRange(10, 80);
  std::vector<InstancePeer> peers = Peers(n);
  const auto relays = SelectRelays(peers, peers[0].instance, options);
  for (const InstancePeer& peer : peers) {
    RC_ASSERT(SelectRelays(peers, peer.instance, options) == relays);
  }
  const auto gone = *rc::gen::inRange(0, n);
  const base::InstanceId gone_id = peers[gone].instance;
  peers.erase(peers.begin() + gone);
  const auto after = SelectRelays(peers, peers[0].instance, options);
  for (const base::InstanceId& it : relays) {
    RC_ASSERT(it == gone_id || std::ranges::find(after, it) != after.end());
  }
}

// --- A zone of instances on one loop

// One instance: a follower of the store through WatchSharing.
struct Instance {
  Instance(asio::io_context& loop,
           store::FakeStorePort& store,
           std::string name,
           const std::vector<InstancePeer>& peers,
           QueryRelay query,
           const base::Time& now)
      : watches(
            loop,
            store,
            {.instance = base::InstanceId(std::move(name)), .zone = kZone},
            [&peers]() -> const std::vector<InstancePeer>& { return peers; },
            std::move(query),
            [&now] { return now; },
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
                   std::ranges::for_each(items,
                                         [this](const store::StoreItem& it) {
                                           seen[it.key] = it.value;
                                         });
                 },
             .on_change =
                 [this](const store::StoreItem& it) { ApplyChange(it); },
             .on_recovered = [] {}},
            [&now] { return now; },
            base::SeededRandom(1),
            metrics) {}

  void ApplyChange(const store::StoreItem& it) {
    in_order = in_order && it.revision > last;
    last = it.revision;
    if (it.deleted) {
      seen.erase(it.key);
    } else {
      seen[it.key] = it.value;
    }
  }

  std::uint64_t Watches(const char* source) const {
    return metrics.CounterValue("lynxglade_watches_total",
                                {{"source", source}});
  }

  base::Metrics metrics;
  std::map<std::string, std::string> seen;
  base::Revision last;
  bool in_order = true;
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
    // The backoff from relays that had not started yet has ended by then.
    now_ += std::chrono::seconds(3);
    store_.Write("start", "1");
    ExpectAllSee();
  }

  QueryRelay MakeFakeQuery() {
    return [this](InstancePeer relay, base::Revision after, base::Duration wait,
                  RelayFault* fault)
               -> Awaitable<std::optional<store::StoreItems>> {
      ++queries_[relay.instance];
      const auto silent = faults_.find(relay.instance);
      if (silent != faults_.end()) {
        *fault = silent->second;
        co_return std::nullopt;
      }
      const auto it =
          std::ranges::find(peers_, relay.instance, &InstancePeer::instance);
      auto& watches = zone_[it - peers_.begin()]->watches;
      const auto changes = co_await watches.ServeChanges(after, wait, fault);
      if (!changes) {
        co_return std::nullopt;
      }
      const auto message = EncodeChanges(*changes);
      if (!message) {
        *fault = RelayFault::kAskStore;
        co_return std::nullopt;
      }
      co_return DecodeChanges(*message);
    };
  }

  bool IsRelay(const Instance& instance) const {
    const auto at = std::ranges::find_if(
        zone_, [&](const auto& it) { return it.get() == &instance; });
    const auto relays = Relays();
    return std::ranges::find(relays, peers_[at - zone_.begin()].instance) !=
           relays.end();
  }

  std::vector<base::InstanceId> Relays() const {
    return SelectRelays(peers_, peers_[0].instance, {.zone = kZone});
  }

  std::map<std::string, std::string> Stored() const {
    std::map<std::string, std::string> items;
    for (const auto& [key, item] : store_.items()) {
      items[key] = item.value;
    }
    return items;
  }

  void ExpectAllSee() {
    const auto stored = Stored();
    store::RunUntil(loop_, [&] {
      return std::ranges::all_of(
          zone_, [&](const auto& it) { return it->seen == stored; });
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
};

TEST_F(WatchSharingTest, OnlyRelaysWatchTheStore) {
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
    EXPECT_EQ(IsRelay(*it), it->Watches("store") > 5);
  }
}

TEST_F(WatchSharingTest, StartingInstancesAcceptAStaleListing) {
  StartZone(30);
  EXPECT_EQ(store_.lists(), 30);
  EXPECT_EQ(store_.stale_lists(), 30);
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
    EXPECT_LE(n, 8);
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
        const auto changes =
            co_await zone_[at - peers_.begin()]->watches.ServeChanges(
                base::Revision(1), std::chrono::seconds(1), &fault);
        answered = changes.has_value();
      },
      asio::detached);
  store::RunReady(loop_);
  EXPECT_FALSE(answered);
  EXPECT_EQ(fault, RelayFault::kNotWatching);
}

TEST_F(WatchSharingTest, TooLargeChangesComeFromTheStore) {
  StartZone(10);
  store_.Write("big", std::string(kMaxRelayedBytes + 1, 'x'));
  ExpectAllSee();
  store_.Write("small", "y");
  ExpectAllSee();
}

// After any sequence of store faults, cut watches, dropped history, relay
// faults and clock advances, all instances converge to the store's contents and
// none has received changes out of order.
RC_GTEST_FIXTURE_PROP(WatchSharingTest, ConvergesAfterAnyFaults, ()) {
  StartZone(10);
  const base::RandomSource random =
      base::SeededRandom(*rc::gen::arbitrary<std::uint64_t>());
  const auto draw = [&random](int n) {
    return static_cast<int>(base::UniformReal(random) * n);
  };
  for (int step = 0; step < 60; ++step) {
    const std::string key = "k" + std::to_string(draw(5));
    const base::InstanceId relay = Relays()[draw(2)];
    switch (draw(10)) {
      case 0:
        store_.Remove(key);
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
        faults_[relay] = static_cast<RelayFault>(draw(5));
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
    relay_ = std::make_unique<ChangeRelay>(
        loop_,
        connection::event::Tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                                         0),
        instance_->watches, [this] { return now_; }, metrics_);
    std::string reason;
    EXPECT_TRUE(relay_->Start(&reason)) << reason;
  }

  // Queries the relay over a connection. Returns nullopt and sets `*fault` on
  // failure.
  std::optional<store::StoreItems> QueryOverConnection(std::int64_t after,
                                                       RelayFault* fault) {
    const QueryRelay query = MakeQueryRelay(loop_, channels_);
    InstancePeer peer = Peer("r");
    peer.endpoint.port(relay_->port());
    std::optional<store::StoreItems> changes;
    bool done = false;
    asio::co_spawn(
        loop_,
        [&]() -> Awaitable<void> {
          changes = co_await query(peer, base::Revision(after),
                                   std::chrono::milliseconds(50), fault);
          done = true;
        },
        asio::detached);
    store::RunUntil(loop_, [&done] { return done; });
    return changes;
  }

  base::Metrics metrics_;
  connection::event::ChannelPool channels_{loop_, base::BootClock::now};
  std::unique_ptr<Instance> instance_;
  std::unique_ptr<ChangeRelay> relay_;
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
  store::RunUntil(loop_,
                  [this] { return instance_->last > base::Revision(0); });
  RelayFault fault{};
  const auto changes = QueryOverConnection(before, &fault);
  ASSERT_TRUE(changes) << ToString(fault);
  ASSERT_EQ(changes->items.size(), 2U);
  EXPECT_EQ(changes->items[0].value, "1");
  EXPECT_TRUE(changes->items[1].deleted);
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
        co_await query(peer, base::Revision(1), std::chrono::milliseconds(50),
                       &fault);
        done = true;
      },
      asio::detached);
  store::RunUntil(loop_, [&done] { return done; });
  EXPECT_EQ(fault, RelayFault::kUnreachable);
}

}  // namespace
}  // namespace lynxglade::process::peers
