#include "request/quarantine_mark.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
#include "base/hash.h"

namespace lynxglade::request {

namespace {

using Json = nlohmann::json;

// Limits on marks accepted from other instances.
constexpr std::size_t kMaxBody = 16384;
constexpr std::size_t kMaxEvidence = 16;
constexpr std::int64_t kMaxShared = 1'000'000;
constexpr std::int64_t kMaxMillis = std::int64_t{1000} * 60 * 60 * 24 * 30;
// Low bits of a sequence number that hold a hash of the source, so that the
// versions of two sources with equal counters differ.
constexpr int kSourceBits = 16;

// A member clamped to [low, high]; `low` if absent. Throws if it is not a
// number.
std::int64_t NumberInRange(const Json& json,
                           const char* name,
                           std::int64_t low,
                           std::int64_t high) {
  const double n = json.value(name, static_cast<double>(low));
  return static_cast<std::int64_t>(
      std::clamp(n, static_cast<double>(low), static_cast<double>(high)));
}

base::Duration Millis(const Json& json, const char* name) {
  return std::chrono::milliseconds(NumberInRange(json, name, 0, kMaxMillis));
}

Json ToJson(const Evidence& it, base::Time now) {
  return {{"event", it.crash_id},
          {"target", it.target.str()},
          {"age_ms", base::ToMillis(now - it.at)},
          {"shared", it.shared},
          {"confirmed", it.confirmed},
          {"alone", it.alone},
          {"explained", it.explained},
          {"answering", it.answering}};
}

Evidence ToEvidence(const Json& json, base::Time as_of) {
  Evidence it;
  it.crash_id = json.value("event", "");
  it.target = base::TargetId(json.value("target", ""));
  it.at = as_of - Millis(json, "age_ms");
  it.shared = static_cast<int>(NumberInRange(json, "shared", 1, kMaxShared));
  it.confirmed = json.value("confirmed", false);
  it.alone = json.value("alone", false);
  it.explained = json.value("explained", false);
  it.answering = json.value("answering", false);
  return it;
}

QuarantineMark ToMark(const Json& json, const process::ViewItem& item) {
  QuarantineMark mark;
  mark.epoch = item.version.epoch;
  mark.counter = item.version.sequence >> kSourceBits;
  mark.owner = base::InstanceId(json.value("owner", ""));
  mark.owned_until = item.as_of + Millis(json, "owned_ms");
  mark.rerun_target = base::TargetId(json.value("rerun_at", ""));
  mark.quarantined = json.value("quarantined", false);
  mark.on_probation = json.value("probation", false);
  mark.expires = item.as_of + Millis(json, "expires_ms");
  const Json evidence = json.value("evidence", Json::array());
  if (evidence.is_array() && evidence.size() <= kMaxEvidence) {
    for (const Json& it : evidence) {
      mark.evidence.push_back(ToEvidence(it, item.as_of));
    }
  }
  return mark;
}

// Whether the mark's owner is rerunning the content.
bool IsRunning(const QuarantineMark& mark, base::Time now) {
  return !mark.rerun_target.empty() && mark.owned_until > now;
}

// Whether the remote claim on the rerun replaces the local one. Between
// different owners, one that is rerunning the content precedes one that is not;
// otherwise the higher counter wins.
bool RemoteClaimWins(const QuarantineMark& remote,
                     const QuarantineMark& local,
                     base::Time now) {
  const bool newer = remote.counter > local.counter;
  const bool running = IsRunning(remote, now);
  if (remote.owner != local.owner && running != IsRunning(local, now)) {
    return running;
  }
  return newer;
}

}  // namespace

bool IsSameCrash(const Evidence& a, const Evidence& b) noexcept {
  return a.crash_id == b.crash_id ||
         (a.target == b.target &&
          std::chrono::abs(a.at - b.at) < kSameCrashWindow);
}

EvidenceCount CountEvidence(const QuarantineMark& mark, bool confirmed_only) {
  EvidenceCount count;
  // Several instances may have recorded the same crash.
  std::vector<Evidence> crashes;
  for (const Evidence& it : mark.evidence) {
    if (confirmed_only && !it.confirmed) {
      continue;
    }
    const auto known = std::ranges::find_if(
        crashes,
        [&it](const Evidence& other) { return IsSameCrash(other, it); });
    if (known == crashes.end()) {
      crashes.push_back(it);
    } else {
      known->alone = known->alone || it.alone;
      known->answering = known->answering && it.answering;
    }
  }
  count.all = crashes.size();
  count.unexplained = static_cast<std::size_t>(
      std::ranges::count(crashes, false, &Evidence::explained));
  count.alone = static_cast<std::size_t>(
      std::ranges::count(crashes, true, &Evidence::alone));
  count.at_start = static_cast<std::size_t>(
      std::ranges::count(crashes, false, &Evidence::answering));
  count.alone_at_start = static_cast<std::size_t>(std::ranges::count_if(
      crashes, [](const Evidence& it) { return it.alone && !it.answering; }));
  return count;
}

process::ViewItem EncodeMark(ContentHash content,
                             const QuarantineMark& mark,
                             const base::InstanceId& self,
                             base::Time now) {
  const auto millis_until = [now](base::Time until) {
    return std::max<std::int64_t>(0, base::ToMillis(until - now));
  };
  Json json = {{"owner", mark.owner.str()},
               {"owned_ms", millis_until(mark.owned_until)},
               {"rerun_at", mark.rerun_target.str()},
               {"quarantined", mark.quarantined},
               {"probation", mark.on_probation},
               {"expires_ms", millis_until(mark.expires)},
               {"evidence", Json::array()}};
  for (const Evidence& it : mark.evidence) {
    json["evidence"].push_back(ToJson(it, now));
  }
  const std::uint64_t source =
      base::Hash64(self.str()) & ((std::uint64_t{1} << kSourceBits) - 1);
  process::ViewItem item;
  item.kind = process::ViewKind::kQuarantine;
  item.key = ToHex(content);
  item.version = {mark.epoch, (mark.counter << kSourceBits) | source};
  item.source = self;
  item.as_of = now;
  // Ids from other instances may hold invalid UTF-8: replace it.
  item.body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  return item;
}

std::optional<DecodedMark> DecodeMark(const process::ViewItem& item) {
  if (item.kind != process::ViewKind::kQuarantine ||
      item.body.size() > kMaxBody) {
    return std::nullopt;
  }
  const auto content = ParseContentHash(item.key);
  const Json json = base::ParseBoundedJson(item.body).value_or(Json());
  if (!content || !json.is_object()) {
    return std::nullopt;
  }
  try {
    return DecodedMark{*content, ToMark(json, item)};
  } catch (const Json::exception&) {
    // A member has the wrong type.
    return std::nullopt;
  }
}

bool MergeMarks(const QuarantineMark& remote,
                base::Time now,
                QuarantineMark& local,
                bool* must_publish) {
  *must_publish = false;
  if (remote.epoch != local.epoch) {
    if (remote.epoch > local.epoch) {
      local = remote;
      return true;
    }
    return false;
  }
  bool changed = false;
  std::size_t in_both = 0;
  for (const Evidence& it : remote.evidence) {
    const auto known =
        std::ranges::find(local.evidence, it.crash_id, &Evidence::crash_id);
    if (known == local.evidence.end()) {
      local.evidence.push_back(it);
      changed = true;
      continue;
    }
    ++in_both;
    changed = changed || (it.confirmed && !known->confirmed);
    *must_publish = *must_publish || (known->confirmed && !it.confirmed);
    known->confirmed = known->confirmed || it.confirmed;
    known->explained = known->explained || it.explained;
    known->shared = std::max(known->shared, it.shared);
  }
  const std::size_t added = remote.evidence.size() - in_both;
  *must_publish = *must_publish || local.evidence.size() - added > in_both;
  if (RemoteClaimWins(remote, local, now)) {
    local.owner = remote.owner;
    local.owned_until = remote.owned_until;
    local.rerun_target = remote.rerun_target;
    changed = true;
  } else if (remote.owner != local.owner && remote.counter >= local.counter &&
             IsRunning(local, now)) {
    *must_publish = true;
  }
  local.counter = std::max(local.counter, remote.counter);
  changed = changed || (remote.quarantined && !local.quarantined);
  local.quarantined = local.quarantined || remote.quarantined;
  local.on_probation = local.on_probation || remote.on_probation;
  local.expires = std::max(local.expires, remote.expires);
  return changed;
}

}  // namespace lynxglade::request
