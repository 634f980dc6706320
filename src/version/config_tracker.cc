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
      current_(state_.held.configuration) {}

OfferResult ConfigTracker::OfferHead(
    const ConfigHead& head,
    ConfigSource source,
    std::optional<base::Revision> held_before_read) {
  OfferResult result = OfferResult::kKnown;
  {
    const std::scoped_lock lock(mutex_);
    const base::Revision held = state_.held.revision();
    if (head.revision > held) {
      result = OfferResult::kAhead;
      Hear(head.revision);
    } else if (head.revision == held && head.digest != state_.held.digest) {
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
  return Count("head", head.revision, source, result);
}

OfferResult ConfigTracker::OfferDelta(const ChainedDelta& delta,
                                      ConfigSource source) {
  CodecFault fault;
  const std::optional<ConfigDelta> parsed = DecodeDelta(delta.text, &fault);
  if (!parsed ||
      delta.digest != ChainDigest(delta.previous_digest, delta.text)) {
    return Count("delta", base::Revision(0), source, OfferResult::kMalformed);
  }
  std::vector<Taken> taken;
  OfferResult result = OfferResult::kKnown;
  {
    const std::scoped_lock lock(mutex_);
    result = TakeDelta(delta, *parsed, source, &taken);
  }
  Announce(taken);
  return Count("delta", parsed->revision, source, result);
}

OfferResult ConfigTracker::TakeDelta(const ChainedDelta& delta,
                                     const ConfigDelta& parsed,
                                     ConfigSource source,
                                     std::vector<Taken>* taken) {
  const base::Revision held = state_.held.revision();
  if (parsed.revision <= held) {
    const bool same =
        parsed.revision < held || delta.digest == state_.held.digest;
    return same ? OfferResult::kKnown : OfferResult::kForked;
  }
  Hear(parsed.revision);
  if (parsed.revision > held + kOne) {
    state_.early.insert_or_assign(parsed.revision, delta);
    // Keep the oldest, which apply first; a reload covers the rest.
    if (state_.early.size() > kPublishedDeltas) {
      state_.early.erase(std::prev(state_.early.end()));
    }
    return OfferResult::kAhead;
  }
  const OfferResult result = ApplyNext(delta, parsed);
  if (result == OfferResult::kApplied) {
    taken->push_back({parsed.revision, delta});
    ApplyEarly(taken);
    Settle();
  } else if (source == ConfigSource::kService) {
    state_.forked = true;
  }
  return result;
}

OfferResult ConfigTracker::ApplyNext(const ChainedDelta& delta,
                                     const ConfigDelta& parsed) {
  if (delta.previous_digest != state_.held.digest) {
    return OfferResult::kForked;
  }
  auto next = std::make_shared<Configuration>(*state_.held.configuration);
  if (!ApplyDelta(parsed, next.get())) {
    return OfferResult::kForked;
  }
  state_.held = {std::move(next), delta.digest};
  return OfferResult::kApplied;
}

void ConfigTracker::ApplyEarly(std::vector<Taken>* taken) {
  CodecFault fault;
  auto it = state_.early.find(state_.held.revision() + kOne);
  while (it != state_.early.end()) {
    const std::optional<ConfigDelta> parsed =
        DecodeDelta(it->second.text, &fault);
    const bool applied =
        parsed && ApplyNext(it->second, *parsed) == OfferResult::kApplied;
    if (!applied) {
      // Belongs to a different history; the correct delta may still arrive.
      state_.early.erase(it);
      return;
    }
    taken->push_back({it->first, std::move(it->second)});
    state_.early.erase(it);
    it = state_.early.find(state_.held.revision() + kOne);
  }
}

OfferResult ConfigTracker::OfferSnapshot(const ConfigSnapshot& snapshot,
                                         ConfigSource source) {
  OfferResult result = OfferResult::kApplied;
  std::vector<Taken> taken;
  {
    const std::scoped_lock lock(mutex_);
    const base::Revision held = state_.held.revision();
    if (snapshot.revision() < held) {
      result = OfferResult::kOlder;
    } else if (snapshot.revision() == held && held.value() > 0) {
      result = snapshot.digest == state_.held.digest ? OfferResult::kKnown
                                                     : OfferResult::kForked;
    } else if (snapshot.revision().value() == 0) {
      result = OfferResult::kKnown;
    } else {
      Hear(snapshot.revision());
      state_.held = snapshot;
      ApplyEarly(&taken);
      Settle();
    }
  }
  if (result == OfferResult::kApplied) {
    if (hooks_.on_snapshot) {
      hooks_.on_snapshot(snapshot);
    }
    Announce(taken);
    if (taken.empty() && hooks_.on_applied) {
      hooks_.on_applied(GetSnapshot());
    }
  }
  return Count("whole", snapshot.revision(), source, result);
}

OfferResult ConfigTracker::OfferEncodedSnapshot(std::string_view bytes,
                                                ConfigSource source) {
  CodecFault fault;
  const std::optional<ConfigSnapshot> snapshot = DecodeSnapshot(bytes, &fault);
  if (!snapshot) {
    return Count("whole", base::Revision(0), source, OfferResult::kMalformed);
  }
  return OfferSnapshot(*snapshot, source);
}

std::shared_ptr<const Configuration> ConfigTracker::Get() const {
  return current_.load();
}

ConfigSnapshot ConfigTracker::GetSnapshot() const {
  const std::scoped_lock lock(mutex_);
  return state_.held;
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
  return state_.newest_known > state_.held.revision();
}

base::Duration ConfigTracker::TimeBehind() const {
  const std::scoped_lock lock(mutex_);
  if (state_.newest_known <= state_.held.revision()) {
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

void ConfigTracker::Hear(base::Revision revision) {
  if (revision <= state_.newest_known) {
    return;
  }
  if (state_.newest_known <= state_.held.revision()) {
    state_.behind_since = hooks_.clock();
  }
  state_.newest_known = revision;
}

void ConfigTracker::Settle() {
  const base::Revision held = state_.held.revision();
  state_.early.erase(state_.early.begin(), state_.early.upper_bound(held));
  state_.ready = state_.ready || held >= state_.newest_known;
  state_.service_is_behind = false;
  state_.forked = false;
  current_.store(state_.held.configuration);
}

void ConfigTracker::Announce(const std::vector<Taken>& taken) {
  if (taken.empty()) {
    return;
  }
  if (hooks_.on_delta) {
    for (const Taken& it : taken) {
      hooks_.on_delta(it.revision, it.delta);
    }
  }
  if (hooks_.on_applied) {
    hooks_.on_applied(GetSnapshot());
  }
}

OfferResult ConfigTracker::Count(std::string_view what,
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
  const bool loud = result == OfferResult::kOlder ||
                    result == OfferResult::kForked ||
                    result == OfferResult::kMalformed;
  if (loud && counter.Get() % kLogEvery == 0) {
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
