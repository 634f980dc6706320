#include "bench/knowledge/knowledge_fleet.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/metrics.h"
#include "base/random.h"
#include "process/peers/change_messages.h"
#include "process/store/prefix_follower.h"

namespace lynxglade::bench {

namespace {

using connection::event::Awaitable;
using connection::event::ErrorCode;
using connection::event::Into;
using process::peers::ChangesAnswer;
using process::peers::ChangesQuery;
using process::peers::InstancePeer;
using process::peers::ItemTarget;
using process::peers::RelayFault;
using process::peers::WatchSharing;
using process::store::Freshness;
using process::store::StoreFault;
using process::store::StoreItem;
using process::store::StoreItems;
using request::passthrough::EngineGroup;
using request::passthrough::SamplingLevels;
namespace asio = connection::event::asio;

constexpr char kTargetsPrefix[] = "targets/";
constexpr char kConfigurationKey[] = "configuration";
// Headers of a query and its answer, about.
constexpr std::size_t kHeaderBytes = 250;
// Names of members around an item in JSON, about.
constexpr std::size_t kJsonItemBytes = 80;
// Items of one page of a listing.
constexpr std::size_t kPageItems = 500;

base::Time Now() {
  return base::BootClock::now();
}

std::size_t JsonBytes(const StoreItem& item) {
  return item.key.size() + (item.value.size() + 2) / 3 * 4 + kJsonItemBytes;
}

// A target's key ends with the number of its zone.
std::optional<ItemTarget> Classify(const StoreItem& item) {
  if (!item.key.starts_with(kTargetsPrefix)) {
    return std::nullopt;
  }
  return ItemTarget{base::TargetId(item.key),
                    {base::ServiceName("llm"),
                     base::ZoneId(item.key.substr(item.key.rfind('-') + 1))}};
}

}  // namespace

// Holds the latest item of each key. Each instance calls it through a port of
// its own, which counts.
class KnowledgeFleet::Store {
 public:
  explicit Store(asio::io_context& loop)
      : changed_(loop, asio::steady_timer::time_point::max()) {}

  void Write(const std::string& key, std::string value) {
    StoreItem item;
    item.key = key;
    item.value = std::move(value);
    Put(std::move(item));
  }

  void Remove(const std::string& key) {
    StoreItem item;
    item.key = key;
    item.deleted = true;
    Put(std::move(item));
  }

  StoreItems ItemsUnder(const std::string& prefix) const {
    StoreItems found = ChangesAfter(base::Revision(0));
    std::erase_if(found.items, [&prefix](const StoreItem& it) {
      return it.deleted || !it.key.starts_with(prefix);
    });
    return found;
  }

  StoreItems ChangesAfter(base::Revision after) const {
    StoreItems found;
    found.revision = base::Revision(revision_);
    for (auto it = by_revision_.upper_bound(after.value());
         it != by_revision_.end(); ++it) {
      found.items.push_back(it->second);
    }
    return found;
  }

  bool Contains(const std::string& key) const {
    const auto it = revision_of_.find(key);
    return it != revision_of_.end() && !by_revision_.at(it->second).deleted;
  }

  asio::steady_timer& changed() noexcept { return changed_; }

 private:
  void Put(StoreItem item) {
    item.revision = base::Revision(++revision_);
    if (const auto it = revision_of_.find(item.key); it != revision_of_.end()) {
      by_revision_.erase(it->second);
    }
    revision_of_[item.key] = revision_;
    by_revision_[revision_] = std::move(item);
    changed_.cancel();
  }

  std::int64_t revision_ = 0;
  std::map<std::int64_t, StoreItem> by_revision_;
  std::map<std::string, std::int64_t> revision_of_;
  asio::steady_timer changed_;
};

struct KnowledgeFleet::Instance : process::store::ChangeSource {
  Instance(KnowledgeFleet& fleet, const InstancePeer& peer)
      : store(*fleet.store_),
        watches(fleet.loop_,
                *this,
                {.selection = {.instance = peer.instance, .zone = peer.zone},
                 .max_staleness = fleet.settings_.max_staleness},
                {.peers = [&fleet]() -> const std::vector<InstancePeer>& {
                   return fleet.peers_;
                 },
                 .query_relay = fleet.MakeQuery(*this),
                 .classify = Classify,
                 .on_instance_keys = [](const std::vector<StoreItem>&) {},
                 .use_levels =
                     [this](const SamplingLevels& it) {
                       levels = it;
                       std::erase_if(targets, [this](const std::string& key) {
                         return !IsUsed(key);
                       });
                     },
                 .take_placements =
                     [] { return request::passthrough::PlacementCounts(); }},
                Now,
                base::SystemRandom(),
                metrics),
        follower(fleet.loop_,
                 watches,
                 {.batch_delay = [] { return std::chrono::milliseconds(100); }},
                 {.on_list =
                      [this](const std::vector<StoreItem>& items) {
                        targets.clear();
                        std::ranges::for_each(
                            items, [this](const StoreItem& it) { Apply(it); });
                        listed_at = Now();
                      },
                  .on_change = [this](const StoreItem& it) { Apply(it); },
                  .on_recovered = [](base::Duration) {}},
                 Now,
                 base::SystemRandom(),
                 metrics) {}

  bool IsUsed(const std::string& key) const {
    StoreItem item;
    item.key = key;
    const auto target = Classify(item);
    return target && levels.Contains(target->group, target->id);
  }

  void Apply(const StoreItem& item) {
    if (item.key == kConfigurationKey) {
      configuration = item.value;
      return;
    }
    if (item.deleted) {
      targets.erase(item.key);
    } else if (IsUsed(item.key)) {
      targets.insert(item.key);
    }
  }

  Result<StoreItems> List(std::string prefix,
                          Freshness freshness,
                          StoreFault* fault) override {
    StoreItems items = store.ItemsUnder(prefix);
    cost.store_calls += 1 + items.items.size() / kPageItems;
    Count(items);
    co_return items;
  }

  Result<StoreItems> Watch(std::string prefix,
                           base::Revision after,
                           base::Duration wait,
                           StoreFault* fault) override {
    ++cost.store_calls;
    const base::Time end = Now() + wait;
    StoreItems changes = store.ChangesAfter(after);
    while (changes.items.empty() && Now() < end) {
      ErrorCode ec;
      asio::steady_timer timeout(store.changed().get_executor(), end - Now());
      timeout.async_wait([this](const ErrorCode& e) {
        if (!e) {
          store.changed().cancel();
        }
      });
      co_await store.changed().async_wait(Into(ec));
      changes = store.ChangesAfter(after);
    }
    Count(changes);
    co_return changes;
  }

  void Count(const StoreItems& items) {
    cost.store_bytes += kHeaderBytes;
    for (const StoreItem& it : items.items) {
      cost.store_bytes += JsonBytes(it);
    }
  }

  Store& store;
  base::Metrics metrics;
  KnowledgeCost cost;
  SamplingLevels levels;
  std::set<std::string> targets;
  std::string configuration;
  base::Time listed_at{};
  WatchSharing watches;
  process::store::PrefixFollower follower;
};

KnowledgeCost& KnowledgeCost::operator+=(const KnowledgeCost& other) {
  store_calls += other.store_calls;
  store_bytes += other.store_bytes;
  relay_queries += other.relay_queries;
  relayed_in_bytes += other.relayed_in_bytes;
  relayed_out_bytes += other.relayed_out_bytes;
  return *this;
}

KnowledgeFleet::KnowledgeFleet(KnowledgeFleetSettings settings)
    : settings_(settings), store_(std::make_unique<Store>(loop_)) {
  store_->Write(kConfigurationKey,
                std::string(settings.configuration_bytes, 'c'));
  for (; next_target_ < settings_.targets; ++next_target_) {
    store_->Write(TargetKey(next_target_), TargetValue(next_target_));
  }
  for (int i = 0; i < settings_.instances; ++i) {
    InstancePeer peer;
    peer.instance = base::InstanceId("instance-" + std::to_string(i));
    peer.zone = base::ZoneId(std::to_string(i % settings_.zones));
    peers_.push_back(std::move(peer));
  }
  for (const InstancePeer& peer : peers_) {
    instances_.push_back(std::make_unique<Instance>(*this, peer));
    by_id_[peer.instance] = instances_.back().get();
  }
}

KnowledgeFleet::~KnowledgeFleet() = default;

std::string KnowledgeFleet::TargetKey(int n) const {
  return kTargetsPrefix + std::to_string(n) + '-' +
         std::to_string(n % settings_.zones);
}

std::string KnowledgeFleet::TargetValue(int n) const {
  return std::to_string(n) + std::string(settings_.entry_bytes, 'e');
}

process::peers::QueryRelay KnowledgeFleet::MakeQuery(Instance& asker) {
  return [this, &asker](
             InstancePeer relay, ChangesQuery query, base::Duration /*timeout*/,
             RelayFault* fault) -> Awaitable<std::optional<ChangesAnswer>> {
    ++asker.cost.relay_queries;
    Instance& serving = *by_id_.at(relay.instance);
    const auto sent =
        process::peers::DecodeQuery(process::peers::EncodeQuery(query));
    const auto answer = co_await serving.watches.ServeChanges(*sent, fault);
    const auto message =
        answer ? process::peers::EncodeAnswer(*answer) : std::nullopt;
    if (message && !answer->changes.items.empty()) {
      const std::size_t bytes = kHeaderBytes + message->size();
      asker.cost.relayed_in_bytes += bytes;
      serving.cost.relayed_out_bytes += bytes;
    }
    if (answer && !message) {
      *fault = RelayFault::kAskStore;
    }
    co_return message ? process::peers::DecodeAnswer(*message) : std::nullopt;
  };
}

KnowledgeDelay KnowledgeFleet::Start() {
  for (const auto& it : instances_) {
    asio::co_spawn(loop_, it->follower.Run(), asio::detached);
  }
  return RunUntilAllKnow(
      [](const Instance& it) { return it.listed_at != base::Time{}; });
}

void KnowledgeFleet::RunFor(base::Duration time) {
  loop_.restart();
  loop_.run_for(time);
}

KnowledgeDelay KnowledgeFleet::RunUntilAllKnow(
    const std::function<bool(const Instance&)>& knows) {
  constexpr base::Duration kStep = std::chrono::milliseconds(2);
  const base::Time start = Now();
  std::vector<base::Duration> delays;
  std::set<const Instance*> left;
  std::ranges::for_each(instances_,
                        [&left](const auto& it) { left.insert(it.get()); });
  while (!left.empty()) {
    RunFor(kStep);
    const base::Duration passed = Now() - start;
    std::erase_if(left, [&](const Instance* it) {
      if (!knows(*it)) {
        return false;
      }
      delays.push_back(passed);
      return true;
    });
  }
  return {delays[delays.size() / 2], delays.back()};
}

KnowledgeDelay KnowledgeFleet::ChangeConfiguration() {
  const std::string value = std::to_string(++configuration_) +
                            std::string(settings_.configuration_bytes, 'c');
  store_->Write(kConfigurationKey, value);
  return RunUntilAllKnow(
      [&value](const Instance& it) { return it.configuration == value; });
}

KnowledgeDelay KnowledgeFleet::RemoveUsedTarget() {
  const std::string key = *instances_.back()->targets.begin();
  store_->Remove(key);
  return RunUntilAllKnow(
      [&key](const Instance& it) { return !it.targets.contains(key); });
}

void KnowledgeFleet::ReplaceTargets(double fraction, base::Duration time) {
  const int n = static_cast<int>(fraction * settings_.targets);
  constexpr int kSteps = 50;
  for (int step = 0; step < kSteps; ++step) {
    for (int i = n * step / kSteps; i < n * (step + 1) / kSteps; ++i) {
      store_->Write(TargetKey(next_target_), TargetValue(next_target_));
      ++next_target_;
      if (store_->Contains(TargetKey(oldest_target_))) {
        store_->Remove(TargetKey(oldest_target_));
      }
      ++oldest_target_;
    }
    RunFor(time / kSteps);
  }
}

std::map<WatchSharing::Role, RoleCost> KnowledgeFleet::TakeCosts() {
  std::map<WatchSharing::Role, RoleCost> costs;
  for (const auto& it : instances_) {
    RoleCost& role = costs[it->watches.CurrentRole()];
    ++role.instances;
    role.total += std::exchange(it->cost, KnowledgeCost());
  }
  return costs;
}

std::size_t KnowledgeFleet::most_used_targets() const {
  return (*std::ranges::max_element(
              instances_, {},
              [](const auto& it) { return it->targets.size(); }))
      ->targets.size();
}

}  // namespace lynxglade::bench
