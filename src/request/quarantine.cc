#include "request/quarantine.h"

#include <algorithm>
#include <utility>

namespace lynxglade::request {

Quarantine::Quarantine(QuarantineOptions options,
                       base::InstanceId self,
                       Publish publish,
                       Observe observe)
    : options_(options),
      self_(std::move(self)),
      publish_(std::move(publish)),
      observe_(std::move(observe)) {}

bool Quarantine::IsQuarantined(ContentHash content, base::Time now) {
  return Check(content, now) == QuarantineDenial::kQuarantined;
}

std::optional<QuarantineDenial> Quarantine::Check(const RunIdentity& identity,
                                                  base::Time now) {
  const ContentHash content = identity.content;
  Outbox outbox;
  std::optional<QuarantineDenial> denied;
  {
    const std::scoped_lock lock(mutex_);
    Sweep(now, &outbox);
    if (RefreshMark(content, now, &outbox)) {
      denied = CheckSuspect(content, now);
    }
    if (!denied) {
      std::vector<ContentHash> trials;
      denied = CheckParts(identity, now, &outbox, &trials);
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

base::Duration Quarantine::TimeLeft(const RunIdentity& identity,
                                    base::Time now) const {
  const std::scoped_lock lock(mutex_);
  base::Duration left{};
  const auto count = [&](ContentHash key) {
    const auto it = marks_.find(key);
    if (it != marks_.end() && it->second.quarantined) {
      left = std::max(left, it->second.expires - now);
    }
  };
  count(identity.content);
  std::ranges::for_each(identity.parts, count);
  return left;
}

bool Quarantine::TryStart(const RunIdentity& identity,
                          const base::TargetId& target,
                          const base::AttemptId& attempt,
                          base::Time now,
                          QuarantineDenial* denial) {
  const ContentHash content = identity.content;
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
    std::vector<ContentHash> trials;
    if (!denied) {
      denied = CheckParts(identity, now, &outbox, &trials);
    }
    if (!denied) {
      const bool alone = is_suspect && !HasSuspect(target, content, now);
      for (const ContentHash it : trials) {
        ClaimRerun(it, target, now, &outbox);
      }
      for (const ContentHash it : identity.parts) {
        ++parts_in_flight_[it];
      }
      runs_.insert_or_assign(attempt, Run{.identity = identity,
                                          .target = target,
                                          .started = now,
                                          .suspect = is_suspect,
                                          .rerun = is_suspect,
                                          .alone = alone,
                                          .trials = std::move(trials)});
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

void Quarantine::OnAnswering(const base::AttemptId& attempt, base::Time now) {
  const std::scoped_lock lock(mutex_);
  const auto it = runs_.find(attempt);
  if (it != runs_.end() && !it->second.answering_since) {
    it->second.answering_since = now;
  }
}

void Quarantine::OnDelivered(const base::AttemptId& attempt, base::Time now) {
  Outbox outbox;
  {
    const std::scoped_lock lock(mutex_);
    auto run = EndRun(attempt, now, &outbox);
    if (run) {
      const ContentHash content = run->identity.content;
      RememberAnswered(content, now);
      CountAnswer(*run, now, &outbox);
      // A complete answer does not clear quarantined content: two crashes are
      // stronger evidence.
      if (RefreshMark(content, now, &outbox) &&
          !marks_.at(content).quarantined) {
        ClearMark(content, QuarantineChange::kCleared, now, &outbox);
      }
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
    auto run = EndRun(attempt, now, &outbox);
    if (run && HasSettled(*run, now)) {
      CountAnswer(*run, now, &outbox);
    }
    const bool suspects_content =
        run && !IsAnswered(run->identity.content, now);
    const bool suspects_parts =
        run && !run->counted && !run->identity.parts.empty();
    if (suspects_content || suspects_parts) {
      Crash& crash = FindOrAddCrash(run->target, run->started, now);
      if (suspects_content) {
        AddContentEvidence(*run, crash, answering, now, &outbox);
      }
      if (suspects_parts) {
        AddPartEvidence(*run, crash, now, &outbox);
      }
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
    const auto refute = [&](ContentHash it) {
      if (FindEvidence(it, crash)) {
        std::erase_if(marks_.at(it).evidence,
                      [&crash](const Evidence& evidence) {
                        return evidence.crash_id == crash.crash_id;
                      });
      }
    };
    std::ranges::for_each(crash.contents, refute);
    std::ranges::for_each(crash.parts, refute);
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
      for (Evidence& it : mark.evidence) {
        it.learnt = now;
      }
      changed = true;
    } else {
      changed = MergeMarks(decoded->mark, now, mark, &must_publish);
    }
    for (const Evidence& it : mark.evidence) {
      if (it.confirmed && it.learnt == now) {
        NoteSeenCrash(it.target, it.at, now);
      }
    }
    if (mark.is_part) {
      ConfirmSeen(mark);
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
      entry.is_part = mark.is_part;
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

}  // namespace lynxglade::request
