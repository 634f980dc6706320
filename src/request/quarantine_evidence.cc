// What crashes say about the contents that were in flight.
#include <algorithm>
#include <string>
#include <vector>

#include "request/quarantine.h"

namespace lynxglade::request {

namespace {

// Limit on the crashes recorded per target.
constexpr std::size_t kMaxCrashes = 32;

}  // namespace

Quarantine::Crash& Quarantine::FindOrAddCrash(const base::TargetId& target,
                                              base::Time started,
                                              base::Time now) {
  auto& crashes = crashes_[target];
  if (!crashes.empty()) {
    Crash& last = crashes.back();
    const bool at_once = now - last.at < kSameCrashWindow;
    // An attempt that was in flight during the last crash may notice the loss
    // late.
    const bool noticed_late =
        started < last.at && now - last.at < options_.confirm_timeout;
    if (at_once || noticed_late) {
      return last;
    }
  }
  if (crashes.size() >= kMaxCrashes) {
    crashes.erase(crashes.begin());
  }
  const std::string crash_id =
      self_.str() + "/" + std::to_string(next_event_++);
  crashes.push_back({.crash_id = crash_id, .at = now});
  return crashes.back();
}

void Quarantine::Confirm(const base::TargetId& target,
                         Crash& crash,
                         base::Time now,
                         Outbox* outbox) {
  if (crash.confirmed) {
    return;
  }
  crash.confirmed = true;
  NoteSeenCrash(target, crash.at, now);
  const auto confirm = [&](ContentHash it) {
    if (Evidence* evidence = FindEvidence(it, crash)) {
      evidence->confirmed = true;
      UpdateQuarantine(it, now, false, outbox);
      PublishChange(it, now, outbox);
    }
  };
  std::ranges::for_each(crash.contents, confirm);
  std::ranges::for_each(crash.parts, confirm);
}

void Quarantine::AddContentEvidence(const Run& run,
                                    Crash& crash,
                                    bool answering,
                                    base::Time now,
                                    Outbox* outbox) {
  const ContentHash content = run.identity.content;
  EvictIfFull();
  crash.contents.insert(content);
  const auto shared = static_cast<int>(crash.contents.size());
  for (const ContentHash it : crash.contents) {
    if (Evidence* evidence = FindEvidence(it, crash)) {
      evidence->shared = shared;
    }
  }
  QuarantineMark& mark = marks_[content];
  // Count a crash once even if several attempts of the content were lost.
  if (!FindEvidence(content, crash)) {
    AddEvidence({.crash_id = crash.crash_id,
                 .target = run.target,
                 .at = crash.at,
                 .shared = shared,
                 .confirmed = crash.confirmed,
                 .alone = run.alone,
                 .answering = answering},
                mark);
  }
  if (options_.observer_reruns_first) {
    mark.owner = self_;
    mark.owned_until = now + options_.rerun_lease;
  }
  mark.expires = std::max(mark.expires, now + options_.suspect_ttl);
  Note(QuarantineChange::kSuspected, content, false, now, outbox);
  UpdateQuarantine(content, now, false, outbox);
  PublishChange(content, now, outbox);
  ClaimRunningAttempts(content, now, outbox);
}

Evidence* Quarantine::FindEvidence(ContentHash content, const Crash& crash) {
  const auto mark = marks_.find(content);
  if (mark == marks_.end()) {
    return nullptr;
  }
  const auto it = std::ranges::find(mark->second.evidence, crash.crash_id,
                                    &Evidence::crash_id);
  return it == mark->second.evidence.end() ? nullptr : &*it;
}

bool Quarantine::IsConclusive(const QuarantineMark& mark,
                              bool confirmed_only) const {
  const EvidenceCount count = CountEvidence(mark, confirmed_only);
  const std::size_t needed = mark.on_probation ? 1 : 2;
  if (count.all < needed || count.unexplained == 0) {
    return false;
  }
  // If only lone reruns are allowed, a second crash implies one.
  return options_.lone_rerun_after <= 1 || count.alone_at_start >= 1 ||
         count.alone >= needed;
}

void Quarantine::UpdateQuarantine(ContentHash content,
                                  base::Time now,
                                  bool merged,
                                  Outbox* outbox) {
  QuarantineMark& mark = marks_.at(content);
  const bool is_conclusive = mark.is_part ? IsPartConclusive(content, true, now)
                                          : IsConclusive(mark, true);
  if (!mark.quarantined && is_conclusive) {
    mark.quarantined = true;
    mark.expires = now + (mark.on_probation ? options_.quarantine_ttl
                                            : options_.first_quarantine_ttl);
    Note(QuarantineChange::kQuarantined, content, merged, now, outbox);
    if (mark.is_part) {
      PublishChange(content, now, outbox);
    }
  }
}

void Quarantine::ReleaseExplained(base::Time now, Outbox* outbox) {
  for (auto& [content, mark] : marks_) {
    if (!mark.quarantined) {
      continue;
    }
    const ContentHash self = content;
    const bool is_released =
        mark.is_part
            ? IsPartReleased(self, now)
            : std::ranges::all_of(mark.evidence, [&](const Evidence& it) {
                return it.explained || IsExplained(self, it);
              });
    if (!is_released) {
      continue;
    }
    for (Evidence& it : mark.evidence) {
      it.explained = true;
    }
    mark.quarantined = false;
    ++mark.epoch;
    mark.expires = now + options_.suspect_ttl;
    Note(QuarantineChange::kReleased, content, false, now, outbox);
    PublishChange(content, now, outbox);
  }
}

bool Quarantine::IsExplained(ContentHash content,
                             const Evidence& evidence) const {
  const QuarantineMark& own = marks_.at(content);
  // Other quarantined content explains the crash only if it crashed a stable
  // target while rerun without other suspects, and this content was not rerun
  // that way in the same crash.
  const auto is_reliable = [&](ContentHash other, const Evidence& it) {
    const bool own_is_alone =
        std::ranges::any_of(own.evidence, [&it](const Evidence& own_evidence) {
          return own_evidence.alone && IsSameCrash(own_evidence, it);
        });
    return it.alone && !own_is_alone && !IsUnstable(it.target, other);
  };
  const bool other_is_cause =
      std::ranges::any_of(marks_, [&](const auto& mark) {
        const auto& [other, other_mark] = mark;
        return other != content && other_mark.quarantined &&
               HasSameCrash(other_mark, evidence) &&
               std::ranges::any_of(other_mark.evidence,
                                   [&](const Evidence& it) {
                                     return is_reliable(mark.first, it);
                                   });
      });
  return other_is_cause || IsUnstable(evidence.target, content);
}

bool Quarantine::IsUnstable(const base::TargetId& target,
                            ContentHash content) const {
  const auto crashes = crashes_.find(target);
  if (crashes == crashes_.end() || options_.unstable_crash_count == 0) {
    return false;
  }
  const auto n =
      std::ranges::count_if(crashes->second, [&](const Crash& crash) {
        return crash.confirmed && !IsAttributed(target, crash, content);
      });
  return static_cast<std::size_t>(n) >= options_.unstable_crash_count;
}

// Also by the evidence of other instances: content that ran through them is not
// in this instance's record of the crash.
bool Quarantine::IsAttributed(const base::TargetId& target,
                              const Crash& crash,
                              ContentHash content) const {
  const Evidence own{
      .crash_id = crash.crash_id, .target = target, .at = crash.at};
  return crash.contents.contains(content) ||
         std::ranges::any_of(marks_, [&](const auto& it) {
           const auto& [other, mark] = it;
           return (other == content || mark.quarantined) &&
                  (crash.contents.contains(other) || HasSameCrash(mark, own));
         });
}

}  // namespace lynxglade::request
