#include "request/quarantine_mark.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
#include "base/hash.h"

namespace lynxglade::request {

namespace {

using Json = nlohmann::json;

// Limits on marks accepted from other instances.
constexpr std::size_t kMaxBody = 16384;
constexpr std::int64_t kMaxShared = 1'000'000;
constexpr std::int64_t kMaxAnswers = 1'000;
constexpr std::int64_t kMaxTag = std::numeric_limits<std::uint32_t>::max();
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
          {"answering", it.answering},
          {"ran_ms", base::ToMillis(it.ran)},
          {"answers", it.answers},
          {"content", it.content},
          {"organisation", it.organisation}};
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
  it.ran = Millis(json, "ran_ms");
  it.answers = static_cast<int>(NumberInRange(json, "answers", 0, kMaxAnswers));
  it.content =
      static_cast<std::uint32_t>(NumberInRange(json, "content", 0, kMaxTag));
  it.organisation = static_cast<std::uint32_t>(
      NumberInRange(json, "organisation", 0, kMaxTag));
  return it;
}

QuarantineMark ToMark(const Json& json, const process::ViewItem& item) {
  QuarantineMark mark;
  mark.epoch = item.version.epoch;
  mark.counter = item.version.sequence >> kSourceBits;
  mark.is_part = json.value("part", false);
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

// Crashes of several targets within this time have one cause.
constexpr base::Duration kAtOnce = std::chrono::milliseconds(100);

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
  return (!a.crash_id.empty() && a.crash_id == b.crash_id) ||
         (a.target == b.target &&
          std::chrono::abs(a.at - b.at) < kSameCrashWindow);
}

bool HasSameCrash(const QuarantineMark& mark, const Evidence& crash) {
  return std::ranges::any_of(mark.evidence, [&crash](const Evidence& it) {
    return IsSameCrash(it, crash);
  });
}

std::vector<Evidence> DistinctCrashes(const QuarantineMark& mark,
                                      bool confirmed_only) {
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
      known->answers = std::max(known->answers, it.answers);
      known->ran = std::min(known->ran, it.ran);
    }
  }
  return crashes;
}

double ScoreCrashes(std::vector<Evidence> crashes, int answers_per_crash) {
  std::ranges::sort(crashes, {}, &Evidence::at);
  double score = 0;
  std::optional<base::Time> last;
  for (const Evidence& it : crashes) {
    if (!last || it.started() >= *last || it.at - *last >= kAtOnce) {
      last = it.at;
      score += 1;
    }
    score = std::max(0.0, score - 1.0 * it.answers / answers_per_crash);
  }
  return score;
}

Evidence* FindSame(QuarantineMark& mark, const Evidence& crash) {
  const auto known =
      std::ranges::find_if(mark.evidence, [&](const Evidence& it) {
        return mark.is_part ? IsSameCrash(it, crash)
                            : it.crash_id == crash.crash_id;
      });
  return known == mark.evidence.end() ? nullptr : &*known;
}

void AddEvidence(const Evidence& added, QuarantineMark& mark) {
  if (mark.evidence.size() >= kMaxEvidence) {
    mark.evidence.erase(
        std::ranges::min_element(mark.evidence, {}, &Evidence::at));
  }
  mark.evidence.push_back(added);
}

void FoldPartEvidence(const Evidence& added, Evidence& known) {
  known.confirmed = known.confirmed || added.confirmed;
  known.answers = std::max(known.answers, added.answers);
  known.ran = std::min(known.ran, added.ran);
  if (known.organisation != added.organisation) {
    known.organisation = 0;
  }
  if (known.content != added.content) {
    known.content = 0;
  }
}

EvidenceCount CountEvidence(const QuarantineMark& mark, bool confirmed_only) {
  EvidenceCount count;
  const std::vector<Evidence> crashes = DistinctCrashes(mark, confirmed_only);
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
  Json json = {{"part", mark.is_part},
               {"owner", mark.owner.str()},
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
    Evidence* known = FindSame(local, it);
    if (!known) {
      AddEvidence(it, local);
      local.evidence.back().learnt = now;
      changed = true;
      continue;
    }
    ++in_both;
    changed = changed || (it.confirmed && !known->confirmed);
    *must_publish = *must_publish || (known->confirmed && !it.confirmed);
    known->confirmed = known->confirmed || it.confirmed;
    known->explained = known->explained || it.explained;
    known->shared = std::max(known->shared, it.shared);
    changed = changed || it.answers > known->answers;
    if (local.is_part) {
      FoldPartEvidence(it, *known);
    }
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
  local.is_part = local.is_part || remote.is_part;
  local.quarantined = local.quarantined || remote.quarantined;
  local.on_probation = local.on_probation || remote.on_probation;
  local.expires = std::max(local.expires, remote.expires);
  return changed;
}

}  // namespace lynxglade::request
