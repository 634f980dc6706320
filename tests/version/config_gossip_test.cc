// Tests of distributing the configuration by watch and by gossip.
#include "version/config_gossip.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "version/configuration_plane.h"
#include "version/instance.h"
#include "version/sample.h"

namespace lynxglade::version {
namespace {

using process::ViewItem;
using process::ViewKind;

// The newest fact per key, as kept by the views.
struct Facts {
  std::map<std::pair<ViewKind, std::string>, ViewItem> newest;

  bool Put(const ViewItem& item) {
    const auto key = std::pair(item.kind, item.key);
    const auto it = newest.find(key);
    if (it != newest.end() && it->second.version >= item.version) {
      return false;
    }
    newest.insert_or_assign(key, item);
    return true;
  }
};

// A tracker that publishes its facts to `facts`.
struct Publisher {
  explicit Publisher(Facts& facts)
      : gossip(base::InstanceId("teller"),
               tracker,
               {[] { return base::Time{}; },
                [&facts](const ViewItem& it) { facts.Put(it); },
                [] { return std::size_t{1}; }},
               metrics) {}

  base::Metrics metrics;
  ConfigTracker tracker{
      {[] { return base::Time{}; },
       {},
       [this](base::Revision revision, const ChainedDelta& delta) {
         gossip.PublishDelta(revision, delta);
       },
       [this](const ConfigSnapshot& snapshot) {
         gossip.PublishSnapshot(snapshot);
       }},
      metrics};
  ConfigGossip gossip;
};

// An instance that cannot reach the key-value service loads the configuration
// from the facts in peers' views, whatever their order.
RC_GTEST_PROP(ConfigGossipTest, NewInstanceLoadsConfigurationFromFacts, ()) {
  Facts facts;
  Publisher publisher(facts);
  Configuration now = SampleConfiguration();
  // Large enough for several snapshot parts.
  now.contracts.begin()->second.display_name = std::string(200, 'x');
  for (int i = 0; i < 800; ++i) {
    const base::ContractId id("filler" + std::to_string(i));
    now.contracts[id].id = id;
  }
  const bool from_snapshot = *rc::gen::arbitrary<bool>();
  if (from_snapshot) {
    now.revision = base::Revision(300);
    publisher.tracker.OfferSnapshot(
        {std::make_shared<const Configuration>(now), "digest"},
        ConfigSource::kService);
    RC_ASSERT(facts.newest.contains({ViewKind::kConfigHead, "whole/1"}));
  }
  for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
    const ConfigSnapshot current = publisher.tracker.GetSnapshot();
    Mutate(&now);
    publisher.tracker.OfferDelta(
        MakeChainedDelta(MakeDelta(*current.configuration, now),
                         current.digest),
        ConfigSource::kLocal);
  }

  std::vector<ViewItem> items;
  for (const auto& [key, item] : facts.newest) {
    items.push_back(item);
  }
  Facts unused;
  Publisher fresh(unused);
  while (!items.empty()) {
    const auto n = *rc::gen::inRange<std::size_t>(0, items.size());
    fresh.gossip.HandleFact(items[n]);
    items.erase(items.begin() + static_cast<std::ptrdiff_t>(n));
  }
  RC_ASSERT(fresh.tracker.ready());
  RC_ASSERT(fresh.tracker.GetSnapshot().digest ==
            publisher.tracker.GetSnapshot().digest);
  RC_ASSERT(*fresh.tracker.Get() == *publisher.tracker.Get());
}

TEST(ConfigGossipTest, RevisionIsPublishedAtBoundedRate) {
  base::Metrics metrics;
  ConfigTracker tracker{{[] { return base::Time{}; }, {}, {}, {}}, metrics};
  base::Time now{std::chrono::hours(1)};
  std::vector<ViewItem> published;
  ConfigGossip gossip(base::InstanceId("i1"), tracker,
                      {[&] { return now; },
                       [&](ViewItem it) { published.push_back(std::move(it)); },
                       [] { return std::size_t{100}; }},
                      metrics);
  const auto change = [&] {
    const ConfigSnapshot current = tracker.GetSnapshot();
    Configuration next = *current.configuration;
    next.services[base::ServiceName(std::to_string(published.size()))].name =
        base::ServiceName(std::to_string(published.size()));
    tracker.OfferDelta(MakeChainedDelta(MakeDelta(*current.configuration, next),
                                        current.digest),
                       ConfigSource::kLocal);
  };
  gossip.Tick();
  EXPECT_TRUE(published.empty());
  change();
  gossip.Tick();
  ASSERT_EQ(published.size(), 1u);
  change();
  gossip.Tick();
  EXPECT_EQ(published.size(), 1u);
  now += std::chrono::seconds(20);
  gossip.Tick();
  ASSERT_EQ(published.size(), 2u);
  EXPECT_EQ(ConfigGossip::DecodeInstanceRevision(published[1])->revision,
            base::Revision(2));
  EXPECT_EQ(ConfigGossip::DecodeInstanceRevision(published[1])->instance.str(),
            "i1");
  // The fact is republished with a newer version before it expires.
  now += std::chrono::minutes(5);
  gossip.Tick();
  ASSERT_EQ(published.size(), 3u);
  EXPECT_GT(published[2].version, published[1].version);
}

// Configuration planes with their threads, one fake key-value service and
// simulated gossip.
class Fleet {
 public:
  explicit Fleet(std::size_t n) : kv_(base::BootClock::now) {
    for (std::size_t i = 0; i < n; ++i) {
      clients_.push_back(std::make_unique<connection::KeyValue>(
          fakes::MakeInProcessTransport(kv_, Name(i)),
          std::chrono::seconds(1)));
      metrics_.push_back(std::make_unique<base::Metrics>());
      planes_.push_back(std::make_unique<ConfigurationPlane>(
          *clients_.back(), Options(i), Hooks(i), *metrics_.back()));
    }
  }

  void Start(std::size_t i) { planes_[i]->Start(); }
  ConfigurationPlane& at(std::size_t i) { return *planes_[i]; }
  fakes::FakeKv& kv() { return kv_; }
  static std::string Name(std::size_t i) { return "i" + std::to_string(i); }

  // Excludes an instance from gossip.
  void CutFromPeers(std::size_t i) {
    const std::scoped_lock lock(mutex_);
    cut_.insert(i);
  }

  // Blocks until all given instances have the revision, bounded by the test's
  // timeout.
  void Await(std::vector<std::size_t> instances, std::int64_t revision) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] {
      return std::ranges::all_of(instances, [&](std::size_t i) {
        return planes_[i]->Current()->revision.value() >= revision;
      });
    });
  }

  // Creates and confirms a plan on one instance.
  void Put(std::size_t i, const std::string& request) {
    const auto made =
        at(i).Handle({"POST", "/v1/admin/plans", {}, request, "boot"});
    ASSERT_EQ(made.status, 201) << made.body;
    const std::string id = nlohmann::json::parse(made.body).at("id");
    const auto done = at(i).Handle(
        {"POST", "/v1/admin/plans/" + id + "/confirm", {}, "", "boot"});
    ASSERT_EQ(done.status, 200) << done.body;
  }

 private:
  static ConfigurationPlaneOptions Options(std::size_t i) {
    ConfigurationPlaneOptions options;
    options.instance = base::InstanceId(Name(i));
    options.bootstrap_key = "boot";
    // Periodic reads are disabled in effect; changes arrive only by watch or
    // gossip.
    options.watcher.watcher_period = std::chrono::hours(1);
    options.watcher.other_period = std::chrono::hours(1);
    return options;
  }

  ConfigurationPlaneHooks Hooks(std::size_t i) {
    ConfigurationPlaneHooks hooks;
    hooks.clock = base::BootClock::now;
    hooks.random = base::SystemRandom();
    hooks.wall_millis = base::WallMillis;
    hooks.on_change = [this] {
      const std::scoped_lock lock(mutex_);
      changed_.notify_all();
    };
    hooks.publish = [this, i](const ViewItem& item) { Deliver(i, item); };
    hooks.revision_facts = [] { return std::vector<ViewItem>(); };
    hooks.member_count = [this] { return planes_.size(); };
    // Only the first instance watches; the others rely on gossip.
    hooks.should_watch = [i] { return i == 0; };
    hooks.fleet = [] { return FleetFacts{}; };
    return hooks;
  }

  void Deliver(std::size_t from, const ViewItem& item) {
    std::vector<std::size_t> receivers;
    {
      const std::scoped_lock lock(mutex_);
      if (cut_.contains(from) || !facts_.Put(item)) {
        return;
      }
      for (std::size_t i = 0; i < planes_.size(); ++i) {
        if (i != from && !cut_.contains(i)) {
          receivers.push_back(i);
        }
      }
    }
    for (const std::size_t i : receivers) {
      planes_[i]->HandleFact(item);
    }
  }

  fakes::FakeKv kv_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Facts facts_;
  std::set<std::size_t> cut_;
  std::vector<std::unique_ptr<connection::KeyValue>> clients_;
  std::vector<std::unique_ptr<base::Metrics>> metrics_;
  std::vector<std::unique_ptr<ConfigurationPlane>> planes_;
};

TEST(ConfigurationPlaneTest, ChangeReachesInstanceCutOffFromTheService) {
  Fleet fleet(4);
  fleet.kv().Cut(Fleet::Name(3));
  for (std::size_t i = 0; i < 4; ++i) {
    fleet.Start(i);
  }
  EXPECT_FALSE(fleet.at(3).ready());
  fleet.Put(2, Basics());
  fleet.Await({0, 1, 2, 3}, 1);
  fleet.Put(1, ShareOf("parish", 0.2));
  fleet.Await({0, 1, 2, 3}, 2);
  EXPECT_TRUE(fleet.at(3).ready());
}

TEST(ConfigurationPlaneTest, WatcherWithoutPeersReceivesChange) {
  Fleet fleet(2);
  fleet.CutFromPeers(0);
  fleet.Start(0);
  fleet.Start(1);
  fleet.Put(1, Basics());
  fleet.Await({0}, 1);
  // The watch recovers after an outage.
  fleet.kv().ApplyFaults({{"unreachable", -1}});
  fleet.kv().ApplyFaults({{"unreachable", 0}});
  fleet.Put(1, ShareOf("parish", 0.2));
  fleet.Await({0}, 2);
}

}  // namespace
}  // namespace lynxglade::version
