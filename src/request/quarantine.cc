#include "request/quarantine.h"

#include <algorithm>
#include <utility>

namespace lynxglade::request {

namespace {

constexpr base::Duration kSweepInterval = std::chrono::milliseconds(250);
// Limit on the crashes recorded per target.
constexpr std::size_t kMaxCrashes = 32;

bool HasSameCrash(const QuarantineMark& mark, const Evidence& evidence) {
  return std::ranges::any_of(mark.evidence, [&evidence](const Evidence& it) {
    return IsSameCrash(it, evidence);
  });
}

}  // namespace

Quarantine::Quarantine(QuarantineOptions options,
                       base::InstanceId self,
                       Publish publish)
    : options_(options), self_(std::move(self)), publish_(std::move(publish)) {}

bool Quarantine::IsQuarantined(ContentHash content, base::Time now) {
  Outbox outbox;
  bool is_quarantined = false;
  {
    const std::scoped_lock lock(mutex_);
    Sweep(now, &outbox);
    is_quarantined =
        RefreshMark(content, now) && marks_.at(content).quarantined;
  }
  PublishAll(outbox);
  return is_quarantined;
}

bool Quarantine::TryStart(ContentHash content,
                          const base::TargetId& target,
                          const base::AttemptId& attempt,
                          base::Time now,
                          QuarantineDenial* denial) {
  Outbox outbox;
  std::optional<QuarantineDenial> denied;
  {
    const std::scoped_lock lock(mutex_);
    Sweep(now, &outbox);
    const bool is_suspect = RefreshMark(content, now);
    if (is_suspect) {
      denied = CheckSuspect(content, target, now);
    }
    if (!denied) {
      runs_.insert_or_assign(attempt,
                             Run{content, target, now, is_suspect, is_suspect});
      if (is_suspect) {
        ClaimRerun(content, target, now, &outbox);
      }
    }
  }
  PublishAll(outbox);
  if (denied) {
    *denial = *denied;
  }
  return !denied;
}

void Quarantine::OnDelivered(const base::AttemptId& attempt, base::Time now) {
  Outbox outbox;
  {
    const std::scoped_lock lock(mutex_);
    const auto run = EndRun(attempt, now, &outbox);
    // A complete answer does not clear quarantined content: two crashes are
    // stronger evidence.
    if (run && RefreshMark(run->content, now) &&
        !marks_.at(run->content).quarantined) {
      ClearMark(run->content, now, &outbox);
    }
  }
  PublishAll(outbox);
}

void Quarantine::OnEnded(const base::AttemptId& attempt, base::Time now) {
  Outbox outbox;
  {
    const std::scoped_lock lock(mutex_);
    EndRun(attempt, now, &outbox);
  }
  PublishAll(outbox);
}

void Quarantine::OnLost(const base::AttemptId& attempt, base::Time now) {
  Outbox outbox;
  {
    const std::scoped_lock lock(mutex_);
    const auto run = EndRun(attempt, now, &outbox);
    if (run) {
      EvictIfFull();
      Crash& crash = FindOrAddCrash(run->target, run->started, now);
      crash.contents.insert(run->content);
      const auto shared = static_cast<int>(crash.contents.size());
      for (const ContentHash it : crash.contents) {
        for (Evidence& evidence : marks_[it].evidence) {
          if (evidence.crash_id == crash.crash_id) {
            evidence.shared = shared;
          }
        }
      }
      QuarantineMark& mark = marks_[run->content];
      // Count a crash once even if several attempts of the content were lost.
      if (std::ranges::find(mark.evidence, crash.crash_id,
                            &Evidence::crash_id) == mark.evidence.end()) {
        mark.evidence.push_back({crash.crash_id, run->target, crash.at, shared,
                                 crash.confirmed, run->rerun, false});
      }
      mark.owner = self_;
      mark.owned_until = now + options_.rerun_lease;
      mark.expires = std::max(mark.expires, now + options_.suspect_ttl);
      UpdateQuarantine(run->content, now);
      PublishChange(run->content, now, &outbox);
      ClaimRunningAttempts(run->content, now, &outbox);
      ReleaseExplained(now, &outbox);
    }
  }
  PublishAll(outbox);
}

void Quarantine::OnTargetCrashed(const base::TargetId& target, base::Time now) {
  Outbox outbox;
  {
    const std::scoped_lock lock(mutex_);
    auto& crashes = crashes_[target];
    bool found = false;
    for (Crash& it : crashes) {
      if (now - it.at < options_.confirm_timeout) {
        found = true;
        Confirm(target, it, now, &outbox);
      }
    }
    if (!found) {
      Confirm(target, FindOrAddCrash(target, now, now), now, &outbox);
    }
    ReleaseExplained(now, &outbox);
  }
  PublishAll(outbox);
}

void Quarantine::OnTargetAlive(const base::TargetId& target,
                               base::Time seen_at) {
  const std::scoped_lock lock(mutex_);
  const auto crashes = crashes_.find(target);
  if (crashes == crashes_.end()) {
    return;
  }
  const auto is_refuted = [seen_at](const Crash& crash) {
    return !crash.confirmed && seen_at - crash.at >= kSameCrashWindow;
  };
  for (const Crash& crash : crashes->second) {
    if (!is_refuted(crash)) {
      continue;
    }
    for (const ContentHash it : crash.contents) {
      std::erase_if(marks_[it].evidence, [&crash](const Evidence& evidence) {
        return evidence.crash_id == crash.crash_id;
      });
    }
  }
  std::erase_if(crashes->second, is_refuted);
}

void Quarantine::Tick(base::Time now) {
  Outbox outbox;
  {
    const std::scoped_lock lock(mutex_);
    Sweep(now, &outbox);
  }
  PublishAll(outbox);
}

bool Quarantine::Merge(const process::ViewItem& item, base::Time now) {
  const auto decoded = DecodeMark(item);
  if (!decoded) {
    return false;
  }
  Outbox outbox;
  bool changed = false;
  {
    const std::scoped_lock lock(mutex_);
    const ContentHash content = decoded->content;
    const bool is_new = !marks_.contains(content);
    if (is_new) {
      EvictIfFull();
    }
    QuarantineMark& mark = marks_[content];
    bool must_publish = false;
    if (is_new) {
      mark = decoded->mark;
      changed = true;
    } else {
      changed = MergeMarks(decoded->mark, now, mark, &must_publish);
    }
    const bool was_quarantined = mark.quarantined;
    UpdateQuarantine(content, now);
    if (must_publish || mark.quarantined != was_quarantined) {
      PublishChange(content, now, &outbox);
    }
    if (changed) {
      ClaimRunningAttempts(content, now, &outbox);
      ReleaseExplained(now, &outbox);
    }
  }
  PublishAll(outbox);
  return changed;
}

std::vector<process::ViewItem> Quarantine::Export(base::Time now) {
  const std::scoped_lock lock(mutex_);
  std::vector<process::ViewItem> items;
  for (const auto& [content, mark] : marks_) {
    if (mark.expires > now) {
      items.push_back(EncodeMark(content, mark, self_, now));
    }
  }
  return items;
}

std::vector<QuarantineEntry> Quarantine::List(base::Time now) {
  Outbox outbox;
  std::vector<QuarantineEntry> entries;
  {
    const std::scoped_lock lock(mutex_);
    next_sweep_ = now;
    Sweep(now, &outbox);
    for (const auto& [content, mark] : marks_) {
      if (mark.evidence.empty()) {
        continue;
      }
      QuarantineEntry entry;
      entry.content = content;
      entry.quarantined = mark.quarantined;
      entry.expires_in = mark.expires - now;
      for (const Evidence& it : mark.evidence) {
        entry.crashed.push_back(it.target);
        entry.shared_with.push_back(it.shared);
      }
      entries.push_back(std::move(entry));
    }
  }
  PublishAll(outbox);
  return entries;
}

bool Quarantine::Lift(ContentHash content, base::Time now) {
  Outbox outbox;
  {
    const std::scoped_lock lock(mutex_);
    if (!RefreshMark(content, now)) {
      return false;
    }
    ClearMark(content, now, &outbox);
  }
  PublishAll(outbox);
  return true;
}

std::optional<QuarantineDenial> Quarantine::CheckSuspect(
    ContentHash content,
    const base::TargetId& target,
    base::Time now) const {
  const QuarantineMark& mark = marks_.at(content);
  if (mark.quarantined) {
    return QuarantineDenial::kQuarantined;
  }
  if (CountEvidence(mark, false).warrants_quarantine()) {
    return QuarantineDenial::kEvidencePending;
  }
  if (std::ranges::any_of(runs_, [content](const auto& it) {
        return it.second.content == content;
      })) {
    return QuarantineDenial::kSuspectRunning;
  }
  if (mark.owner != self_ && !mark.owner.empty() && mark.owned_until > now) {
    return QuarantineDenial::kSuspectElsewhere;
  }
  if (CrashedRecently(target, now)) {
    return QuarantineDenial::kTargetCrashedLately;
  }
  if (HasSuspect(target, content, now)) {
    return QuarantineDenial::kTargetHasSuspect;
  }
  return std::nullopt;
}

bool Quarantine::HasSuspect(const base::TargetId& target,
                            ContentHash content,
                            base::Time now) const {
  const bool here = std::ranges::any_of(runs_, [&](const auto& it) {
    if (it.second.target != target) {
      return false;
    }
    // The content may have become a suspect after the run started.
    const auto mark = marks_.find(it.second.content);
    return it.second.suspect ||
           (mark != marks_.end() && !mark->second.evidence.empty());
  });
  return here || std::ranges::any_of(marks_, [&](const auto& it) {
           const QuarantineMark& mark = it.second;
           return it.first != content && mark.rerun_target == target &&
                  mark.owner != self_ && mark.owned_until > now;
         });
}

bool Quarantine::CrashedRecently(const base::TargetId& target,
                                 base::Time now) const {
  const auto is_recent = [&](base::Time at) {
    return now - at < options_.crash_avoidance_time;
  };
  const auto crashes = crashes_.find(target);
  if (crashes != crashes_.end() &&
      std::ranges::any_of(crashes->second, is_recent, &Crash::at)) {
    return true;
  }
  return std::ranges::any_of(marks_, [&](const auto& mark) {
    return std::ranges::any_of(mark.second.evidence, [&](const Evidence& it) {
      return it.target == target && is_recent(it.at);
    });
  });
}

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
  crashes.push_back({crash_id, now, {}, false});
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
  for (const ContentHash content : crash.contents) {
    QuarantineMark& mark = marks_[content];
    const auto it =
        std::ranges::find(mark.evidence, crash.crash_id, &Evidence::crash_id);
    if (it != mark.evidence.end()) {
      it->confirmed = true;
      UpdateQuarantine(content, now);
      PublishChange(content, now, outbox);
    }
  }
}

std::optional<Quarantine::Run> Quarantine::EndRun(
    const base::AttemptId& attempt,
    base::Time now,
    Outbox* outbox) {
  const auto it = runs_.find(attempt);
  if (it == runs_.end()) {
    return std::nullopt;
  }
  const Run run = it->second;
  runs_.erase(it);
  const auto mark = marks_.find(run.content);
  if (run.suspect && mark != marks_.end() && mark->second.owner == self_) {
    // Release the lease, so that another instance may rerun the content.
    mark->second.rerun_target = base::TargetId();
    mark->second.owned_until = now;
    PublishChange(run.content, now, outbox);
  }
  return run;
}

void Quarantine::ClaimRerun(ContentHash content,
                            const base::TargetId& target,
                            base::Time now,
                            Outbox* outbox) {
  QuarantineMark& mark = marks_.at(content);
  mark.owner = self_;
  mark.owned_until = now + options_.rerun_lease;
  mark.rerun_target = target;
  PublishChange(content, now, outbox);
}

void Quarantine::ClaimRunningAttempts(ContentHash content,
                                      base::Time now,
                                      Outbox* outbox) {
  if (marks_.at(content).evidence.empty()) {
    return;
  }
  // Claim once per run; otherwise two instances would override each other's
  // claims indefinitely.
  for (auto& [attempt, run] : runs_) {
    if (run.content == content && !std::exchange(run.suspect, true)) {
      ClaimRerun(content, run.target, now, outbox);
    }
  }
}

bool Quarantine::RefreshMark(ContentHash content, base::Time now) {
  const auto it = marks_.find(content);
  if (it == marks_.end()) {
    return false;
  }
  if (it->second.expires <= now) {
    marks_.erase(it);
    return false;
  }
  std::erase_if(it->second.evidence, [&](const Evidence& evidence) {
    return !evidence.confirmed && now - evidence.at >= options_.confirm_timeout;
  });
  return !it->second.evidence.empty();
}

void Quarantine::Sweep(base::Time now, Outbox* outbox) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kSweepInterval;
  std::erase_if(marks_,
                [now](const auto& it) { return it.second.expires <= now; });
  for (auto& [target, crashes] : crashes_) {
    std::erase_if(crashes, [&](const Crash& it) {
      const base::Duration age = now - it.at;
      return age >=
             (it.confirmed ? options_.suspect_ttl : options_.confirm_timeout);
    });
  }
  std::erase_if(crashes_, [](const auto& it) { return it.second.empty(); });
  // Renew the leases of reruns in progress.
  for (const auto& [attempt, run] : runs_) {
    const auto it = marks_.find(run.content);
    if (run.suspect && it != marks_.end() && it->second.owner == self_ &&
        it->second.owned_until < now + options_.rerun_lease / 2) {
      ClaimRerun(run.content, run.target, now, outbox);
    }
  }
}

void Quarantine::UpdateQuarantine(ContentHash content, base::Time now) {
  QuarantineMark& mark = marks_.at(content);
  if (!mark.quarantined && CountEvidence(mark, true).warrants_quarantine()) {
    mark.quarantined = true;
    mark.expires = now + options_.quarantine_ttl;
  }
}

void Quarantine::ReleaseExplained(base::Time now, Outbox* outbox) {
  for (auto& [content, mark] : marks_) {
    const ContentHash self = content;
    if (!mark.quarantined ||
        !std::ranges::all_of(mark.evidence, [&](const Evidence& it) {
          return it.explained || IsExplained(self, it);
        })) {
      continue;
    }
    for (Evidence& it : mark.evidence) {
      it.explained = true;
    }
    mark.quarantined = false;
    ++mark.epoch;
    mark.expires = now + options_.suspect_ttl;
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
  if (crashes == crashes_.end()) {
    return false;
  }
  const auto is_unattributed = [&](const Crash& crash) {
    return crash.confirmed &&
           std::ranges::none_of(crash.contents, [&](ContentHash it) {
             const auto mark = marks_.find(it);
             return it == content ||
                    (mark != marks_.end() && mark->second.quarantined);
           });
  };
  const auto n = std::ranges::count_if(crashes->second, is_unattributed);
  return static_cast<std::size_t>(n) >= options_.unstable_crash_count;
}

void Quarantine::ClearMark(ContentHash content,
                           base::Time now,
                           Outbox* outbox) {
  QuarantineMark& mark = marks_.at(content);
  // Keep the empty mark until it expires: its higher epoch supersedes older
  // marks that still arrive from other instances.
  ++mark.epoch;
  mark.evidence.clear();
  mark.quarantined = false;
  mark.owner = base::InstanceId();
  mark.rerun_target = base::TargetId();
  mark.expires = now + std::max(options_.suspect_ttl, options_.quarantine_ttl);
  PublishChange(content, now, outbox);
}

void Quarantine::PublishChange(ContentHash content,
                               base::Time now,
                               Outbox* outbox) {
  QuarantineMark& mark = marks_.at(content);
  ++mark.counter;
  outbox->push_back(EncodeMark(content, mark, self_, now));
}

void Quarantine::EvictIfFull() {
  if (marks_.size() < options_.max_marks) {
    return;
  }
  marks_.erase(std::ranges::min_element(marks_, {}, [](const auto& it) {
    return std::pair(it.second.quarantined, it.second.expires);
  }));
}

void Quarantine::PublishAll(const Outbox& outbox) const {
  if (publish_) {
    std::ranges::for_each(outbox, publish_);
  }
}

bool CanTryOtherTarget(QuarantineDenial denial) noexcept {
  return denial == QuarantineDenial::kTargetHasSuspect ||
         denial == QuarantineDenial::kTargetCrashedLately;
}

std::string_view ToString(QuarantineDenial denial) noexcept {
  switch (denial) {
    case QuarantineDenial::kQuarantined:
      return "quarantined";
    case QuarantineDenial::kEvidencePending:
      return "evidence_pending";
    case QuarantineDenial::kSuspectRunning:
      return "suspect_running";
    case QuarantineDenial::kSuspectElsewhere:
      return "suspect_elsewhere";
    case QuarantineDenial::kTargetHasSuspect:
      return "target_has_suspect";
    case QuarantineDenial::kTargetCrashedLately:
      break;
  }
  return "target_crashed_lately";
}

}  // namespace lynxglade::request
