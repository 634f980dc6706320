#include "request/quarantine.h"

#include <algorithm>
#include <iterator>
#include <tuple>
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
                       Publish publish,
                       Observe observe)
    : options_(options),
      self_(std::move(self)),
      publish_(std::move(publish)),
      observe_(std::move(observe)) {}

bool Quarantine::IsQuarantined(ContentHash content, base::Time now) {
  Outbox outbox;
  bool is_quarantined = false;
  {
    const std::scoped_lock lock(mutex_);
    Sweep(now, &outbox);
    is_quarantined =
        RefreshMark(content, now, &outbox) && marks_.at(content).quarantined;
  }
  PublishAll(outbox);
  return is_quarantined;
}

std::optional<QuarantineDenial> Quarantine::Check(ContentHash content,
                                                  base::Time now) {
  Outbox outbox;
  std::optional<QuarantineDenial> denied;
  {
    const std::scoped_lock lock(mutex_);
    Sweep(now, &outbox);
    if (RefreshMark(content, now, &outbox)) {
      denied = CheckSuspect(content, now);
    }
  }
  PublishAll(outbox);
  return denied;
}

base::Duration Quarantine::TimeLeft(ContentHash content, base::Time now) const {
  const std::scoped_lock lock(mutex_);
  const auto it = marks_.find(content);
  return it == marks_.end()
             ? base::Duration::zero()
             : std::max(it->second.expires - now, base::Duration::zero());
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
    const bool is_suspect = RefreshMark(content, now, &outbox);
    if (is_suspect) {
      denied = CheckSuspect(content, now);
    }
    if (is_suspect && !denied) {
      denied = CheckTarget(content, target, now);
    }
    if (!denied) {
      const bool alone = is_suspect && !HasSuspect(target, content, now);
      runs_.insert_or_assign(attempt, Run{.content = content,
                                          .target = target,
                                          .started = now,
                                          .suspect = is_suspect,
                                          .rerun = is_suspect,
                                          .alone = alone});
      if (is_suspect) {
        MarkNotAlone(target, content);
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
    if (run && RefreshMark(run->content, now, &outbox) &&
        !marks_.at(run->content).quarantined) {
      ClearMark(run->content, QuarantineChange::kCleared, now, &outbox);
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

void Quarantine::OnLost(const base::AttemptId& attempt,
                        base::Time now,
                        bool answering) {
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
        if (Evidence* evidence = FindEvidence(it, crash)) {
          evidence->shared = shared;
        }
      }
      QuarantineMark& mark = marks_[run->content];
      // Count a crash once even if several attempts of the content were lost.
      if (std::ranges::find(mark.evidence, crash.crash_id,
                            &Evidence::crash_id) == mark.evidence.end()) {
        mark.evidence.push_back({.crash_id = crash.crash_id,
                                 .target = run->target,
                                 .at = crash.at,
                                 .shared = shared,
                                 .confirmed = crash.confirmed,
                                 .alone = run->alone,
                                 .answering = answering});
      }
      if (options_.observer_reruns_first) {
        mark.owner = self_;
        mark.owned_until = now + options_.rerun_lease;
      }
      mark.expires = std::max(mark.expires, now + options_.suspect_ttl);
      Note(QuarantineChange::kSuspected, run->content, false, now, &outbox);
      UpdateQuarantine(run->content, now, false, &outbox);
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
  const auto is_refuted = [&](const Crash& crash) {
    return !crash.confirmed && seen_at - crash.at >= options_.alive_margin;
  };
  for (const Crash& crash : crashes->second) {
    if (!is_refuted(crash)) {
      continue;
    }
    for (const ContentHash it : crash.contents) {
      if (FindEvidence(it, crash)) {
        std::erase_if(marks_.at(it).evidence,
                      [&crash](const Evidence& evidence) {
                        return evidence.crash_id == crash.crash_id;
                      });
      }
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
    const bool was_quarantined = mark.quarantined;
    bool must_publish = false;
    if (is_new) {
      mark = decoded->mark;
      changed = true;
    } else {
      changed = MergeMarks(decoded->mark, now, mark, &must_publish);
    }
    const bool is_learnt = changed && mark.quarantined && !was_quarantined;
    const bool had_verdict = mark.quarantined;
    UpdateQuarantine(content, now, true, &outbox);
    if (is_learnt) {
      Note(QuarantineChange::kQuarantined, content, true, now, &outbox);
    }
    if (must_publish || mark.quarantined != had_verdict) {
      PublishChange(content, now, &outbox);
    }
    if (changed) {
      if (mark.owner != self_ && mark.owned_until > now) {
        MarkNotAlone(mark.rerun_target, content);
      }
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

std::optional<process::ViewItem> Quarantine::Export(ContentHash content,
                                                    base::Time now) {
  const std::scoped_lock lock(mutex_);
  const auto it = marks_.find(content);
  return it == marks_.end() || it->second.expires <= now
             ? std::nullopt
             : std::optional(EncodeMark(content, it->second, self_, now));
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
    if (!RefreshMark(content, now, &outbox) ||
        marks_.at(content).evidence.empty()) {
      return false;
    }
    ClearMark(content, QuarantineChange::kLifted, now, &outbox);
  }
  PublishAll(outbox);
  return true;
}

QuarantineCounts Quarantine::Count(base::Time now) const {
  const std::scoped_lock lock(mutex_);
  QuarantineCounts counts;
  for (const auto& [content, mark] : marks_) {
    if (mark.expires > now) {
      counts.quarantined += mark.quarantined ? 1 : 0;
      counts.suspects += !mark.quarantined && mark.is_suspect() ? 1 : 0;
    }
  }
  return counts;
}

std::optional<QuarantineDenial> Quarantine::CheckSuspect(ContentHash content,
                                                         base::Time now) const {
  const QuarantineMark& mark = marks_.at(content);
  if (mark.quarantined) {
    return QuarantineDenial::kQuarantined;
  }
  if (IsConclusive(mark, false)) {
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
  return std::nullopt;
}

std::optional<QuarantineDenial> Quarantine::CheckTarget(
    ContentHash content,
    const base::TargetId& target,
    base::Time now) const {
  if (CrashedRecently(target, now)) {
    return QuarantineDenial::kTargetCrashedLately;
  }
  const QuarantineMark& mark = marks_.at(content);
  const bool must_be_alone =
      mark.on_probation ||
      CountEvidence(mark, false).all >= options_.lone_rerun_after;
  if (must_be_alone && HasSuspect(target, content, now)) {
    return QuarantineDenial::kTargetHasSuspect;
  }
  return std::nullopt;
}

void Quarantine::MarkNotAlone(const base::TargetId& target,
                              ContentHash started) {
  if (options_.lone_rerun_after <= 1) {
    return;
  }
  for (auto& [attempt, run] : runs_) {
    if (run.target == target && run.content != started) {
      run.alone = false;
    }
  }
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
           (mark != marks_.end() && mark->second.is_suspect());
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
    if (Evidence* evidence = FindEvidence(content, crash)) {
      evidence->confirmed = true;
      UpdateQuarantine(content, now, false, outbox);
      PublishChange(content, now, outbox);
    }
  }
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

bool Quarantine::RefreshMark(ContentHash content,
                             base::Time now,
                             Outbox* outbox) {
  const auto it = marks_.find(content);
  if (it == marks_.end()) {
    return false;
  }
  if (Expire(content, it->second, now, outbox)) {
    marks_.erase(it);
    return false;
  }
  std::erase_if(it->second.evidence, [&](const Evidence& evidence) {
    return !evidence.confirmed && now - evidence.at >= options_.confirm_timeout;
  });
  return it->second.is_suspect();
}

bool Quarantine::Expire(ContentHash content,
                        QuarantineMark& mark,
                        base::Time now,
                        Outbox* outbox) {
  if (mark.expires > now) {
    return false;
  }
  if (!mark.quarantined) {
    return true;
  }
  Note(QuarantineChange::kExpired, content, false, now, outbox);
  ++mark.epoch;
  mark.evidence.clear();
  mark.quarantined = false;
  mark.on_probation = true;
  mark.expires = now + std::max(options_.suspect_ttl, options_.quarantine_ttl);
  return false;
}

void Quarantine::Sweep(base::Time now, Outbox* outbox) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kSweepInterval;
  for (auto it = marks_.begin(); it != marks_.end();) {
    const bool is_over = Expire(it->first, it->second, now, outbox);
    it = is_over ? marks_.erase(it) : std::next(it);
  }
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
  if (!mark.quarantined && IsConclusive(mark, true)) {
    mark.quarantined = true;
    mark.expires = now + (mark.on_probation ? options_.quarantine_ttl
                                            : options_.first_quarantine_ttl);
    Note(QuarantineChange::kQuarantined, content, merged, now, outbox);
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
  if (crashes == crashes_.end()) {
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

void Quarantine::ClearMark(ContentHash content,
                           QuarantineChange change,
                           base::Time now,
                           Outbox* outbox) {
  QuarantineMark& mark = marks_.at(content);
  Note(change, content, false, now, outbox);
  // Keep the empty mark until it expires: its higher epoch supersedes older
  // marks that still arrive from other instances.
  ++mark.epoch;
  mark.evidence.clear();
  mark.quarantined = false;
  mark.on_probation = change == QuarantineChange::kLifted;
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
  outbox->items.push_back(EncodeMark(content, mark, self_, now));
}

void Quarantine::Note(QuarantineChange change,
                      ContentHash content,
                      bool merged,
                      base::Time now,
                      Outbox* outbox) const {
  if (!observe_) {
    return;
  }
  const QuarantineMark& mark = marks_.at(content);
  const EvidenceCount count = CountEvidence(mark, false);
  QuarantineEvent event{.change = change,
                        .content = content,
                        .crashes = count.all,
                        .confirmed = CountEvidence(mark, true).all,
                        .alone = count.alone,
                        .merged = merged};
  if (!mark.evidence.empty()) {
    event.age = now - std::ranges::min(mark.evidence, {}, &Evidence::at).at;
    event.target = mark.evidence.back().target;
    event.shared = mark.evidence.back().shared;
    event.own_evidence =
        std::ranges::any_of(mark.evidence, [this](const Evidence& it) {
          return it.crash_id.starts_with(self_.str() + "/");
        });
  }
  outbox->events.push_back(std::move(event));
}

void Quarantine::EvictIfFull() {
  if (marks_.size() < options_.max_marks) {
    return;
  }
  marks_.erase(std::ranges::min_element(marks_, {}, [](const auto& it) {
    const QuarantineMark& mark = it.second;
    return std::tuple(mark.quarantined, mark.on_probation, mark.evidence.size(),
                      mark.expires);
  }));
}

void Quarantine::PublishAll(const Outbox& outbox) const {
  if (publish_) {
    std::ranges::for_each(outbox.items, publish_);
  }
  if (observe_) {
    std::ranges::for_each(outbox.events, observe_);
  }
}

bool CanTryOtherTarget(QuarantineDenial denial) noexcept {
  return denial == QuarantineDenial::kTargetHasSuspect ||
         denial == QuarantineDenial::kTargetCrashedLately;
}

std::string_view ToString(QuarantineChange change) noexcept {
  switch (change) {
    case QuarantineChange::kSuspected:
      return "suspected";
    case QuarantineChange::kQuarantined:
      return "quarantined";
    case QuarantineChange::kCleared:
      return "cleared";
    case QuarantineChange::kReleased:
      return "released";
    case QuarantineChange::kLifted:
      return "lifted";
    case QuarantineChange::kExpired:
      break;
  }
  return "expired";
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
