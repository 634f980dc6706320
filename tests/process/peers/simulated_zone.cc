#include "process/peers/simulated_zone.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <numeric>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "connection/event/sleep.h"
#include "process/peers/relay_selection.h"

namespace lynxglade::process::peers {

namespace {

using connection::event::Awaitable;
using connection::event::ErrorCode;
using connection::event::Into;
using connection::event::SleepFor;
using request::passthrough::EngineGroup;
using request::passthrough::SamplingLevels;
using std::chrono::milliseconds;
namespace asio = connection::event::asio;

constexpr base::Duration kLatency = milliseconds(5);
constexpr base::Duration kCallTimeout = milliseconds(1000);
constexpr double kStoreLinkMbps = 1000;
// JSON with base64.
constexpr std::size_t kSentBytesPerByte = 2;
constexpr const char* kConfigurationKey = "op";

const base::ZoneId kZone("a");
const EngineGroup kGroup{base::ServiceName("llm"), kZone};

base::Duration TransferTime(std::size_t bytes, double mbps) {
  return mbps > 0 ? std::chrono::duration_cast<base::Duration>(
                        std::chrono::duration<double, std::micro>(
                            8 * static_cast<double>(bytes) / mbps))
                  : base::Duration::zero();
}

std::optional<ItemTarget> Classify(const store::StoreItem& item) {
  if (!item.key.starts_with("t")) {
    return std::nullopt;
  }
  return ItemTarget{base::TargetId(item.key), kGroup};
}

}  // namespace

// The store as one instance sees it.
class SimulatedZone::Link : public store::ChangeSource {
 public:
  Link(SimulatedZone& zone, int link_mbps)
      : zone_(zone), link_mbps_(link_mbps) {}

  Result<store::StoreItems> List(std::string prefix,
                                 store::Freshness /*freshness*/,
                                 store::StoreFault* fault) override {
    const bool accepted = co_await Arrive(fault);
    if (!accepted) {
      co_return std::nullopt;
    }
    store::StoreItems all;
    all.revision = base::Revision(zone_.revision_);
    for (auto it = zone_.items_.lower_bound(prefix);
         it != zone_.items_.end() && it->first.starts_with(prefix); ++it) {
      all.items.push_back(it->second);
    }
    if (prefix.empty()) {
      ++zone_.total_listings_;
      ++zone_.listings_in_flight_;
      zone_.most_listings_ =
          std::max(zone_.most_listings_, zone_.listings_in_flight_);
    }
    const std::size_t sent = kSentBytesPerByte * store::BytesOf(all.items);
    zone_.listed_bytes_ += prefix.empty() ? sent : 0;
    const double share =
        kStoreLinkMbps / std::max(zone_.listings_in_flight_, 1);
    co_await SleepFor(zone_.loop_, std::max(TransferTime(sent, share),
                                            TransferTime(sent, link_mbps_)));
    zone_.listings_in_flight_ -= prefix.empty() ? 1 : 0;
    co_return all;
  }

  Result<store::StoreItems> Watch(std::string prefix,
                                  base::Revision after,
                                  base::Duration wait,
                                  store::StoreFault* fault) override {
    const base::Time end = SimulatedNow() + wait;
    const bool accepted = co_await Arrive(fault);
    while (accepted) {
      if (access == StoreAccess::kRejected) {
        *fault = store::StoreFault::kBusy;
        break;
      }
      if (after < zone_.dropped_ && access == StoreAccess::kServed) {
        *fault = store::StoreFault::kHistoryGone;
        break;
      }
      store::StoreItems changes;
      changes.revision = base::Revision(zone_.revision_);
      const auto first = std::ranges::upper_bound(zone_.history_, after, {},
                                                  &store::StoreItem::revision);
      std::copy_if(first, zone_.history_.end(),
                   std::back_inserter(changes.items),
                   [&prefix](const store::StoreItem& it) {
                     return it.key.starts_with(prefix);
                   });
      const bool silent = access == StoreAccess::kSilent;
      if (!silent && (!changes.items.empty() || SimulatedNow() >= end)) {
        co_return changes;
      }
      if (silent && SimulatedNow() >= end + kCallTimeout) {
        *fault = store::StoreFault::kTimeout;
        break;
      }
      asio::steady_timer timer(
          zone_.loop_,
          end + (silent ? kCallTimeout : base::Duration()) - SimulatedNow());
      zone_.waiting_.insert(&timer);
      ErrorCode ec;
      co_await timer.async_wait(Into(ec));
      zone_.waiting_.erase(&timer);
    }
    co_return std::nullopt;
  }

  StoreAccess access = StoreAccess::kServed;

 private:
  Awaitable<bool> Arrive(store::StoreFault* fault) {
    ++zone_.calls_;
    co_await SleepFor(zone_.loop_, kLatency);
    if (access == StoreAccess::kSilent) {
      co_await SleepFor(zone_.loop_, kCallTimeout);
      *fault = store::StoreFault::kTimeout;
      co_return false;
    }
    *fault = store::StoreFault::kBusy;
    co_return access == StoreAccess::kServed;
  }

  SimulatedZone& zone_;
  const int link_mbps_;
};

struct SimulatedZone::Instance {
  Instance(SimulatedZone& zone, int index)
      : link(zone, zone.peers_[index].link_mbps),
        watches(
            zone.loop_,
            link,
            {.selection = {.instance = zone.peers_[index].instance,
                           .zone = kZone,
                           .link_mbps = zone.peers_[index].link_mbps},
             .turns = zone.settings_.turns},
            {.peers = [&zone]() -> const std::vector<InstancePeer>& {
               return zone.peers_;
             },
             .query_relay = zone.MakeQuery(index),
             .classify = Classify,
             .on_instance_keys = [](const std::vector<store::StoreItem>&) {},
             .use_levels = [this](const SamplingLevels& it) { levels = it; },
             .take_placements =
                 [] { return request::passthrough::PlacementCounts(); }},
            SimulatedNow,
            base::SeededRandom(index + 1),
            metrics),
        follower(zone.loop_,
                 watches,
                 {.batch_delay = [] { return base::Duration(0); }},
                 {.on_list =
                      [this](const std::vector<store::StoreItem>& items) {
                        targets.clear();
                        std::ranges::for_each(
                            items,
                            [this](const store::StoreItem& it) { Take(it); });
                      },
                  .on_change = [this](const store::StoreItem& it) { Take(it); },
                  .on_recovered = [](base::Duration) {}},
                 SimulatedNow,
                 base::SeededRandom(index + 1),
                 metrics) {}

  void Take(const store::StoreItem& it) {
    if (it.key == kConfigurationKey) {
      version = std::stoi(it.value);
    } else if (it.deleted) {
      targets.erase(it.key);
    } else if (it.key.starts_with("t")) {
      targets.insert(it.key);
    }
  }

  bool runs() const { return !frozen && !killed; }

  base::Metrics metrics;
  SamplingLevels levels;
  int version = 0;
  std::set<std::string> targets;
  bool frozen = false;
  bool killed = false;
  // Since when it runs and the store serves it.
  std::optional<base::Time> in_touch_since = SimulatedNow();
  // When what it sends to other instances will have left its link.
  base::Time sends_until{};
  Link link;
  WatchSharing watches;
  store::PrefixFollower follower;
};

SimulatedZone::SimulatedZone(SimulatedZoneSettings settings)
    : settings_(settings) {
  for (int i = 0; i < settings.instances + settings.others; ++i) {
    const bool is_other = i >= settings.instances;
    peers_.push_back(
        {.instance = base::InstanceId("i" + std::to_string(i)),
         .zone = is_other ? base::ZoneId("z" + std::to_string(i % 4)) : kZone,
         .endpoint = {asio::ip::make_address("127.0.0.1"), 1},
         .link_mbps = i < settings.fast_instances ? settings.fast_link_mbps
                                                  : settings.slow_link_mbps});
  }
  for (int i = 0; i < settings.targets; ++i) {
    WriteTarget(TargetKey(i));
  }
  ChangeConfiguration();
  DropHistory();
  for (int i = 0; i < settings.instances; ++i) {
    instances_.push_back(std::make_unique<Instance>(*this, i));
    asio::co_spawn(loop_, instances_.back()->follower.Run(), asio::detached);
  }
}

SimulatedZone::~SimulatedZone() = default;

int SimulatedZone::AddInstance() {
  const int index = size();
  peers_.insert(peers_.begin() + index,
                {.instance = base::InstanceId("late" + std::to_string(index)),
                 .zone = kZone,
                 .endpoint = {asio::ip::make_address("127.0.0.1"), 1},
                 .link_mbps = settings_.slow_link_mbps});
  instances_.push_back(std::make_unique<Instance>(*this, index));
  asio::co_spawn(loop_, instances_.back()->follower.Run(), asio::detached);
  return index;
}

void SimulatedZone::RunFor(base::Duration time) {
  AdvanceTime(loop_, time);
}

std::string SimulatedZone::TargetKey(int n) const {
  std::array<char, 24> text{};
  std::snprintf(text.data(), text.size(), "t/i-model-%06d", n);
  return text.data();
}

void SimulatedZone::Write(const std::string& key, const std::string& value) {
  store::StoreItem item;
  item.key = key;
  item.value = value;
  item.revision = base::Revision(++revision_);
  items_[key] = item;
  history_.push_back(item);
  Wake();
}

void SimulatedZone::Wake() {
  std::ranges::for_each(waiting_, [](auto* it) { it->cancel(); });
}

void SimulatedZone::SetAccess(int instance, StoreAccess access) {
  Instance& it = *instances_[instance];
  it.link.access = access;
  const bool in_touch = access == StoreAccess::kServed && it.runs();
  if (!in_touch) {
    it.in_touch_since.reset();
  } else if (!it.in_touch_since) {
    it.in_touch_since = SimulatedNow();
  }
  Wake();
}

void SimulatedZone::SetFrozen(int instance, bool frozen) {
  instances_[instance]->frozen = frozen;
  SetAccess(instance, frozen ? StoreAccess::kSilent : StoreAccess::kServed);
}

void SimulatedZone::Kill(int instance) {
  instances_[instance]->killed = true;
  SetAccess(instance, StoreAccess::kSilent);
}

void SimulatedZone::Cut(int instance, int relay, bool cut) {
  if (cut) {
    cuts_.insert({instance, relay});
  } else {
    cuts_.erase({instance, relay});
  }
}

void SimulatedZone::DropHistory() {
  dropped_ = base::Revision(revision_);
  history_.clear();
  Wake();
}

int SimulatedZone::ChangeConfiguration() {
  Write(kConfigurationKey, std::to_string(++version_));
  return version_;
}

void SimulatedZone::WriteTarget(const std::string& key) {
  Write(key, std::string(settings_.entry_bytes, 'x'));
}

void SimulatedZone::RemoveTarget(const std::string& key) {
  store::StoreItem gone;
  gone.key = key;
  gone.revision = base::Revision(++revision_);
  gone.deleted = true;
  items_.erase(key);
  history_.push_back(gone);
  Wake();
}

int SimulatedZone::VersionAt(int instance) const {
  return instances_[instance]->version;
}

bool SimulatedZone::HasView(int instance) const {
  return instances_[instance]->follower.Age().has_value();
}

std::string SimulatedZone::UsedTarget() const {
  const auto used = std::ranges::find_if(items_, [this](const auto& item) {
    const base::TargetId id(item.first);
    return item.first.starts_with("t") &&
           std::ranges::all_of(instances_, [&](const auto& it) {
             return it->levels.Contains(kGroup, id) &&
                    it->targets.contains(item.first);
           });
  });
  return used == items_.end() ? std::string() : used->first;
}

bool SimulatedZone::Uses(int instance, const std::string& target) const {
  return instances_[instance]->targets.contains(target);
}

std::vector<int> SimulatedZone::InTouch(base::Duration time) const {
  std::vector<int> all(instances_.size());
  std::iota(all.begin(), all.end(), 0);
  std::erase_if(all, [&](int it) {
    const auto& since = instances_[it]->in_touch_since;
    return !since || SimulatedNow() - *since < time;
  });
  return all;
}

std::vector<int> SimulatedZone::Ranked() const {
  const RelaySelectionOptions selection{.instance = peers_[0].instance,
                                        .zone = kZone,
                                        .link_mbps = peers_[0].link_mbps};
  std::vector<base::InstanceId> ids = SelectRelays(peers_, selection);
  std::ranges::transform(RankWithoutRelays(peers_, selection),
                         std::back_inserter(ids), &InstancePeer::instance);
  std::vector<int> ranked;
  std::ranges::transform(ids, std::back_inserter(ranked),
                         [this](const auto& it) { return IndexOf(it); });
  // Not those that are not simulated.
  std::erase_if(ranked, [this](int it) { return it >= size(); });
  // A group that is too small does not share.
  if (ranked.empty()) {
    ranked.resize(instances_.size());
    std::iota(ranked.begin(), ranked.end(), 0);
  }
  return ranked;
}

WatchSharing::Role SimulatedZone::RoleOf(int instance) const {
  return instances_[instance]->watches.CurrentRole();
}

void SimulatedZone::ForgetCalls() {
  calls_ = 0;
  listed_bytes_ = 0;
  total_listings_ = 0;
  most_listings_ = listings_in_flight_;
}

int SimulatedZone::IndexOf(const base::InstanceId& instance) const {
  const auto it = std::ranges::find(peers_, instance, &InstancePeer::instance);
  return static_cast<int>(it - peers_.begin());
}

QueryRelay SimulatedZone::MakeQuery(int asker) {
  return [this, asker](
             InstancePeer relay, ChangesQuery query, base::Duration timeout,
             RelayFault* fault) -> Awaitable<std::optional<ChangesAnswer>> {
    const base::Time end = SimulatedNow() + timeout;
    const int index = IndexOf(relay.instance);
    *fault = RelayFault::kTimeout;
    co_await SleepFor(loop_, kLatency);
    if (index >= size()) {
      *fault = RelayFault::kUnreachable;
      co_return std::nullopt;
    }
    Instance& it = *instances_[index];
    const Instance& own = *instances_[asker];
    if (it.killed) {
      *fault = RelayFault::kUnreachable;
      co_return std::nullopt;
    }
    const auto lost = [this, asker, index, &it, &own] {
      return !it.runs() || !own.runs() || cuts_.contains({asker, index});
    };
    std::optional<ChangesAnswer> answer;
    RelayFault said{};
    if (!lost()) {
      answer = co_await it.watches.ServeChanges(query, &said);
    }
    std::size_t bytes = 0;
    if (answer) {
      bytes = store::BytesOf(answer->changes.items);
    }
    const base::Time leaves =
        std::max(it.sends_until, SimulatedNow()) +
        TransferTime(bytes, static_cast<double>(relay.link_mbps));
    if (!lost() && leaves + kLatency <= end) {
      it.sends_until = leaves;
      co_await SleepFor(loop_, leaves + kLatency - SimulatedNow());
    }
    if (lost() || SimulatedNow() > end || leaves + kLatency > end) {
      co_await SleepFor(loop_, end - SimulatedNow());
      co_return std::nullopt;
    }
    *fault = said;
    co_return answer;
  };
}

}  // namespace lynxglade::process::peers
