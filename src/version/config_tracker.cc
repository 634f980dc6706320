#include "version/config_tracker.h"

#include <iterator>
#include <optional>
#include <utility>

#include "base/log.h"

namespace lynxglade::version {
namespace {

constexpr base::Revision kOne{1};

}  // namespace

std::string_view ToString(OfferResult result) noexcept {
  switch (result) {
    case OfferResult::kApplied:
      return "taken";
    case OfferResult::kKnown:
      return "known";
    case OfferResult::kOlder:
      return "older";
    case OfferResult::kAhead:
      return "ahead";
    case OfferResult::kForked:
      return "forked";
    case OfferResult::kMalformed:
      break;
  }
  return "malformed";
}

std::string_view ToString(ConfigSource source) noexcept {
  switch (source) {
    case ConfigSource::kService:
      return "service";
    case ConfigSource::kPeer:
      return "peer";
    case ConfigSource::kLocal:
      break;
  }
  return "own";
}

ConfigTracker::ConfigTracker(ConfigTrackerHooks hooks, base::Metrics& metrics)
    : hooks_(std::move(hooks)),
      metrics_(metrics),
      current_(state_.current.configuration) {}

OfferResult ConfigTracker::OfferHead(
    const ConfigHead& head,
    ConfigSource source,
    std::optional<base::Revision> held_before_read) {
  OfferResult result = OfferResult::kKnown;
  {
    const std::scoped_lock lock(mutex_);
    const base::Revision current = state_.current.revision();
    if (head.revision > current) {
      result = OfferResult::kAhead;
      NoteRevision(head.revision);
    } else if (head.revision == current &&
               head.digest != state_.current.digest) {
      result = OfferResult::kForked;
    } else if (held_before_read && head.revision < *held_before_read) {
      result = OfferResult::kOlder;
    }
    // A head from a peer says nothing about the state of the service.
    if (source == ConfigSource::kService && held_before_read) {
      state_.service_is_behind = result == OfferResult::kOlder;
      state_.forked = result == OfferResult::kForked;
    }
  }
  return RecordResult("head", head.revision, source, result);
}

OfferResult ConfigTracker::OfferDelta(const ChainedDelta& delta,
                                      ConfigSource source) {
  CodecFault fault;
  const std::optional<ConfigDelta> parsed = DecodeDelta(delta.text, &fault);
  if (!parsed ||
      delta.digest != ChainDigest(delta.previous_digest, delta.text)) {
    return RecordResult("delta", base::Revision(0), source,
                        OfferResult::kMalformed);
  }
  std::vector<AppliedDelta> applied;
  OfferResult result = OfferResult::kKnown;
  {
    const std::scoped_lock lock(mutex_);
    result = HandleDelta(delta, *parsed, source, &applied);
  }
  NotifyApplied(applied);
  return RecordResult("delta", parsed->revision, source, result);
}

OfferResult ConfigTracker::HandleDelta(const ChainedDelta& delta,
                                       const ConfigDelta& parsed,
                                       ConfigSource source,
                                       std::vector<AppliedDelta>* applied) {
  const base::Revision current = state_.current.revision();
  if (parsed.revision <= current) {
    const bool same =
        parsed.revision < current || delta.digest == state_.current.digest;
    return same ? OfferResult::kKnown : OfferResult::kForked;
  }
  NoteRevision(parsed.revision);
  if (parsed.revision > current + kOne) {
    state_.buffered.insert_or_assign(parsed.revision, delta);
    // Keeps the lowest revisions, which apply first; a later read of the
    // service covers the rest.
    if (state_.buffered.size() > kPublishedDeltas) {
      state_.buffered.erase(std::prev(state_.buffered.end()));
    }
    return OfferResult::kAhead;
  }
  const OfferResult result = ApplyNext(delta, parsed);
  if (result == OfferResult::kApplied) {
    applied->push_back({parsed.revision, delta});
    ApplyBuffered(applied);
    FinishUpdate();
  } else if (source == ConfigSource::kService) {
    state_.forked = true;
  }
  return result;
}

OfferResult ConfigTracker::ApplyNext(const ChainedDelta& delta,
                                     const ConfigDelta& parsed) {
  if (delta.previous_digest != state_.current.digest) {
    return OfferResult::kForked;
  }
  auto next = std::make_shared<Configuration>(*state_.current.configuration);
  if (!ApplyDelta(parsed, next.get())) {
    return OfferResult::kForked;
  }
  state_.current = {std::move(next), delta.digest};
  return OfferResult::kApplied;
}

void ConfigTracker::ApplyBuffered(std::vector<AppliedDelta>* applied) {
  CodecFault fault;
  auto it = state_.buffered.find(state_.current.revision() + kOne);
  while (it != state_.buffered.end()) {
    const std::optional<ConfigDelta> parsed =
        DecodeDelta(it->second.text, &fault);
    const bool is_applied =
        parsed && ApplyNext(it->second, *parsed) == OfferResult::kApplied;
    if (!is_applied) {
      // Belongs to a different history; the correct delta may still arrive.
      state_.buffered.erase(it);
      return;
    }
    applied->push_back({it->first, std::move(it->second)});
    state_.buffered.erase(it);
    it = state_.buffered.find(state_.current.revision() + kOne);
  }
}

OfferResult ConfigTracker::OfferSnapshot(const ConfigSnapshot& snapshot,
                                         ConfigSource source) {
  OfferResult result = OfferResult::kApplied;
  std::vector<AppliedDelta> applied;
  {
    const std::scoped_lock lock(mutex_);
    const base::Revision current = state_.current.revision();
    if (snapshot.revision() < current) {
      result = OfferResult::kOlder;
    } else if (snapshot.revision() == current && current.value() > 0) {
      result = snapshot.digest == state_.current.digest ? OfferResult::kKnown
                                                        : OfferResult::kForked;
    } else if (snapshot.revision().value() == 0) {
      result = OfferResult::kKnown;
    } else {
      NoteRevision(snapshot.revision());
      state_.current = snapshot;
      ApplyBuffered(&applied);
      FinishUpdate();
    }
  }
  if (result == OfferResult::kApplied) {
    if (hooks_.on_snapshot) {
      hooks_.on_snapshot(snapshot);
    }
    NotifyApplied(applied);
    if (applied.empty() && hooks_.on_applied) {
      hooks_.on_applied(GetSnapshot());
    }
  }
  return RecordResult("whole", snapshot.revision(), source, result);
}

OfferResult ConfigTracker::OfferEncodedSnapshot(std::string_view bytes,
                                                ConfigSource source) {
  CodecFault fault;
  const std::optional<ConfigSnapshot> snapshot = DecodeSnapshot(bytes, &fault);
  if (!snapshot) {
    return RecordResult("whole", base::Revision(0), source,
                        OfferResult::kMalformed);
  }
  return OfferSnapshot(*snapshot, source);
}

std::shared_ptr<const Configuration> ConfigTracker::Get() const {
  return current_.load();
}

ConfigSnapshot ConfigTracker::GetSnapshot() const {
  const std::scoped_lock lock(mutex_);
  return state_.current;
}

bool ConfigTracker::ready() const {
  const std::scoped_lock lock(mutex_);
  return state_.ready;
}

void ConfigTracker::MarkStoreEmpty() {
  const std::scoped_lock lock(mutex_);
  // A service that lost its data also has no head.
  if (state_.newest_known.value() == 0) {
    state_.ready = true;
  } else {
    state_.service_is_behind = true;
  }
}

base::Revision ConfigTracker::newest_known() const {
  const std::scoped_lock lock(mutex_);
  return state_.newest_known;
}

bool ConfigTracker::behind() const {
  const std::scoped_lock lock(mutex_);
  return state_.newest_known > state_.current.revision();
}

base::Duration ConfigTracker::TimeBehind() const {
  const std::scoped_lock lock(mutex_);
  if (state_.newest_known <= state_.current.revision()) {
    return base::Duration::zero();
  }
  return hooks_.clock() - state_.behind_since;
}

bool ConfigTracker::service_is_behind() const {
  const std::scoped_lock lock(mutex_);
  return state_.service_is_behind;
}

bool ConfigTracker::forked() const {
  const std::scoped_lock lock(mutex_);
  return state_.forked;
}

void ConfigTracker::NoteRevision(base::Revision revision) {
  if (revision <= state_.newest_known) {
    return;
  }
  if (state_.newest_known <= state_.current.revision()) {
    state_.behind_since = hooks_.clock();
  }
  state_.newest_known = revision;
}

void ConfigTracker::FinishUpdate() {
  const base::Revision current = state_.current.revision();
  state_.buffered.erase(state_.buffered.begin(),
                        state_.buffered.upper_bound(current));
  state_.ready = state_.ready || current >= state_.newest_known;
  state_.service_is_behind = false;
  state_.forked = false;
  current_.store(state_.current.configuration);
}

void ConfigTracker::NotifyApplied(const std::vector<AppliedDelta>& applied) {
  if (applied.empty()) {
    return;
  }
  if (hooks_.on_delta) {
    for (const AppliedDelta& it : applied) {
      hooks_.on_delta(it.revision, it.delta);
    }
  }
  if (hooks_.on_applied) {
    hooks_.on_applied(GetSnapshot());
  }
}

OfferResult ConfigTracker::RecordResult(std::string_view what,
                                        base::Revision revision,
                                        ConfigSource source,
                                        OfferResult result) {
  base::Counter& counter =
      metrics_.GetCounter("lynxglade_config_offers_total",
                          {{"what", std::string(what)},
                           {"source", std::string(ToString(source))},
                           {"result", std::string(ToString(result))}});
  // Logs the first rejection of each kind and then every kLogEvery-th.
  constexpr std::uint64_t kLogEvery = 64;
  const bool is_rejected = result == OfferResult::kOlder ||
                           result == OfferResult::kForked ||
                           result == OfferResult::kMalformed;
  if (is_rejected && counter.Get() % kLogEvery == 0) {
    base::Log(base::LogLevel::kError, "config_refused",
              {{"what", what},
               {"source", ToString(source)},
               {"reason", ToString(result)},
               {"revision", revision.value()},
               {"held", GetSnapshot().revision().value()}});
  }
  if (result == OfferResult::kApplied) {
    base::Log(base::LogLevel::kInfo, "config_in_force",
              {{"revision", GetSnapshot().revision().value()},
               {"source", ToString(source)}});
  }
  counter.Add();
  return result;
}

}  // namespace lynxglade::version
