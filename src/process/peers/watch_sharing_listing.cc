// How an instance lists all keys: from its relays, from those that stand in for
// them, or at the store in its turn.
#include <algorithm>
#include <iterator>
#include <map>
#include <ranges>
#include <string>
#include <utility>

#include "base/log.h"
#include "connection/event/sleep.h"
#include "process/peers/watch_sharing.h"

namespace lynxglade::process::peers {

namespace {

using base::Log;
using base::LogLevel;
using connection::event::Awaitable;
using connection::event::SleepFor;
using request::passthrough::SamplingLevels;

// The newest item of each key, without the deleted ones. A key that changes
// while a snapshot is read is on several of its pages.
std::vector<store::StoreItem> ExistingItems(
    std::vector<store::StoreItem> items) {
  std::map<std::string, store::StoreItem> by_key;
  for (store::StoreItem& it : items) {
    std::string key = it.key;
    by_key.insert_or_assign(std::move(key), std::move(it));
  }
  items.clear();
  for (auto& [key, item] : by_key) {
    if (!item.deleted) {
      items.push_back(std::move(item));
    }
  }
  return items;
}

}  // namespace

WatchSharing::Result<store::StoreItems> WatchSharing::List(
    std::string prefix,
    store::Freshness freshness,
    store::StoreFault* fault) {
  if (!prefix.empty()) {
    co_return co_await store_.List(std::move(prefix), freshness, fault);
  }
  if (std::exchange(first_listing_, false)) {
    co_await ListInstanceKeys(store::Freshness::kMayBeStale);
  }
  knows_sample_only_ = false;
  auto listed = co_await ListFromOthers(&freshness);
  if (!listed) {
    listed = co_await ListStore(freshness, fault);
  }
  if (listed) {
    relay_wait_began_.reset();
    history_gone_at_.reset();
    returned_ = std::max(returned_, listed->revision);
  }
  co_return listed;
}

// Those that others list from read the current state: after a listing that
// lags, the history that it lacks may be gone.
Awaitable<std::optional<store::StoreItems>> WatchSharing::ListFromOthers(
    store::Freshness* freshness) {
  while (true) {
    auto relays = RelaysForListing();
    const Role role = RoleAmong(relays);
    if (role == Role::kAlone) {
      co_return std::nullopt;
    }
    if (role == Role::kSecondary) {
      relays.resize(1);
    }
    std::optional<store::StoreItems> listed = OwnListing();
    RelayFault fault = RelayFault::kNotWatching;
    if (!listed && role != Role::kPrimary) {
      listed = co_await ListFromRelays(
          role, RelaysToQuery(relays, /*for_snapshot=*/true),
          options_.min_relay_wait, &fault);
    }
    if (!listed && role == Role::kFollower && fault != RelayFault::kAskStore) {
      BeginRelayWait(fault);
      if (!Turns().AtOnce()) {
        listed =
            co_await ListFromRelays(role, StandIns(), Turns().step(), &fault);
      }
    }
    if (listed) {
      instances_known_ = true;
      co_return listed;
    }
    const bool serves_others = role != Role::kFollower || !Turns().AtOnce();
    if (serves_others) {
      *freshness = store::Freshness::kCurrent;
    }
    const base::Duration wait =
        role == Role::kFollower && fault != RelayFault::kAskStore
            ? TimeToTurn()
            : base::Duration::zero();
    if (wait <= base::Duration::zero()) {
      co_return std::nullopt;
    }
    const auto pause = std::chrono::duration_cast<base::Duration>(
        Turns().step() * base::UniformReal(random_));
    co_await SleepFor(loop_, std::min(wait, pause));
  }
}

// What was listed for others.
std::optional<store::StoreItems> WatchSharing::OwnListing() const {
  if (!IsStandingIn() || !replica_.complete() || clock_() >= FreshUntil() ||
      !IsNewEnough(replica_.revision())) {
    return std::nullopt;
  }
  store::StoreItems listed;
  listed.items = replica_.ExistingItems();
  listed.revision = replica_.revision();
  listed.age = clock_() - *last_store_read_;
  return listed;
}

Awaitable<std::optional<store::StoreItems>> WatchSharing::ListFromRelays(
    Role role,
    std::vector<InstancePeer> relays,
    base::Duration min_wait,
    RelayFault* fault) {
  ChangesQuery query;
  query.wait = min_wait;
  query.after = base::Revision(-1);
  query.everything = NeedsEverything(role);
  query.snapshot_start = base::Revision(0);
  auto read = co_await QueryRelays(std::move(relays), query, fault);
  if (!read) {
    co_return std::nullopt;
  }
  read->items.items = ExistingItems(std::move(read->items.items));
  if (query.everything) {
    replica_.Reset(read->items);
  } else {
    replica_.Clear();
    knows_sample_only_ = true;
    UseLevels(std::move(read->levels).value_or(SamplingLevels()));
  }
  RecordListing(read->items, query.everything ? SamplingLevels() : levels_);
  OnStoreRead(read->items.age);
  co_return std::move(read->items);
}

WatchSharing::Result<store::StoreItems> WatchSharing::ListStore(
    store::Freshness freshness,
    store::StoreFault* fault) {
  lists_store_ = true;
  auto listed = co_await store_.List(std::string(), freshness, fault);
  lists_store_ = false;
  store_fails_ = !listed;
  if (listed) {
    RecordListing(*listed, SamplingLevels());
    replica_.Reset(*listed);
    OnStoreRead(base::Duration::zero());
  }
  co_return listed;
}

bool WatchSharing::IsNewEnough(base::Revision listed) const {
  return listed >= std::max(returned_, instances_seen_at_) &&
         (!history_gone_at_ || listed > *history_gone_at_);
}

// Each target in the sample stands for those that its group's level leaves out.
void WatchSharing::RecordListing(const store::StoreItems& listed,
                                 const SamplingLevels& levels) {
  listing_bytes_ = 0;
  for (const store::StoreItem& it : listed.items) {
    const std::size_t n = it.key.size() + it.value.size();
    const auto target =
        levels.groups().empty() ? std::nullopt : hooks_.classify(it);
    listing_bytes_ += target ? n << levels.Of(target->group) : n;
  }
}

Awaitable<void> WatchSharing::ListInstanceKeys(store::Freshness freshness) {
  const std::string zone_prefix =
      options_.instances_prefix + options_.selection.zone.str() + '/';
  for (const std::string& prefix : {zone_prefix, options_.instances_prefix}) {
    store::StoreFault fault{};
    const auto listed = co_await store_.List(prefix, freshness, &fault);
    if (!listed) {
      Log(LogLevel::kInfo, "instances_not_listed",
          {{"prefix", prefix}, {"fault", ToString(fault)}});
      co_return;
    }
    // Older keys are known, or were deleted since this listing was made.
    auto added = listed->items;
    std::erase_if(added, [this](const store::StoreItem& it) {
      return it.revision <= returned_;
    });
    hooks_.on_instance_keys(added);
    for (const store::StoreItem& it : listed->items) {
      instances_seen_at_ = std::max(instances_seen_at_, it.revision);
    }
    if (!SharingGroup(hooks_.peers(), options_.selection).empty()) {
      co_return;
    }
  }
}

// --- Turns

std::vector<base::InstanceId> WatchSharing::RelaysForListing() const {
  return instances_known_ || SharesByZone()
             ? SelectRelays(hooks_.peers(), options_.selection)
             : std::vector<base::InstanceId>();
}

ListingTurns WatchSharing::Turns() const {
  const auto ranked = RankWithoutRelays(hooks_.peers(), options_.selection);
  return ListingTurns(
      options_.turns,
      {.size = ranked.size(),
       .all_instances = hooks_.peers().size(),
       .listing_bytes = listing_bytes_,
       .link_mbps = ranked.empty() ? 0 : ranked.front().link_mbps});
}

base::Duration WatchSharing::OwnTurn() const {
  const auto ranked = RankWithoutRelays(hooks_.peers(), options_.selection);
  const auto self = std::ranges::find(ranked, options_.selection.instance,
                                      &InstancePeer::instance);
  return Turns().TurnOf(static_cast<std::size_t>(self - ranked.begin()));
}

base::Duration WatchSharing::TimeToTurn() const {
  return relay_wait_began_.value_or(clock_()) + OwnTurn() - clock_();
}

// Those that are admitted in one step do not wait for each other.
std::size_t WatchSharing::StandInCount() const {
  const ListingTurns turns = Turns();
  const base::Time now = clock_();
  const base::Duration waited = now - relay_wait_began_.value_or(now);
  const base::Duration own_turn = OwnTurn();
  return turns.Admitted(
      waited < own_turn || store_fails_ ? waited : own_turn - turns.step());
}

std::vector<InstancePeer> WatchSharing::StandIns() {
  const base::Time now = clock_();
  std::erase_if(not_standing_in_,
                [now](const auto& it) { return it.second <= now; });
  auto ranked = RankWithoutRelays(hooks_.peers(), options_.selection);
  ranked.resize(std::min(StandInCount(), ranked.size()));
  std::erase_if(ranked, [&](const InstancePeer& it) {
    const auto backoff = backoffs_.find(it.instance);
    return it.instance == options_.selection.instance ||
           not_standing_in_.contains(it.instance) ||
           (backoff != backoffs_.end() && backoff->second.until > now);
  });
  // Spreads the instances over them.
  std::map<double, InstancePeer> shuffled;
  for (InstancePeer& it : ranked) {
    shuffled.emplace(base::UniformReal(random_), std::move(it));
  }
  std::vector<InstancePeer> asked;
  std::ranges::move(shuffled | std::views::values, std::back_inserter(asked));
  return asked;
}

void WatchSharing::BeginRelayWait(RelayFault fault) {
  if (relay_wait_began_) {
    return;
  }
  relay_wait_began_ = clock_();
  Log(LogLevel::kInfo, "relays_not_serving",
      {{"fault", ToString(fault)},
       {"turn_ms", base::ToMillis(TimeToTurn())},
       {"listing_bytes", listing_bytes_}});
}

}  // namespace lynxglade::process::peers
