#include "process/peers/watch_sharing.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/hash.h"
#include "base/log.h"

namespace lynxglade::process::peers {

namespace {

using base::Log;
using base::LogLevel;
using connection::event::Awaitable;
using connection::event::ErrorCode;
using connection::event::Into;
namespace asio = connection::event::asio;

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
    case RelayFault::kMalformed:
      break;
  }
  return "malformed";
}

std::vector<base::InstanceId> SelectRelays(
    const std::vector<InstancePeer>& peers,
    const base::InstanceId& self,
    const WatchSharingOptions& options) {
  std::vector<base::InstanceId> zone{self};
  for (const InstancePeer& peer : peers) {
    if (peer.zone == options.zone && peer.instance != self) {
      zone.push_back(peer.instance);
    }
  }
  if (zone.size() < options.min_instances) {
    return {};
  }
  const auto rank = [](const base::InstanceId& it) {
    return std::pair(base::Hash64(it.str()), it);
  };
  std::ranges::partial_sort(
      zone, zone.begin() + static_cast<std::ptrdiff_t>(options.relay_count), {},
      rank);
  zone.resize(options.relay_count);
  return zone;
}

WatchSharing::WatchSharing(
    asio::io_context& loop,
    store::ChangeSource& store,
    WatchSharingOptions options,
    std::function<const std::vector<InstancePeer>&()> peers,
    QueryRelay query_relay,
    base::Clock clock,
    base::Metrics& metrics)
    : loop_(loop),
      store_(store),
      options_(std::move(options)),
      peers_(std::move(peers)),
      query_relay_(std::move(query_relay)),
      clock_(std::move(clock)),
      metrics_(metrics) {}

Awaitable<std::optional<store::StoreItems>> WatchSharing::ServeChanges(
    base::Revision after,
    base::Duration wait,
    RelayFault* fault) {
  const base::Time end = clock_() + wait;
  while (true) {
    const base::Time now = clock_();
    if (now >= FreshUntil()) {
      *fault = RelayFault::kNotWatching;
      co_return std::nullopt;
    }
    auto changes = history_.After(after);
    if (!changes) {
      *fault = RelayFault::kAskStore;
      co_return std::nullopt;
    }
    if (!changes->items.empty() || now >= end) {
      co_return changes;
    }
    asio::steady_timer timer(loop_, std::min(end, FreshUntil()) - now);
    waiting_timers_.insert(&timer);
    ErrorCode ec;
    co_await timer.async_wait(Into(ec));
    waiting_timers_.erase(&timer);
  }
}

bool WatchSharing::IsSharing() const {
  return !Relays().empty();
}

std::vector<base::InstanceId> WatchSharing::Relays() const {
  return SelectRelays(peers_(), options_.instance, options_);
}

std::vector<InstancePeer> WatchSharing::RelaysToQuery(
    const std::vector<base::InstanceId>& relays) const {
  const base::Time now = clock_();
  std::vector<InstancePeer> peers;
  std::ranges::copy_if(
      peers_(), std::back_inserter(peers), [&](const InstancePeer& it) {
        const auto backoff = backoff_until_.find(it.instance);
        return std::ranges::find(relays, it.instance) != relays.end() &&
               (backoff == backoff_until_.end() || backoff->second <= now);
      });
  std::ranges::sort(peers, {}, [this](const InstancePeer& it) {
    return base::HashPair(options_.instance.str(), it.instance.str());
  });
  return peers;
}

WatchSharing::Result<store::StoreItems> WatchSharing::Watch(
    std::string prefix,
    base::Revision after,
    base::Duration wait,
    store::StoreFault* fault) {
  const auto relays = Relays();
  if (!prefix.empty() || relays.empty()) {
    co_return co_await store_.Watch(std::move(prefix), after, wait, fault);
  }
  const bool is_relay =
      std::ranges::find(relays, options_.instance) != relays.end();
  if (!is_relay) {
    const auto candidates = RelaysToQuery(relays);
    auto changes = co_await QueryRelays(candidates, after);
    if (changes) {
      CountWatch("relay");
      co_return changes;
    }
  }
  CountWatch("store");
  co_return co_await WatchStore(after, fault);
}

// After a timeout the store is queried at once: a second relay's timeout would
// delay changes beyond the bound within which they must take effect.
Awaitable<std::optional<store::StoreItems>> WatchSharing::QueryRelays(
    const std::vector<InstancePeer>& relays,
    base::Revision after) {
  for (const InstancePeer& relay : relays) {
    RelayFault fault{};
    auto changes =
        co_await query_relay_(relay, after, options_.watch_timeout, &fault);
    if (changes) {
      co_return changes;
    }
    BackOffFromRelay(relay, fault);
    if (fault == RelayFault::kTimeout || fault == RelayFault::kAskStore) {
      break;
    }
  }
  co_return std::nullopt;
}

WatchSharing::Result<store::StoreItems> WatchSharing::WatchStore(
    base::Revision after,
    store::StoreFault* fault) {
  auto changes = co_await store_.Watch(std::string(), after,
                                       options_.watch_timeout, fault);
  if (changes) {
    RecordChanges(after, *changes);
  }
  co_return changes;
}

void WatchSharing::RecordChanges(base::Revision after,
                                 const store::StoreItems& changes) {
  last_store_read_ = clock_();
  history_.Add(after, changes);
  std::ranges::for_each(waiting_timers_, [](auto* it) { it->cancel(); });
}

void WatchSharing::BackOffFromRelay(const InstancePeer& relay,
                                    RelayFault fault) {
  metrics_
      .GetCounter("lynxglade_relay_faults_total",
                  {{"fault", std::string(ToString(fault))}})
      .Add();
  if (fault == RelayFault::kAskStore) {
    return;
  }
  const base::Time now = clock_();
  std::erase_if(backoff_until_,
                [now](const auto& it) { return it.second <= now; });
  backoff_until_[relay.instance] = now + options_.relay_backoff;
  Log(LogLevel::kInfo, "relay_avoided",
      {{"relay", relay.instance.str()},
       {"fault", ToString(fault)},
       {"ms", base::ToMillis(options_.relay_backoff)}});
}

base::Time WatchSharing::FreshUntil() const {
  return last_store_read_ ? *last_store_read_ + options_.max_staleness
                          : base::Time::min();
}

void WatchSharing::CountWatch(const char* source) {
  metrics_.GetCounter("lynxglade_watches_total", {{"source", source}}).Add();
}

WatchSharing::Result<store::StoreItems> WatchSharing::List(
    std::string prefix,
    store::Freshness freshness,
    store::StoreFault* fault) {
  const bool all = prefix.empty();
  auto listed = co_await store_.List(std::move(prefix), freshness, fault);
  if (listed && all) {
    store::StoreItems none;
    none.revision = listed->revision;
    RecordChanges(listed->revision, none);
  }
  co_return listed;
}

}  // namespace lynxglade::process::peers
