// How an instance asks its relays.
#include <algorithm>
#include <iterator>
#include <utility>

#include "base/log.h"
#include "process/peers/watch_sharing.h"

namespace lynxglade::process::peers {

namespace {

using connection::event::Awaitable;
using request::passthrough::SamplingLevels;

// Pages read in one call, and bytes of their items; more than a fleet's entries
// have.
constexpr int kMaxPages = 1000;
constexpr std::size_t kMaxReadBytes = std::size_t{64} * 1024 * 1024;

}  // namespace

// After a timeout the store is queried at once: a second relay's timeout would
// delay changes beyond the bound within which they must take effect.
Awaitable<std::optional<WatchSharing::RelayRead>> WatchSharing::QueryRelays(
    std::vector<InstancePeer> relays,
    ChangesQuery query,
    RelayFault* fault) {
  *fault = RelayFault::kNotWatching;
  query.placements = hooks_.take_placements();
  const base::Duration most_wait = query.wait;
  bool is_first = true;
  for (const InstancePeer& relay : relays) {
    const base::Duration left = TimeForRelays(query.snapshot_start.has_value());
    const bool must_ask =
        std::exchange(is_first, false) && !query.snapshot_start;
    if (left < options_.min_response_time && !must_ask) {
      break;
    }
    query.wait = std::min(
        std::max(left - options_.response_margin, options_.min_relay_wait),
        most_wait);
    const base::Duration timeout =
        std::max(std::min(query.wait + options_.response_margin, left),
                 options_.min_response_time);
    auto read = co_await ReadPages(relay, query, timeout, fault);
    if (read && query.snapshot_start && !IsNewEnough(read->items.revision)) {
      read.reset();
      *fault = RelayFault::kNotWatching;
    }
    if (read) {
      backoffs_.erase(relay.instance);
      co_return read;
    }
    RecordRelayFault(relay, query, *fault);
    if (*fault == RelayFault::kTimeout || *fault == RelayFault::kAskStore ||
        *fault == RelayFault::kResync) {
      break;
    }
    query.placements = {};
  }
  co_return std::nullopt;
}

// Of a watch, pages that were read are returned also if a further one fails.
Awaitable<std::optional<WatchSharing::RelayRead>> WatchSharing::ReadPages(
    InstancePeer relay,
    ChangesQuery query,
    base::Duration timeout,
    RelayFault* fault) {
  std::optional<RelayRead> read;
  std::size_t bytes = 0;
  for (int page = 0; page < kMaxPages; ++page) {
    auto answer = co_await hooks_.query_relay(relay, query, timeout, fault);
    if (!answer) {
      co_return query.snapshot_start ? std::nullopt : std::move(read);
    }
    if (page == 0 && query.snapshot_start && history_gone_at_ &&
        answer->snapshot_start <= *history_gone_at_) {
      *fault = RelayFault::kNotWatching;
      co_return std::nullopt;
    }
    bytes += store::BytesOf(answer->changes.items);
    if (bytes > kMaxReadBytes) {
      *fault = RelayFault::kMalformed;
      co_return std::nullopt;
    }
    if (!read) {
      read.emplace();
    }
    std::ranges::move(answer->changes.items,
                      std::back_inserter(read->items.items));
    read->items.revision = answer->changes.revision;
    read->items.age = answer->changes.age;
    if (answer->levels) {
      // Earlier pages of a snapshot lack targets that are in use now.
      if (query.snapshot_start && page > 0 &&
          !read->levels.value_or(SamplingLevels()).Covers(*answer->levels)) {
        *fault = RelayFault::kResync;
        co_return std::nullopt;
      }
      query.levels_digest = answer->levels->digest();
      read->levels = std::move(answer->levels);
    }
    if (!answer->more) {
      break;
    }
    query.after = answer->changes.revision;
    query.placements = {};
    if (query.snapshot_start) {
      query.snapshot_start = answer->snapshot_start;
    }
  }
  co_return read;
}

// Many instances may ask for a snapshot at once, and a relay answers them one
// after another.
base::Duration WatchSharing::TimeForRelays(bool for_snapshot) const {
  const base::Duration most = options_.watch_timeout + options_.response_margin;
  const bool is_crowded =
      for_snapshot && SharingGroup(hooks_.peers(), options_.selection).size() >=
                          options_.many_instances;
  if (!last_store_read_ || is_crowded) {
    return most;
  }
  return std::min(most, *last_store_read_ + options_.max_view_age - clock_());
}

// A relay that has nothing to tell yet is asked again soon by an instance that
// starts; it is most likely starting, too.
void WatchSharing::RecordRelayFault(const InstancePeer& relay,
                                    const ChangesQuery& query,
                                    RelayFault fault) {
  metrics_
      .GetCounter("lynxglade_relay_faults_total",
                  {{"fault", std::string(ToString(fault))}})
      .Add();
  if (fault == RelayFault::kAskStore || fault == RelayFault::kResync ||
      (fault == RelayFault::kNotWatching && query.snapshot_start)) {
    return;
  }
  Backoff& backoff = backoffs_[relay.instance];
  backoff.delay = std::clamp(2 * backoff.delay, options_.relay_backoff,
                             options_.max_relay_backoff);
  backoff.until = clock_() + backoff.delay;
  base::Log(base::LogLevel::kInfo, "relay_avoided",
            {{"relay", relay.instance.str()},
             {"fault", ToString(fault)},
             {"ms", base::ToMillis(backoff.delay)}});
}

}  // namespace lynxglade::process::peers
