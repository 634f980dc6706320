#include "version/config_watcher.h"

#include <algorithm>
#include <utility>

namespace lynxglade::version {
namespace {

using connection::KvError;
using connection::KvEvent;

// Relative jitter of read intervals, so that instances do not synchronise.
constexpr double kJitterFraction = 0.25;

// Reads and applies the deltas up to the head. Returns false when the read
// fails or a delta does not apply.
bool ApplyDeltas(const ConfigStore& store,
                 const ConfigHead& head,
                 ConfigTracker* tracker,
                 StoreError* last_error) {
  const auto deltas =
      store.ReadDeltas(tracker->Get()->revision, head.revision, last_error);
  return deltas && std::ranges::all_of(*deltas, [&](const ChainedDelta& it) {
           const OfferResult result =
               tracker->OfferDelta(it, ConfigSource::kService);
           return result == OfferResult::kApplied ||
                  result == OfferResult::kKnown;
         });
}

}  // namespace

bool RefreshConfig(const ConfigStore& store,
                   ConfigTracker* tracker,
                   StoreError* last_error) {
  const base::Revision current = tracker->Get()->revision;
  const std::optional<StoredHead> stored = store.ReadHead(last_error);
  if (!stored) {
    return false;
  }
  if (stored->mod_revision.value() == 0) {
    tracker->MarkStoreEmpty();
    return true;
  }
  const OfferResult offered =
      tracker->OfferHead(stored->head, ConfigSource::kService, current);
  if (offered != OfferResult::kAhead) {
    return true;
  }
  if (current < stored->head.snapshot) {
    const std::optional<ConfigSnapshot> snapshot =
        store.ReadSnapshot(stored->head, last_error);
    if (!snapshot) {
      return false;
    }
    tracker->OfferSnapshot(*snapshot, ConfigSource::kService);
  }
  return ApplyDeltas(store, stored->head, tracker, last_error);
}

ConfigWatcher::ConfigWatcher(const connection::KeyValue& service,
                             const ConfigStore& store,
                             ConfigTracker& tracker,
                             ConfigWatcherHooks hooks,
                             base::Metrics& metrics,
                             ConfigWatcherOptions options)
    : service_(service),
      store_(store),
      tracker_(tracker),
      hooks_(std::move(hooks)),
      metrics_(metrics),
      options_(options) {}

ConfigWatcher::~ConfigWatcher() {
  reader_.request_stop();
  watcher_.request_stop();
}

void ConfigWatcher::Start() {
  reader_ =
      std::jthread([this](const std::stop_token& stop) { ReadLoop(stop); });
  watcher_ =
      std::jthread([this](const std::stop_token& stop) { WatchLoop(stop); });
}

void ConfigWatcher::TriggerRead() {
  {
    const std::scoped_lock lock(mutex_);
    read_triggered_ = true;
  }
  wake_.notify_all();
}

void ConfigWatcher::ReadLoop(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    ReadOnce();
    Wait(stop, NextPeriod(), true);
  }
}

void ConfigWatcher::ReadOnce() {
  StoreError ec = StoreError::kNone;
  const bool read = RefreshConfig(store_, &tracker_, &ec);
  metrics_
      .GetCounter("lynxglade_config_reads_total",
                  {{"result", std::string(ToString(ec))}})
      .Add();
  if (!read && (!tracker_.ready() || tracker_.behind())) {
    FetchFromPeer();
  }
}

void ConfigWatcher::FetchFromPeer() {
  if (!hooks_.fetch_from_peer) {
    return;
  }
  if (const std::optional<std::string> bytes = hooks_.fetch_from_peer()) {
    tracker_.OfferEncodedSnapshot(*bytes, ConfigSource::kPeer);
  }
}

base::Duration ConfigWatcher::NextPeriod() const {
  base::Duration period = options_.other_period;
  if (!tracker_.ready() || tracker_.behind()) {
    period = options_.behind_period;
  } else if (hooks_.should_watch()) {
    period = options_.watcher_period;
  }
  const double factor =
      1.0 + kJitterFraction * (2 * base::UniformReal(hooks_.random) - 1);
  return std::chrono::duration_cast<base::Duration>(period * factor);
}

void ConfigWatcher::WatchLoop(const std::stop_token& stop) {
  // 0 starts the watch at the service's current revision; the reader thread
  // covers earlier changes.
  base::Revision next{0};
  while (!stop.stop_requested()) {
    if (!hooks_.should_watch()) {
      next = base::Revision(0);
      Wait(stop, options_.watcher_period, false);
      continue;
    }
    // A change accepted between the last read and the start of the watch is
    // found only by a read after the watch is established.
    bool established = false;
    const auto on_events = [&](const std::vector<KvEvent>& events,
                               base::Revision revision) {
      const bool first = !std::exchange(established, true);
      if (revision.value() > 0) {
        next = revision + base::Revision(1);
      }
      if (!HandleEvents(events) || first) {
        TriggerRead();
      }
      return hooks_.should_watch();
    };
    const KvError ec =
        service_.Watch(std::string(kConfigPrefix), next, on_events, stop);
    metrics_
        .GetCounter("lynxglade_config_watch_ends_total",
                    {{"reason", std::string(connection::ToString(ec))}})
        .Add();
    if (ec == KvError::kBadAnswer) {
      // The start revision may have been compacted; use the current one.
      next = base::Revision(0);
    }
    Wait(stop, options_.rewatch_delay, false);
  }
}

bool ConfigWatcher::HandleEvents(const std::vector<KvEvent>& events) {
  // Offers heads after deltas, so that a head that is ahead means a gap.
  std::vector<ConfigHead> heads;
  for (const KvEvent& it : events) {
    ConfigEvent event = DecodeConfigEvent(it);
    if (event.delta) {
      tracker_.OfferDelta(*event.delta, ConfigSource::kService);
    }
    if (event.head) {
      heads.push_back(std::move(*event.head));
    }
  }
  for (const ConfigHead& it : heads) {
    tracker_.OfferHead(it, ConfigSource::kService);
  }
  return !tracker_.behind();
}

void ConfigWatcher::Wait(const std::stop_token& stop,
                         base::Duration time,
                         bool triggerable) {
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, stop, time, [&] {
    return triggerable && std::exchange(read_triggered_, false);
  });
}

}  // namespace lynxglade::version
