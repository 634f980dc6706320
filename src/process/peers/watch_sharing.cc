#include "process/peers/watch_sharing.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "connection/event/tasks.h"

namespace lynxglade::process::peers {

namespace {

using base::Log;
using base::LogLevel;
using connection::event::Awaitable;
using connection::event::ErrorCode;
using connection::event::Into;
using request::passthrough::SamplingLevels;
namespace asio = connection::event::asio;

// Levels that a relay remembers, to tell whether an asker lacks targets.
constexpr std::size_t kRecentLevels = 64;
}  // namespace

std::string_view ToString(RelayFault fault) noexcept {
  switch (fault) {
    case RelayFault::kNotWatching:
      return "not_watching";
    case RelayFault::kAskStore:
      return "ask_store";
    case RelayFault::kUnreachable:
      return "unreachable";
    case RelayFault::kTimeout:
      return "timeout";
    case RelayFault::kResync:
      return "resync";
    case RelayFault::kMalformed:
      break;
  }
  return "malformed";
}

std::string_view ToString(WatchSharing::Role role) noexcept {
  switch (role) {
    case WatchSharing::Role::kAlone:
      return "alone";
    case WatchSharing::Role::kPrimary:
      return "primary";
    case WatchSharing::Role::kSecondary:
      return "secondary";
    case WatchSharing::Role::kFollower:
      break;
  }
  return "follower";
}

WatchSharing::WatchSharing(asio::io_context& loop,
                           store::ChangeSource& store,
                           WatchSharingOptions options,
                           WatchSharingHooks hooks,
                           base::Clock clock,
                           base::RandomSource random,
                           base::Metrics& metrics)
    : loop_(loop),
      store_(store),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      random_(std::move(random)),
      metrics_(metrics),
      replica_(hooks_.classify),
      listing_bytes_(options_.assumed_listing_bytes) {}

// --- Serving other instances

Awaitable<std::optional<ChangesAnswer>> WatchSharing::ServeChanges(
    ChangesQuery query,
    RelayFault* fault) {
  demand_.Add(query.placements, clock_());
  const base::Time end = clock_() + query.wait;
  const auto read_before = last_store_read_;
  if (query.snapshot_start) {
    StandIn();
  }
  while (true) {
    const base::Time now = clock_();
    if (now >= ServableUntil(query) || !replica_.complete()) {
      // A relay that starts together with the asker is ready soon. Without the
      // wait hundreds of askers would take the time that it needs for that. One
      // that the store does not serve is not.
      const bool starting =
          query.snapshot_start && !store_fails_ &&
          (CurrentRole() != Role::kFollower || IsStandingIn());
      if (!starting || now >= end) {
        *fault = RelayFault::kNotWatching;
        co_return std::nullopt;
      }
      co_await WaitForRead(end - now);
      continue;
    }
    const SamplingLevels* sample = query.everything ? nullptr : &levels_;
    std::optional<ReplicaPage> page;
    if (query.snapshot_start) {
      const base::Revision start = query.snapshot_start->value() > 0
                                       ? *query.snapshot_start
                                       : replica_.revision();
      query.snapshot_start = start;
      page = replica_.Snapshot(query.after, start, sample, kMaxRelayedBytes);
    } else if (query.everything || KnowsSample(query.levels_digest)) {
      page = replica_.After(query.after, sample, kMaxRelayedBytes);
    }
    if (!page) {
      *fault = RelayFault::kResync;
      co_return std::nullopt;
    }
    // A secondary passes the age on, so it has to hear of each store read.
    const bool answers = !page->changes.items.empty() || query.snapshot_start ||
                         (query.everything && last_store_read_ > read_before);
    if (answers || now >= end) {
      ChangesAnswer answer;
      answer.changes = std::move(page->changes);
      answer.changes.age = now - *last_store_read_;
      answer.more = page->more;
      answer.snapshot_start = query.snapshot_start.value_or(base::Revision());
      if (!query.everything && query.levels_digest != levels_.digest()) {
        answer.levels = levels_;
      }
      co_return answer;
    }
    co_await WaitForRead(std::min(end, FreshUntil()) - now);
  }
}

// The asker is served by no relay. Where all may list at once it does so
// itself. The store is listed at once: a watch that is under way would go on
// for up to `watch_timeout`.
void WatchSharing::StandIn() {
  if (CurrentRole() != Role::kFollower || Turns().AtOnce()) {
    return;
  }
  if (!IsStandingIn()) {
    Log(LogLevel::kInfo, "stands_in_for_relays",
        {{"complete", replica_.complete()}, {"store_fails", store_fails_}});
  }
  const base::Time now = clock_();
  stand_in_until_ = now + options_.stand_in_time;
  const bool serves = replica_.complete() && now < FreshUntil();
  if (!serves && !lists_store_ && now >= next_fill_) {
    next_fill_ = now + options_.watch_timeout;
    connection::event::Spawn(loop_, "stand_in", FillReplica());
  }
}

Awaitable<void> WatchSharing::FillReplica() {
  store::StoreFault fault{};
  co_await ListStore(store::Freshness::kCurrent, &fault);
}

bool WatchSharing::IsStandingIn() const {
  return clock_() < stand_in_until_;
}

bool WatchSharing::NeedsEverything(Role role) const {
  return role != Role::kFollower || options_.follows_everything ||
         IsStandingIn();
}

Awaitable<void> WatchSharing::WaitForRead(base::Duration time) {
  asio::steady_timer timer(loop_, time);
  waiting_timers_.insert(&timer);
  ErrorCode ec;
  co_await timer.async_wait(Into(ec));
  waiting_timers_.erase(&timer);
}

bool WatchSharing::KnowsSample(std::uint64_t levels_digest) const {
  if (levels_digest == levels_.digest() || levels_digest == 0) {
    return true;
  }
  const auto known =
      std::ranges::find(recent_levels_, levels_digest, &SamplingLevels::digest);
  return known != recent_levels_.end() && known->Covers(levels_);
}

// A snapshot may be older than changes: the asker's next watch shows what it
// lacks. Otherwise a relay that sends a snapshot to a whole zone would be stale
// before its askers have all pages, and each would begin again.
base::Time WatchSharing::ServableUntil(const ChangesQuery& query) const {
  if (!query.snapshot_start || !last_store_read_) {
    return FreshUntil();
  }
  return *last_store_read_ + options_.max_snapshot_staleness;
}

base::Time WatchSharing::FreshUntil() const {
  return last_store_read_ ? *last_store_read_ + options_.max_staleness
                          : base::Time::min();
}

void WatchSharing::OnStoreRead(base::Duration age) {
  last_store_read_ = clock_() - age;
  UpdateLevels();
  std::ranges::for_each(waiting_timers_, [](auto* it) { it->cancel(); });
}

// --- Roles

WatchSharing::Role WatchSharing::CurrentRole() const {
  return RoleAmong(Relays());
}

bool WatchSharing::SharesByZone() const {
  const auto group = SharingGroup(hooks_.peers(), options_.selection);
  return !group.empty() && std::ranges::all_of(group, [this](const auto& it) {
    return it.zone == options_.selection.zone;
  });
}

std::vector<base::InstanceId> WatchSharing::Relays() const {
  return instances_known_ ? SelectRelays(hooks_.peers(), options_.selection)
                          : std::vector<base::InstanceId>();
}

WatchSharing::Role WatchSharing::RoleAmong(
    const std::vector<base::InstanceId>& relays) const {
  if (relays.empty()) {
    return Role::kAlone;
  }
  if (relays.front() == options_.selection.instance) {
    return Role::kPrimary;
  }
  return std::ranges::find(relays, options_.selection.instance) != relays.end()
             ? Role::kSecondary
             : Role::kFollower;
}

void WatchSharing::LogRole(Role role,
                           const std::vector<base::InstanceId>& relays) {
  if (std::exchange(logged_role_, role) == role) {
    return;
  }
  Log(LogLevel::kInfo, "watch_role",
      {{"role", ToString(role)},
       {"primary", relays.empty() ? std::string() : relays.front().str()},
       {"relays", relays.size()},
       {"instances", hooks_.peers().size()}});
}

// --- Watching

WatchSharing::Result<store::StoreItems> WatchSharing::Watch(
    std::string prefix,
    base::Revision after,
    base::Duration wait,
    store::StoreFault* fault) {
  if (!prefix.empty()) {
    co_return co_await store_.Watch(std::move(prefix), after, wait, fault);
  }
  if (!instances_known_) {
    // Current, as a listing that lags would show none of the instances that
    // started together with this one.
    co_await ListInstanceKeys(store::Freshness::kCurrent);
    instances_known_ = true;
  }
  const auto relays = Relays();
  const Role role = RoleAmong(relays);
  LogRole(role, relays);
  if (NeedsEverything(role) && (!replica_.listed() || knows_sample_only_)) {
    *fault = store::StoreFault::kHistoryGone;
    co_return std::nullopt;
  }
  if (role == Role::kSecondary || role == Role::kFollower) {
    RelayFault relay_fault{};
    auto changes = co_await WatchRelays(role, relays, after, &relay_fault);
    if (changes) {
      CountWatch("relay");
      returned_ = std::max(returned_, changes->revision);
      co_return changes;
    }
    if (relay_fault == RelayFault::kResync) {
      *fault = store::StoreFault::kHistoryGone;
      co_return std::nullopt;
    }
  }
  CountWatch("store");
  co_return co_await WatchStore(
      after, role == Role::kAlone ? wait : options_.watch_timeout, fault);
}

// A secondary follows the primary only, so that a chain of relays is never
// longer than two.
Awaitable<std::optional<store::StoreItems>> WatchSharing::WatchRelays(
    Role role,
    std::vector<base::InstanceId> relays,
    base::Revision after,
    RelayFault* fault) {
  if (role == Role::kSecondary) {
    relays.resize(1);
  }
  ChangesQuery query;
  query.after = after;
  query.wait = options_.watch_timeout;
  query.everything = NeedsEverything(role);
  query.levels_digest = levels_.digest();
  auto read = co_await QueryRelays(
      RelaysToQuery(relays, /*for_snapshot=*/false), query, fault);
  if (!read) {
    co_return std::nullopt;
  }
  if (query.everything) {
    replica_.Apply(after, read->items);
  } else {
    replica_.Clear();
    knows_sample_only_ = true;
  }
  if (role == Role::kFollower) {
    store_fails_ = false;
  }
  OnStoreRead(read->items.age);
  if (read->levels) {
    UseLevels(std::move(*read->levels));
  }
  co_return std::move(read->items);
}

WatchSharing::Result<store::StoreItems> WatchSharing::WatchStore(
    base::Revision after,
    base::Duration wait,
    store::StoreFault* fault) {
  auto changes = co_await store_.Watch(std::string(), after, wait, fault);
  const bool history_gone =
      !changes && *fault == store::StoreFault::kHistoryGone;
  store_fails_ = !changes && !history_gone;
  if (history_gone) {
    history_gone_at_ = after;
  }
  if (changes) {
    replica_.Apply(after, *changes);
    returned_ = std::max(returned_, changes->revision);
    OnStoreRead(base::Duration::zero());
  }
  co_return changes;
}

// --- The sample of targets

void WatchSharing::UpdateLevels() {
  if (!replica_.listed()) {
    return;
  }
  const base::Time now = clock_();
  const Role role = CurrentRole();
  if (role == Role::kAlone || role == Role::kPrimary) {
    demand_.Add(hooks_.take_placements(), now);
  }
  UseLevels(NextLevels(levels_, replica_.group_sizes(), demand_.Doublings(now),
                       options_.sampling));
}

void WatchSharing::UseLevels(SamplingLevels levels) {
  if (levels == levels_) {
    return;
  }
  levels_ = std::move(levels);
  recent_levels_.push_back(levels_);
  if (recent_levels_.size() > kRecentLevels) {
    recent_levels_.pop_front();
  }
  hooks_.use_levels(levels_);
}

void WatchSharing::CountWatch(const char* source) {
  metrics_.GetCounter("lynxglade_watches_total", {{"source", source}}).Add();
}

}  // namespace lynxglade::process::peers
