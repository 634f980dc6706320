#include "request/quarantine_mark.h"

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
#include "base/hash.h"

namespace lynxglade::request {

namespace {

using Json = nlohmann::json;

// Limits of what is taken from another instance.
constexpr std::size_t kMaxBody = 16384;
constexpr std::size_t kMaxEvidence = 16;
constexpr std::int64_t kMaxShared = 1'000'000;
constexpr std::int64_t kMaxMillis = std::int64_t{1000} * 60 * 60 * 24 * 30;
// Low bits of a sequence tell sources with equal counters apart.
constexpr int kSourceBits = 16;

// A member brought into its range; throws when it is no number.
std::int64_t Clamped(const Json& json,
                     const char* name,
                     std::int64_t low,
                     std::int64_t high) {
  const double n = json.value(name, static_cast<double>(low));
  return static_cast<std::int64_t>(
      std::clamp(n, static_cast<double>(low), static_cast<double>(high)));
}

base::Duration Millis(const Json& json, const char* name) {
  return std::chrono::milliseconds(Clamped(json, name, 0, kMaxMillis));
}

Json ToJson(const Evidence& it, base::Time now) {
  return {{"event", it.crash_id},
          {"target", it.target.str()},
          {"age_ms", base::ToMillis(now - it.at)},
          {"shared", it.shared},
          {"confirmed", it.confirmed},
          {"alone", it.alone},
          {"explained", it.explained}};
}

Evidence ToEvidence(const Json& json, base::Time as_of) {
  Evidence it;
  it.crash_id = json.value("event", "");
  it.target = base::TargetId(json.value("target", ""));
  it.at = as_of - Millis(json, "age_ms");
  it.shared = static_cast<int>(Clamped(json, "shared", 1, kMaxShared));
  it.confirmed = json.value("confirmed", false);
  it.alone = json.value("alone", false);
  it.explained = json.value("explained", false);
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
  mark.expires = item.as_of + Millis(json, "expires_ms");
  const Json evidence = json.value("evidence", Json::array());
  if (evidence.is_array() && evidence.size() <= kMaxEvidence) {
    for (const Json& it : evidence) {
      mark.evidence.push_back(ToEvidence(it, item.as_of));
    }
  }
  return mark;
}

// Whether the mark's owner is running the content.
bool IsRunning(const QuarantineMark& mark, base::Time now) {
  return !mark.rerun_target.empty() && mark.owned_until > now;
}

// Whether their claim on the re-run replaces mine: an owner's own newer word
// does; else a claim that is being used goes before one that is not.
bool TakesClaim(const QuarantineMark& theirs,
                const QuarantineMark& mine,
                base::Time now) {
  const bool newer = theirs.counter > mine.counter;
  const bool running = IsRunning(theirs, now);
  if (theirs.owner != mine.owner && running != IsRunning(mine, now)) {
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
  std::vector<const Evidence*> seen;
  for (const Evidence& it : mark.evidence) {
    if (confirmed_only && !it.confirmed) {
      continue;
    }
    // Two instances may each have lost an attempt in the same crash.
    const bool is_known = std::ranges::any_of(
        seen, [&it](const auto* other) { return IsSameCrash(*other, it); });
    if (is_known) {
      continue;
    }
    seen.push_back(&it);
    ++count.all;
    count.unexplained += it.explained ? 0 : 1;
  }
  return count;
}

process::ViewItem EncodeMark(ContentHash content,
                             const QuarantineMark& mark,
                             const base::InstanceId& self,
                             base::Time now) {
  const auto left = [now](base::Time until) {
    return std::max<std::int64_t>(0, base::ToMillis(until - now));
  };
  Json json = {{"owner", mark.owner.str()},
               {"owned_ms", left(mark.owned_until)},
               {"rerun_at", mark.rerun_target.str()},
               {"quarantined", mark.quarantined},
               {"expires_ms", left(mark.expires)},
               {"evidence", Json::array()}};
  for (const Evidence& it : mark.evidence) {
    json["evidence"].push_back(ToJson(it, now));
  }
  const std::uint64_t source =
      base::Hash64(self.str()) & ((std::uint64_t{1} << kSourceBits) - 1);
  process::ViewItem item;
  item.kind = process::ViewKind::kQuarantine;
  item.key = base::ToHex(content.value());
  item.version = {mark.epoch, (mark.counter << kSourceBits) | source};
  item.source = self;
  item.as_of = now;
  // Ids from outside may hold any bytes.
  item.body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  return item;
}

std::optional<DecodedMark> DecodeMark(const process::ViewItem& item) {
  if (item.kind != process::ViewKind::kQuarantine ||
      item.body.size() > kMaxBody) {
    return std::nullopt;
  }
  std::uint64_t content = 0;
  const char* end = item.key.data() + item.key.size();
  const auto [rest, ec] = std::from_chars(item.key.data(), end, content, 16);
  const Json json = base::ParseBoundedJson(item.body).value_or(Json());
  if (ec != std::errc() || rest != end || !json.is_object()) {
    return std::nullopt;
  }
  try {
    return DecodedMark{ContentHash(content), ToMark(json, item)};
  } catch (const Json::exception&) {
    // A field of the wrong type.
    return std::nullopt;
  }
}

bool MergeMarks(const QuarantineMark& theirs,
                base::Time now,
                QuarantineMark& mine,
                bool* spread) {
  *spread = false;
  if (theirs.epoch != mine.epoch) {
    if (theirs.epoch > mine.epoch) {
      mine = theirs;
      return true;
    }
    return false;
  }
  bool changed = false;
  std::size_t in_both = 0;
  for (const Evidence& it : theirs.evidence) {
    const auto known =
        std::ranges::find(mine.evidence, it.crash_id, &Evidence::crash_id);
    if (known == mine.evidence.end()) {
      mine.evidence.push_back(it);
      changed = true;
      continue;
    }
    ++in_both;
    changed = changed || (it.confirmed && !known->confirmed);
    *spread = *spread || (known->confirmed && !it.confirmed);
    known->confirmed = known->confirmed || it.confirmed;
    known->explained = known->explained || it.explained;
    known->shared = std::max(known->shared, it.shared);
  }
  const std::size_t added = theirs.evidence.size() - in_both;
  *spread = *spread || mine.evidence.size() - added > in_both;
  if (TakesClaim(theirs, mine, now)) {
    mine.owner = theirs.owner;
    mine.owned_until = theirs.owned_until;
    mine.rerun_target = theirs.rerun_target;
    changed = true;
  } else if (theirs.owner != mine.owner && theirs.counter >= mine.counter &&
             IsRunning(mine, now)) {
    *spread = true;
  }
  mine.counter = std::max(mine.counter, theirs.counter);
  changed = changed || (theirs.quarantined && !mine.quarantined);
  mine.quarantined = mine.quarantined || theirs.quarantined;
  mine.expires = std::max(mine.expires, theirs.expires);
  return changed;
}

}  // namespace lynxglade::request
