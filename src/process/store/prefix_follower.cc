#include "process/store/prefix_follower.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/log.h"
#include "connection/event/sleep.h"

namespace lynxglade::process::store {

namespace {

using base::Log;
using base::LogLevel;
using connection::event::Awaitable;
using connection::event::SleepFor;
namespace asio = connection::event::asio;

}  // namespace

std::string_view ToString(StoreFault fault) noexcept {
  switch (fault) {
    case StoreFault::kTimeout:
      return "timeout";
    case StoreFault::kClosed:
      return "closed";
    case StoreFault::kBusy:
      return "busy";
    case StoreFault::kHistoryGone:
      return "history_gone";
    case StoreFault::kNoLease:
      return "no_lease";
    case StoreFault::kConflict:
      return "conflict";
    case StoreFault::kMalformed:
      break;
  }
  return "malformed";
}

PrefixFollowerHooks DispatchByPrefix(std::vector<PrefixHandler> handlers) {
  const auto shared =
      std::make_shared<const std::vector<PrefixHandler>>(std::move(handlers));
  PrefixFollowerHooks hooks;
  hooks.on_list = [shared](const std::vector<StoreItem>& items) {
    for (const PrefixHandler& handler : *shared) {
      std::vector<StoreItem> matching;
      std::ranges::copy_if(items, std::back_inserter(matching),
                           [&handler](const StoreItem& it) {
                             return it.key.starts_with(handler.prefix);
                           });
      handler.hooks.on_list(matching);
    }
  };
  hooks.on_change = [shared](const StoreItem& item) {
    for (const PrefixHandler& handler : *shared) {
      if (item.key.starts_with(handler.prefix)) {
        handler.hooks.on_change(item);
      }
    }
  };
  hooks.on_recovered = [shared](base::Duration silence) {
    for (const PrefixHandler& handler : *shared) {
      handler.hooks.on_recovered(silence);
    }
  };
  return hooks;
}

PrefixFollower::PrefixFollower(asio::io_context& loop,
                               ChangeSource& source,
                               PrefixFollowerOptions options,
                               PrefixFollowerHooks hooks,
                               base::Clock clock,
                               base::RandomSource random,
                               base::Metrics& metrics)
    : loop_(loop),
      source_(source),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      random_(std::move(random)),
      metrics_(metrics) {}

Awaitable<void> PrefixFollower::Run() {
  while (true) {
    const bool listed = co_await List();
    bool waited = false;
    if (listed) {
      const StoreFault fault = co_await Watch();
      waited = fault == StoreFault::kTimeout;
    }
    if (consecutive_failures_ > 0 && !waited) {
      co_await BackOff();
    }
  }
}

Awaitable<bool> PrefixFollower::List() {
  StoreFault fault{};
  const auto listed = co_await source_.List(
      options_.prefix,
      last_response_ ? Freshness::kCurrent : Freshness::kMayBeStale, &fault);
  if (!listed) {
    RecordFault("list", fault);
    unavailable_ = true;
    co_return false;
  }
  if (std::exchange(unavailable_, false)) {
    const base::Duration silence = Age().value_or(base::Duration::max());
    Log(LogLevel::kInfo, "store_returned",
        {{"prefix", options_.prefix}, {"silence_ms", base::ToMillis(silence)}});
    hooks_.on_recovered(silence);
  }
  consecutive_failures_ = 0;
  last_response_ = clock_() - listed->age;
  revision_ = listed->revision;
  hooks_.on_list(listed->items);
  co_return true;
}

Awaitable<StoreFault> PrefixFollower::Watch() {
  if (!std::exchange(watched_, true)) {
    co_await SleepFor(loop_, options_.batch_delay());
  }
  while (true) {
    StoreFault fault{};
    const auto changes = co_await source_.Watch(options_.prefix, revision_,
                                                WatchTimeout(), &fault);
    if (!changes) {
      RecordFault("watch", fault);
      unavailable_ = unavailable_ || fault == StoreFault::kTimeout ||
                     fault == StoreFault::kBusy;
      co_return fault;
    }
    last_response_ = clock_() - changes->age;
    revision_ = std::max(revision_, changes->revision);
    std::ranges::for_each(changes->items, hooks_.on_change);
    if (!changes->items.empty()) {
      co_await SleepFor(loop_, options_.batch_delay());
    }
  }
}

base::Duration PrefixFollower::WatchTimeout() const {
  const base::Duration age = Age().value_or(base::Duration::zero());
  return std::max(options_.max_age - age, options_.min_watch_timeout);
}

Awaitable<void> PrefixFollower::BackOff() {
  constexpr int kMaxDoublings = 6;
  const int doublings = std::min(consecutive_failures_ - 1, kMaxDoublings);
  const base::Duration min_delay = std::min(
      options_.min_retry_delay * (1 << doublings), options_.max_retry_delay);
  const auto delay = std::chrono::duration_cast<base::Duration>(
      min_delay * (1 + base::UniformReal(random_)));
  co_await SleepFor(loop_, delay);
}

void PrefixFollower::RecordFault(const char* call, StoreFault fault) {
  metrics_
      .GetCounter("lynxglade_store_faults_total",
                  {{"call", call}, {"fault", std::string(ToString(fault))}})
      .Add();
  if (consecutive_failures_++ == 0) {
    Log(LogLevel::kWarning, "store_fault",
        {{"prefix", options_.prefix},
         {"call", call},
         {"fault", ToString(fault)},
         {"revision", revision_.value()}});
  }
}

std::optional<base::Duration> PrefixFollower::Age() const {
  if (!last_response_) {
    return std::nullopt;
  }
  return clock_() - *last_response_;
}

}  // namespace lynxglade::process::store
