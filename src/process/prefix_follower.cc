#include "process/prefix_follower.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/log.h"
#include "connection/event/sleep.h"

namespace lynxglade::process {

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

PrefixFollowerHooks DispatchByPrefix(std::vector<PrefixHandler> parts) {
  const auto all =
      std::make_shared<const std::vector<PrefixHandler>>(std::move(parts));
  PrefixFollowerHooks hooks;
  hooks.on_list = [all](const std::vector<StoreItem>& items) {
    for (const PrefixHandler& part : *all) {
      std::vector<StoreItem> own;
      std::ranges::copy_if(items, std::back_inserter(own),
                           [&part](const StoreItem& it) {
                             return it.key.starts_with(part.prefix);
                           });
      part.hooks.on_list(own);
    }
  };
  hooks.on_change = [all](const StoreItem& item) {
    for (const PrefixHandler& part : *all) {
      if (item.key.starts_with(part.prefix)) {
        part.hooks.on_change(item);
      }
    }
  };
  hooks.on_recovered = [all] {
    std::ranges::for_each(
        *all, [](const PrefixHandler& it) { it.hooks.on_recovered(); });
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
    if (listed) {
      co_await Watch();
    }
    if (failures_in_a_row_ > 0) {
      co_await Pause();
    }
  }
}

Awaitable<bool> PrefixFollower::List() {
  StoreFault fault{};
  const auto listed = co_await source_.List(
      options_.prefix, heard_ ? Freshness::kCurrent : Freshness::kMayBeStale,
      &fault);
  if (!listed) {
    NoteFault("list", fault);
    away_ = true;
    co_return false;
  }
  if (std::exchange(away_, false)) {
    Log(LogLevel::kInfo, "store_returned", {{"prefix", options_.prefix}});
    hooks_.on_recovered();
  }
  failures_in_a_row_ = 0;
  heard_ = clock_();
  at_ = listed->revision;
  hooks_.on_list(listed->items);
  co_return true;
}

Awaitable<void> PrefixFollower::Watch() {
  while (true) {
    StoreFault fault{};
    const auto changes = co_await source_.Watch(options_.prefix, at_,
                                                options_.watch_timeout, &fault);
    if (!changes) {
      NoteFault("watch", fault);
      away_ =
          away_ || fault == StoreFault::kTimeout || fault == StoreFault::kBusy;
      co_return;
    }
    heard_ = clock_();
    at_ = std::max(at_, changes->revision);
    std::ranges::for_each(changes->items, hooks_.on_change);
    if (!changes->items.empty()) {
      co_await SleepFor(loop_, options_.batch_delay());
    }
  }
}

Awaitable<void> PrefixFollower::Pause() {
  constexpr int kMostDoublings = 6;
  const int doublings = std::min(failures_in_a_row_ - 1, kMostDoublings);
  const base::Duration least = std::min(
      options_.min_retry_delay * (1 << doublings), options_.max_retry_delay);
  const auto pause = std::chrono::duration_cast<base::Duration>(
      least * (1 + base::UniformReal(random_)));
  co_await SleepFor(loop_, pause);
}

void PrefixFollower::NoteFault(const char* call, StoreFault fault) {
  metrics_
      .GetCounter("lynxglade_store_faults_total",
                  {{"call", call}, {"fault", std::string(ToString(fault))}})
      .Add();
  if (failures_in_a_row_++ == 0) {
    Log(LogLevel::kWarning, "store_fault",
        {{"prefix", options_.prefix},
         {"call", call},
         {"fault", ToString(fault)},
         {"revision", at_.value()}});
  }
}

std::optional<base::Duration> PrefixFollower::Age() const {
  if (!heard_) {
    return std::nullopt;
  }
  return clock_() - *heard_;
}

}  // namespace lynxglade::process
