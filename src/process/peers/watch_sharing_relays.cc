// How an instance asks its relays.
#include <algorithm>
#include <iterator>
#include <utility>

#include "base/hash.h"
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
// For how many steps of the turns an instance that did not serve a snapshot is
// not asked to stand in.
constexpr int kStandInPauseSteps = 2;

}  // namespace

std::vector<InstancePeer> WatchSharing::RelaysToQuery(
    const std::vector<base::InstanceId>& relays,
    bool for_snapshot) const {
  const base::Time now = clock_();
  std::vector<InstancePeer> peers;
  std::ranges::copy_if(
      hooks_.peers(), std::back_inserter(peers), [&](const InstancePeer& it) {
        const auto backoff = backoffs_.find(it.instance);
        const bool backed_off = backoff != backoffs_.end() &&
                                backoff->second.until > now &&
                                (!for_snapshot || backoff->second.silent);
        return std::ranges::find(relays, it.instance) != relays.end() &&
               it.instance != options_.selection.instance && !backed_off;
      });
  std::ranges::sort(peers, {}, [this](const InstancePeer& it) {
    return base::HashPair(options_.selection.instance.str(), it.instance.str());
  });
  return peers;
}

// After a timeout the store is queried at once: a second relay's timeout would
// delay changes beyond the bound within which they must take effect.
Awaitable<std::optional<WatchSharing::RelayRead>> WatchSharing::QueryRelays(
    std::vector<InstancePeer> relays,
    ChangesQuery query,
    RelayFault* fault) {
  *fault = RelayFault::kNotWatching;
  query.placements = hooks_.take_placements();
  const ChangesQuery asked = query;
  bool is_first = true;
  for (const InstancePeer& relay : relays) {
    const bool must_ask =
        std::exchange(is_first, false) && !query.snapshot_start;
    const auto times = TimesForRelay(asked, must_ask);
    if (!times) {
      break;
    }
    query.wait = times->wait;
    auto read = co_await ReadPages(relay, query, *times, fault);
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
    RelayTimes times,
    RelayFault* fault) {
  std::optional<RelayRead> read;
  std::size_t bytes = 0;
  for (int page = 0; page < kMaxPages; ++page) {
    auto answer = co_await hooks_.query_relay(
        relay, query, page == 0 ? times.first_page : times.page, fault);
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

// Where instances list in turns, many may ask for a snapshot at once, and a
// relay answers them one after another. It has to begin soon, unless the asker
// starts, which the relay may do as well.
std::optional<WatchSharing::RelayTimes> WatchSharing::TimesForRelay(
    const ChangesQuery& query,
    bool must_ask) const {
  const base::Duration most = options_.watch_timeout + options_.response_margin;
  const bool in_turns = query.snapshot_start && !Turns().AtOnce();
  base::Duration left = most;
  if (last_store_read_) {
    left = std::min(most, *last_store_read_ + options_.max_view_age - clock_());
  } else if (in_turns && relay_wait_began_) {
    left = base::Duration::zero();
  }
  if (in_turns) {
    left = std::max(left, query.wait + options_.response_margin);
  } else if (left < options_.min_response_time && !must_ask) {
    return std::nullopt;
  }
  RelayTimes times;
  times.wait = std::min(
      std::max(left - options_.response_margin, options_.min_relay_wait),
      options_.watch_timeout);
  times.first_page =
      std::max(std::min(times.wait + options_.response_margin, left),
               options_.min_response_time);
  times.page = in_turns ? most : times.first_page;
  return times;
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
  if (query.snapshot_start) {
    not_standing_in_[relay.instance] =
        clock_() + kStandInPauseSteps * Turns().step();
  }
  if (fault == RelayFault::kAskStore || fault == RelayFault::kResync ||
      (fault == RelayFault::kNotWatching && query.snapshot_start)) {
    return;
  }
  Backoff& backoff = backoffs_[relay.instance];
  backoff.delay = std::clamp(2 * backoff.delay, options_.relay_backoff,
                             options_.max_relay_backoff);
  backoff.until = clock_() + backoff.delay;
  backoff.silent =
      fault == RelayFault::kTimeout || fault == RelayFault::kUnreachable;
  base::Log(base::LogLevel::kInfo, "relay_avoided",
            {{"relay", relay.instance.str()},
             {"fault", ToString(fault)},
             {"ms", base::ToMillis(backoff.delay)}});
}

}  // namespace lynxglade::process::peers
